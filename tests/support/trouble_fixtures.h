/* What the tests of troubles and of outages share. */
#ifndef LL_TEST_TROUBLE_FIXTURES_H
#define LL_TEST_TROUBLE_FIXTURES_H

#include "world.h"

struct worker *worker_of(struct world *world, const char *job, uint32_t index);
/* Tasks on record on a machine, as any live node sees them. */
guint recorded(struct world *world, const struct worker *worker);
void two_ordinary_machines(struct world *world);
/* The machine on which the first replica of wk-1 runs. */
struct worker *service_on_two_machines(struct world *world, int replicas);
void lone(struct world *world, int node);
/* A fate_fn by which answers to watches are late: the nodes see changes half a second later. */
enum fate late_watches(struct world *world, int node, const struct http_client_request *request);

#endif
