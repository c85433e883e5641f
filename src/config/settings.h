/** The settings file (TOML), which the deployment platform provides to each node. */
#ifndef LL_SETTINGS_H
#define LL_SETTINGS_H

#include "types.h"

/** A team and its quotas. */
struct team {
    char *name;
    /** The guaranteed amount of each resource, and the maximum that the team may use. */
    amount cpus, cpus_max, gpus, gpus_max;
};

/** What a service level objective measures. */
enum objective_kind {
    /** Tasks start within `within_s`. */
    OBJECTIVE_WAIT,
    /** Jobs finish within `within_s`. */
    OBJECTIVE_FINISHED,
    /** Jobs finish by their own deadline. */
    OBJECTIVE_DEADLINE,
    /** Any other kind. Such objectives are ignored. */
    OBJECTIVE_OTHER,
};

/** A service level objective for a class of jobs. */
struct objective {
    enum objective_kind kind;
    char *class;
    /** The time limit; 0 for OBJECTIVE_DEADLINE. */
    double within_s;
};

/** Another node of the cluster. */
struct sibling {
    char *label, *zone;
    /** The address at which it accepts RPCs from other nodes. */
    char *endpoint;
};

/** The limits that the key-value service sets for the whole cluster. */
struct kv_service_limits {
    double requests_per_s, writes_per_s, max_value_kb;
    int max_txn_operations;
};

/** All settings of a node. */
struct settings {
    /** This node: its name, its zone, and the addresses where it serves users and other nodes. */
    char *label, *zone, *api_address, *rpc_address;
    /** Elements are struct sibling: all nodes of the cluster except this one. */
    GArray *siblings;
    /** The addresses of the cloud provider's API and of the key-value service. */
    char *cloud_address, *kv_address;
    /** The number of nodes in the cluster, including this one. */
    int node_count;
    /** Elements are char *: the zones in which machines can be rented. */
    GPtrArray *zones;
    /** The maximum difference between a node's wall clock and true time. */
    double clock_error_ms;
    /** Elements are struct team. */
    GArray *teams;
    /** Elements are struct objective, of any kind except OBJECTIVE_OTHER. */
    GArray *objectives;
    /** The interval between heartbeats of the agents on machines, and the lease after which an
     * agent ends its tasks if no node has renewed it. */
    double heartbeat_interval_s, lease_s;
    /** How long the tasks of a gang wait for the gang to be complete, and the time within which
     * they notice that one of them is lost. */
    double gang_wait_timeout_s, gang_peer_timeout_s;
    /** The time within which a task must have stopped after its cancellation was confirmed. It is
     * longer than lease_s. */
    double cancel_timeout_s;
    /** The current limits of the key-value service. */
    struct kv_service_limits kv_limits;
    /** Limits that will apply from an unknown time in the future. Those that the file does not set
     * equal the current ones. */
    struct kv_service_limits kv_limits_next;
    /** The rate of requests that the cloud provider's API allows. */
    double cloud_requests_per_s;
    /** The age of the cloud provider's list of machines; the list is sometimes twice as old. */
    double cloud_list_lag_s;
    /** The resources that this node process itself may use. */
    double cpu_cores, ram_mb;
    int max_open_files;
};

/** The GError domain of errors in the contents of a settings file. A file that cannot be read is
 * reported in the domain G_FILE_ERROR. */
#define SETTINGS_ERROR settings_error_quark()
GQuark settings_error_quark(void);

/** The error codes of SETTINGS_ERROR. */
enum settings_error {
    /** The contents are not valid TOML. */
    SETTINGS_ERROR_SYNTAX,
    /** A required field is missing. */
    SETTINGS_ERROR_MISSING,
    /** A field has a value of the wrong type or format. */
    SETTINGS_ERROR_TYPE,
    /** A number is out of range. */
    SETTINGS_ERROR_RANGE,
    /** Fields contradict each other. */
    SETTINGS_ERROR_CONFLICT,
};

/** Parses the contents of a settings file. If they are invalid, returns NULL with a SETTINGS_ERROR
 * whose message names the first invalid field, or the line and column of a syntax error. The caller
 * frees the settings with settings_free. */
struct settings *settings_parse(const char *toml, GError **error);

/** Reads and parses a settings file, as settings_parse does. Error messages begin with its path. */
struct settings *settings_load(const char *path, GError **error);

/** Frees the settings. */
void settings_free(struct settings *settings);

/** Returns the maximum size of an HTTP response. It is a fraction of the memory that the node may
 * use, because a parsed response takes several times its size. */
size_t settings_max_response_bytes(const struct settings *settings);

/** Returns the index in `teams` of the team with this name, or -1 if there is none. */
int settings_find_team(const struct settings *settings, const char *name);

#endif
