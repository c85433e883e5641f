/**
 * Resources of machines and tasks: arithmetic, fit, and which machine types a job may use. Amounts
 * are exact, in thousandths.
 */
#ifndef LL_RESOURCES_H
#define LL_RESOURCES_H

#include "cloud_codec.h"
#include "job_codec.h"

/** Resources that a task requests or a machine has. */
struct resources {
    amount cpus, gpus, memory;
};

static inline struct resources resources_of_job_spec(const struct job_spec *spec)
{
    return (struct resources){spec->cpus, spec->gpus, spec->memory};
}

static inline struct resources resources_of_machine_type(const struct machine_type *type)
{
    return (struct resources){type->cpus, type->gpus, type->memory};
}

static inline void resources_add(struct resources *sum, struct resources added)
{
    sum->cpus.milli += added.cpus.milli;
    sum->gpus.milli += added.gpus.milli;
    sum->memory.milli += added.memory.milli;
}

static inline void resources_subtract(struct resources *remaining, struct resources subtracted)
{
    remaining->cpus.milli -= subtracted.cpus.milli;
    remaining->gpus.milli -= subtracted.gpus.milli;
    remaining->memory.milli -= subtracted.memory.milli;
}

/** What is left of a total. */
static inline struct resources resources_remaining(struct resources total, struct resources used)
{
    resources_subtract(&total, used);
    return total;
}

/** Number of CPUs, fractions included. */
static inline double resources_cpus(struct resources resources)
{
    return (double)resources.cpus.milli / 1000;
}

/** Whether a request fits into what is free. */
static inline bool resources_fit(struct resources free, struct resources requested)
{
    return requested.cpus.milli <= free.cpus.milli && requested.gpus.milli <= free.gpus.milli &&
           requested.memory.milli <= free.memory.milli;
}

/** The largest share of the total that is requested of any one resource; over 1: it does not fit.
 */
double resources_dominant_share(struct resources requested, struct resources total);
/** How many times a request fits into what is free, at most 1,000,000. */
int64_t resources_fit_count(struct resources free, struct resources requested);

/**
 * A request for which no machine was found, in one zone or ("") in any. As long as free resources
 * only shrink, no machine is found for any larger request either, so these need not be tried.
 */
struct unschedulable_request {
    struct resources resources;
    bool may_use_spot;
    char zone[48];
};

static inline struct unschedulable_request
unschedulable_request_of_job_spec(const struct job_spec *spec, const char *zone)
{
    struct unschedulable_request request = {resources_of_job_spec(spec), spec->may_use_spot, ""};
    g_strlcpy(request.zone, zone, sizeof request.zone);
    return request;
}

/** Whether a request is at least as large as one in an array of struct unschedulable. */
bool unschedulable_list_covers(const GArray *unschedulable_list,
                               const struct unschedulable_request *request);

/** The machine type of that name in an array, which may be NULL; NULL: there is none. */
const struct machine_type *machine_type_find(const GArray *types, const char *name);
/** Whether a job's constraints allow a machine of a type, in a zone, spot or ordinary. */
bool job_spec_allows_machine(const struct job_spec *spec, const char *type_name, const char *zone,
                             bool is_spot);
/**
 * The smallest machine type that the job may use: the one of which a task requests the largest
 * share. NULL: a task fits on none.
 */
const struct machine_type *machine_type_smallest_fit(const GArray *types,
                                                     const struct job_spec *spec);

#endif
