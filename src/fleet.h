/* The cloud's client: machine types, rentals and returns, within the call budget. Only the leader's
 * fleet calls the cloud. */
#ifndef LL_FLEET_H
#define LL_FLEET_H

#include "http.h"
#include "membership.h"
#include "view.h"

struct fleet;

enum { MSG_FLEET = 300 }; /* to the listener: something changed */

struct node;

struct fleet *fleet_new(const struct node *node, struct actor *listener);
void fleet_free(struct fleet *fleet);
/* While leading: calls what is due. */
void fleet_step(struct fleet *fleet);
/* Forgets what only a leader can know. */
void fleet_reset(struct fleet *fleet);

/* A machine that was rented, whether it is up or not. */
struct fleet_machine {
    host_id id;
    char type_name[48], zone[48];
    bool spot;
    enum rental_stage stage;
    mono_time rented;
    bool returning;
};

/* Whether the list was read since this node leads. */
bool fleet_listed(const struct fleet *fleet);
GHashTable *fleet_machines(struct fleet *fleet); /* id -> struct fleet_machine */
/* Types with the prices of today; NULL before the first answer. */
const GArray *fleet_types(const struct fleet *fleet);
/* Whether the offer was refused lately. */
bool fleet_refused(struct fleet *fleet, const char *type_name, const char *zone, bool spot);
/* Requested, with no answer yet. */
int fleet_requested(struct fleet *fleet, const char *type_name, const char *zone, bool spot);
/* Takes back what was ordered and not asked for yet: what is needed is worked out anew all the
 * time, and calls are few. */
void fleet_forget_unsent(struct fleet *fleet);
enum { FLEET_MOST_RENTED = 50 }; /* by one request */
void fleet_rent(struct fleet *f, const char *type_name, const char *zone, bool spot, int number);
void fleet_return(struct fleet *fleet, host_id id, const char *why);
/* The cloud has confirmed that it is gone, and all that was on it. */
bool fleet_gone(const struct fleet *fleet, const char *id);

#endif
