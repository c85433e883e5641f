/**
 * Capacity that the autoscaler counts on before it rents more: machines that were requested or
 * rented and have not reported yet, and free resources of the machines that accept tasks.
 */
#ifndef LL_AUTOSCALER_CAPACITY_H
#define LL_AUTOSCALER_CAPACITY_H

#include "scheduler_internal.h"

/** A machine that is expected to come up, and its resources that are not claimed yet. */
struct pending_capacity {
    /** Belongs to the cloud provider; valid while the autoscaler runs. */
    const char *type_name;
    /** The same. */
    const char *zone;
    bool is_spot;
    struct resources available;
};

/** What tasks require of the machines that are to hold them. */
struct capacity_request {
    /** Determines which machine types, zones and kinds the tasks may use. */
    const struct job_spec *spec;
    /** Resources of one task. */
    struct resources task_resources;
    /** The only zone that will do; NULL for any. */
    const char *zone;
    /** Rent only spot machines. Pending machines of both kinds are used all the same. */
    bool spot_only;
};

/** Resources of so many equal tasks. */
static inline struct resources resources_of_tasks(struct resources task, int64_t task_count)
{
    return (struct resources){{task.cpus.milli * task_count},
                              {task.gpus.milli * task_count},
                              {task.memory.milli * task_count}};
}

/**
 * Returns a new array of struct pending_capacity with the machines that were requested, and those
 * that were rented, have not reported yet and may still do so. The caller owns it.
 */
GArray *pending_capacity_list(struct leader *leader);
/** Appends a machine. The texts are not copied. */
void pending_capacity_add(GArray *pending, const char *type_name, const char *zone, bool is_spot,
                          struct resources available);
/** Claims pending capacity for up to `task_count` tasks; returns how many tasks found none. */
int64_t pending_capacity_claim(GArray *pending, const struct capacity_request *request,
                               int64_t task_count);

/** Free resources of all machines that accept new tasks. */
struct resources autoscaler_total_free_resources(struct leader *leader);
/**
 * CPUs, present and pending, for jobs that may run on spot machines: all that services do not use.
 * It is never 0, so that it can be divided by.
 */
double autoscaler_count_batch_cpus(struct leader *leader, const GArray *pending);

#endif
