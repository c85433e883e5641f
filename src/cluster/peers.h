/* What the other nodes say of the state service while it does not answer this one: whether they are
 * served, so that they can answer in its place, or whether it is away for all. */
#ifndef LL_PEERS_H
#define LL_PEERS_H

#include "node_rpc.h"
#include "replica.h"

struct peers;

struct peers *peers_new(struct loop *loop, struct node_rpc *rpc, struct kv_client *kv,
                        struct replica *replica, const struct settings *settings);
void peers_free(struct peers *peers);
void peers_start(struct peers *peers);

/* A node that the state service serves while it does not serve this one; NULL: none is known. */
const char *failure_detector_find_served_node(const struct peers *peers);
/* Neither the state service nor any other node answers this one: it is this node that is cut off.
 */
bool failure_detector_is_isolated(const struct peers *peers);
/* Until that moment no node can have told a user of a cancellation that this node does not know of,
 * as all of them have handed over what they told: see docs/safety.md. {0}: nothing is known. */
mono_time cancel_broadcast_known_until(const struct peers *peers);
/* Neither the state service nor that node answers this one, and no other node is served that might
 * speak for both. */
bool failure_detector_is_unreachable(const struct peers *peers, const char *label);

/* This node has renewed the lease of another node's machine: see "Sheltered machines" in
 * docs/safety.md. */
void lease_proxy_note_renewal(struct peers *peers);
/* Whether all leases that other nodes may have renewed for a machine of this node have run out by
 * now; last: it surely was not renewed by this node since. Asks them, so the answer may be no at
 * first. */
bool lease_proxy_leases_expired(struct peers *peers, mono_time last_own_renewal, int64_t lease_ms,
                                int64_t max_proxy_ms);

/* ---- cancellations that the view may not show yet ---- */

/* This node tells a user that a job is cancelled, which its record says since that revision. */
void cancel_broadcast_confirm(struct peers *peers, job_id job, revision committed_at);
/* Says so to the other nodes, before the user is told: done is called once all of them know, so
 * that none starts anything of the job any more, or a moment later if some cannot be reached. */
void cancel_broadcast_announce(struct peers *peers, job_id job, revision committed_at,
                               void (*done)(void *arg), void *arg);
/* A transaction that cancels a job is on its way; and what became of it: one of which nobody knows
 * may have been carried out, or be so later. */
void cancel_broadcast_begin(struct peers *peers, job_id job);
/* Once it is carried out the user may be told: it is the same as cancel_broadcast_confirm then. */
void cancel_broadcast_finish(struct peers *peers, job_id job, const struct txn_outcome *outcome);

enum cancel_status {
    CANCEL_NONE,      /* nothing is known beside the view */
    CANCEL_POSSIBLE,  /* some transaction may have cancelled it, or may yet do so */
    CANCEL_COMMITTED, /* its record says so */
};
enum cancel_status cancel_broadcast_get_status(const struct peers *peers, job_id job);
/* No user can have been told before that moment. */
mono_time cancel_broadcast_confirmed_not_before(const struct peers *peers, job_id job);

/* The message that the listener gets when a job's cancellation becomes known here: its body is a
 * job_id. */
enum { MSG_CANCELLED = 101 };
void cancel_broadcast_set_listener(struct peers *peers, struct actor *listener);

#endif
