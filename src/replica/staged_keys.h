/**
 * The keys that a reload has read, kept apart from the replica until all of them are known as of
 * one revision. Only values that differ from the replica's are held.
 */
#ifndef LL_STAGED_KEYS_H
#define LL_STAGED_KEYS_H

#include "replica.h"

/** The keys of a reload in progress. */
struct staged_keys;

/** Creates an empty set of keys for the replica, which must outlive it. */
struct staged_keys *staged_keys_new(struct replica *replica);
/** Frees the set without changing the replica. */
void staged_keys_free(struct staged_keys *staged);
/** Stages a value of a key unless the replica or the set has this value or a newer one. */
void staged_keys_put(struct staged_keys *staged, const char *key, json_object *value,
                     revision mod_revision);
/** Stages the deletion of a key unless a newer value of it is known. */
void staged_keys_delete(struct staged_keys *staged, const char *key, revision mod_revision);
/**
 * Makes the replica show the staged keys: applies the values in the order of their revisions, and
 * then the deletion of all keys of the replica that the set does not contain.
 */
void staged_keys_apply(struct staged_keys *staged);

#endif
