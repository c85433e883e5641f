/* Reading and writing of JSON fields over json-c. Readers are strict: they return false, and leave
 * what they would have set, unless the field is there and of its type. */
#ifndef LL_CODEC_JSON_H
#define LL_CODEC_JSON_H

#include "types.h"

#include <json-c/json.h>

/* One JSON text and nothing behind it, nested 16 deep at most. NULL otherwise. */
json_object *json_parse(const char *text, size_t length);
/* Frees the object and returns its text, a new one. */
char *json_to_text_and_free(json_object *object);

/* Whether the field is missing or null. */
bool json_is_absent(json_object *object, const char *field);
/* Reads a text without zero bytes: valid as long as the object. */
bool json_get_text(json_object *object, const char *field, const char **out);
/* Copies a text that fits. */
bool json_copy_text(json_object *object, const char *field, char *out, size_t size);
/* Reads an integer from 0 on. */
bool json_get_u64(json_object *object, const char *field, uint64_t *out);
/* Reads a finite number. */
bool json_get_number(json_object *object, const char *field, double *out);
/* Reads true or false. */
bool json_get_bool(json_object *object, const char *field, bool *out);
/* The field's array, or NULL. */
json_object *json_get_array(json_object *object, const char *field);
/* Reads a number from 0 to 10^9 as an amount, rounded up, as limits are rounded down. */
bool json_get_amount(json_object *object, const char *field, amount *out);

/* Each adds a field of its type. */
void json_put_text(json_object *object, const char *field, const char *value);
void json_put_u64(json_object *object, const char *field, uint64_t value);
void json_put_number(json_object *object, const char *field, double value);
void json_put_bool(json_object *object, const char *field, bool value);

/* The place of a word among n, or -1. */
int word_index(const char *const *words, int word_count, const char *word);
/* The same in an array whose length is known. */
#define WORD_INDEX(words, word) word_index(words, G_N_ELEMENTS(words), word)

#endif
