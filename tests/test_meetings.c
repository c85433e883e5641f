/* Meetings of troubles: two or more at once, with whole nodes. After every step all rules are
 * looked at that can be seen from outside, and every answer to a user is held against those that
 * came before. See docs/safety.md. */
#include "part_state.h"
#include "world.h"

#include <string.h>

enum { STEP_MS = 20 };

/* ---- what users know ---- */

enum told { TOLD_NOTHING, TOLD_ACCEPTED, TOLD_DONE, TOLD_CANCELLED };

/* A job as its user sees it. */
struct known {
    char id[24], team[16], zone[4];
    char *body;
    int tasks;
    double cpus;
    bool one_zone, ordinary; /* not on loaners */
    bool cancel_asked;
    enum told told;
    mono_time told_at; /* that it is accepted, and then what became of it */
    uint64_t ended;    /* the tasks that are done */
};

enum question { ASK_SUBMIT, ASK_POLL, ASK_CANCEL };

struct asked {
    struct http_replier replier;
    struct world *world;
    struct known *job;
    enum question question;
    enum told before; /* what had been told when it was asked */
    int node, status;
    char *path;
    mono_time since;
};

static const char *method_of(enum question q)
{
    return q == ASK_POLL ? "GET" : "POST";
}

static GPtrArray *jobs;   /* struct known */
static GHashTable *by_id; /* the same */

static struct known *job_of(const char *id)
{
    return g_hash_table_lookup(by_id, id);
}

static struct known *job_add(const char *id, const char *form, int tasks, const char *team,
                             double cpus)
{
    struct known *j = g_new0(struct known, 1);
    g_strlcpy(j->id, id, sizeof j->id);
    g_strlcpy(j->team, team, sizeof j->team);
    j->tasks = tasks;
    j->cpus = cpus;
    j->body = world_job(id, form, tasks, team, cpus, "");
    g_ptr_array_add(jobs, j);
    g_hash_table_insert(by_id, j->id, j);
    return j;
}

static void job_swap(struct known *j, const char *what, const char *by)
{
    char *body = world_swapped(j->body, what, by);
    g_free(j->body);
    j->body = body;
}

static void tell(struct known *j, enum told what, mono_time now)
{
    if (what > j->told) {
        j->told = what;
        j->told_at = now;
    }
}

/* An answer to a user: it may not be older than what any node had told when it was asked for. */
static void hear(struct asked *a, int status, const char *body)
{
    struct known *j = a->job;
    a->status = status;
    if (status == 503)
        return;
    if (status == 404) {
        if (a->before != TOLD_NOTHING)
            fail_msg("%s is forgotten at node %d", j->id, a->node);
        return;
    }
    if (status != 200 && status != 201)
        fail_msg("%s: %d %s", j->id, status, body);
    enum told says = strstr(body, "\"done\"") && strstr(body, "\"Stage\":\"done\"") ? TOLD_DONE
                     : strstr(body, "\"Stage\":\"cancelled\"")                      ? TOLD_CANCELLED
                                                                                    : TOLD_ACCEPTED;
    if ((a->before > TOLD_ACCEPTED && says != a->before) ||
        (j->told > TOLD_ACCEPTED && says > TOLD_ACCEPTED && says != j->told))
        fail_msg("%s was told as %d before, and is %s at node %d", j->id, j->told, body, a->node);
    if (says == TOLD_DONE && j->ended != (1ULL << j->tasks) - 1)
        fail_msg("%s is called done too early", j->id);
    if (says == TOLD_CANCELLED && !j->cancel_asked)
        fail_msg("%s is called cancelled", j->id);
    if (a->question == ASK_CANCEL && says == TOLD_ACCEPTED)
        fail_msg("%s: a cancellation got %s", j->id, body);
    tell(j, says, loop_now(a->world->loop));
}

static void answered(struct http_replier *self, conn_ref to, int status, const char *fields,
                     const char *body, size_t len)
{
    (void)to;
    (void)fields;
    char *text = g_strndup(body, len);
    struct asked *a = (struct asked *)self;
    rules_answered(a->world->rules, loop_now(a->world->loop), a->since, method_of(a->question),
                   a->path, a->question == ASK_SUBMIT ? a->job->body : "", status, text);
    hear(a, status, text);
    g_free(text);
}

/* Asks and goes on; the answer is looked at when it comes. What a dead node was asked stays open.
 */
static struct asked *ask(struct world *w, int node, enum question question, struct known *j)
{
    struct asked *a = g_new0(struct asked, 1);
    *a = (struct asked){.replier = {answered},
                        .world = w,
                        .job = j,
                        .question = question,
                        .before = j->told,
                        .node = node,
                        .since = loop_now(w->loop)};
    j->cancel_asked = j->cancel_asked || question == ASK_CANCEL;
    if (!w->nodes[node])
        return a;
    a->path = question == ASK_SUBMIT ? g_strdup("/work")
              : question == ASK_POLL ? g_strconcat("/work/", j->id, NULL)
                                     : g_strconcat("/work/", j->id, "/abort", NULL);
    const char *body = question == ASK_SUBMIT ? j->body : "";
    struct http_request q = {method_of(question), a->path, "", body, strlen(body), NULL};
    rules_types(w->rules, w->types);
    rules_asked(w->rules, a->since, q.method, q.path, q.body);
    frontend_serve(w->nodes[node]->frontend, &a->replier, (conn_ref){1}, &q);
    return a;
}

static void ask_all(struct world *w, enum question question, struct known *j)
{
    for (int i = 0; i < w->plan.nodes; i++)
        ask(w, i, question, j);
}

/* ---- the rules ---- */

static double limit_of(const struct world *w, const char *team)
{
    return w->plan.teams ? w->plan.cpus_max : strcmp(team, "red") == 0 ? 16 : 64;
}

static void look_at_task(struct world *w, const struct worker *k, const struct wtask *t)
{
    struct known *j = job_of(t->job.s);
    assert_non_null(j);
    mono_time now = loop_now(w->loop);
    if (j->told == TOLD_CANCELLED &&
        time_ms_since(now, j->told_at) > (int64_t)(w->plan.cancel_s * 1000))
        fail_msg("%s/%u is on %s, %d s after it was cancelled", j->id, t->index, k->id,
                 (int)(time_ms_since(now, j->told_at) / 1000));
    if (j->ordinary && k->loaners)
        fail_msg("%s/%u is on a loaner", j->id, t->index);
    if (j->one_zone && *j->zone && strcmp(j->zone, k->yard) != 0)
        fail_msg("%s/%u is in zone %s, others in %s", j->id, t->index, k->yard, j->zone);
    g_strlcpy(j->zone, k->yard, sizeof j->zone);
}

static void look(struct world *w)
{
    GHashTable *used = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < jobs->len; i++)
        *((struct known *)jobs->pdata[i])->zone = 0;
    for (int i = 0; i < w->plan.workers; i++)
        for (guint n = 0; w->workers[i].up && n < w->workers[i].tasks->len; n++) {
            struct wtask *t = &g_array_index(w->workers[i].tasks, struct wtask, n);
            if (strcmp(t->stage, "exited") == 0)
                continue;
            look_at_task(w, &w->workers[i], t);
            struct known *j = job_of(t->job.s);
            double *cpus = g_hash_table_lookup(used, j->team);
            if (!cpus) {
                cpus = g_new0(double, 1);
                g_hash_table_insert(used, j->team, cpus);
            }
            *cpus += j->cpus;
            if (*cpus > limit_of(w, j->team) + 0.001)
                fail_msg("team %s has %.1f processors", j->team, *cpus);
        }
    g_hash_table_unref(used);
    if (world_ran_twice(w))
        fail_msg("a task ran twice");
}

static void run(struct world *w, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        world_run(w, MIN(STEP_MS, ms - t));
        look(w);
    }
}

/* Asks again and again, at one node after the other, until one answers. */
static int insist(struct world *w, int node, enum question question, struct known *j)
{
    for (int round = 0; round < 40; round++) {
        int at = (node + round) % w->plan.nodes;
        struct asked *a = ask(w, at, question, j);
        for (int i = 0; i < 100 && w->nodes[at] && !a->status; i++)
            run(w, STEP_MS);
        if (a->status == 200 || a->status == 201 || a->status == 404)
            return a->status;
        run(w, 500);
    }
    fail_msg("nobody answers for %s", j->id);
    return 0;
}

static struct known *submit(struct world *w, int node, const char *id, const char *form, int tasks)
{
    struct known *j = job_add(id, form, tasks, "blue", 2.0);
    insist(w, node, ASK_SUBMIT, j);
    return j;
}

static void cancel(struct world *w, int node, struct known *j)
{
    assert_int_equal(insist(w, node, ASK_CANCEL, j), 200);
}

static struct worker *worker_of(struct world *w, const struct known *j, uint32_t index)
{
    for (int i = 0; i < w->plan.workers; i++)
        if (w->workers[i].up && worker_task(&w->workers[i], j->id, index))
            return &w->workers[i];
    return NULL;
}

/* A task completes, if it runs. */
static bool end_task(struct world *w, struct known *j, uint32_t index)
{
    struct worker *k = worker_of(w, j, index);
    if (!k || strcmp(worker_task(k, j->id, index)->stage, "running") != 0)
        return false;
    worker_exit(k, j->id, index, "done");
    j->ended |= 1ULL << index;
    worker_report(k);
    return true;
}

/* All that run of a job; on machines that hang nothing ends. */
static void end_job(struct world *w, struct known *j)
{
    for (int t = 0; t < j->tasks; t++) {
        struct worker *k = worker_of(w, j, (uint32_t)t);
        if (k && !k->silent)
            end_task(w, j, (uint32_t)t);
    }
}

static int on_machines(struct world *w, const struct known *j)
{
    return world_on_machines(w, j->id);
}

static void expect_on_machines(struct world *w, const struct known *j, int n)
{
    if (on_machines(w, j) != n)
        fail_msg("%s has %d tasks on machines, not %d", j->id, on_machines(w, j), n);
}

/* Once all troubles are over: nothing is forgotten, all nodes say the same, and new work is begun
 * and done. */
static void work_goes_on(struct world *w)
{
    w->fate = NULL;
    w->state_down = w->cloud_down = false;
    w->capacity += 4; /* idle machines may have gone back */
    for (int i = 0; i < w->plan.nodes; i++)
        if (!w->nodes[i])
            world_start(w, i);
    for (int i = 0; i < w->plan.workers; i++) {
        w->workers[i].silent = w->workers[i].deaf = false;
        w->workers[i].only = -1;
        w->workers[i].quiet_until = (mono_time){0};
    }
    run(w, 10000);
    guint n = jobs->len;
    for (guint i = 0; i < n; i++) {
        struct known *j = jobs->pdata[i];
        for (int node = 0; node < w->plan.nodes && j->told != TOLD_NOTHING; node++)
            assert_int_equal(insist(w, node, n > 50 && node ? ASK_SUBMIT : ASK_POLL, j), 200);
    }
    struct known *last = job_add("wk-last", "sweep", 1, w->plan.teams ? "team-00" : "red", 1.0);
    insist(w, 0, ASK_SUBMIT, last);
    for (int i = 0; i < 900 && !end_task(w, last, 0); i++) {
        run(w, 100);
        for (guint k = 0; i > 100 && k < n; k++) /* its team may have been at its limit */
            end_job(w, jobs->pdata[k]);
    }
    run(w, 3000);
    for (int node = 0; node < w->plan.nodes; node++)
        insist(w, node, ASK_POLL, last);
    assert_int_equal(last->told, TOLD_DONE);
}

/* ---- troubles ---- */

static void machines(struct world *w, int from, int to, bool loaners)
{
    w->capacity = 0;
    for (int i = from; i < to; i++)
        world_worker(w, i, i % 2 ? "a" : "b", loaners);
    run(w, 3000);
}

static int other_than(const struct world *w, int node)
{
    return (node + 1) % w->plan.nodes;
}

/* The leader ends; returns which node it was. */
static int end_leader(struct world *w)
{
    int node = world_leader_index(w);
    assert_true(node >= 0);
    world_kill(w, node);
    return node;
}

static bool is_state(const struct net_request *r)
{
    return strcmp(r->addr, "10.2.0.1:2379") == 0;
}

static bool is_txn(const struct net_request *r)
{
    return strcmp(r->path, "/txn") == 0;
}

static bool is_command(const struct net_request *r)
{
    return strcmp(r->path, "/commands") == 0;
}

static int open_meeting(void **state)
{
    jobs = g_ptr_array_new();
    by_id = g_hash_table_new(g_str_hash, g_str_equal);
    return world_open(state);
}

static int open_full_teams(void **state)
{
    jobs = g_ptr_array_new();
    by_id = g_hash_table_new(g_str_hash, g_str_equal);
    struct world_plan plan = world_usual();
    plan.teams = 2;
    plan.cpus = 8;
    plan.cpus_max = 16;
    struct world *w = world_new_sized(&plan);
    for (int i = 0; i < plan.nodes; i++)
        world_start(w, i);
    world_run(w, 3000);
    *state = w;
    return 0;
}

static int close_meeting(void **state)
{
    g_hash_table_unref(by_id);
    g_ptr_array_unref(jobs);
    return world_close(state);
}

/* ---- the meetings ---- */

/* "A team is at its limit when the leader changes, some of its machines can't be asked, and a
 * cancellation falls into that spell", and with every team: "Every team is at its limit while jobs
 * are cancelled whose machines are cut off or hang, and the leader changes". */
static void full_teams_stay_within_limits_as_the_leader_changes(void **state)
{
    struct world *w = *state;
    machines(w, 0, 6, false);
    struct known *first[2], *next[2];
    for (int t = 0; t < 2; t++) {
        const char *team = t ? "team-01" : "team-00";
        first[t] = job_add(t ? "wk-11" : "wk-10", "sweep", 6, team, 2.0);
        next[t] = job_add(t ? "wk-21" : "wk-20", "sweep", 20, team, 2.0);
        insist(w, t, ASK_SUBMIT, first[t]);
        run(w, 1500);
        insist(w, t, ASK_SUBMIT, next[t]);
    }
    run(w, 5000);
    for (int t = 0; t < 2; t++) {
        expect_on_machines(w, first[t], 6);
        expect_on_machines(w, next[t], 2);
    }
    for (int i = 0; i < 4; i++) /* cut off, or hanging */
        w->workers[i].silent = true;
    int old = world_leader_index(w);
    ask(w, other_than(w, old), ASK_CANCEL, first[0]);
    run(w, 100);
    end_leader(w);
    cancel(w, other_than(w, old), first[1]);
    run(w, 4000);
    w->workers[0].silent = w->workers[1].silent = false; /* these go on within their lease */
    run(w, 3000);
    world_start(w, old);
    run(w, 30000);
    for (int t = 0; t < 2; t++)
        expect_on_machines(w, first[t], 0);
    work_goes_on(w);
}

/* "Controllers hand over and back, all end, and one returns, also within a second". */
static void all_end_and_one_returns_within_a_second(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    struct known *service = submit(w, 0, "wk-1", "daemon", 4),
                 *array = submit(w, 1, "wk-2", "sweep", 4);
    struct known *doomed = submit(w, 1, "wk-3", "daemon", 4);
    run(w, 5000);
    int starts = world_starts(w);
    for (int round = 0; round < 3; round++) {
        int old = end_leader(w); /* over and back */
        run(w, 300);
        world_start(w, old);
        run(w, 300);
        if (world_leader_index(w) >= 0) {
            old = end_leader(w);
            run(w, 200);
            world_start(w, old);
        }
        run(w, 300);
        if (round == 1)
            cancel(w, round, doomed);
        for (int i = 0; i < WORLD_NODES; i++)
            world_kill(w, i);
        run(w, 200 + 300 * round);
        world_start(w, round);
        run(w, 9000);
        assert_int_equal(world_leader_index(w), round);
        expect_on_machines(w, service, 4);
        expect_on_machines(w, array, 4);
        assert_int_equal(world_starts(w), starts);
        for (int i = 0; i < WORLD_NODES; i++)
            if (!w->nodes[i])
                world_start(w, i);
        run(w, 3000);
    }
    expect_on_machines(w, doomed, 0);
    work_goes_on(w);
}

/* "An old report reaches every controller just as a new leader begins", "a report is held back
 * until a new leader has acted", and "an old report arrives after newer ones, also from an earlier
 * session or attempt": whatever was said before the tasks began would prove that they are gone. */
static void old_reports_as_a_new_leader_begins_free_nothing(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    for (int i = 4; i < 8; i++)
        worker_new_session(&w->workers[i], false);
    run(w, 3000);
    struct known *service = submit(w, 0, "wk-1", "daemon", 6);
    run(w, 4000);
    expect_on_machines(w, service, 6);
    GPtrArray *old = g_ptr_array_new_with_free_func(g_free);
    for (int i = 4; i < 8; i++)
        for (guint n = 0; n < w->workers[i].said->len; n++)
            g_ptr_array_add(old, g_strdup(w->workers[i].said->pdata[n]));
    int starts = world_starts(w);
    for (int round = 0; round < 3; round++) {
        int gone = end_leader(w);
        assert_true(old->len > 10);
        for (int i = 4; i < 8; i++) /* the copies come first */
            w->workers[i].silent = true;
        for (int i = 0; i < 500 && world_leader_index(w) < 0; i++)
            run(w, STEP_MS);
        for (int ms = 0; ms < 2000; ms += 100) {
            for (guint n = 0; n < old->len; n++)
                for (int node = 0; node < WORLD_NODES; node++)
                    if (w->nodes[node])
                        world_say_again(w, node, old->pdata[n]);
            run(w, 100);
        }
        for (int i = 4; i < 8; i++)
            w->workers[i].silent = false;
        run(w, 2000);
        for (guint n = 0; n < old->len; n++) /* and after newer ones */
            for (int node = 0; node < WORLD_NODES; node++)
                if (w->nodes[node])
                    world_say_again(w, node, old->pdata[n]);
        run(w, 6000);
        world_start(w, gone);
        run(w, 4000);
        expect_on_machines(w, service, 6);
        assert_int_equal(world_starts(w), starts);
    }
    g_ptr_array_unref(old);
    work_goes_on(w);
}

/* "Jobs bound to one zone, arrays too, lose machines": what they lose starts again in the zone in
 * which the others still are, and elsewhere only once none is left there. */
static void jobs_in_one_zone_that_lose_machines_stay_together(void **state)
{
    struct world *w = *state;
    machines(w, 2, 8, true);
    struct known *bound[] = {job_add("wk-1", "sweep", 6, "blue", 2.0),
                             job_add("wk-2", "daemon", 3, "blue", 2.0)};
    for (int i = 0; i < 2; i++) {
        bound[i]->one_zone = true;
        job_swap(bound[i], "\"OneZone\":false", "\"OneZone\":true");
        insist(w, i, ASK_SUBMIT, bound[i]);
    }
    run(w, 5000);
    for (int i = 0; i < 2; i++)
        expect_on_machines(w, bound[i], bound[i]->tasks);
    for (int round = 0; round < 4; round++) {
        struct worker *k = NULL;
        for (int i = 0; i < 2 && !k; i++)
            k = worker_of(w, bound[(round + i) % 2], 0);
        assert_non_null(k);
        char zone[4];
        g_strlcpy(zone, k->yard, sizeof zone);
        for (int i = 0; i < WORLD_WORKERS; i++) /* one, and at last the whole zone */
            if (&w->workers[i] == k ||
                (round == 3 && w->workers[i].up && strcmp(w->workers[i].yard, zone) == 0))
                w->workers[i].silent = true;
        w->capacity = round == 3 ? 4 : 2;
        if (round % 2) {
            int gone = end_leader(w);
            run(w, 3000);
            world_start(w, gone);
        }
        run(w, 30000);
    }
    w->capacity = 2; /* the zone may lack room, which is rented there and not elsewhere */
    run(w, 20000);
    for (int i = 0; i < 2; i++)
        expect_on_machines(w, bound[i], bound[i]->tasks);
    assert_in_range(w->rented, 0, 16);
    work_goes_on(w);
}

static int cut_node = -1;
static enum fate cut_from_state(struct world *w, int node, const struct net_request *r)
{
    (void)w;
    return node == cut_node && is_state(r) ? FATE_REFUSED : FATE_NORMAL;
}

/* "Leaders change ten times in two minutes, also inside an outage": they end and are back, the
 * state service refuses them alone, and they end while it serves nobody. */
static void leaders_change_ten_times_in_two_minutes(void **state)
{
    struct world *w = *state;
    machines(w, 3, 8, false);
    struct known *service = submit(w, 0, "wk-1", "daemon", 4), *before = NULL;
    run(w, 4000);
    uint64_t epoch = w->nodes[0]->view->epoch.v;
    for (int round = 0; round < 10; round++) {
        for (int i = 0; i < 200 && world_leader_index(w) < 0; i++)
            run(w, STEP_MS);
        int old = world_leader_index(w);
        assert_true(old >= 0);
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        struct known *j = submit(w, other_than(w, old), id, "sweep", 3);
        if (round % 3 == 0) {
            end_leader(w);
            run(w, 1500);
            world_start(w, old);
        } else if (round % 3 == 1) {
            cut_node = old;
            w->fate = cut_from_state;
            run(w, 6000);
        } else {
            w->state_down = true;
            run(w, 1500);
            end_leader(w);
            run(w, 2500);
            world_start(w, old);
            run(w, 1000);
            w->state_down = false;
        }
        run(w, 2000);
        if (before && round % 2)
            cancel(w, other_than(w, old), before);
        else if (before)
            end_job(w, before);
        run(w, 1500);
        w->fate = NULL;
        run(w, 1500);
        before = j;
    }
    assert_true(w->nodes[0]->view->epoch.v >= epoch + 10);
    run(w, 10000);
    expect_on_machines(w, service, 4);
    assert_int_equal(on_machines(w, before), 3);
    work_goes_on(w);
}

/* "All controllers are away for longer than `lease_s`": every task is lost, and starts again once.
 */
static void all_away_for_longer_than_a_lease(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    struct known *service = submit(w, 0, "wk-1", "daemon", 4),
                 *doomed = submit(w, 1, "wk-2", "sweep", 4);
    run(w, 4000);
    int starts = world_starts(w);
    ask(w, 0, ASK_CANCEL, doomed); /* it is on record, and nobody lives to act on it */
    run(w, 20);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(w, i);
    run(w, 8000); /* two machines hang as their lease ends */
    w->workers[4].silent = w->workers[5].silent = true;
    run(w, 5000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(w, i);
    run(w, 2000);
    w->workers[4].silent = w->workers[5].silent = false;
    run(w, 15000);
    expect_on_machines(w, service, 4);
    cancel(w, 2, doomed);
    run(w, 5000);
    expect_on_machines(w, doomed, 0);
    assert_in_range(world_starts(w), starts + 4, starts + 8);
    work_goes_on(w);
}

/* "Workers can't open connections to any controller, while direct commands still reach them": their
 * leases run out, and what ran goes on elsewhere, or there in a later session. */
static void workers_that_reach_no_controller_are_still_told(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    struct known *service = submit(w, 0, "wk-1", "daemon", 6),
                 *doomed = submit(w, 1, "wk-2", "daemon", 6);
    run(w, 4000);
    for (int i = 4; i < 8; i++)
        w->workers[i].quiet_until = time_add_ms(loop_now(w->loop), i < 6 ? 8000 : 40000);
    run(w, 500);
    cancel(w, 0, doomed);
    run(w, 3000);
    expect_on_machines(w, doomed, 0); /* told straight */
    struct known *more = submit(w, 2, "wk-3", "sweep", 2);
    run(w, 50000);
    expect_on_machines(w, service, 6);
    expect_on_machines(w, more, 2);
    work_goes_on(w);
}

/* "A leader ends while machines with long tasks can't be reached, or don't hear the new leader's
 * answer": they are within their leases, so their tasks go on where they are. */
static void a_leader_ends_while_machines_are_out_of_reach(void **state)
{
    struct world *w = *state;
    machines(w, 2, 8, false);
    struct known *service = submit(w, 0, "wk-1", "daemon", 10);
    run(w, 4000);
    for (int round = 0; round < 2; round++) {
        int starts = world_starts(w);
        bool away[WORLD_WORKERS] = {false};
        for (int i = 2, n = 0; i < 8; i++)
            if (w->workers[i].tasks->len) {
                away[i] = true;
                *(n++ % 2 ? &w->workers[i].silent : &w->workers[i].deaf) = true;
            }
        run(w, 500);
        int old = end_leader(w);
        struct known *more = submit(w, other_than(w, old), round ? "wk-3" : "wk-2", "sweep", 2);
        run(w, 6000);
        expect_on_machines(w, more, 2); /* on machines that hear */
        for (int i = 2; i < 8; i++)
            assert_false(away[i] && (worker_task(&w->workers[i], more->id, 0) ||
                                     worker_task(&w->workers[i], more->id, 1)));
        if (!round)
            assert_int_equal(world_starts(w), starts + 2);
        run(w, round ? 14000 : 500); /* the second time past their leases */
        for (int i = 2; i < 8; i++)
            w->workers[i].silent = w->workers[i].deaf = false;
        world_start(w, old);
        run(w, 12000);
        expect_on_machines(w, service, 10);
        cancel(w, 1, more);
        run(w, 3000);
    }
    cancel(w, 0, service);
    run(w, 3000);
    expect_on_machines(w, service, 0);
    work_goes_on(w);
}

/* "One-task jobs come four a second for minutes, a quarter of them cancelled". */
static void small_jobs_come_four_a_second(void **state)
{
    struct world *w = *state;
    machines(w, 3, 8, true);
    GRand *luck = g_rand_new_with_seed(4);
    for (int n = 0; n < 480; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%03d", n);
        struct known *j = job_add(id, "sweep", 1, n % 3 ? "red" : "blue", 1.0);
        ask(w, n % WORLD_NODES, ASK_SUBMIT, j);
        for (guint k = jobs->len > 120 ? jobs->len - 120 : 0; k < jobs->len; k++) {
            struct known *x = jobs->pdata[k];
            if (k % 4 == 0 && !x->cancel_asked && g_rand_double(luck) < 0.1)
                ask(w, g_rand_int_range(luck, 0, WORLD_NODES), ASK_CANCEL, x);
            else if (!x->cancel_asked && g_rand_double(luck) < 0.03)
                end_job(w, x);
            if (g_rand_double(luck) < 0.05)
                ask(w, g_rand_int_range(luck, 0, WORLD_NODES), ASK_POLL, x);
        }
        run(w, 250);
    }
    for (int round = 0; round < 20; round++) {
        for (guint k = 0; k < jobs->len; k++)
            end_job(w, jobs->pdata[k]);
        run(w, 500);
    }
    g_rand_free(luck);
    work_goes_on(w);
    for (guint k = 0; k < jobs->len; k++) {
        struct known *j = jobs->pdata[k];
        if (j->told < TOLD_DONE)
            fail_msg("%s is not over", j->id);
    }
}

static int behind_node;
static enum fate one_view_behind(struct world *w, int node, const struct net_request *r)
{
    (void)w;
    return node == behind_node && g_str_has_prefix(r->path, "/watch") ? FATE_LATE : FATE_NORMAL;
}

static int lost_share;
static enum fate lose_answers(struct world *w, int node, const struct net_request *r)
{
    static int n;
    if (one_view_behind(w, node, r) != FATE_NORMAL)
        return FATE_LATE;
    return is_txn(r) && strstr(r->body, "\"Set\"") && n++ % lost_share == 0 ? FATE_ANSWER_LOST
                                                                            : FATE_NORMAL;
}

/* "A transaction is carried out at once and only its answer is lost, while other nodes read what it
 * wrote". */
static void lost_answers_while_other_nodes_read(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    w->fate = lose_answers;
    for (int n = 0; n < 12; n++) {
        lost_share = 1 + n % 2; /* all of them, or every other one */
        behind_node = (n + 2) % WORLD_NODES;
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = job_add(id, "sweep", 1, "blue", 1.0);
        ask(w, n % WORLD_NODES, ASK_SUBMIT, j);
        for (int i = 0; i < 50; i++) {
            ask(w, (n + i) % WORLD_NODES, i % 5 ? ASK_POLL : ASK_SUBMIT, j);
            run(w, STEP_MS);
        }
        if (n % 3 == 0)
            ask(w, (n + 1) % WORLD_NODES, ASK_CANCEL, j);
        for (int i = 0; i < 100; i++) {
            ask(w, (n + i) % WORLD_NODES, i % 5 ? ASK_POLL : ASK_SUBMIT, j);
            if (i % 10 == 0)
                end_job(w, j);
            run(w, STEP_MS);
        }
        lost_share = 3;
    }
    run(w, 5000);
    for (guint k = 0; k < jobs->len; k++)
        end_job(w, jobs->pdata[k]);
    work_goes_on(w);
}

/* "Jobs are cancelled in the seconds in which one controller's work changes hands": as it ends, is
 * back, and is left out for a while. */
static void jobs_are_cancelled_as_work_changes_hands(void **state)
{
    struct world *w = *state;
    machines(w, 2, 8, false);
    for (int round = 0; round < 3; round++) {
        struct known *mine[10];
        for (int n = 0; n < 10; n++) {
            char id[16];
            g_snprintf(id, sizeof id, "wk-%d%d", round, n);
            mine[n] = job_add(id, "daemon", 2, "blue", 1.0);
            ask(w, n % WORLD_NODES, ASK_SUBMIT, mine[n]);
        }
        run(w, 5000);
        int leader = world_leader_index(w), other = other_than(w, leader);
        int gone = round == 1 ? leader : other;
        if (round == 2)
            membership_exclude(w->nodes[leader]->members, w->nodes[gone]->settings->label, 3000);
        else
            world_kill(w, gone);
        for (int n = 0; n < 10; n++) {
            ask(w, other_than(w, gone), ASK_CANCEL, mine[n]);
            run(w, 600);
        }
        if (round < 2)
            world_start(w, gone);
        for (int n = 0; n < 10; n++) /* who was told nothing asks again */
            cancel(w, gone, mine[n]);
        run(w, 15000);
        for (int n = 0; n < 10; n++)
            expect_on_machines(w, mine[n], 0);
    }
    work_goes_on(w);
}

static enum fate slow_links(struct world *w, int node, const struct net_request *r)
{
    static int n;
    (void)w;
    (void)node;
    if (is_state(r))
        return FATE_NORMAL;
    return n++ % 5 == 0 ? FATE_ANSWER_LOST : n % 2 ? FATE_LATE : FATE_NORMAL;
}

/* "There is more work than room, urgent and not, over slow links". */
static void more_work_than_room_over_slow_links(void **state)
{
    struct world *w = *state;
    machines(w, 5, 8, false);
    w->fate = slow_links;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = job_add(id, "sweep", 4, n % 2 ? "red" : "blue", 2.0);
        if (n % 3 == 0)
            job_swap(j, "\"high\"", "\"best_effort\"");
        ask(w, n % WORLD_NODES, ASK_SUBMIT, j);
        run(w, 1500);
        for (guint k = 0; k < jobs->len; k++)
            if ((k + (guint)n) % 4 == 0)
                end_job(w, jobs->pdata[k]);
    }
    for (int round = 0; round < 40; round++) {
        run(w, 1500);
        for (guint k = 0; k < jobs->len; k++)
            end_job(w, jobs->pdata[k]);
    }
    run(w, 3000);
    for (guint k = 0; k < jobs->len; k++) {
        insist(w, (int)k % WORLD_NODES, ASK_POLL, jobs->pdata[k]);
        assert_int_equal(((struct known *)jobs->pdata[k])->told, TOLD_DONE);
    }
    work_goes_on(w);
}

static int slow_turn;
static enum fate slow_state(struct world *w, int node, const struct net_request *r)
{
    (void)w;
    (void)node;
    if (!is_state(r) || strstr(r->path, "/grants"))
        return FATE_NORMAL;
    return slow_turn++ % 8 == 0 ? FATE_SLOW : slow_turn % 2 ? FATE_LATE : FATE_NORMAL;
}

/* "The state service answers slowly [...] while users cancel and ask": answers come out of order.
 */
static void the_state_service_is_slow_while_users_cancel_and_ask(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    w->fate = slow_state;
    for (int n = 0; n < 16; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = job_add(id, "sweep", 2, "blue", 1.0);
        for (int i = 0; i < 150; i++) {
            if (i % 40 == 0)
                ask(w, (n + i) % WORLD_NODES, ASK_SUBMIT, j);
            if (j->told && i % 4 == 0)
                ask(w, (n + i / 4) % WORLD_NODES, ASK_POLL, j);
            if (n % 2 && i == 100)
                ask(w, n % WORLD_NODES, ASK_CANCEL, j);
            run(w, STEP_MS);
            if (i % 10 == 0 && n)
                end_job(w, jobs->pdata[n - 1]);
        }
    }
    work_goes_on(w);
}

/* "A cancellation, a question or a repeated submission meets the end of a job's last task, with no
 * other trouble": in steps of a few milliseconds before and after it. */
static void the_end_of_a_job_meets_its_users(void **state)
{
    struct world *w = *state;
    machines(w, 6, 8, false);
    int done = 0, cancelled = 0;
    for (int n = 0; n < 60; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = submit(w, n % WORLD_NODES, id, "sweep", 1 + n % 2);
        run(w, 1500);
        expect_on_machines(w, j, 1 + n % 2);
        if (n % 2)
            end_task(w, j, 0);
        int offset = n % 30 - 10;
        for (int ms = -10; ms < 60; ms++) {
            if (ms == 0)
                end_task(w, j, (uint32_t)(n % 2));
            if (ms == offset)
                ask(w, n / 2 % WORLD_NODES, n % 3 ? ASK_CANCEL : ASK_SUBMIT, j);
            if (ms % 3 == 0)
                ask(w, ms / 3 % WORLD_NODES < 0 ? 0 : ms / 3 % WORLD_NODES, ASK_POLL, j);
            world_run(w, 1);
        }
        run(w, 1000);
        ask_all(w, ASK_POLL, j);
        ask_all(w, ASK_SUBMIT, j);
        run(w, 100);
        done += j->told == TOLD_DONE;
        cancelled += j->told == TOLD_CANCELLED;
        assert_true(j->told > TOLD_ACCEPTED);
    }
    assert_true(done > 10 && cancelled > 5);
    work_goes_on(w);
}

static bool hold;
static enum fate hold_commands(struct world *w, int node, const struct net_request *r)
{
    static int n;
    (void)w;
    (void)node;
    return !hold || !is_command(r) ? FATE_NORMAL : n++ % 2 ? FATE_HELD : FATE_ANSWER_LOST;
}

/* "A command or its answer is held up for seconds, and the machine then goes on". */
static void commands_are_held_up_and_the_machine_goes_on(void **state)
{
    struct world *w = *state;
    machines(w, 5, 8, false);
    w->fate = hold_commands;
    for (int round = 0; round < 4; round++) {
        char id[2][16];
        struct known *j[2];
        hold = true;
        for (int i = 0; i < 2; i++) {
            g_snprintf(id[i], sizeof id[i], "wk-%d%d", round, i);
            j[i] = submit(w, i, id[i], "sweep", 6);
        }
        for (int i = 0; i < 200 && !w->held->len; i++)
            run(w, STEP_MS);
        assert_true(w->held->len > 0);
        for (int i = 5; i < 8; i++)
            w->workers[i].silent = round % 2 == 0 && (i + round) % 3 != 0;
        if (round % 2 == 0) /* which raises the epoch, so that old commands count no more */
            cancel(w, 2, j[0]);
        run(w, round % 2 ? 5000 : 7500);
        for (int i = 5; i < 8; i++)
            w->workers[i].silent = false;
        if (round % 2 == 0)
            world_deliver_held(w);
        run(w, 6000);
        end_job(w, j[0]);
        end_job(w, j[1]);
        run(w, 3000);
        int starts = world_starts(w);
        world_deliver_held(w); /* commands for what is over */
        hold = false;
        look(w);
        run(w, 8000);
        if (round % 2)
            assert_int_equal(world_starts(w), starts);
        end_job(w, j[1]);
        run(w, 3000);
        expect_on_machines(w, j[0], 0);
        expect_on_machines(w, j[1], 0);
        insist(w, 0, ASK_POLL, j[1]);
        assert_int_equal(j[1]->told, TOLD_DONE);
    }
    work_goes_on(w);
}

/* "Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
 * after a job was accepted, ended or confirmed as cancelled; some cancel at once": also what is
 * done already, and at a node whose view is half a second behind. */
static void close_looks_see_nothing_older(void **state)
{
    struct world *w = *state;
    machines(w, 5, 8, false);
    w->capacity = 2;
    w->fate = one_view_behind;
    for (int n = 0; n < 30; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = job_add(id, "sweep", 1, "blue", 1.0);
        int at = n % WORLD_NODES;
        behind_node = n / 3 % WORLD_NODES;
        for (enum told last = TOLD_NOTHING, ms = 0; ms < 3200; ms++) {
            if (ms == 0)
                ask(w, at, ASK_SUBMIT, j);
            if (n % 3 == 0 && j->told == TOLD_ACCEPTED && !j->cancel_asked)
                ask(w, (at + n) % WORLD_NODES, ASK_CANCEL, j); /* some at once */
            if (n % 3 == 1 && ms == 1500)
                ask(w, (at + 1) % WORLD_NODES, ASK_CANCEL, j);
            if (n % 3 == 2 && ms >= 1500 && ms % STEP_MS == 0)
                end_job(w, j);
            bool ending = n % 3 == 2 && ms >= 1500 && j->told == TOLD_ACCEPTED;
            if (ending || j->told != last ||
                (j->told && time_ms_since(loop_now(w->loop), j->told_at) < 60)) {
                if (j->told == TOLD_DONE && last != TOLD_DONE)
                    ask(w, behind_node, ASK_CANCEL, j);
                last = j->told;
                ask_all(w, ASK_POLL, j);
                if (ms % 4 == 0)
                    ask_all(w, ASK_SUBMIT, j);
            }
            world_run(w, 1);
            if (ms % STEP_MS == 0)
                look(w);
        }
        assert_int_equal(j->told, n % 3 == 2 ? TOLD_DONE : TOLD_CANCELLED);
    }
    work_goes_on(w);
}

/* "Jobs of two or three tasks end far apart across a change of leader": what is done stays done. */
static void tasks_end_far_apart_across_leaders(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    struct known *j[6];
    for (int n = 0; n < 6; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", n);
        j[n] = submit(w, n % WORLD_NODES, id, "sweep", 2 + n % 2);
    }
    run(w, 4000);
    int starts = world_starts(w);
    for (uint32_t t = 0; t < 3; t++) {
        for (int n = 0; n < 6; n++)
            if ((int)t < j[n]->tasks)
                assert_true(end_task(w, j[n], t));
        run(w, t == 1 ? 60 : 4000); /* also as the mark is being written */
        for (int n = 0; n < 6; n++)
            ask(w, n % WORLD_NODES, ASK_POLL, j[n]);
        int old = end_leader(w);
        run(w, 8000);
        world_start(w, old);
        run(w, 2000);
        for (int i = 0; t == 1 && i < WORLD_NODES; i++) { /* nobody remembers it then */
            world_kill(w, i);
            world_start(w, i);
        }
        run(w, 5000);
    }
    for (int n = 0; n < 6; n++) {
        insist(w, n % WORLD_NODES, ASK_POLL, j[n]);
        assert_int_equal(j[n]->told, TOLD_DONE);
    }
    assert_int_equal(world_starts(w), starts);
    work_goes_on(w);
}

static bool late;
static enum fate late_txns(struct world *w, int node, const struct net_request *r)
{
    static int n;
    (void)w;
    (void)node;
    return late && is_txn(r) && strstr(r->body, "\"Set\"") && n++ % 3 == 0 ? FATE_HELD
                                                                           : FATE_NORMAL;
}

/* "A transaction without an answer is carried out late, after newer ones of the same controller".
 */
static void transactions_are_carried_out_late(void **state)
{
    struct world *w = *state;
    machines(w, 4, 8, false);
    w->fate = late_txns;
    late = true;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *j = job_add(id, "sweep", 2, "blue", 1.0);
        ask(w, n % WORLD_NODES, ASK_SUBMIT, j);
        run(w, 1200);
        ask(w, (n + 1) % WORLD_NODES, ASK_SUBMIT, j);
        if (n % 4 == 0)
            ask(w, (n + 2) % WORLD_NODES, ASK_CANCEL, j);
        run(w, 800);
        for (guint k = 0; k < jobs->len; k++)
            if ((k + (guint)n) % 3 == 0)
                end_job(w, jobs->pdata[k]);
        if (n % 3 == 2) {
            assert_true(w->held->len > 0);
            world_deliver_held(w);
        }
        ask_all(w, ASK_POLL, j);
    }
    late = false;
    run(w, 4000);
    world_deliver_held(w);
    for (int round = 0; round < 10; round++) {
        run(w, 1000);
        for (guint k = 0; k < jobs->len; k++)
            end_job(w, jobs->pdata[k]);
    }
    work_goes_on(w);
}

static bool hold_writes;
static enum fate lagging_writes(struct world *w, int node, const struct net_request *r)
{
    static int n;
    (void)w;
    (void)node;
    if (!is_txn(r) || !strstr(r->body, "ll\\/p\\/"))
        return FATE_NORMAL;
    return hold_writes ? FATE_HELD : n++ % 3 ? FATE_SLOW : FATE_LATE;
}

/* "New machines are up within two seconds and get work at once while writes lag, and the leader
 * ends". */
static void new_machines_get_work_while_writes_lag_and_the_leader_ends(void **state)
{
    struct world *w = *state;
    w->fate = lagging_writes;
    struct known *j[4];
    for (int round = 0; round < 4; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round);
        w->capacity = 2;
        hold_writes = round % 2;
        j[round] = submit(w, round % WORLD_NODES, id, "sweep", 8);
        for (int i = 0; i < 400 && w->capacity; i++)
            run(w, STEP_MS);
        for (int i = 0; i < 300 && hold_writes && !w->held->len; i++)
            run(w, STEP_MS);
        run(w, 300 + 900 * round); /* dealt, being written, or the command on its way */
        int old = end_leader(w);
        if (round == 2)
            cancel(w, other_than(w, old), j[2]);
        assert_true(!hold_writes || w->held->len > 0);
        hold_writes = false;
        run(w, 2500);
        world_start(w, old);
        run(w, 4000);
        world_deliver_held(w); /* what it wrote last */
        run(w, 2000);
    }
    w->fate = NULL;
    run(w, 20000);
    for (int round = 0; round < 4; round++)
        expect_on_machines(w, j[round], round == 2 ? 0 : 8);
    work_goes_on(w);
}

#define MEETING(f) cmocka_unit_test_setup_teardown(f, open_meeting, close_meeting)

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(full_teams_stay_within_limits_as_the_leader_changes,
                                        open_full_teams, close_meeting),
        MEETING(all_end_and_one_returns_within_a_second),
        MEETING(old_reports_as_a_new_leader_begins_free_nothing),
        MEETING(jobs_in_one_zone_that_lose_machines_stay_together),
        MEETING(leaders_change_ten_times_in_two_minutes),
        MEETING(all_away_for_longer_than_a_lease),
        MEETING(workers_that_reach_no_controller_are_still_told),
        MEETING(a_leader_ends_while_machines_are_out_of_reach),
        MEETING(small_jobs_come_four_a_second),
        MEETING(lost_answers_while_other_nodes_read),
        MEETING(jobs_are_cancelled_as_work_changes_hands),
        MEETING(more_work_than_room_over_slow_links),
        MEETING(the_state_service_is_slow_while_users_cancel_and_ask),
        MEETING(the_end_of_a_job_meets_its_users),
        MEETING(commands_are_held_up_and_the_machine_goes_on),
        MEETING(close_looks_see_nothing_older),
        MEETING(tasks_end_far_apart_across_leaders),
        MEETING(transactions_are_carried_out_late),
        MEETING(new_machines_get_work_while_writes_lag_and_the_leader_ends),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
