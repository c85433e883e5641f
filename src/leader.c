#include "leader.h"

#include "log.h"
#include "part.h"
#include "room.h"
#include "score.h"

#include <math.h>
#include <stdlib.h>

enum {
    TICK_MS = 200,
    SCALE_MS = 500,
    SETTLE_MS = 1500, /* after a new epoch: for the digests to come in */
    DEALS_A_PASS = 64,
    OUT_TIMEOUT_MS = 1500,
    UNREACHABLE_MS = 4000,
    EXCLUDE_MS = 20000,
    AVOID_MS = 1500,
    MOVE_AFTER_MS = 35000, /* a start counts once it has run for a while */
    PREEMPT_TASKS = 32,
    PREEMPT_MS = 1000, /* for what was stopped to be off the record */
    USUAL_PATIENCE_S = 60,
    RATE_SLOTS = 8,
    RATE_SLOT_MS = 30000,
    ATTEMPT_BITS = 20,
    MOST_DEFICIT = 10000000,
};

/* Times its patience, when a late job has its place in the queue again. */
static const double VERY_LATE = 10;

/* A task that is on record, as the ledger counts it. */
struct entry {
    attempt_no attempt;
    host_id host;
    mono_time since;
    bool halted;
};

/* A task dealt to a part and not on record yet. */
struct deal {
    attempt_no attempt;
    struct lhost *host; /* where there was room; the part may choose another of its machines */
    char yard[48];
};

struct ljob {
    job_id id;
    int team;
    struct room room; /* of one task */
    bool service;
    enum urgency urgency;
    GHashTable *entries, *deals; /* index + 1 -> */
    uint32_t cursor;             /* no task below it waits */
    bool finishing, compacting;
    bool blocked; /* in this pass: no machine has room */
    mono_time not_before, preempted_at;
    int failures;
    GHashTable *failed_on;
    mono_time gang_since;
};

struct lhost {
    host_id id;
    char build[48], yard[48];
    bool loaners;
    char *owner;
    int flags;
    struct room total, booked, dealt, pinned;
    mono_time seen, idle_since, first_seen, avoid_until;
    bool told; /* in its owner's last digest */
    bool sick;
    GHashTable *failed_jobs;
};

struct lteam {
    const struct team *team;
    struct room used;    /* on record or dealt */
    struct room halting; /* of that, told to stop */
    double deficit;
    GPtrArray *ready; /* struct ljob, in this pass */
};

/* What goes to one part, one message after the other. */
struct lpart {
    char *label;
    uint64_t seq;
    cJSON *deal, *halt, *gone;
    cJSON *sending; /* until it is acknowledged */
    bool out;
    mono_time failing_since;
    bool digested;
};

struct leader {
    struct actor actor;
    struct loop *loop;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    const struct settings *settings;
    const struct policy *policy;
    struct fleet *fleet;
    bool leading;
    epoch_no epoch;
    mono_time epoch_at;
    uint64_t generation, attempts;
    GHashTable *jobs, *hosts, *parts;
    struct lteam *teams;
    int n_teams;
    int first_team; /* that this pass begins with */
    struct timer tick, pass;
    mono_time scaled_at;
    double demand_peak;
    int64_t *service_lack; /* of tasks, by zone; negative: room to spare */
    double *zone_cpus;     /* of ordinary machines, as in settings->zones */
};

static void on_view(struct leader *l, const GArray *changes);
static void tick(void *arg);
static void pass(void *arg);
static void part_send(struct leader *l, struct lpart *p);
static int on_digest(void *ctx, const char *from, const cJSON *m, cJSON **answer);

static void pass_soon(struct leader *l)
{
    if (!l->pass.place)
        timer_start(l->loop, &l->pass, 2);
}

static void receive(struct actor *self, const struct message *m)
{
    struct leader *l = (struct leader *)self;
    if (m->kind == MSG_VIEW)
        on_view(l, m->body);
    else if (m->kind == MSG_FLEET)
        pass_soon(l);
}

static void ljob_free(gpointer q)
{
    struct ljob *j = q;
    g_hash_table_unref(j->entries);
    g_hash_table_unref(j->deals);
    if (j->failed_on)
        g_hash_table_unref(j->failed_on);
    g_free(j);
}

static void lhost_free(gpointer q)
{
    struct lhost *h = q;
    g_free(h->owner);
    if (h->failed_jobs)
        g_hash_table_unref(h->failed_jobs);
    g_free(h);
}

static void lpart_free(gpointer q)
{
    struct lpart *p = q;
    cJSON_Delete(p->deal);
    cJSON_Delete(p->halt);
    cJSON_Delete(p->gone);
    cJSON_Delete(p->sending);
    g_free(p->label);
    g_free(p);
}

struct leader *leader_new(struct loop *loop, struct net *net, struct store *store,
                          struct view *view, struct membership *members, struct bus *bus,
                          const struct settings *settings, const struct policy *policy)
{
    struct leader *l = g_new0(struct leader, 1);
    l->actor = (struct actor){"leader", receive};
    l->loop = loop;
    l->store = store;
    l->view = view;
    l->members = members;
    l->bus = bus;
    l->settings = settings;
    l->policy = policy;
    l->fleet = fleet_new(loop, net, store, view, members, settings, &l->actor);
    l->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ljob_free);
    l->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lhost_free);
    l->parts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lpart_free);
    l->service_lack = g_new0(int64_t, settings->zones->len);
    l->zone_cpus = g_new0(double, settings->zones->len);
    l->n_teams = (int)settings->teams->len;
    l->teams = g_new0(struct lteam, l->n_teams);
    for (int i = 0; i < l->n_teams; i++) {
        l->teams[i].team = &g_array_index(settings->teams, struct team, i);
        l->teams[i].ready = g_ptr_array_new();
    }
    timer_init(&l->tick, tick, l);
    timer_init(&l->pass, pass, l);
    view_listen(view, &l->actor);
    bus_handle(bus, "digest", on_digest, l);
    return l;
}

void leader_free(struct leader *l)
{
    timer_stop(l->loop, &l->tick);
    timer_stop(l->loop, &l->pass);
    fleet_free(l->fleet);
    g_hash_table_unref(l->jobs);
    g_hash_table_unref(l->hosts);
    g_hash_table_unref(l->parts);
    for (int i = 0; i < l->n_teams; i++)
        g_ptr_array_unref(l->teams[i].ready);
    g_free(l->teams);
    g_free(l->service_lack);
    g_free(l->zone_cpus);
    g_free(l);
}

void leader_start(struct leader *l)
{
    timer_start(l->loop, &l->tick, TICK_MS);
}

/* ---- the ledger ---- */

static struct ljob *ljob_get(struct leader *l, const char *id)
{
    return g_hash_table_lookup(l->jobs, id);
}

/* NULL when the job's description is not known any more, which is only so once nothing of it is on
 * record. */
static struct ljob *ljob_make(struct leader *l, job_id id)
{
    struct ljob *j = ljob_get(l, id.s);
    if (j)
        return j;
    struct job *v = view_job(l->view, id.s);
    int team = v && v->spec ? settings_team(l->settings, v->spec->crew) : -1;
    if (team < 0)
        return NULL;
    j = g_new0(struct ljob, 1);
    j->id = id;
    j->team = team;
    j->room = room_of_spec(v->spec);
    j->service = v->spec->form == FORM_SERVICE;
    j->urgency = v->spec->urgency;
    j->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    j->deals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_hash_table_insert(l->jobs, j->id.s, j);
    return j;
}

static gpointer key_of(uint32_t index)
{
    return GUINT_TO_POINTER(index + 1);
}

static struct lhost *lhost_get(struct leader *l, const char *id)
{
    return g_hash_table_lookup(l->hosts, id);
}

static struct lhost *lhost_make(struct leader *l, host_id id, const char *build, const char *yard,
                                bool loaners)
{
    struct lhost *h = lhost_get(l, id.s);
    if (!h) {
        h = g_new0(struct lhost, 1);
        h->id = id;
        h->first_seen = h->idle_since = loop_now(l->loop);
        g_hash_table_insert(l->hosts, h->id.s, h);
    }
    g_strlcpy(h->build, build, sizeof h->build);
    g_strlcpy(h->yard, yard, sizeof h->yard);
    h->loaners = loaners;
    const struct machine_type *t = type_named(l->view->types, build);
    if (t)
        h->total = room_of_type(t);
    return h;
}

static void deal_drop(struct leader *l, struct ljob *j, uint32_t index)
{
    struct deal *d = g_hash_table_lookup(j->deals, key_of(index));
    if (!d)
        return;
    if (d->host)
        room_sub(&d->host->dealt, j->room);
    room_sub(&l->teams[j->team].used, j->room);
    g_hash_table_remove(j->deals, key_of(index));
    j->cursor = MIN(j->cursor, index);
}

static void entry_add(struct leader *l, job_id job, uint32_t index, attempt_no attempt,
                      host_id host)
{
    struct ljob *j = ljob_make(l, job);
    if (!j || g_hash_table_contains(j->entries, key_of(index)))
        return;
    struct deal *d = g_hash_table_lookup(j->deals, key_of(index));
    if (d && d->attempt.v == attempt.v)
        deal_drop(l, j, index);
    struct entry *e = g_new(struct entry, 1);
    *e = (struct entry){attempt, host, loop_now(l->loop), false};
    g_hash_table_insert(j->entries, key_of(index), e);
    room_add(&l->teams[j->team].used, j->room);
    struct host_record *rec = view_host(l->view, host.s);
    struct lhost *h = lhost_get(l, host.s);
    if (!h && rec)
        h = lhost_make(l, host, rec->build, rec->yard, rec->loaners);
    if (h)
        room_add(&h->booked, j->room);
    if (h && j->service)
        room_add(&h->pinned, j->room);
}

static void entry_remove(struct leader *l, job_id job, uint32_t index, attempt_no attempt)
{
    struct ljob *j = ljob_get(l, job.s);
    struct entry *e = j ? g_hash_table_lookup(j->entries, key_of(index)) : NULL;
    if (!e || e->attempt.v != attempt.v)
        return;
    struct lhost *h = lhost_get(l, e->host.s);
    if (h) {
        room_sub(&h->booked, j->room);
        if (j->service)
            room_sub(&h->pinned, j->room);
        h->idle_since = loop_now(l->loop);
    }
    room_sub(&l->teams[j->team].used, j->room);
    if (e->halted)
        room_sub(&l->teams[j->team].halting, j->room);
    g_hash_table_remove(j->entries, key_of(index));
    j->cursor = MIN(j->cursor, index);
}

static struct lpart *lpart_make(struct leader *l, const char *label)
{
    struct lpart *p = g_hash_table_lookup(l->parts, label);
    if (!p) {
        p = g_new0(struct lpart, 1);
        p->label = g_strdup(label);
        g_hash_table_insert(l->parts, p->label, p);
    }
    return p;
}

/* A new epoch, or this node has just come to lead: everything is taken from the view. What was
 * dealt under an earlier epoch and is not on record by now never will be, as every record is
 * conditioned on the map. */
static void rebuild(struct leader *l)
{
    l->epoch = l->view->epoch;
    l->epoch_at = loop_now(l->loop);
    l->generation++;
    l->attempts = 0;
    GHashTable *old = l->jobs;
    l->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ljob_free);
    g_hash_table_remove_all(l->parts);
    for (int i = 0; i < l->n_teams; i++)
        l->teams[i].used = l->teams[i].halting = (struct room){0};
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        h->booked = h->dealt = h->pinned = (struct room){0};
        h->told = false;
        h->flags = 0;
    }
    for (guint i = 0; i < l->view->map->len; i++)
        lpart_make(l, g_array_index(l->view->map, struct map_entry, i).label);
    struct host_record *rec;
    g_hash_table_iter_init(&it, l->view->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rec)) {
        lhost_make(l, rec->id, rec->build, rec->yard, rec->loaners);
        for (guint i = 0; i < rec->tasks->len; i++) {
            struct placed *t = rec->tasks->pdata[i];
            entry_add(l, t->job->id, t->index, t->attempt, rec->id);
        }
    }
    struct job *j;
    g_hash_table_iter_init(&it, l->view->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
        if (!j->known || (j->state != JOB_LIVE && !j->spec))
            continue;
        struct ljob *n = ljob_make(l, j->id), *o = g_hash_table_lookup(old, j->id.s);
        if (n && o) { /* what was learnt of it stays */
            n->failures = o->failures;
            n->not_before = o->not_before;
            n->failed_on = g_steal_pointer(&o->failed_on);
        }
    }
    g_hash_table_unref(old);
    LOG_INFO("leading", "jobs=%u machines=%u", g_hash_table_size(l->jobs),
             g_hash_table_size(l->hosts));
}

/* ---- ends of jobs ---- */

struct finish {
    struct leader *leader;
    job_id job;
};

static void finish_seen(void *arg, bool ok)
{
    struct finish *f = arg;
    (void)ok;
    struct ljob *j = ljob_get(f->leader, f->job.s);
    if (j)
        j->finishing = false;
    pass_soon(f->leader);
    g_free(f);
}

static void finish_answered(void *arg, const struct txn_outcome *o)
{
    struct finish *f = arg;
    if (o->result == TXN_DONE || o->result == TXN_CONFLICT)
        view_await(f->leader->view, o->at, finish_seen, f);
    else
        view_barrier(f->leader->view, finish_seen, f);
}

/* The marks of a finished job go in the same transaction as far as they fit, and later otherwise.
 */
static void remove_marks(struct leader *l, struct job *v, struct txn *t)
{
    if (!v->marks)
        return;
    GHashTableIter it;
    char *key;
    g_hash_table_iter_init(&it, v->marks);
    while (g_hash_table_iter_next(&it, (gpointer *)&key, NULL) &&
           txn_writes(t) < (guint)store_limits(l->store)->txn_ops)
        txn_remove(t, key);
}

static void finish(struct leader *l, struct ljob *j, struct job *v, const char *final)
{
    struct txn *t = txn_new();
    char *key = key_job(j->id);
    json_object *o = json_object_new_object();
    json_put_text(o, "f", final);
    json_put_u64(o, "n", v->tasks);
    txn_when(t, key, v->stamp);
    txn_when(t, KEY_LEADER, l->view->leader_stamp);
    txn_set(t, key, o, (lease_id){0});
    g_free(key);
    remove_marks(l, v, t);
    j->finishing = true;
    struct finish *f = g_new(struct finish, 1);
    *f = (struct finish){l, j->id};
    store_txn(l->store, LANE_URGENT, t, finish_answered, f);
}

static void consider_end(struct leader *l, struct ljob *j)
{
    struct job *v = view_job(l->view, j->id.s);
    if (!v || !v->known || j->finishing || !v->spec)
        return;
    if (v->state == JOB_LIVE && v->n_done == v->tasks)
        finish(l, j, v, "done");
    else if (v->state == JOB_CANCELLED && !v->placed && !g_hash_table_size(j->entries))
        finish(l, j, v, "cancelled");
}

static bool over(struct leader *l, struct ljob *j)
{
    struct job *v = view_job(l->view, j->id.s);
    return (!v || !v->spec) && !g_hash_table_size(j->entries) && !j->finishing;
}

static void swept(void *arg, const struct txn_outcome *o)
{
    (void)arg;
    (void)o;
}

/* Marks that a part wrote for a job that had just been finished. */
static void sweep_marks(struct leader *l, struct job *v)
{
    struct txn *t = txn_new();
    txn_when(t, KEY_LEADER, l->view->leader_stamp);
    remove_marks(l, v, t);
    store_txn(l->store, LANE_NORMAL, t, swept, l);
}

/* ---- policy ---- */

static const GArray *types_now(struct leader *l)
{
    return fleet_types(l->fleet) ? fleet_types(l->fleet) : l->view->types;
}

static double quickest_boot(struct leader *l)
{
    double least = 1e9;
    for (guint i = 0; i < types_now(l)->len; i++)
        least = MIN(least, g_array_index(types_now(l), struct machine_type, i).ready_s);
    return least;
}

static double slowest_boot(struct leader *l)
{
    double most = 0;
    for (guint i = 0; i < types_now(l)->len; i++)
        most = MAX(most, g_array_index(types_now(l), struct machine_type, i).ready_s);
    return most;
}

/* How long the job's tasks may wait, by what its class is expected to do. Renting cannot meet a
 * wait shorter than a boot, so such an aim does not count here. */
static double patience_s(struct leader *l, const struct spec *s)
{
    double patience = USUAL_PATIENCE_S, boot = quickest_boot(l);
    for (guint i = 0; i < l->settings->objectives->len; i++) {
        const struct objective *o = &g_array_index(l->settings->objectives, struct objective, i);
        if (strcmp(o->class, s->lot) != 0)
            continue;
        double left = patience;
        if (o->kind == OBJECTIVE_WAIT)
            left = o->within_s;
        else if (o->kind == OBJECTIVE_FINISHED)
            left = o->within_s - s->expected_s;
        else if (o->kind == OBJECTIVE_DEADLINE && s->due_s >= 0)
            left = s->due_s - s->expected_s;
        if (left > boot)
            patience = MIN(patience, left);
    }
    return patience;
}

static double used_cpus(struct leader *l)
{
    double sum = 0;
    for (int i = 0; i < l->n_teams; i++)
        sum += (double)l->teams[i].used.cpus.milli / 1000;
    return sum;
}

/* Inputs that tell of the load. */
static void load_inputs(struct leader *l, struct policy_value *in)
{
    in[INPUT_USED_CPUS].number = used_cpus(l);
    in[INPUT_PEAK_CPUS].number = l->demand_peak;
}

static void job_inputs(struct leader *l, const struct spec *s, struct policy_value *in)
{
    load_inputs(l, in);
    in[INPUT_TEAM].text = s->crew;
    in[INPUT_CLASS].text = s->lot;
    in[INPUT_PRIORITY].text = codec_urgency_word(s->urgency);
}

static double spare_cpus(struct leader *l)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    load_inputs(l, in);
    return floor(policy_number(l->policy, POLICY_SPARE_CPUS, in));
}

/* Whether ordinary machines may be rented for a job that spot ones could run, once no more of these
 * are to be had. */
static bool may_rent_ordinary(struct leader *l, const struct spec *s, double backlog_s)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    job_inputs(l, s, in);
    in[INPUT_BACKLOG_S].number = backlog_s;
    in[INPUT_PATIENCE_S].number = patience_s(l, s);
    return policy_flag(l->policy, POLICY_RENT_ORDINARY, in);
}

static bool may_preempt(struct leader *l, const struct spec *s)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    job_inputs(l, s, in);
    return policy_flag(l->policy, POLICY_PREEMPT, in);
}

static double idle_ms(struct leader *l, const struct lhost *h)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    load_inputs(l, in);
    in[INPUT_TYPE].text = h->build;
    in[INPUT_ZONE].text = h->yard;
    in[INPUT_SPOT].flag = h->loaners;
    in[INPUT_CPUS].number = (double)h->total.cpus.milli / 1000;
    return policy_number(l->policy, POLICY_IDLE_S, in) * 1000;
}

/* ---- dealing ---- */

static bool host_takes(struct leader *l, struct lhost *h)
{
    mono_time now = loop_now(l->loop);
    struct fleet_machine *m = g_hash_table_lookup(fleet_machines(l->fleet), h->id.s);
    return h->told && !h->sick && (h->flags & HOST_KNOWN) &&
           !(h->flags & (HOST_LOST | HOST_RECALLED | HOST_QUIET)) &&
           !fleet_gone(l->fleet, h->id.s) && !(m && m->returning) &&
           !time_before(now, h->avoid_until);
}

static struct room host_free_room(const struct lhost *h)
{
    return room_left(room_left(h->total, h->booked), h->dealt);
}

static bool host_has_image(struct leader *l, const struct lhost *h, const char *image)
{
    struct host_record *rec = view_host(l->view, h->id.s);
    return rec && rec->images && g_strv_contains((const char *const *)rec->images, image);
}

/* How many of a job's tasks are in a zone, or are about to be. */
static uint32_t in_zone(struct leader *l, struct ljob *j, const char *yard)
{
    uint32_t n = 0;
    GHashTableIter it;
    struct entry *e;
    struct deal *d;
    g_hash_table_iter_init(&it, j->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
        struct lhost *h = lhost_get(l, e->host.s);
        struct host_record *rec = view_host(l->view, e->host.s);
        const char *y = h ? h->yard : rec ? rec->yard : NULL;
        /* Where it is cannot be told: it counts everywhere. */
        n += !y || strcmp(y, yard) == 0;
    }
    g_hash_table_iter_init(&it, j->deals);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&d))
        n += strcmp(d->yard, yard) == 0;
    return n;
}

/* OneZone and Apart are decided here, on records and deals; the zone is part of the deal. */
static bool zone_allowed(struct leader *l, struct ljob *j, const struct spec *s, const char *yard)
{
    uint32_t there = in_zone(l, j, yard);
    if (s->one_zone) {
        uint32_t all = g_hash_table_size(j->entries) + g_hash_table_size(j->deals);
        if (there != all)
            return false;
    }
    return !s->apart || there < (s->tasks + 1) / 2;
}

/* The processors of a zone's ordinary machines beside those of the largest zone. */
static double zone_roomy(struct leader *l, const char *yard)
{
    double here = 0, most = 0;
    for (guint i = 0; i < l->settings->zones->len; i++) {
        most = MAX(most, l->zone_cpus[i]);
        if (strcmp(l->settings->zones->pdata[i], yard) == 0)
            here = l->zone_cpus[i];
    }
    return most > 0 ? here / most : 1;
}

static void measure_zones(struct leader *l)
{
    memset(l->zone_cpus, 0, sizeof *l->zone_cpus * l->settings->zones->len);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        for (guint i = 0; i < l->settings->zones->len && h->told && !h->loaners; i++)
            if (strcmp(l->settings->zones->pdata[i], h->yard) == 0)
                l->zone_cpus[i] += (double)h->total.cpus.milli / 1000;
}

static struct lhost *choose_host(struct leader *l, struct ljob *j, const struct spec *s)
{
    struct lhost *best = NULL, *h;
    double best_score = 0;
    bool zoned = s->one_zone || s->apart;
    GHashTableIter it;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!spec_allows(s, h->build, h->yard, h->loaners) || !host_takes(l, h) ||
            !room_holds(host_free_room(h), j->room))
            continue;
        if (zoned && !zone_allowed(l, j, s, h->yard))
            continue;
        struct room taken = h->booked;
        room_add(&taken, h->dealt);
        struct score_facts facts = {host_has_image(l, h, s->image), h->loaners,
                                    room_share(taken, h->total), room_share(h->pinned, h->total),
                                    zone_roomy(l, h->yard)};
        double score = score_host(s, &facts);
        if (!best || score > best_score ||
            (score == best_score && strcmp(h->id.s, best->id.s) < 0)) {
            best = h;
            best_score = score;
        }
    }
    return best;
}

static attempt_no next_attempt(struct leader *l)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++l->attempts >> ATTEMPT_BITS)
        membership_raise(l->members, "attempts used up");
    return (attempt_no){l->epoch.v << ATTEMPT_BITS | (l->attempts & ((1 << ATTEMPT_BITS) - 1))};
}

static void deal_to(struct leader *l, struct ljob *j, uint32_t index, attempt_no attempt,
                    struct lhost *h, bool bound)
{
    struct deal *d = g_new0(struct deal, 1);
    d->attempt = attempt;
    d->host = h;
    g_strlcpy(d->yard, h->yard, sizeof d->yard);
    g_hash_table_insert(j->deals, key_of(index), d);
    room_add(&h->dealt, j->room);
    room_add(&l->teams[j->team].used, j->room);
    struct job *v = view_job(l->view, j->id.s);
    struct lpart *p = lpart_make(l, h->owner);
    cJSON *x = cJSON_CreateObject();
    cJSON_AddStringToObject(x, "j", j->id.s);
    cJSON_AddNumberToObject(x, "i", index);
    bus_put_u64(x, "a", attempt.v);
    if (v->spec->one_zone || v->spec->apart)
        cJSON_AddStringToObject(x, "y", h->yard);
    if (bound)
        cJSON_AddStringToObject(x, "h", h->id.s);
    if (!p->deal)
        p->deal = cJSON_CreateArray();
    cJSON_AddItemToArray(p->deal, x);
}

static bool task_waits(const struct ljob *j, const struct job *v, uint32_t index)
{
    return !job_task_done(v, index) && !job_placed(v, index) &&
           !g_hash_table_contains(j->entries, key_of(index)) &&
           !g_hash_table_contains(j->deals, key_of(index));
}

/* The next task that waits, or the job's size. */
static uint32_t next_waiting(struct ljob *j, const struct job *v)
{
    while (j->cursor < v->tasks && !task_waits(j, v, j->cursor))
        j->cursor++;
    return j->cursor;
}

static uint32_t count_waiting(struct ljob *j, const struct job *v)
{
    uint32_t busy = g_hash_table_size(j->entries) + g_hash_table_size(j->deals) + v->n_done;
    return busy >= v->tasks ? 0 : v->tasks - busy;
}

static bool within(struct room used, struct room more, amount cpus, amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

static bool team_allows(struct leader *l, struct ljob *j)
{
    struct lteam *t = &l->teams[j->team];
    return within(t->used, j->room, t->team->cpus_max, t->team->gpus_max);
}

/* Whether what the job's class is expected to do can still be done. One that has waited for very
 * long has its place back, so that none waits for ever. */
static bool still_in_time(struct leader *l, const struct job *v)
{
    double waited = (double)(loop_wall(l->loop).ms - v->submitted.ms) / 1000;
    double patience = patience_s(l, v->spec);
    return waited < patience || waited > patience * VERY_LATE;
}

/* Classes of precedence: services first, as people wait on them; then what a team was promised;
 * then what it borrows. */
static int rank_of(struct leader *l, struct ljob *j, const struct spec *s)
{
    struct lteam *t = &l->teams[j->team];
    if (s->urgency == URGENCY_PROD)
        return 0;
    if (within(t->used, j->room, t->team->cpus, t->team->gpus))
        return s->urgency;
    struct job *v = view_job(l->view, j->id.s);
    return (still_in_time(l, v) ? 4 : 8) + s->urgency;
}

enum { RANKS = 12 };

/* Tasks that wait and that the team's limit leaves room for. */
static int64_t count_allowed(struct leader *l, struct ljob *j, struct job *v)
{
    struct lteam *t = &l->teams[j->team];
    struct room left = {{t->team->cpus_max.milli - t->used.cpus.milli},
                        {t->team->gpus_max.milli - t->used.gpus.milli},
                        {INT64_MAX / 4}};
    return MIN((int64_t)count_waiting(j, v), room_times(left, j->room));
}

static void halt(struct leader *l, struct ljob *j, uint32_t index, struct entry *e, double grace_s)
{
    struct lhost *h = lhost_get(l, e->host.s);
    if (!h || !h->owner)
        return;
    if (!e->halted)
        room_add(&l->teams[j->team].halting, j->room);
    e->halted = true;
    struct lpart *p = lpart_make(l, h->owner);
    cJSON *x = cJSON_CreateObject();
    cJSON_AddStringToObject(x, "h", e->host.s);
    cJSON_AddStringToObject(x, "j", j->id.s);
    cJSON_AddNumberToObject(x, "i", index);
    bus_put_u64(x, "a", e->attempt.v);
    cJSON_AddNumberToObject(x, "g", grace_s);
    if (!p->halt)
        p->halt = cJSON_CreateArray();
    cJSON_AddItemToArray(p->halt, x);
}

struct victim {
    struct ljob *job;
    uint32_t index;
    struct entry *entry;
};

/* The youngest first: the least is lost with them. */
static gint by_youth(gconstpointer a, gconstpointer b)
{
    const struct victim *x = a, *y = b;
    return x->entry->since.us > y->entry->since.us ? -1 : x->entry->since.us < y->entry->since.us;
}

/* Whether all that waits of a job lies within its team's guarantee. */
static bool guaranteed(struct leader *l, struct ljob *j, struct job *v)
{
    struct lteam *t = &l->teams[j->team];
    int64_t n = count_waiting(j, v);
    struct room all = {{j->room.cpus.milli * n}, {j->room.gpus.milli * n}, {0}};
    return within(t->used, all, t->team->cpus, t->team->gpus);
}

/* Whether a task may be stopped for the job: it has a lower priority, or its team runs it above its
 * guarantee while the job's team lacks its own. Services are not stopped for a guarantee. */
static bool may_stop(struct leader *l, struct ljob *victim, struct ljob *j, struct job *v)
{
    if (victim->urgency > j->urgency)
        return may_preempt(l, v->spec);
    const struct lteam *t = &l->teams[victim->team];
    return victim->team != j->team && !victim->service && guaranteed(l, j, v) &&
           (t->used.cpus.milli - t->halting.cpus.milli - victim->room.cpus.milli >=
                t->team->cpus.milli &&
            t->used.gpus.milli - t->halting.gpus.milli - victim->room.gpus.milli >=
                t->team->gpus.milli);
}

/* Tasks on a machine that may be stopped for a job, youngest first. Gangs are let be: one task
 * stopped stops them all. */
static GArray *victims_on(struct leader *l, struct lhost *h, struct ljob *for_job,
                          struct job *v_for)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct victim));
    struct host_record *rec = view_host(l->view, h->id.s);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *t = rec->tasks->pdata[i];
        struct ljob *j = ljob_get(l, t->job->id.s);
        struct entry *e = j ? g_hash_table_lookup(j->entries, key_of(t->index)) : NULL;
        if (!e || e->attempt.v != t->attempt.v || !host_eq(e->host, h->id) || e->halted ||
            !t->job->spec || t->job->spec->form == FORM_GANG || !may_stop(l, j, for_job, v_for))
            continue;
        struct victim v = {j, t->index, e};
        g_array_append_val(out, v);
    }
    g_array_sort(out, by_youth);
    return out;
}

/* Whether a task of a service could go to another machine that is not in the zone. */
static bool could_leave(struct leader *l, struct ljob *j, const struct spec *s, const char *yard)
{
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (strcmp(h->yard, yard) != 0 && spec_allows(s, h->build, h->yard, h->loaners) &&
            host_takes(l, h) && room_holds(host_free_room(h), j->room) &&
            (!(s->one_zone || s->apart) || zone_allowed(l, j, s, h->yard)))
            return true;
    return false;
}

/* A replica that has to be in one zone finds it full, of others that could as well be elsewhere:
 * one of these is moved, which costs it a moment. */
static void make_way(struct leader *l, struct ljob *j, struct job *v)
{
    mono_time now = loop_now(l->loop);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        struct host_record *rec = view_host(l->view, h->id.s);
        if (!rec || !spec_allows(v->spec, h->build, h->yard, h->loaners) || !host_takes(l, h) ||
            !zone_allowed(l, j, v->spec, h->yard))
            continue;
        for (guint i = 0; i < rec->tasks->len; i++) {
            struct placed *t = rec->tasks->pdata[i];
            struct ljob *other = ljob_get(l, t->job->id.s);
            struct entry *e = other ? g_hash_table_lookup(other->entries, key_of(t->index)) : NULL;
            struct room free = host_free_room(h);
            if (!e || e->halted || !other->service || other == j || !t->job->spec ||
                time_ms_since(now, e->since) < MOVE_AFTER_MS)
                continue;
            room_add(&free, other->room);
            if (!room_holds(free, j->room) || !could_leave(l, other, t->job->spec, h->yard))
                continue;
            LOG_INFO("move", "job=%s task=%u machine=%s for=%s", t->job->id.s, t->index, h->id.s,
                     j->id.s);
            halt(l, other, t->index, e, t->job->spec->stow_s);
            return;
        }
    }
}

/* The machine where room for one task costs the least work of lower priority. */
static struct lhost *cheapest_to_clear(struct leader *l, struct ljob *j, struct job *v,
                                       GHashTable *cleared)
{
    mono_time now = loop_now(l->loop);
    const struct spec *s = v->spec;
    GHashTableIter it;
    struct lhost *h, *best = NULL;
    double least = 0;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!spec_allows(s, h->build, h->yard, h->loaners) || !host_takes(l, h) ||
            ((s->one_zone || s->apart) && !zone_allowed(l, j, s, h->yard)))
            continue;
        GArray *victims = victims_on(l, h, j, v);
        struct room free = host_free_room(h), *more = g_hash_table_lookup(cleared, h);
        double loss = 0;
        if (more)
            room_add(&free, *more);
        for (guint i = 0; i < victims->len && !room_holds(free, j->room); i++) {
            struct victim *x = &g_array_index(victims, struct victim, i);
            room_add(&free, x->job->room);
            loss +=
                (double)x->job->room.cpus.milli * (double)(1 + time_ms_since(now, x->entry->since));
        }
        /* A machine that services hold already is kept anyway, and one without the image is late.
         */
        loss *= 1.2 - room_share(h->pinned, h->total) + (host_has_image(l, h, s->image) ? 0 : 1);
        if (room_holds(free, j->room) && (!best || loss < least)) {
            best = h;
            least = loss;
        }
        g_array_unref(victims);
    }
    return best;
}

/* Makes room for tasks that fit nowhere, by stopping work of lower priority where that loses the
 * least. What is stopped is off the record a moment later, and ranks behind. */
static void preempt(struct leader *l, struct ljob *j, struct job *v)
{
    mono_time now = loop_now(l->loop);
    /* Just after a change of epoch much of the room is not known yet. */
    if ((j->preempted_at.us && time_ms_since(now, j->preempted_at) < PREEMPT_MS) ||
        time_ms_since(now, l->epoch_at) < (int64_t)(l->settings->report_s * 1250))
        return;
    j->preempted_at = now;
    GHashTable *cleared = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    int64_t n = MIN(count_allowed(l, j, v), PREEMPT_TASKS);
    for (int64_t k = 0; k < n; k++) {
        struct lhost *best = cheapest_to_clear(l, j, v, cleared);
        if (!best) {
            if (k == 0 && v->spec->form == FORM_SERVICE && v->spec->apart)
                make_way(l, j, v);
            break;
        }
        struct room *more = g_hash_table_lookup(cleared, best);
        if (!more) {
            more = g_new0(struct room, 1);
            g_hash_table_insert(cleared, best, more);
        }
        GArray *victims = victims_on(l, best, j, v);
        struct room free = host_free_room(best);
        room_add(&free, *more);
        for (guint i = 0; i < victims->len && !room_holds(free, j->room); i++) {
            struct victim *x = &g_array_index(victims, struct victim, i);
            struct job *vx = view_job(l->view, x->job->id.s);
            LOG_INFO("preempt", "job=%s task=%u machine=%s for=%s", x->job->id.s, x->index,
                     best->id.s, j->id.s);
            room_add(&free, x->job->room);
            room_add(more, x->job->room);
            halt(l, x->job, x->index, x->entry, vx && vx->spec ? vx->spec->stow_s : 0);
        }
        room_sub(more, j->room);
        g_array_unref(victims);
        if (v->spec->one_zone || v->spec->apart)
            break; /* the zones are counted anew once this one is placed */
    }
    g_hash_table_unref(cleared);
}

static bool deal_one(struct leader *l, struct ljob *j, struct job *v)
{
    uint32_t index = next_waiting(j, v);
    if (index >= v->tasks || !team_allows(l, j))
        return false;
    struct lhost *h = choose_host(l, j, v->spec);
    if (!h) {
        j->blocked = true;
        if (may_preempt(l, v->spec) || guaranteed(l, j, v))
            preempt(l, j, v);
        return false;
    }
    deal_to(l, j, index, next_attempt(l), h, false);
    return true;
}

/* A gang that lost a task cannot go on: what is left of it is stopped, and it starts whole again
 * once nothing of it is on record. */
static void gang_mend(struct leader *l, struct ljob *j, struct job *v)
{
    mono_time now = loop_now(l->loop);
    guint placed = g_hash_table_size(j->entries);
    if (!placed || g_hash_table_size(j->deals) || placed + v->n_done >= v->tasks) {
        j->gang_since = now;
        return;
    }
    if (time_ms_since(now, j->gang_since) < 2000)
        return;
    j->gang_since = now;
    LOG_INFO("gang_broken", "job=%s placed=%u of=%u", j->id.s, placed, v->tasks);
    GHashTableIter it;
    gpointer key;
    struct entry *e;
    g_hash_table_iter_init(&it, j->entries);
    while (g_hash_table_iter_next(&it, &key, (gpointer *)&e))
        halt(l, j, GPOINTER_TO_UINT(key) - 1, e, v->spec->stow_s);
}

/* All tasks of a gang are dealt at once, each to a machine where it has room, or none is. */
static bool deal_gang(struct leader *l, struct ljob *j, struct job *v)
{
    if (g_hash_table_size(j->entries) || g_hash_table_size(j->deals) || v->placed) {
        gang_mend(l, j, v);
        return false;
    }
    struct lteam *t = &l->teams[j->team];
    uint32_t left = v->tasks - v->n_done;
    struct room all = {{j->room.cpus.milli * left}, {j->room.gpus.milli * left}, {0}};
    if (!left || !within(t->used, all, t->team->cpus_max, t->team->gpus_max))
        return false;
    GArray *undo = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GPtrArray *hosts = g_ptr_array_new();
    bool whole = true;
    for (uint32_t i = 0; i < v->tasks && whole; i++) {
        if (job_task_done(v, i))
            continue;
        struct lhost *h = choose_host(l, j, v->spec);
        whole = h != NULL;
        if (!h)
            break;
        /* Stands in for the deal, so that rooms and zones are counted. */
        struct deal *d = g_new0(struct deal, 1);
        d->host = h;
        g_strlcpy(d->yard, h->yard, sizeof d->yard);
        g_hash_table_insert(j->deals, key_of(i), d);
        room_add(&h->dealt, j->room);
        room_add(&t->used, j->room);
        g_array_append_val(undo, i);
        g_ptr_array_add(hosts, h);
    }
    for (guint i = 0; i < undo->len; i++)
        deal_drop(l, j, g_array_index(undo, uint32_t, i));
    attempt_no attempt = next_attempt(l);
    for (guint i = 0; whole && i < undo->len; i++)
        deal_to(l, j, g_array_index(undo, uint32_t, i), attempt, hosts->pdata[i], true);
    j->blocked = !whole;
    g_array_unref(undo);
    g_ptr_array_unref(hosts);
    return whole;
}

/* By arrival; but jobs that are late whatever is done now stand behind those that may still be in
 * time. */
static gint by_arrival(gconstpointer a, gconstpointer b, gpointer leader)
{
    struct leader *l = leader;
    const struct ljob *x = *(struct ljob *const *)a, *y = *(struct ljob *const *)b;
    const struct job *vx = view_job(l->view, x->id.s), *vy = view_job(l->view, y->id.s);
    bool tx = still_in_time(l, vx), ty = still_in_time(l, vy);
    if (tx != ty)
        return tx ? -1 : 1;
    if (vx->submitted.ms != vy->submitted.ms)
        return vx->submitted.ms < vy->submitted.ms ? -1 : 1;
    return strcmp(x->id.s, y->id.s);
}

/* Deficit round robin over the teams that have something in this rank: each turn a team may deal as
 * much as its share. */
static int deal_rank(struct leader *l, int rank, int budget)
{
    int dealt = 0;
    bool any = true;
    while (any && dealt < budget) {
        any = false;
        for (int i = 0; i < l->n_teams && dealt < budget; i++) {
            struct lteam *t = &l->teams[(l->first_team + i) % l->n_teams];
            t->deficit = MIN(t->deficit + MAX(t->team->cpus.milli / 16, 1000), MOST_DEFICIT);
            bool moved = false;
            for (guint k = 0; k < t->ready->len && dealt < budget;) {
                struct ljob *j = t->ready->pdata[k];
                struct job *v = view_job(l->view, j->id.s);
                bool mine = !j->blocked && rank_of(l, j, v->spec) == rank;
                double cost = MIN((double)j->room.cpus.milli, MOST_DEFICIT);
                if (!mine || t->deficit < cost) {
                    any = any || (mine && next_waiting(j, v) < v->tasks);
                    k++;
                    continue;
                }
                bool ok = v->spec->form == FORM_GANG ? deal_gang(l, j, v) : deal_one(l, j, v);
                if (!ok) {
                    k++;
                    continue;
                }
                t->deficit -= cost;
                moved = true;
                dealt++;
            }
            if (!moved && !any)
                t->deficit = 0;
            any = any || moved;
        }
    }
    return dealt;
}

static bool collect_ready(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    bool any = false;
    for (int i = 0; i < l->n_teams; i++)
        g_ptr_array_set_size(l->teams[i].ready, 0);
    GHashTableIter it;
    struct ljob *j;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
        struct job *v = view_job(l->view, j->id.s);
        j->blocked = false;
        if (!v || !v->known || v->state != JOB_LIVE || !v->spec || time_before(now, j->not_before))
            continue;
        if (v->spec->form != FORM_GANG && next_waiting(j, v) >= v->tasks)
            continue;
        g_ptr_array_add(l->teams[j->team].ready, j);
        any = true;
    }
    for (int i = 0; i < l->n_teams; i++)
        g_ptr_array_sort_with_data(l->teams[i].ready, by_arrival, l);
    return any;
}

static bool ready_to_deal(struct leader *l)
{
    if (!membership_leads(l->members) || l->epoch.v != l->view->epoch.v || !l->view->types)
        return false;
    if (time_ms_since(loop_now(l->loop), l->epoch_at) > SETTLE_MS)
        return true;
    GHashTableIter it;
    struct lpart *p;
    g_hash_table_iter_init(&it, l->parts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
        if (!p->digested)
            return false;
    return true;
}

/* ---- renting and returning ---- */

/* Room that is there or on its way, and not needed yet. */
struct virtual
{
    const char *build, *yard;
    bool loaners;
    struct room free;
    bool exists;
};

struct offer {
    const struct machine_type *type;
    const char *yard;
    bool loaners;
    int number;
};

static void add_virtual(GArray *rooms, const char *build, const char *yard, bool loaners,
                        struct room free, bool exists)
{
    struct virtual v = {build, yard, loaners, free, exists};
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
        const struct machine_type *t = type_named(types_now(l), m->build);
        if (m->returning || m->stage == RENTAL_FAILED || !t ||
            (h && h->told && (h->flags & HOST_KNOWN)))
            continue;
        if (time_ms_since(now, m->rented) > (int64_t)(t->ready_s * 1700))
            continue;
        add_virtual(rooms, m->build, m->yard, m->loaners, room_of_type(t), true);
    }
    for (guint i = 0; i < types_now(l)->len; i++) {
        const struct machine_type *t = &g_array_index(types_now(l), struct machine_type, i);
        for (int y = 0; t->yards[y]; y++)
            for (int spot = 0; spot < 2; spot++)
                for (int n = fleet_requested(l->fleet, t->name, t->yards[y], spot); n > 0; n--)
                    add_virtual(rooms, t->name, t->yards[y], spot, room_of_type(t), true);
    }
}

static bool take_virtual(GArray *rooms, const struct spec *s, struct room ask, const char *yard)
{
    struct virtual *best = NULL;
    for (guint i = 0; i < rooms->len; i++) {
        struct virtual *v = &g_array_index(rooms, struct virtual, i);
        if (!spec_allows(s, v->build, v->yard, v->loaners) || !room_holds(v->free, ask) ||
            (yard && strcmp(yard, v->yard) != 0))
            continue;
        /* Cheap ones first where they will do: services need the others. */
        if (!best || v->loaners > best->loaners)
            best = v;
    }
    if (best)
        room_sub(&best->free, ask);
    return best != NULL;
}

/* The offer that holds n tasks at the least price a task, a little in favour of quick boots. */
static bool best_offer(struct leader *l, const struct spec *s, struct room ask, int64_t n,
                       const char *yard, bool spot_only, struct offer *out)
{
    double least = 0;
    out->type = NULL;
    const GArray *types = types_now(l);
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
    while (n > 0) {
        if (take_virtual(rooms, s, ask, yard)) {
            n--;
            continue;
        }
        struct offer o;
        int total = 0;
        for (guint i = 0; i < orders->len; i++)
            total += g_array_index(orders, struct offer, i).number;
        if (total >= 40 || !best_offer(l, s, ask, n, yard, spot_only, &o))
            return n;
        order_offer(orders, &o);
        add_virtual(rooms, o.type->name, o.yard, o.loaners, room_of_type(o.type), false);
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

static void want_job(struct leader *l, GArray *rooms, GArray *orders, struct ljob *j, struct job *v,
                     bool pressing)
{
    const struct spec *s = v->spec;
    int64_t n = count_allowed(l, j, v);
    if (!s->apart) {
        want_tasks(l, rooms, orders, j, s, n, NULL, pressing);
        return;
    }
    /* Each zone may take up to half of the tasks. */
    for (guint i = 0; i < l->settings->zones->len && n > 0; i++) {
        const char *yard = l->settings->zones->pdata[i];
        int64_t there = in_zone(l, j, yard), most = (s->tasks + 1) / 2 - there;
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
        if (host_takes(l, h))
            room_add(&sum, host_free_room(h));
    return sum;
}

/* The processors of the spot machines that are there or on their way. */
static double spot_cpus(struct leader *l, GArray *rooms)
{
    double cpus = 1;
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->loaners && h->told)
            cpus += (double)h->total.cpus.milli / 1000;
    for (guint i = 0; i < rooms->len; i++) {
        struct virtual *v = &g_array_index(rooms, struct virtual, i);
        if (v->loaners)
            cpus += (double)v->free.cpus.milli / 1000;
    }
    return cpus;
}

/* The size of a task of the services that run, and how many of their tasks come in a second. The
 * busiest stretch of time is left out, so that many that come at once do not count for what is
 * usual. */
static bool service_rate(struct leader *l, struct room *usual, double *rate)
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
        for (uint32_t i = 0; i < v->tasks; i++)
            room_add(&total, j->room);
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
        *usual =
            (struct room){{total.cpus.milli / n}, {total.gpus.milli / n}, {total.memory.milli / n}};
    *rate = (double)(sum - most) * 1000 / (double)((seen - 1) * RATE_SLOT_MS);
    return n > 0;
}

/* How many more tasks of services a zone's ordinary machines could hold. */
static int64_t service_room(struct leader *l, struct room usual, const char *yard)
{
    int64_t n = 0;
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (!h->loaners && host_takes(l, h) && strcmp(h->yard, yard) == 0)
            n += room_times(room_left(h->total, h->pinned), usual);
    return n;
}

/* Room for the services that come next, in every zone, on ordinary machines. Until then it is not
 * idle: arrays use it and are preempted. */
static void want_for_services(struct leader *l, GArray *rooms, GArray *orders)
{
    struct room usual;
    double rate;
    if (!service_rate(l, &usual, &rate))
        return;
    struct policy_value in[POLICY_INPUTS] = {0};
    load_inputs(l, in);
    struct spec any = {.form = FORM_SERVICE};
    guint zones = l->settings->zones->len;
    int64_t each = (int64_t)round(rate * slowest_boot(l) *
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
    if (!types_now(l) || !fleet_listed(l->fleet))
        return;
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct virtual));
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct offer));
    incoming(l, rooms);
    /* Ordinary machines are rented for work that spot machines could do only when these would not
     * get to it in time, behind all that goes before it. */
    double spot = spot_cpus(l, rooms), work = 0;
    for (int rank = 0; rank < RANKS; rank++) {
        if (rank == 1)
            want_for_services(l, rooms, orders);
        for (int i = 0; i < l->n_teams; i++)
            for (guint k = 0; k < l->teams[i].ready->len; k++) {
                struct ljob *j = l->teams[i].ready->pdata[k];
                struct job *v = view_job(l->view, j->id.s);
                if (rank_of(l, j, v->spec) != rank)
                    continue;
                work += (double)count_allowed(l, j, v) * v->spec->expected_s *
                        (double)j->room.cpus.milli / 1000;
                bool pressing = may_rent_ordinary(l, v->spec, work / spot);
                want_job(l, rooms, orders, j, v, pressing);
            }
    }
    /* Room to spare, for what comes next: one processor at a time, on whatever is cheapest. */
    struct spec any = {.loaners = true};
    struct room one = {{1000}, {0}, {1500}};
    double spare = spare_cpus(l) - (double)free_everywhere(l).cpus.milli / 1000;
    if (spare > 0)
        want(l, rooms, orders, &any, one, (int64_t)ceil(spare), NULL, true);
    for (guint i = 0; i < orders->len; i++) {
        struct offer *o = &g_array_index(orders, struct offer, i);
        fleet_rent(l->fleet, o->type->name, o->yard, o->loaners, o->number);
    }
    g_array_unref(rooms);
    g_array_unref(orders);
}

static bool host_idle(const struct lhost *h)
{
    return !h->booked.cpus.milli && !h->booked.memory.milli && !h->dealt.cpus.milli &&
           !h->dealt.memory.milli;
}

/* Whether the next services would miss the machine. */
static bool kept_for_services(struct leader *l, struct lhost *h)
{
    struct room usual;
    double rate;
    if (h->loaners || !service_rate(l, &usual, &rate))
        return false;
    for (guint i = 0; i < l->settings->zones->len; i++)
        if (strcmp(l->settings->zones->pdata[i], h->yard) == 0) {
            int64_t holds = room_times(room_left(h->total, h->pinned), usual);
            if (l->service_lack[i] + holds > 0)
                return true;
            l->service_lack[i] += holds;
        }
    return false;
}

static void return_idle(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    double spare = (double)free_everywhere(l).cpus.milli / 1000 - spare_cpus(l);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        double cpus = (double)h->total.cpus.milli / 1000;
        if (!host_takes(l, h) || !host_idle(h) ||
            (double)time_ms_since(now, h->idle_since) < idle_ms(l, h) || cpus > spare ||
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
        else if (h->sick)
            fleet_return(l->fleet, h->id, "sick");
        else if ((h->flags & HOST_RECALLED) && host_idle(h))
            fleet_return(l->fleet, h->id, "recalled");
    }
    struct fleet_machine *m;
    g_hash_table_iter_init(&it, fleet_machines(l->fleet));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&m)) {
        const struct machine_type *t = type_named(types_now(l), m->build);
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
            if (!p->gone)
                p->gone = cJSON_CreateArray();
            cJSON_AddItemToArray(p->gone, cJSON_CreateString(h->id.s));
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
        idle[h->loaners] += host_idle(h) ? (double)h->total.cpus.milli / 1000 : 0;
    }
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct virtual));
    incoming(l, rooms);
    for (guint i = 0; i < rooms->len; i++) {
        struct virtual *v = &g_array_index(rooms, struct virtual, i);
        coming[v->loaners] += (double)v->free.cpus.milli / 1000;
    }
    g_array_unref(rooms);
    LOG_DEBUG("fleet",
              "ordinary=%.0f used=%.0f idle=%.0f coming=%.0f spot=%.0f used=%.0f idle=%.0f "
              "coming=%.0f peak=%.0f",
              total[0], used[0], idle[0], coming[0], total[1], used[1], idle[1], coming[1],
              l->demand_peak);
}

static void scale(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    if (time_ms_since(now, l->scaled_at) < SCALE_MS)
        return;
    double passed = l->scaled_at.us ? (double)time_ms_since(now, l->scaled_at) / 1000 : 1;
    l->scaled_at = now;
    double used = used_cpus(l);
    l->demand_peak = MAX(used, l->demand_peak + (used - l->demand_peak) * MIN(passed / 60, 1));
    if (log_debug_on())
        log_fleet(l);
    rent_for_demand(l);
    return_useless(l);
    return_idle(l);
    tell_gone(l);
}

/* ---- the pass ---- */

static void send_all(struct leader *l)
{
    GHashTableIter it;
    struct lpart *p;
    GPtrArray *due = g_ptr_array_new();
    g_hash_table_iter_init(&it, l->parts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
        if (!p->out && (p->sending || p->deal || p->halt || p->gone))
            g_ptr_array_add(due, p);
    for (guint i = 0; i < due->len; i++)
        part_send(l, due->pdata[i]);
    g_ptr_array_unref(due);
}

static void pass(void *arg)
{
    struct leader *l = arg;
    if (!ready_to_deal(l))
        return;
    int budget = DEALS_A_PASS;
    l->first_team = (l->first_team + 1) % l->n_teams;
    measure_zones(l);
    if (collect_ready(l))
        for (int rank = 0; rank < RANKS && budget > 0; rank++)
            budget -= deal_rank(l, rank, budget);
    scale(l);
    fleet_step(l->fleet);
    send_all(l);
    if (budget <= 0)
        pass_soon(l);
}

/* ---- parts ---- */

struct part_out {
    struct leader *leader;
    uint64_t generation;
    char *label;
};

static void part_answered(void *arg, int status, const cJSON *answer)
{
    (void)answer;
    struct part_out *o = arg;
    struct leader *l = o->leader;
    struct lpart *p = g_hash_table_lookup(l->parts, o->label);
    if (o->generation == l->generation && p) {
        mono_time now = loop_now(l->loop);
        p->out = false;
        if (status == 200) {
            cJSON_Delete(p->sending);
            p->sending = NULL;
            p->failing_since = (mono_time){0};
            if (p->deal || p->halt || p->gone)
                part_send(l, p);
        } else if (!p->failing_since.us) {
            p->failing_since = now;
        } else if (time_ms_since(now, p->failing_since) > UNREACHABLE_MS &&
                   membership_leads(l->members) && strcmp(p->label, l->settings->label) != 0) {
            p->failing_since = now;
            membership_exclude(l->members, p->label, EXCLUDE_MS);
        }
    }
    g_free(o->label);
    g_free(o);
}

/* One message at a time, and the same one until it is acknowledged: see on_deal in part.c. */
static void part_send(struct leader *l, struct lpart *p)
{
    if (!p->sending) {
        cJSON *m = cJSON_CreateObject();
        bus_put_u64(m, "e", l->epoch.v);
        bus_put_u64(m, "s", ++p->seq);
        if (p->deal)
            cJSON_AddItemToObject(m, "deal", g_steal_pointer(&p->deal));
        if (p->halt)
            cJSON_AddItemToObject(m, "halt", g_steal_pointer(&p->halt));
        if (p->gone)
            cJSON_AddItemToObject(m, "gone", g_steal_pointer(&p->gone));
        p->sending = m;
    }
    struct part_out *o = g_new(struct part_out, 1);
    *o = (struct part_out){l, l->generation, g_strdup(p->label)};
    p->out = true;
    bus_send(l->bus, p->label, "deal", cJSON_Duplicate(p->sending, true), OUT_TIMEOUT_MS,
             part_answered, o);
}

static void host_failed(struct lhost *h, const char *job)
{
    if (!h->failed_jobs)
        h->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(h->failed_jobs, g_strdup(job));
    if (g_hash_table_size(h->failed_jobs) >= 2 && !h->sick) {
        LOG_INFO("machine_sick", "machine=%s", h->id.s);
        h->sick = true;
    }
}

/* A task that fails is mostly its machine's fault; a job that fails on one machine after the other
 * is at fault itself, and tries again ever more seldom until its user cancels it. */
static void on_fault(struct leader *l, const cJSON *f)
{
    const char *host = bus_text(f, "h"), *job = bus_text(f, "j");
    const cJSON *c = cJSON_GetObjectItemCaseSensitive(f, "c");
    struct ljob *j = job ? ljob_get(l, job) : NULL;
    struct lhost *h = host ? lhost_get(l, host) : NULL;
    if (!j || !h || !cJSON_IsNumber(c))
        return;
    if ((int)c->valuedouble != CAUSE_ERROR) {
        h->avoid_until = time_add_ms(loop_now(l->loop), 5000);
        return;
    }
    struct job *v = view_job(l->view, job);
    if (!j->failed_on)
        j->failed_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(j->failed_on, g_strdup(host));
    bool at_fault = g_hash_table_size(j->failed_on) >= 3 && v && v->n_done == 0;
    if (at_fault) {
        j->failures++;
        int64_t pause = MIN(120000, 4000LL << MIN(j->failures, 5));
        j->not_before = time_add_ms(loop_now(l->loop), pause);
        LOG_INFO("job_failing", "job=%s machines=%u pause_ms=%" G_GINT64_FORMAT, job,
                 g_hash_table_size(j->failed_on), pause);
        return;
    }
    host_failed(h, job);
    h->avoid_until = time_add_ms(loop_now(l->loop), 10000);
}

static void on_host(struct leader *l, const char *from, const cJSON *x)
{
    const cJSON *id = cJSON_GetArrayItem(x, 0), *build = cJSON_GetArrayItem(x, 1);
    const cJSON *yard = cJSON_GetArrayItem(x, 2), *loaners = cJSON_GetArrayItem(x, 3);
    const cJSON *flags = cJSON_GetArrayItem(x, 4);
    host_id hid;
    if (!cJSON_IsString(id) || !host_id_from(&hid, id->valuestring) || !cJSON_IsString(build) ||
        !cJSON_IsString(yard) || !cJSON_IsBool(loaners) || !cJSON_IsNumber(flags))
        return;
    struct lhost *h =
        lhost_make(l, hid, build->valuestring, yard->valuestring, cJSON_IsTrue(loaners));
    g_free(h->owner);
    h->owner = g_strdup(from);
    h->flags = (int)flags->valuedouble;
    h->told = true;
    h->seen = loop_now(l->loop);
}

static void on_back(struct leader *l, const cJSON *x)
{
    const char *job = bus_text(x, "j");
    const cJSON *index = cJSON_GetObjectItemCaseSensitive(x, "i");
    attempt_no attempt;
    struct ljob *j = job ? ljob_get(l, job) : NULL;
    if (!j || !cJSON_IsNumber(index) || !bus_u64(x, "a", &attempt.v))
        return;
    uint32_t i = (uint32_t)index->valuedouble;
    struct deal *d = g_hash_table_lookup(j->deals, key_of(i));
    if (!d || d->attempt.v != attempt.v)
        return;
    if (d->host)
        d->host->avoid_until = time_add_ms(loop_now(l->loop), AVOID_MS);
    deal_drop(l, j, i);
}

static int on_digest(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)answer;
    struct leader *l = ctx;
    uint64_t epoch;
    if (!bus_u64(m, "e", &epoch))
        return 400;
    if (!membership_leads(l->members) || !l->leading || epoch != l->epoch.v ||
        epoch != l->view->epoch.v)
        return 409;
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->owner && strcmp(h->owner, from) == 0)
            h->told = false;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "hosts")) on_host(l, from, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "back")) on_back(l, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "faults")) on_fault(l, x);
    /* Machines that nobody tells of any more, and that hold nothing, are forgotten. */
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (!h->told && h->owner && strcmp(h->owner, from) == 0 && host_idle(h) &&
            !view_host(l->view, h->id.s))
            g_hash_table_iter_remove(&it);
    if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(m, "raise")) &&
        time_ms_since(loop_now(l->loop), l->epoch_at) > 5000)
        membership_raise(l->members, "a command may still be on its way");
    lpart_make(l, from)->digested = true;
    pass_soon(l);
    return 200;
}

/* ---- the view ---- */

static void on_view(struct leader *l, const GArray *changes)
{
    bool leads = membership_leads(l->members);
    if (!leads) {
        if (l->leading) {
            LOG_INFO("not_leading", "epoch=%" G_GUINT64_FORMAT, l->epoch.v);
            l->leading = false;
            l->generation++;
        }
        return;
    }
    bool rebuilt = !l->leading || l->epoch.v != l->view->epoch.v;
    if (!l->leading) {
        l->leading = true;
        g_hash_table_remove_all(l->hosts);
        fleet_reset(l->fleet);
        l->demand_peak = 0;
    }
    if (rebuilt)
        rebuild(l);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *c = &g_array_index(changes, struct change, i);
        struct ljob *j;
        struct job *v;
        switch (c->kind) {
        case CHANGE_PLACED:
            entry_add(l, c->job, c->index, c->attempt, c->host);
            break;
        case CHANGE_FREED:
            entry_remove(l, c->job, c->index, c->attempt);
            break;
        case CHANGE_JOB:
            v = view_job(l->view, c->job.s);
            if (v && v->known && v->spec)
                ljob_make(l, c->job);
            if (v && v->known && !v->spec && v->marks)
                sweep_marks(l, v);
            break;
        case CHANGE_RELOADED:
            /* A task may have been placed and freed again unseen, and its deal would stay open. */
            if (!rebuilt)
                membership_raise(l->members, "changes were lost");
            break;
        default:
            break;
        }
        j = c->kind <= CHANGE_FREED ? ljob_get(l, c->job.s) : NULL;
        if (!j)
            continue;
        v = view_job(l->view, c->job.s);
        /* What was dealt of a job that is over is settled by the parts, which see the same. */
        if (v && v->state != JOB_LIVE)
            for (uint32_t k = 0; g_hash_table_size(j->deals) && k < v->tasks; k++)
                deal_drop(l, j, k);
        consider_end(l, j);
        if (over(l, j))
            g_hash_table_remove(l->jobs, c->job.s);
    }
    pass_soon(l);
}

static void tick(void *arg)
{
    struct leader *l = arg;
    timer_start(l->loop, &l->tick, TICK_MS);
    if (!l->leading || !membership_leads(l->members))
        return;
    GHashTableIter it;
    struct ljob *j;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j))
        consider_end(l, j);
    pass(l);
    fleet_step(l->fleet);
}
