/** Random failures of the scenarios with singleton roles. */
#ifndef LL_TEST_ROLE_FAILURES_H
#define LL_TEST_ROLE_FAILURES_H

#include "role_scenario.h"

/** A fate_fn that pauses nodes and fails requests at random while the scenario's troubles are on.
 */
enum fate role_failures_fate(struct world *world, int node,
                             const struct http_client_request *request);

/** Runs in every step of the world: resumes nodes, completes tasks and, while troubles are on,
 * kills and starts processes, raises the epoch and delivers held requests. */
void role_failures_step(struct world *world);

#endif
