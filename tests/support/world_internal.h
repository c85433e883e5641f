/** What the files of the test world share; tests include world.h only. */
#ifndef LL_TEST_WORLD_INTERNAL_H
#define LL_TEST_WORLD_INTERNAL_H

#include "world.h"

/** LATENCY_MS: of each direction. SLOW_MS, LATE_MS: of FATE_SLOW and FATE_LATE. KEPT_EVENTS: for
 * watches. */
enum { LATENCY_MS = 3, SLOW_MS = 2000, LATE_MS = 500, TICK_MS = 10, KEPT_EVENTS = 10000 };

/** A key of the state service: its value, the revision of its last write and its lease (0: none).
 */
struct wkey {
    char *text;
    uint64_t stamp, lease;
};

/** A change that watches report. text NULL: the key was removed. */
struct wevent {
    char *key, *text;
    uint64_t rev;
};

/** A lease of the state service. */
struct wlease {
    uint64_t id;
    int64_t ttl_ms;
    mono_time end;
};

/** A request of a node, until it is answered. */
struct flight {
    struct world *world;
    int node;
    /** The process of the node that sent it; 0: nobody waits for the answer. */
    int process;
    mono_time sent;
    char *addr, *method, *path, *body;
    http_response_callback done;
    void *arg;
    struct timer timer;
    /** A real process waits for the answer. */
    bool outside;
    enum fate fate;
    /** The answer that is on its way. */
    int late_status;
    char *late_text;
    int timeout_ms;
    /** Of a watch: the revision after which changes are wanted. */
    uint64_t from;
    /** What it waits for in the inbox of a paused node. */
    enum { WAITS_NOT, WAITS_TO_LEAVE, WAITS_TO_ARRIVE, WAITS_AS_ANSWER } waits;
    /** Of a watch: when it is answered even without changes. 0: it does not wait. */
    mono_time watch_end;
};

/** A connection of a user or a worker to a node. */
struct wconn {
    /** NULL: a user. */
    struct worker *worker;
    /** The user's request. */
    const char *method, *path, *body;
    /** The answer does not arrive. */
    bool deaf;
    mono_time sent;
    uint64_t session;
    struct user_answer *answer;
};

/* ---- world_net.c ---- */

/** Frees a request. */
void flight_free(struct flight *flight);
/** Answers a request and frees it. */
void flight_answer(struct flight *flight, int status, const char *body);
/** Timer callback: the request has arrived and is treated as its fate says. */
void arrived(void *arg);
/** http_client.request of the nodes. */
void net_request_fn(struct http_client *http_client, const struct http_client_request *request,
                    http_response_callback done, void *arg);
/** Answers with a text, at once, late or not at all, as the fate says. */
void flight_text(struct flight *flight, int status, const char *text);
/** The same with an object, of which it takes ownership. */
void flight_result(struct flight *flight, int status, json_object *object);
/** Passes the request to the stand-in or node to which it is addressed. */
void carry_out(struct flight *flight);

/* ---- world_state.c ---- */

/** GDestroyNotify of struct wkey. */
void wkey_free(gpointer q);
/** Frees the members of a struct wevent. */
void event_clear(gpointer q);
/** Answers the watches for which something has changed or whose time is over. */
void serve_watches(struct world *world);
/** A copy of a field of a path's query; NULL when it is missing. */
char *query_text(const char *path, const char *field);
/** The state service serves a request. */
void serve_state(struct flight *flight);
/** Removes the leases that have expired, with their keys. */
void end_leases(struct world *world);

/* ---- world_worker.c ---- */

/** The machine as the rules describe it. */
struct rules_machine machine_of(const struct worker *worker);
/** Removes all tasks of the machine. */
void worker_loses_tasks(struct worker *worker);
/** A worker serves a command. */
void serve_worker(struct flight *flight, struct worker *worker);
/** A new connection of a user or a worker to a node. */
struct wconn *conn_new(struct world *world, connection_ref *ref);
/** A request of a user or a worker arrives at a node. */
void node_receives(struct world *world, int node, const char *from, connection_ref ref,
                   const struct http_request *request);
/** http_responder.reply of the world. */
void world_reply(struct http_responder *self, connection_ref to, int status, const char *fields,
                 const char *body, size_t len);
/** Whether a task was ever on two machines at once. */
extern bool world_task_twice;

/* ---- world_gang.c ---- */

/** GDestroyNotify of struct wgang. */
void gang_free(gpointer q);
/** The gang of a job, or NULL. */
struct wgang *gang_of(struct world *world, const char *job);
/** Remembers a submitted job if it is a gang. */
void gang_submitted(struct world *world, const char *body);
/** Whether a task that is told to stop saves its progress first. */
bool gang_saves(struct world *world, struct wtask *wtask, double grace_s);
/** Advances all gangs: they begin, and save, as a whole. */
void play_gangs(struct world *world);

/* ---- world_cloud.c ---- */

/** The cloud serves a request. */
void serve_cloud(struct flight *flight);
/** The machine types, unless a test sets others. */
extern const char world_types_text[];

#endif
