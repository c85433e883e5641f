#include "room.h"

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
        if (room_holds(a->room, x->room) && (x->loaners || !a->loaners) &&
            (!x->yard[0] || strcmp(x->yard, a->yard) == 0))
            return true;
    }
    return false;
}

const struct machine_type *type_named(const GArray *types, const char *name)
{
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *t = &g_array_index(types, struct machine_type, i);
        if (strcmp(t->name, name) == 0)
            return t;
    }
    return NULL;
}

bool spec_allows(const struct spec *s, const char *build, const char *yard, bool loaners)
{
    if (loaners && !s->loaners)
        return false;
    if (s->yard && strcmp(s->yard, yard) != 0)
        return false;
    return !s->builds || g_strv_contains((const char *const *)s->builds, build);
}

const struct machine_type *type_smallest(const GArray *types, const struct spec *s)
{
    const struct machine_type *best = NULL;
    double best_share = 0;
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *t = &g_array_index(types, struct machine_type, i);
        if (s->builds && !g_strv_contains((const char *const *)s->builds, t->name))
            continue;
        if (s->yard && !g_strv_contains((const char *const *)t->yards, s->yard))
            continue;
        double share = room_share(room_of_spec(s), room_of_type(t));
        if (t->yards[0] && share <= 1 && (!best || share > best_share)) {
            best = t;
            best_share = share;
        }
    }
    return best;
}
