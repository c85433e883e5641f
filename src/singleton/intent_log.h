/**
 * @file
 * A write-ahead log of what the holder of a singleton role does outside the key-value store.
 *
 * An intent is recorded before its action begins, so that a later holder carries out what an
 * earlier one may have begun. Intents are stored on pages, one key each. Those that are added while
 * a transaction is under way are written together by the next one, as writes are the scarcest
 * resource of the key-value store. Once an action is finished its intent is settled, and leaves its
 * page with a later write, which waits a while for others.
 */
#ifndef LL_INTENT_LOG_H
#define LL_INTENT_LOG_H

#include "role_manager.h"

struct intent_log;

/** How far an intent is, from the holder's point of view. */
enum intent_state {
    /** Not in the log; or dropped, as the key on which it depends has changed. */
    INTENT_UNKNOWN,
    /** Not recorded yet, as far as this node knows. */
    INTENT_QUEUED,
    INTENT_RECORDED,
};

/** What the log works with; all of it outlives the log. */
struct intent_log_config {
    struct loop *loop;
    struct kv_client *kv;
    struct role_manager *role_manager;
    const struct role_records *records;
    enum singleton_role role;
    /** Intents may depend on a revision of this key: they are recorded only while it is the same.
     */
    const char *guard_key;
    /** Of the functions below. */
    void *ctx;
    /** The revision of the guard key in the replica. */
    revision (*get_guard_revision)(void *ctx);
    /** As in struct role_manager_config. */
    void (*await_revision)(void *ctx, revision revision_needed, role_revision_callback callback,
                           void *arg);
    /** A transaction with that number of writes is being sent. */
    void (*on_write)(void *ctx, guint write_count);
    /** What intent_log_get_state() returns has changed for some intents. */
    void (*on_change)(void *ctx);
};

/** Creates a closed log; the configuration is copied. */
struct intent_log *intent_log_new(const struct intent_log_config *config);
/** Frees the log and its copies of intents; what is recorded stays. */
void intent_log_free(struct intent_log *log);

/** To be called when the role was gained: takes over what earlier holders left unsettled. */
void intent_log_open(struct intent_log *log);

/** To be called when the role was lost: forgets everything. */
void intent_log_close(struct intent_log *log);

/**
 * Queues an intent to be recorded; does nothing if the log has it, or is closed.
 *
 * @param guard_revision  the revision of the guard key on which the intent depends; 0: on none
 */
void intent_log_add(struct intent_log *log, const struct intent *intent, revision guard_revision);

/** Returns how far the intent of that kind and name is. */
enum intent_state intent_log_get_state(const struct intent_log *log, enum intent_kind kind,
                                       const char *name);

/** Notes that the action is finished, or will never be carried out. */
void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name);

/**
 * Returns a new array of all intents that are not settled, recorded or not (const struct intent *,
 * valid until the log changes), in no order.
 */
GPtrArray *intent_log_list_unsettled(const struct intent_log *log);

/** Whether the log is open, holds nothing, and no transaction is under way. */
bool intent_log_is_empty(const struct intent_log *log);

#endif
