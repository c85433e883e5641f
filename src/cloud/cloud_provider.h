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

struct cloud_provider;

enum { MSG_CLOUD_PROVIDER = 300 }; /* to the listener: something changed */

/* What it works with; all of it outlives the fleet. */
struct fleet_setup {
    struct loop *loop;
    struct http_client *net;
    struct kv_client *store;
    struct replica *view;
    struct membership *members;
    struct role_manager *duties;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    struct actor *listener; /* gets MSG_CLOUD_PROVIDER */
};

struct cloud_provider *cloud_provider_new(const struct fleet_setup *setup);
void cloud_provider_free(struct cloud_provider *cloud);
/* While it is this node's duty: calls what is due. */
void cloud_provider_step(struct cloud_provider *cloud);
/* Forgets what only the holder of the duty can know. */
void cloud_provider_reset(struct cloud_provider *cloud);

/* A machine that was rented, whether it is up or not. */
struct cloud_machine {
    machine_id id;
    char type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    mono_time requested_at;
};

/* Whether the list was read since this node leads. */
bool cloud_provider_is_listed(const struct cloud_provider *cloud);
GHashTable *
cloud_provider_get_machines(struct cloud_provider *cloud); /* id -> struct cloud_machine */
/* Types with the prices of today; NULL before the first answer. */
const GArray *cloud_provider_get_types(const struct cloud_provider *cloud);

/* ---- renting ---- */

/* Whether the offer was refused lately. */
bool cloud_provider_is_refused(struct cloud_provider *cloud, const char *type_name,
                               const char *zone, bool is_spot);
/* Requested, with no answer yet. */
int cloud_provider_count_requested(struct cloud_provider *cloud, const char *type_name,
                                   const char *zone, bool is_spot);
/* Takes back what was ordered and neither asked for nor recorded yet: what is needed is worked out
 * anew all the time, and calls are few. */
void cloud_provider_drop_unsent(struct cloud_provider *cloud);
enum { MAX_MACHINES_PER_SCALE_OUT = 50 }; /* by one request */
void cloud_provider_scale_out(struct cloud_provider *cloud, const char *type_name, const char *zone,
                              bool is_spot, int machine_count);

/* ---- returning ---- */

void cloud_provider_scale_in(struct cloud_provider *cloud, machine_id id, const char *why);
/* The machine is to be returned: nothing more may be placed on it. */
bool cloud_provider_is_scaling_in(const struct cloud_provider *cloud, const char *id);
/* The cloud has confirmed that it is gone, and all that was on it. */
bool cloud_provider_is_gone(const struct cloud_provider *cloud, const char *id);
/* Machines (char *, new) whose owners have to say that they place nothing more on them before the
 * return goes on; some at a time. */
GPtrArray *cloud_provider_list_to_cordon(struct cloud_provider *cloud);
/* An owner said so in that epoch. */
void cloud_provider_note_cordoned(struct cloud_provider *cloud, const char *id, epoch_no epoch);
/* Machines (char *, new) that are gone, while their owners have not been told; and one has. */
GPtrArray *cloud_provider_list_to_announce(struct cloud_provider *cloud);
void cloud_provider_note_announced(struct cloud_provider *cloud, const char *id);

/* ---- duties ---- */

/* From now on nothing new is recorded, or again it is. */
void cloud_provider_pause_recording(struct cloud_provider *cloud, bool is_paused);
/* Whether nothing that was recorded is open. */
bool cloud_provider_is_settled(const struct cloud_provider *cloud);

#endif
