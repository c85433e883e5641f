/* Meetings of troubles: two or more at once, with whole nodes. After every step all rules are
 * looked at that can be seen from outside, and every answer to a user is held against those that
 * came before. See docs/safety.md. */
#include "shard_internal.h"
#include "world.h"

#include <string.h>

enum { STEP_MS = 20 };

/* ---- what users know ---- */

enum local_cancel { TOLD_NOTHING, TOLD_ACCEPTED, TOLD_DONE, TOLD_CANCELLED };

/* A job as its user sees it. */
struct known {
    char id[24], team[16], zone[4];
    char *body;
    int tasks;
    double cpus;
    bool one_zone, ordinary; /* not on spot */
    bool cancel_asked;
    enum local_cancel told;
    mono_time told_at; /* that it is accepted, and then what became of it */
    uint64_t ended;    /* the tasks that are done */
};

enum question { ASK_SUBMIT, ASK_POLL, ASK_CANCEL };

struct asked {
    struct http_responder replier;
    struct world *world;
    struct known *job;
    enum question question;
    enum local_cancel before; /* what had been told when it was asked */
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
    struct known *known = g_new0(struct known, 1);
    g_strlcpy(known->id, id, sizeof known->id);
    g_strlcpy(known->team, team, sizeof known->team);
    known->tasks = tasks;
    known->cpus = cpus;
    known->body = world_job(id, form, tasks, team, cpus, "");
    g_ptr_array_add(jobs, known);
    g_hash_table_insert(by_id, known->id, known);
    return known;
}

static void job_swap(struct known *known, const char *what, const char *by)
{
    char *body = world_swapped(known->body, what, by);
    g_free(known->body);
    known->body = body;
}

static void tell(struct known *known, enum local_cancel what, mono_time now)
{
    if (what > known->told) {
        known->told = what;
        known->told_at = now;
    }
}

/* An answer to a user: it may not be older than what any node had told when it was asked for. */
static void hear(struct asked *asked, int status, const char *body)
{
    struct known *known = asked->job;
    asked->status = status;
    if (status == 503)
        return;
    if (status == 404) {
        if (asked->before != TOLD_NOTHING)
            fail_msg("%s is forgotten at node %d", known->id, asked->node);
        return;
    }
    if (status != 200 && status != 201)
        fail_msg("%s: %d %s", known->id, status, body);
    enum local_cancel says = strstr(body, "\"done\"") && strstr(body, "\"Stage\":\"done\"")
                                 ? TOLD_DONE
                             : strstr(body, "\"Stage\":\"cancelled\"") ? TOLD_CANCELLED
                                                                       : TOLD_ACCEPTED;
    if ((asked->before > TOLD_ACCEPTED && says != asked->before) ||
        (known->told > TOLD_ACCEPTED && says > TOLD_ACCEPTED && says != known->told))
        fail_msg("%s was told as %d before, and is %s at node %d", known->id, known->told, body,
                 asked->node);
    if (says == TOLD_DONE && known->ended != (1ULL << known->tasks) - 1)
        fail_msg("%s is called done too early", known->id);
    if (says == TOLD_CANCELLED && !known->cancel_asked)
        fail_msg("%s is called cancelled", known->id);
    if (asked->question == ASK_CANCEL && says == TOLD_ACCEPTED)
        fail_msg("%s: a cancellation got %s", known->id, body);
    tell(known, says, loop_now(asked->world->loop));
}

static void answered(struct http_responder *self, connection_ref to, int status, const char *fields,
                     const char *body, size_t len)
{
    (void)to;
    (void)fields;
    char *text = g_strndup(body, len);
    struct asked *asked = (struct asked *)self;
    rules_answered(asked->world->rules, loop_now(asked->world->loop), asked->since,
                   method_of(asked->question), asked->path,
                   asked->question == ASK_SUBMIT ? asked->job->body : "", status, text);
    hear(asked, status, text);
    g_free(text);
}

/* Asks and goes on; the answer is looked at when it comes. What a dead node was asked stays open.
 */
static struct asked *ask(struct world *world, int node, enum question question, struct known *known)
{
    struct asked *asked = g_new0(struct asked, 1);
    *asked = (struct asked){.replier = {answered},
                            .world = world,
                            .job = known,
                            .question = question,
                            .before = known->told,
                            .node = node,
                            .since = loop_now(world->loop)};
    known->cancel_asked = known->cancel_asked || question == ASK_CANCEL;
    if (!world->nodes[node])
        return asked;
    asked->path = question == ASK_SUBMIT ? g_strdup("/work")
                  : question == ASK_POLL ? g_strconcat("/work/", known->id, NULL)
                                         : g_strconcat("/work/", known->id, "/abort", NULL);
    const char *body = question == ASK_SUBMIT ? known->body : "";
    struct http_request request = {method_of(question), asked->path, "", body, strlen(body), NULL};
    rules_types(world->rules, world->types);
    rules_asked(world->rules, asked->since, request.method, request.path, request.body);
    api_serve(world->nodes[node]->api, &asked->replier, (connection_ref){1}, &request);
    return asked;
}

static void ask_all(struct world *world, enum question question, struct known *known)
{
    for (int i = 0; i < world->plan.nodes; i++)
        ask(world, i, question, known);
}

/* ---- the rules ---- */

static double limit_of(const struct world *world, const char *team)
{
    return world->plan.teams ? world->plan.cpus_max : strcmp(team, "red") == 0 ? 16 : 64;
}

static void look_at_task(struct world *world, const struct worker *worker,
                         const struct wtask *wtask)
{
    struct known *known = job_of(wtask->job.text);
    assert_non_null(known);
    mono_time now = loop_now(world->loop);
    if (known->told == TOLD_CANCELLED &&
        time_ms_since(now, known->told_at) > (int64_t)(world->plan.cancel_s * 1000))
        fail_msg("%s/%u is on %s, %d s after it was cancelled", known->id, wtask->index, worker->id,
                 (int)(time_ms_since(now, known->told_at) / 1000));
    if (known->ordinary && worker->spot)
        fail_msg("%s/%u is on a loaner", known->id, wtask->index);
    if (known->one_zone && *known->zone && strcmp(known->zone, worker->zone) != 0)
        fail_msg("%s/%u is in zone %s, others in %s", known->id, wtask->index, worker->zone,
                 known->zone);
    g_strlcpy(known->zone, worker->zone, sizeof known->zone);
}

static void look(struct world *world)
{
    GHashTable *used = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < jobs->len; i++)
        *((struct known *)jobs->pdata[i])->zone = 0;
    for (int i = 0; i < world->plan.workers; i++)
        for (guint n = 0; world->workers[i].up && n < world->workers[i].tasks->len; n++) {
            struct wtask *wtask = &g_array_index(world->workers[i].tasks, struct wtask, n);
            if (strcmp(wtask->stage, "exited") == 0)
                continue;
            look_at_task(world, &world->workers[i], wtask);
            struct known *known = job_of(wtask->job.text);
            double *cpus = g_hash_table_lookup(used, known->team);
            if (!cpus) {
                cpus = g_new0(double, 1);
                g_hash_table_insert(used, known->team, cpus);
            }
            *cpus += known->cpus;
            if (*cpus > limit_of(world, known->team) + 0.001)
                fail_msg("team %s has %.1f processors", known->team, *cpus);
        }
    g_hash_table_unref(used);
    if (world_ran_twice(world))
        fail_msg("a task ran twice");
}

static void run(struct world *world, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        world_run(world, MIN(STEP_MS, ms - t));
        look(world);
    }
}

/* Asks again and again, at one node after the other, until one answers. */
static int insist(struct world *world, int node, enum question question, struct known *known)
{
    for (int round = 0; round < 40; round++) {
        int at = (node + round) % world->plan.nodes;
        struct asked *asked = ask(world, at, question, known);
        for (int i = 0; i < 100 && world->nodes[at] && !asked->status; i++)
            run(world, STEP_MS);
        if (asked->status == 200 || asked->status == 201 || asked->status == 404)
            return asked->status;
        run(world, 500);
    }
    fail_msg("nobody answers for %s", known->id);
    return 0;
}

static struct known *submit(struct world *world, int node, const char *id, const char *form,
                            int tasks)
{
    struct known *known = job_add(id, form, tasks, "blue", 2.0);
    insist(world, node, ASK_SUBMIT, known);
    return known;
}

static void cancel(struct world *world, int node, struct known *known)
{
    assert_int_equal(insist(world, node, ASK_CANCEL, known), 200);
}

static struct worker *worker_of(struct world *world, const struct known *known, uint32_t index)
{
    for (int i = 0; i < world->plan.workers; i++)
        if (world->workers[i].up && worker_task(&world->workers[i], known->id, index))
            return &world->workers[i];
    return NULL;
}

/* A task completes, if it runs. */
static bool end_task(struct world *world, struct known *known, uint32_t index)
{
    struct worker *worker = worker_of(world, known, index);
    if (!worker || strcmp(worker_task(worker, known->id, index)->stage, "running") != 0)
        return false;
    worker_exit(worker, known->id, index, "done");
    known->ended |= 1ULL << index;
    worker_report(worker);
    return true;
}

/* All that run of a job; on machines that hang nothing ends. */
static void end_job(struct world *world, struct known *known)
{
    for (int t = 0; t < known->tasks; t++) {
        struct worker *worker = worker_of(world, known, (uint32_t)t);
        if (worker && !worker->silent)
            end_task(world, known, (uint32_t)t);
    }
}

static int on_machines(struct world *world, const struct known *known)
{
    return world_on_machines(world, known->id);
}

static void expect_on_machines(struct world *world, const struct known *known, int n)
{
    if (on_machines(world, known) != n)
        fail_msg("%s has %d tasks on machines, not %d", known->id, on_machines(world, known), n);
}

/* Once all troubles are over: nothing is forgotten, all nodes say the same, and new work is begun
 * and done. */
static void work_goes_on(struct world *world)
{
    world->fate = NULL;
    world->state_down = world->cloud_down = false;
    world->capacity += 4; /* idle machines may have gone back */
    for (int i = 0; i < world->plan.nodes; i++)
        if (!world->nodes[i])
            world_start(world, i);
    for (int i = 0; i < world->plan.workers; i++) {
        world->workers[i].silent = world->workers[i].deaf = false;
        world->workers[i].only = -1;
        world->workers[i].quiet_until = (mono_time){0};
    }
    run(world, 10000);
    guint n = jobs->len;
    for (guint i = 0; i < n; i++) {
        struct known *known = jobs->pdata[i];
        for (int node = 0; node < world->plan.nodes && known->told != TOLD_NOTHING; node++)
            assert_int_equal(insist(world, node, n > 50 && node ? ASK_SUBMIT : ASK_POLL, known),
                             200);
    }
    struct known *last = job_add("wk-last", "sweep", 1, world->plan.teams ? "team-00" : "red", 1.0);
    insist(world, 0, ASK_SUBMIT, last);
    for (int i = 0; i < 900 && !end_task(world, last, 0); i++) {
        run(world, 100);
        for (guint k = 0; i > 100 && k < n; k++) /* its team may have been at its limit */
            end_job(world, jobs->pdata[k]);
    }
    run(world, 3000);
    for (int node = 0; node < world->plan.nodes; node++)
        insist(world, node, ASK_POLL, last);
    assert_int_equal(last->told, TOLD_DONE);
}

/* ---- troubles ---- */

static void machines(struct world *world, int from, int to, bool spot)
{
    world->capacity = 0;
    for (int i = from; i < to; i++)
        world_worker(world, i, i % 2 ? "a" : "b", spot);
    run(world, 3000);
}

static int other_than(const struct world *world, int node)
{
    return (node + 1) % world->plan.nodes;
}

/* The leader ends; returns which node it was. */
static int end_leader(struct world *world)
{
    int node = world_leader_index(world);
    assert_true(node >= 0);
    world_kill(world, node);
    return node;
}

static bool is_state(const struct http_client_request *request)
{
    return strcmp(request->address, "10.2.0.1:2379") == 0;
}

static bool is_txn(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0;
}

static bool is_command(const struct http_client_request *request)
{
    return strcmp(request->path, "/commands") == 0;
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
    struct world *world = world_new_sized(&plan);
    for (int i = 0; i < plan.nodes; i++)
        world_start(world, i);
    world_run(world, 3000);
    *state = world;
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
    struct world *world = *state;
    machines(world, 0, 6, false);
    struct known *first[2], *next[2];
    for (int t = 0; t < 2; t++) {
        const char *team = t ? "team-01" : "team-00";
        first[t] = job_add(t ? "wk-11" : "wk-10", "sweep", 6, team, 2.0);
        next[t] = job_add(t ? "wk-21" : "wk-20", "sweep", 20, team, 2.0);
        insist(world, t, ASK_SUBMIT, first[t]);
        run(world, 1500);
        insist(world, t, ASK_SUBMIT, next[t]);
    }
    run(world, 5000);
    for (int t = 0; t < 2; t++) {
        expect_on_machines(world, first[t], 6);
        expect_on_machines(world, next[t], 2);
    }
    for (int i = 0; i < 4; i++) /* cut off, or hanging */
        world->workers[i].silent = true;
    int old = world_leader_index(world);
    ask(world, other_than(world, old), ASK_CANCEL, first[0]);
    run(world, 100);
    end_leader(world);
    cancel(world, other_than(world, old), first[1]);
    run(world, 4000);
    world->workers[0].silent = world->workers[1].silent =
        false; /* these go on within their lease */
    run(world, 3000);
    world_start(world, old);
    run(world, 30000);
    for (int t = 0; t < 2; t++)
        expect_on_machines(world, first[t], 0);
    work_goes_on(world);
}

/* "Controllers hand over and back, all end, and one returns, also within a second". */
static void all_end_and_one_returns_within_a_second(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    struct known *service = submit(world, 0, "wk-1", "daemon", 4),
                 *array = submit(world, 1, "wk-2", "sweep", 4);
    struct known *upstream_cancelled = submit(world, 1, "wk-3", "daemon", 4);
    run(world, 5000);
    int starts = world_starts(world);
    for (int round = 0; round < 3; round++) {
        int old = end_leader(world); /* over and back */
        run(world, 300);
        world_start(world, old);
        run(world, 300);
        if (world_leader_index(world) >= 0) {
            old = end_leader(world);
            run(world, 200);
            world_start(world, old);
        }
        run(world, 300);
        if (round == 1)
            cancel(world, round, upstream_cancelled);
        for (int i = 0; i < WORLD_NODES; i++)
            world_kill(world, i);
        run(world, 200 + 300 * round);
        world_start(world, round);
        run(world, 9000);
        assert_int_equal(world_leader_index(world), round);
        expect_on_machines(world, service, 4);
        expect_on_machines(world, array, 4);
        assert_int_equal(world_starts(world), starts);
        for (int i = 0; i < WORLD_NODES; i++)
            if (!world->nodes[i])
                world_start(world, i);
        run(world, 3000);
    }
    expect_on_machines(world, upstream_cancelled, 0);
    work_goes_on(world);
}

/* "An old report reaches every controller just as a new leader begins", "a report is held back
 * until a new leader has acted", and "an old report arrives after newer ones, also from an earlier
 * session or attempt": whatever was said before the tasks began would prove that they are gone. */
static void old_reports_as_a_new_leader_begins_free_nothing(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    for (int i = 4; i < 8; i++)
        worker_new_session(&world->workers[i], false);
    run(world, 3000);
    struct known *service = submit(world, 0, "wk-1", "daemon", 6);
    run(world, 4000);
    expect_on_machines(world, service, 6);
    GPtrArray *old = g_ptr_array_new_with_free_func(g_free);
    for (int i = 4; i < 8; i++)
        for (guint n = 0; n < world->workers[i].said->len; n++)
            g_ptr_array_add(old, g_strdup(world->workers[i].said->pdata[n]));
    int starts = world_starts(world);
    for (int round = 0; round < 3; round++) {
        int gone = end_leader(world);
        assert_true(old->len > 10);
        for (int i = 4; i < 8; i++) /* the copies come first */
            world->workers[i].silent = true;
        for (int i = 0; i < 500 && world_leader_index(world) < 0; i++)
            run(world, STEP_MS);
        for (int ms = 0; ms < 2000; ms += 100) {
            for (guint n = 0; n < old->len; n++)
                for (int node = 0; node < WORLD_NODES; node++)
                    if (world->nodes[node])
                        world_say_again(world, node, old->pdata[n]);
            run(world, 100);
        }
        for (int i = 4; i < 8; i++)
            world->workers[i].silent = false;
        run(world, 2000);
        for (guint n = 0; n < old->len; n++) /* and after newer ones */
            for (int node = 0; node < WORLD_NODES; node++)
                if (world->nodes[node])
                    world_say_again(world, node, old->pdata[n]);
        run(world, 6000);
        world_start(world, gone);
        run(world, 4000);
        expect_on_machines(world, service, 6);
        assert_int_equal(world_starts(world), starts);
    }
    g_ptr_array_unref(old);
    work_goes_on(world);
}

/* "Jobs bound to one zone, arrays too, lose machines": what they lose starts again in the zone in
 * which the others still are, and elsewhere only once none is left there. */
static void jobs_in_one_zone_that_lose_machines_stay_together(void **state)
{
    struct world *world = *state;
    machines(world, 2, 8, true);
    struct known *bound[] = {job_add("wk-1", "sweep", 6, "blue", 2.0),
                             job_add("wk-2", "daemon", 3, "blue", 2.0)};
    for (int i = 0; i < 2; i++) {
        bound[i]->one_zone = true;
        job_swap(bound[i], "\"OneZone\":false", "\"OneZone\":true");
        insist(world, i, ASK_SUBMIT, bound[i]);
    }
    run(world, 5000);
    for (int i = 0; i < 2; i++)
        expect_on_machines(world, bound[i], bound[i]->tasks);
    for (int round = 0; round < 4; round++) {
        struct worker *worker = NULL;
        for (int i = 0; i < 2 && !worker; i++)
            worker = worker_of(world, bound[(round + i) % 2], 0);
        assert_non_null(worker);
        char zone[4];
        g_strlcpy(zone, worker->zone, sizeof zone);
        for (int i = 0; i < WORLD_WORKERS; i++) /* one, and at last the whole zone */
            if (&world->workers[i] == worker ||
                (round == 3 && world->workers[i].up && strcmp(world->workers[i].zone, zone) == 0))
                world->workers[i].silent = true;
        world->capacity = round == 3 ? 4 : 2;
        if (round % 2) {
            int gone = end_leader(world);
            run(world, 3000);
            world_start(world, gone);
        }
        run(world, 30000);
    }
    world->capacity = 2; /* the zone may lack room, which is rented there and not elsewhere */
    run(world, 20000);
    for (int i = 0; i < 2; i++)
        expect_on_machines(world, bound[i], bound[i]->tasks);
    assert_in_range(world->rented, 0, 16);
    work_goes_on(world);
}

static int cut_node = -1;
static enum fate cut_from_state(struct world *world, int node,
                                const struct http_client_request *request)
{
    (void)world;
    return node == cut_node && is_state(request) ? FATE_REFUSED : FATE_NORMAL;
}

/* "Leaders change ten times in two minutes, also inside an outage": they end and are back, the
 * state service refuses them alone, and they end while it serves nobody. */
static void leaders_change_ten_times_in_two_minutes(void **state)
{
    struct world *world = *state;
    machines(world, 3, 8, false);
    struct known *service = submit(world, 0, "wk-1", "daemon", 4), *before = NULL;
    run(world, 4000);
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    for (int round = 0; round < 10; round++) {
        for (int i = 0; i < 200 && world_leader_index(world) < 0; i++)
            run(world, STEP_MS);
        int old = world_leader_index(world);
        assert_true(old >= 0);
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        struct known *known = submit(world, other_than(world, old), id, "sweep", 3);
        if (round % 3 == 0) {
            end_leader(world);
            run(world, 1500);
            world_start(world, old);
        } else if (round % 3 == 1) {
            cut_node = old;
            world->fate = cut_from_state;
            run(world, 6000);
        } else {
            world->state_down = true;
            run(world, 1500);
            end_leader(world);
            run(world, 2500);
            world_start(world, old);
            run(world, 1000);
            world->state_down = false;
        }
        run(world, 2000);
        if (before && round % 2)
            cancel(world, other_than(world, old), before);
        else if (before)
            end_job(world, before);
        run(world, 1500);
        world->fate = NULL;
        run(world, 1500);
        before = known;
    }
    assert_true(world->nodes[0]->replica->shard_map_epoch.value >= epoch + 10);
    run(world, 10000);
    expect_on_machines(world, service, 4);
    assert_int_equal(on_machines(world, before), 3);
    work_goes_on(world);
}

/* "All controllers are away for longer than `lease_s`": every task is lost, and starts again once.
 */
static void all_away_for_longer_than_a_lease(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    struct known *service = submit(world, 0, "wk-1", "daemon", 4),
                 *upstream_cancelled = submit(world, 1, "wk-2", "sweep", 4);
    run(world, 4000);
    int starts = world_starts(world);
    ask(world, 0, ASK_CANCEL,
        upstream_cancelled); /* it is on record, and nobody lives to act on it */
    run(world, 20);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    run(world, 8000); /* two machines hang as their lease ends */
    world->workers[4].silent = world->workers[5].silent = true;
    run(world, 5000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    run(world, 2000);
    world->workers[4].silent = world->workers[5].silent = false;
    run(world, 15000);
    expect_on_machines(world, service, 4);
    cancel(world, 2, upstream_cancelled);
    run(world, 5000);
    expect_on_machines(world, upstream_cancelled, 0);
    assert_in_range(world_starts(world), starts + 4, starts + 8);
    work_goes_on(world);
}

/* "Workers can't open connections to any controller, while direct commands still reach them": their
 * leases run out, and what ran goes on elsewhere, or there in a later session. */
static void workers_that_reach_no_controller_are_still_told(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    struct known *service = submit(world, 0, "wk-1", "daemon", 6),
                 *upstream_cancelled = submit(world, 1, "wk-2", "daemon", 6);
    run(world, 4000);
    for (int i = 4; i < 8; i++)
        world->workers[i].quiet_until = time_add_ms(loop_now(world->loop), i < 6 ? 8000 : 40000);
    run(world, 500);
    cancel(world, 0, upstream_cancelled);
    run(world, 3000);
    expect_on_machines(world, upstream_cancelled, 0); /* told straight */
    struct known *more = submit(world, 2, "wk-3", "sweep", 2);
    run(world, 50000);
    expect_on_machines(world, service, 6);
    expect_on_machines(world, more, 2);
    work_goes_on(world);
}

/* "A leader ends while machines with long tasks can't be reached, or don't hear the new leader's
 * answer": they are within their leases, so their tasks go on where they are. */
static void a_leader_ends_while_machines_are_out_of_reach(void **state)
{
    struct world *world = *state;
    machines(world, 2, 8, false);
    struct known *service = submit(world, 0, "wk-1", "daemon", 10);
    run(world, 4000);
    for (int round = 0; round < 2; round++) {
        int starts = world_starts(world);
        bool away[WORLD_WORKERS] = {false};
        for (int i = 2, n = 0; i < 8; i++)
            if (world->workers[i].tasks->len) {
                away[i] = true;
                *(n++ % 2 ? &world->workers[i].silent : &world->workers[i].deaf) = true;
            }
        run(world, 500);
        int old = end_leader(world);
        struct known *more =
            submit(world, other_than(world, old), round ? "wk-3" : "wk-2", "sweep", 2);
        run(world, 6000);
        expect_on_machines(world, more, 2); /* on machines that hear */
        for (int i = 2; i < 8; i++)
            assert_false(away[i] && (worker_task(&world->workers[i], more->id, 0) ||
                                     worker_task(&world->workers[i], more->id, 1)));
        if (!round)
            assert_int_equal(world_starts(world), starts + 2);
        run(world, round ? 14000 : 500); /* the second time past their leases */
        for (int i = 2; i < 8; i++)
            world->workers[i].silent = world->workers[i].deaf = false;
        world_start(world, old);
        run(world, 12000);
        expect_on_machines(world, service, 10);
        cancel(world, 1, more);
        run(world, 3000);
    }
    cancel(world, 0, service);
    run(world, 3000);
    expect_on_machines(world, service, 0);
    work_goes_on(world);
}

/* "One-task jobs come four a second for minutes, a quarter of them cancelled". */
static void small_jobs_come_four_a_second(void **state)
{
    struct world *world = *state;
    machines(world, 3, 8, true);
    GRand *luck = g_rand_new_with_seed(4);
    for (int n = 0; n < 480; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%03d", n);
        struct known *j = job_add(id, "sweep", 1, n % 3 ? "red" : "blue", 1.0);
        ask(world, n % WORLD_NODES, ASK_SUBMIT, j);
        for (guint k = jobs->len > 120 ? jobs->len - 120 : 0; k < jobs->len; k++) {
            struct known *x = jobs->pdata[k];
            if (k % 4 == 0 && !x->cancel_asked && g_rand_double(luck) < 0.1)
                ask(world, g_rand_int_range(luck, 0, WORLD_NODES), ASK_CANCEL, x);
            else if (!x->cancel_asked && g_rand_double(luck) < 0.03)
                end_job(world, x);
            if (g_rand_double(luck) < 0.05)
                ask(world, g_rand_int_range(luck, 0, WORLD_NODES), ASK_POLL, x);
        }
        run(world, 250);
    }
    for (int round = 0; round < 20; round++) {
        for (guint k = 0; k < jobs->len; k++)
            end_job(world, jobs->pdata[k]);
        run(world, 500);
    }
    g_rand_free(luck);
    work_goes_on(world);
    for (guint k = 0; k < jobs->len; k++) {
        struct known *j = jobs->pdata[k];
        if (j->told < TOLD_DONE)
            fail_msg("%s is not over", j->id);
    }
}

static int behind_node;
static enum fate one_view_behind(struct world *world, int node,
                                 const struct http_client_request *request)
{
    (void)world;
    return node == behind_node && g_str_has_prefix(request->path, "/watch") ? FATE_LATE
                                                                            : FATE_NORMAL;
}

static int lost_share;
static enum fate lose_answers(struct world *world, int node,
                              const struct http_client_request *request)
{
    static int n;
    if (one_view_behind(world, node, request) != FATE_NORMAL)
        return FATE_LATE;
    return is_txn(request) && strstr(request->body, "\"Set\"") && n++ % lost_share == 0
               ? FATE_ANSWER_LOST
               : FATE_NORMAL;
}

/* "A transaction is carried out at once and only its answer is lost, while other nodes read what it
 * wrote". */
static void lost_answers_while_other_nodes_read(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    world->fate = lose_answers;
    for (int n = 0; n < 12; n++) {
        lost_share = 1 + n % 2; /* all of them, or every other one */
        behind_node = (n + 2) % WORLD_NODES;
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = job_add(id, "sweep", 1, "blue", 1.0);
        ask(world, n % WORLD_NODES, ASK_SUBMIT, known);
        for (int i = 0; i < 50; i++) {
            ask(world, (n + i) % WORLD_NODES, i % 5 ? ASK_POLL : ASK_SUBMIT, known);
            run(world, STEP_MS);
        }
        if (n % 3 == 0)
            ask(world, (n + 1) % WORLD_NODES, ASK_CANCEL, known);
        for (int i = 0; i < 100; i++) {
            ask(world, (n + i) % WORLD_NODES, i % 5 ? ASK_POLL : ASK_SUBMIT, known);
            if (i % 10 == 0)
                end_job(world, known);
            run(world, STEP_MS);
        }
        lost_share = 3;
    }
    run(world, 5000);
    for (guint k = 0; k < jobs->len; k++)
        end_job(world, jobs->pdata[k]);
    work_goes_on(world);
}

/* "Jobs are cancelled in the seconds in which one controller's work changes hands": as it ends, is
 * back, and is left out for a while. */
static void jobs_are_cancelled_as_work_changes_hands(void **state)
{
    struct world *world = *state;
    machines(world, 2, 8, false);
    for (int round = 0; round < 3; round++) {
        struct known *mine[10];
        for (int n = 0; n < 10; n++) {
            char id[16];
            g_snprintf(id, sizeof id, "wk-%d%d", round, n);
            mine[n] = job_add(id, "daemon", 2, "blue", 1.0);
            ask(world, n % WORLD_NODES, ASK_SUBMIT, mine[n]);
        }
        run(world, 5000);
        int leader = world_leader_index(world), other = other_than(world, leader);
        int gone = round == 1 ? leader : other;
        if (round == 2)
            membership_exclude_node(world->nodes[leader]->membership,
                                    world->nodes[gone]->settings->label, 3000);
        else
            world_kill(world, gone);
        for (int n = 0; n < 10; n++) {
            ask(world, other_than(world, gone), ASK_CANCEL, mine[n]);
            run(world, 600);
        }
        if (round < 2)
            world_start(world, gone);
        for (int n = 0; n < 10; n++) /* who was told nothing asks again */
            cancel(world, gone, mine[n]);
        run(world, 15000);
        for (int n = 0; n < 10; n++)
            expect_on_machines(world, mine[n], 0);
    }
    work_goes_on(world);
}

static enum fate slow_links(struct world *world, int node,
                            const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    if (is_state(request))
        return FATE_NORMAL;
    return n++ % 5 == 0 ? FATE_ANSWER_LOST : n % 2 ? FATE_LATE : FATE_NORMAL;
}

/* "There is more work than room, urgent and not, over slow links". */
static void more_work_than_room_over_slow_links(void **state)
{
    struct world *world = *state;
    machines(world, 5, 8, false);
    world->fate = slow_links;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = job_add(id, "sweep", 4, n % 2 ? "red" : "blue", 2.0);
        if (n % 3 == 0)
            job_swap(known, "\"high\"", "\"best_effort\"");
        ask(world, n % WORLD_NODES, ASK_SUBMIT, known);
        run(world, 1500);
        for (guint k = 0; k < jobs->len; k++)
            if ((k + (guint)n) % 4 == 0)
                end_job(world, jobs->pdata[k]);
    }
    for (int round = 0; round < 40; round++) {
        run(world, 1500);
        for (guint k = 0; k < jobs->len; k++)
            end_job(world, jobs->pdata[k]);
    }
    run(world, 3000);
    for (guint k = 0; k < jobs->len; k++) {
        insist(world, (int)k % WORLD_NODES, ASK_POLL, jobs->pdata[k]);
        assert_int_equal(((struct known *)jobs->pdata[k])->told, TOLD_DONE);
    }
    work_goes_on(world);
}

static int slow_turn;
static enum fate slow_state(struct world *world, int node,
                            const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (!is_state(request) || strstr(request->path, "/grants"))
        return FATE_NORMAL;
    return slow_turn++ % 8 == 0 ? FATE_SLOW : slow_turn % 2 ? FATE_LATE : FATE_NORMAL;
}

/* "The state service answers slowly [...] while users cancel and ask": answers come out of order.
 */
static void the_state_service_is_slow_while_users_cancel_and_ask(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    world->fate = slow_state;
    for (int n = 0; n < 16; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = job_add(id, "sweep", 2, "blue", 1.0);
        for (int i = 0; i < 150; i++) {
            if (i % 40 == 0)
                ask(world, (n + i) % WORLD_NODES, ASK_SUBMIT, known);
            if (known->told && i % 4 == 0)
                ask(world, (n + i / 4) % WORLD_NODES, ASK_POLL, known);
            if (n % 2 && i == 100)
                ask(world, n % WORLD_NODES, ASK_CANCEL, known);
            run(world, STEP_MS);
            if (i % 10 == 0 && n)
                end_job(world, jobs->pdata[n - 1]);
        }
    }
    work_goes_on(world);
}

/* "A cancellation, a question or a repeated submission meets the end of a job's last task, with no
 * other trouble": in steps of a few milliseconds before and after it. */
static void the_end_of_a_job_meets_its_users(void **state)
{
    struct world *world = *state;
    machines(world, 6, 8, false);
    int done = 0, cancelled = 0;
    for (int n = 0; n < 60; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = submit(world, n % WORLD_NODES, id, "sweep", 1 + n % 2);
        run(world, 1500);
        expect_on_machines(world, known, 1 + n % 2);
        if (n % 2)
            end_task(world, known, 0);
        int offset = n % 30 - 10;
        for (int ms = -10; ms < 60; ms++) {
            if (ms == 0)
                end_task(world, known, (uint32_t)(n % 2));
            if (ms == offset)
                ask(world, n / 2 % WORLD_NODES, n % 3 ? ASK_CANCEL : ASK_SUBMIT, known);
            if (ms % 3 == 0)
                ask(world, ms / 3 % WORLD_NODES < 0 ? 0 : ms / 3 % WORLD_NODES, ASK_POLL, known);
            world_run(world, 1);
        }
        run(world, 1000);
        ask_all(world, ASK_POLL, known);
        ask_all(world, ASK_SUBMIT, known);
        run(world, 100);
        done += known->told == TOLD_DONE;
        cancelled += known->told == TOLD_CANCELLED;
        assert_true(known->told > TOLD_ACCEPTED);
    }
    assert_true(done > 10 && cancelled > 5);
    work_goes_on(world);
}

static bool hold;
static enum fate hold_commands(struct world *world, int node,
                               const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    return !hold || !is_command(request) ? FATE_NORMAL : n++ % 2 ? FATE_HELD : FATE_ANSWER_LOST;
}

/* "A command or its answer is held up for seconds, and the machine then goes on". */
static void commands_are_held_up_and_the_machine_goes_on(void **state)
{
    struct world *world = *state;
    machines(world, 5, 8, false);
    world->fate = hold_commands;
    for (int round = 0; round < 4; round++) {
        char id[2][16];
        struct known *known[2];
        hold = true;
        for (int i = 0; i < 2; i++) {
            g_snprintf(id[i], sizeof id[i], "wk-%d%d", round, i);
            known[i] = submit(world, i, id[i], "sweep", 6);
        }
        for (int i = 0; i < 200 && !world->held->len; i++)
            run(world, STEP_MS);
        assert_true(world->held->len > 0);
        for (int i = 5; i < 8; i++)
            world->workers[i].silent = round % 2 == 0 && (i + round) % 3 != 0;
        if (round % 2 == 0) /* which raises the epoch, so that old commands count no more */
            cancel(world, 2, known[0]);
        run(world, round % 2 ? 5000 : 7500);
        for (int i = 5; i < 8; i++)
            world->workers[i].silent = false;
        if (round % 2 == 0)
            world_deliver_held(world);
        run(world, 6000);
        end_job(world, known[0]);
        end_job(world, known[1]);
        run(world, 3000);
        int starts = world_starts(world);
        world_deliver_held(world); /* commands for what is over */
        hold = false;
        look(world);
        run(world, 8000);
        if (round % 2)
            assert_int_equal(world_starts(world), starts);
        end_job(world, known[1]);
        run(world, 3000);
        expect_on_machines(world, known[0], 0);
        expect_on_machines(world, known[1], 0);
        insist(world, 0, ASK_POLL, known[1]);
        assert_int_equal(known[1]->told, TOLD_DONE);
    }
    work_goes_on(world);
}

/* "Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
 * after a job was accepted, ended or confirmed as cancelled; some cancel at once": also what is
 * done already, and at a node whose view is half a second behind. */
static void close_looks_see_nothing_older(void **state)
{
    struct world *world = *state;
    machines(world, 5, 8, false);
    world->capacity = 2;
    world->fate = one_view_behind;
    for (int n = 0; n < 30; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = job_add(id, "sweep", 1, "blue", 1.0);
        int at = n % WORLD_NODES;
        behind_node = n / 3 % WORLD_NODES;
        for (enum local_cancel last = TOLD_NOTHING, ms = 0; ms < 3200; ms++) {
            if (ms == 0)
                ask(world, at, ASK_SUBMIT, known);
            if (n % 3 == 0 && known->told == TOLD_ACCEPTED && !known->cancel_asked)
                ask(world, (at + n) % WORLD_NODES, ASK_CANCEL, known); /* some at once */
            if (n % 3 == 1 && ms == 1500)
                ask(world, (at + 1) % WORLD_NODES, ASK_CANCEL, known);
            if (n % 3 == 2 && ms >= 1500 && ms % STEP_MS == 0)
                end_job(world, known);
            bool ending = n % 3 == 2 && ms >= 1500 && known->told == TOLD_ACCEPTED;
            if (ending || known->told != last ||
                (known->told && time_ms_since(loop_now(world->loop), known->told_at) < 60)) {
                if (known->told == TOLD_DONE && last != TOLD_DONE)
                    ask(world, behind_node, ASK_CANCEL, known);
                last = known->told;
                ask_all(world, ASK_POLL, known);
                if (ms % 4 == 0)
                    ask_all(world, ASK_SUBMIT, known);
            }
            world_run(world, 1);
            if (ms % STEP_MS == 0)
                look(world);
        }
        assert_int_equal(known->told, n % 3 == 2 ? TOLD_DONE : TOLD_CANCELLED);
    }
    work_goes_on(world);
}

/* "Jobs of two or three tasks end far apart across a change of leader": what is done stays done. */
static void tasks_end_far_apart_across_leaders(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    struct known *known[6];
    for (int n = 0; n < 6; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", n);
        known[n] = submit(world, n % WORLD_NODES, id, "sweep", 2 + n % 2);
    }
    run(world, 4000);
    int starts = world_starts(world);
    for (uint32_t t = 0; t < 3; t++) {
        for (int n = 0; n < 6; n++)
            if ((int)t < known[n]->tasks)
                assert_true(end_task(world, known[n], t));
        run(world, t == 1 ? 60 : 4000); /* also as the mark is being written */
        for (int n = 0; n < 6; n++)
            ask(world, n % WORLD_NODES, ASK_POLL, known[n]);
        int old = end_leader(world);
        run(world, 8000);
        world_start(world, old);
        run(world, 2000);
        for (int i = 0; t == 1 && i < WORLD_NODES; i++) { /* nobody remembers it then */
            world_kill(world, i);
            world_start(world, i);
        }
        run(world, 5000);
    }
    for (int n = 0; n < 6; n++) {
        insist(world, n % WORLD_NODES, ASK_POLL, known[n]);
        assert_int_equal(known[n]->told, TOLD_DONE);
    }
    assert_int_equal(world_starts(world), starts);
    work_goes_on(world);
}

static bool late;
static enum fate late_txns(struct world *world, int node, const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    return late && is_txn(request) && strstr(request->body, "\"Set\"") && n++ % 3 == 0
               ? FATE_HELD
               : FATE_NORMAL;
}

/* "A transaction without an answer is carried out late, after newer ones of the same controller".
 */
static void transactions_are_carried_out_late(void **state)
{
    struct world *world = *state;
    machines(world, 4, 8, false);
    world->fate = late_txns;
    late = true;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct known *known = job_add(id, "sweep", 2, "blue", 1.0);
        ask(world, n % WORLD_NODES, ASK_SUBMIT, known);
        run(world, 1200);
        ask(world, (n + 1) % WORLD_NODES, ASK_SUBMIT, known);
        if (n % 4 == 0)
            ask(world, (n + 2) % WORLD_NODES, ASK_CANCEL, known);
        run(world, 800);
        for (guint k = 0; k < jobs->len; k++)
            if ((k + (guint)n) % 3 == 0)
                end_job(world, jobs->pdata[k]);
        if (n % 3 == 2) {
            assert_true(world->held->len > 0);
            world_deliver_held(world);
        }
        ask_all(world, ASK_POLL, known);
    }
    late = false;
    run(world, 4000);
    world_deliver_held(world);
    for (int round = 0; round < 10; round++) {
        run(world, 1000);
        for (guint k = 0; k < jobs->len; k++)
            end_job(world, jobs->pdata[k]);
    }
    work_goes_on(world);
}

static bool hold_writes;
static enum fate lagging_writes(struct world *world, int node,
                                const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    if (!is_txn(request) || !strstr(request->body, "ll\\/p\\/"))
        return FATE_NORMAL;
    return hold_writes ? FATE_HELD : n++ % 3 ? FATE_SLOW : FATE_LATE;
}

/* "New machines are up within two seconds and get work at once while writes lag, and the leader
 * ends". */
static void new_machines_get_work_while_writes_lag_and_the_leader_ends(void **state)
{
    struct world *world = *state;
    world->fate = lagging_writes;
    struct known *known[4];
    for (int round = 0; round < 4; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round);
        world->capacity = 2;
        hold_writes = round % 2;
        known[round] = submit(world, round % WORLD_NODES, id, "sweep", 8);
        for (int i = 0; i < 400 && world->capacity; i++)
            run(world, STEP_MS);
        for (int i = 0; i < 300 && hold_writes && !world->held->len; i++)
            run(world, STEP_MS);
        run(world, 300 + 900 * round); /* dealt, being written, or the command on its way */
        int old = end_leader(world);
        if (round == 2)
            cancel(world, other_than(world, old), known[2]);
        assert_true(!hold_writes || world->held->len > 0);
        hold_writes = false;
        run(world, 2500);
        world_start(world, old);
        run(world, 4000);
        world_deliver_held(world); /* what it wrote last */
        run(world, 2000);
    }
    world->fate = NULL;
    run(world, 20000);
    for (int round = 0; round < 4; round++)
        expect_on_machines(world, known[round], round == 2 ? 0 : 8);
    work_goes_on(world);
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
