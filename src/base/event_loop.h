/**
 * The event loop: epoll, timers, and the mailbox of the actors. Single-threaded.
 *
 * An actor owns its state. Others reach it by messages, which it receives later, from the loop,
 * never within the sender's call. Time is the loop's: with a fake clock it moves by loop_advance
 * only, so that everything on top of the loop is tested without waiting.
 */
#ifndef LL_EVENT_LOOP_H
#define LL_EVENT_LOOP_H

#include "types.h"

struct loop;

/** A message in an actor's mailbox. */
struct message {
    /** One of the MSG_... constants of the sender's header. */
    int kind;
    void *body;
    /** Called after the message was received; NULL: the body is not freed. */
    GDestroyNotify free_body;
};

/** The first member of what receives messages. */
struct actor {
    const char *name;
    void (*receive)(struct actor *self, const struct message *message);
};

/** A file descriptor with the function that is called when it is ready; events are EPOLL... bits.
 */
struct loop_io {
    int fd;
    void (*ready)(struct loop_io *io, uint32_t events);
};

/** A callback at a time; embed it in what it belongs to. */
struct timer {
    void (*callback)(void *arg);
    void *arg;
    mono_time fires_at;
    /** NULL: not running. */
    GSequenceIter *queue_position;
    /** Timers for the same moment fire in the order in which they were started. */
    uint64_t sequence;
};

struct loop *loop_new(void);
/** A loop with a fake clock, which moves by loop_advance and loop_stall only. */
struct loop *loop_new_fake(void);
/** Frees the loop and undelivered messages; timers and descriptors must be gone. */
void loop_free(struct loop *loop);

/** The moment at which the present turn of the loop began, or of the last loop_update_time. */
mono_time loop_now(const struct loop *loop);
wall_time loop_wall_time(const struct loop *loop);
/**
 * Reads the clock again. The process may be suspended for long in the middle of a turn, and what it
 * receives then may be newer than the turn; so call this after each receive.
 */
void loop_update_time(struct loop *loop);
/** Counts operations on machines and tasks, so that tests can measure how work grows. */
void loop_count_operations(struct loop *loop, uint64_t operations);
uint64_t loop_operation_count(const struct loop *loop);

void loop_add_io(struct loop *loop, struct loop_io *io, uint32_t events);
void loop_modify_io(struct loop *loop, struct loop_io *io, uint32_t events);
/** io->ready is NULL afterwards. */
void loop_remove_io(struct loop *loop, struct loop_io *io);
/** Frees memory at the end of the turn: an event that is not handled yet may point to it. */
void loop_defer_free(struct loop *loop, void *memory);

void timer_init(struct timer *timer, void (*callback)(void *arg), void *arg);
/** Starts a timer that fires once, or restarts it. */
void timer_start(struct loop *loop, struct timer *timer, int64_t ms);
void timer_stop(struct loop *loop, struct timer *timer);

/** Queues a message, and takes ownership of the body if there is a function to free it. */
void actor_send(struct loop *loop, struct actor *actor, int kind, void *body,
                GDestroyNotify free_body);

/** Runs until loop_stop. */
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
/** Fake clock: advances the time, fires timers and delivers messages in their order. */
void loop_advance(struct loop *loop, int64_t ms);
/** Fake clock: the process is suspended for that time; what is due meanwhile fires afterwards. */
void loop_stall(struct loop *loop, int64_t ms);

#endif
