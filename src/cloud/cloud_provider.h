/* The cloud's client: machine types, rentals and returns, within the call budget. Only the node
 * that has the duty of the fleet calls the cloud: the leader. */
#ifndef LL_FLEET_H
#define LL_FLEET_H

#include "feature_set.h"
#include "http.h"
#include "membership.h"
#include "replica.h"
#include "role_manager.h"
#include "shard.h"

struct fleet;

enum { MSG_FLEET = 300 }; /* to the listener: something changed */

/* What it works with; all of it outlives the fleet. */
struct fleet_setup {
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct duties *duties;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    struct actor *listener; /* gets MSG_FLEET */
};

struct fleet *fleet_new(const struct fleet_setup *setup);
void fleet_free(struct fleet *fleet);
/* While it is this node's duty: calls what is due. */
void fleet_step(struct fleet *fleet);
/* Forgets what only the holder of the duty can know. */
void fleet_reset(struct fleet *fleet);

/* A machine that was rented, whether it is up or not. */
struct fleet_machine {
    host_id id;
    char type_name[48], zone[48];
    bool spot;
    enum rental_stage stage;
    mono_time rented;
};

/* Whether the list was read since this node leads. */
bool fleet_listed(const struct fleet *fleet);
GHashTable *fleet_machines(struct fleet *fleet); /* id -> struct fleet_machine */
/* Types with the prices of today; NULL before the first answer. */
const GArray *fleet_types(const struct fleet *fleet);

/* ---- renting ---- */

/* Whether the offer was refused lately. */
bool fleet_refused(struct fleet *fleet, const char *type_name, const char *zone, bool spot);
/* Requested, with no answer yet. */
int fleet_requested(struct fleet *fleet, const char *type_name, const char *zone, bool spot);
/* Takes back what was ordered and neither asked for nor recorded yet: what is needed is worked out
 * anew all the time, and calls are few. */
void fleet_forget_unsent(struct fleet *fleet);
enum { FLEET_MOST_RENTED = 50 }; /* by one request */
void fleet_rent(struct fleet *fleet, const char *type_name, const char *zone, bool spot,
                int number);

/* ---- returning ---- */

void fleet_return(struct fleet *fleet, host_id id, const char *why);
/* The machine is to be returned: nothing more may be placed on it. */
bool fleet_returning(const struct fleet *fleet, const char *id);
/* The cloud has confirmed that it is gone, and all that was on it. */
bool fleet_gone(const struct fleet *fleet, const char *id);
/* Machines (char *, new) whose owners have to say that they place nothing more on them before the
 * return goes on; some at a time. */
GPtrArray *fleet_returns_to_close(struct fleet *fleet);
/* An owner said so in that epoch. */
void fleet_return_closed(struct fleet *fleet, const char *id, epoch_no epoch);
/* Machines (char *, new) that are gone, while their owners have not been told; and one has. */
GPtrArray *fleet_returns_to_announce(struct fleet *fleet);
void fleet_return_announced(struct fleet *fleet, const char *id);

/* ---- duties ---- */

/* From now on nothing new is recorded, or again it is. */
void fleet_hold(struct fleet *fleet, bool hold);
/* Whether nothing that was recorded is open. */
bool fleet_settled(const struct fleet *fleet);

#endif
