/**
 * @file
 * Elects the leader, and writes the shard map on behalf of the leader.
 *
 * A single transaction acquires the leadership and writes the shard map with a new epoch. So no
 * earlier leader can have dispatched tasks in the epoch of the new one.
 */
#ifndef LL_LEADER_ELECTION_H
#define LL_LEADER_ELECTION_H

#include "kv_client.h"
#include "replica.h"

struct leader_election;

/** Dependencies of the leader election, all of which must outlive it. */
struct leader_election_setup {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    /** The label of this node. */
    const char *label;
    /** Passed to the callbacks. */
    void *ctx;
    /** Called when the store refused a transaction because this process's lease has expired. */
    void (*on_lease_refused)(void *ctx);
    /** Called once a transaction has ended and the replica shows its outcome, if it is known, and
     * when the delay after one that was not committed is over. */
    void (*on_write_outcome_known)(void *ctx);
};

/** The state of this process as a candidate or as the leader. */
struct candidate {
    lease_id incarnation;
    /** The revision of the node's own key, which transactions compare. */
    revision mod_revision;
    /** Whether the process is the leader and may act as such. */
    bool is_leader;
    /** Whether all nodes support serials in the fencing tokens of agents. */
    bool may_use_token_serials;
};

/** Creates a leader election; the setup is copied. */
struct leader_election *leader_election_new(const struct leader_election_setup *setup);
/** Frees the leader election. */
void leader_election_free(struct leader_election *election);

/**
 * Runs for leader if there is none and this node's turn has come. If this node is the leader,
 * writes a new shard map when the current one is stale or a new epoch was requested.
 */
void leader_election_step(struct leader_election *election, const struct candidate *self);

/** Makes the leader write a shard map with a new epoch, even if its nodes have not changed. */
void leader_election_request_new_epoch(struct leader_election *election, const char *reason);

/** Excludes a node, for the given duration, from the shard maps that this node writes. */
void leader_election_exclude_node(struct leader_election *election, const char *label,
                                  int64_t duration_ms);

#endif
