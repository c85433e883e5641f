/**
 * Tests of user requests while responses are lost, slow or late, and at the moment at which a job
 * ends. See docs/safety.md.
 */
#include "combined_failures.h"

/* Jobs of one task are submitted four times a second for two minutes, and up to a quarter of them
 * cancelled. Every job must end as completed or cancelled. */
static void four_small_jobs_per_second_are_completed_or_cancelled(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 3, 8, true);
    GRand *rng = g_rand_new_with_seed(4);
    for (int n = 0; n < 480; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%03d", n);
        struct user_job *job = user_job_add(id, "sweep", 1, n % 3 ? "red" : "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, job);
        for (guint k = user_jobs->len > 120 ? user_jobs->len - 120 : 0; k < user_jobs->len; k++) {
            struct user_job *recent_job = user_jobs->pdata[k];
            if (k % 4 == 0 && !recent_job->cancel_requested && g_rand_double(rng) < 0.1)
                user_job_send_request(world, g_rand_int_range(rng, 0, WORLD_NODES), REQUEST_CANCEL,
                                      recent_job);
            else if (!recent_job->cancel_requested && g_rand_double(rng) < 0.03)
                combined_complete_job(world, recent_job);
            if (g_rand_double(rng) < 0.05)
                user_job_send_request(world, g_rand_int_range(rng, 0, WORLD_NODES), REQUEST_POLL,
                                      recent_job);
        }
        combined_run(world, 250);
    }
    for (int round = 0; round < 20; round++) {
        for (guint k = 0; k < user_jobs->len; k++)
            combined_complete_job(world, user_jobs->pdata[k]);
        combined_run(world, 500);
    }
    g_rand_free(rng);
    combined_expect_recovery(world);
    for (guint k = 0; k < user_jobs->len; k++) {
        struct user_job *job = user_jobs->pdata[k];
        if (job->reported < REPORTED_DONE)
            fail_msg("%s is not finished", job->id);
    }
}

static int lagging_node;

/* Delays responses to watches of the lagging node. */
static enum request_fault delay_watches_of_lagging_node(struct world *world, int node,
                                                        const struct http_client_request *request)
{
    (void)world;
    return node == lagging_node && g_str_has_prefix(request->path, "/watch")
               ? FAULT_RESPONSE_DELAYED
               : FAULT_NONE;
}

static int response_loss_interval;

/* Loses the response to every response_loss_interval-th transaction that writes, and makes one
 * replica lag. */
static enum request_fault lose_txn_responses(struct world *world, int node,
                                             const struct http_client_request *request)
{
    static int n;
    if (delay_watches_of_lagging_node(world, node, request) != FAULT_NONE)
        return FAULT_RESPONSE_DELAYED;
    return request_is_txn(request) && strstr(request->body, "\"Set\"") &&
                   n++ % response_loss_interval == 0
               ? FAULT_RESPONSE_LOST
               : FAULT_NONE;
}

/* A transaction is carried out at once and only its response is lost, while other nodes read what
 * it wrote. The node that sent it and the others must never return contradictory states. */
static void nodes_agree_while_transaction_responses_are_lost(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = lose_txn_responses;
    for (int n = 0; n < 12; n++) {
        response_loss_interval = 1 + n % 2; /* every response, or every other one */
        lagging_node = (n + 2) % WORLD_NODES;
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = user_job_add(id, "sweep", 1, "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, job);
        for (int i = 0; i < 50; i++) {
            user_job_send_request(world, (n + i) % WORLD_NODES,
                                  i % 5 ? REQUEST_POLL : REQUEST_SUBMIT, job);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        }
        if (n % 3 == 0)
            user_job_send_request(world, (n + 1) % WORLD_NODES, REQUEST_CANCEL, job);
        for (int i = 0; i < 100; i++) {
            user_job_send_request(world, (n + i) % WORLD_NODES,
                                  i % 5 ? REQUEST_POLL : REQUEST_SUBMIT, job);
            if (i % 10 == 0)
                combined_complete_job(world, job);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        }
        response_loss_interval = 3;
    }
    combined_run(world, 5000);
    for (guint k = 0; k < user_jobs->len; k++)
        combined_complete_job(world, user_jobs->pdata[k]);
    combined_expect_recovery(world);
}

static int state_request_count;

/* Delays requests to the state service or responses of it, except those about leases, so that
 * responses arrive out of order. */
static enum request_fault delay_state_requests(struct world *world, int node,
                                               const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (!request_is_to_state(request) || strstr(request->path, "/grants"))
        return FAULT_NONE;
    return state_request_count++ % 8 == 0 ? FAULT_REQUEST_DELAYED
           : state_request_count % 2      ? FAULT_RESPONSE_DELAYED
                                          : FAULT_NONE;
}

/* The state service is slow, and its responses arrive out of order, while users cancel jobs and ask
 * for their status. */
static void nodes_agree_while_state_responses_are_reordered(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = delay_state_requests;
    for (int n = 0; n < 16; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = user_job_add(id, "sweep", 2, "blue", 1.0);
        for (int i = 0; i < 150; i++) {
            if (i % 40 == 0)
                user_job_send_request(world, (n + i) % WORLD_NODES, REQUEST_SUBMIT, job);
            if (job->reported && i % 4 == 0)
                user_job_send_request(world, (n + i / 4) % WORLD_NODES, REQUEST_POLL, job);
            if (n % 2 && i == 100)
                user_job_send_request(world, n % WORLD_NODES, REQUEST_CANCEL, job);
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
            if (i % 10 == 0 && n)
                combined_complete_job(world, user_jobs->pdata[n - 1]);
        }
    }
    combined_expect_recovery(world);
}

/* A cancellation, a status request or a repeated submission arrives at the moment at which the last
 * task of a job completes, in steps of milliseconds before and after it, without any other failure.
 * All nodes must agree on whether the job is done or cancelled. */
static void requests_around_the_end_of_a_job_get_consistent_responses(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 6, 8, false);
    int done = 0, cancelled = 0;
    for (int n = 0; n < 60; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = combined_submit(world, n % WORLD_NODES, id, "sweep", 1 + n % 2);
        combined_run(world, 1500);
        combined_expect_active_tasks(world, job, 1 + n % 2);
        if (n % 2)
            combined_complete_task(world, job, 0);
        int offset = n % 30 - 10;
        for (int ms = -10; ms < 60; ms++) {
            if (ms == 0)
                combined_complete_task(world, job, (uint32_t)(n % 2));
            if (ms == offset)
                user_job_send_request(world, n / 2 % WORLD_NODES,
                                      n % 3 ? REQUEST_CANCEL : REQUEST_SUBMIT, job);
            if (ms % 3 == 0)
                user_job_send_request(world, ms / 3 % WORLD_NODES < 0 ? 0 : ms / 3 % WORLD_NODES,
                                      REQUEST_POLL, job);
            world_run(world, 1);
        }
        combined_run(world, 1000);
        user_job_send_request_to_all(world, REQUEST_POLL, job);
        user_job_send_request_to_all(world, REQUEST_SUBMIT, job);
        combined_run(world, 100);
        done += job->reported == REPORTED_DONE;
        cancelled += job->reported == REPORTED_CANCELLED;
        assert_true(job->reported > REPORTED_ACCEPTED);
    }
    assert_true(done > 10 && cancelled > 5);
    combined_expect_recovery(world);
}

/* How a job of frequent_polls_never_return_an_older_state() ends. */
enum job_scenario { CANCELLED_ONCE_ACCEPTED, CANCELLED_LATER, COMPLETED };

/* The time after the submission at which a job is cancelled later or begins to complete. */
enum { FINAL_STEP_MS = 1500 };

/* Sends the user's requests and completes the task as the scenario has it for this millisecond. */
static void advance_scenario(struct world *world, enum job_scenario scenario, int n, int ms,
                             struct user_job *job)
{
    int node = n % WORLD_NODES;
    if (ms == 0)
        user_job_send_request(world, node, REQUEST_SUBMIT, job);
    if (scenario == CANCELLED_ONCE_ACCEPTED && job->reported == REPORTED_ACCEPTED &&
        !job->cancel_requested)
        user_job_send_request(world, (node + n) % WORLD_NODES, REQUEST_CANCEL,
                              job); /* immediately */
    if (scenario == CANCELLED_LATER && ms == FINAL_STEP_MS)
        user_job_send_request(world, (node + 1) % WORLD_NODES, REQUEST_CANCEL, job);
    if (scenario == COMPLETED && ms >= FINAL_STEP_MS && ms % COMBINED_CHECK_INTERVAL_MS == 0)
        combined_complete_job(world, job);
}

/* Returns whether users poll in this millisecond: the job is completing, or its reported state has
 * just changed. */
static bool should_poll_every_ms(const struct world *world, enum job_scenario scenario, int ms,
                                 const struct user_job *job, enum reported_state last)
{
    bool ending =
        scenario == COMPLETED && ms >= FINAL_STEP_MS && job->reported == REPORTED_ACCEPTED;
    return ending || job->reported != last ||
           (job->reported && time_ms_since(loop_now(world->loop), job->reported_at) < 60);
}

/* Asks all nodes for the status and, every fourth millisecond, repeats the submission. A job that
 * has just been reported as done is cancelled as well. Returns the state that was reported before
 * the call. */
static enum reported_state poll_all_nodes(struct world *world, int ms, struct user_job *job,
                                          enum reported_state last)
{
    if (job->reported == REPORTED_DONE && last != REPORTED_DONE)
        user_job_send_request(world, lagging_node, REQUEST_CANCEL, job);
    last = job->reported;
    user_job_send_request_to_all(world, REQUEST_POLL, job);
    if (ms % 4 == 0)
        user_job_send_request_to_all(world, REQUEST_SUBMIT, job);
    return last;
}

/* Users poll all nodes within milliseconds, and repeat the submission, right after a job was
 * accepted, completed or cancelled, and some cancel immediately. They also cancel jobs that are
 * done, at a node whose replica lags by half a second. No node may return an older state than was
 * returned before. */
static void frequent_polls_never_return_an_older_state(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 5, 8, false);
    world->cloud_capacity = 2;
    world->inject_fault = delay_watches_of_lagging_node;
    for (int n = 0; n < 30; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = user_job_add(id, "sweep", 1, "blue", 1.0);
        enum job_scenario scenario = (enum job_scenario)(n % 3);
        enum reported_state last = REPORTED_NOTHING;
        lagging_node = n / 3 % WORLD_NODES;
        for (int ms = 0; ms < 3200; ms++) {
            advance_scenario(world, scenario, n, ms, job);
            if (should_poll_every_ms(world, scenario, ms, job, last))
                last = poll_all_nodes(world, ms, job, last);
            world_run(world, 1);
            if (ms % COMBINED_CHECK_INTERVAL_MS == 0)
                combined_check_rules(world);
        }
        assert_int_equal(job->reported, scenario == COMPLETED ? REPORTED_DONE : REPORTED_CANCELLED);
    }
    combined_expect_recovery(world);
}

static bool holding_txns;

/* Holds back every third transaction that writes, while holding_txns is set. */
static enum request_fault hold_every_third_txn(struct world *world, int node,
                                               const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    return holding_txns && request_is_txn(request) && strstr(request->body, "\"Set\"") &&
                   n++ % 3 == 0
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* Transactions without a response are carried out late, after newer ones of the same node. They
 * must not undo what was confirmed to users meanwhile. */
static void delayed_transactions_break_no_invariant(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    world->inject_fault = hold_every_third_txn;
    holding_txns = true;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = user_job_add(id, "sweep", 2, "blue", 1.0);
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, job);
        combined_run(world, 1200);
        user_job_send_request(world, (n + 1) % WORLD_NODES, REQUEST_SUBMIT, job);
        if (n % 4 == 0)
            user_job_send_request(world, (n + 2) % WORLD_NODES, REQUEST_CANCEL, job);
        combined_run(world, 800);
        for (guint k = 0; k < user_jobs->len; k++)
            if ((k + (guint)n) % 3 == 0)
                combined_complete_job(world, user_jobs->pdata[k]);
        if (n % 3 == 2) {
            assert_true(world->held_requests->len > 0);
            world_deliver_held_requests(world);
        }
        user_job_send_request_to_all(world, REQUEST_POLL, job);
    }
    holding_txns = false;
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
        COMBINED_TEST(four_small_jobs_per_second_are_completed_or_cancelled),
        COMBINED_TEST(nodes_agree_while_transaction_responses_are_lost),
        COMBINED_TEST(nodes_agree_while_state_responses_are_reordered),
        COMBINED_TEST(requests_around_the_end_of_a_job_get_consistent_responses),
        COMBINED_TEST(frequent_polls_never_return_an_older_state),
        COMBINED_TEST(delayed_transactions_break_no_invariant),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
