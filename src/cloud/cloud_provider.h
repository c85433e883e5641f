/**
 * @file
 * The client of the cloud provider: reads machine types and the list of rented machines, and rents
 * and returns machines, within the cloud's rate limit.
 *
 * Only the leader calls the cloud. While singleton roles are enabled it must hold the autoscaler
 * role as well, and scale-outs and scale-ins are recorded as intents (intent_log.h) before they are
 * sent, so that a later holder of the role completes what an earlier one began.
 */
#ifndef LL_CLOUD_PROVIDER_H
#define LL_CLOUD_PROVIDER_H

#include "feature_set.h"
#include "http.h"
#include "membership.h"
#include "replica.h"
#include "role_manager.h"
#include "shard.h"

struct cloud_provider;

/**
 * The kind of the message that tells the listener that machines, machine types or requests have
 * changed. It has no body.
 */
enum { MSG_CLOUD_PROVIDER = 300 };

/** The dependencies of the client, all of which must outlive it. */
struct cloud_provider_setup {
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    /** Its limit on writes also covers the writes of intents. */
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    /** Receives MSG_CLOUD_PROVIDER. */
    struct actor *listener;
};

/** Creates a client, which follows the changes of the autoscaler role from then on. */
struct cloud_provider *cloud_provider_new(const struct cloud_provider_setup *setup);
/** Frees the client. The cloud may still carry out requests that were sent. */
void cloud_provider_free(struct cloud_provider *cloud);

/** Sends the calls that are due; does nothing on a node that may not act. */
void cloud_provider_step(struct cloud_provider *cloud);

/**
 * Clears the machines and all requests. Responses to calls sent before the reset are ignored,
 * except that machines whose return they confirm still count as returned.
 */
void cloud_provider_reset(struct cloud_provider *cloud);

/** A rented machine, booting or running. */
struct cloud_machine {
    machine_id id;
    char type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    /**
     * When the scale-out response that names the machine arrived. For a machine first seen in the
     * machine list it is computed from the age given there.
     */
    mono_time requested_at;
};

/** Returns whether the machine list was read to its end since the last reset. */
bool cloud_provider_has_complete_list(const struct cloud_provider *cloud);

/** Returns the rented machines (machine id -> struct cloud_machine). The client owns the table. */
GHashTable *cloud_provider_get_machines(struct cloud_provider *cloud);

/**
 * Returns an array of struct machine_type with current prices, or NULL before the first response.
 * The client owns the array.
 */
const GArray *cloud_provider_get_types(const struct cloud_provider *cloud);

/* ---- scale-out ---- */

/** The largest number of machines in one scale-out request. */
enum { MAX_MACHINES_PER_SCALE_OUT = 50 };

/** Queues a request for at most MAX_MACHINES_PER_SCALE_OUT machines. */
void cloud_provider_scale_out(struct cloud_provider *cloud, const char *type_name, const char *zone,
                              bool is_spot, int machine_count);

/**
 * Returns the number of machines in scale-out requests for this offer (machine type, zone, and
 * spot or on-demand) that have no final response yet.
 */
int cloud_provider_count_requested(struct cloud_provider *cloud, const char *type_name,
                                   const char *zone, bool is_spot);

/**
 * Drops the scale-out requests that were neither sent nor recorded yet. The autoscaler recomputes
 * the demand in each pass, and requests may wait a long time for the rate limit.
 */
void cloud_provider_drop_unsent(struct cloud_provider *cloud);

/**
 * Returns whether the offer is not to be requested now, as the cloud recently had no capacity for
 * it.
 */
bool cloud_provider_is_offer_refused(struct cloud_provider *cloud, const char *type_name,
                                     const char *zone, bool is_spot);

/* ---- scale-in ---- */

/** Starts to return a machine. Does nothing if its return is in progress or confirmed. */
void cloud_provider_scale_in(struct cloud_provider *cloud, machine_id id, const char *reason);

/** Returns whether the machine is being returned, so that no task may be placed on it. */
bool cloud_provider_is_scaling_in(const struct cloud_provider *cloud, const char *id);

/** Returns whether the cloud has confirmed the machine's return: no task runs on it any more. */
bool cloud_provider_is_returned(const struct cloud_provider *cloud, const char *id);

/**
 * Returns the ids of machines whose owners (shards) must cordon them before their return can be
 * recorded. The array and its strings are new, and the length of the array is limited.
 */
GPtrArray *cloud_provider_list_to_cordon(struct cloud_provider *cloud);

/** Marks the machine as cordoned by its owner in the given epoch of the shard map. */
void cloud_provider_mark_cordoned(struct cloud_provider *cloud, const char *id, epoch_no epoch);

/**
 * Returns the ids of returned machines whose owners (shards) must be notified before the intents
 * are settled. The array and its strings are new, and the length of the array is limited.
 */
GPtrArray *cloud_provider_list_to_announce(struct cloud_provider *cloud);

/** Marks the return of the machine as known to its owner, and settles the intent. */
void cloud_provider_mark_announced(struct cloud_provider *cloud, const char *id);

/* ---- switching singleton roles ---- */

/** Pauses or resumes the recording of new intents. Recorded intents are completed either way. */
void cloud_provider_pause_recording(struct cloud_provider *cloud, bool is_paused);

/**
 * Returns whether the intent log is open and empty: no intent is queued, recorded or being
 * written.
 */
bool cloud_provider_has_no_intents(const struct cloud_provider *cloud);

#endif
