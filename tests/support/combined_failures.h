/**
 * Fixtures for tests of several failures at the same time. After every step they check all rules
 * that can be checked from outside the nodes. See docs/safety.md.
 */
#ifndef LL_TEST_COMBINED_FAILURES_H
#define LL_TEST_COMBINED_FAILURES_H

#include "user_jobs.h"

/** Interval at which the rules are checked. */
enum { COMBINED_CHECK_INTERVAL_MS = 20 };

/**
 * Checks the current tasks of all machines: limits of teams, zones, spot machines, cancellations,
 * and that no task ran on two machines at once.
 */
void combined_check_rules(struct world *world);

/** Runs the world for the given time and checks the rules after every step. */
void combined_run(struct world *world, int64_t ms);

/**
 * Sends a request to one node after the other until one answers it, starting with the given node.
 * Returns the status of the response; fails if no node answers.
 */
int combined_request(struct world *world, int node, enum user_request_kind kind,
                     struct user_job *job);

/** Submits a job of team blue with two CPUs per task. */
struct user_job *combined_submit(struct world *world, int node, const char *id, const char *form,
                                 int tasks);

/** Cancels a job; fails unless the cancellation is confirmed. */
void combined_cancel(struct world *world, int node, struct user_job *job);

/** Returns the worker on which a task is, or NULL. */
struct worker *combined_find_worker(struct world *world, const struct user_job *job,
                                    uint32_t index);

/** Completes a task. Returns false if the task is not running. */
bool combined_complete_task(struct world *world, struct user_job *job, uint32_t index);

/** Completes all running tasks of a job, except those on unreachable machines. */
void combined_complete_job(struct world *world, struct user_job *job);

/** Returns how many tasks of a job are on machines and have not exited. */
int combined_count_active_tasks(struct world *world, const struct user_job *job);

/** Fails unless that many tasks of a job are on machines and have not exited. */
void combined_expect_active_tasks(struct world *world, const struct user_job *job, int n);

/**
 * Ends all failures. Fails unless then all nodes know every job and agree on it, and a new job runs
 * to its end.
 */
void combined_expect_recovery(struct world *world);

/** Brings up the workers from..to-1, alternating between zones a and b; nothing can be rented. */
void combined_add_machines(struct world *world, int from, int to, bool spot);

/** Returns a node other than the given one. */
int combined_other_node(const struct world *world, int node);

/** Kills the leader's process. Returns its node. */
int combined_kill_leader(struct world *world);

/** Returns whether a request goes to the state service. */
bool request_is_to_state(const struct http_client_request *request);

/** Returns whether a request is a transaction. */
bool request_is_txn(const struct http_client_request *request);

/** Returns whether a request is a command to a worker. */
bool request_is_command(const struct http_client_request *request);

/** Creates a default world with all nodes up; a cmocka setup. */
int combined_setup(void **state);

/** Creates a world with two teams whose limit is 16 CPUs each; a cmocka setup. */
int combined_setup_small_teams(void **state);

/** The cmocka teardown of both setups. */
int combined_teardown(void **state);

/** A test in a default world with all nodes up. */
#define COMBINED_TEST(f) cmocka_unit_test_setup_teardown(f, combined_setup, combined_teardown)

#endif
