/** Fixtures for tests of single failures: machines with a service, isolated nodes, late watches. */
#ifndef LL_TEST_TROUBLE_FIXTURES_H
#define LL_TEST_TROUBLE_FIXTURES_H

#include "world.h"

/** Creates a world whose nodes are up, and one of them is of a version without token serials. */
struct world *world_new_with_old_node(void);
/** Returns the worker on which a task is, or NULL. */
struct worker *find_worker_of_task(struct world *world, const char *job, uint32_t index);
/** Returns how many run records the leader's replica has for a machine. */
guint count_recorded_tasks(struct world *world, const struct worker *worker);
/** Brings up two on-demand machines in two zones; no machine can be rented. */
void add_two_on_demand_machines(struct world *world);
/**
 * Runs the service wk-1 on two on-demand machines. Returns the worker with its first replica.
 */
struct worker *start_service_on_two_machines(struct world *world, int replicas);
/**
 * Checks a node that only workers and users can reach: it refuses its users at once, its machines
 * keep their tasks, a cancellation through another node takes effect in time, and the node works
 * again once it is no longer isolated.
 */
void check_isolated_node(struct world *world, int node);
/** A run_command_fault_fn: all run commands are carried out, and copies of them are kept. */
enum run_command_fault repeat_run_commands(struct world *world, const struct worker *worker,
                                           const char *response);
/** A run_command_fault_fn: all run commands are held back. */
enum run_command_fault hold_run_commands(struct world *world, const struct worker *worker,
                                         const char *response);
/** A request_fault_fn that delays responses to watches, so that nodes see changes 0.5 s late. */
enum request_fault delay_watch_responses(struct world *world, int node,
                                         const struct http_client_request *request);

#endif
