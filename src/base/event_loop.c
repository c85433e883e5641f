/** The event loop: see event_loop.h. */
#include "event_loop.h"

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

enum {
    MAX_EVENTS_PER_ITERATION = 64,
    /** Keeps many timers that expire together from starving the sockets. */
    MAX_TIMERS_PER_ITERATION = 64,
    MAX_POLL_MS = 1000,
    FAKE_CLOCK_START_S = 1000,
    FAKE_RANDOM_SEED = 1,
};

static const int64_t US_PER_S = 1000000;
static const int64_t FAKE_WALL_CLOCK_START_MS = 1700000000000;

struct queued_message {
    struct actor *recipient;
    struct message message;
};

struct loop {
    int epoll_fd;
    bool has_fake_clock, is_stopped;
    mono_time now;
    wall_time fake_wall_time;
    /** Running struct timer, ordered by the time at which they fire. */
    GSequence *timers;
    uint64_t next_timer_sequence;
    /** Undelivered struct queued_message of all actors, oldest first. */
    GQueue mailbox;
    /** Memory that is freed at the end of the iteration; see loop_defer_free. */
    GPtrArray *deferred_frees;
    uint64_t operation_count;
    GRand *random;
};

static mono_time read_monotonic_clock(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (mono_time){(int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000};
}

struct loop *loop_new(void)
{
    struct loop *loop = g_new0(struct loop, 1);
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->timers = g_sequence_new(NULL);
    loop->deferred_frees = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&loop->mailbox);
    loop->now = read_monotonic_clock();
    loop->random = g_rand_new();
    return loop;
}

struct loop *loop_new_fake(void)
{
    struct loop *loop = loop_new();
    loop->has_fake_clock = true;
    loop->now.us = FAKE_CLOCK_START_S * US_PER_S;
    loop->fake_wall_time.ms = FAKE_WALL_CLOCK_START_MS;
    g_rand_set_seed(loop->random, FAKE_RANDOM_SEED);
    return loop;
}

static void discard_messages(struct loop *loop)
{
    struct queued_message *queued;
    while ((queued = g_queue_pop_head(&loop->mailbox))) {
        if (queued->message.free_body)
            queued->message.free_body(queued->message.body);
        g_free(queued);
    }
}

void loop_free(struct loop *loop)
{
    discard_messages(loop);
    close(loop->epoll_fd);
    g_sequence_free(loop->timers);
    g_ptr_array_unref(loop->deferred_frees);
    g_rand_free(loop->random);
    g_free(loop);
}

mono_time loop_now(const struct loop *loop)
{
    return loop->now;
}

wall_time loop_wall_time(const struct loop *loop)
{
    if (loop->has_fake_clock)
        return loop->fake_wall_time;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (wall_time){(int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000};
}

void loop_update_time(struct loop *loop)
{
    if (!loop->has_fake_clock)
        loop->now = read_monotonic_clock();
}

int64_t loop_random_below(struct loop *loop, int64_t limit)
{
    return g_rand_int_range(loop->random, 0, (gint32)limit);
}

void loop_count_operations(struct loop *loop, uint64_t operations)
{
    loop->operation_count += operations;
}

uint64_t loop_operation_count(const struct loop *loop)
{
    return loop->operation_count;
}

static void epoll_update(struct loop *loop, int operation, struct loop_io *io, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = io};
    epoll_ctl(loop->epoll_fd, operation, io->fd, &event);
}

void loop_add_io(struct loop *loop, struct loop_io *io, uint32_t events)
{
    epoll_update(loop, EPOLL_CTL_ADD, io, events);
}

void loop_modify_io(struct loop *loop, struct loop_io *io, uint32_t events)
{
    epoll_update(loop, EPOLL_CTL_MOD, io, events);
}

void loop_remove_io(struct loop *loop, struct loop_io *io)
{
    epoll_update(loop, EPOLL_CTL_DEL, io, 0);
    io->ready = NULL;
}

void loop_defer_free(struct loop *loop, void *memory)
{
    g_ptr_array_add(loop->deferred_frees, memory);
}

void timer_init(struct timer *timer, void (*callback)(void *arg), void *arg)
{
    *timer = (struct timer){.callback = callback, .arg = arg};
}

static int compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    const struct timer *left = a, *right = b;
    if (left->fires_at.us != right->fires_at.us)
        return left->fires_at.us < right->fires_at.us ? -1 : 1;
    return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

void timer_start(struct loop *loop, struct timer *timer, int64_t ms)
{
    timer_stop(loop, timer);
    timer->fires_at = time_add_ms(loop->now, ms);
    timer->sequence = loop->next_timer_sequence++;
    timer->queue_position = g_sequence_insert_sorted(loop->timers, timer, compare_timers, NULL);
}

void timer_stop(struct loop *loop, struct timer *timer)
{
    (void)loop;
    if (timer->queue_position)
        g_sequence_remove(timer->queue_position);
    timer->queue_position = NULL;
}

void actor_send(struct loop *loop, struct actor *actor, int kind, void *body,
                GDestroyNotify free_body)
{
    struct queued_message *queued = g_new(struct queued_message, 1);
    *queued = (struct queued_message){actor, {kind, body, free_body}};
    g_queue_push_tail(&loop->mailbox, queued);
}

/**
 * Delivers the messages that are queued at the time of the call. Messages that the receivers send
 * wait for the next iteration, so that messages cannot starve the sockets. Returns false if the
 * queue was empty.
 */
static bool deliver_messages(struct loop *loop)
{
    guint pending = loop->mailbox.length;
    for (guint i = 0; i < pending; i++) {
        struct queued_message *queued = g_queue_pop_head(&loop->mailbox);
        queued->recipient->receive(queued->recipient, &queued->message);
        if (queued->message.free_body)
            queued->message.free_body(queued->message.body);
        g_free(queued);
    }
    return pending > 0;
}

/** Fires the earliest timer if it is due by `until`; a fake clock then moves to its time. Returns
 * whether a timer was fired. */
static bool fire_next_timer(struct loop *loop, mono_time until)
{
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
    if (g_sequence_iter_is_end(first))
        return false;
    struct timer *timer = g_sequence_get(first);
    if (time_before(until, timer->fires_at))
        return false;
    timer_stop(loop, timer);
    if (loop->has_fake_clock && time_before(loop->now, timer->fires_at)) {
        loop->fake_wall_time.ms += (timer->fires_at.us - loop->now.us) / 1000;
        loop->now = timer->fires_at;
    }
    timer->callback(timer->arg);
    return true;
}

/** Returns how long epoll may wait: until the next timer, rounded up, and not at all while messages
 * are queued. */
static int poll_timeout_ms(struct loop *loop)
{
    if (loop->mailbox.length)
        return 0;
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
    if (g_sequence_iter_is_end(first))
        return MAX_POLL_MS;
    struct timer *timer = g_sequence_get(first);
    int64_t remaining_us = timer->fires_at.us - loop->now.us;
    if (remaining_us <= 0)
        return 0;
    return MIN((remaining_us + 999) / 1000, MAX_POLL_MS);
}

void loop_run(struct loop *loop)
{
    struct epoll_event events[MAX_EVENTS_PER_ITERATION];
    while (!loop->is_stopped) {
        int ready_count =
            epoll_wait(loop->epoll_fd, events, G_N_ELEMENTS(events), poll_timeout_ms(loop));
        loop->now = read_monotonic_clock();
        for (int i = 0; i < ready_count; i++) {
            struct loop_io *io = events[i].data.ptr;
            if (io->ready)
                io->ready(io, events[i].events);
        }
        mono_time until = loop->now;
        for (int i = 0; i < MAX_TIMERS_PER_ITERATION && fire_next_timer(loop, until); i++)
            ;
        deliver_messages(loop);
        g_ptr_array_set_size(loop->deferred_frees, 0);
    }
}

void loop_stop(struct loop *loop)
{
    loop->is_stopped = true;
}

void loop_advance(struct loop *loop, int64_t ms)
{
    mono_time until = time_add_ms(loop->now, ms);
    do {
        while (deliver_messages(loop))
            ;
        g_ptr_array_set_size(loop->deferred_frees, 0);
    } while (fire_next_timer(loop, until));
    loop->fake_wall_time.ms += (until.us - loop->now.us) / 1000;
    loop->now = until;
}

void loop_stall(struct loop *loop, int64_t ms)
{
    loop->now = time_add_ms(loop->now, ms);
    loop->fake_wall_time.ms += ms;
}
