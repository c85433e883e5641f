/**
 * @file
 * Keys and values of singleton roles in the key-value store.
 *
 * `ll/duty/ROLE` names the holder of a role; it is on the holder's lease. `ll/pending/ROLE/N` are
 * pages of intents that are not settled yet; they are on no lease.
 *
 * All keys are read in their order, page by page. The pages of intents come after the shard map, so
 * that a node which has read a map has also read every intent that was recorded under an earlier
 * one.
 */
#ifndef LL_ROLE_CODEC_H
#define LL_ROLE_CODEC_H

#include "json_fields.h"
#include "role_types.h"

#define KEY_ROLE_PREFIX "ll/duty/"
#define KEY_INTENT_PREFIX "ll/pending/"

/** The word for a role in keys and in the log. */
const char *singleton_role_name(enum singleton_role role);

/** Returns a new string. */
char *key_role(enum singleton_role role);
/** Returns a new string. */
char *key_intent_page(enum singleton_role role, int page_number);

/** Returns false if the key is not that of a known role's record. */
bool key_role_parse(const char *key, enum singleton_role *role);
/** Returns false if the key is not that of a page of a known role's intents. */
bool key_intent_page_parse(const char *key, enum singleton_role *role, int *page_number);

/** Returns the new value of a role's record. */
json_object *role_holder_encode(const struct role_holder *holder);
/** Returns false if the value is malformed. */
bool role_holder_decode(json_object *value, struct role_holder *holder);

/**
 * Returns the new value of a page of intents.
 *
 * @param token    of the holder that writes the page
 * @param intents  const struct intent *
 */
json_object *intents_encode(fencing_token token, const GPtrArray *intents);
/**
 * Appends new copies of a page's intents (struct intent *). Returns false if any of it is
 * malformed; what comes before that is appended all the same.
 */
bool intents_decode(json_object *value, fencing_token *token, GPtrArray *intents);

#endif
