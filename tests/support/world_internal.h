/** Declarations shared by the files of the simulated cluster. Tests include world.h only. */
#ifndef LL_TEST_WORLD_INTERNAL_H
#define LL_TEST_WORLD_INTERNAL_H

#include "world.h"

/**
 * LATENCY_MS: network latency in each direction. REQUEST_DELAY_MS and RESPONSE_DELAY_MS: delays of
 * FAULT_REQUEST_DELAYED and FAULT_RESPONSE_DELAYED. TICK_MS: interval at which leases, watches and
 * gangs are processed. RETAINED_EVENTS: how many events the state service retains for watches.
 */
enum {
    LATENCY_MS = 3,
    REQUEST_DELAY_MS = 2000,
    RESPONSE_DELAY_MS = 500,
    TICK_MS = 10,
    RETAINED_EVENTS = 10000
};

/** The value of a key of the state service, with the revision of its last write and its lease. */
struct kv_entry {
    char *value;
    /** lease 0: the key is bound to no lease. */
    uint64_t mod_revision, lease;
};

/** A change of a key that watches report. value NULL: the key was removed. */
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

/** A request of a node or of a real process that has not been answered yet. */
struct pending_request {
    struct world *world;
    int node;
    /** Incarnation of the node that sent the request; 0: nobody waits for the response. */
    int sender_incarnation;
    mono_time sent_at;
    char *address, *method, *path, *body;
    http_response_callback callback;
    void *callback_arg;
    struct timer timer;
    /** A real process sent the request and waits for the response. */
    bool from_external_process;
    enum request_fault fault;
    /** A response that is delayed or deferred. */
    int response_status;
    char *response_body;
    int timeout_ms;
    /** The revision after which a watch requests changes. */
    uint64_t watch_revision;
    /** The step at which the request continues once a paused node resumes. */
    enum {
        DEFERRED_NOT,
        DEFERRED_UNTIL_SENT,
        DEFERRED_UNTIL_DELIVERED,
        DEFERRED_UNTIL_ANSWERED
    } deferred_until;
    /** The time at which a watch is answered even without changes. */
    mono_time watch_deadline;
};

/** A connection of a user or a worker to a node. */
struct world_connection {
    /** NULL: the connection is a user's. */
    struct worker *worker;
    /** The user's request. */
    const char *method, *path, *body;
    /** The response does not reach the worker. */
    bool response_lost;
    mono_time sent_at;
    uint64_t session;
    struct user_response *response;
};

/* ---- world_net.c ---- */

/** Frees a request. */
void pending_request_free(struct pending_request *pending);
/** Completes a request with a response, unless its sender is gone, and frees it. */
void pending_request_complete(struct pending_request *pending, int status, const char *body);
/** Handles a request according to its fault, on its arrival; a timer callback. */
void pending_request_arrive(void *arg);
/** Implements http_client.request for the nodes. */
void node_http_client_request(struct http_client *http_client,
                              const struct http_client_request *request,
                              http_response_callback done, void *arg);
/** Responds with a string: at once, later, or not at all, according to the fault of the request. */
void pending_request_respond(struct pending_request *pending, int status, const char *text);
/** Responds with a JSON object, of which it takes ownership. */
void pending_request_respond_json(struct pending_request *pending, int status, json_object *object);
/** Passes a request to the node, worker or fake service to which it is addressed. */
void pending_request_dispatch(struct pending_request *pending);

/* ---- world_state.c ---- */

/** Frees a struct kv_entry; a GDestroyNotify. */
void kv_entry_free(gpointer data);
/** Frees the members of a struct kv_event; a GDestroyNotify. */
void kv_event_clear(gpointer data);
/** Answers the watches that have new events or have reached their deadline. */
void serve_watches(struct world *world);
/** Returns a copy of a field of a path's query, or NULL if the field is missing. */
char *copy_query_field(const char *path, const char *field);
/** Serves a request to the state service. */
void serve_state(struct pending_request *pending);
/** Removes the expired leases and the keys that are bound to them. */
void expire_leases(struct world *world);

/* ---- world_worker.c ---- */

/** Describes the machine of a worker for the rules. */
struct rules_machine worker_describe_machine(const struct worker *worker);
/** Removes all tasks of a worker. */
void worker_drop_tasks(struct worker *worker);
/** Serves a request to a worker: a command or a status query. */
void serve_worker(struct pending_request *pending, struct worker *worker);
/** Registers a new connection of a user or a worker to a node. */
struct world_connection *world_connection_new(struct world *world, connection_ref *ref);
/** Delivers a request of a user or a worker to a node. */
void node_deliver_request(struct world *world, int node, const char *from, connection_ref ref,
                          const struct http_request *request);
/** Implements http_responder.respond for the world: passes a response on to a user or a worker. */
void world_respond(struct http_responder *self, connection_ref to, int status, const char *fields,
                   const char *body, size_t len);
/** Set once a task has been on two machines at the same time. */
extern bool world_duplicate_task_seen;

/** Keeps a request to a worker, which world_deliver_held_requests() delivers. */
void hold_worker_request(const struct worker *worker, const char *path, const char *body);

/* ---- world_gang.c ---- */

/** Frees a struct simulated_gang; a GDestroyNotify. */
void simulated_gang_free(gpointer data);
/** Returns the gang of a job, or NULL. */
struct simulated_gang *simulated_gang_get(struct world *world, const char *job);
/** Registers a submitted job if it is a gang. */
void simulated_gang_add(struct world *world, const char *body);
/** Returns whether a task that is asked to stop saves its progress first. */
bool simulated_gang_begin_save(struct world *world, struct worker_task *task, double grace_s);
/**
 * Advances all gangs: the tasks of a gang start to run together and save their progress together.
 */
void simulated_gangs_step(struct world *world);

/* ---- world_cloud.c ---- */

/** Serves a request to the cloud. */
void serve_cloud(struct pending_request *pending);
/** The machine types of the cloud, unless a test sets others. */
extern const char world_default_machine_types[];

#endif
