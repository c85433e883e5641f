/** Arithmetic on resources, and choice of machine types: see resources.h. */
#include "resources.h"

enum { MAX_FIT_COUNT = 1000000 };
/** The share that is reported for a request of a resource whose total is zero. */
static const double UNAVAILABLE_SHARE = 1e9;

static double share_of_total(int64_t requested, int64_t total)
{
    if (requested == 0)
        return 0;
    return total > 0 ? (double)requested / (double)total : UNAVAILABLE_SHARE;
}

double resources_dominant_share(struct resources requested, struct resources total)
{
    double cpu_share = share_of_total(requested.cpus.milli, total.cpus.milli);
    double gpu_share = share_of_total(requested.gpus.milli, total.gpus.milli);
    double memory_share = share_of_total(requested.memory.milli, total.memory.milli);
    return MAX(cpu_share, MAX(gpu_share, memory_share));
}

static int64_t fit_count(int64_t free, int64_t requested, int64_t limit)
{
    return requested > 0 ? MIN(limit, MAX(free, 0) / requested) : limit;
}

int64_t resources_fit_count(struct resources free, struct resources requested)
{
    int64_t count = MAX_FIT_COUNT;
    count = fit_count(free.cpus.milli, requested.cpus.milli, count);
    count = fit_count(free.gpus.milli, requested.gpus.milli, count);
    count = fit_count(free.memory.milli, requested.memory.milli, count);
    return fit_count(free.task_slots, requested.task_slots, count);
}

bool unschedulable_list_covers(const GArray *unschedulable_list,
                               const struct unschedulable_request *request)
{
    for (guint i = 0; i < unschedulable_list->len; i++) {
        const struct unschedulable_request *known =
            &g_array_index(unschedulable_list, struct unschedulable_request, i);
        if (resources_fit(request->resources, known->resources) &&
            (known->may_use_spot || !request->may_use_spot) &&
            (!known->zone[0] || strcmp(known->zone, request->zone) == 0))
            return true;
    }
    return false;
}

const struct machine_type *machine_type_find(const GArray *types, const char *name)
{
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        if (strcmp(type->name, name) == 0)
            return type;
    }
    return NULL;
}

bool job_spec_allows_machine(const struct job_spec *spec, const char *type_name, const char *zone,
                             bool is_spot)
{
    if (is_spot && !spec->may_use_spot)
        return false;
    if (spec->zone && strcmp(spec->zone, zone) != 0)
        return false;
    return !spec->machine_type_names ||
           g_strv_contains((const char *const *)spec->machine_type_names, type_name);
}

/** Returns whether the constraints of a job allow machines of a type in any zone. */
static bool job_spec_allows_type(const struct job_spec *spec, const struct machine_type *type)
{
    const char *const *names = (const char *const *)spec->machine_type_names;
    const char *const *zones = (const char *const *)type->zones;
    if (names && !g_strv_contains(names, type->name))
        return false;
    return zones[0] && (!spec->zone || g_strv_contains(zones, spec->zone));
}

const struct machine_type *machine_type_smallest_fit(const GArray *types,
                                                     const struct job_spec *spec)
{
    const struct machine_type *best = NULL;
    double best_share = 0;
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        if (!job_spec_allows_type(spec, type))
            continue;
        double share =
            resources_dominant_share(resources_of_job_spec(spec), resources_of_machine_type(type));
        if (share <= 1 && (!best || share > best_share)) {
            best = type;
            best_share = share;
        }
    }
    return best;
}
