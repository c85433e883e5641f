/**
 * @file
 * What the modules of the cloud's client share; for files of this package only.
 *
 * cloud_provider.c owns the state and the order of calls, cloud_call.c the limit on calls;
 * machine_types.c reads and stores the machine types, machine_list.c reads the list of machines,
 * scale_out.c and scale_in.c rent and return machines. See docs/singleton-roles.md for intents.
 */
#ifndef LL_CLOUD_PROVIDER_INTERNAL_H
#define LL_CLOUD_PROVIDER_INTERNAL_H

#include "cloud_provider.h"
#include "delay_histogram.h"
#include "intent_log.h"

/** After a scale-out or scale-in without a usable response, how long until it is sent again. */
enum { CLOUD_RETRY_MS = 700 };

/** Whether the cloud may know of a request. */
enum cloud_send_state {
    CLOUD_NOT_SENT,
    CLOUD_IN_FLIGHT,
    /** Sent at least once, by this node or an earlier holder; to be sent again. */
    CLOUD_UNANSWERED,
};

/**
 * A scale-out. It is sent with the same id until it is answered for good: the cloud rents nothing
 * for a second request with one id, while a new id after a lost response would rent twice.
 */
struct scale_out_request {
    /** The idempotency key. */
    char *request_id;
    char type_name[48], zone[48];
    bool is_spot;
    enum cloud_send_state send_state;
    int machine_count;
    /** When it may be sent again. */
    mono_time not_before;
    mono_time decided_at;
};

/** How far a scale-in has come. Without singleton roles it begins with SCALE_IN_READY. */
enum scale_in_phase {
    /** The machine's owner may still place tasks on it. */
    SCALE_IN_AWAITING_CORDON,
    /** The machine's owner places no task on it in this epoch. */
    SCALE_IN_CORDONED,
    /** Its intent is queued. */
    SCALE_IN_RECORDING,
    /** It may be sent. */
    SCALE_IN_READY,
    /** The machine is gone; its owner must learn that before the intent is settled. */
    SCALE_IN_CONFIRMED,
};

/** The return of one machine. */
struct scale_in_request {
    machine_id id;
    enum scale_in_phase phase;
    epoch_no cordoned_in_epoch;
    mono_time decided_at;
    enum cloud_send_state send_state;
};

/** The token bucket that limits calls; see cloud_provider_may_call(). */
struct cloud_call_budget {
    /** The number of calls that may be sent now. */
    double tokens;
    mono_time refilled_at;
};

/** The machine types that the cloud offers, and whether other nodes can know them. */
struct machine_types_state {
    /** Array of struct machine_type; NULL before the first response. */
    GArray *types;
    bool call_in_flight;
    /** Stored, or being stored. */
    bool is_stored;
    /** 0: never since the last reset. */
    mono_time read_at;
    /** When a store was last attempted. */
    mono_time stored_at;
};

/** The list is read page by page; what is rented is known once the last page has arrived. */
struct machine_list_state {
    bool call_in_flight;
    /** The whole list was read since the last reset. */
    bool is_complete;
    /** The last id of the previous page; NULL: the first page is next. */
    char *cursor;
    /** Set of the ids on the pages so far; NULL: not being read. */
    GHashTable *listed_ids;
    mono_time started_at;
    /** When the last page arrived. */
    mono_time read_at;
};

/** The state of the client. Calls and requests belong to one generation, which a reset ends. */
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
    /** No new intent is recorded, as singleton roles are to be switched off. */
    bool recording_paused;
    /** Counts resets; a call of an earlier generation has no effect on the state. */
    uint64_t generation;
    struct cloud_call_budget call_budget;
    struct machine_types_state machine_types;
    struct machine_list_state machine_list;
    /** Id -> struct cloud_machine. */
    GHashTable *machines;
    /** Set of the ids of machines whose return was confirmed; kept over resets. */
    GHashTable *returned_machines;
    /** Offer (cloud_offer_key()) -> mono_time until which it is not requested. */
    GHashTable *offers_refused_until;
    /** Of struct scale_out_request, the oldest first. */
    GQueue scale_out_requests;
    /** Part of the ids of scale-outs. */
    uint64_t request_counter;
    /** Id -> struct scale_in_request. */
    GHashTable *scale_in_requests;
    bool scale_in_call_in_flight;
    mono_time scale_in_not_before;
    /** In ms, from the decision until the request is first sent. */
    struct delay_histogram *scale_out_delays, *scale_in_delays;
    mono_time delays_logged_at;
};

/** The context of a call; it may outlive the generation in which the call was sent. */
struct cloud_call {
    struct cloud_provider *cloud;
    uint64_t generation;
    /** Of a scale-out; valid within the generation only. */
    struct scale_out_request *request;
    /** Ids of a scale-in, owned by the call. */
    GPtrArray *ids;
};

/* ---- cloud_provider.c ---- */

/** Whether this node may call the cloud and store what it learns there, at this moment. */
bool cloud_provider_may_act(struct cloud_provider *cloud);

/** Whether scale-outs and scale-ins must be on record before they are sent. */
bool cloud_provider_records_intents(const struct cloud_provider *cloud);

/** Sends MSG_CLOUD_PROVIDER to the listener. */
void cloud_provider_notify(struct cloud_provider *cloud);

/** A new string that identifies a type, a zone and the kind of machine. */
char *cloud_offer_key(const char *type_name, const char *zone, bool is_spot);

/** Adds a machine that is booting, requested now; replaces one with the same id. */
struct cloud_machine *cloud_machine_add(struct cloud_provider *cloud, machine_id id,
                                        const char *type_name, const char *zone, bool is_spot);

/* ---- cloud_call.c ---- */

/** Fills the budget. */
void cloud_call_budget_init(struct cloud_provider *cloud);

/** Whether the budget allows a call now. */
bool cloud_provider_may_call(struct cloud_provider *cloud);

/** A context for a call of the current generation. */
struct cloud_call *cloud_call_new(struct cloud_provider *cloud);

/** Whether the state is still that in which the call was sent. */
bool cloud_call_is_current(const struct cloud_call *call);

/** Sends a call and charges it to the budget. The callback gets `call`, which it must free. */
void cloud_call_send(struct cloud_call *call, const char *method, const char *path,
                     const char *body, http_response_callback callback);

/** The JSON body of a response with status 200, or NULL; the caller owns it. */
json_object *cloud_response_parse(const struct http_response *response);

/* ---- machine_types.c ---- */

/** Whether the types have to be read again. */
bool machine_types_are_due(const struct cloud_provider *cloud);

/** Reads the types, and stores them if they have changed. */
void machine_types_request(struct cloud_provider *cloud);

/** Stores the types for other nodes unless that was done, or was attempted a short time ago. */
void machine_types_store(struct cloud_provider *cloud);

/* ---- machine_list.c ---- */

/** Whether a part of the list has to be read. */
bool machine_list_is_due(const struct cloud_provider *cloud);

/** Reads the next page of the list. */
void machine_list_request(struct cloud_provider *cloud);

/** Forgets what was read. */
void machine_list_reset(struct cloud_provider *cloud);

/* ---- scale_out.c ---- */

/** Frees a request that is in no queue any more. */
void scale_out_request_free(struct scale_out_request *request);

/** Records the requests that can be sent soon, and sends those that may be sent. */
void scale_out_step(struct cloud_provider *cloud);

/** Takes over a request that an earlier holder recorded. */
void scale_out_recover(struct cloud_provider *cloud, const struct intent *intent);

/* ---- scale_in.c ---- */

/** Records the scale-ins of cordoned machines, and sends those that may be sent. */
void scale_in_step(struct cloud_provider *cloud);

/** Takes over a scale-in that an earlier holder recorded. */
void scale_in_recover(struct cloud_provider *cloud, const struct intent *intent);

#endif
