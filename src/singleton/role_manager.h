/* The duties of one node: claims, releases, hand-overs, and whether it may act.
 *
 * An act is safe if it is a transaction guarded by the token (role_manager_add_guard), or if it was
 * recorded as an intent by such a transaction before (intent_log.h): a replaced holder's
 * transaction is refused, and what it recorded its successor does anyway. role_manager_may_act
 * keeps a holder from beginning what would be refused; by itself it proves nothing, as a process
 * may stand still between the check and the act. */
#ifndef LL_DUTIES_H
#define LL_DUTIES_H

#include "event_loop.h"
#include "kv_client.h"
#include "role_records.h"

struct role_manager;

typedef void (*role_await_callback)(void *arg, bool ok);

/* What the package needs of the node around it. */
struct role_manager_config {
    struct loop *loop;
    struct kv_client *kv;
    const struct role_records *records; /* the replica of the records */
    const char *label;                  /* of this node */
    void *ctx;                          /* of the functions */
    /* The lease that this process's keys hang on; 0: it has none. */
    lease_id (*get_lease)(void *ctx);
    /* Whether that lease surely holds at this moment. */
    bool (*lease_is_valid)(void *ctx);
    /* Calls back once the replica is at a revision; {0}: at one that is the newest by now. */
    void (*await_revision)(void *ctx, revision at, role_await_callback done, void *arg);
    /* Adds what a claim of the duty is conditioned on besides; NULL: nothing. */
    void (*add_claim_compares)(void *ctx, enum singleton_role role, struct txn *txn);
};

/* To listeners: a duty was gained or lost. */
enum { MSG_ROLE_CHANGE = 500 };

struct role_change {
    enum singleton_role role;
    bool is_gained;
    fencing_token token;
};

struct role_manager *role_manager_new(const struct role_manager_config *setup);
void role_manager_free(struct role_manager *manager);
/* Sends MSG_ROLE_CHANGE with a struct role_change. What the listener has queued for a lost duty it
 * must drop. */
void role_manager_add_listener(struct role_manager *manager, struct actor *listener);

/* From now on claims the duty whenever nobody holds it. */
void role_manager_claim(struct role_manager *manager, enum singleton_role role);
/* Claims it no more, and gives it up if it is held. */
void role_manager_release(struct role_manager *manager, enum singleton_role role);
/* Gives the duty to a living process. False: it is not held. Whether the successor took it is
 * known from the records; if it could not, this node holds on. */
bool role_manager_hand_over(struct role_manager *manager, enum singleton_role role,
                            const struct role_holder *successor);
/* The replica has changed, or the lease. */
void role_manager_reconcile(struct role_manager *manager);

/* Whether this process holds the duty, whether its lease surely holds or not. */
bool role_manager_holds(const struct role_manager *manager, enum singleton_role role);
/* Whether it surely holds it at this moment, by a clock that is read anew. */
bool role_manager_may_act(struct role_manager *manager, enum singleton_role role);
fencing_token role_manager_get_token(const struct role_manager *manager, enum singleton_role role);
/* Conditions a transaction on the token: it is refused once there is another holder, or none. */
void role_manager_add_guard(const struct role_manager *manager, enum singleton_role role,
                            struct txn *txn);

#endif
