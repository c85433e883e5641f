/**
 * The records of the replica: what the stored keys say of jobs, tasks, machines and nodes, linked
 * to one another. The replica owns them all and others only read them; a record may be freed
 * whenever the replica applies a change, so others keep ids in place of pointers.
 */
#ifndef LL_REPLICA_RECORDS_H
#define LL_REPLICA_RECORDS_H

#include "codec.h"

/** What a node understands, as its own key says. */
enum node_version {
    /** The key says nothing. */
    NODE_VERSION_INITIAL = 0,
    /**
     * Jobs may depend on others, a machine's records may be on several pages, and completions may
     * begin within a chunk.
     */
    NODE_VERSION_JOB_DAG = 1,
    /** Nothing is placed on machines that a recorded intent is going to return. */
    NODE_VERSION_SINGLETON_ROLES = 2,
    /** Of this program. */
    NODE_VERSION_CURRENT = NODE_VERSION_SINGLETON_ROLES,
};

enum job_state { JOB_ACTIVE, JOB_CANCELLED, JOB_DONE };

/** A job. */
struct job {
    job_id id;
    /** Its key was seen; otherwise only pages name it. */
    bool is_loaded;
    /** Its key will not change any more. */
    bool is_final;
    enum job_state state;
    revision mod_revision;
    /** NULL once it is finished. */
    struct job_spec *spec;
    wall_time submitted_at;
    /** When it could first have started: when the last of its dependencies was done. */
    wall_time eligible_at;
    /** 0: not finished, or not known. */
    wall_time ended_at;
    /** By when it must be done, also for the jobs that depend on it. */
    wall_time inherited_deadline;
    /** The highest of its own and those of the jobs that depend on it; lower numbers are higher. */
    int inherited_priority;
    /** A dependency is not done: none of its tasks may start. */
    bool has_pending_dependencies;
    /** It is cancelled because a job that it depends on is. */
    bool is_upstream_cancelled;
    /** The revision of the first cancellation that applies to it. */
    revision cancel_revision;
    /** One bit a task; NULL: no task is completed. */
    GByteArray *completion_bits;
    uint32_t task_count, completed_count;
    /** Task index + 1 -> struct run_record; NULL: there is none. */
    GHashTable *run_records;
};

/** A task on record: it runs on its machine, or may run there, until the record is removed. */
struct run_record {
    struct job *job;
    uint32_t task_index;
    attempt_no attempt;
    struct machine_record *machine;
    struct record_page *page;
    /** The generation of its page in which it was last read. */
    uint64_t page_generation;
};

/** A machine that some key names. */
struct machine_record {
    machine_id id;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    /** Of its own key; 0: it has none. */
    revision mod_revision;
    /** Array of struct run_record, which it owns. */
    GPtrArray *run_records;
    /** Interned names of the images it has fetched, the newest last. */
    GPtrArray *cached_images;
    /** Cache of replica_get_machine_description. */
    char *description;
    /** The inventory that describes it; NULL: none. */
    struct machine_inventory *inventory;
};

/** A list of a node's machines: as long as it is stored, pages need not describe them. */
struct machine_inventory {
    char *key, *label;
    int number;
    revision mod_revision;
    /** Array of struct machine_record. */
    GPtrArray *machines;
};

/**
 * A page of run records and completions, as one node wrote it. After a change of shard owners it
 * may hold records of machines that other nodes own by now, until these have taken the records
 * over.
 */
struct record_page {
    char *key, *label;
    int number;
    revision mod_revision;
    /** Array of struct run_record. */
    GPtrArray *run_records;
    /** The completions as they are stored (completions_codec.h). */
    char *encoded_completions;
    /** Length of the texts of records and completions. */
    gsize size_bytes;
    /** Counts the times that it was read. */
    uint64_t generation;
};

/** A live node. */
struct node_record {
    char *label;
    char rpc_address[24];
    /** The lease of its process, which tells it from earlier ones of that label. */
    lease_id incarnation;
    revision mod_revision;
    /** See enum node_version. */
    uint64_t supported_version;
    /** Its operators have switched singleton roles on. */
    bool wants_singleton_roles;
};

/** A node in the shard map, as the process that it was when the map was written. */
struct shard_map_entry {
    char *label;
    lease_id incarnation;
};

/** The run record of a task, or NULL. */
struct run_record *job_get_run_record(const struct job *job, uint32_t task_index);
bool job_is_task_completed(const struct job *job, uint32_t task_index);

/** Reads the value of a finished job into the job; false, and nothing is changed, for others. */
bool job_decode_final(struct job *job, json_object *value);
/** The value of a finished job; the caller owns it. */
json_object *job_encode_final(enum job_state final_state, uint32_t task_count, wall_time ended_at);

#endif
