/* Keys and values of duties in the state service.
 *
 * ll/duty/DUTY who holds it, on the holder's lease; ll/pending/DUTY/N pages of intents that are not
 * settled yet, on no lease. Keys are read in their order, page by page: intents come after the map,
 * so that whoever reads a map has all that was recorded under earlier ones. */
#ifndef LL_DUTY_CODEC_H
#define LL_DUTY_CODEC_H

#include "json_fields.h"
#include "role_types.h"

#define KEY_ROLE_PREFIX "ll/duty/"
#define KEY_INTENT_PREFIX "ll/pending/"

/* The word for a duty in keys and logs. */
const char *singleton_role_name(enum singleton_role role);

/* A new text each. */
char *key_role(enum singleton_role role);
char *key_intent_page(enum singleton_role role, int page);
/* Read the parts of such keys; false: it is none of a known duty. */
bool key_role_parse(const char *key, enum singleton_role *role);
bool key_intent_page_parse(const char *key, enum singleton_role *role, int *page);

/* The value of a duty's record. */
json_object *role_holder_encode(const struct role_holder *holder);
bool role_holder_decode(json_object *value, struct role_holder *out);

/* The value of a page: the token under which it is written, and its intents (struct intent *). */
json_object *intents_encode(fencing_token token, const GPtrArray *intents);
/* Adds the intents of a page, new ones; false if any of it is malformed. */
bool intents_decode(json_object *value, fencing_token *token, GPtrArray *out);

#endif
