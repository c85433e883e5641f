#include "event_loop.h"

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
    struct timespec timespec;
    clock_gettime(CLOCK_MONOTONIC, &timespec);
    return (mono_time){(int64_t)timespec.tv_sec * 1000000 + timespec.tv_nsec / 1000};
}

struct loop *loop_new(void)
{
    struct loop *loop = g_new0(struct loop, 1);
    loop->epoll = epoll_create1(EPOLL_CLOEXEC);
    loop->timers = g_sequence_new(NULL);
    loop->garbage = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&loop->mail);
    loop->now = clock_steady();
    return loop;
}

struct loop *loop_new_fake(void)
{
    struct loop *loop = loop_new();
    loop->fake = true;
    loop->now.us = 1000 * 1000000LL;
    loop->fake_wall.ms = 1700000000000LL;
    return loop;
}

static void drop_mail(struct loop *loop)
{
    struct letter *letter;
    while ((letter = g_queue_pop_head(&loop->mail))) {
        if (letter->m.free_body)
            letter->m.free_body(letter->m.body);
        g_free(letter);
    }
}

void loop_free(struct loop *loop)
{
    drop_mail(loop);
    close(loop->epoll);
    g_sequence_free(loop->timers);
    g_ptr_array_unref(loop->garbage);
    g_free(loop);
}

mono_time loop_now(const struct loop *loop)
{
    return loop->now;
}

wall_time loop_wall(const struct loop *loop)
{
    if (loop->fake)
        return loop->fake_wall;
    struct timespec timespec;
    clock_gettime(CLOCK_REALTIME, &timespec);
    return (wall_time){(int64_t)timespec.tv_sec * 1000 + timespec.tv_nsec / 1000000};
}

void loop_refresh(struct loop *loop)
{
    if (!loop->fake)
        loop->now = clock_steady();
}

void loop_work(struct loop *loop, uint64_t looks)
{
    loop->worked += looks;
}

uint64_t loop_worked(const struct loop *loop)
{
    return loop->worked;
}

static void control(struct loop *loop, int op, struct loop_io *io, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = io};
    epoll_ctl(loop->epoll, op, io->fd, &event);
}

void loop_watch(struct loop *loop, struct loop_io *io, uint32_t events)
{
    control(loop, EPOLL_CTL_ADD, io, events);
}

void loop_rewatch(struct loop *loop, struct loop_io *io, uint32_t events)
{
    control(loop, EPOLL_CTL_MOD, io, events);
}

void loop_unwatch(struct loop *loop, struct loop_io *io)
{
    control(loop, EPOLL_CTL_DEL, io, 0);
    io->ready = NULL;
}

void loop_free_later(struct loop *loop, void *memory)
{
    g_ptr_array_add(loop->garbage, memory);
}

void timer_init(struct timer *timer, void (*fire)(void *arg), void *arg)
{
    *timer = (struct timer){.fire = fire, .arg = arg};
}

static int timer_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    const struct timer *timer = a, *y = b;
    if (timer->at.us != y->at.us)
        return timer->at.us < y->at.us ? -1 : 1;
    return timer->order < y->order ? -1 : timer->order > y->order;
}

void timer_start(struct loop *loop, struct timer *timer, int64_t ms)
{
    timer_stop(loop, timer);
    timer->at = time_add_ms(loop->now, ms);
    timer->order = loop->next_order++;
    timer->place = g_sequence_insert_sorted(loop->timers, timer, timer_cmp, NULL);
}

void timer_stop(struct loop *loop, struct timer *timer)
{
    (void)loop;
    if (timer->place)
        g_sequence_remove(timer->place);
    timer->place = NULL;
}

void actor_send(struct loop *loop, struct actor *actor, int kind, void *body,
                GDestroyNotify free_body)
{
    struct letter *letter = g_new(struct letter, 1);
    *letter = (struct letter){actor, {kind, body, free_body}};
    g_queue_push_tail(&loop->mail, letter);
}

/* Delivers what lies in the mailboxes now; what that sends waits for the next turn, so that mail
 * cannot starve the sockets. */
static bool deliver(struct loop *loop)
{
    guint n = loop->mail.length;
    for (guint i = 0; i < n; i++) {
        struct letter *letter = g_queue_pop_head(&loop->mail);
        letter->to->receive(letter->to, &letter->m);
        if (letter->m.free_body)
            letter->m.free_body(letter->m.body);
        g_free(letter);
    }
    return n > 0;
}

static bool fire_one(struct loop *loop, mono_time until)
{
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
    if (g_sequence_iter_is_end(first))
        return false;
    struct timer *timer = g_sequence_get(first);
    if (time_before(until, timer->at))
        return false;
    timer_stop(loop, timer);
    if (loop->fake && time_before(loop->now, timer->at)) {
        loop->fake_wall.ms += (timer->at.us - loop->now.us) / 1000;
        loop->now = timer->at;
    }
    timer->fire(timer->arg);
    return true;
}

static int wait_ms(struct loop *loop)
{
    if (loop->mail.length)
        return 0;
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
    if (g_sequence_iter_is_end(first))
        return 1000;
    struct timer *timer = g_sequence_get(first);
    int64_t us = timer->at.us - loop->now.us;
    if (us <= 0)
        return 0;
    return MIN((us + 999) / 1000, 1000);
}

void loop_run(struct loop *loop)
{
    struct epoll_event event[64];
    while (!loop->stopped) {
        int n = epoll_wait(loop->epoll, event, G_N_ELEMENTS(event), wait_ms(loop));
        loop->now = clock_steady();
        for (int i = 0; i < n; i++) {
            struct loop_io *io = event[i].data.ptr;
            if (io->ready)
                io->ready(io, event[i].events);
        }
        mono_time until = loop->now;
        for (int i = 0; i < 64 && fire_one(loop, until); i++)
            ;
        deliver(loop);
        g_ptr_array_set_size(loop->garbage, 0);
    }
}

void loop_stop(struct loop *loop)
{
    loop->stopped = true;
}

void loop_advance(struct loop *loop, int64_t ms)
{
    mono_time until = time_add_ms(loop->now, ms);
    do {
        while (deliver(loop))
            ;
        g_ptr_array_set_size(loop->garbage, 0);
    } while (fire_one(loop, until));
    loop->fake_wall.ms += (until.us - loop->now.us) / 1000;
    loop->now = until;
}

void loop_skip(struct loop *loop, int64_t ms)
{
    loop->now = time_add_ms(loop->now, ms);
    loop->fake_wall.ms += ms;
}
