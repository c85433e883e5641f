/** What the tests of several failures at the same time share. After every step all rules are
 * checked that can be seen from outside. See docs/safety.md. */
#ifndef LL_TEST_COMBINED_FAILURES_H
#define LL_TEST_COMBINED_FAILURES_H

#include "user_jobs.h"

/** The rules are checked so often. */
enum { COMBINED_CHECK_INTERVAL_MS = 20 };

/** Checks after a step what can be seen from outside: limits of teams, zones, cancellations, and
 * that no task ran twice. */
void combined_check_rules(struct world *world);

/** Runs the world for that long and checks it after every step. */
void combined_run(struct world *world, int64_t ms);

/** Repeats a request, at one node after the other, until one answers. Returns the status. */
int combined_request(struct world *world, int node, enum user_request_kind kind,
                     struct user_job *job);

/** Submits a job of team blue with 2 processors a task. */
struct user_job *combined_submit(struct world *world, int node, const char *id, const char *form,
                                 int tasks);

/** Cancels a job; fails unless that is confirmed. */
void combined_cancel(struct world *world, int node, struct user_job *job);

/** The worker on which a task runs, or NULL. */
struct worker *combined_find_worker(struct world *world, const struct user_job *job,
                                    uint32_t index);

/** Completes a task. False when it does not run. */
bool combined_complete_task(struct world *world, struct user_job *job, uint32_t index);

/** Completes all running tasks of a job, but for those on silent machines. */
void combined_complete_job(struct world *world, struct user_job *job);

/** How many tasks of a job are on machines. */
int combined_count_active_tasks(struct world *world, const struct user_job *job);

/** Fails unless that many tasks of a job are on machines. */
void combined_expect_active_tasks(struct world *world, const struct user_job *job, int n);

/** Ends all failures; then no job may be forgotten, all nodes agree, and a new job is run to its
 * end. */
void combined_expect_recovery(struct world *world);

/** Starts the workers from..to-1, alternating between zones a and b. */
void combined_add_machines(struct world *world, int from, int to, bool spot);

/** Another node than that one. */
int combined_other_node(const struct world *world, int node);

/** Ends the leader's process. Returns its node. */
int combined_kill_leader(struct world *world);

/** Whether a request goes to the state service. */
bool request_is_to_state(const struct http_client_request *request);

/** Whether a request is a transaction. */
bool request_is_txn(const struct http_client_request *request);

/** Whether a request is a command to a worker. */
bool request_is_command(const struct http_client_request *request);

/** cmocka setup: a world with three nodes. */
int combined_setup(void **state);

/** cmocka setup: two teams with a limit of 16 processors each. */
int combined_setup_small_teams(void **state);

/** cmocka teardown. */
int combined_teardown(void **state);

/** A test in a world with three nodes that are up. */
#define COMBINED_TEST(f) cmocka_unit_test_setup_teardown(f, combined_setup, combined_teardown)

#endif
