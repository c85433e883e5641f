/**
 * Scenarios in which holders of singleton roles are paused, killed or cut off. They check the
 * operations that the state service and the cloud carried out (duty_history.h), and that a machine
 * is closed to placements before the intent to return it is recorded.
 */
#ifndef LL_TEST_ROLE_SCENARIO_H
#define LL_TEST_ROLE_SCENARIO_H

#include "duty_history.h"
#include "world.h"

/**
 * CLOUD_MACHINES: machines that the cloud can rent out. MAX_PAUSED_NODES: how many of the three
 * nodes may be paused at the same time.
 */
enum { CLOUD_MACHINES = 24, MAX_PAUSED_NODES = 2 };

/**
 * A request at which its sender is paused, once: the first one with the given path whose body
 * contains body_substring (NULL: any body).
 */
struct pause_point {
    const char *path, *body_substring;
    /** The node is paused after it has sent the request, not before. */
    bool after_send;
    /** Length of the pause; 0: the node is not paused. */
    int64_t pause_ms;
    /** The sender of the next such request is paused too. */
    bool successor_too;
    enum request_fault fault;
};

/** A scenario: a world with singleton roles, its checkers, and the failures to inject. */
struct role_scenario {
    struct world *world;
    struct duty_history *history;
    struct world_observer observer;
    GRand *random;
    /** Maps machines to the shard map under which their owner last closed them. */
    GHashTable *closed_under_map;
    /**
     * Describes the first intent to return a machine that was recorded under another map than the
     * one under which the machine was closed; NULL: none.
     */
    char *closing_violation;
    mono_time resume_at[WORLD_MAX_NODES], next_kill, start_at[WORLD_MAX_NODES];
    mono_time deliver_held_at, raise_epoch_at;
    /** How many more machines the cloud can rent out at any moment. */
    int cloud_capacity;
    unsigned pause_count, job_count;
    /** Random failures are injected (role_failures.h). */
    bool inject_failures;
    /** May be NULL. */
    const struct pause_point *pause_point;
    /** How often the pause point was reached. */
    int pause_points_reached;
    /** Requests to rent and to return machines, by node. */
    int cloud_requests[WORLD_MAX_NODES];
};

/** Returns the configuration of a world with singleton roles whose nodes can be paused. */
struct world_config role_scenario_config(void);

/** Returns the scenario to which a world belongs. */
struct role_scenario *role_scenario_of(struct world *world);

/**
 * Starts a scenario with three nodes and waits until jobs are accepted. choose_fault chooses the
 * fault of each request from the first one on (NULL: no faults). pause_point is used by
 * role_scenario_pause_at_point() and may be NULL.
 */
struct role_scenario *role_scenario_new_with_faults(unsigned seed, request_fault_fn choose_fault,
                                                    const struct pause_point *pause_point);

/** Starts a scenario without faults. */
struct role_scenario *role_scenario_new(unsigned seed);

/** Fails if the history has a violation or a machine was not closed before its return. */
void role_scenario_expect_no_violation(struct role_scenario *scenario);

/** Checks the scenario and frees it. */
void role_scenario_end(struct role_scenario *scenario);

/** Completes the tasks that have run for TASK_MS. */
void role_scenario_complete_tasks(struct world *world);

/** Returns how many nodes are paused. */
int role_scenario_count_paused(const struct world *world);

/** Returns whether a request goes to the cloud. */
bool request_is_to_cloud(const struct http_client_request *request);

/** Returns whether a request is a transaction that writes run records. */
bool request_writes_records(const struct http_client_request *request);

/** Writes an accepted job to the state service, for which no node needs to be up. */
void role_scenario_add_job(struct role_scenario *scenario);

/** Ends all failures and runs the world long enough for all intents to be carried out. */
void role_scenario_settle(struct role_scenario *scenario);

/** Fails if an intent of the autoscaler is still recorded. */
void role_scenario_expect_no_intents(struct world *world);

/** Fails if there is a violation, a recorded intent, or a machine that was not returned. */
void role_scenario_expect_settled(struct role_scenario *scenario);

/** A request_fault_fn that pauses the node or fails the request at the scenario's pause point. */
enum request_fault role_scenario_pause_at_point(struct world *world, int node,
                                                const struct http_client_request *request);

/** Returns the node that holds a role, or -1; fails if there are two. */
int role_scenario_get_holder(struct world *world, enum singleton_role role);

/** Returns the fencing token of a role's record in the replica of the first node. */
uint64_t role_scenario_get_token(struct world *world, enum singleton_role role);

#endif
