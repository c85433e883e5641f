/** The settings file of the platform (TOML). */
#ifndef LL_SETTINGS_H
#define LL_SETTINGS_H

#include "types.h"

/** A team's guarantee, and the limit up to which it may borrow. */
struct team {
    char *name;
    amount cpus, cpus_max, gpus, gpus_max;
};

enum objective_kind {
    /** Tasks are started within within_s. */
    OBJECTIVE_WAIT,
    /** Jobs are done within within_s. */
    OBJECTIVE_FINISHED,
    /** Jobs are done by their own deadline. */
    OBJECTIVE_DEADLINE,
    OBJECTIVE_OTHER,
};

/** What is expected of a class of jobs. */
struct objective {
    enum objective_kind kind;
    char *class;
    double within_s;
};

/** Another node. */
struct sibling {
    char *label, *zone, *endpoint;
};

/** What the key-value store accepts. */
struct kv_service_limits {
    double requests_per_s, writes_per_s, max_value_kb;
    int max_txn_operations;
};

struct settings {
    /** Of this node. */
    char *label, *zone, *api_address, *rpc_address;
    /** Array of struct sibling. */
    GArray *siblings;
    char *cloud_address, *kv_address;
    int node_count;
    /** Names of all zones. */
    GPtrArray *zones;
    /** How far clocks of machines may be off. */
    double clock_error_ms;
    /** Array of struct team. */
    GArray *teams;
    /** Array of struct objective. */
    GArray *objectives;
    /** Times of the agents. */
    double heartbeat_interval_s, lease_s, gang_wait_timeout_s, gang_peer_timeout_s,
        cancel_timeout_s;
    struct kv_service_limits kv_limits;
    /** From some unannounced moment on; the same as kv_limits where the file says nothing. */
    struct kv_service_limits kv_limits_next;
    double cloud_requests_per_s, cloud_list_lag_s;
    /** What this process may use. */
    double cpu_cores, ram_mb;
    int max_open_files;
};

/** NULL, with a message that names the field, when the text cannot be used. */
struct settings *settings_parse(const char *toml, char **error);
/** The same of a file; the message names it, too. */
struct settings *settings_load(const char *path, char **error);
void settings_free(struct settings *settings);

/** The longest response that fits in this process's memory: once parsed, it takes several times
 * that. */
size_t settings_max_response_bytes(const struct settings *settings);
/** The index of a team; -1: there is none of that name. */
int settings_find_team(const struct settings *settings, const char *name);
/** Parses "10.0.0.1:8080", the address in network byte order; false: malformed. */
bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port);

#endif
