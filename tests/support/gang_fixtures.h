/** What the tests of gangs share: jobs, machines, and what is expected of them. */
#ifndef LL_TEST_GANG_FIXTURES_H
#define LL_TEST_GANG_FIXTURES_H

#include "world.h"

/** The world of the test, in which workers run gangs and nothing can be rented. */
struct world *gang_world(void **state);
/** Submits a job of team blue at the first node; fails unless it is accepted. */
void submit(struct world *world, const char *id, const char *form, const char *urgency, int tasks,
            double cpus);
/** The same for any team. */
void submit_for_team(struct world *world, const char *id, const char *form, const char *urgency,
                     int tasks, double cpus, const char *team_name);
/** The same for a gang of team blue that has to be in one zone. */
void submit_in_one_zone(struct world *world, const char *id, int tasks, double cpus);
/** A machine that another node than the leader owns. */
struct worker *far_machine(struct world *world, int i, const char *zone);
/** The machine on which a task is and has not exited, or NULL. */
struct worker *machine_with(struct world *world, const char *job, uint32_t index);
/** How many tasks of a gang with that attempt have not exited. */
int under_attempt(struct world *world, const char *job, uint64_t attempt);
/** How many tasks of a job a node has on record with that attempt; 0: with any. */
int on_record(struct world *world, int node, const char *job, uint64_t attempt);
/** Fails unless all tasks of a gang run with one attempt, which is returned. */
uint64_t runs_whole(struct world *world, const char *job, uint32_t tasks);
/** Completes one task of a gang; fails unless the whole job is done then. */
void ends_whole(struct world *world, const char *job);
/** A fate_fn: the machine of the first task that is dispatched by message gets the notice that it
 * is reclaimed while that message is on its way. The machine is stored in reclaimed, which has to
 * be NULL before. */
extern struct worker *reclaimed;
enum fate recall_on_the_way(struct world *world, int node,
                            const struct http_client_request *request);
/** A fate_fn: direct commands are held; tasks are started by the answers to heartbeats. */
enum fate hold_commands(struct world *world, int node, const struct http_client_request *request);
/** Submits the queued bodies at a node until one is refused. */
void submit_queued(struct world *world, GQueue *queue, int node);
/** Runs a second of a load: tasks that have run for 12 s complete, and each other one fails with
 * that probability. */
void load_second(struct world *world, GRand *luck, double fails);
/** For a fate: whether a request is the first start that is sent to a machine, which is kept in
 * *first; *first is NULL until then. */
bool is_first_start(struct world *world, const struct http_client_request *request,
                    struct worker **first);

#endif
