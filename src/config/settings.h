/* The settings file that the platform hands over. */
#ifndef LL_SETTINGS_H
#define LL_SETTINGS_H

#include "types.h"

struct team {
    char *name;
    amount cpus, cpus_max, gpus, gpus_max;
};

enum objective_kind {
    OBJECTIVE_WAIT,     /* tasks started within within_s */
    OBJECTIVE_FINISHED, /* jobs done within within_s */
    OBJECTIVE_DEADLINE, /* jobs done by their own deadline */
    OBJECTIVE_OTHER,
};

/* What is expected of a class of jobs. */
struct objective {
    enum objective_kind kind;
    char *class;
    double within_s;
};

struct sibling {
    char *label, *zone, *endpoint;
};

/* What the state service allows. */
struct kv_service_limits {
    double requests_per_s, writes_per_s, max_value_kb;
    int max_txn_operations;
};

struct settings {
    char *label, *zone, *api_address, *rpc_address;
    GArray *siblings; /* struct sibling */
    char *cloud_address, *kv_address;
    int node_count;
    GPtrArray *zones;
    double clock_error_ms;
    GArray *teams;      /* struct team */
    GArray *objectives; /* struct objective */
    double heartbeat_interval_s, lease_s, gang_wait_timeout_s, gang_peer_timeout_s,
        cancel_timeout_s;
    struct kv_service_limits kv_limits;
    struct kv_service_limits
        kv_limits_next; /* from some moment on; the same where nothing is said */
    double cloud_requests_per_s, cloud_list_lag_s;
    double cpu_cores, ram_mb;
    int max_open_files;
};

/* NULL, with a message that names the field, when the text cannot be used. */
struct settings *settings_parse(const char *toml, char **error);
struct settings *settings_load(const char *path, char **error);
void settings_free(struct settings *settings);

/* Of the memory that a process may have, as much as one answer may take: read, it takes several
 * times as much. */
size_t settings_max_response_bytes(const struct settings *settings);
int settings_find_team(const struct settings *settings, const char *name);
/* Splits "10.0.0.1:8080"; false when it is not an IPv4 address with a port. */
bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port);

#endif
