/** What the tests of single failures share: machines with a service, and nodes that are cut off or
 * late. */
#ifndef LL_TEST_TROUBLE_FIXTURES_H
#define LL_TEST_TROUBLE_FIXTURES_H

#include "world.h"

/** The worker on which a task is, or NULL. */
struct worker *find_worker_of_task(struct world *world, const char *job, uint32_t index);
/** How many tasks the leader has on record on a machine. */
guint count_recorded_tasks(struct world *world, const struct worker *worker);
/** Brings up two machines that are not spot, in two zones; nothing can be rented. */
void add_two_on_demand_machines(struct world *world);
/** Runs the service wk-1 on two such machines. Returns the one with its first replica. */
struct worker *start_service_on_two_machines(struct world *world, int replicas);
/** The scenario of a node that only workers and users reach: it refuses its users at once, its
 * machines keep their tasks, a cancellation through another node takes effect in time, and all is
 * well once it is back. */
void check_isolated_node(struct world *world, int node);
/** A request_fault_fn: answers to watches are late, so that nodes see changes half a second later.
 */
enum request_fault delay_watch_responses(struct world *world, int node,
                                         const struct http_client_request *request);

#endif
