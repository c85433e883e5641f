/* What the modules of the fleet share; nobody else includes this.
 *
 * fleet.c owns the struct, the call budget and the order of calls; fleet_types.c asks for machine
 * types and stores them, fleet_list.c reads the list of machines, fleet_rent.c rents and
 * fleet_return.c returns. While duties are on, what is rented and returned is recorded first, in an
 * intent log; see docs/duties.md. */
#ifndef LL_FLEET_STATE_H
#define LL_FLEET_STATE_H

#include "cloud_provider.h"
#include "delay_histogram.h"
#include "intent_log.h"

enum { FLEET_RETRY_MS = 700 };

/* One request to rent. It is sent again with the same name until there is an answer: a second
 * answer to one name rents nothing, while a new name after a lost answer would pay twice. */
struct rental_request {
    char *name;
    char type_name[48], zone[48];
    bool spot, out;
    bool sent; /* once, at least: the cloud may know its name */
    int number;
    mono_time not_before, decided;
};

/* How far the return of a machine has come. Without duties it begins with RETURN_READY. */
enum return_phase {
    RETURN_WANTED,    /* its owner may still place something on it */
    RETURN_CLOSED,    /* its owner places nothing more in this epoch */
    RETURN_RECORDING, /* queued in the intent log */
    RETURN_READY,     /* it may be sent */
    RETURN_CONFIRMED, /* the machine is gone; its owner is to be told before the intent is settled
                       */
};

struct machine_return {
    host_id id;
    enum return_phase phase;
    epoch_no closed_in;
    mono_time decided;
    bool sent; /* once, at least */
    bool out;  /* in the request under way */
};

struct fleet {
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct duties *duties;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    struct actor *listener;
    struct actor actor;
    struct intent_log *intents;
    bool holding; /* nothing new is recorded: duties are to be switched off */
    GArray *types;
    mono_time types_at;
    mono_time store_at;
    bool types_out, types_written;
    GHashTable *machines, *gone;
    GHashTable *refused; /* offer -> until */
    GQueue requests;     /* struct rental_request */
    GHashTable *returns; /* id -> struct machine_return */
    bool return_out;
    uint64_t counter, generation;
    double level; /* of calls that may be made now */
    mono_time level_at, list_at, return_not_before;
    bool list_out, listed;
    char *list_from;
    GHashTable *list_seen;
    mono_time list_asked;
    /* From a decision until it is sent to the cloud. */
    struct delay_histogram *rent_delays, *return_delays;
    mono_time delays_at; /* when they were last logged */
};

/* A call's context outlives a change of leader; its answer then counts for nothing. */
struct fleet_call {
    struct fleet *fleet;
    uint64_t generation;
    struct rental_request *request;
    GPtrArray *ids;
};

/* ---- fleet.c ---- */

/* Whether this node may act for the fleet at this moment. */
bool fleet_may_act(struct fleet *fleet);
/* Whether acts have to be on record before they are done. */
bool fleet_records(const struct fleet *fleet);
/* Whether the call budget allows one more. */
bool fleet_may_call(struct fleet *fleet);
struct fleet_call *fleet_call_new(struct fleet *fleet);
/* Makes a call; takes the context. */
void fleet_call(struct fleet *fleet, const char *method, const char *path, const char *body,
                net_done done, struct fleet_call *call);
/* Tells the listener that something changed. */
void fleet_tell(struct fleet *fleet);
/* A new text: the name of an offer. */
char *fleet_offer_key(const char *type_name, const char *zone, bool spot);
struct fleet_machine *fleet_machine_make(struct fleet *fleet, host_id id, const char *type_name,
                                         const char *zone, bool spot);

/* ---- fleet_types.c ---- */

/* Asks for the types; stores them for other nodes if they have changed. */
void fleet_types_ask(struct fleet *fleet);
void fleet_types_store(struct fleet *fleet);
bool fleet_types_due(const struct fleet *fleet);

/* ---- fleet_list.c ---- */

/* Asks for the next page of the list. */
void fleet_list_ask(struct fleet *fleet);

/* ---- fleet_rent.c ---- */

void fleet_request_free(struct rental_request *request);
/* Records requests that can be sent soon, and sends what may be sent. */
void fleet_rent_step(struct fleet *fleet);
/* Takes over a request that an earlier holder recorded. */
void fleet_rent_recover(struct fleet *fleet, const struct intent *intent);

/* ---- fleet_return.c ---- */

/* Records returns of closed machines, and sends those that may be sent. */
void fleet_return_step(struct fleet *fleet);
/* Takes over a return that an earlier holder recorded. */
void fleet_return_recover(struct fleet *fleet, const struct intent *intent);

#endif
