/* The leader: team queues by shares, the only quota ledger, dealing to parts, renting and
 * returning. On every node; it acts only while its node leads. */
#ifndef LL_LEADER_H
#define LL_LEADER_H

#include "bus.h"
#include "fleet.h"
#include "policy.h"

struct leader;

struct node;

struct leader *leader_new(const struct node *node, const struct policy *policy);
void leader_free(struct leader *leader);
void leader_start(struct leader *leader);

#endif
