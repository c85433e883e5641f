/* What the holder of a duty is about to do outside the state service, recorded before it is done.
 *
 * Intents that come while a transaction is under way go into the next one together: writes are
 * what the state service has least of. An intent leaves its page once it is settled; that write
 * waits a moment for others. */
#ifndef LL_INTENT_LOG_H
#define LL_INTENT_LOG_H

#include "role_manager.h"

struct intent_log;

enum intent_state {
    INTENT_UNKNOWN, /* not in the log, or dropped as its version of the map is over */
    INTENT_QUEUED,  /* not recorded yet, for all that this node knows */
    INTENT_RECORDED,
};

struct intent_log_config {
    struct loop *loop;
    struct kv_client *kv;
    struct role_manager *role_manager;
    const struct role_records *records;
    enum singleton_role role;
    /* A key on whose version intents may depend: they are recorded only while it stands. */
    const char *guard_key;
    void *ctx;                                 /* of the functions */
    revision (*get_guard_revision)(void *ctx); /* of that key, as the replica has it */
    void (*await_revision)(void *ctx, revision at, role_await_callback done,
                           void *arg);         /* as of role_manager_config */
    void (*on_write)(void *ctx, guint writes); /* so many are on their way to the state service */
    void (*on_change)(void *ctx); /* what intent_log_get_state tells of some has changed */
};

struct intent_log *intent_log_new(const struct intent_log_config *setup);
void intent_log_free(struct intent_log *log);

/* The duty was gained: takes over what earlier holders recorded and did not settle. */
void intent_log_open(struct intent_log *log);
/* The duty was lost: forgets all. */
void intent_log_close(struct intent_log *log);

/* Queues an intent to be recorded, unless the log has it. condition: the version of the key on
 * which it depends; {0}: on none. */
void intent_log_add(struct intent_log *log, const struct intent *intent, revision guard_revision);
enum intent_state intent_log_get_state(const struct intent_log *log, enum intent_kind kind,
                                       const char *name);
/* It was done, or never will be: it need not be known any more. */
void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name);
/* All that are open, recorded or not: const struct intent *, in no order, a new array. */
GPtrArray *intent_log_list_open(const struct intent_log *log);
/* Whether the log is open and nothing in it is. */
bool intent_log_is_empty(const struct intent_log *log);

#endif
