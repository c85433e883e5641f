#include "leader_state.h"

#include "images.h"
#include "log.h"
#include "node.h"

enum {
    SLOW_AFTER = 5,
    SLOW_BESIDE = 3,
    MOST_PACES = 10000,
    SICK_MS = 120000, /* then it may try again, if something kept it */
    TICK_MS = 200,
    PASS_MS = 8,
    DEALS_A_PASS = 64,
    OUT_TIMEOUT_MS = 1500,
    UNREACHABLE_MS = 4000,
    EXCLUDE_MS = 20000,
    AVOID_MS = 1500,
    SWEEP_MS = 5000,
    STUCK_S = 20,
    MOST_CANCELLING = 4,
    MOST_PAUSE_MS = 40000, /* of a job that fails everywhere */
};

/* A machine is slow when its tasks take so many times as long as the others of their jobs. */
static const double SLOW_PACE = 1.7;

static void on_view(struct leader *l, const GArray *changes);
static void tick(void *arg);
static void pass(void *arg);
static void part_send(struct leader *l, struct lpart *p);
static int on_digest(void *ctx, const char *from, const cJSON *m, cJSON **answer);

static void pass_soon(struct leader *l)
{
    if (!l->pass.place)
        timer_start(l->loop, &l->pass, PASS_MS);
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
    g_ptr_array_unref(h->images);
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

struct leader *leader_new(const struct node *n, const struct policy *policy)
{
    const struct settings *settings = n->settings;
    struct leader *l = g_new0(struct leader, 1);
    l->actor = (struct actor){"leader", receive};
    l->loop = n->loop;
    l->store = n->store;
    l->view = n->view;
    l->members = n->members;
    l->bus = n->bus;
    l->settings = settings;
    l->policy = policy;
    l->fleet = fleet_new(n, &l->actor);
    l->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ljob_free);
    l->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lhost_free);
    l->paces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->parts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lpart_free);
    l->service_lack = g_new0(int64_t, settings->zones->len);
    l->zone_cpus = g_new0(double, settings->zones->len);
    l->zone_tasks = g_new0(uint32_t, settings->zones->len);
    l->no_way = g_new0(struct no_way, settings->zones->len);
    l->open = g_ptr_array_new();
    l->full = g_array_new(FALSE, FALSE, sizeof(struct lack));
    l->n_teams = (int)settings->teams->len;
    l->teams = g_new0(struct lteam, l->n_teams);
    for (int i = 0; i < l->n_teams; i++) {
        l->teams[i].team = &g_array_index(settings->teams, struct team, i);
        l->teams[i].ready = g_ptr_array_new();
    }
    timer_init(&l->tick, tick, l);
    timer_init(&l->pass, pass, l);
    view_listen(l->view, &l->actor);
    bus_handle(l->bus, "digest", on_digest, l);
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
    g_hash_table_unref(l->paces);
    for (int i = 0; i < l->n_teams; i++)
        g_ptr_array_unref(l->teams[i].ready);
    g_free(l->teams);
    g_free(l->service_lack);
    g_free(l->zone_cpus);
    g_free(l->zone_tasks);
    g_free(l->no_way);
    g_ptr_array_unref(l->open);
    g_array_unref(l->full);
    g_free(l);
}

void leader_start(struct leader *l)
{
    timer_start(l->loop, &l->tick, TICK_MS);
}

/* ---- the ledger ---- */

struct ljob *ljob_get(struct leader *l, const char *id)
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
    j->urgency = (enum urgency)v->urgency;
    j->patience_s = leader_patience_s(l, v);
    j->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    j->deals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_hash_table_insert(l->jobs, j->id.s, j);
    return j;
}

/* Those that need a job lend it their urgency and their time, and may come and go. */
static void ljob_lent(struct leader *l, struct ljob *j, const struct job *v)
{
    if (!j)
        return;
    int n = (int)g_hash_table_size(j->entries);
    l->running[j->urgency] -= n;
    j->urgency = (enum urgency)v->urgency;
    l->running[j->urgency] += n;
    j->patience_s = leader_patience_s(l, v);
}

gpointer leader_key_of(uint32_t index)
{
    return GUINT_TO_POINTER(index + 1);
}

struct lhost *lhost_get(struct leader *l, const char *id)
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
        h->idle_since = loop_now(l->loop);
        h->images = images_new();
        g_hash_table_insert(l->hosts, h->id.s, h);
    }
    guint zone;
    bool known = g_ptr_array_find_with_equal_func(l->settings->zones, yard, g_str_equal, &zone);
    h->zone = known ? (int)zone : -1;
    g_strlcpy(h->build, build, sizeof h->build);
    g_strlcpy(h->yard, yard, sizeof h->yard);
    h->loaners = loaners;
    const struct machine_type *t = type_named(l->view->types, build);
    if (t)
        h->total = room_of_type(t);
    return h;
}

void leader_deal_drop(struct leader *l, struct ljob *j, uint32_t index)
{
    struct deal *d = g_hash_table_lookup(j->deals, leader_key_of(index));
    if (!d)
        return;
    if (d->host)
        room_sub(&d->host->dealt, j->room);
    room_sub(&l->teams[j->team].used, j->room);
    g_hash_table_remove(j->deals, leader_key_of(index));
    j->cursor = MIN(j->cursor, index);
}

static void entry_add(struct leader *l, job_id job, uint32_t index, attempt_no attempt,
                      host_id host)
{
    struct ljob *j = ljob_make(l, job);
    if (!j || g_hash_table_contains(j->entries, leader_key_of(index)))
        return;
    struct deal *d = g_hash_table_lookup(j->deals, leader_key_of(index));
    if (d && d->attempt.v == attempt.v)
        leader_deal_drop(l, j, index);
    struct entry *e = g_new(struct entry, 1);
    *e = (struct entry){.attempt = attempt, .host = host, .since = loop_now(l->loop)};
    g_hash_table_insert(j->entries, leader_key_of(index), e);
    room_add(&l->teams[j->team].used, j->room);
    l->running[j->urgency]++;
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
    struct entry *e = j ? g_hash_table_lookup(j->entries, leader_key_of(index)) : NULL;
    if (!e || e->attempt.v != attempt.v)
        return;
    struct lhost *h = lhost_get(l, e->host.s);
    j->gang_broken = true;
    if (h) {
        room_sub(&h->booked, j->room);
        if (j->service)
            room_sub(&h->pinned, j->room);
        h->idle_since = loop_now(l->loop);
    }
    room_sub(&l->teams[j->team].used, j->room);
    l->running[j->urgency]--;
    if (e->halted)
        room_sub(&l->teams[j->team].halting, j->room);
    struct ljob *other = e->cleared_for.s[0] ? ljob_get(l, e->cleared_for.s) : NULL;
    if (other)
        other->clearing--;
    g_hash_table_remove(j->entries, leader_key_of(index));
    j->cursor = MIN(j->cursor, index);
}

struct lpart *lpart_make(struct leader *l, const char *label)
{
    struct lpart *p = g_hash_table_lookup(l->parts, label);
    if (!p) {
        p = g_new0(struct lpart, 1);
        p->label = g_strdup(label);
        g_hash_table_insert(l->parts, p->label, p);
    }
    return p;
}

void lpart_put(cJSON **list, cJSON *item)
{
    if (!*list)
        *list = cJSON_CreateArray();
    cJSON_AddItemToArray(*list, item);
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
    memset(l->running, 0, sizeof l->running);
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
        struct lhost *n = lhost_make(l, rec->id, rec->build, rec->yard, rec->loaners);
        for (guint i = 0; i < rec->images->len && !n->told; i++)
            images_add(n->images, rec->images->pdata[i]);
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
    bool cancelled;
};

static void finish_seen(void *arg, bool ok)
{
    struct finish *f = arg;
    (void)ok;
    f->leader->cancelling -= f->cancelled;
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

static void finish(struct leader *l, struct ljob *j, struct job *v, enum job_state final)
{
    struct txn *t = txn_new();
    char *key = key_job(j->id);
    txn_when(t, key, v->stamp);
    txn_when(t, KEY_LEADER, l->view->leader_stamp);
    txn_set(t, key, job_final_value(final, v->tasks, loop_wall(l->loop)), (lease_id){0});
    g_free(key);
    j->finishing = true;
    struct finish *f = g_new(struct finish, 1);
    *f = (struct finish){l, j->id, v->state == JOB_CANCELLED};
    l->cancelling += f->cancelled;
    store_txn(l->store, f->cancelled ? LANE_NORMAL : LANE_URGENT, t, finish_answered, f);
}

static void consider_end(struct leader *l, struct ljob *j)
{
    struct job *v = view_job(l->view, j->id.s);
    if (!v || !v->known || j->finishing || !v->spec || !membership_leads(l->members))
        return;
    if (v->state == JOB_LIVE && v->n_done == v->tasks)
        finish(l, j, v, JOB_DONE);
    /* Many may be cancelled with one. All nodes know that already: it can wait behind other writes.
     */
    else if (v->state == JOB_CANCELLED && !v->placed && !g_hash_table_size(j->entries) &&
             l->cancelling < MOST_CANCELLING)
        finish(l, j, v, JOB_CANCELLED);
}

static bool over(struct leader *l, struct ljob *j)
{
    struct job *v = view_job(l->view, j->id.s);
    return (!v || !v->spec) && !g_hash_table_size(j->entries) && !j->finishing;
}

/* A task that is neither recorded nor given back for long would wait for ever, whatever became of
 * it: a new epoch makes all that was dealt void. */
static void raise_for_stuck_deals(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    GHashTableIter it, deals;
    struct ljob *j;
    struct deal *d;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
        struct job *v = view_job(l->view, j->id.s);
        /* The switch rule may keep a task back for a twentieth of its time. */
        double most = STUCK_S + (v && v->spec ? v->spec->expected_s * 0.1 : 0);
        g_hash_table_iter_init(&deals, j->deals);
        while (g_hash_table_iter_next(&deals, NULL, (gpointer *)&d))
            if ((double)time_ms_since(now, d->since) > most * 1000 &&
                (double)time_ms_since(now, l->idle_at) > most * 1000) {
                LOG_INFO("deal_stuck", "job=%s machine=%s", j->id.s, d->host->id.s);
                membership_raise(l->members, "a deal is stuck");
                return;
            }
    }
}

static void swept(void *arg, const struct txn_outcome *o)
{
    (void)o;
    ((struct leader *)arg)->sweeping = false;
}

static void still_live(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    void **c = ctx;
    (void)unit;
    (void)bits;
    struct job *j = view_job(c[0], job.s);
    *(bool *)c[1] = *(bool *)c[1] || (j && j->spec);
}

static void sweep_key(struct leader *l, const char *key, revision stamp)
{
    struct txn *t = txn_new();
    txn_when(t, KEY_LEADER, l->view->leader_stamp);
    txn_when(t, key, stamp);
    txn_remove(t, key);
    l->sweeping = true;
    store_txn(l->store, LANE_NORMAL, t, swept, l);
}

static bool node_away(const struct leader *l, const char *label)
{
    for (guint i = 0; i < l->view->map->len; i++)
        if (strcmp(g_array_index(l->view->map, struct map_entry, i).label, label) == 0)
            return false;
    return true;
}

/* A page of a node that is away is removed once others have taken its machines over and the jobs
 * are over of which it says what is done. */
static void sweep_pages(struct leader *l)
{
    GHashTableIter it;
    struct page *g;
    g_hash_table_iter_init(&it, l->view->pages);
    while (!l->sweeping && g_hash_table_iter_next(&it, NULL, (gpointer *)&g)) {
        bool live = false;
        void *ctx[] = {l->view, &live};
        if (g->tasks->len || !node_away(l, g->label))
            continue;
        page_read_done(g->done ? g->done : "", still_live, ctx);
        if (!live)
            sweep_key(l, g->key, g->stamp);
    }
}

/* A list of machines of a node that is away is removed once it says nothing of a machine on which
 * anything is on record: those that own them now list them, too. */
static void sweep_rolls(struct leader *l)
{
    GHashTableIter it;
    struct roll *r;
    g_hash_table_iter_init(&it, l->view->rolls);
    while (!l->sweeping && g_hash_table_iter_next(&it, NULL, (gpointer *)&r)) {
        bool needed = false;
        for (guint i = 0; i < r->hosts->len; i++)
            needed = needed || ((struct host_record *)r->hosts->pdata[i])->tasks->len;
        if (!needed && node_away(l, r->label))
            sweep_key(l, r->key, r->stamp);
    }
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
    if (!leader_ready_to_deal(l))
        return;
    int budget = DEALS_A_PASS;
    l->first_team = (l->first_team + 1) % l->n_teams;
    leader_survey(l);
    if (leader_collect_ready(l))
        for (int rank = 0; rank < RANKS && budget > 0; rank++)
            budget -= leader_deal_rank(l, rank, budget);
    leader_scale(l);
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

static void host_failed(struct leader *l, struct lhost *h, const char *job)
{
    if (!h->failed_jobs)
        h->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(h->failed_jobs, g_strdup(job));
    if (g_hash_table_size(h->failed_jobs) >= 2) {
        LOG_INFO("machine_sick", "machine=%s", h->id.s);
        h->sick_until = time_add_ms(loop_now(l->loop), SICK_MS);
        g_hash_table_remove_all(h->failed_jobs);
    }
}

/* Owners' estimates are wrong for all tasks of a job together, so a task is compared with the
 * others of its job, wherever they ran. */
static void learn_pace(struct leader *l, const char *job, struct lhost *h, double took_s)
{
    struct job_pace *j = g_hash_table_lookup(l->paces, job);
    if (!j) {
        if (g_hash_table_size(l->paces) > MOST_PACES)
            g_hash_table_remove_all(l->paces);
        j = g_new0(struct job_pace, 1);
        g_hash_table_insert(l->paces, g_strdup(job), j);
    }
    if (j->n >= SLOW_BESIDE && j->mean_s > 0.5) {
        double pace = took_s / j->mean_s;
        h->pace = h->paced++ ? h->pace + (pace - h->pace) * 0.25 : pace;
    }
    j->mean_s += (took_s - j->mean_s) / ++j->n;
}

static gint by_value(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

/* The pace of the machine in the middle. Tasks of a job may take ever longer wherever they run, and
 * where all machines seem slow none is. */
void leader_measure_paces(struct leader *l)
{
    GArray *paces = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->told && h->paced >= SLOW_AFTER)
            g_array_append_val(paces, h->pace);
    g_array_sort(paces, by_value);
    l->usual_pace = paces->len ? g_array_index(paces, double, (paces->len - 1) / 2) : 1;
    g_array_unref(paces);
}

bool leader_host_slow(const struct leader *l, const struct lhost *h)
{
    return h->paced >= SLOW_AFTER && h->pace > SLOW_PACE * MAX(l->usual_pace, 1);
}

/* Tasks of other jobs have failed on the machine, too. */
static bool fails_others(struct leader *l, const char *host, const char *job)
{
    struct lhost *h = lhost_get(l, host);
    if (!h)
        return false;
    guint n = h->failed_jobs ? g_hash_table_size(h->failed_jobs) : 0;
    bool this_one = n && g_hash_table_contains(h->failed_jobs, job);
    return time_before(loop_now(l->loop), h->sick_until) || n > this_one;
}

/* Machines on which only this job has failed, as far as is known. When several machines are sick at
 * once, a large job comes to all of them within a moment, and is no worse than others. */
static guint failed_alone(struct leader *l, struct ljob *j)
{
    guint n = 0;
    GHashTableIter it;
    const char *host;
    g_hash_table_iter_init(&it, j->failed_on);
    while (g_hash_table_iter_next(&it, (gpointer *)&host, NULL))
        n += !fails_others(l, host, j->id.s);
    return n;
}

/* A task that fails is mostly its machine's fault; a job that fails on one machine after the other
 * is at fault itself, and tries again ever more seldom until its user cancels it. */
static void on_fault(struct leader *l, struct ljob *j, struct lhost *h, enum cause cause)
{
    if (cause == CAUSE_INCOMPLETE) /* another task of its gang was missing */
        return;
    if (cause != CAUSE_ERROR) {
        h->avoid_until = time_add_ms(loop_now(l->loop), 5000);
        return;
    }
    struct job *v = view_job(l->view, j->id.s);
    if (!j->failed_on)
        j->failed_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(j->failed_on, g_strdup(h->id.s));
    bool at_fault = v && v->n_done == 0 && failed_alone(l, j) >= 3;
    /* Its tasks fail within a moment of one another: that is one try, not many. */
    if (at_fault && time_before(loop_now(l->loop), j->not_before))
        return;
    if (at_fault) {
        j->failures++;
        int64_t pause = MIN(MOST_PAUSE_MS, 4000LL << MIN(j->failures, 5));
        j->not_before = time_add_ms(loop_now(l->loop), pause);
        LOG_INFO("job_failing", "job=%s machines=%u pause_ms=%" G_GINT64_FORMAT, j->id.s,
                 g_hash_table_size(j->failed_on), pause);
        return;
    }
    host_failed(l, h, j->id.s);
    h->avoid_until = time_add_ms(loop_now(l->loop), 10000);
}

static void on_news(struct leader *l, const cJSON *n)
{
    const char *host = bus_text(n, "h"), *job = bus_text(n, "j");
    const cJSON *cause = cJSON_GetObjectItemCaseSensitive(n, "c");
    const cJSON *took = cJSON_GetObjectItemCaseSensitive(n, "took");
    struct ljob *j = job ? ljob_get(l, job) : NULL;
    struct lhost *h = host ? lhost_get(l, host) : NULL;
    if (job && h && cJSON_IsNumber(took))
        learn_pace(l, job, h, took->valuedouble);
    if (j && h && cJSON_IsNumber(cause))
        on_fault(l, j, h, (enum cause)cause->valuedouble);
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
    const cJSON *images = cJSON_GetArrayItem(x, 5), *image;
    if (!images)
        return;
    g_ptr_array_set_size(h->images, 0);
    cJSON_ArrayForEach(image, images)
    {
        if (cJSON_IsString(image))
            images_add(h->images, image->valuestring);
    }
}

static void on_back(struct leader *l, const cJSON *x)
{
    job_id job;
    uint32_t i;
    attempt_no attempt;
    struct ljob *j = bus_task_read(x, &job, &i, &attempt) ? ljob_get(l, job.s) : NULL;
    if (!j)
        return;
    struct deal *d = g_hash_table_lookup(j->deals, leader_key_of(i));
    /* A gang's task may be dealt again under the same attempt: an answer that is said again must
     * not take back the later deal. */
    uint64_t number = 0;
    if (!d || d->attempt.v != attempt.v || (bus_u64(x, "n", &number) && number != d->number))
        return;
    if (d->host)
        d->host->avoid_until = time_add_ms(loop_now(l->loop), AVOID_MS);
    leader_deal_drop(l, j, i);
}

/* What a part is told of its machines: those that are to get nothing more. */
static cJSON *shut_hosts(struct leader *l, const char *owner)
{
    cJSON *o = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(o, "shut");
    mono_time now = loop_now(l->loop);
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->owner && strcmp(h->owner, owner) == 0 &&
            (leader_host_slow(l, h) || time_before(now, h->sick_until)))
            cJSON_AddItemToArray(list, cJSON_CreateString(h->id.s));
    return o;
}

static int on_digest(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    struct leader *l = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(m, "e", &epoch) || !bus_u64(m, "s", &seq))
        return 400;
    if (!membership_leads(l->members) || !l->leading || epoch != l->epoch.v ||
        epoch != l->view->epoch.v || seq <= lpart_make(l, from)->digest_seq)
        return 409;
    GHashTableIter it;
    struct lhost *h;
    bool whole = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(m, "whole"));
    if (!whole && !lpart_make(l, from)->digested)
        return 409; /* then the next one is whole */
    lpart_make(l, from)->digest_seq = seq;
    g_hash_table_iter_init(&it, l->hosts);
    while (whole && g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->owner && strcmp(h->owner, from) == 0)
            h->told = false;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "hosts")) on_host(l, from, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "back")) on_back(l, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "news")) on_news(l, x);
    /* Machines that nobody tells of any more, and that hold nothing, are forgotten. */
    g_hash_table_iter_init(&it, l->hosts);
    while (whole && g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (!h->told && h->owner && strcmp(h->owner, from) == 0 && leader_host_idle(h) &&
            !view_host(l->view, h->id.s))
            g_hash_table_iter_remove(&it);
    if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(m, "raise")) &&
        time_ms_since(loop_now(l->loop), l->epoch_at) > 5000)
        membership_raise(l->members, "a command may still be on its way");
    *answer = shut_hosts(l, from);
    if (whole)
        lpart_make(l, from)->digested = true;
    pass_soon(l);
    return 200;
}

/* ---- the view ---- */

static void on_view(struct leader *l, const GArray *changes)
{
    /* An outage may keep the lead from acting for a while. As long as nobody else takes it, which
     * would raise the epoch, the ledger is kept up: what was dealt is still with the parts. */
    if (!membership_holds_lead(l->members)) {
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
                ljob_lent(l, ljob_make(l, c->job), v);
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
                leader_deal_drop(l, j, k);
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
    if (!l->leading || !membership_leads(l->members) || store_troubled(l->store)) {
        l->idle_at = loop_now(l->loop);
        return;
    }
    GHashTableIter it;
    struct ljob *j;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j))
        consider_end(l, j);
    if (time_ms_since(loop_now(l->loop), l->swept_at) > SWEEP_MS) {
        l->swept_at = loop_now(l->loop);
        sweep_pages(l);
        sweep_rolls(l);
        raise_for_stuck_deals(l);
    }
    if (leader_ready_to_deal(l))
        pass(l);
    else
        fleet_step(l->fleet);
}
