#include "replica_internal.h"

enum {
    AWAIT_TIMEOUT_MS = 1800, /* until a waiter is told that its revision did not come */
};

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

void replica_notify_waiters(struct replica *replica)
{
    for (guint i = 0; i < replica->waiters->len;) {
        struct revision_waiter waiter = g_array_index(replica->waiters, struct revision_waiter, i);
        if (replica->is_ready && waiter.revision_needed.value <= replica->applied_revision.value) {
            g_array_remove_index(replica->waiters, i);
            waiter.callback(waiter.callback_arg, true);
        } else {
            i++;
        }
    }
}

void replica_expire_waiters(void *arg)
{
    struct replica *replica = arg;
    mono_time now = loop_now(replica->loop);
    for (guint i = 0; i < replica->waiters->len;) {
        struct revision_waiter waiter = g_array_index(replica->waiters, struct revision_waiter, i);
        if (time_before(waiter.deadline, now)) {
            g_array_remove_index(replica->waiters, i);
            waiter.callback(waiter.callback_arg, false);
        } else {
            i++;
        }
    }
    replica_lookup_unknown_jobs(replica);
    timer_start(replica->loop, &replica->expire_timer, EXPIRY_CHECK_INTERVAL_MS);
}

void replica_await_revision(struct replica *replica, revision revision_needed,
                            replica_callback callback, void *callback_arg)
{
    if (replica->is_ready && revision_needed.value <= replica->applied_revision.value) {
        callback(callback_arg, true);
        return;
    }
    struct revision_waiter waiter = {revision_needed,
                                     time_add_ms(loop_now(replica->loop), AWAIT_TIMEOUT_MS),
                                     callback, callback_arg};
    g_array_append_val(replica->waiters, waiter);
}

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
