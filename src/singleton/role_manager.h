/**
 * @file
 * Manages the singleton roles of this node: claims, releases, handovers, and whether it may act.
 *
 * An action of a role's holder is safe if it is a transaction guarded by the fencing token
 * (role_manager_add_guard()), or if such a transaction recorded it as an intent beforehand
 * (intent_log.h). Once the holder has been replaced, its transactions are refused, and its
 * successor carries out the intents that it recorded. role_manager_may_act() only avoids starting
 * actions that would be refused. It gives no guarantee by itself, because the process may be
 * suspended between the check and the action.
 */
#ifndef LL_ROLE_MANAGER_H
#define LL_ROLE_MANAGER_H

#include "event_loop.h"
#include "kv_client.h"
#include "role_records.h"

struct role_manager;

/**
 * A callback for when the replica has reached a revision, or has failed to reach it in time.
 *
 * @param ok  whether the replica reached the revision in time
 */
typedef void (*role_revision_callback)(void *arg, bool ok);

/** Dependencies of the role manager, all of which must outlive it. */
struct role_manager_config {
    struct loop *loop;
    struct kv_client *kv;
    /** The node's replica of the role records. */
    const struct role_records *records;
    /** The label of this node. */
    const char *label;
    /** Passed to the functions below. */
    void *ctx;
    /** Returns the lease to which this process's keys are attached; 0 if it has none. */
    lease_id (*get_lease)(void *ctx);
    /** Returns whether that lease is certain not to have expired yet. */
    bool (*lease_is_valid)(void *ctx);
    /** Calls back once the replica is at the revision; 0 for the one that is newest at the call. */
    void (*await_revision)(void *ctx, revision revision_needed, role_revision_callback callback,
                           void *arg);
    /** Adds compares to the transaction of a claim; may be NULL. */
    void (*add_claim_compares)(void *ctx, enum singleton_role role, struct txn *txn);
};

/** Message to listeners when a role was gained or lost; its body is a struct role_change. */
enum { MSG_ROLE_CHANGE = 500 };

/** The body of MSG_ROLE_CHANGE. */
struct role_change {
    enum singleton_role role;
    bool is_gained;
    /** The fencing token of the tenure that begins or ends. */
    fencing_token token;
};

/** Creates the role manager of this node, which holds no role yet; the configuration is copied. */
struct role_manager *role_manager_new(const struct role_manager_config *config);
/** Frees the manager without releasing its roles, which end when the process's lease expires. */
void role_manager_free(struct role_manager *manager);

/**
 * Sends MSG_ROLE_CHANGE to the listener from now on. When a role is lost, the listener must drop
 * the actions that it has queued for the role.
 */
void role_manager_add_listener(struct role_manager *manager, struct actor *listener);

/** Claims the role from now on whenever no process holds it. */
void role_manager_claim(struct role_manager *manager, enum singleton_role role);

/** Stops claiming the role, and releases it if this process holds it. */
void role_manager_release(struct role_manager *manager, enum singleton_role role);

/**
 * Hands the role over to another live process. Returns false if this process does not hold it.
 * The records show whether the successor has the role; if the handover fails, this process still
 * holds the role afterwards.
 */
bool role_manager_hand_over(struct role_manager *manager, enum singleton_role role,
                            const struct role_holder *successor);

/** Updates the state of all roles. Must be called when the replica or the lease has changed. */
void role_manager_reconcile(struct role_manager *manager);

/**
 * Returns whether this process holds the role according to the replica, even if its lease may have
 * expired.
 */
bool role_manager_holds(const struct role_manager *manager, enum singleton_role role);

/** Returns whether this process holds the role and its lease is valid; reads the clock again. */
bool role_manager_may_act(struct role_manager *manager, enum singleton_role role);

/** Returns the fencing token of this process's current or latest tenure of the role, or 0. */
fencing_token role_manager_get_token(const struct role_manager *manager, enum singleton_role role);

/** Makes the transaction fail if this process's tenure of the role has ended. */
void role_manager_add_guard(const struct role_manager *manager, enum singleton_role role,
                            struct txn *txn);

#endif
