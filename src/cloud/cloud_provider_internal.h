/* What the modules of the fleet share; nobody else includes this.
 *
 * cloud_provider.c owns the struct, the call budget and the order of calls; machine_types.c asks
 * for machine types and stores them, machine_list.c reads the list of machines, scale_out.c rents
 * and scale_in.c returns. While duties are on, what is rented and returned is recorded first, in an
 * intent log; see docs/duties.md. */
#ifndef LL_FLEET_STATE_H
#define LL_FLEET_STATE_H

#include "cloud_provider.h"
#include "delay_histogram.h"
#include "intent_log.h"

enum { CLOUD_RETRY_MS = 700 };

/* One request to rent. It is sent again with the same name until there is an answer: a second
 * answer to one name rents nothing, while a new name after a lost answer would pay twice. */
struct scale_out_request {
    char *request_id;
    char type_name[48], zone[48];
    bool is_spot, is_in_flight;
    bool was_sent; /* once, at least: the cloud may know its name */
    int machine_count;
    mono_time not_before, decided_at;
};

/* How far the return of a machine has come. Without duties it begins with SCALE_IN_READY. */
enum scale_in_phase {
    SCALE_IN_WANTED,    /* its owner may still place something on it */
    SCALE_IN_CORDONED,  /* its owner places nothing more in this epoch */
    SCALE_IN_RECORDING, /* queued in the intent log */
    SCALE_IN_READY,     /* it may be sent */
    SCALE_IN_CONFIRMED, /* the machine is gone; its owner is to be told before the intent is settled
                         */
};

struct scale_in_request {
    machine_id id;
    enum scale_in_phase phase;
    epoch_no cordoned_in;
    mono_time decided_at;
    bool was_sent;     /* once, at least */
    bool is_in_flight; /* in the request under way */
};

struct cloud_provider {
    struct loop *loop;
    struct http_client *net;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    struct actor *listener;
    struct actor actor;
    struct intent_log *intents;
    bool recording_paused; /* nothing new is recorded: duties are to be switched off */
    GArray *types;
    mono_time types_read_at;
    mono_time types_stored_at;
    bool types_call_in_flight, types_are_stored;
    GHashTable *machines, *gone_machines;
    GHashTable *refused_until;     /* offer -> until */
    GQueue scale_out_requests;     /* struct scale_out_request */
    GHashTable *scale_in_requests; /* id -> struct scale_in_request */
    bool scale_in_call_in_flight;
    uint64_t request_counter, generation;
    double call_tokens; /* of calls that may be made now */
    mono_time call_tokens_at, list_read_at, scale_in_not_before;
    bool list_call_in_flight, is_listed;
    char *list_cursor;
    GHashTable *listed_ids;
    mono_time list_started_at;
    /* From a decision until it is sent to the cloud. */
    struct delay_histogram *scale_out_delays, *scale_in_delays;
    mono_time delays_logged_at; /* when they were last logged */
};

/* A call's context outlives a change of leader; its answer then counts for nothing. */
struct cloud_call {
    struct cloud_provider *cloud;
    uint64_t generation;
    struct scale_out_request *request;
    GPtrArray *ids;
};

/* ---- cloud_provider.c ---- */

/* Whether this node may act for the fleet at this moment. */
bool cloud_provider_may_act(struct cloud_provider *cloud);
/* Whether acts have to be on record before they are done. */
bool cloud_provider_records_intents(const struct cloud_provider *cloud);
/* Whether the call budget allows one more. */
bool cloud_provider_may_call(struct cloud_provider *cloud);
struct cloud_call *cloud_call_new(struct cloud_provider *cloud);
/* Makes a call; takes the context. */
void cloud_call_send(struct cloud_provider *cloud, const char *method, const char *path,
                     const char *body, http_response_callback done, struct cloud_call *call);
/* Tells the listener that something changed. */
void cloud_provider_notify(struct cloud_provider *cloud);
/* A new text: the name of an offer. */
char *cloud_offer_key(const char *type_name, const char *zone, bool spot);
struct cloud_machine *cloud_machine_add(struct cloud_provider *cloud, machine_id id,
                                        const char *type_name, const char *zone, bool spot);

/* ---- machine_types.c ---- */

/* Asks for the types; stores them for other nodes if they have changed. */
void machine_types_request(struct cloud_provider *cloud);
void machine_types_store(struct cloud_provider *cloud);
bool machine_types_are_due(const struct cloud_provider *cloud);

/* ---- machine_list.c ---- */

/* Asks for the next page of the list. */
void machine_list_request(struct cloud_provider *cloud);

/* ---- scale_out.c ---- */

void scale_out_request_free(struct scale_out_request *request);
/* Records requests that can be sent soon, and sends what may be sent. */
void scale_out_step(struct cloud_provider *cloud);
/* Takes over a request that an earlier holder recorded. */
void scale_out_recover(struct cloud_provider *cloud, const struct intent *intent);

/* ---- scale_in.c ---- */

/* Records returns of closed machines, and sends those that may be sent. */
void scale_in_step(struct cloud_provider *cloud);
/* Takes over a return that an earlier holder recorded. */
void scale_in_recover(struct cloud_provider *cloud, const struct intent *intent);

#endif
