/** Waits until the replica reflects a revision, and the read barrier that is built on them. */
#include "replica_internal.h"

/** How long a caller waits for its revision. */
enum { AWAIT_TIMEOUT_MS = 1800 };

/** A caller that waits until the replica reflects a revision. */
struct revision_waiter {
    revision revision_needed;
    mono_time deadline;
    replica_callback callback;
    void *callback_arg;
};

GArray *replica_waiters_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct revision_waiter));
}

/** Removes a waiter and calls its callback, which may add further waiters. */
static void finish_waiter(GArray *waiters, guint index, bool ok)
{
    struct revision_waiter waiter = g_array_index(waiters, struct revision_waiter, index);
    g_array_remove_index(waiters, index);
    waiter.callback(waiter.callback_arg, ok);
}

static bool reflects_revision(const struct replica *replica, revision revision_needed)
{
    return replica->is_ready && revision_needed.value <= replica->applied_revision.value;
}

void replica_notify_waiters(struct replica *replica)
{
    GArray *waiters = replica->internal->waiters;
    for (guint i = 0; i < waiters->len;) {
        const struct revision_waiter *waiter = &g_array_index(waiters, struct revision_waiter, i);
        if (reflects_revision(replica, waiter->revision_needed))
            finish_waiter(waiters, i, true);
        else
            i++;
    }
}

void replica_expire_waiters(struct replica *replica)
{
    GArray *waiters = replica->internal->waiters;
    mono_time now = loop_now(replica->loop);
    for (guint i = 0; i < waiters->len;) {
        const struct revision_waiter *waiter = &g_array_index(waiters, struct revision_waiter, i);
        if (time_before(waiter->deadline, now))
            finish_waiter(waiters, i, false);
        else
            i++;
    }
}

void replica_await_revision(struct replica *replica, revision revision_needed,
                            replica_callback callback, void *callback_arg)
{
    if (reflects_revision(replica, revision_needed)) {
        callback(callback_arg, true);
        return;
    }
    struct revision_waiter waiter = {
        .revision_needed = revision_needed,
        .deadline = time_add_ms(loop_now(replica->loop), AWAIT_TIMEOUT_MS),
        .callback = callback,
        .callback_arg = callback_arg,
    };
    g_array_append_val(replica->internal->waiters, waiter);
}

/** A read barrier that waits for the store's response. */
struct pending_barrier {
    struct replica *replica;
    replica_callback callback;
    void *callback_arg;
};

static void barrier_on_revision(void *arg, bool ok, revision at_revision)
{
    struct pending_barrier *pending = arg;
    if (ok)
        replica_await_revision(pending->replica, at_revision, pending->callback,
                               pending->callback_arg);
    else
        pending->callback(pending->callback_arg, false);
    g_free(pending);
}

void replica_read_barrier(struct replica *replica, replica_callback callback, void *callback_arg)
{
    struct pending_barrier *pending = g_new(struct pending_barrier, 1);
    *pending = (struct pending_barrier){replica, callback, callback_arg};
    kv_client_read_barrier(replica->kv, barrier_on_revision, pending);
}

void replica_await_revision_or_newest(struct replica *replica, revision revision_needed,
                                      replica_callback callback, void *callback_arg)
{
    if (revision_needed.value)
        replica_await_revision(replica, revision_needed, callback, callback_arg);
    else
        replica_read_barrier(replica, callback, callback_arg);
}

void replica_await_txn_outcome(struct replica *replica, const struct txn_outcome *outcome,
                               replica_callback callback, void *callback_arg)
{
    if (outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT)
        replica_await_revision(replica, outcome->at_revision, callback, callback_arg);
    else
        replica_read_barrier(replica, callback, callback_arg);
}
