#include "replica_internal.h"

enum {
    AWAIT_MS = 1800, /* until a waiter is told that its revision did not come */
};

struct view_waiter {
    revision at;
    mono_time give_up;
    view_done done;
    void *arg;
};

GArray *view_waiters_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct view_waiter));
}

void view_tell_waiters(struct view *view)
{
    for (guint i = 0; i < view->waiters->len;) {
        struct view_waiter waiter = g_array_index(view->waiters, struct view_waiter, i);
        if (view->ready && waiter.at.v <= view->at.v) {
            g_array_remove_index(view->waiters, i);
            waiter.done(waiter.arg, true);
        } else {
            i++;
        }
    }
}

void view_expire(void *arg)
{
    struct view *view = arg;
    mono_time now = loop_now(view->loop);
    for (guint i = 0; i < view->waiters->len;) {
        struct view_waiter waiter = g_array_index(view->waiters, struct view_waiter, i);
        if (time_before(waiter.give_up, now)) {
            g_array_remove_index(view->waiters, i);
            waiter.done(waiter.arg, false);
        } else {
            i++;
        }
    }
    view_seek_unknown(view);
    timer_start(view->loop, &view->expire_timer, VIEW_EXPIRE_EVERY_MS);
}

void view_await(struct view *view, revision at, view_done done, void *arg)
{
    if (view->ready && at.v <= view->at.v) {
        done(arg, true);
        return;
    }
    struct view_waiter waiter = {at, time_add_ms(loop_now(view->loop), AWAIT_MS), done, arg};
    g_array_append_val(view->waiters, waiter);
}

struct barrier_wait {
    struct view *view;
    view_done done;
    void *arg;
};

static void barrier_told(void *arg, bool ok, revision at)
{
    struct barrier_wait *wait = arg;
    if (ok)
        view_await(wait->view, at, wait->done, wait->arg);
    else
        wait->done(wait->arg, false);
    g_free(wait);
}

void view_barrier(struct view *view, view_done done, void *arg)
{
    struct barrier_wait *wait = g_new(struct barrier_wait, 1);
    *wait = (struct barrier_wait){view, done, arg};
    store_barrier(view->store, barrier_told, wait);
}
