/**
 * The keys of the scheduler in the key-value store.
 *
 * All begin with ll/. Keys of roles and intents, ll/duty/ and ll/pending/, are in role_codec.h; the
 * words of the values in stored_fields.h.
 */
#ifndef LL_KV_KEYS_H
#define LL_KV_KEYS_H

#include "types.h"

#define KEY_ROOT "ll/"
/** The node that leads; attached to its lease. */
#define KEY_LEADER "ll/leader"
/** The shard map: its epoch and the nodes that own machines in it. */
#define KEY_SHARD_MAP "ll/map"
/** Machine types; continued in ll/types/1 and so on where that would be too long. */
#define KEY_MACHINE_TYPES "ll/types"
/** Features that are on for all nodes. */
#define KEY_FEATURES "ll/features"

/** ll/j/JOB: a job. Never deleted. */
#define KEY_JOB_PREFIX "ll/j/"
/** ll/h/MACHINE: a machine's description and cached images. */
#define KEY_MACHINE_PREFIX "ll/h/"
/** ll/n/LABEL: a live node; attached to its lease. */
#define KEY_NODE_PREFIX "ll/n/"
/** ll/v/LABEL: the version that a process of the node has understood; never deleted. */
#define KEY_NODE_VERSION_PREFIX "ll/v/"
/** ll/p/LABEL/N: a page of the node's run records and completions. */
#define KEY_RECORD_PAGE_PREFIX "ll/p/"
/** ll/a/LABEL/N: an inventory of the node's machines. */
#define KEY_INVENTORY_PREFIX "ll/a/"
/** Run records of a machine, as an early version stored them; not understood any more. */
#define KEY_LEGACY_RECORDS_PREFIX "ll/m/"

/* Each returns a new text. */
char *key_job(job_id id);
char *key_machine(machine_id id);
char *key_node(const char *label);
char *key_node_version(const char *label);
char *key_record_page(const char *label, int number);
char *key_inventory(const char *label, int number);

/** Reads the label (a new text) and the number from the key of a page or an inventory. */
bool key_parse_page(const char *key, char **label, int *number);
/** Whether it is the key of a job; there may be very many of these. */
bool key_is_job(const char *key);

#endif
