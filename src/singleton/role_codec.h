/* Keys and values of duties in the state service.
 *
 * ll/duty/DUTY who holds it, on the holder's lease; ll/pending/DUTY/N pages of intents that are not
 * settled yet, on no lease. Keys are read in their order, page by page: intents come after the map,
 * so that whoever reads a map has all that was recorded under earlier ones. */
#ifndef LL_DUTY_CODEC_H
#define LL_DUTY_CODEC_H

#include "json_fields.h"
#include "role_types.h"

#define KEY_DUTIES "ll/duty/"
#define KEY_INTENTS "ll/pending/"

/* The word for a duty in keys and logs. */
const char *duty_name(enum duty duty);

/* A new text each. */
char *key_duty(enum duty duty);
char *key_intents(enum duty duty, int page);
/* Read the parts of such keys; false: it is none of a known duty. */
bool key_duty_read(const char *key, enum duty *duty);
bool key_intents_read(const char *key, enum duty *duty, int *page);

/* The value of a duty's record. */
json_object *duty_holder_write(const struct duty_holder *holder);
bool duty_holder_read(json_object *value, struct duty_holder *out);

/* The value of a page: the token under which it is written, and its intents (struct intent *). */
json_object *intents_write(duty_token token, const GPtrArray *intents);
/* Adds the intents of a page, new ones; false if any of it is malformed. */
bool intents_read(json_object *value, duty_token *token, GPtrArray *out);

#endif
