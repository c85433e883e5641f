/** Requests of users while answers are lost, slow or late, and at the moment at which a job ends.
 * See docs/safety.md. */
#include "combined_failures.h"

/* "One-task jobs come four a second for minutes, a quarter of them cancelled". */
static void small_jobs_come_four_a_second(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 3, 8, true);
    GRand *luck = g_rand_new_with_seed(4);
    for (int n = 0; n < 480; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%03d", n);
        struct user_job *j = user_job_add(id, "sweep", 1, n % 3 ? "red" : "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, j);
        for (guint k = user_jobs->len > 120 ? user_jobs->len - 120 : 0; k < user_jobs->len; k++) {
            struct user_job *x = user_jobs->pdata[k];
            if (k % 4 == 0 && !x->cancel_requested && g_rand_double(luck) < 0.1)
                user_job_send_request(world, g_rand_int_range(luck, 0, WORLD_NODES), REQUEST_CANCEL,
                                      x);
            else if (!x->cancel_requested && g_rand_double(luck) < 0.03)
                combined_complete_job(world, x);
            if (g_rand_double(luck) < 0.05)
                user_job_send_request(world, g_rand_int_range(luck, 0, WORLD_NODES), REQUEST_POLL,
                                      x);
        }
        combined_run(world, 250);
    }
    for (int round = 0; round < 20; round++) {
        for (guint k = 0; k < user_jobs->len; k++)
            combined_complete_job(world, user_jobs->pdata[k]);
        combined_run(world, 500);
    }
    g_rand_free(luck);
    combined_expect_recovery(world);
    for (guint k = 0; k < user_jobs->len; k++) {
        struct user_job *j = user_jobs->pdata[k];
        if (j->reported < REPORTED_DONE)
            fail_msg("%s is not over", j->id);
    }
}

static int behind_node;
static enum request_fault one_view_behind(struct world *world, int node,
                                          const struct http_client_request *request)
{
    (void)world;
    return node == behind_node && g_str_has_prefix(request->path, "/watch") ? FAULT_RESPONSE_DELAYED
                                                                            : FAULT_NONE;
}

static int lost_share;
static enum request_fault lose_answers(struct world *world, int node,
                                       const struct http_client_request *request)
{
    static int n;
    if (one_view_behind(world, node, request) != FAULT_NONE)
        return FAULT_RESPONSE_DELAYED;
    return request_is_txn(request) && strstr(request->body, "\"Set\"") && n++ % lost_share == 0
               ? FAULT_RESPONSE_LOST
               : FAULT_NONE;
}

/* "A transaction is carried out at once and only its answer is lost, while other nodes read what it
 * wrote". */
static void lost_answers_while_other_nodes_read(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = lose_answers;
    for (int n = 0; n < 12; n++) {
        lost_share = 1 + n % 2; /* all of them, or every other one */
        behind_node = (n + 2) % WORLD_NODES;
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *known = user_job_add(id, "sweep", 1, "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, known);
        for (int i = 0; i < 50; i++) {
            user_job_send_request(world, (n + i) % WORLD_NODES,
                                  i % 5 ? REQUEST_POLL : REQUEST_SUBMIT, known);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        }
        if (n % 3 == 0)
            user_job_send_request(world, (n + 1) % WORLD_NODES, REQUEST_CANCEL, known);
        for (int i = 0; i < 100; i++) {
            user_job_send_request(world, (n + i) % WORLD_NODES,
                                  i % 5 ? REQUEST_POLL : REQUEST_SUBMIT, known);
            if (i % 10 == 0)
                combined_complete_job(world, known);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        }
        lost_share = 3;
    }
    combined_run(world, 5000);
    for (guint k = 0; k < user_jobs->len; k++)
        combined_complete_job(world, user_jobs->pdata[k]);
    combined_expect_recovery(world);
}

static int slow_turn;
static enum request_fault slow_state(struct world *world, int node,
                                     const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (!request_is_to_state(request) || strstr(request->path, "/grants"))
        return FAULT_NONE;
    return slow_turn++ % 8 == 0 ? FAULT_REQUEST_DELAYED
           : slow_turn % 2      ? FAULT_RESPONSE_DELAYED
                                : FAULT_NONE;
}

/* "The state service answers slowly [...] while users cancel and ask": answers come out of order.
 */
static void the_state_service_is_slow_while_users_cancel_and_ask(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = slow_state;
    for (int n = 0; n < 16; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *known = user_job_add(id, "sweep", 2, "blue", 1.0);
        for (int i = 0; i < 150; i++) {
            if (i % 40 == 0)
                user_job_send_request(world, (n + i) % WORLD_NODES, REQUEST_SUBMIT, known);
            if (known->reported && i % 4 == 0)
                user_job_send_request(world, (n + i / 4) % WORLD_NODES, REQUEST_POLL, known);
            if (n % 2 && i == 100)
                user_job_send_request(world, n % WORLD_NODES, REQUEST_CANCEL, known);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
            if (i % 10 == 0 && n)
                combined_complete_job(world, user_jobs->pdata[n - 1]);
        }
    }
    combined_expect_recovery(world);
}

/* "A cancellation, a question or a repeated submission meets the end of a job's last task, with no
 * other trouble": in steps of a few milliseconds before and after it. */
static void the_end_of_a_job_meets_its_users(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 6, 8, false);
    int done = 0, cancelled = 0;
    for (int n = 0; n < 60; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *known = combined_submit(world, n % WORLD_NODES, id, "sweep", 1 + n % 2);
        combined_run(world, 1500);
        combined_expect_active_tasks(world, known, 1 + n % 2);
        if (n % 2)
            combined_complete_task(world, known, 0);
        int offset = n % 30 - 10;
        for (int ms = -10; ms < 60; ms++) {
            if (ms == 0)
                combined_complete_task(world, known, (uint32_t)(n % 2));
            if (ms == offset)
                user_job_send_request(world, n / 2 % WORLD_NODES,
                                      n % 3 ? REQUEST_CANCEL : REQUEST_SUBMIT, known);
            if (ms % 3 == 0)
                user_job_send_request(world, ms / 3 % WORLD_NODES < 0 ? 0 : ms / 3 % WORLD_NODES,
                                      REQUEST_POLL, known);
            world_run(world, 1);
        }
        combined_run(world, 1000);
        user_job_send_request_to_all(world, REQUEST_POLL, known);
        user_job_send_request_to_all(world, REQUEST_SUBMIT, known);
        combined_run(world, 100);
        done += known->reported == REPORTED_DONE;
        cancelled += known->reported == REPORTED_CANCELLED;
        assert_true(known->reported > REPORTED_ACCEPTED);
    }
    assert_true(done > 10 && cancelled > 5);
    combined_expect_recovery(world);
}

/* How a job of close_looks_see_nothing_older ends. */
enum job_course { CANCELLED_ONCE_ACCEPTED, CANCELLED_LATER, COMPLETED };

enum { COMPLETED_FROM_MS = 1500 };

/* The user's and the task's part of a millisecond. */
static void play_course(struct world *world, enum job_course course, int n, int ms,
                        struct user_job *known)
{
    int at = n % WORLD_NODES;
    if (ms == 0)
        user_job_send_request(world, at, REQUEST_SUBMIT, known);
    if (course == CANCELLED_ONCE_ACCEPTED && known->reported == REPORTED_ACCEPTED &&
        !known->cancel_requested)
        user_job_send_request(world, (at + n) % WORLD_NODES, REQUEST_CANCEL,
                              known); /* some at once */
    if (course == CANCELLED_LATER && ms == COMPLETED_FROM_MS)
        user_job_send_request(world, (at + 1) % WORLD_NODES, REQUEST_CANCEL, known);
    if (course == COMPLETED && ms >= COMPLETED_FROM_MS && ms % COMBINED_CHECK_INTERVAL_MS == 0)
        combined_complete_job(world, known);
}

/* Whether users look closely now: a job ends, or they were told something new a moment ago. */
static bool is_looked_at(const struct world *world, enum job_course course, int ms,
                         const struct user_job *known, enum reported_state last)
{
    bool ending =
        course == COMPLETED && ms >= COMPLETED_FROM_MS && known->reported == REPORTED_ACCEPTED;
    return ending || known->reported != last ||
           (known->reported && time_ms_since(loop_now(world->loop), known->reported_at) < 60);
}

/* All nodes are asked; what is done already is cancelled too. Returns what was told last. */
static enum reported_state look_closely(struct world *world, int ms, struct user_job *known,
                                        enum reported_state last)
{
    if (known->reported == REPORTED_DONE && last != REPORTED_DONE)
        user_job_send_request(world, behind_node, REQUEST_CANCEL, known);
    last = known->reported;
    user_job_send_request_to_all(world, REQUEST_POLL, known);
    if (ms % 4 == 0)
        user_job_send_request_to_all(world, REQUEST_SUBMIT, known);
    return last;
}

/* "Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
 * after a job was accepted, ended or confirmed as cancelled; some cancel at once": also what is
 * done already, and at a node whose view is half a second behind. */
static void close_looks_see_nothing_older(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 5, 8, false);
    world->cloud_capacity = 2;
    world->inject_fault = one_view_behind;
    for (int n = 0; n < 30; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *known = user_job_add(id, "sweep", 1, "blue", 1.0);
        enum job_course course = (enum job_course)(n % 3);
        enum reported_state last = REPORTED_NOTHING;
        behind_node = n / 3 % WORLD_NODES;
        for (int ms = 0; ms < 3200; ms++) {
            play_course(world, course, n, ms, known);
            if (is_looked_at(world, course, ms, known, last))
                last = look_closely(world, ms, known, last);
            world_run(world, 1);
            if (ms % COMBINED_CHECK_INTERVAL_MS == 0)
                combined_check_rules(world);
        }
        assert_int_equal(known->reported, course == COMPLETED ? REPORTED_DONE : REPORTED_CANCELLED);
    }
    combined_expect_recovery(world);
}

static bool late;
static enum request_fault late_txns(struct world *world, int node,
                                    const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    return late && request_is_txn(request) && strstr(request->body, "\"Set\"") && n++ % 3 == 0
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* "A transaction without an answer is carried out late, after newer ones of the same controller".
 */
static void transactions_are_carried_out_late(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = late_txns;
    late = true;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *known = user_job_add(id, "sweep", 2, "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, known);
        combined_run(world, 1200);
        user_job_send_request(world, (n + 1) % WORLD_NODES, REQUEST_SUBMIT, known);
        if (n % 4 == 0)
            user_job_send_request(world, (n + 2) % WORLD_NODES, REQUEST_CANCEL, known);
        combined_run(world, 800);
        for (guint k = 0; k < user_jobs->len; k++)
            if ((k + (guint)n) % 3 == 0)
                combined_complete_job(world, user_jobs->pdata[k]);
        if (n % 3 == 2) {
            assert_true(world->held_requests->len > 0);
            world_deliver_held_requests(world);
        }
        user_job_send_request_to_all(world, REQUEST_POLL, known);
    }
    late = false;
    combined_run(world, 4000);
    world_deliver_held_requests(world);
    for (int round = 0; round < 10; round++) {
        combined_run(world, 1000);
        for (guint k = 0; k < user_jobs->len; k++)
            combined_complete_job(world, user_jobs->pdata[k]);
    }
    combined_expect_recovery(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        COMBINED_TEST(small_jobs_come_four_a_second),
        COMBINED_TEST(lost_answers_while_other_nodes_read),
        COMBINED_TEST(the_state_service_is_slow_while_users_cancel_and_ask),
        COMBINED_TEST(the_end_of_a_job_meets_its_users),
        COMBINED_TEST(close_looks_see_nothing_older),
        COMBINED_TEST(transactions_are_carried_out_late),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
