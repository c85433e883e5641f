/**
 * @file
 * The client of the cloud: machine types, the list of rented machines, scale-out and scale-in,
 * within the cloud's limit on calls.
 *
 * Only the node that leads calls the cloud. While singleton roles are enabled it must hold the
 * autoscaler's role as well, and scale-outs and scale-ins are recorded as intents (intent_log.h)
 * before they are sent, so that a later holder completes what an earlier one has begun.
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

/** The message to the listener when machines, types or requests have changed; it has no body. */
enum { MSG_CLOUD_PROVIDER = 300 };

/** What the client works with; all of it outlives the client. */
struct cloud_provider_setup {
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    /** Shares its limit on writes with the intents. */
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    /** Gets MSG_CLOUD_PROVIDER. */
    struct actor *listener;
};

/** Creates the client. */
struct cloud_provider *cloud_provider_new(const struct cloud_provider_setup *setup);
/** Frees the client. Requests that were sent may still be carried out. */
void cloud_provider_free(struct cloud_provider *cloud);

/** Sends the calls that are due; does nothing on a node that may not act. */
void cloud_provider_step(struct cloud_provider *cloud);

/** Forgets the machines and all requests; responses to calls that were sent before are ignored. */
void cloud_provider_reset(struct cloud_provider *cloud);

/** A machine that is rented, whether it has booted or not. */
struct cloud_machine {
    machine_id id;
    char type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    /** When the response with it arrived; for a machine known from the list, by its age there. */
    mono_time requested_at;
};

/** Whether the whole list of machines was read since the last reset. */
bool cloud_provider_has_complete_list(const struct cloud_provider *cloud);

/** Id -> struct cloud_machine; owned by the client. */
GHashTable *cloud_provider_get_machines(struct cloud_provider *cloud);

/** Array of struct machine_type with current prices; NULL before the first response. */
const GArray *cloud_provider_get_types(const struct cloud_provider *cloud);

/* ---- scale-out ---- */

enum { MAX_MACHINES_PER_SCALE_OUT = 50 };

/** Queues a request for at most MAX_MACHINES_PER_SCALE_OUT machines. */
void cloud_provider_scale_out(struct cloud_provider *cloud, const char *type_name, const char *zone,
                              bool is_spot, int machine_count);

/** The number of machines of the offer that are requested, without a final response yet. */
int cloud_provider_count_requested(struct cloud_provider *cloud, const char *type_name,
                                   const char *zone, bool is_spot);

/**
 * Drops the requests that were neither sent nor recorded yet. The autoscaler computes the demand
 * anew in each pass, while requests may wait long for the limit on calls.
 */
void cloud_provider_drop_unsent(struct cloud_provider *cloud);

/** Whether the cloud had no capacity for the offer a short time ago. */
bool cloud_provider_is_offer_refused(struct cloud_provider *cloud, const char *type_name,
                                     const char *zone, bool is_spot);

/* ---- scale-in ---- */

/** Begins to return a machine; does nothing if that has begun or is done. */
void cloud_provider_scale_in(struct cloud_provider *cloud, machine_id id, const char *reason);

/** Whether the machine is being returned, so that no task may be placed on it. */
bool cloud_provider_is_scaling_in(const struct cloud_provider *cloud, const char *id);

/** Whether the cloud has confirmed the machine's return: no task runs on it any more. */
bool cloud_provider_is_returned(const struct cloud_provider *cloud, const char *id);

/**
 * Machines whose shards must cordon them before their return can be recorded: a new array of new
 * strings, limited in length.
 */
GPtrArray *cloud_provider_list_to_cordon(struct cloud_provider *cloud);

/** Notes that the machine's owner cordoned it in that epoch. */
void cloud_provider_mark_cordoned(struct cloud_provider *cloud, const char *id, epoch_no epoch);

/**
 * Machines that were returned, as their shards must learn before the intents are settled: a new
 * array of new strings, limited in length.
 */
GPtrArray *cloud_provider_list_to_announce(struct cloud_provider *cloud);

/** Notes that the machine's owner knows of its return. */
void cloud_provider_mark_announced(struct cloud_provider *cloud, const char *id);

/* ---- switching singleton roles ---- */

/** Stops or resumes recording new intents; those on record are completed either way. */
void cloud_provider_pause_recording(struct cloud_provider *cloud, bool is_paused);

/** Whether no intent is queued or recorded. */
bool cloud_provider_has_no_intents(const struct cloud_provider *cloud);

#endif
