/**
 * Codec of the key-value store's protocol: keys with their values and revisions, transactions,
 * leases. Its words stand in kv_codec.c only.
 *
 * Decoders return false for a malformed body. Decoded texts and values belong to the body and are
 * valid as long as it is.
 */
#ifndef LL_KV_CODEC_H
#define LL_KV_CODEC_H

#include "http.h"
#include "json_fields.h"

/** A key as it was left by its last change. */
struct kv_item {
    const char *key;
    /** NULL: the key was deleted. */
    json_object *value;
    /** Of that change. */
    revision mod_revision;
};

/**
 * Parses the body of a response with status 200; NULL: another status, or not JSON. The caller owns
 * it. All decoders take NULL for a malformed body.
 */
json_object *kv_parse_response(const struct http_response *response);

/**
 * Decodes a page of keys: a new array of struct kv_item, the revision at which it was read, and
 * whether more keys follow. Items without key, value or revision are left out.
 */
bool kv_decode_range(json_object *body, GArray **items, revision *at_revision, bool *has_more);

/**
 * Decodes the response to a watch: a new array of struct kv_item, the changes in their order, and
 * the revision up to which it is complete. Malformed changes are left out.
 */
bool kv_decode_watch(json_object *body, GArray **items, revision *at_revision);

/** Decodes one key's value and revision; false also when there is no such key. */
bool kv_decode_value(json_object *body, json_object **value, revision *mod_revision);

/** Decodes the store's revision when it answered. */
bool kv_decode_revision(json_object *body, revision *at_revision);

/** Encodes a request for a lease, a new text. */
char *kv_encode_lease_request(int ttl_ms);
/** Decodes the lease that was granted. */
bool kv_decode_lease(json_object *body, lease_id *lease);

/** A new array of the keys (char *) whose compares failed. */
GPtrArray *kv_decode_failed_keys(json_object *body);

/** Whether a transaction was refused because a lease that it names has expired. */
bool kv_is_lease_expired(json_object *body);

/** Encodes a compare; mod_revision 0: the key must not exist. */
json_object *kv_encode_compare(const char *key, revision mod_revision);
/** Encodes a put and takes ownership of the value; lease 0: attached to none. */
json_object *kv_encode_put(const char *key, json_object *value, lease_id lease);
json_object *kv_encode_delete(const char *key);
/** Encodes a transaction; takes references to the two arrays. */
json_object *kv_encode_txn(json_object *compares, json_object *writes);

#endif
