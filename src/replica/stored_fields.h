/**
 * The words of the values stored below ll/ (kv_keys.h), for those who read and write them. They are
 * stored for good, and nodes of several versions read them, so they never change.
 *
 * The texts of record pages and inventories have codecs of their own (record_page_codec.h); roles
 * and intents, too (role_codec.h).
 */
#ifndef LL_STORED_FIELDS_H
#define LL_STORED_FIELDS_H

/* ---- ll/j/JOB ---- */

/** What was submitted; see job_spec_encode. */
#define JOB_FIELD_SPEC "w"
/** When it was submitted. */
#define JOB_FIELD_SUBMITTED_MS "t"
/** Whether a user has cancelled it. */
#define JOB_FIELD_IS_CANCELLED "c"
/** Of a finished job, in place of all others: how it ended, its number of tasks, and when. */
#define JOB_FIELD_FINAL_STATE "f"
#define JOB_FIELD_TASK_COUNT "n"
#define JOB_FIELD_ENDED_MS "e"
#define JOB_FINAL_STATE_DONE "done"
#define JOB_FINAL_STATE_CANCELLED "cancelled"

/* ---- ll/h/MACHINE ---- */

#define MACHINE_FIELD_ADDRESS "a"
#define MACHINE_FIELD_TYPE "b"
#define MACHINE_FIELD_ZONE "y"
#define MACHINE_FIELD_IS_SPOT "l"
/** The names of cached images. */
#define MACHINE_FIELD_IMAGES "i"

/* ---- ll/p/LABEL/N and ll/a/LABEL/N ---- */

#define PAGE_FIELD_RUN_RECORDS "t"
#define PAGE_FIELD_COMPLETIONS "d"
#define INVENTORY_FIELD_MACHINES "a"

/* ---- ll/n/LABEL and ll/v/LABEL ---- */

/** The lease of the process. */
#define NODE_FIELD_INCARNATION "i"
#define NODE_FIELD_RPC_ADDRESS "b"
/** What it understands: see enum node_version. */
#define NODE_FIELD_VERSION "v"
/** Whether its operators have switched singleton roles on. */
#define NODE_FIELD_SINGLETON_ROLES "duties"

/* ---- ll/leader and ll/map ---- */

/** A process of a node: all of ll/leader, and each node in ll/map. */
#define PROCESS_FIELD_LABEL "n"
#define PROCESS_FIELD_INCARNATION "i"
#define SHARD_MAP_FIELD_EPOCH "e"
#define SHARD_MAP_FIELD_NODES "n"

/* ---- ll/features ---- */

#define FEATURES_FIELD_SINGLETON_ROLES "duties"

/* ---- ll/types and ll/types/N ---- */

/** A part of the list; see machine_types_encode. */
#define MACHINE_TYPES_FIELD_TYPES "Builds"
/** In ll/types: the number of keys that continue the list. */
#define MACHINE_TYPES_FIELD_CONTINUATIONS "more"

#endif
