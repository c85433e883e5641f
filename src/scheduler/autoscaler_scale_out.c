#include "autoscaler_scale_out.h"

#include "job_queue.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard.h"

#include <math.h>

enum {
    RATE_SLOTS = 8,
    RATE_SLOT_MS = 30000,
    MOST_ORDERED = 200,     /* machines at a time */
    SILENT_ZONE_AFTER = 3,  /* machines: fewer may fail by themselves */
    SILENT_ZONE_MS = 30000, /* after the last sign of it */
};

struct offer {
    const struct machine_type *type;
    const char *zone;
    bool spot;
    int number;
};

static void add_planned(GArray *rooms, const char *type_name, const char *zone, bool spot,
                        struct room free)
{
    struct planned planned = {type_name, zone, spot, free};
    g_array_append_val(rooms, planned);
}

void leader_rooms_coming(struct leader *leader, GArray *rooms)
{
    GHashTableIter it;
    struct fleet_machine *machine;
    mono_time now = loop_now(leader->loop);
    g_hash_table_iter_init(&it, fleet_machines(leader->fleet));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        struct leader_host *host = leader_host_get(leader, machine->id.s);
        const struct machine_type *type = type_named(leader_types_now(leader), machine->type_name);
        if (fleet_returning(leader->fleet, machine->id.s) || machine->stage == RENTAL_FAILED ||
            !type || (host && host->told && (host->flags & HOST_KNOWN)))
            continue;
        if (time_ms_since(now, machine->rented) > (int64_t)(type->boot_s * 1700))
            continue;
        add_planned(rooms, machine->type_name, machine->zone, machine->spot, room_of_type(type));
    }
    for (guint i = 0; i < leader_types_now(leader)->len; i++) {
        const struct machine_type *type =
            &g_array_index(leader_types_now(leader), struct machine_type, i);
        for (int y = 0; type->zones[y]; y++)
            for (int spot = 0; spot < 2; spot++)
                for (int n = fleet_requested(leader->fleet, type->name, type->zones[y], spot);
                     n > 0; n--)
                    add_planned(rooms, type->name, type->zones[y], spot, room_of_type(type));
    }
}

/* Takes room that is on its way for so many tasks; tells how many found none. */
static int64_t take_planned(GArray *rooms, const struct spec *s, struct room ask, const char *zone,
                            int64_t n)
{
    /* Cheap ones first where they will do: services need the others. */
    for (int spot = 1; spot >= 0; spot--)
        for (guint i = 0; i < rooms->len && n > 0; i++) {
            struct planned *planned = &g_array_index(rooms, struct planned, i);
            if (planned->spot != spot || !room_holds(planned->free, ask) ||
                !spec_allows(s, planned->type_name, planned->zone, planned->spot) ||
                (zone && strcmp(zone, planned->zone) != 0))
                continue;
            int64_t k = MIN(n, room_times(planned->free, ask));
            room_sub(
                &planned->free,
                (struct room){{ask.cpus.milli * k}, {ask.gpus.milli * k}, {ask.memory.milli * k}});
            n -= k;
        }
    return n;
}

/* Whether most machines of a zone are silent: it is cut off, and what is rented there could not
 * report. */
static bool zone_is_silent(struct leader *leader, const char *zone)
{
    int lost = 0, heard = 0;
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!host->told || strcmp(host->zone, zone) != 0)
            continue;
        lost += (host->flags & HOST_LOST) != 0;
        heard += (host->flags & HOST_KNOWN) && !(host->flags & (HOST_LOST | HOST_QUIET));
    }
    return lost >= SILENT_ZONE_AFTER && lost > heard;
}

/* Notes when zones were last seen to be silent. Their machines are returned one after the other, so
 * that the sign of it passes sooner than the cut does. */
static void watch_zones(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    for (guint i = 0; i < leader->settings->zones->len; i++)
        if (zone_is_silent(leader, leader->settings->zones->pdata[i]))
            leader->zone_silent_until[i] = time_add_ms(now, SILENT_ZONE_MS);
}

static bool zone_shunned(struct leader *leader, const char *zone)
{
    for (guint i = 0; i < leader->settings->zones->len; i++)
        if (strcmp(leader->settings->zones->pdata[i], zone) == 0)
            return time_before(loop_now(leader->loop), leader->zone_silent_until[i]);
    return false;
}

/* The offer that holds n tasks at the least price a task, a little in favour of quick boots. In a
 * zone that is silent only without shun_silent. */
static bool best_offer(struct leader *leader, const struct spec *spec, struct room ask, int64_t n,
                       const char *zone, bool spot_only, bool shun_silent, struct offer *out)
{
    double least = 0;
    out->type = NULL;
    const GArray *types = leader_types_now(leader);
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        int64_t per = MIN(room_times(room_of_type(type), ask), n);
        if (per < 1)
            continue;
        for (int y = 0; type->zones[y]; y++)
            for (int spot = spot_only; spot < 2; spot++) {
                if (!spec_allows(spec, type->name, type->zones[y], spot) ||
                    (zone && strcmp(zone, type->zones[y]) != 0) ||
                    fleet_refused(leader->fleet, type->name, type->zones[y], spot) ||
                    (shun_silent && zone_shunned(leader, type->zones[y])))
                    continue;
                double price = (spot ? type->spot_price : type->price) / (double)per *
                               (1 + type->boot_s / 300);
                if (!out->type || price < least) {
                    least = price;
                    *out = (struct offer){type, type->zones[y], spot, 0};
                }
            }
    }
    return out->type != NULL;
}

static void order_offer(GArray *orders, const struct offer *o)
{
    for (guint i = 0; i < orders->len; i++) {
        struct offer *x = &g_array_index(orders, struct offer, i);
        if (x->type == o->type && x->zone == o->zone && x->spot == o->spot) {
            x->number++;
            return;
        }
    }
    struct offer n = *o;
    n.number = 1;
    g_array_append_val(orders, n);
}

/* Finds room for n more tasks: what is on its way first, then new machines. */
static int64_t want(struct leader *leader, GArray *rooms, GArray *orders, const struct spec *s,
                    struct room ask, int64_t n, const char *zone, bool spot_only)
{
    int total = 0;
    for (guint i = 0; i < orders->len; i++)
        total += g_array_index(orders, struct offer, i).number;
    n = take_planned(rooms, s, ask, zone, n);
    while (n > 0) {
        struct offer offer;
        if (total >= MOST_ORDERED ||
            (!best_offer(leader, s, ask, n, zone, spot_only, true, &offer) &&
             !best_offer(leader, s, ask, n, zone, spot_only, false, &offer)))
            return n;
        total++;
        order_offer(orders, &offer);
        add_planned(rooms, offer.type->name, offer.zone, offer.spot, room_of_type(offer.type));
        n = take_planned(rooms, s, ask, zone, n);
    }
    return 0;
}

/* Room in one zone, or anywhere. Ordinary machines are rented for work that spot machines could do
 * only once no more of these are to be had. */
static void want_tasks(struct leader *leader, GArray *rooms, GArray *orders, struct leader_job *j,
                       const struct spec *s, int64_t n, const char *zone, bool pressing)
{
    if (s->spot)
        n = want(leader, rooms, orders, s, j->room, n, zone, true);
    if (!s->spot || pressing)
        want(leader, rooms, orders, s, j->room, n, zone, false);
}

/* What waits of the job and may run, after all that goes before it in its team. */
static int64_t count_wanted(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    struct leader_team *team = &leader->teams[job->team];
    struct room left = room_left(leader_limit_left(team), team->wanted);
    int64_t n = MIN(leader_count_allowed(leader, job, job_view), room_times(left, job->room));
    n = MAX(n - job->gang.held_tasks, 0); /* for the rest of a gang room is there */
    room_add(&team->wanted,
             (struct room){{job->room.cpus.milli * n}, {job->room.gpus.milli * n}, {0}});
    return n;
}

/* The zone that a job which has to be in one has tasks in already, where the rest of it must go;
 * NULL: none. */
static const char *settled_zone(struct leader *leader, struct leader_job *job,
                                const struct spec *spec)
{
    for (guint i = 0; spec->one_zone && i < leader->settings->zones->len; i++)
        if (leader_in_zone(leader, job, leader->settings->zones->pdata[i]))
            return leader->settings->zones->pdata[i];
    return NULL;
}

static void want_job(struct leader *leader, GArray *rooms, GArray *orders, struct leader_job *j,
                     struct job *v, bool pressing)
{
    const struct spec *spec = v->spec;
    int64_t n = count_wanted(leader, j, v);
    if (!spec->apart) {
        want_tasks(leader, rooms, orders, j, spec, n, settled_zone(leader, j, spec), pressing);
        return;
    }
    /* Each zone may take up to half of the tasks. */
    for (guint i = 0; i < leader->settings->zones->len && n > 0; i++) {
        const char *zone = leader->settings->zones->pdata[i];
        int64_t there = leader_in_zone(leader, j, zone), most = (spec->tasks + 1) / 2 - there;
        int64_t here = CLAMP(most, 0, n);
        want_tasks(leader, rooms, orders, j, spec, here, zone, pressing);
        n -= here;
    }
}

struct room leader_free_everywhere(struct leader *leader)
{
    struct room sum = {0};
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (leader_host_takes(leader, host))
            room_add(&sum, leader_host_free_room(host));
    return sum;
}

/* The processors that are there or on their way for work that spot machines can do. */
static double work_cpus(struct leader *leader, GArray *rooms)
{
    double cpus = 1;
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (host->told && (host->flags & HOST_KNOWN))
            cpus += (double)(host->total.cpus.milli - host->pinned.cpus.milli) / 1000;
    for (guint i = 0; i < rooms->len; i++) {
        struct planned *planned = &g_array_index(rooms, struct planned, i);
        cpus += (double)planned->free.cpus.milli / 1000;
    }
    return cpus;
}

/* The size of a task of the services that run, and how many of their tasks come in a second. The
 * busiest stretch of time is left out, so that many that come at once do not count for what is
 * usual. */
static void measure_services(struct leader *leader)
{
    int64_t n = 0, slots[RATE_SLOTS] = {0}, sum = 0, most = 0, seen = 2;
    struct room total = {0};
    wall_time now = loop_wall(leader->loop);
    GHashTableIter it;
    struct leader_job *job;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_view = view_job(leader->view, job->id.s);
        if (!job->service || !job_view || !job_view->known)
            continue;
        room_add(&total, (struct room){{job->room.cpus.milli * job_view->tasks},
                                       {job->room.gpus.milli * job_view->tasks},
                                       {job->room.memory.milli * job_view->tasks}});
        n += job_view->tasks;
        int64_t slot = (now.ms - job_view->submitted.ms) / RATE_SLOT_MS;
        seen = MAX(seen, MIN(slot + 1, RATE_SLOTS));
        if (slot >= 0 && slot < RATE_SLOTS)
            slots[slot] += job_view->tasks;
    }
    for (int i = 0; i < RATE_SLOTS; i++) {
        sum += slots[i];
        most = MAX(most, slots[i]);
    }
    if (n)
        leader->service_usual =
            (struct room){{total.cpus.milli / n}, {total.gpus.milli / n}, {total.memory.milli / n}};
    leader->service_rate = (double)(sum - most) * 1000 / (double)((seen - 1) * RATE_SLOT_MS);
    leader->services = n > 0;
}

/* How many more tasks of services a zone's ordinary machines could hold. */
static int64_t service_room(struct leader *leader, struct room usual, const char *zone)
{
    int64_t n = 0;
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (!host->spot && leader_host_takes(leader, host) && strcmp(host->zone, zone) == 0)
            n += room_times(room_left(host->total, host->pinned), usual);
    return n;
}

/* Room for the services that come next, in every zone, on ordinary machines. Until then it is not
 * idle: arrays use it and are preempted. */
static void want_for_services(struct leader *leader, GArray *rooms, GArray *orders)
{
    if (!leader->services)
        return;
    struct room usual = leader->service_usual;
    struct policy_value value[POLICY_INPUTS] = {0};
    leader_load_inputs(leader, value);
    struct spec any = {.form = FORM_SERVICE};
    guint zones = leader->settings->zones->len;
    int64_t each =
        (int64_t)round(leader->service_rate * leader_slowest_boot(leader) *
                       policy_number(leader->policy, POLICY_SERVICE_SPARE, value) / zones);
    int64_t unmet = 0;
    for (guint i = 0; i < zones; i++) {
        const char *zone = leader->settings->zones->pdata[i];
        leader->service_lack[i] = each - service_room(leader, usual, zone);
        if (leader->service_lack[i] > 0)
            unmet += want(leader, rooms, orders, &any, usual, leader->service_lack[i], zone, false);
    }
    /* A zone that has no more machines to give is helped by room in another, where replicas that
     * are free to go are moved to. */
    for (guint i = 0; i < zones && unmet > 0; i++) {
        leader->service_lack[i] += unmet;
        if (leader->service_lack[i] > 0 && leader->service_lack[i] <= unmet)
            want(leader, rooms, orders, &any, usual, leader->service_lack[i],
                 leader->settings->zones->pdata[i], false);
    }
}

void leader_rent_for_demand(struct leader *leader)
{
    measure_services(leader);
    if (!leader_types_now(leader) || !fleet_listed(leader->fleet))
        return;
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct planned));
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct offer));
    fleet_forget_unsent(leader->fleet);
    watch_zones(leader);
    for (int i = 0; i < leader->n_teams; i++)
        leader->teams[i].wanted = (struct room){0};
    leader_rooms_coming(leader, rooms);
    /* Ordinary machines are rented for work that spot machines could do only when these would not
     * get to it in time, behind all that goes before it. */
    double have = work_cpus(leader, rooms), work = 0;
    for (int rank = 0; rank < RANKS; rank++) {
        if (rank == 1)
            want_for_services(leader, rooms, orders);
        for (int i = 0; i < leader->n_teams; i++)
            for (guint k = 0; k < leader->teams[i].ready->len; k++) {
                struct leader_job *job = leader->teams[i].ready->pdata[k];
                struct job *job_view = job->view;
                if (leader_rank_of(leader, job) != rank)
                    continue;
                work += (double)leader_count_allowed(leader, job, job_view) *
                        job_view->spec->expected_s * (double)job->room.cpus.milli / 1000;
                bool pressing = leader_may_rent_ordinary(leader, job, job_view->spec, work / have);
                want_job(leader, rooms, orders, job, job_view, pressing);
            }
    }
    /* Room to spare, for what comes next: one processor at a time, on whatever is cheapest. */
    struct spec any = {.spot = true};
    struct room one = {{1000}, {0}, {1500}};
    double spare =
        leader_spare_cpus(leader) - (double)leader_free_everywhere(leader).cpus.milli / 1000;
    if (spare > 0)
        want(leader, rooms, orders, &any, one, (int64_t)ceil(spare), NULL, true);
    for (guint i = 0; i < orders->len; i++) {
        struct offer *offer = &g_array_index(orders, struct offer, i);
        for (int n = offer->number; n > 0; n -= FLEET_MOST_RENTED)
            fleet_rent(leader->fleet, offer->type->name, offer->zone, offer->spot,
                       MIN(n, FLEET_MOST_RENTED));
    }
    g_array_unref(rooms);
    g_array_unref(orders);
}
