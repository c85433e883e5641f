/** The test world: whole nodes on a simulated clock, with stand-ins of the state service, the cloud
 * and the agents ("workers") on machines, which do what a test scripts. Nothing here opens a
 * socket.
 *
 * A test gets a world from WORLD_TEST, submits jobs, brings failures about, and lets time pass with
 * world_run(). The rules of the protocol (rules.h) are judged throughout and fail the test at its
 * end. */
#ifndef LL_TEST_WORLD_H
#define LL_TEST_WORLD_H

#include "node.h"
#include "rules.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/** What becomes of a request of a node. */
enum request_fault {
    FAULT_NONE,
    /** Answered 503, not carried out. */
    FAULT_UNAVAILABLE,
    /** Answered 429, not carried out. */
    FAULT_RATE_LIMITED,
    /** Not carried out; the node's request times out. */
    FAULT_REQUEST_LOST,
    /** Carried out; the node's request times out. */
    FAULT_RESPONSE_LOST,
    /** Kept until world_deliver_held_requests() carries it out; the node's request times out. */
    FAULT_REQUEST_HELD,
    /** Arrives after two seconds. */
    FAULT_REQUEST_DELAYED,
    /** Carried out at once, answered after half a second. */
    FAULT_RESPONSE_DELAYED
};

struct world;
/** Decides on each request of a node, as it is sent. */
typedef enum request_fault (*request_fault_fn)(struct world *world, int node,
                                               const struct http_client_request *request);

/** Size of the world in which most tests run, and the most nodes that any has. */
enum { WORLD_NODES = 3, WORLD_WORKERS = 8, WORLD_MAX_NODES = 5 };

/** How large a world is, and what its settings say. */
struct world_config {
    /** teams 0: the two teams red and blue. */
    int node_count, worker_count, team_count;
    /** Reserved and maximal processors of each team, if teams is not 0. */
    double team_cpus, team_cpus_max;
    double report_s, lease_s, cancel_s;
    double rps, write_rps, cloud_rps;
    int txn_ops, fd_limit, boot_ms;
    /** Singleton roles are enabled. */
    bool singleton_roles;
    /** Each node has an event loop of its own and can be paused. */
    bool pausable;
    /** Limits of the state service that the settings announce; 0: none is announced. */
    double next_value_kb, next_write_rps;
    int next_txn_ops;
};

/** Receives what the state service and the cloud carry out. */
struct world_observer {
    void *ctx;
    void (*key_changed)(void *ctx, const char *key, const char *text, uint64_t mod_revision);
    void (*rented)(void *ctx, const char *request, const char *machine);
    void (*returned)(void *ctx, const char *machine);
};

/** The HTTP client of a node. */
struct node_http_client {
    struct http_client base;
    struct world *world;
    int node;
};

/** A task on a worker. */
struct worker_task {
    job_id job;
    uint32_t index;
    uint64_t attempt;
    char stage[16], cause[16];
    mono_time stage_since;
    /** It was stopped, and its progress is saved. */
    bool progress_saved;
};

/** A machine with the agent on it, which follows the protocol as far as tests need it. */
struct worker {
    char id[16], address[24], type_name[16], zone[8];
    /** silent: it neither sends nor receives anything. */
    bool spot, up, unreachable;
    /** When it was rented, or came up otherwise. */
    mono_time rented_at;
    /** Its heartbeats arrive; answers and commands do not reach it. */
    bool inbound_blocked;
    /** Until then it sends no heartbeats; commands reach it. */
    mono_time heartbeats_paused_until;
    uint64_t session, sequence, token;
    /** Below 0: the cloud has given no notice that it reclaims the machine. */
    double reclaim_notice_s;
    /** struct wtask */
    GArray *tasks;
    /** Its heartbeats as they were sent, oldest first. */
    GPtrArray *sent_heartbeats;
    /** The node to which it reports. */
    int node;
    /** The only node that it reaches and is reached by; -1: all. */
    int reachable_node;
    int start_count;
    mono_time lease_start;
    struct timer report_timer;
    struct world *world;
};

/** The answer to a user's request. status 0: none arrived. */
struct user_response {
    int status;
    char body[512], headers[64];
    int64_t latency_ms;
};

/** The state of a world. Tests set the fields that bring failures about and read the counters. */
struct world {
    struct loop *loop;
    struct world_config config;
    struct settings *settings[WORLD_MAX_NODES];
    struct node_http_client http_clients[WORLD_MAX_NODES];
    struct policy *policy;
    /** Of nodes that are started from now on. */
    struct feature_set features;
    /** NULL: the node's process is not running. */
    struct node *nodes[WORLD_MAX_NODES];
    /** These three are used with plan.pausable. */
    struct loop *node_loops[WORLD_MAX_NODES];
    bool paused[WORLD_MAX_NODES];
    /** The node is paused once its next request has left. */
    bool pause_after_send[WORLD_MAX_NODES];
    /** struct flight: what waits until a paused node resumes. */
    GPtrArray *deferred_requests[WORLD_MAX_NODES];
    /** Called every millisecond; NULL: nothing. */
    void (*each_step)(struct world *world);
    void *step_ctx;
    /** NULL: nobody observes. */
    const struct world_observer *observer;
    /** For that long new machines are missing from the cloud's list. */
    int cloud_list_lag_ms;
    /** Counts a node's processes, as an address may be used again. */
    int incarnation[WORLD_MAX_NODES];
    /** NULL: all requests are FAULT_NONE. */
    request_fault_fn inject_fault;
    /** The state service serves nobody. */
    bool state_down;
    /** The state service refuses this node alone. */
    bool state_unavailable_to[WORLD_MAX_NODES];
    /** The node that world_isolate_node() cuts off. */
    int isolated_node;
    /** A kind of message between nodes, all of which are lost; NULL: none. */
    const char *lost_rpc_suffix;
    /** Replaces an answer between nodes; the text belongs to the caller. NULL: as it is. */
    char *(*rewrite_rpc_response)(struct world *w, int node, const char *path, const char *body);
    /** What the state service allows; more fails the test. */
    double state_max_value_kb;
    int state_max_txn_ops;
    /** So many watches are answered 410. */
    int watches_to_reject;
    /** The most events in one answer to a watch. */
    guint max_watch_events_seen;
    /** What the node writes about its version is dropped, as if it were of the old one. */
    bool runs_old_version[WORLD_MAX_NODES];
    /** A node that workers neither reach nor are reached by; -1: none. */
    int worker_isolated_node;
    /** The state service: keys, revision, leases, and events for watches. */
    GTree *keys;
    uint64_t revision, last_lease_id;
    GHashTable *leases;
    GArray *events, *watches;
    struct timer tick_timer;
    int state_write_count;
    /** Requests with FAULT_REQUEST_HELD. */
    GPtrArray *held_requests;
    /** The cloud: how many more machines it rents out, and how many it has rented and got back. */
    bool cloud_down;
    int cloud_capacity, rented_count, returned_count;
    GPtrArray *rental_requests;
    /** plan.workers of them. */
    struct worker *workers;
    /** Address -> struct worker. */
    GHashTable *workers_by_address;
    /** Task -> struct worker that started it last. */
    GHashTable *last_worker_by_task;
    /** The machine types, as the cloud describes them. */
    const char *machine_types;
    /** Workers run gangs as the protocol describes them. */
    bool simulate_gangs;
    /** Job -> struct wgang, of those submitted since. */
    GHashTable *gangs;
    /** Judges the run; see world_end(). */
    struct rules *rules;
    struct http_responder responder;
    GHashTable *connections;
    uint64_t last_connection_id;
};

/** The plan of the world in which most tests run. */
struct world_config world_default_config(void);
/** A world without running nodes, by the usual plan or by that one. */
struct world *world_new(void);
struct world *world_new_with_config(const struct world_config *config);
void world_free(struct world *world);
/** Starts the process of a node, or kills it without a shutdown. */
void world_start(struct world *world, int node);
void world_kill(struct world *world, int node);
/** Lets that much simulated time pass. */
void world_run(struct world *world, int64_t ms);
/** With plan.pausable: stops the node's process, in the middle of a callback if it is just sending,
 * and resumes it. What it sends or is sent meanwhile waits. */
void world_pause(struct world *world, int node);
void world_resume(struct world *world, int node);
/** Brings up worker i on a machine that was not rented. */
struct worker *world_add_worker(struct world *world, int i, const char *zone, bool spot);
/** The same with a machine type. */
struct worker *world_add_worker_of_type(struct world *world, int i, const char *type_name,
                                        const char *zone, bool spot);
/** Writes a key of the state service directly. */
void world_put_key(struct world *world, const char *key, const char *text);
/** The same for a job that no user submitted, or its end; the rules accept the value as true. */
void world_put_job(struct world *world, const char *job, const char *value);
/** Writes an array of team blue with two processors a task, as if a node had accepted it then. */
void world_put_accepted_job(struct world *world, const char *id, int tasks, wall_time submitted);
/** Removes a key of the state service. */
void world_remove_key(struct world *world, const char *key);
/** The value of a key, owned by the world; NULL when there is none. */
const char *world_get_key(struct world *world, const char *key);
/** Puts a task on a worker as if a node had started it earlier. */
void worker_add_running_task(struct worker *worker, const char *job, uint32_t index,
                             uint64_t attempt);
/** From now on the state service allows no more than the plan's next limits. */
void world_lower_state_limits(struct world *world);
/** Carries out the requests with FAULT_REQUEST_HELD. */
void world_deliver_held_requests(struct world *world);

/** A request of a real process to the state service or the cloud. done may be called later. */
void world_serve_external_request(struct world *world, const struct http_client_request *request,
                                  http_response_callback done, void *arg);

/** Sends a user's request to a node and runs the world until the answer, for at most five seconds.
 */
struct user_response world_send_user_request(struct world *world, int node, const char *method,
                                             const char *path, const char *body);
/** A copy of the text with by in place of what, which must occur. The caller frees it. */
char *world_replace_string(const char *text, const char *what, const char *replacement);
/** Submits a job of team blue; form is the word of the wire (sweep: array, gang, daemon: service).
 */
struct user_response world_submit(struct world *world, int node, const char *id, const char *form,
                                  int tasks);
/** The body of a submission; more is appended to its fields. The caller frees it. */
char *world_format_job(const char *id, const char *form, int tasks, const char *team_name,
                       double cpus, const char *more_fields);

/** How many tasks of a job are on machines and have not exited. */
int world_count_active_tasks(struct world *world, const char *job);
/** The task on a worker, or NULL. */
struct worker_task *worker_find_task(struct worker *worker, const char *job, uint32_t index);
/** A task exits with that cause; world_exit_tasks_of_job() does so for all tasks of the job. */
void worker_exit_task(struct worker *worker, const char *job, uint32_t index, const char *cause);
void world_exit_tasks_of_job(struct world *world, const char *job, const char *cause);
/** Sends a heartbeat now. */
void worker_send_heartbeat(struct worker *worker);
/** The worker's lease has expired: its tasks are gone and it begins the next session. anew:
 * sessions are counted from the beginning again. */
void worker_start_session(struct worker *worker, bool reset_counters);
/** A copy of an earlier heartbeat arrives at a node; nobody waits for the answer. */
void world_replay_heartbeat(struct world *world, int node, const char *heartbeat);
/** With simulated_gangs_step: how often a gang of the job has begun as a whole, and how often it
 * saved as a whole. */
int world_count_gang_starts(struct world *world, const char *job);
int world_count_gang_saves(struct world *world, const char *job);
/** How many starts of tasks all workers have seen. */
int world_count_task_starts(struct world *world);
/** Whether a task was ever on two machines at once. */
bool world_has_duplicate_task(struct world *world);
/** The node that leads, or NULL; its index, or -1. */
struct node *world_get_leader(struct world *world);
int world_get_leader_index(struct world *world);
/** Cancels a job at a node. Returns the status of the answer. */
int world_cancel_job(struct world *world, int node, const char *job);
/** A request_fault_fn: the node world->lone is cut off from the other nodes and from the state
 * service; workers and users still reach it. */
enum request_fault world_isolate_node(struct world *world, int node,
                                      const struct http_client_request *request);
/** Fails unless a node answers that the job is in that stage. */
void world_expect_stage(struct world *world, int node, const char *job, const char *stage);

/** Checks whether a job waits although it could run. To be called every second, and only without
 * failures. */
void world_check_progress(struct world *world);
/** Ends all failures and runs the world; fails when a job waits in vain or a node does not know a
 * job. */
void world_settle(struct world *world, int64_t ms);
/** Frees the world; fails the test when a rule was broken in it. */
void world_end(struct world *world);

/** cmocka setup and teardown of WORLD_TEST. */
int world_setup(void **state);
int world_teardown(void **state);
/** A test of whole nodes: it begins with all nodes up, and ends with world_end(). */
#define WORLD_TEST(f) cmocka_unit_test_setup_teardown(f, world_setup, world_teardown)
/** The same with world_settle() before the end. */
int world_teardown_settled(void **state);
#define WORLD_TEST_SETTLED(f)                                                                      \
    cmocka_unit_test_setup_teardown(f, world_setup, world_teardown_settled)

#endif
