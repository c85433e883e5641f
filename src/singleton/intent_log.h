/**
 * @file
 * Implements a write-ahead log of actions that the holder of a singleton role takes outside the
 * key-value store.
 *
 * An intent is recorded before its action begins, so that a later holder completes what an earlier
 * one may have begun. Intents are stored on pages, each under a key of its own. Intents that are
 * added while a transaction is in flight are written together by the next one, because writes are
 * the scarcest resource of the key-value store. Once an action is finished, its intent is settled
 * and is removed from its page by a later write, which is delayed so that it covers several
 * intents.
 */
#ifndef LL_INTENT_LOG_H
#define LL_INTENT_LOG_H

#include "role_manager.h"

struct intent_log;

/** Progress of an intent as known to the holder of the role. */
enum intent_state {
    /** The log does not contain the intent, or dropped it because the guard key changed. */
    INTENT_UNKNOWN,
    /** The intent is not known to be recorded yet. */
    INTENT_QUEUED,
    /** The intent is recorded in the key-value store, so its action may begin. */
    INTENT_RECORDED,
};

/** Dependencies of the intent log, all of which must outlive it. */
struct intent_log_config {
    struct loop *loop;
    struct kv_client *kv;
    struct role_manager *role_manager;
    const struct role_records *records;
    enum singleton_role role;
    /** An intent that depends on a revision of this key is recorded only while it is unchanged. */
    const char *guard_key;
    /** Passed to the callbacks. */
    void *ctx;
    /** Returns the revision of the guard key in the replica. */
    revision (*get_guard_revision)(void *ctx);
    /** Same as in struct role_manager_config. */
    void (*await_revision)(void *ctx, revision revision_needed, role_revision_callback callback,
                           void *arg);
    /** Called when a transaction with that number of writes is being sent. */
    void (*on_write)(void *ctx, guint write_count);
    /** Called when intent_log_get_state() may return a new state for some intents. */
    void (*on_change)(void *ctx);
};

/** Creates a closed log; the configuration is copied. */
struct intent_log *intent_log_new(const struct intent_log_config *config);
/** Frees the log and its copies of intents; recorded intents stay in the key-value store. */
void intent_log_free(struct intent_log *log);

/** Opens the log when the role was gained; loads intents that earlier holders left unsettled. */
void intent_log_open(struct intent_log *log);

/** Closes the log when the role was lost, and drops all entries from memory. */
void intent_log_close(struct intent_log *log);

/**
 * Queues an intent to be recorded; does nothing if the log contains it already or is closed.
 *
 * @param guard_revision  the revision of the guard key on which the intent depends; 0 if none
 */
void intent_log_add(struct intent_log *log, const struct intent *intent, revision guard_revision);

/** Returns the state of the intent with that kind and name. */
enum intent_state intent_log_get_state(const struct intent_log *log, enum intent_kind kind,
                                       const char *name);

/** Settles an intent: its action is finished or will never be carried out. */
void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name);

/**
 * Returns a new array, in no particular order, of all intents that are not settled, whether or not
 * they are recorded. The elements (const struct intent *) are valid until the log changes.
 */
GPtrArray *intent_log_list_unsettled(const struct intent_log *log);

/** Returns whether the log is open, contains no entries, and has no transaction in flight. */
bool intent_log_is_empty(const struct intent_log *log);

#endif
