/**
 * @file
 * Election of the leader, and the shard map that the leader writes.
 *
 * Taking the leadership and writing the map with a new epoch are one transaction, so there is no
 * leader in whose epoch an earlier one has dispatched tasks.
 */
#ifndef LL_LEADER_ELECTION_H
#define LL_LEADER_ELECTION_H

#include "kv_client.h"
#include "replica.h"

struct leader_election;

/** What the election works with; all of it outlives it. */
struct leader_election_setup {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    /** Of this node. */
    const char *label;
    /** Of the functions. */
    void *ctx;
    /** The key-value store refused a transaction because this process's lease has ended. */
    void (*on_lease_refused)(void *ctx);
    /** A transaction has been answered, and the replica shows what became of it if it is known. */
    void (*on_write_outcome_known)(void *ctx);
};

/** This process as a candidate or as the leader. */
struct candidate {
    lease_id incarnation;
    /** Of the node's own key, which the transactions compare. */
    revision mod_revision;
    /** Whether it is the leader and may act as such. */
    bool is_leader;
};

/** Creates it; the setup is copied. */
struct leader_election *leader_election_new(const struct leader_election_setup *setup);
/** Frees it. */
void leader_election_free(struct leader_election *election);

/** Becomes a candidate if there is no leader; writes the map if this node leads and it is due. */
void leader_election_step(struct leader_election *election, const struct candidate *self);

/** Makes the leader write a map with a new epoch, also if its nodes are the same. */
void leader_election_request_new_epoch(struct leader_election *election, const char *reason);

/** Leaves a node out of the maps that this node writes for that time. */
void leader_election_exclude_node(struct leader_election *election, const char *label,
                                  int64_t duration_ms);

#endif
