/** Random failures for the scenarios with singleton roles. */
#ifndef LL_TEST_ROLE_FAILURES_H
#define LL_TEST_ROLE_FAILURES_H

#include "role_scenario.h"

/**
 * A request_fault_fn that pauses nodes and fails requests at random while the scenario's
 * inject_failures is set.
 */
enum request_fault role_failures_choose_fault(struct world *world, int node,
                                              const struct http_client_request *request);

/**
 * Runs in every step of the world: resumes nodes and completes tasks. While inject_failures is set,
 * it also kills and starts processes, raises the epoch and delivers held requests.
 */
void role_failures_step(struct world *world);

#endif
