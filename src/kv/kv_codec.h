/* The words and forms of the state service's protocol: keys with their values and revisions,
 * transactions, leases. What is read points into the body that it was read from. */
#ifndef LL_CODEC_STATE_H
#define LL_CODEC_STATE_H

#include "codec.h"

/* A key as it stands after some revision. */
struct state_item {
    const char *key;
    json_object *value; /* NULL: the key was removed */
    revision stamp;     /* of that change */
};

/* A page of keys: an array of struct state_item, the revision at which it was read, and whether
 * more keys follow. False: malformed. Items without key, value or version are left out. */
bool codec_state_read_page(json_object *body, GArray **items, revision *at, bool *more);
/* The answer to a watch: changes in their order, and the revision up to which it holds them all.
 * False: malformed. */
bool codec_state_read_changes(json_object *body, GArray **items, revision *at);
/* One key: its value and version. False: malformed, or no such key. */
bool codec_state_read_key(json_object *body, json_object **value, revision *stamp);
/* The revision at which an answer was given. */
bool codec_state_read_revision(json_object *body, revision *at);
bool codec_state_read_lease(json_object *body, lease_id *lease);
/* The keys whose conditions failed. */
GPtrArray *codec_state_read_failed(json_object *body);
/* Whether a transaction was refused because a lease that it names is over. */
bool codec_state_lease_is_over(json_object *body);

/* The parts of a transaction. stamp 0: the key must not exist; lease 0: attached to none. */
json_object *codec_state_condition(const char *key, revision stamp);
json_object *codec_state_set(const char *key, json_object *value, lease_id lease);
json_object *codec_state_remove(const char *key);
/* A transaction of such lists, which it takes references to. */
json_object *codec_state_txn(json_object *conditions, json_object *writes);

#endif
