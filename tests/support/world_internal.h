/** What the files of the test world share; tests include world.h only. */
#ifndef LL_TEST_WORLD_INTERNAL_H
#define LL_TEST_WORLD_INTERNAL_H

#include "world.h"

/** LATENCY_MS: of each direction. REQUEST_DELAY_MS, RESPONSE_DELAY_MS: of FAULT_REQUEST_DELAYED and
 * FAULT_RESPONSE_DELAYED. RETAINED_EVENTS: for watches. */
enum {
    LATENCY_MS = 3,
    REQUEST_DELAY_MS = 2000,
    RESPONSE_DELAY_MS = 500,
    TICK_MS = 10,
    RETAINED_EVENTS = 10000
};

/** A key of the state service: its value, the revision of its last write and its lease (0: none).
 */
struct kv_entry {
    char *value;
    uint64_t mod_revision, lease;
};

/** A change that watches report. text NULL: the key was removed. */
struct kv_event {
    char *key, *value;
    uint64_t mod_revision;
};

/** A lease of the state service. */
struct kv_lease {
    uint64_t id;
    int64_t ttl_ms;
    mono_time expires_at;
};

/** A request of a node, until it is answered. */
struct pending_request {
    struct world *world;
    int node;
    /** The process of the node that sent it; 0: nobody waits for the answer. */
    int sender_incarnation;
    mono_time sent_at;
    char *address, *method, *path, *body;
    http_response_callback callback;
    void *callback_arg;
    struct timer timer;
    /** A real process waits for the answer. */
    bool from_external_process;
    enum request_fault fault;
    /** The answer that is on its way. */
    int response_status;
    char *response_body;
    int timeout_ms;
    /** Of a watch: the revision after which changes are wanted. */
    uint64_t watch_revision;
    /** What it waits for in the inbox of a paused node. */
    enum {
        DEFERRED_NOT,
        DEFERRED_UNTIL_SENT,
        DEFERRED_UNTIL_DELIVERED,
        DEFERRED_UNTIL_ANSWERED
    } deferred_until;
    /** Of a watch: when it is answered even without changes. 0: it does not wait. */
    mono_time watch_deadline;
};

/** A connection of a user or a worker to a node. */
struct world_connection {
    /** NULL: a user. */
    struct worker *worker;
    /** The user's request. */
    const char *method, *path, *body;
    /** The answer does not arrive. */
    bool response_lost;
    mono_time sent_at;
    uint64_t session;
    struct user_response *response;
};

/* ---- world_net.c ---- */

/** Frees a request. */
void pending_request_free(struct pending_request *pending);
/** Answers a request and frees it. */
void pending_request_complete(struct pending_request *pending, int status, const char *body);
/** Timer callback: the request has arrived and is treated as its fate says. */
void pending_request_arrive(void *arg);
/** http_client.request of the nodes. */
void node_http_client_request(struct http_client *http_client,
                              const struct http_client_request *request,
                              http_response_callback done, void *arg);
/** Answers with a text, at once, late or not at all, as the fate says. */
void pending_request_respond(struct pending_request *pending, int status, const char *text);
/** The same with an object, of which it takes ownership. */
void pending_request_respond_json(struct pending_request *pending, int status, json_object *object);
/** Passes the request to the stand-in or node to which it is addressed. */
void pending_request_dispatch(struct pending_request *pending);

/* ---- world_state.c ---- */

/** GDestroyNotify of struct wkey. */
void kv_entry_free(gpointer data);
/** Frees the members of a struct wevent. */
void kv_event_clear(gpointer data);
/** Answers the watches for which something has changed or whose time is over. */
void serve_watches(struct world *world);
/** A copy of a field of a path's query; NULL when it is missing. */
char *copy_query_field(const char *path, const char *field);
/** The state service serves a request. */
void serve_state(struct pending_request *pending);
/** Removes the leases that have expired, with their keys. */
void expire_leases(struct world *world);

/* ---- world_add_worker.c ---- */

/** The machine as the rules describe it. */
struct rules_machine worker_describe_machine(const struct worker *worker);
/** Removes all tasks of the machine. */
void worker_drop_tasks(struct worker *worker);
/** A worker serves a command. */
void serve_worker(struct pending_request *pending, struct worker *worker);
/** A new connection of a user or a worker to a node. */
struct world_connection *world_connection_new(struct world *world, connection_ref *ref);
/** A request of a user or a worker arrives at a node. */
void node_deliver_request(struct world *world, int node, const char *from, connection_ref ref,
                          const struct http_request *request);
/** http_responder.reply of the world. */
void world_respond(struct http_responder *self, connection_ref to, int status, const char *fields,
                   const char *body, size_t len);
/** Whether a task was ever on two machines at once. */
extern bool world_duplicate_task_seen;

/* ---- world_gang.c ---- */

/** GDestroyNotify of struct wgang. */
void simulated_gang_free(gpointer data);
/** The gang of a job, or NULL. */
struct simulated_gang *simulated_gang_get(struct world *world, const char *job);
/** Remembers a submitted job if it is a gang. */
void simulated_gang_add(struct world *world, const char *body);
/** Whether a task that is told to stop saves its progress first. */
bool simulated_gang_begin_save(struct world *world, struct worker_task *task, double grace_s);
/** Advances all gangs: they begin, and save, as a whole. */
void simulated_gangs_step(struct world *world);

/* ---- world_cloud.c ---- */

/** The cloud serves a request. */
void serve_cloud(struct pending_request *pending);
/** The machine types, unless a test sets others. */
extern const char world_default_machine_types[];

#endif
