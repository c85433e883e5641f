/**
 * The records of the replica: the decoded values of the stored keys for jobs, tasks, machines and
 * nodes, with links between them. The replica owns all records; other modules only read them. A
 * record may be freed whenever the replica applies a change, so other modules have to keep ids, not
 * pointers.
 */
#ifndef LL_REPLICA_RECORDS_H
#define LL_REPLICA_RECORDS_H

#include "codec.h"

/** The version of the stored records and messages that a node supports, as stored in its key. */
enum node_version {
    /** The node's key contains no version. */
    NODE_VERSION_INITIAL = 0,
    /**
     * Jobs may depend on other jobs, the run records of a machine may be on several pages, and
     * encoded completions may begin within a chunk.
     */
    NODE_VERSION_JOB_DAG = 1,
    /** No task is placed on a machine that a recorded intent will return to the cloud. */
    NODE_VERSION_SINGLETON_ROLES = 2,
    /** The fencing tokens of agents may contain a serial (agent_token.h). */
    NODE_VERSION_TOKEN_SERIALS = 3,
    /** The version of this program. */
    NODE_VERSION_CURRENT = NODE_VERSION_TOKEN_SERIALS,
};

/** The state of a job; done and cancelled jobs are finished. */
enum job_state { JOB_ACTIVE, JOB_CANCELLED, JOB_DONE };

/** A job with its dependencies, completed tasks and run records. */
struct job {
    job_id id;
    /** The value of the job's key was read; otherwise only record pages refer to the job. */
    bool is_loaded;
    /** The job's key contains the final state and will not change again. */
    bool is_final;
    enum job_state state;
    revision mod_revision;
    /** The submitted specification; NULL once the final state was read. */
    struct job_spec *spec;
    wall_time submitted_at;
    /** The earliest time at which the job could start: when its last dependency was done. */
    wall_time eligible_at;
    /** 0 if the job is not finished or the time is unknown. */
    wall_time ended_at;
    /** The time by which the job must be done for it and its dependents to meet their deadlines. */
    wall_time inherited_deadline;
    /**
     * The highest of its own priority and those of the jobs that depend on it; a lower number is a
     * higher priority.
     */
    int inherited_priority;
    /** A dependency is not done yet, so none of the job's tasks may start. */
    bool has_pending_dependencies;
    /** The job is cancelled because a job that it depends on is cancelled. */
    bool is_upstream_cancelled;
    /** The revision of the first cancellation that applies to the job. */
    revision cancel_revision;
    /** One bit per task; NULL if no task is completed. */
    GByteArray *completion_bits;
    uint32_t task_count, completed_count;
    /** Task index + 1 -> struct run_record; NULL if there are no run records. */
    GHashTable *run_records;
};

/**
 * A stored record of an attempt to run a task on a machine. As long as the record exists, the task
 * is running on the machine or may be running there.
 */
struct run_record {
    struct job *job;
    uint32_t task_index;
    attempt_no attempt;
    struct machine_record *machine;
    struct record_page *page;
    /** The generation of its page when the record was last read. */
    uint64_t page_generation;
};

/** A machine that at least one stored key refers to. */
struct machine_record {
    machine_id id;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    /** The revision of the machine's own key; 0 if it has none. */
    revision mod_revision;
    /** Array of struct run_record, owned by the machine. */
    GPtrArray *run_records;
    /** Interned names of the images that the machine has fetched, the newest last. */
    GPtrArray *cached_images;
    /** Cached result of replica_get_machine_description. */
    char *description;
    /** The inventory that describes the machine; NULL if there is none. */
    struct machine_inventory *inventory;
};

/** A stored list of a node's machines. Record pages need not describe the machines listed here. */
struct machine_inventory {
    char *key, *label;
    int number;
    revision mod_revision;
    /** Array of struct machine_record. */
    GPtrArray *machines;
};

/**
 * A record page: run records and completions written by one node. After a change of shard owners a
 * page may contain records of machines that other nodes own now, until these nodes have moved the
 * records to their own pages.
 */
struct record_page {
    char *key, *label;
    int number;
    revision mod_revision;
    /** Array of struct run_record. */
    GPtrArray *run_records;
    /** The completions in their stored form (completions_codec.h). */
    char *encoded_completions;
    /** The total length of the encoded records and completions. */
    gsize size_bytes;
    /** The number of times that the page was read. */
    uint64_t generation;
};

/** A live node. */
struct node_record {
    char *label;
    char rpc_address[24];
    /** The lease of the node's process; distinguishes it from earlier processes of the node. */
    lease_id incarnation;
    revision mod_revision;
    /** See enum node_version. */
    uint64_t supported_version;
    /** The node's operators have enabled singleton roles. */
    bool wants_singleton_roles;
};

/** A node in the shard map, identified by the process that ran when the map was written. */
struct shard_map_entry {
    char *label;
    lease_id incarnation;
};

/** Returns the run record of a task, or NULL if there is none. */
struct run_record *job_get_run_record(const struct job *job, uint32_t task_index);
/** Returns true if the task is recorded as completed. */
bool job_is_task_completed(const struct job *job, uint32_t task_index);

/**
 * Decodes the final state of a job into the job. Returns false and leaves the job unchanged if the
 * value contains no final state.
 */
bool job_decode_final(struct job *job, json_object *value);
/** Encodes the value that stores the final state of a job. The caller owns the result. */
json_object *job_encode_final(enum job_state final_state, uint32_t task_count, wall_time ended_at);

#endif
