/**
 * @file
 * Encodes and decodes the keys and values of singleton roles in the key-value store.
 *
 * The key `ll/duty/ROLE` stores the holder of a role and is attached to the holder's lease. The
 * keys `ll/pending/ROLE/N` store pages of intents that are not settled yet and are not attached to
 * a lease.
 *
 * All keys are read in order, page by page. The pages of intents come after the shard map, so a
 * node that has read a shard map has also read every intent that was recorded under an earlier one.
 */
#ifndef LL_ROLE_CODEC_H
#define LL_ROLE_CODEC_H

#include "json_fields.h"
#include "role_types.h"

#define KEY_ROLE_PREFIX "ll/duty/"
#define KEY_INTENT_PREFIX "ll/pending/"

/** Returns the name of a role in keys and in the log. */
const char *singleton_role_name(enum singleton_role role);

/** Returns the key of a role's record as a new string. */
char *key_role(enum singleton_role role);
/** Returns the key of a page of a role's intents as a new string. */
char *key_intent_page(enum singleton_role role, int page_number);

/** Parses the key of a role's record. Returns false for any other key or an unknown role. */
bool key_role_parse(const char *key, enum singleton_role *role);
/** Parses the key of a page of intents. Returns false for any other key or an unknown role. */
bool key_intent_page_parse(const char *key, enum singleton_role *role, int *page_number);

/** Encodes the record of a role that the holder holds; the caller owns the value. */
json_object *role_holder_encode(const struct role_holder *holder);
/** Decodes the record of a role. Returns false if the value is malformed. */
bool role_holder_decode(json_object *value, struct role_holder *holder);

/**
 * Encodes a page of intents; the caller owns the value.
 *
 * @param token    the fencing token of the holder that writes the page
 * @param intents  the intents (const struct intent *)
 */
json_object *intents_encode(fencing_token token, const GPtrArray *intents);
/**
 * Decodes a page of intents and appends new copies of them (struct intent *). Returns false if any
 * part is malformed; the intents before it are still appended.
 */
bool intents_decode(json_object *value, fencing_token *token, GPtrArray *intents);

#endif
