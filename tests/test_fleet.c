/* A seeded load on a large fleet: half as many machines again as the largest that the service was
 * asked to carry. */
#include "world.h"

enum { MACHINES = 1880, TEAMS = 16, LARGEST = 200 };

static const struct world_plan large = {.nodes = 5,
                                        .workers = MACHINES,
                                        .teams = TEAMS,
                                        .cpus = 1200,
                                        .cpus_max = 2500,
                                        .report_s = 5,
                                        .lease_s = 26.5,
                                        .cancel_s = 51.5,
                                        .rps = 350,
                                        .write_rps = 90,
                                        .cloud_rps = 3,
                                        .txn_ops = 16,
                                        .fd_limit = 4189,
                                        .boot_ms = 1000};

static const char types_text[] =
    "{\"Builds\":[{\"Label\":\"small\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":16,\"LocalGb\":100,"
    "\"FetchGbPerS\":0.3,\"Price\":0.5,\"MarketPrice\":0.2,\"ReadyS\":15,\"Yards\":[\"a\",\"b\"]},"
    "{\"Label\":\"large\",\"Vcpus\":32,\"Cards\":0,\"MemoryGb\":128,\"LocalGb\":100,"
    "\"FetchGbPerS\":0.2,\"Price\":2.2,\"MarketPrice\":0.9,\"ReadyS\":25,\"Yards\":[\"a\",\"b\"]}]"
    "}";

/* Most looks at machines and tasks for each start, in all nodes together: it was 1,054 when this
 * was written, and 5,318 with a look at every machine after every report. */
enum { MOST_LOOKS = 2000 };

/* Starts while the jobs come and machines boot: 3,591; with a write for each new machine before its
 * first task it was 2,042. */
enum { LEAST_STARTS = 2800 };

enum { SECONDS = 45, COME_S = 15, BURST = 100 };

struct sent {
    char id[24];
    int team, tasks;
    bool service;
    GHashTable *begun; /* tasks that have started once */
};

static char *job_text(const struct sent *s, int image)
{
    return g_strdup_printf(
        "{\"Id\":\"%s\",\"Lot\":\"lot\",\"Crew\":\"team-%02d\",\"Form\":\"%s\",\"Urgency\":\"%s\","
        "\"Pieces\":%d,\"Vcpus\":4.0,\"Cards\":0.0,\"MemoryGb\":6.0,\"Mould\":\"img-%d\","
        "\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":%s,\"Loaners\":%s,\"ExpectedS\":%s,"
        "\"MarkEveryS\":0.0,\"StowS\":0.0}",
        s->id, s->team, s->service ? "daemon" : "sweep", s->service ? "prod" : "high", s->tasks,
        image, s->service ? "true" : "false", s->service ? "false" : "true",
        s->service ? "0.0" : "20.0");
}

static void submit(struct world *w, GArray *jobs, struct sent s)
{
    g_snprintf(s.id, sizeof s.id, "wk-%05u", jobs->len);
    s.begun = g_hash_table_new(NULL, NULL);
    char *job = job_text(&s, (int)jobs->len % 24);
    int node = (int)jobs->len % w->plan.nodes;
    while (!w->nodes[node])
        node = (node + 1) % w->plan.nodes;
    int status = 503; /* while a node has just been started */
    for (int tries = 0; tries < 20 && status == 503; tries++) {
        status = world_ask(w, node, "POST", "/work", job).status;
        if (status == 503)
            world_run(w, 500);
    }
    assert_in_range(status, 200, 201);
    g_free(job);
    g_array_append_val(jobs, s);
}

/* Tasks of arrays run for 20 s. */
static void play_tasks(struct world *w, GArray *jobs)
{
    for (int i = 0; i < w->plan.workers; i++) {
        struct worker *k = &w->workers[i];
        bool any = false;
        for (guint t = 0; k->up && t < k->tasks->len; t++) {
            struct wtask *x = &g_array_index(k->tasks, struct wtask, t);
            struct sent *s = &g_array_index(jobs, struct sent, atoi(x->job.s + 3));
            g_hash_table_add(s->begun, GUINT_TO_POINTER(x->index + 1));
            if (s->service || strcmp(x->stage, "running") != 0 ||
                time_ms_since(loop_now(w->loop), x->since) < 20000)
                continue;
            worker_exit(k, x->job.s, x->index, "done");
            any = true;
        }
        if (any)
            worker_report(k);
    }
}

static void expect_served(GArray *jobs)
{
    int all[3] = {0}, served[3] = {0}, team_all[TEAMS] = {0}, team_served[TEAMS] = {0};
    for (guint i = 0; i < jobs->len; i++) {
        struct sent *s = &g_array_index(jobs, struct sent, i);
        int class = s->service ? 0 : s->tasks == LARGEST ? 1 : 2;
        bool ok = (int)g_hash_table_size(s->begun) == s->tasks;
        all[class]++;
        served[class] += ok;
        team_all[s->team]++;
        team_served[s->team] += ok;
    }
    for (int i = 0; i < 3; i++)
        if (!all[i] || served[i] * 5 < all[i] * 4)
            fail_msg("class %d: %d of %d", i, served[i], all[i]);
    for (int i = 0; i < TEAMS; i++)
        if (team_served[i] * 5 < team_all[i] * 4)
            fail_msg("team %d: %d of %d", i, team_served[i], team_all[i]);
}

/* Plays a load that begins with a burst, for which machines are rented; trouble is called each
 * second. The stand-in of the state service fails the test when a value or a transaction is larger
 * than allowed. */
static struct world *play(void (*trouble)(struct world *w, int second))
{
    struct world *w = world_new_sized(&large);
    w->types = types_text;
    w->capacity = MACHINES;
    for (int i = 0; i < MACHINES / 10; i++)
        world_machine(w, i, i % 2 ? "small" : "large", i % 4 < 2 ? "a" : "b", false);
    for (int i = 0; i < w->plan.nodes; i++)
        world_start(w, i);
    world_run(w, 3000);
    GRand *luck = g_rand_new_with_seed(20261202);
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct sent));
    for (int s = 0; s < SECONDS; s++) {
        int more = s == 0 ? BURST : s < COME_S ? 2 : 0;
        for (int i = 0; i < more; i++) {
            bool service = jobs->len % 20 == 0;
            struct sent j = {.team = g_rand_int_range(luck, 0, TEAMS),
                             .tasks = service               ? 10
                                      : jobs->len % 50 == 7 ? LARGEST
                                                            : g_rand_int_range(luck, 5, 90),
                             .service = service};
            submit(w, jobs, j);
        }
        world_run(w, 1000);
        play_tasks(w, jobs);
        trouble(w, s);
    }
    expect_served(jobs);
    rules_shares(w->rules);
    for (guint i = 0; i < jobs->len; i++)
        g_hash_table_unref(g_array_index(jobs, struct sent, i).begun);
    g_array_unref(jobs);
    g_rand_free(luck);
    return w;
}

static void no_trouble(struct world *w, int second)
{
    if (second == COME_S - 1 && world_starts(w) < LEAST_STARTS)
        fail_msg("%d starts", world_starts(w));
}

static void a_large_fleet_is_served(void **state)
{
    (void)state;
    struct world *w = play(no_trouble);
    uint64_t looks = loop_worked(w->loop) / (uint64_t)world_starts(w);
    if (looks > MOST_LOOKS)
        fail_msg("%" G_GUINT64_FORMAT " looks for each start", looks);
    world_end(w);
}

/* Nodes die and are back, two of them at once and the leader a moment after it was elected: all
 * their machines are taken over, with the pages full. */
static void nodes_die(struct world *w, int second)
{
    int leader = world_leader_index(w);
    if (second == 3 || second == 4 || second == 14) {
        int node = second == 4 || leader < 0 ? 0 : leader;
        if (w->nodes[node])
            world_kill(w, node);
    }
    if (second == 13 || second == 15 || second == 30)
        for (int i = 0; i < w->plan.nodes; i++)
            if (!w->nodes[i] && (i != 0 || second == 30))
                world_start(w, i);
    if (second == 36) /* and all that are left at once */
        for (int i = 0; i < w->plan.nodes; i++) {
            world_kill(w, i);
            world_start(w, i);
        }
}

static void a_large_fleet_changes_hands(void **state)
{
    (void)state;
    world_end(play(nodes_die));
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(a_large_fleet_is_served),
                                       cmocka_unit_test(a_large_fleet_changes_hands)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
