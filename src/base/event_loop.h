/* The event loop: epoll, timers, and the mailboxes of the actors.
 *
 * An actor owns its state. Others reach it by a message, which it receives later, from the loop,
 * never inside the sender's call. Time is the loop's: with a fake clock it moves by loop_advance
 * only, and everything built on the loop can be tested without waiting. */
#ifndef LL_LOOP_H
#define LL_LOOP_H

#include "types.h"

struct loop;

struct message {
    int kind;
    void *body;
    GDestroyNotify free_body;
};

struct actor {
    const char *name;
    void (*receive)(struct actor *self, const struct message *m);
};

struct loop_io {
    int fd;
    void (*ready)(struct loop_io *io, uint32_t events);
};

struct timer {
    void (*callback)(void *arg);
    void *arg;
    mono_time fires_at;
    GSequenceIter *queue_position; /* NULL: not running */
    uint64_t sequence;
};

struct loop *loop_new(void);
struct loop *loop_new_fake(void);
void loop_free(struct loop *loop);

mono_time loop_now(const struct loop *loop);
wall_time loop_wall_time(const struct loop *loop);
/* Reads the clock again. A process may stand still for long in the middle of a turn, and what it
 * reads then may be newer than the moment the turn began: whoever reads calls this afterwards. */
void loop_refresh(struct loop *loop);
/* Counts looks at machines and tasks, so that tests can tell how work grows. */
void loop_add_work(struct loop *loop, uint64_t operations);
uint64_t loop_work_count(const struct loop *loop);

void loop_add_io(struct loop *loop, struct loop_io *io, uint32_t events);
void loop_modify_io(struct loop *loop, struct loop_io *io, uint32_t events);
void loop_remove_io(struct loop *loop, struct loop_io *io);
/* Frees once the events at hand are handled: one of them may still point to it. */
void loop_defer_free(struct loop *loop, void *memory);

void timer_init(struct timer *timer, void (*callback)(void *arg), void *arg);
void timer_start(struct loop *loop, struct timer *timer, int64_t ms);
void timer_stop(struct loop *loop, struct timer *timer);

void actor_send(struct loop *loop, struct actor *actor, int kind, void *body,
                GDestroyNotify free_body);

void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
/* Fake clock: lets the time pass, firing timers and delivering messages in their order. */
void loop_advance(struct loop *loop, int64_t ms);
/* Fake clock: the process stands still for that time; what is due meanwhile fires afterwards. */
void loop_stall(struct loop *loop, int64_t ms);

#endif
