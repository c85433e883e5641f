/**
 * Field names and values in the protocols of users, agents and the cloud. Only the codecs in
 * src/wire include this file; all other code uses the terms of the field (see
 * docs/architecture.md).
 */
#ifndef LL_PROTOCOL_WORDS_H
#define LL_PROTOCOL_WORDS_H

/* ---- several protocols ---- */

#define FIELD_ID "Id"
#define FIELD_STAGE "Stage"
#define FIELD_ADDRESS "Address"
/** The name of a machine type. */
#define FIELD_MACHINE_TYPE "Build"
/** In a job, the names of machine types; in the list of the cloud, the machine types themselves. */
#define FIELD_MACHINE_TYPES "Builds"
#define FIELD_ZONE "Yard"
#define FIELD_ZONES "Yards"
/** Whether a machine is a spot machine, or whether a job may use spot machines. */
#define FIELD_SPOT "Loaners"
#define FIELD_CPUS "Vcpus"
#define FIELD_GPUS "Cards"
#define FIELD_MEMORY_GB "MemoryGb"
#define FIELD_MORE "More"

/* ---- jobs ---- */

#define FIELD_JOB_CLASS "Lot"
#define FIELD_TEAM "Crew"
#define FIELD_IMAGE "Mould"
#define FIELD_FORM "Form"
#define FIELD_PRIORITY "Urgency"
#define FIELD_TASK_COUNT "Pieces"
#define FIELD_IMAGE_GB "ImageGb"
#define FIELD_SINGLE_ZONE "OneZone"
#define FIELD_SEPARATE_ZONES "Apart"
#define FIELD_EXPECTED_RUN_S "ExpectedS"
#define FIELD_CHECKPOINT_INTERVAL_S "MarkEveryS"
#define FIELD_CHECKPOINT_SAVE_S "StowS"
#define FIELD_DEADLINE_S "DueS"
#define FIELD_DEPENDENCIES "Awaits"
#define FIELD_DONE_COUNT "done"
#define FIELD_RUNNING_COUNT "running"
/** The prefix of every job id. */
#define JOB_ID_PREFIX "wk-"

/* ---- agents ---- */

#define FIELD_MACHINE "Mast"
#define FIELD_AGENT_EPOCH "Shift"
#define FIELD_SEQUENCE "Tally"
#define FIELD_FENCING_TOKEN "Helm"
#define FIELD_RECLAIM_NOTICE_S "RecallS"
#define FIELD_TASKS "Pieces"
/** A task name, JOB/INDEX. */
#define FIELD_TASK "Piece"
#define FIELD_ATTEMPT "Try"
#define FIELD_EXIT_CAUSE "Cause"
#define FIELD_HAS_SAVED_STATE "Stored"
#define FIELD_COMMANDS "Orders"
#define FIELD_VERB "Verb"
#define FIELD_GRACE_PERIOD_S "WindDownS"
#define FIELD_OWNER "Harbour"

/* ---- the cloud ---- */

#define FIELD_TYPE_NAME "Label"
#define FIELD_IMAGE_CACHE_GB "LocalGb"
#define FIELD_FETCH_GB_PER_S "FetchGbPerS"
#define FIELD_PRICE "Price"
#define FIELD_SPOT_PRICE "MarketPrice"
#define FIELD_BOOT_TIME_S "ReadyS"
#define FIELD_MACHINES "Masts"
#define FIELD_AGE_S "HeldS"
#define FIELD_REQUEST_ID "Charter"
#define FIELD_MACHINE_COUNT "Number"
#define FIELD_ERROR "error"
/** The value of FIELD_ERROR when no machine of the requested type is left in the zone. */
#define ERROR_NO_CAPACITY "no capacity"
/** Query parameters of the list of machines. */
#define QUERY_AFTER_ID "From"
#define QUERY_PAGE_LENGTH "Page"

#endif
