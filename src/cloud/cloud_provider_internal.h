/**
 * @file
 * Types and functions shared by the modules of the cloud client; for files of this package only.
 *
 * cloud_provider.c owns the state and decides the order of calls, and cloud_call.c limits their
 * rate. machine_types.c reads and stores the machine types, machine_list.c reads the machine list,
 * and scale_out.c and scale_in.c rent and return machines. docs/singleton-roles.md describes
 * intents.
 */
#ifndef LL_CLOUD_PROVIDER_INTERNAL_H
#define LL_CLOUD_PROVIDER_INTERNAL_H

#include "cloud_provider.h"
#include "delay_histogram.h"
#include "intent_log.h"
#include "token_bucket.h"

/** The delay before a scale-out or scale-in without a usable response is sent again. */
enum { CLOUD_RETRY_MS = 700 };

/** The progress of a request to the cloud; once sent, it may have been carried out. */
enum cloud_send_state {
    CLOUD_NOT_SENT,
    CLOUD_IN_FLIGHT,
    /** Sent at least once, by this node or an earlier holder of the role, and to be sent again. */
    CLOUD_UNANSWERED,
};

/**
 * A request to rent machines. Each retry carries the same request id until there is a final
 * response: the cloud rents nothing for a repeated id, while a new id after a lost response would
 * rent the machines twice.
 */
struct scale_out_request {
    /** The idempotency key of the request. */
    char *request_id;
    char type_name[48], zone[48];
    bool is_spot;
    enum cloud_send_state send_state;
    int machine_count;
    /** The request is not sent again before this time. */
    mono_time not_before;
    mono_time decided_at;
};

/** The progress of a scale-in. Without singleton roles it starts at SCALE_IN_READY. */
enum scale_in_phase {
    /** The machine's owner may still place tasks on it. */
    SCALE_IN_AWAITING_CORDON,
    /** The machine's owner places no task on it in the epoch `cordoned_in_epoch`. */
    SCALE_IN_CORDONED,
    /** The intent is queued in the intent log. */
    SCALE_IN_RECORDING,
    /** The request may be sent. */
    SCALE_IN_READY,
    /** The cloud has confirmed the return. The intent is settled after notifying the owner. */
    SCALE_IN_CONFIRMED,
};

/** A request to return one machine. */
struct scale_in_request {
    machine_id id;
    enum scale_in_phase phase;
    epoch_no cordoned_in_epoch;
    mono_time decided_at;
    enum cloud_send_state send_state;
};

/** The machine types that the cloud offers, and whether they are stored for the other nodes. */
struct machine_types_state {
    /** Array of struct machine_type; NULL before the first response. */
    GArray *types;
    bool call_in_flight;
    /** The types are stored, or a write of them is in flight. */
    bool is_stored;
    /**
     * When a response last arrived; 0: none since the last reset. It is set back in time after a
     * response that could not be used, so that the retry comes earlier.
     */
    mono_time read_at;
    /** When a write of the types was last attempted. */
    mono_time stored_at;
};

/**
 * The progress of reading the machine list, which arrives in pages. The rented machines are known
 * once the last page has arrived.
 */
struct machine_list_state {
    bool call_in_flight;
    /** The list was read to its end at least once since the last reset. */
    bool is_complete;
    /** The last machine id of the previous page; NULL: the first page is next. */
    char *cursor;
    /** The set of machine ids on the pages read so far; NULL: the list is not being read. */
    GHashTable *listed_ids;
    mono_time started_at;
    /** When the last page of the latest complete list arrived. */
    mono_time read_at;
};

/** The state of the client. Calls and requests belong to a generation, which ends with a reset. */
struct cloud_provider {
    struct actor actor;
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    struct actor *listener;
    struct intent_log *intents;
    /** No new intent is recorded, as singleton roles are about to be disabled. */
    bool recording_paused;
    /**
     * The number of resets. A response to a call of an earlier generation only adds to
     * `returned_machines`.
     */
    uint64_t generation;
    /** Limits the rate of calls, see cloud_provider_may_call(). */
    struct token_bucket call_bucket;
    struct machine_types_state machine_types;
    struct machine_list_state machine_list;
    /** Machine id -> struct cloud_machine. */
    GHashTable *machines;
    /** The set of ids of machines whose return the cloud has confirmed. Resets keep it. */
    GHashTable *returned_machines;
    /** Offer (cloud_offer_key()) -> the mono_time until which it is not requested. */
    GHashTable *offers_refused_until;
    /** Queue of struct scale_out_request, oldest first; recovered requests are put in front. */
    GQueue scale_out_requests;
    /** The number of scale-out requests created so far, a part of their ids. */
    uint64_t request_counter;
    /** Machine id -> struct scale_in_request. */
    GHashTable *scale_in_requests;
    bool scale_in_call_in_flight;
    mono_time scale_in_not_before;
    /** The delays in ms between the decision and the first sending of a request. */
    struct delay_histogram *scale_out_delays, *scale_in_delays;
    mono_time delays_logged_at;
};

/** The context of a call. It may outlive the generation in which the call was sent. */
struct cloud_call {
    struct cloud_provider *cloud;
    uint64_t generation;
    /** The request of a scale-out call; valid only while the generation is current. */
    struct scale_out_request *request;
    /** The machine ids of a scale-in call, owned by the call. */
    GPtrArray *ids;
};

/* ---- cloud_provider.c ---- */

/** Returns whether this node may call the cloud and store the results now. */
bool cloud_provider_may_act(struct cloud_provider *cloud);
/** Returns what a request to the cloud rests on that is sent now. */
struct decision_basis cloud_provider_get_decision_basis(const struct cloud_provider *cloud);

/**
 * Returns whether the intents of scale-outs and scale-ins must be recorded before they are sent.
 */
bool cloud_provider_records_intents(const struct cloud_provider *cloud);

/** Sends MSG_CLOUD_PROVIDER to the listener. */
void cloud_provider_notify(struct cloud_provider *cloud);

/** Returns a new string that identifies an offer: a machine type, a zone, and spot or on-demand. */
char *cloud_offer_key(const char *type_name, const char *zone, bool is_spot);

/**
 * Adds a machine in the stage CLOUD_MACHINE_BOOTING, requested now. A machine with the same id is
 * replaced.
 */
struct cloud_machine *cloud_machine_add(struct cloud_provider *cloud, machine_id id,
                                        const char *type_name, const char *zone, bool is_spot);

/* ---- cloud_call.c ---- */

/** Initializes the token bucket, which contains one second of calls at the limit. */
void cloud_call_bucket_init(struct cloud_provider *cloud);

/** Refills the token bucket, and returns whether it allows a call now. */
bool cloud_provider_may_call(struct cloud_provider *cloud);

/** Creates the context of a call in the current generation. */
struct cloud_call *cloud_call_new(struct cloud_provider *cloud);

/** Returns whether there was no reset since the call was created. */
bool cloud_call_is_current(const struct cloud_call *call);

/** Sends a call and takes a token from the bucket. The callback gets `call` and must free it. */
void cloud_call_send(struct cloud_call *call, const char *method, const char *path,
                     const char *body, http_response_callback callback);

/** Returns the JSON body of a response with status 200, or NULL. The caller owns it. */
json_object *cloud_response_parse(const struct http_response *response);

/* ---- machine_types.c ---- */

/** Returns whether the machine types have to be read or refreshed now. */
bool machine_types_are_due(const struct cloud_provider *cloud);

/** Requests the machine types. They are stored when the response arrives, if they have changed. */
void machine_types_request(struct cloud_provider *cloud);

/**
 * Stores the machine types for the other nodes, unless they are stored already or an attempt was
 * made a short time ago.
 */
void machine_types_store(struct cloud_provider *cloud);

/* ---- machine_list.c ---- */

/** Returns whether the next page of the machine list has to be read now. */
bool machine_list_is_due(const struct cloud_provider *cloud);

/** Requests the next page of the machine list. */
void machine_list_request(struct cloud_provider *cloud);

/** Discards the pages read so far and the time of the latest complete list. */
void machine_list_reset(struct cloud_provider *cloud);

/* ---- scale_out.c ---- */

/** Frees a request that was removed from the queue. */
void scale_out_request_free(struct scale_out_request *request);

/**
 * Records the intents of requests that can be sent soon, and sends the requests that may be sent.
 */
void scale_out_step(struct cloud_provider *cloud);

/** Queues a scale-out whose intent an earlier holder of the role recorded. */
void scale_out_recover(struct cloud_provider *cloud, const struct intent *intent);

/* ---- scale_in.c ---- */

/** Records the intents to return cordoned machines, and sends the scale-ins that may be sent. */
void scale_in_step(struct cloud_provider *cloud);

/** Adds a scale-in whose intent an earlier holder of the role recorded. */
void scale_in_recover(struct cloud_provider *cloud, const struct intent *intent);

#endif
