/**
 * A single-threaded event loop: epoll, timers, and messages between actors.
 *
 * An actor owns its state. Other code communicates with it by messages, which the loop delivers
 * later, never within the sender's call. All code takes the time from the loop. A loop with a fake
 * clock advances it only on request, so that tests of code on top of the loop need not wait.
 */
#ifndef LL_EVENT_LOOP_H
#define LL_EVENT_LOOP_H

#include "types.h"

/** An event loop with its clock, timers and queued messages. */
struct loop;

/** A message to an actor. */
struct message {
    /** One of the MSG_... constants that the header of the sender declares. */
    int kind;
    void *body;
    /** Frees the body after delivery; if NULL, the body is not freed. */
    GDestroyNotify free_body;
};

/** A receiver of messages. It is the first member of the struct that it belongs to. */
struct actor {
    const char *name;
    void (*receive)(struct actor *self, const struct message *message);
};

/** A file descriptor that the loop watches, and the function that it calls when the descriptor is
 * ready. `events` are EPOLL... bits. */
struct loop_io {
    int fd;
    void (*ready)(struct loop_io *io, uint32_t events);
};

/** A one-shot timer, to be embedded in the struct that it belongs to. */
struct timer {
    void (*callback)(void *arg);
    void *arg;
    mono_time fires_at;
    /** The position in the loop's queue of timers; NULL while the timer is not running. */
    GSequenceIter *queue_position;
    /** Orders timers with the same time: they fire in the order in which they were started. */
    uint64_t sequence;
};

/** Creates a loop that uses the system clocks. */
struct loop *loop_new(void);
/** Creates a loop with a fake clock, which only loop_advance and loop_stall move. */
struct loop *loop_new_fake(void);
/** Frees the loop and its undelivered messages. All timers must be stopped and all descriptors
 * removed before. */
void loop_free(struct loop *loop);

/** Returns the monotonic time at which the current iteration read the clock, or at which
 * loop_update_time last did. */
mono_time loop_now(const struct loop *loop);
/** Returns the present wall-clock time. */
wall_time loop_wall_time(const struct loop *loop);
/**
 * Reads the monotonic clock again. Call it after each receive: the process may have been suspended
 * for a long time in the middle of an iteration, so the received data may be much newer than the
 * time at which the iteration began.
 */
void loop_update_time(struct loop *loop);
/** Returns a random number from 0 to limit - 1, for jitter. The sequence of a loop with a fake
 * clock is always the same.
 * @param limit 1 to 2^31 - 1 */
int64_t loop_random_below(struct loop *loop, int64_t limit);
/** Adds to the count of operations on machines and tasks, by which tests measure how the cost of an
 * algorithm grows. */
void loop_count_operations(struct loop *loop, uint64_t operations);
/** Returns the number of operations counted so far. */
uint64_t loop_operation_count(const struct loop *loop);

/** Starts to watch a descriptor for the given EPOLL... events. */
void loop_add_io(struct loop *loop, struct loop_io *io, uint32_t events);
/** Replaces the events for which a descriptor is watched. */
void loop_modify_io(struct loop *loop, struct loop_io *io, uint32_t events);
/** Stops watching a descriptor and sets io->ready to NULL, so that events that were already polled
 * are ignored. */
void loop_remove_io(struct loop *loop, struct loop_io *io);
/** Frees memory at the end of the iteration, because events that were polled but not yet handled
 * may still point to it. */
void loop_defer_free(struct loop *loop, void *memory);

/** Initializes a timer that is not running. */
void timer_init(struct timer *timer, void (*callback)(void *arg), void *arg);
/** Starts a timer that fires once after `ms` milliseconds; a running timer is restarted. */
void timer_start(struct loop *loop, struct timer *timer, int64_t ms);
/** Stops a timer; it may already be stopped. */
void timer_stop(struct loop *loop, struct timer *timer);

/** Queues a message for an actor. The loop takes ownership of the body if `free_body` is not NULL.
 */
void actor_send(struct loop *loop, struct actor *actor, int kind, void *body,
                GDestroyNotify free_body);

/** Handles events until loop_stop is called. */
void loop_run(struct loop *loop);
/** Makes loop_run return after the current iteration. */
void loop_stop(struct loop *loop);
/** Advances a fake clock by `ms` milliseconds, and meanwhile fires the timers that become due and
 * delivers messages, in order. */
void loop_advance(struct loop *loop, int64_t ms);
/** Advances a fake clock as if the process had been suspended for `ms` milliseconds: timers that
 * become due meanwhile fire later. */
void loop_stall(struct loop *loop, int64_t ms);

#endif
