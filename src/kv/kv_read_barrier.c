/**
 * The read barrier: a transaction without writes, whose response contains the newest revision. At
 * most one is in flight; callers that arrive in the meantime share the next one.
 */
#include "kv_client_internal.h"

enum {
    /** Minimum interval between two barriers, so that each serves several callers. */
    READ_BARRIER_INTERVAL_MS = 40,
};

/** A caller that waits for a read barrier. */
struct read_barrier_waiter {
    read_barrier_callback callback;
    void *callback_arg;
};

/** A barrier in flight, with the callers that wait for it. */
struct read_barrier_batch {
    struct kv_client *kv;
    /** Array of struct read_barrier_waiter. */
    GArray *waiters;
};

static void send_read_barrier(void *arg);

static GArray *waiters_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct read_barrier_waiter));
}

void read_barrier_init(struct kv_client *kv)
{
    timer_init(&kv->read_barrier.timer, send_read_barrier, kv);
    kv->read_barrier.waiters = waiters_new();
}

void read_barrier_clear(struct kv_client *kv)
{
    timer_stop(kv->loop, &kv->read_barrier.timer);
    g_array_unref(kv->read_barrier.waiters);
}

static void read_barrier_on_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct read_barrier_batch *batch = arg;
    struct kv_client *kv = batch->kv;
    kv->read_barrier.is_in_flight = false;
    if (kv->read_barrier.waiters->len)
        send_read_barrier(kv);
    for (guint i = 0; i < batch->waiters->len; i++) {
        const struct read_barrier_waiter *waiter =
            &g_array_index(batch->waiters, struct read_barrier_waiter, i);
        waiter->callback(waiter->callback_arg, outcome->status == TXN_COMMITTED,
                         outcome->at_revision);
    }
    g_array_unref(batch->waiters);
    g_free(batch);
}

/**
 * Timer callback: sends a barrier for the waiting callers, unless one is in flight. Before the
 * minimum interval has passed, starts the timer instead.
 */
static void send_read_barrier(void *arg)
{
    struct kv_client *kv = arg;
    struct read_barrier *barrier = &kv->read_barrier;
    if (barrier->is_in_flight || !barrier->waiters->len || barrier->timer.queue_position)
        return;
    mono_time now = loop_now(kv->loop);
    int64_t elapsed_ms = time_ms_since(now, barrier->last_sent_at);
    if (elapsed_ms < READ_BARRIER_INTERVAL_MS) {
        timer_start(kv->loop, &barrier->timer, READ_BARRIER_INTERVAL_MS - elapsed_ms);
        return;
    }
    barrier->last_sent_at = now;
    barrier->is_in_flight = true;
    struct read_barrier_batch *batch = g_new(struct read_barrier_batch, 1);
    *batch = (struct read_barrier_batch){kv, barrier->waiters};
    barrier->waiters = waiters_new();
    kv_client_commit(kv, KV_PRIORITY_URGENT, txn_new(), read_barrier_on_outcome, batch);
}

void kv_client_read_barrier(struct kv_client *kv, read_barrier_callback callback,
                            void *callback_arg)
{
    struct read_barrier_waiter waiter = {callback, callback_arg};
    g_array_append_val(kv->read_barrier.waiters, waiter);
    send_read_barrier(kv);
}
