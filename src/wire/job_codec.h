/** Codec of the protocol of users: job submissions and job status. */
#ifndef LL_JOB_CODEC_H
#define LL_JOB_CODEC_H

#include "json_fields.h"

/** How the tasks of a job relate to each other. */
enum job_form {
    /** The tasks run independently. */
    FORM_ARRAY,
    /** The tasks run all at the same time or not at all. */
    FORM_GANG,
    /** The tasks are replicas that run until the job is cancelled. */
    FORM_SERVICE,
};

/** Job priorities, highest first. */
enum job_priority { PRIORITY_PROD, PRIORITY_HIGH, PRIORITY_NORMAL, PRIORITY_BEST_EFFORT };

/** The specification of a job, as submitted. */
struct job_spec {
    job_id id;
    char *job_class, *team_name;
    /** Interned, so that images are compared by address. */
    char *image;
    enum job_form form;
    enum job_priority priority;
    uint32_t task_count;
    /** Resources of each task. */
    amount cpus, gpus, memory;
    double image_gb;
    /** Names of the machine types that the tasks may use, NULL-terminated; NULL if any type will
     * do. */
    char **machine_type_names;
    /** The zone that the tasks must use; NULL if any zone will do. */
    char *zone;
    /** Whether all tasks must be in one zone; whether they must be spread over as many
     * zones as there are. */
    bool needs_single_zone, needs_separate_zones;
    bool may_use_spot;
    double expected_run_s;
    /** Time between checkpoints of a task, and the time that saving one takes. */
    double checkpoint_interval_s, checkpoint_save_s;
    /** Seconds from submission to the deadline; negative if there is none. */
    double deadline_s;
    /** Jobs that must be done before this job may start. */
    job_id *dependencies;
    guint dependency_count;
};

/** Frees the contents of a specification and resets it to zero. */
void job_spec_clear(struct job_spec *spec);
/** Returns the name of a priority in the protocol. */
const char *job_priority_name(enum job_priority priority);

/** Decodes the job id of a submission whose other fields may be malformed. */
bool job_spec_decode_id(json_object *object, job_id *out);
/** Decodes a submission except its dependencies. If it is malformed, returns false and leaves the
 * specification empty. */
bool job_spec_decode(json_object *object, struct job_spec *spec);
/**
 * Decodes the dependencies of a submission into its specification, without duplicates. Returns
 * false if they are malformed or too many, or if the job depends on itself.
 */
bool job_spec_decode_dependencies(json_object *object, struct job_spec *spec);
/** Encodes a specification in the format of a submission. The caller owns the object. */
json_object *job_spec_encode(const struct job_spec *spec);
/** Returns whether a submission has a dependencies field, which may be malformed. */
bool job_spec_has_dependencies_field(json_object *object);
/**
 * Replaces the dependencies in an encoded specification, and takes ownership of the array of job
 * ids. An empty array removes the field.
 */
void job_spec_put_dependencies(json_object *object, json_object *job_ids);

/** The stage of a job, as reported to its user. */
enum job_stage { JOB_STAGE_QUEUED, JOB_STAGE_RUNNING, JOB_STAGE_DONE, JOB_STAGE_CANCELLED };

/** Encodes the status of a job into a new string. If `completed` is negative, the numbers of
 * completed and running tasks are left out. */
char *job_status_encode(job_id id, enum job_stage stage, long completed, long running);

/** Parses a task name of the form JOB/INDEX. */
bool task_name_parse(const char *text, job_id *job, uint32_t *index);

#endif
