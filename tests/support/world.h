/* A world for tests: a fake clock, a state service of our own, and workers and a cloud that do what
 * the test scripts. Nothing here opens a socket. */
#ifndef LL_TEST_WORLD_H
#define LL_TEST_WORLD_H

#include "node.h"
#include "rules.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* What becomes of a request: answered, refused, lost before or after it was carried out, or
 * answered after two seconds. */
enum fate {
    FATE_NORMAL,
    FATE_REFUSED,
    FATE_TOO_MANY, /* 429 */
    FATE_LOST,
    FATE_ANSWER_LOST,
    FATE_HELD,
    FATE_SLOW,
    FATE_LATE /* carried out at once, answered after half a second */
};

struct world;
typedef enum fate (*fate_fn)(struct world *world, int node,
                             const struct http_client_request *request);

/* Of the world that most tests play in. */
enum { WORLD_NODES = 3, WORLD_WORKERS = 8, WORLD_MOST_NODES = 5 };

/* How large a world is, and what its settings say. */
struct world_plan {
    int nodes, workers, teams; /* teams 0: red and blue */
    double cpus, cpus_max;     /* of each team, where they are counted */
    double report_s, lease_s, cancel_s;
    double rps, write_rps, cloud_rps;
    int txn_ops, fd_limit, boot_ms;
    bool duties;   /* they are switched on */
    bool pausable; /* each node has a loop of its own, and may stand still */
    /* Limits of the state service that the settings say are to come; 0: they say nothing. */
    double next_value_kb, next_write_rps;
    int next_txn_ops;
};

/* Who is told what the state service and the cloud carry out. */
struct world_observer {
    void *ctx;
    void (*key_changed)(void *ctx, const char *key, const char *text, uint64_t mod_revision);
    void (*rented)(void *ctx, const char *request, const char *machine);
    void (*returned)(void *ctx, const char *machine);
};

struct wnet {
    struct http_client net;
    struct world *world;
    int node;
};

/* A worker as the protocol describes it, as far as tests need one. */
struct wtask {
    job_id job;
    uint32_t index;
    uint64_t attempt;
    char stage[16], cause[16];
    mono_time since;
    bool stored; /* it was stopped, and what it had done is saved */
};

struct worker {
    char id[16], addr[24], type_name[16], zone[8];
    bool spot, up, silent;
    mono_time rented; /* or begun otherwise */
    bool deaf;        /* its reports arrive; answers and commands do not reach it */
    mono_time quiet_until;
    uint64_t session, sequence, token;
    double reclaim_notice_s; /* < 0: no notice */
    GArray *tasks;           /* struct wtask */
    GPtrArray *said;         /* its reports, as they went out */
    int node;                /* that it reports to */
    int only;                /* the only node that it reaches and is reached by; -1: all */
    int starts;
    mono_time lease_from;
    struct timer report;
    struct world *world;
};

struct user_answer {
    int status;
    char body[512], fields[64];
    int64_t took_ms;
};

struct world {
    struct loop *loop;
    struct world_plan plan;
    struct settings *settings[WORLD_MOST_NODES];
    struct wnet nets[WORLD_MOST_NODES];
    struct policy *policy;
    struct feature_set features; /* of nodes that are started from now on */
    struct node *nodes[WORLD_MOST_NODES];
    /* With plan.pausable: */
    struct loop *node_loops[WORLD_MOST_NODES];
    bool paused[WORLD_MOST_NODES];
    bool pause_after_send[WORLD_MOST_NODES]; /* the node stands still once its request has left */
    GPtrArray *inboxes[WORLD_MOST_NODES];    /* struct flight: what waits for it to go on */
    void (*each_step)(struct world *world);  /* every millisecond; NULL: nothing */
    void *step_ctx;
    const struct world_observer *observer; /* NULL: nobody */
    int list_lag_ms;                       /* new machines are not listed before */
    int process[WORLD_MOST_NODES]; /* counts a node's processes: an address may be used again */
    fate_fn fate;
    bool state_down;
    bool refused[WORLD_MOST_NODES]; /* the state service refuses this node alone */
    int lone;                       /* the node that world_only_workers cuts off */
    const char *lost; /* a kind of message between nodes, all of which are lost; NULL: none */
    /* What arrives of an answer between nodes; the text belongs to the caller. NULL: as it is. */
    char *(*between)(struct world *w, int node, const char *path, const char *body);
    double state_value_kb; /* what the state service allows: more fails the test */
    int state_txn_ops;
    int too_old;                /* watches that are answered 410 */
    guint most_news;            /* in one answer to a watch */
    bool old[WORLD_MOST_NODES]; /* what the node says of its version is not heard */
    int deaf_node;              /* neither hears workers nor reaches them; -1: none */
    /* state service */
    GTree *keys;
    uint64_t ledger, next_lease;
    GHashTable *leases;
    GArray *events, *watches;
    struct timer tick;
    int writes;
    GPtrArray *held; /* requests that a cut holds back */
    /* cloud */
    bool cloud_down;
    int capacity, rented, returned;
    GPtrArray *charters;
    struct worker *workers;   /* plan.workers of them */
    GHashTable *worker_addrs; /* address -> struct worker */
    GHashTable *last_on;      /* task -> struct worker that started it last */
    const char *types;        /* what the cloud says of them */
    bool play_gangs;          /* workers play gangs as the protocol describes them */
    GHashTable *gangs;        /* job -> struct wgang, of those submitted since */
    /* replies to what the test asked */
    struct rules *rules;
    struct http_responder replier;
    GHashTable *answers;
    uint64_t next_conn;
};

/* The plan of the world that most tests play in. */
struct world_plan world_usual(void);
struct world *world_new(void);
struct world *world_new_sized(const struct world_plan *plan);
void world_free(struct world *world);
/* Starts and kills the process of a node. */
void world_start(struct world *world, int node);
void world_kill(struct world *world, int node);
void world_run(struct world *world, int64_t ms);
/* With plan.pausable: the node's process stands still, in the middle of a turn if it is just
 * sending, and goes on later. What it sends or is sent waits meanwhile. */
void world_pause(struct world *world, int node);
void world_resume(struct world *world, int node);
/* A machine that nobody rented: it is just there. */
struct worker *world_worker(struct world *world, int i, const char *zone, bool spot);
struct worker *world_machine(struct world *world, int i, const char *type_name, const char *zone,
                             bool spot);
/* Writes a key of the state service by hand. */
void world_put(struct world *world, const char *key, const char *text);
/* The same for a job that no user submitted, or its end: the rules take its value for true. */
void world_put_job(struct world *world, const char *job, const char *value);
/* An array of team blue, of tasks of two processors, as if some node had accepted it then. */
void world_put_accepted(struct world *world, const char *id, int tasks, wall_time submitted);
void world_remove(struct world *world, const char *key);
const char *world_key(struct world *world, const char *key); /* its text, or NULL */
/* A task is on a machine, as some node started it that nobody sees here. */
void worker_has(struct worker *worker, const char *job, uint32_t index, uint64_t attempt);
/* From now on the state service allows no more than the plan's next limits. */
void world_limits_fall(struct world *world);
/* Carries out what was held back, late. */
void world_deliver_held(struct world *world);

/* A request from outside, by a real process, to the state service or the cloud; done may be called
 * later. */
void world_serve(struct world *world, const struct http_client_request *request,
                 http_response_callback done, void *arg);

/* A user's request at a node; runs the world until it is answered, for five seconds at most. */
struct user_answer world_ask(struct world *world, int node, const char *method, const char *path,
                             const char *body);
/* The text with one thing, which must be in it, in place of another. */
char *world_swapped(const char *text, const char *what, const char *by);
struct user_answer world_submit(struct world *world, int node, const char *id, const char *form,
                                int tasks);
char *world_job(const char *id, const char *form, int tasks, const char *team_name, double cpus,
                const char *more);

/* Tasks of a job that are on machines and have not exited. */
int world_on_machines(struct world *world, const char *job);
struct wtask *worker_task(struct worker *worker, const char *job, uint32_t index);
void worker_exit(struct worker *worker, const char *job, uint32_t index, const char *cause);
void worker_exit_all(struct world *world, const char *job, const char *cause);
void worker_report(struct worker *worker);
/* Its lease has run out: its tasks are gone. anew: it counts from the beginning again. */
void worker_new_session(struct worker *worker, bool anew);
/* A copy of an earlier report arrives at a node; nobody waits for the answer. */
void world_say_again(struct world *world, int node, const char *report);
/* With play_gangs: how often a gang of that job has begun, and how often one saved as a whole. */
int world_gang_begun(struct world *world, const char *job);
int world_gang_saved(struct world *world, const char *job);
/* How many starts all workers have seen. */
int world_starts(struct world *world);
/* How many tasks were ever on two machines at once. */
bool world_ran_twice(struct world *world);
struct node *world_leader(struct world *world);
int world_leader_index(struct world *world);
/* Cancels a job at a node; the status that its user gets. */
int world_cancel(struct world *world, int node, const char *job);
/* A fate: the node w->lone and the others do not reach one another, nor it the state service. */
enum fate world_only_workers(struct world *world, int node,
                             const struct http_client_request *request);
void world_expect_stage(struct world *world, int node, const char *job, const char *stage);

/* A look whether a job waits in vain: every second, and only while there are no troubles. */
void world_look(struct world *world);
/* Ends all troubles, runs the world, and looks: nothing waits in vain, all nodes know all jobs. */
void world_settle(struct world *world, int64_t ms);
/* Frees the world, and fails the test if a rule was broken in it. */
void world_end(struct world *world);

/* A test of whole nodes: begins with a world in which all nodes are up, and ends with a look
 * whether any rule was broken. */
int world_open(void **state);
int world_close(void **state);
#define WORLD_TEST(f) cmocka_unit_test_setup_teardown(f, world_open, world_close)
/* The same; in the end all troubles are over, and the world settles. */
int world_close_settled(void **state);
#define WORLD_TEST_SETTLED(f) cmocka_unit_test_setup_teardown(f, world_open, world_close_settled)

#endif
