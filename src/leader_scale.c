#include "leader_state.h"

#include "log.h"
#include "part.h"

#include <math.h>

enum {
    SCALE_MS = 500,
    RATE_SLOTS = 8,
    RATE_SLOT_MS = 30000,
    MOST_ORDERED = 200, /* machines at a time */
};

/* Room that is there or on its way, and not needed yet. */
struct planned {
    const char *build, *yard;
    bool loaners;
    struct room free;
};

struct offer {
    const struct machine_type *type;
    const char *yard;
    bool loaners;
    int number;
};

static void add_planned(GArray *rooms, const char *build, const char *yard, bool loaners,
                        struct room free)
{
    struct planned v = {build, yard, loaners, free};
    g_array_append_val(rooms, v);
}

/* Machines that were rented and have not reported yet, as long as they may still come up. */
static void incoming(struct leader *l, GArray *rooms)
{
    GHashTableIter it;
    struct fleet_machine *m;
    mono_time now = loop_now(l->loop);
    g_hash_table_iter_init(&it, fleet_machines(l->fleet));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&m)) {
        struct lhost *h = lhost_get(l, m->id.s);
        const struct machine_type *t = type_named(leader_types_now(l), m->build);
        if (m->returning || m->stage == RENTAL_FAILED || !t ||
            (h && h->told && (h->flags & HOST_KNOWN)))
            continue;
        if (time_ms_since(now, m->rented) > (int64_t)(t->ready_s * 1700))
            continue;
        add_planned(rooms, m->build, m->yard, m->loaners, room_of_type(t));
    }
    for (guint i = 0; i < leader_types_now(l)->len; i++) {
        const struct machine_type *t = &g_array_index(leader_types_now(l), struct machine_type, i);
        for (int y = 0; t->yards[y]; y++)
            for (int spot = 0; spot < 2; spot++)
                for (int n = fleet_requested(l->fleet, t->name, t->yards[y], spot); n > 0; n--)
                    add_planned(rooms, t->name, t->yards[y], spot, room_of_type(t));
    }
}

/* Takes room that is on its way for so many tasks; tells how many found none. */
static int64_t take_planned(GArray *rooms, const struct spec *s, struct room ask, const char *yard,
                            int64_t n)
{
    /* Cheap ones first where they will do: services need the others. */
    for (int loaners = 1; loaners >= 0; loaners--)
        for (guint i = 0; i < rooms->len && n > 0; i++) {
            struct planned *v = &g_array_index(rooms, struct planned, i);
            if (v->loaners != loaners || !room_holds(v->free, ask) ||
                !spec_allows(s, v->build, v->yard, v->loaners) ||
                (yard && strcmp(yard, v->yard) != 0))
                continue;
            int64_t k = MIN(n, room_times(v->free, ask));
            room_sub(
                &v->free,
                (struct room){{ask.cpus.milli * k}, {ask.gpus.milli * k}, {ask.memory.milli * k}});
            n -= k;
        }
    return n;
}

/* The offer that holds n tasks at the least price a task, a little in favour of quick boots. */
static bool best_offer(struct leader *l, const struct spec *s, struct room ask, int64_t n,
                       const char *yard, bool spot_only, struct offer *out)
{
    double least = 0;
    out->type = NULL;
    const GArray *types = leader_types_now(l);
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *t = &g_array_index(types, struct machine_type, i);
        int64_t per = MIN(room_times(room_of_type(t), ask), n);
        if (per < 1)
            continue;
        for (int y = 0; t->yards[y]; y++)
            for (int spot = spot_only; spot < 2; spot++) {
                if (!spec_allows(s, t->name, t->yards[y], spot) ||
                    (yard && strcmp(yard, t->yards[y]) != 0) ||
                    fleet_refused(l->fleet, t->name, t->yards[y], spot))
                    continue;
                double price =
                    (spot ? t->market_price : t->price) / (double)per * (1 + t->ready_s / 300);
                if (!out->type || price < least) {
                    least = price;
                    *out = (struct offer){t, t->yards[y], spot, 0};
                }
            }
    }
    return out->type != NULL;
}

static void order_offer(GArray *orders, const struct offer *o)
{
    for (guint i = 0; i < orders->len; i++) {
        struct offer *x = &g_array_index(orders, struct offer, i);
        if (x->type == o->type && x->yard == o->yard && x->loaners == o->loaners) {
            x->number++;
            return;
        }
    }
    struct offer n = *o;
    n.number = 1;
    g_array_append_val(orders, n);
}

/* Finds room for n more tasks: what is on its way first, then new machines. */
static int64_t want(struct leader *l, GArray *rooms, GArray *orders, const struct spec *s,
                    struct room ask, int64_t n, const char *yard, bool spot_only)
{
    int total = 0;
    for (guint i = 0; i < orders->len; i++)
        total += g_array_index(orders, struct offer, i).number;
    n = take_planned(rooms, s, ask, yard, n);
    while (n > 0) {
        struct offer o;
        if (total >= MOST_ORDERED || !best_offer(l, s, ask, n, yard, spot_only, &o))
            return n;
        total++;
        order_offer(orders, &o);
        add_planned(rooms, o.type->name, o.yard, o.loaners, room_of_type(o.type));
        n = take_planned(rooms, s, ask, yard, n);
    }
    return 0;
}

/* Room in one zone, or anywhere. Ordinary machines are rented for work that spot machines could do
 * only once no more of these are to be had. */
static void want_tasks(struct leader *l, GArray *rooms, GArray *orders, struct ljob *j,
                       const struct spec *s, int64_t n, const char *yard, bool pressing)
{
    if (s->loaners)
        n = want(l, rooms, orders, s, j->room, n, yard, true);
    if (!s->loaners || pressing)
        want(l, rooms, orders, s, j->room, n, yard, false);
}

/* What waits of the job and may run, after all that goes before it in its team. */
static int64_t count_wanted(struct leader *l, struct ljob *j, struct job *v)
{
    struct lteam *t = &l->teams[j->team];
    struct room left = room_left(leader_limit_left(t), t->wanted);
    int64_t n = MIN(leader_count_allowed(l, j, v), room_times(left, j->room));
    n = MAX(n - j->held, 0); /* for the rest of a gang room is there */
    room_add(&t->wanted, (struct room){{j->room.cpus.milli * n}, {j->room.gpus.milli * n}, {0}});
    return n;
}

/* The zone that a job which has to be in one has tasks in already, where the rest of it must go;
 * NULL: none. */
static const char *settled_zone(struct leader *l, struct ljob *j, const struct spec *s)
{
    for (guint i = 0; s->one_zone && i < l->settings->zones->len; i++)
        if (leader_in_zone(l, j, l->settings->zones->pdata[i]))
            return l->settings->zones->pdata[i];
    return NULL;
}

static void want_job(struct leader *l, GArray *rooms, GArray *orders, struct ljob *j, struct job *v,
                     bool pressing)
{
    const struct spec *s = v->spec;
    int64_t n = count_wanted(l, j, v);
    if (!s->apart) {
        want_tasks(l, rooms, orders, j, s, n, settled_zone(l, j, s), pressing);
        return;
    }
    /* Each zone may take up to half of the tasks. */
    for (guint i = 0; i < l->settings->zones->len && n > 0; i++) {
        const char *yard = l->settings->zones->pdata[i];
        int64_t there = leader_in_zone(l, j, yard), most = (s->tasks + 1) / 2 - there;
        int64_t here = CLAMP(most, 0, n);
        want_tasks(l, rooms, orders, j, s, here, yard, pressing);
        n -= here;
    }
}

static struct room free_everywhere(struct leader *l)
{
    struct room sum = {0};
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (leader_host_takes(l, h))
            room_add(&sum, leader_host_free_room(h));
    return sum;
}

/* The processors that are there or on their way for work that spot machines can do. */
static double work_cpus(struct leader *l, GArray *rooms)
{
    double cpus = 1;
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->told && (h->flags & HOST_KNOWN))
            cpus += (double)(h->total.cpus.milli - h->pinned.cpus.milli) / 1000;
    for (guint i = 0; i < rooms->len; i++) {
        struct planned *v = &g_array_index(rooms, struct planned, i);
        cpus += (double)v->free.cpus.milli / 1000;
    }
    return cpus;
}

/* The size of a task of the services that run, and how many of their tasks come in a second. The
 * busiest stretch of time is left out, so that many that come at once do not count for what is
 * usual. */
static void measure_services(struct leader *l)
{
    int64_t n = 0, slots[RATE_SLOTS] = {0}, sum = 0, most = 0, seen = 2;
    struct room total = {0};
    wall_time now = loop_wall(l->loop);
    GHashTableIter it;
    struct ljob *j;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
        struct job *v = view_job(l->view, j->id.s);
        if (!j->service || !v || !v->known)
            continue;
        room_add(&total, (struct room){{j->room.cpus.milli * v->tasks},
                                       {j->room.gpus.milli * v->tasks},
                                       {j->room.memory.milli * v->tasks}});
        n += v->tasks;
        int64_t slot = (now.ms - v->submitted.ms) / RATE_SLOT_MS;
        seen = MAX(seen, MIN(slot + 1, RATE_SLOTS));
        if (slot >= 0 && slot < RATE_SLOTS)
            slots[slot] += v->tasks;
    }
    for (int i = 0; i < RATE_SLOTS; i++) {
        sum += slots[i];
        most = MAX(most, slots[i]);
    }
    if (n)
        l->service_usual =
            (struct room){{total.cpus.milli / n}, {total.gpus.milli / n}, {total.memory.milli / n}};
    l->service_rate = (double)(sum - most) * 1000 / (double)((seen - 1) * RATE_SLOT_MS);
    l->services = n > 0;
}

/* How many more tasks of services a zone's ordinary machines could hold. */
static int64_t service_room(struct leader *l, struct room usual, const char *yard)
{
    int64_t n = 0;
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (!h->loaners && leader_host_takes(l, h) && strcmp(h->yard, yard) == 0)
            n += room_times(room_left(h->total, h->pinned), usual);
    return n;
}

/* Room for the services that come next, in every zone, on ordinary machines. Until then it is not
 * idle: arrays use it and are preempted. */
static void want_for_services(struct leader *l, GArray *rooms, GArray *orders)
{
    if (!l->services)
        return;
    struct room usual = l->service_usual;
    struct policy_value in[POLICY_INPUTS] = {0};
    leader_load_inputs(l, in);
    struct spec any = {.form = FORM_SERVICE};
    guint zones = l->settings->zones->len;
    int64_t each = (int64_t)round(l->service_rate * leader_slowest_boot(l) *
                                  policy_number(l->policy, POLICY_SERVICE_SPARE, in) / zones);
    int64_t unmet = 0;
    for (guint i = 0; i < zones; i++) {
        const char *yard = l->settings->zones->pdata[i];
        l->service_lack[i] = each - service_room(l, usual, yard);
        if (l->service_lack[i] > 0)
            unmet += want(l, rooms, orders, &any, usual, l->service_lack[i], yard, false);
    }
    /* A zone that has no more machines to give is helped by room in another, where replicas that
     * are free to go are moved to. */
    for (guint i = 0; i < zones && unmet > 0; i++) {
        l->service_lack[i] += unmet;
        if (l->service_lack[i] > 0 && l->service_lack[i] <= unmet)
            want(l, rooms, orders, &any, usual, l->service_lack[i], l->settings->zones->pdata[i],
                 false);
    }
}

static void rent_for_demand(struct leader *l)
{
    if (!leader_types_now(l) || !fleet_listed(l->fleet))
        return;
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct planned));
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct offer));
    fleet_forget_unsent(l->fleet);
    for (int i = 0; i < l->n_teams; i++)
        l->teams[i].wanted = (struct room){0};
    incoming(l, rooms);
    /* Ordinary machines are rented for work that spot machines could do only when these would not
     * get to it in time, behind all that goes before it. */
    double have = work_cpus(l, rooms), work = 0;
    for (int rank = 0; rank < RANKS; rank++) {
        if (rank == 1)
            want_for_services(l, rooms, orders);
        for (int i = 0; i < l->n_teams; i++)
            for (guint k = 0; k < l->teams[i].ready->len; k++) {
                struct ljob *j = l->teams[i].ready->pdata[k];
                struct job *v = j->view;
                if (leader_rank_of(l, j) != rank)
                    continue;
                work += (double)leader_count_allowed(l, j, v) * v->spec->expected_s *
                        (double)j->room.cpus.milli / 1000;
                bool pressing = leader_may_rent_ordinary(l, j, v->spec, work / have);
                want_job(l, rooms, orders, j, v, pressing);
            }
    }
    /* Room to spare, for what comes next: one processor at a time, on whatever is cheapest. */
    struct spec any = {.loaners = true};
    struct room one = {{1000}, {0}, {1500}};
    double spare = leader_spare_cpus(l) - (double)free_everywhere(l).cpus.milli / 1000;
    if (spare > 0)
        want(l, rooms, orders, &any, one, (int64_t)ceil(spare), NULL, true);
    for (guint i = 0; i < orders->len; i++) {
        struct offer *o = &g_array_index(orders, struct offer, i);
        for (int n = o->number; n > 0; n -= FLEET_MOST_RENTED)
            fleet_rent(l->fleet, o->type->name, o->yard, o->loaners, MIN(n, FLEET_MOST_RENTED));
    }
    g_array_unref(rooms);
    g_array_unref(orders);
}

bool leader_host_idle(const struct lhost *h)
{
    return !h->booked.cpus.milli && !h->booked.memory.milli && !h->dealt.cpus.milli &&
           !h->dealt.memory.milli && !h->held.cpus.milli && !h->held.memory.milli && !h->wanted;
}

/* Whether the next services would miss the machine. */
static bool kept_for_services(struct leader *l, struct lhost *h)
{
    if (h->loaners || !l->services || h->zone < 0)
        return false;
    int64_t holds = room_times(room_left(h->total, h->pinned), l->service_usual);
    if (l->service_lack[h->zone] + holds > 0)
        return true;
    l->service_lack[h->zone] += holds;
    return false;
}

static void return_idle(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    double spare = (double)free_everywhere(l).cpus.milli / 1000 - leader_spare_cpus(l);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        double cpus = (double)h->total.cpus.milli / 1000;
        if (!leader_host_takes(l, h) || !leader_host_idle(h) ||
            (double)time_ms_since(now, h->idle_since) < leader_idle_ms(l, h) || cpus > spare ||
            kept_for_services(l, h))
            continue;
        spare -= cpus;
        fleet_return(l->fleet, h->id, "idle");
    }
}

/* Machines that are no use: silent, taken back, never up, failed, sick. */
static void return_useless(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!h->told)
            continue;
        /* Spot machines that fall silent are mostly gone, and a return proves it at once. Others
         * are mostly only cut off: their tasks go on, until the lease is the proof. */
        if ((h->flags & HOST_LOST) && (h->loaners || (h->flags & HOST_LAPSED)))
            fleet_return(l->fleet, h->id, "lost");
        /* What fails is what starts there; services that run on it already are well. */
        else if (time_before(now, h->sick_until) && leader_host_idle(h))
            fleet_return(l->fleet, h->id, "sick");
        else if ((h->flags & HOST_RECALLED) && leader_host_idle(h))
            fleet_return(l->fleet, h->id, "recalled");
        else if (leader_host_slow(l, h) && leader_host_idle(h))
            fleet_return(l->fleet, h->id, "slow");
    }
    struct fleet_machine *m;
    g_hash_table_iter_init(&it, fleet_machines(l->fleet));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&m)) {
        const struct machine_type *t = type_named(leader_types_now(l), m->build);
        int64_t age = time_ms_since(now, m->rented);
        int64_t boot = t ? (int64_t)(t->ready_s * 1000) : 60000;
        h = lhost_get(l, m->id.s);
        bool up = h && h->told && (h->flags & HOST_KNOWN);
        if (m->stage == RENTAL_FAILED)
            fleet_return(l->fleet, m->id, "failed");
        else if (!up && !view_host(l->view, m->id.s) && age > boot * 3 + 10000 &&
                 time_ms_since(now, l->epoch_at) > (int64_t)(l->settings->report_s * 3000))
            fleet_return(l->fleet, m->id, "never up");
    }
}

static void tell_gone(struct leader *l)
{
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!fleet_gone(l->fleet, h->id.s))
            continue;
        const char *owner = map_owner(l->view, h->id.s);
        if (owner && (h->told || view_host(l->view, h->id.s))) {
            struct lpart *p = lpart_make(l, owner);
            if (p->gone && cJSON_GetArraySize(p->gone) > 100)
                continue;
            lpart_put(&p->gone, cJSON_CreateString(h->id.s));
            h->told = false;
        }
    }
}

/* One line that tells what the fleet holds and what it is used for, in processors. */
static void log_fleet(struct leader *l)
{
    double total[2] = {0}, used[2] = {0}, idle[2] = {0}, coming[2] = {0};
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!h->told || !(h->flags & HOST_KNOWN))
            continue;
        total[h->loaners] += (double)h->total.cpus.milli / 1000;
        used[h->loaners] += (double)(h->booked.cpus.milli + h->dealt.cpus.milli) / 1000;
        idle[h->loaners] += leader_host_idle(h) ? (double)h->total.cpus.milli / 1000 : 0;
    }
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct planned));
    incoming(l, rooms);
    for (guint i = 0; i < rooms->len; i++) {
        struct planned *v = &g_array_index(rooms, struct planned, i);
        coming[v->loaners] += (double)v->free.cpus.milli / 1000;
    }
    g_array_unref(rooms);
    LOG_DEBUG("fleet",
              "ordinary=%.0f used=%.0f idle=%.0f coming=%.0f spot=%.0f used=%.0f idle=%.0f "
              "coming=%.0f peak=%.0f",
              total[0], used[0], idle[0], coming[0], total[1], used[1], idle[1], coming[1],
              l->demand_peak);
}

void leader_scale(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    if (time_ms_since(now, l->scaled_at) < SCALE_MS)
        return;
    double passed = l->scaled_at.us ? (double)time_ms_since(now, l->scaled_at) / 1000 : 1;
    l->scaled_at = now;
    double used = leader_used_cpus(l);
    l->demand_peak = MAX(used, l->demand_peak + (used - l->demand_peak) * MIN(passed / 60, 1));
    if (log_debug_on())
        log_fleet(l);
    leader_measure_paces(l);
    measure_services(l);
    rent_for_demand(l);
    return_useless(l);
    return_idle(l);
    tell_gone(l);
}
