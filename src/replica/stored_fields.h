/**
 * Field names in the JSON values stored below ll/ (kv_keys.h). The values are persistent and are
 * read by nodes of different versions, so the names must never change.
 *
 * The strings of record pages and inventories have their own codec (record_page_codec.h), and so do
 * roles and intents (role_codec.h).
 */
#ifndef LL_STORED_FIELDS_H
#define LL_STORED_FIELDS_H

/* ---- ll/j/JOB ---- */

/** The submitted specification; see job_spec_encode. */
#define JOB_FIELD_SPEC "w"
/** When the job was submitted. */
#define JOB_FIELD_SUBMITTED_MS "t"
/** Whether a user has cancelled the job. */
#define JOB_FIELD_IS_CANCELLED "c"
/**
 * The final state of a finished job. Together with the number of tasks and the end time it replaces
 * all other fields.
 */
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

/** The lease of the node's process. */
#define NODE_FIELD_INCARNATION "i"
#define NODE_FIELD_RPC_ADDRESS "b"
/** The version that the node supports: see enum node_version. */
#define NODE_FIELD_VERSION "v"
/** Whether the node's operators have enabled singleton roles. */
#define NODE_FIELD_SINGLETON_ROLES "duties"

/* ---- ll/leader and ll/map ---- */

/** Fields that identify a process of a node, in ll/leader and for each node in ll/map. */
#define PROCESS_FIELD_LABEL "n"
#define PROCESS_FIELD_INCARNATION "i"
#define SHARD_MAP_FIELD_EPOCH "e"
#define SHARD_MAP_FIELD_NODES "n"
#define SHARD_MAP_FIELD_TOKEN_SERIALS "ts"

/* ---- ll/features ---- */

#define FEATURES_FIELD_SINGLETON_ROLES "duties"

/* ---- ll/types and ll/types/N ---- */

/** One part of the list of machine types; see machine_types_encode. */
#define MACHINE_TYPES_FIELD_TYPES "Builds"
/** In ll/types only: the number of keys that continue the list. */
#define MACHINE_TYPES_FIELD_CONTINUATIONS "more"

#endif
