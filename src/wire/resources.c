#include "resources.h"

static double share_of(int64_t ask, int64_t total)
{
    if (ask == 0)
        return 0;
    return total > 0 ? (double)ask / (double)total : 1e9;
}

double room_share(struct room ask, struct room total)
{
    double c = share_of(ask.cpus.milli, total.cpus.milli);
    double g = share_of(ask.gpus.milli, total.gpus.milli);
    double m = share_of(ask.memory.milli, total.memory.milli);
    return MAX(c, MAX(g, m));
}

static int64_t times(int64_t free, int64_t ask, int64_t most)
{
    return ask > 0 ? MIN(most, MAX(free, 0) / ask) : most;
}

int64_t room_times(struct room free, struct room ask)
{
    int64_t n = 1000000;
    n = times(free.cpus.milli, ask.cpus.milli, n);
    n = times(free.gpus.milli, ask.gpus.milli, n);
    return times(free.memory.milli, ask.memory.milli, n);
}

bool lacks_cover(const GArray *lacks, const struct lack *a)
{
    for (guint i = 0; i < lacks->len; i++) {
        const struct lack *x = &g_array_index(lacks, struct lack, i);
        if (room_holds(a->room, x->room) && (x->spot || !a->spot) &&
            (!x->zone[0] || strcmp(x->zone, a->zone) == 0))
            return true;
    }
    return false;
}

const struct machine_type *type_named(const GArray *types, const char *name)
{
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        if (strcmp(type->name, name) == 0)
            return type;
    }
    return NULL;
}

bool spec_allows(const struct spec *spec, const char *type_name, const char *zone, bool spot)
{
    if (spot && !spec->spot)
        return false;
    if (spec->zone && strcmp(spec->zone, zone) != 0)
        return false;
    return !spec->type_names || g_strv_contains((const char *const *)spec->type_names, type_name);
}

const struct machine_type *type_smallest(const GArray *types, const struct spec *spec)
{
    const struct machine_type *best = NULL;
    double best_share = 0;
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        if (spec->type_names && !g_strv_contains((const char *const *)spec->type_names, type->name))
            continue;
        if (spec->zone && !g_strv_contains((const char *const *)type->zones, spec->zone))
            continue;
        double share = room_share(room_of_spec(spec), room_of_type(type));
        if (type->zones[0] && share <= 1 && (!best || share > best_share)) {
            best = type;
            best_share = share;
        }
    }
    return best;
}
