/**
 * The keys of the scheduler in the key-value store.
 *
 * All keys begin with ll/. The keys of roles and intents, ll/duty/ and ll/pending/, are defined in
 * role_codec.h, the field names of the values in stored_fields.h.
 */
#ifndef LL_KV_KEYS_H
#define LL_KV_KEYS_H

#include "types.h"

/** The prefix of all keys. */
#define KEY_ROOT "ll/"
/** The current leader; attached to the lease of its node. */
#define KEY_LEADER "ll/leader"
/** The shard map: its epoch and the nodes that own machines in it. */
#define KEY_SHARD_MAP "ll/map"
/** The machine types; continued in ll/types/1 and so on if one value would be oversized. */
#define KEY_MACHINE_TYPES "ll/types"
/** The features that are enabled for all nodes. */
#define KEY_FEATURES "ll/features"

/** ll/j/JOB: a job. Never deleted. */
#define KEY_JOB_PREFIX "ll/j/"
/** ll/h/MACHINE: a machine's description and cached images. */
#define KEY_MACHINE_PREFIX "ll/h/"
/** ll/n/LABEL: a live node; attached to the lease of the node. */
#define KEY_NODE_PREFIX "ll/n/"
/** ll/v/LABEL: the version that a process of the node has supported; never deleted. */
#define KEY_NODE_VERSION_PREFIX "ll/v/"
/** ll/p/LABEL/N: a page of the node's run records and completions. */
#define KEY_RECORD_PAGE_PREFIX "ll/p/"
/** ll/a/LABEL/N: an inventory of the node's machines. */
#define KEY_INVENTORY_PREFIX "ll/a/"
/** ll/m/: run records of a machine in the format of an early version; no longer supported. */
#define KEY_LEGACY_RECORDS_PREFIX "ll/m/"

/* Each of the following functions returns a new string, which the caller frees. */

/** Returns the key of a job. */
char *key_job(job_id id);
/** Returns the key of a machine. */
char *key_machine(machine_id id);
/** Returns the key of a live node. */
char *key_node(const char *label);
/** Returns the key of the version that a node has supported. */
char *key_node_version(const char *label);
/** Returns the key of a record page. */
char *key_record_page(const char *label, int number);
/** Returns the key of an inventory. */
char *key_inventory(const char *label, int number);

/**
 * Parses the key of a record page or an inventory into label and number. The caller frees the
 * label. Returns false if the key is invalid.
 */
bool key_parse_page(const char *key, char **label, int *number);
/** Returns true if the key is that of a job. There may be very many keys of jobs. */
bool key_is_job(const char *key);

#endif
