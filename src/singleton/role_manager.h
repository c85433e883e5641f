/**
 * @file
 * The singleton roles of one node: claims, releases, hand-overs, and whether it may act.
 *
 * An action of a role's holder is safe if it is a transaction guarded by the fencing token
 * (role_manager_add_guard()), or if such a transaction recorded it as an intent before
 * (intent_log.h): once the holder has been replaced its transactions are refused, and what it
 * recorded its successor carries out. role_manager_may_act() only avoids beginning what would be
 * refused. By itself it proves nothing, as the process may be suspended between check and action.
 */
#ifndef LL_ROLE_MANAGER_H
#define LL_ROLE_MANAGER_H

#include "event_loop.h"
#include "kv_client.h"
#include "role_records.h"

struct role_manager;

/** @param ok  false: the replica did not reach the revision in time */
typedef void (*role_revision_callback)(void *arg, bool ok);

/** What the role manager needs of the node; all of it outlives the manager. */
struct role_manager_config {
    struct loop *loop;
    struct kv_client *kv;
    /** The node's replica of the records. */
    const struct role_records *records;
    /** Of this node. */
    const char *label;
    /** Of the functions below. */
    void *ctx;
    /** The lease on which this process's keys hang; 0: it has none. */
    lease_id (*get_lease)(void *ctx);
    /** Whether that lease is certain to hold at this moment. */
    bool (*lease_is_valid)(void *ctx);
    /** Calls back once the replica is at that revision; 0: at what is the newest one by now. */
    void (*await_revision)(void *ctx, revision revision_needed, role_revision_callback callback,
                           void *arg);
    /** Adds compares to the transaction of a claim; may be NULL. */
    void (*add_claim_compares)(void *ctx, enum singleton_role role, struct txn *txn);
};

/** The message to listeners when a role was gained or lost; its body is a struct role_change. */
enum { MSG_ROLE_CHANGE = 500 };

/** The body of MSG_ROLE_CHANGE. */
struct role_change {
    enum singleton_role role;
    bool is_gained;
    /** Of the holding that begins or ends. */
    fencing_token token;
};

/** Creates the manager of this node; it holds no role yet. */
struct role_manager *role_manager_new(const struct role_manager_config *config);
/** Frees the manager. It does not release its roles: their leases expire. */
void role_manager_free(struct role_manager *manager);

/**
 * Sends MSG_ROLE_CHANGE to the listener from now on. When a role is lost the listener must drop
 * what it has queued for it.
 */
void role_manager_add_listener(struct role_manager *manager, struct actor *listener);

/** From now on claims the role whenever nobody holds it. */
void role_manager_claim(struct role_manager *manager, enum singleton_role role);

/** Claims the role no longer, and gives it up if this process holds it. */
void role_manager_release(struct role_manager *manager, enum singleton_role role);

/**
 * Gives the role to another live process. Returns false if this one does not hold it. Whether the
 * successor has it is known from the records; if it could not take it, this process keeps it.
 */
bool role_manager_hand_over(struct role_manager *manager, enum singleton_role role,
                            const struct role_holder *successor);

/** Does what is due; to be called when the replica or the lease has changed. */
void role_manager_reconcile(struct role_manager *manager);

/** Whether this process holds the role by the replica, even if its lease may have ended. */
bool role_manager_holds(const struct role_manager *manager, enum singleton_role role);

/** Whether this process holds the role and its lease is certain to hold; reads the clock anew. */
bool role_manager_may_act(struct role_manager *manager, enum singleton_role role);

/** The token of the current holding, or of the latest one. */
fencing_token role_manager_get_token(const struct role_manager *manager, enum singleton_role role);

/** Makes the transaction fail once this holding of the role has ended. */
void role_manager_add_guard(const struct role_manager *manager, enum singleton_role role,
                            struct txn *txn);

#endif
