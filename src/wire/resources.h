/**
 * Resources of machines and tasks: arithmetic, whether requests fit, and which machine types a job
 * may use. Amounts are exact, in thousandths.
 */
#ifndef LL_RESOURCES_H
#define LL_RESOURCES_H

#include "cloud_codec.h"
#include "job_codec.h"

enum {
    /**
     * The maximum number of tasks on a machine. A heartbeat names all of them, in up to 160 bytes
     * each, and a request may have 64 KiB: a longer heartbeat would be refused, and the lease of
     * the machine would expire.
     */
    MAX_TASKS_PER_MACHINE = 400,
};

/** The resources that a task requests or that a machine has. */
struct resources {
    amount cpus, gpus, memory;
    /** Entries in the machine's heartbeat; each task takes one. */
    int64_t task_slots;
};

/** Returns the resources that each task of a job requests. */
static inline struct resources resources_of_job_spec(const struct job_spec *spec)
{
    return (struct resources){spec->cpus, spec->gpus, spec->memory, 1};
}

/** Returns the resources of a machine of a type. */
static inline struct resources resources_of_machine_type(const struct machine_type *type)
{
    return (struct resources){type->cpus, type->gpus, type->memory, MAX_TASKS_PER_MACHINE};
}

/** Adds `added` to `sum`. */
static inline void resources_add(struct resources *sum, struct resources added)
{
    sum->cpus.milli += added.cpus.milli;
    sum->gpus.milli += added.gpus.milli;
    sum->memory.milli += added.memory.milli;
    sum->task_slots += added.task_slots;
}

/** Subtracts `subtracted` from `remaining`. */
static inline void resources_subtract(struct resources *remaining, struct resources subtracted)
{
    remaining->cpus.milli -= subtracted.cpus.milli;
    remaining->gpus.milli -= subtracted.gpus.milli;
    remaining->memory.milli -= subtracted.memory.milli;
    remaining->task_slots -= subtracted.task_slots;
}

/** Returns what is left of a total after `used` is subtracted. */
static inline struct resources resources_remaining(struct resources total, struct resources used)
{
    resources_subtract(&total, used);
    return total;
}

/** Returns the number of CPUs, including fractions. */
static inline double resources_cpus(struct resources resources)
{
    return (double)resources.cpus.milli / 1000;
}

/** Returns whether a request fits into the free resources. */
static inline bool resources_fit(struct resources free, struct resources requested)
{
    return requested.cpus.milli <= free.cpus.milli && requested.gpus.milli <= free.gpus.milli &&
           requested.memory.milli <= free.memory.milli && requested.task_slots <= free.task_slots;
}

/** Returns the dominant share of a request: the largest share that it takes of the total of CPUs,
 * GPUs or memory. A share greater than 1 means that the request does not fit. */
double resources_dominant_share(struct resources requested, struct resources total);
/** Returns how many times a request fits into the free resources, at most 1,000,000. */
int64_t resources_fit_count(struct resources free, struct resources requested);

/**
 * A request for which no machine was found, in one zone or, if `zone` is empty, in any zone. As
 * long as free resources only decrease, larger requests cannot be placed either and need not be
 * tried.
 */
struct unschedulable_request {
    struct resources resources;
    bool may_use_spot;
    char zone[48];
};

/** Describes the request of each task of a job, in one zone or, if `zone` is empty, in any zone. */
static inline struct unschedulable_request
unschedulable_request_of_job_spec(const struct job_spec *spec, const char *zone)
{
    struct unschedulable_request request = {resources_of_job_spec(spec), spec->may_use_spot, ""};
    g_strlcpy(request.zone, zone, sizeof request.zone);
    return request;
}

/** Returns whether a request is at least as demanding as one in an array of struct
 * unschedulable_request. */
bool unschedulable_list_covers(const GArray *unschedulable_list,
                               const struct unschedulable_request *request);

/** Returns the machine type with a name, or NULL if the array does not contain it or is NULL. */
const struct machine_type *machine_type_find(const GArray *types, const char *name);
/** Returns whether the constraints of a job allow a spot or on-demand machine of a type in a zone.
 */
bool job_spec_allows_machine(const struct job_spec *spec, const char *type_name, const char *zone,
                             bool is_spot);
/**
 * Returns the smallest machine type on which a task of the job fits and which the job may use: the
 * one of which a task has the largest dominant share. Returns NULL if there is none.
 */
const struct machine_type *machine_type_smallest_fit(const GArray *types,
                                                     const struct job_spec *spec);

#endif
