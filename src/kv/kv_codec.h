/**
 * Codec of the key-value store's protocol: keys with their values and revisions, transactions and
 * leases. Only kv_codec.c contains the field names of the protocol.
 *
 * Decoders return false for a malformed body. Decoded strings and values are owned by the body and
 * are valid until it is freed.
 */
#ifndef LL_KV_CODEC_H
#define LL_KV_CODEC_H

#include "http.h"
#include "json_fields.h"

/** The state of a key after its last change. */
struct kv_item {
    const char *key;
    /** NULL if the key was deleted. */
    json_object *value;
    /** The revision of that change. */
    revision mod_revision;
};

/**
 * Parses the body of a response. Returns NULL if the status is not 200 or the body is not JSON. The
 * caller owns the result. All decoders treat NULL as a malformed body.
 */
json_object *kv_parse_response(const struct http_response *response);

/**
 * Decodes a range of keys: a new array of struct kv_item, the revision at which they were read, and
 * whether more keys follow. Skips items without a key, value or revision.
 */
bool kv_decode_range(json_object *body, GArray **items, revision *at_revision, bool *has_more);

/**
 * Decodes the response to a watch: a new array of struct kv_item with the changes in their order,
 * and the revision up to which the array is complete. Skips malformed changes.
 */
bool kv_decode_watch(json_object *body, GArray **items, revision *at_revision);

/** Decodes one key's value and revision. Also returns false if the key does not exist. */
bool kv_decode_value(json_object *body, json_object **value, revision *mod_revision);

/** Decodes the revision of the store at the time of the response. */
bool kv_decode_revision(json_object *body, revision *at_revision);

/** Encodes a request for a lease. The caller frees the string. */
char *kv_encode_lease_request(int ttl_ms);
/** Decodes the id of the lease that was granted. */
bool kv_decode_lease(json_object *body, lease_id *lease);

/** Returns a new array of the keys (char *) whose compares failed. */
GPtrArray *kv_decode_failed_keys(json_object *body);

/** Returns true if a transaction was rejected because a lease that it refers to has expired. */
bool kv_is_lease_expired(json_object *body);

/** Encodes a compare. With mod_revision 0 it requires that the key does not exist. */
json_object *kv_encode_compare(const char *key, revision mod_revision);
/** Encodes a put and takes ownership of the value. With lease 0 the key is attached to no lease. */
json_object *kv_encode_put(const char *key, json_object *value, lease_id lease);
/** Encodes the deletion of a key. */
json_object *kv_encode_delete(const char *key);
/** Encodes a transaction; takes its own references to the two arrays. */
json_object *kv_encode_txn(json_object *compares, json_object *writes);

#endif
