/** Scenarios in which holders of singleton roles are paused, killed or cut off. They are judged by
 * what the state service and the cloud carried out (duty_history.h), and by the order of closing a
 * machine and recording its return. */
#ifndef LL_TEST_ROLE_SCENARIO_H
#define LL_TEST_ROLE_SCENARIO_H

#include "duty_history.h"
#include "world.h"

/** Machines of the cloud, and how many of the three nodes are paused at once at most. */
enum { CLOUD_MACHINES = 24, MAX_PAUSED_NODES = 2 };

/** A step at which the holder is paused, once: the first request with that path that contains the
 * text (NULL: any). */
struct pause_point {
    const char *path, *body_substring;
    /** Paused after the request was sent, not before. */
    bool after_send;
    int64_t pause_ms;
    /** The next holder is paused at the same step too. */
    bool successor_too;
    enum request_fault fault;
};

/** A scenario: a world with singleton roles, its judges, and the failures to be played. */
struct role_scenario {
    struct world *world;
    struct duty_history *history;
    struct world_observer observer;
    GRand *random;
    /** Machine -> the shard map under which its owner last closed it. */
    GHashTable *closed_under_map;
    /** An intent to return that was recorded under another map; NULL: none. */
    char *closing_violation;
    mono_time resume_at[WORLD_MAX_NODES], next_kill, start_at[WORLD_MAX_NODES];
    mono_time deliver_held_at, raise_epoch_at;
    /** Of the cloud, at any moment. */
    int cloud_capacity;
    unsigned pause_count, job_count;
    /** Random failures are on (role_failures.h). */
    bool inject_failures;
    /** NULL: none. */
    const struct pause_point *pause_point;
    int pause_points_reached;
    /** Requests to rent and to return, by node. */
    int cloud_requests[WORLD_MAX_NODES];
};

/** A world with singleton roles whose nodes can be paused. */
struct world_config role_scenario_config(void);

/** The scenario that a world belongs to. */
struct role_scenario *role_scenario_of(struct world *world);

/** Starts a scenario with three nodes and waits until jobs are accepted. fate decides on requests
 * from the first one on; NULL: nothing fails. stop is kept for role_scenario_pause_at_point();
 * NULL: none. */
struct role_scenario *role_scenario_new_with_faults(unsigned seed, request_fault_fn choose_fault,
                                                    const struct pause_point *pause_point);

/** The same without failures. */
struct role_scenario *role_scenario_new(unsigned seed);

/** Fails when the history or the order of closing and recording was wrong. */
void role_scenario_expect_no_violation(struct role_scenario *scenario);

/** Checks the scenario and frees it. */
void role_scenario_end(struct role_scenario *scenario);

/** Completes the tasks that have run for TASK_MS. */
void role_scenario_complete_tasks(struct world *world);

/** How many nodes are paused. */
int role_scenario_count_paused(const struct world *world);

/** Whether a request goes to the cloud. */
bool request_is_to_cloud(const struct http_client_request *request);

/** Whether a request is a transaction that writes run records. */
bool request_writes_records(const struct http_client_request *request);

/** Writes an accepted job to the state service; no node need be up for that. */
void role_scenario_add_job(struct role_scenario *scenario);

/** Ends all failures and runs until everything is settled. */
void role_scenario_settle(struct role_scenario *scenario);

/** Fails when an intent is left on record. */
void role_scenario_expect_no_intents(struct world *world);

/** Fails when an intent or a machine without an owner is left. */
void role_scenario_expect_settled(struct role_scenario *scenario);

/** A request_fault_fn that pauses the node, or lets the request fail, at the scenario's struct
 * stop. */
enum request_fault role_scenario_pause_at_point(struct world *world, int node,
                                                const struct http_client_request *request);

/** The node that holds a role, or -1; fails when there are two. */
int role_scenario_get_holder(struct world *world, enum singleton_role role);

/** The fencing token of a role's record. */
uint64_t role_scenario_get_token(struct world *world, enum singleton_role role);

#endif
