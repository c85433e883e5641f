/**
 * @file
 * Implements a node's replica of the records of singleton roles and of the pages of intents.
 *
 * The replica (replica.h) passes each key that it reads to this module. No node may place new tasks
 * on a machine for which there is a scale-in intent; role_records_is_scaling_in() tells whether
 * there is one.
 */
#ifndef LL_ROLE_RECORDS_H
#define LL_ROLE_RECORDS_H

#include "role_codec.h"

/** A page of intents as stored in the key-value store. */
struct intent_page {
    enum singleton_role role;
    int number;
    revision mod_revision;
    /** Array of struct intent *. */
    GPtrArray *intents;
};

struct role_records;

/** Creates a replica without records. */
struct role_records *role_records_new(void);
/** Frees the records and their intents. */
void role_records_free(struct role_records *records);

/**
 * Applies the new value of a key if it is the key of a role's record or a page of intents.
 *
 * @param value             the new value; NULL if the key was deleted
 * @param changed_machines  receives the ids (new strings) of the machines for which
 *                          role_records_is_scaling_in() may have changed
 * @return whether the key is one of this module
 */
bool role_records_apply(struct role_records *records, const char *key, json_object *value,
                        revision mod_revision, GPtrArray *changed_machines);

/** Returns the record of a role, never NULL; the token of a role that no process holds is 0. */
const struct role_record *role_records_get(const struct role_records *records,
                                           enum singleton_role role);

/** Returns a new, unordered array of all pages of a role (const struct intent_page *). */
GPtrArray *role_records_list_pages(const struct role_records *records, enum singleton_role role);

/** Returns whether an intent to return the machine to the cloud is recorded. */
bool role_records_is_scaling_in(const struct role_records *records, const char *machine);

#endif
