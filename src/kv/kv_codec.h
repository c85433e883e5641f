/* The words and forms of the state service's protocol: keys with their values and revisions,
 * transactions, leases. What is read points into the body that it was read from. */
#ifndef LL_CODEC_STATE_H
#define LL_CODEC_STATE_H

#include "codec.h"

/* A key as it stands after some revision. */
struct kv_item {
    const char *key;
    json_object *value;    /* NULL: the key was removed */
    revision mod_revision; /* of that change */
};

/* A page of keys: an array of struct kv_item, the revision at which it was read, and whether
 * more keys follow. False: malformed. Items without key, value or version are left out. */
bool kv_decode_range(json_object *body, GArray **items, revision *at_revision, bool *more);
/* The answer to a watch: changes in their order, and the revision up to which it holds them all.
 * False: malformed. */
bool kv_decode_watch(json_object *body, GArray **items, revision *at_revision);
/* One key: its value and version. False: malformed, or no such key. */
bool kv_decode_value(json_object *body, json_object **value, revision *mod_revision);
/* The revision at which an answer was given. */
bool kv_decode_revision(json_object *body, revision *at_revision);
bool kv_decode_lease(json_object *body, lease_id *lease);
/* The keys whose conditions failed. */
GPtrArray *kv_decode_failed_keys(json_object *body);
/* Whether a transaction was refused because a lease that it names is over. */
bool kv_is_lease_expired(json_object *body);

/* The parts of a transaction. stamp 0: the key must not exist; lease 0: attached to none. */
json_object *kv_encode_compare(const char *key, revision mod_revision);
json_object *kv_encode_put(const char *key, json_object *value, lease_id lease);
json_object *kv_encode_delete(const char *key);
/* A transaction of such lists, which it takes references to. */
json_object *kv_encode_txn(json_object *compares, json_object *writes);

#endif
