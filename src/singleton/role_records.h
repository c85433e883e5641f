/* A node's replica of the records of duties and of the pages of intents, kept up by its view. */
#ifndef LL_DUTY_TABLE_H
#define LL_DUTY_TABLE_H

#include "role_codec.h"

/* A page of intents as it stands in the state service. */
struct intent_page {
    enum singleton_role role;
    int number;
    revision mod_revision;
    GPtrArray *intents; /* struct intent */
};

struct role_records;

struct role_records *role_records_new(void);
void role_records_free(struct role_records *records);

/* Takes the value of one of the package's keys (NULL: it was removed); false: it is another key.
 * Machines whose return was recorded, or is not any more, are added to changed (char *). */
bool role_records_apply(struct role_records *records, const char *key, json_object *value,
                        revision mod_revision, GPtrArray *changed_machines);

const struct role_record *role_records_get(const struct role_records *records,
                                           enum singleton_role role);
/* The page, or NULL. */
const struct intent_page *role_records_get_page(const struct role_records *records,
                                                enum singleton_role role, int number);
/* All pages of a duty (const struct intent_page *), in no order: a new array. */
GPtrArray *role_records_list_pages(const struct role_records *records, enum singleton_role role);
/* Whether it is on record that the machine is to be returned: nothing may be placed on it. */
bool role_records_is_scaling_in(const struct role_records *records, const char *machine);

#endif
