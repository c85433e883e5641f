#include "loop.h"

#include <errno.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

struct letter {
    struct actor *to;
    struct message m;
};

struct loop {
    int epoll;
    bool fake, stopped;
    mono_time now;
    wall_time fake_wall;
    GSequence *timers;
    uint64_t next_order;
    GQueue mail;
    GPtrArray *garbage;
    uint64_t worked;
};

static mono_time clock_steady(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (mono_time){(int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000};
}

struct loop *loop_new(void)
{
    struct loop *l = g_new0(struct loop, 1);
    l->epoll = epoll_create1(EPOLL_CLOEXEC);
    l->timers = g_sequence_new(NULL);
    l->garbage = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&l->mail);
    l->now = clock_steady();
    return l;
}

struct loop *loop_new_fake(void)
{
    struct loop *l = loop_new();
    l->fake = true;
    l->now.us = 1000 * 1000000LL;
    l->fake_wall.ms = 1700000000000LL;
    return l;
}

static void drop_mail(struct loop *l)
{
    struct letter *x;
    while ((x = g_queue_pop_head(&l->mail))) {
        if (x->m.free_body)
            x->m.free_body(x->m.body);
        g_free(x);
    }
}

void loop_free(struct loop *l)
{
    drop_mail(l);
    close(l->epoll);
    g_sequence_free(l->timers);
    g_ptr_array_unref(l->garbage);
    g_free(l);
}

mono_time loop_now(const struct loop *l)
{
    return l->now;
}

wall_time loop_wall(const struct loop *l)
{
    if (l->fake)
        return l->fake_wall;
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (wall_time){(int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000};
}

void loop_refresh(struct loop *l)
{
    if (!l->fake)
        l->now = clock_steady();
}

void loop_work(struct loop *l, uint64_t looks)
{
    l->worked += looks;
}

uint64_t loop_worked(const struct loop *l)
{
    return l->worked;
}

static void control(struct loop *l, int op, struct loop_io *io, uint32_t events)
{
    struct epoll_event ev = {.events = events, .data.ptr = io};
    epoll_ctl(l->epoll, op, io->fd, &ev);
}

void loop_watch(struct loop *l, struct loop_io *io, uint32_t events)
{
    control(l, EPOLL_CTL_ADD, io, events);
}

void loop_rewatch(struct loop *l, struct loop_io *io, uint32_t events)
{
    control(l, EPOLL_CTL_MOD, io, events);
}

void loop_unwatch(struct loop *l, struct loop_io *io)
{
    control(l, EPOLL_CTL_DEL, io, 0);
    io->ready = NULL;
}

void loop_free_later(struct loop *l, void *memory)
{
    g_ptr_array_add(l->garbage, memory);
}

void timer_init(struct timer *t, void (*fire)(void *arg), void *arg)
{
    *t = (struct timer){.fire = fire, .arg = arg};
}

static int timer_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    const struct timer *x = a, *y = b;
    if (x->at.us != y->at.us)
        return x->at.us < y->at.us ? -1 : 1;
    return x->order < y->order ? -1 : x->order > y->order;
}

void timer_start(struct loop *l, struct timer *t, int64_t ms)
{
    timer_stop(l, t);
    t->at = time_add_ms(l->now, ms);
    t->order = l->next_order++;
    t->place = g_sequence_insert_sorted(l->timers, t, timer_cmp, NULL);
}

void timer_stop(struct loop *l, struct timer *t)
{
    (void)l;
    if (t->place)
        g_sequence_remove(t->place);
    t->place = NULL;
}

void actor_send(struct loop *l, struct actor *to, int kind, void *body, GDestroyNotify free_body)
{
    struct letter *x = g_new(struct letter, 1);
    *x = (struct letter){to, {kind, body, free_body}};
    g_queue_push_tail(&l->mail, x);
}

/* Delivers what lies in the mailboxes now; what that sends waits for the next turn, so that mail
 * cannot starve the sockets. */
static bool deliver(struct loop *l)
{
    guint n = l->mail.length;
    for (guint i = 0; i < n; i++) {
        struct letter *x = g_queue_pop_head(&l->mail);
        x->to->receive(x->to, &x->m);
        if (x->m.free_body)
            x->m.free_body(x->m.body);
        g_free(x);
    }
    return n > 0;
}

static bool fire_one(struct loop *l, mono_time until)
{
    GSequenceIter *first = g_sequence_get_begin_iter(l->timers);
    if (g_sequence_iter_is_end(first))
        return false;
    struct timer *t = g_sequence_get(first);
    if (time_before(until, t->at))
        return false;
    timer_stop(l, t);
    if (l->fake && time_before(l->now, t->at)) {
        l->fake_wall.ms += (t->at.us - l->now.us) / 1000;
        l->now = t->at;
    }
    t->fire(t->arg);
    return true;
}

static int wait_ms(struct loop *l)
{
    if (l->mail.length)
        return 0;
    GSequenceIter *first = g_sequence_get_begin_iter(l->timers);
    if (g_sequence_iter_is_end(first))
        return 1000;
    struct timer *t = g_sequence_get(first);
    int64_t us = t->at.us - l->now.us;
    if (us <= 0)
        return 0;
    return MIN((us + 999) / 1000, 1000);
}

void loop_run(struct loop *l)
{
    struct epoll_event ev[64];
    while (!l->stopped) {
        int n = epoll_wait(l->epoll, ev, G_N_ELEMENTS(ev), wait_ms(l));
        l->now = clock_steady();
        for (int i = 0; i < n; i++) {
            struct loop_io *io = ev[i].data.ptr;
            if (io->ready)
                io->ready(io, ev[i].events);
        }
        mono_time until = l->now;
        for (int i = 0; i < 64 && fire_one(l, until); i++)
            ;
        deliver(l);
        g_ptr_array_set_size(l->garbage, 0);
    }
}

void loop_stop(struct loop *l)
{
    l->stopped = true;
}

void loop_advance(struct loop *l, int64_t ms)
{
    mono_time until = time_add_ms(l->now, ms);
    do {
        while (deliver(l))
            ;
        g_ptr_array_set_size(l->garbage, 0);
    } while (fire_one(l, until));
    l->fake_wall.ms += (until.us - l->now.us) / 1000;
    l->now = until;
}
