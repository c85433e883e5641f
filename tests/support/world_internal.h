/* What the modules of the test world share; tests include world.h only. */
#ifndef LL_TEST_WORLD_INTERNAL_H
#define LL_TEST_WORLD_INTERNAL_H

#include "world.h"

enum { LATENCY_MS = 3, SLOW_MS = 2000, LATE_MS = 500, TICK_MS = 10, KEPT_EVENTS = 10000 };

struct wkey {
    char *text;
    uint64_t stamp, lease;
};

struct wevent {
    char *key, *text; /* text NULL: removed */
    uint64_t rev;
};

struct wlease {
    uint64_t id;
    int64_t ttl_ms;
    mono_time end;
};

/* A request on its way. */
struct flight {
    struct world *world;
    int node;
    int process; /* of the node that asked; 0: nobody waits */
    mono_time sent;
    char *addr, *method, *path, *body;
    http_response_callback done;
    void *arg;
    struct timer timer;
    bool outside; /* a real process waits for the answer */
    enum fate fate;
    int late_status; /* of the answer that is on its way */
    char *late_text;
    int timeout_ms;
    uint64_t from;                                                              /* of a watch */
    enum { WAITS_NOT, WAITS_TO_LEAVE, WAITS_TO_ARRIVE, WAITS_AS_ANSWER } waits; /* in an inbox */
    mono_time watch_end; /* 0: not a watch that waits */
};

struct wconn {
    struct worker *worker;            /* NULL: a user */
    const char *method, *path, *body; /* what the user asks */
    bool deaf;                        /* the answer does not arrive */
    mono_time sent;
    uint64_t session;
    struct user_answer *answer;
};

/* ---- world_net.c ---- */

/* Frees a request. */
void flight_free(struct flight *flight);
/* Answers a request, and frees it. */
void flight_answer(struct flight *flight, int status, const char *body);
/* Timer's callback: the request is at the other side; what becomes of it is its fate. */
void arrived(void *arg);
/* net.request of a node of the world. */
void net_request_fn(struct http_client *http_client, const struct http_client_request *request,
                    http_response_callback done, void *arg);
/* Answers with a text, as its fate has it. */
void flight_text(struct flight *flight, int status, const char *text);
/* The same with an object, which it takes. */
void flight_result(struct flight *flight, int status, json_object *object);
/* The other side does what it is asked. */
void carry_out(struct flight *flight);

/* ---- world_state.c ---- */

/* GDestroyNotify of struct wkey. */
void wkey_free(gpointer q);
/* Frees what a struct wevent holds. */
void event_clear(gpointer q);
/* Answers the watches for which something has changed. */
void serve_watches(struct world *world);
/* A field of a path's query, a new text; NULL: it is not there. */
char *query_text(const char *path, const char *field);
/* The state service serves a request. */
void serve_state(struct flight *flight);
/* Leases end that were not renewed in time. */
void end_leases(struct world *world);

/* ---- world_worker.c ---- */

/* The machine as the rules know it. */
struct rules_machine machine_of(const struct worker *worker);
/* All tasks of the machine are gone. */
void worker_loses_tasks(struct worker *worker);
/* A worker serves a command. */
void serve_worker(struct flight *flight, struct worker *worker);
/* Makes a connection of a user or a worker to a node. */
struct wconn *conn_new(struct world *world, connection_ref *ref);
/* A request of a user or a worker arrives at a node. */
void node_receives(struct world *world, int node, const char *from, connection_ref ref,
                   const struct http_request *request);
/* http_responder.reply of the world. */
void world_reply(struct http_responder *self, connection_ref to, int status, const char *fields,
                 const char *body, size_t len);
/* Whether a task was ever on two machines at once. */
extern bool world_task_twice;

/* ---- world_gang.c ---- */

/* GDestroyNotify of struct wgang. */
void gang_free(gpointer q);
/* The gang of a job, or NULL. */
struct wgang *gang_of(struct world *world, const char *job);
/* Notes a job that is submitted, if it is a gang. */
void gang_submitted(struct world *world, const char *body);
/* Whether a task that is told to stop saves first. */
bool gang_saves(struct world *world, struct wtask *wtask, double grace_s);
/* What gangs do by themselves. */
void play_gangs(struct world *world);

/* ---- world_cloud.c ---- */

/* The cloud serves a request. */
void serve_cloud(struct flight *flight);
/* The machine types, unless the test has others. */
extern const char world_types_text[];

#endif
