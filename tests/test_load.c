/* A long mixed load on too few machines: nobody is put behind for ever, neither a class nor a team
 * nor the largest jobs. The load comes from a generator with a fixed seed. */
#include "world.h"

enum { SECONDS = 900, LARGEST = 24, BEGIN_S = 240, RUN_S = 10 /* of each task */ };

struct sent {
    char id[24];
    int team, class, tasks;
    int64_t at_s, began_s; /* began_s: all its tasks had started; -1: not yet */
    guint started;         /* tasks, one bit each */
    int left[32];          /* seconds each task still runs; 0: not started or over */
    guint over;
};

static const char *const teams[] = {"red", "blue"};
static const char *const urgencies[] = {"\"high\"", "\"normal\""};

static void submit(struct world *world, struct sent *sent, int number)
{
    g_snprintf(sent->id, sizeof sent->id, "wk-%04d", number);
    char *high = world_format_job(sent->id, "sweep", sent->tasks, teams[sent->team], 1.0, "");
    char *normal = world_replace_string(high, "\"high\"", urgencies[sent->class]);
    char *job = world_replace_string(normal, "\"lot\"", urgencies[sent->class]);
    assert_int_equal(
        world_send_user_request(world, number % WORLD_NODES, "POST", "/work", job).status, 201);
    g_free(high);
    g_free(normal);
    g_free(job);
}

static struct worker *worker_with(struct world *world, const char *job, uint32_t task)
{
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], job, task))
            return &world->workers[i];
    return NULL;
}

/* A task runs for a second, if it is on a machine; after RUN_S it is done. */
static void play_task(struct world *world, struct sent *sent, int t)
{
    struct worker *worker = worker_with(world, sent->id, (uint32_t)t);
    if (!worker || strcmp(worker_find_task(worker, sent->id, (uint32_t)t)->stage, "running") != 0) {
        sent->left[t] = 0; /* not there, or stopped for other work */
        return;
    }
    sent->started |= 1u << t;
    if (sent->left[t] == 0)
        sent->left[t] = RUN_S;
    else if (--sent->left[t] == 0) {
        worker_exit_task(worker, sent->id, (uint32_t)t, "done");
        sent->over |= 1u << t;
    }
}

static void second(struct world *world, GArray *jobs, int64_t now)
{
    world_run(world, 1000);
    for (guint n = 0; n < jobs->len; n++) {
        struct sent *sent = &g_array_index(jobs, struct sent, n);
        for (int t = 0; t < sent->tasks; t++)
            if (!(sent->over >> t & 1))
                play_task(world, sent, t);
        if (sent->began_s < 0 && sent->started == (1u << sent->tasks) - 1)
            sent->began_s = now;
    }
}

/* A load of nine tenths, and of twice as much in a burst of two minutes. */
static void submit_at_random(struct world *world, GRand *luck, GArray *jobs, int64_t now)
{
    double rate = now > 300 && now < 420 ? 1.0 : 0.45;
    if (now >= SECONDS - 300 || g_rand_double(luck) >= rate)
        return;
    struct sent sent = {.team = g_rand_int_range(luck, 0, 2),
                        .class = g_rand_int_range(luck, 0, 2),
                        .tasks = g_rand_int_range(luck, 1, 9),
                        .at_s = now,
                        .began_s = -1};
    if (sent.team == 1 && g_rand_double(luck) < 0.1)
        sent.tasks = LARGEST;
    submit(world, &sent, (int)jobs->len);
    g_array_append_val(jobs, sent);
}

/* How many jobs there were and how many began in time, by team and class. */
struct shares {
    int all[2][2], served[2][2], largest, begun;
};

static void count_job(struct shares *shares, const struct sent *sent)
{
    bool ok = sent->began_s >= 0 && sent->began_s - sent->at_s <= BEGIN_S;
    shares->all[sent->team][sent->class]++;
    shares->served[sent->team][sent->class] += ok;
    shares->largest += sent->tasks == LARGEST;
    shares->begun += sent->tasks == LARGEST && ok;
}

static void expect_fair(const struct shares *shares)
{
    if (g_getenv("LOG_LEVEL"))
        print_message("served %d/%d %d/%d %d/%d %d/%d, largest %d/%d\n", shares->served[0][0],
                      shares->all[0][0], shares->served[0][1], shares->all[0][1],
                      shares->served[1][0], shares->all[1][0], shares->served[1][1],
                      shares->all[1][1], shares->begun, shares->largest);
    for (int t = 0; t < 2; t++)
        for (int c = 0; c < 2; c++)
            if (shares->served[t][c] * 4 < shares->all[t][c] * 3)
                fail_msg("team %s, priority %s: %d of %d", teams[t], urgencies[c],
                         shares->served[t][c], shares->all[t][c]);
    assert_true(shares->largest >= 4);
    if (shares->begun < shares->largest)
        fail_msg("of %d largest jobs %d began in time", shares->largest, shares->begun);
}

static void nobody_is_put_behind_for_ever(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 4; i < WORLD_WORKERS; i++) /* 32 processors */
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    GRand *luck = g_rand_new_with_seed(20261202);
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct sent));
    for (int64_t now = 0; now < SECONDS; now++) {
        submit_at_random(world, luck, jobs, now);
        second(world, jobs, now);
        world_check_progress(world);
    }
    struct shares shares = {0};
    for (guint n = 0; n < jobs->len; n++) {
        struct sent *sent = &g_array_index(jobs, struct sent, n);
        count_job(&shares, sent);
        char *path = g_strconcat("/work/", sent->id, NULL); /* and all of them stay known */
        assert_int_equal(
            world_send_user_request(world, (int)n % WORLD_NODES, "GET", path, NULL).status, 200);
        g_free(path);
    }
    rules_check_start_shares(world->rules);
    expect_fair(&shares);
    g_array_unref(jobs);
    g_rand_free(luck);
}

int main(void)
{
    const struct CMUnitTest tests[] = {WORLD_TEST(nobody_is_put_behind_for_ever)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
