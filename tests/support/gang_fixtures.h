/* What the tests of gangs share: jobs, machines and how tests look at them. */
#ifndef LL_TEST_GANG_FIXTURES_H
#define LL_TEST_GANG_FIXTURES_H

#include "world.h"

/* Workers play gangs; nothing can be rented. */
struct world *gang_world(void **state);
/* A user of team blue submits a job. */
void submit(struct world *world, const char *id, const char *form, const char *urgency, int tasks,
            double cpus);
/* The same for a gang that has to be in one zone. */
void submit_in_one_zone(struct world *world, const char *id, int tasks, double cpus);
/* A machine of a part other than the leader's, which is reached by messages. */
struct worker *far_machine(struct world *world, int i, const char *zone);
/* The machine on which a task is and has not exited. */
struct worker *machine_with(struct world *world, const char *job, uint32_t index);
/* Tasks of a gang under that attempt that have not exited. */
int under_attempt(struct world *world, const char *job, uint64_t attempt);
/* Tasks of a job that a node sees on record, under that attempt or (0) any. */
int on_record(struct world *world, int node, const char *job, uint64_t attempt);
/* All tasks of a gang run, under one attempt, which is told. */
uint64_t runs_whole(struct world *world, const char *job, uint32_t tasks);
/* One task is done, and so all are. */
void ends_whole(struct world *world, const char *job);
/* A fate: the machine of the first task that is dealt by message gets its notice while that is on
 * its way; which one that was is noted, and has to be NULL before. */
extern struct worker *reclaimed;
enum fate recall_on_the_way(struct world *world, int node,
                            const struct http_client_request *request);
/* A fate: direct commands are held back; starts come with the answers to reports. */
enum fate hold_commands(struct world *world, int node, const struct http_client_request *request);
/* Submits what waits for that, at any node, until it is refused. */
void submit_queued(struct world *world, GQueue *queue, int node);
/* Plays a second: what has run for long enough is done; now and then a task fails. */
void load_second(struct world *world, GRand *luck, double fails);

#endif
