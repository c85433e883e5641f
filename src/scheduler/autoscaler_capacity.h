/**
 * Capacity that the autoscaler takes into account before it rents more machines: pending machines,
 * which are requested or rented but have not reported yet, and the free resources of the machines
 * that accept tasks.
 */
#ifndef LL_AUTOSCALER_CAPACITY_H
#define LL_AUTOSCALER_CAPACITY_H

#include "scheduler_internal.h"

/** A machine that is expected to boot, with its resources that are not claimed yet. */
struct pending_capacity {
    /** Owned by the cloud provider; valid during one run of the autoscaler. */
    const char *type_name;
    /** Owned by the cloud provider; valid during one run of the autoscaler. */
    const char *zone;
    bool is_spot;
    struct resources available;
};

/** The requirements of equal tasks on the machines that will run them. */
struct capacity_request {
    /** Determines the machine types and zones that are allowed, and whether spot machines are. */
    const struct job_spec *spec;
    /** Resources of one task. */
    struct resources task_resources;
    /** The only zone that may be used, or NULL for any zone. */
    const char *zone;
    /** Rent spot machines only. Pending on-demand machines are used in either case. */
    bool spot_only;
};

/** Returns the total resources of `task_count` equal tasks. */
static inline struct resources resources_of_tasks(struct resources task, int64_t task_count)
{
    return (struct resources){{task.cpus.milli * task_count},
                              {task.gpus.milli * task_count},
                              {task.memory.milli * task_count},
                              task.task_slots * task_count};
}

/**
 * Returns a new array of struct pending_capacity with the requested machines and with the rented
 * machines that have not reported yet but are still expected to. The caller frees the array.
 */
GArray *pending_capacity_list(struct leader *leader);
/** Appends a machine to an array of struct pending_capacity, without copying the strings. */
void pending_capacity_add(GArray *pending, const char *type_name, const char *zone, bool is_spot,
                          struct resources available);
/**
 * Claims pending capacity for up to `task_count` tasks. Returns the number of tasks for which there
 * was not enough.
 */
int64_t pending_capacity_claim(GArray *pending, const struct capacity_request *request,
                               int64_t task_count);

/** Returns the sum of the free resources of all machines that accept new tasks. */
struct resources autoscaler_total_free_resources(struct leader *leader);
/**
 * Returns the number of CPUs available to batch jobs: those of reported and pending machines,
 * except what services use. The result is never 0, because callers divide by it.
 */
double autoscaler_count_batch_cpus(struct leader *leader, const GArray *pending);

#endif
