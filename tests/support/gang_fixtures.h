/** What the tests of gangs share: jobs, machines, and what is expected of them. */
#ifndef LL_TEST_GANG_FIXTURES_H
#define LL_TEST_GANG_FIXTURES_H

#include "world.h"

/** The world of the test, in which workers run gangs and nothing can be rented. */
struct world *prepare_gang_world(void **state);
/** Submits a job of team blue at the first node; fails unless it is accepted. */
void submit_job(struct world *world, const char *id, const char *form, const char *priority,
                int tasks, double cpus);
/** The same for any team. */
void submit_job_for_team(struct world *world, const char *id, const char *form,
                         const char *priority, int tasks, double cpus, const char *team_name);
/** The same for a gang of team blue that has to be in one zone. */
void submit_one_zone_gang(struct world *world, const char *id, int tasks, double cpus);
/** A machine that another node than the leader owns. */
struct worker *add_machine_not_owned_by_leader(struct world *world, int i, const char *zone);
/** The machine on which a task is and has not exited, or NULL. */
struct worker *find_worker_with_task(struct world *world, const char *job, uint32_t index);
/** How many tasks of a gang with that attempt have not exited. */
int count_tasks_of_attempt(struct world *world, const char *job, uint64_t attempt);
/** How many tasks of a job a node has on record with that attempt; 0: with any. */
int count_run_records(struct world *world, int node, const char *job, uint64_t attempt);
/** Fails unless all tasks of a gang run with one attempt, which is returned. */
uint64_t expect_gang_running(struct world *world, const char *job, uint32_t tasks);
/** Completes one task of a gang; fails unless the whole job is done then. */
void complete_gang(struct world *world, const char *job);
/** A request_fault_fn: the machine of the first task that is dispatched by message gets the notice
 * that it is reclaimed while that message is on its way. The machine is stored in reclaimed, which
 * has to be NULL before. */
extern struct worker *reclaimed_worker;
enum request_fault reclaim_during_dispatch(struct world *world, int node,
                                           const struct http_client_request *request);
/** A request_fault_fn: direct commands are held; tasks are started by the answers to heartbeats. */
enum request_fault hold_commands(struct world *world, int node,
                                 const struct http_client_request *request);
/** Submits the queued bodies at a node until one is refused. */
void submit_queued_jobs(struct world *world, GQueue *queue, int node);
/** Runs a second of a load: tasks that have run for 12 s complete, and each other one fails with
 * that probability. */
void run_load_for_a_second(struct world *world, GRand *random, double failure_probability);
/** For a fate: whether a request is the first start that is sent to a machine, which is kept in
 * *first; *first is NULL until then. */
bool capture_first_start(struct world *world, const struct http_client_request *request,
                         struct worker **first);

#endif
