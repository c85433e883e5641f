/** The settings file (TOML) that the platform gives each node. */
#ifndef LL_SETTINGS_H
#define LL_SETTINGS_H

#include "types.h"

/** A team and its quota: what it is guaranteed, and the most that it may use. */
struct team {
    char *name;
    amount cpus, cpus_max, gpus, gpus_max;
};

enum objective_kind {
    /** Tasks started within `within_s`. */
    OBJECTIVE_WAIT,
    /** Jobs finished within `within_s`. */
    OBJECTIVE_FINISHED,
    /** Jobs finished by their own deadline. */
    OBJECTIVE_DEADLINE,
    /** Any other kind; ignored. */
    OBJECTIVE_OTHER,
};

/** A service level objective for a class of jobs. */
struct objective {
    enum objective_kind kind;
    char *class;
    /** 0 for OBJECTIVE_DEADLINE. */
    double within_s;
};

/** Another node of the cluster. */
struct sibling {
    char *label, *zone;
    /** Where it accepts RPCs of nodes. */
    char *endpoint;
};

/** What the key-value service allows the whole cluster. */
struct kv_service_limits {
    double requests_per_s, writes_per_s, max_value_kb;
    int max_txn_operations;
};

/** All settings of a node. */
struct settings {
    /** This node: its name, its zone, and where it serves users and other nodes. */
    char *label, *zone, *api_address, *rpc_address;
    /** struct sibling; all nodes but this one. */
    GArray *siblings;
    /** The cloud provider's API and the key-value service. */
    char *cloud_address, *kv_address;
    int node_count;
    /** char *; the zones in which machines can be rented. */
    GPtrArray *zones;
    /** The most by which a node's time of day differs from true time. */
    double clock_error_ms;
    /** struct team */
    GArray *teams;
    /** struct objective, without those of OBJECTIVE_OTHER. */
    GArray *objectives;
    /** Agents on machines: their heartbeats, and the lease after which tasks end without a node. */
    double heartbeat_interval_s, lease_s;
    /** How long a gang's tasks wait until it is complete, and how soon they notice a lost one. */
    double gang_wait_timeout_s, gang_peer_timeout_s;
    /** How soon after its cancellation was confirmed a task must have stopped; more than lease_s.
     */
    double cancel_timeout_s;
    struct kv_service_limits kv_limits;
    /** Limits that will apply from an unknown time on; fields that are not set are those of now. */
    struct kv_service_limits kv_limits_next;
    double cloud_requests_per_s;
    /** By how much the cloud's list of machines is out of date; at times it is twice that. */
    double cloud_list_lag_s;
    /** What this node itself may use. */
    double cpu_cores, ram_mb;
    int max_open_files;
};

/** The domain of errors in the text of settings. Files that cannot be read are in G_FILE_ERROR. */
#define SETTINGS_ERROR settings_error_quark()
GQuark settings_error_quark(void);

enum settings_error {
    /** The text is not TOML. */
    SETTINGS_ERROR_SYNTAX,
    /** A field that is required is missing. */
    SETTINGS_ERROR_MISSING,
    /** A field holds something other than it must. */
    SETTINGS_ERROR_TYPE,
    /** A number is out of its bounds. */
    SETTINGS_ERROR_RANGE,
    /** Fields contradict one another. */
    SETTINGS_ERROR_CONFLICT,
};

/** Parses the text of a settings file. Returns NULL with a SETTINGS_ERROR, whose message names the
 * first wrong field, or the line and column. Free the settings with settings_free. */
struct settings *settings_parse(const char *toml, GError **error);

/** The same for a file; the message begins with its path. */
struct settings *settings_load(const char *path, GError **error);

void settings_free(struct settings *settings);

/** How large one HTTP response may be. Parsed, it takes several times its size, so this is a
 * fraction of the memory that the node may use. */
size_t settings_max_response_bytes(const struct settings *settings);

/** The index of a team in `teams`, or -1. */
int settings_find_team(const struct settings *settings, const char *name);

#endif
