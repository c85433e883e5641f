/* A node's replica of the records of duties and of the pages of intents, kept up by its view. */
#ifndef LL_DUTY_TABLE_H
#define LL_DUTY_TABLE_H

#include "role_codec.h"

/* A page of intents as it stands in the state service. */
struct intent_page {
    enum duty duty;
    int number;
    revision stamp;
    GPtrArray *intents; /* struct intent */
};

struct duty_table;

struct duty_table *duty_table_new(void);
void duty_table_free(struct duty_table *table);

/* Takes the value of one of the package's keys (NULL: it was removed); false: it is another key.
 * Machines whose return was recorded, or is not any more, are added to changed (char *). */
bool duty_table_apply(struct duty_table *table, const char *key, json_object *value, revision stamp,
                      GPtrArray *changed);

const struct duty_record *duty_table_record(const struct duty_table *table, enum duty duty);
/* The page, or NULL. */
const struct intent_page *duty_table_page(const struct duty_table *table, enum duty duty,
                                          int number);
/* All pages of a duty (const struct intent_page *), in no order: a new array. */
GPtrArray *duty_table_pages(const struct duty_table *table, enum duty duty);
/* Whether it is on record that the machine is to be returned: nothing may be placed on it. */
bool duty_table_returning(const struct duty_table *table, const char *machine);

#endif
