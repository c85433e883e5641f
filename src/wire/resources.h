/* What tasks take of machines. */
#ifndef LL_ROOM_H
#define LL_ROOM_H

#include "codec.h"

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

static inline struct resources resources_remaining(struct resources total, struct resources used)
{
    resources_subtract(&total, used);
    return total;
}

static inline bool resources_fit(struct resources free, struct resources requested)
{
    return requested.cpus.milli <= free.cpus.milli && requested.gpus.milli <= free.gpus.milli &&
           requested.memory.milli <= free.memory.milli;
}

/* The largest share that is asked of any one resource; over 1 when it does not fit. */
double resources_dominant_share(struct resources requested, struct resources total);
/* How many of ask fit into free. */
int64_t resources_fit_count(struct resources free, struct resources requested);

/* What a task that asks nothing special asks of machines, and where ("": anywhere). While room only
 * shrinks, what needs at least as much as something that found none finds none either. */
struct unschedulable {
    struct resources resources;
    bool may_use_spot;
    char zone[48];
};

static inline struct unschedulable unschedulable_of_job_spec(const struct job_spec *spec,
                                                             const char *zone)
{
    struct unschedulable unschedulable = {resources_of_job_spec(spec), spec->may_use_spot, ""};
    g_strlcpy(unschedulable.zone, zone, sizeof unschedulable.zone);
    return unschedulable;
}

/* In a list of struct unschedulable that found nothing. */
bool unschedulable_list_covers(const GArray *unschedulable_list, const struct unschedulable *lack);

/* The machine type of that name, or NULL. */
const struct machine_type *machine_type_find(const GArray *types, const char *name);
/* Whether a job's tasks may ever run on machines of a type, in a zone, of a kind. */
bool job_spec_allows_machine(const struct job_spec *spec, const char *type_name, const char *zone,
                             bool is_spot);
/* The smallest machine type that the job may use, by the share a task asks of it; NULL when no
 * type can hold a task. */
const struct machine_type *machine_type_smallest_fit(const GArray *types,
                                                     const struct job_spec *spec);

#endif
