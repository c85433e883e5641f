/** Fixtures for tests of gangs: submissions, machines, and checks of the tasks of a gang. */
#ifndef LL_TEST_GANG_FIXTURES_H
#define LL_TEST_GANG_FIXTURES_H

#include "world.h"

/** Prepares the world of a test: workers run gangs, and no machine can be rented. */
struct world *prepare_gang_world(void **state);
/** Submits a job of team blue at the first node; fails unless it is accepted. */
void submit_job(struct world *world, const char *id, const char *form, const char *priority,
                int tasks, double cpus);
/** Submits a job of the given team at the first node; fails unless it is accepted. */
void submit_job_for_team(struct world *world, const char *id, const char *form,
                         const char *priority, int tasks, double cpus, const char *team_name);
/**
 * Submits a gang of team blue that has to run in one zone at the first node; fails unless it is
 * accepted.
 */
void submit_one_zone_gang(struct world *world, const char *id, int tasks, double cpus);
/** Brings up worker i on a machine that is owned by a node other than the leader. */
struct worker *add_machine_not_owned_by_leader(struct world *world, int i, const char *zone);
/** Returns the worker on which a task is and has not exited, or NULL. */
struct worker *find_worker_with_task(struct world *world, const char *job, uint32_t index);
/** Returns how many tasks of a gang with the given attempt are on machines and have not exited. */
int count_tasks_of_attempt(struct world *world, const char *job, uint64_t attempt);
/** Returns how many run records of a job with the given attempt (0: any) a node's replica has. */
int count_run_records(struct world *world, int node, const char *job, uint64_t attempt);
/** Fails unless all tasks of a gang run with the same attempt, which is returned. */
uint64_t expect_gang_running(struct world *world, const char *job, uint32_t tasks);
/** Completes one task of a gang; fails unless the whole job is done then. */
void complete_gang(struct world *world, const char *job);
/** The worker to which reclaim_during_dispatch() gave notice. It has to be NULL before. */
extern struct worker *reclaimed_worker;
/**
 * Gives the machine of a task notice that the cloud reclaims it, while the first message between
 * nodes that dispatches the task is in transit; a request_fault_fn.
 */
enum request_fault reclaim_during_dispatch(struct world *world, int node,
                                           const struct http_client_request *request);
/** Submits the queued bodies at a node until one is refused. */
void submit_queued_jobs(struct world *world, GQueue *queue, int node);
/**
 * Runs the world for a second of a load test: then tasks that have run for 12 s complete, and each
 * other running task fails with the given probability.
 */
void run_load_for_a_second(struct world *world, GRand *random, double failure_probability);
#endif
