/**
 * @file
 * A node's replica of the records of singleton roles and of the pages of intents.
 *
 * The replica (replica.h) feeds it with each key that it reads. No machine which an intent names
 * for scale-in may get new tasks, on any node; that is looked up here.
 */
#ifndef LL_ROLE_RECORDS_H
#define LL_ROLE_RECORDS_H

#include "role_codec.h"

/** A page of intents as it stands in the key-value store. */
struct intent_page {
    enum singleton_role role;
    int number;
    revision mod_revision;
    /** struct intent. */
    GPtrArray *intents;
};

struct role_records;

/** Creates empty records. */
struct role_records *role_records_new(void);
/** Frees the records and their intents. */
void role_records_free(struct role_records *records);

/**
 * Takes the value of a key, if it is one of this package's.
 *
 * @param value             NULL: the key was deleted
 * @param changed_machines  gets the ids (new strings) of the machines for which
 *                          role_records_is_scaling_in() may have changed
 * @return false: the key is another package's
 */
bool role_records_apply(struct role_records *records, const char *key, json_object *value,
                        revision mod_revision, GPtrArray *changed_machines);

/** Never NULL: a role that nobody holds has a record without token. */
const struct role_record *role_records_get(const struct role_records *records,
                                           enum singleton_role role);

/** Returns a new array of all pages of a role (const struct intent_page *), in no order. */
GPtrArray *role_records_list_pages(const struct role_records *records, enum singleton_role role);

/** Whether an intent to return the machine is on record. */
bool role_records_is_scaling_in(const struct role_records *records, const char *machine);

#endif
