/** Codec of the messages of users: submissions and the status of jobs. */
#ifndef LL_JOB_CODEC_H
#define LL_JOB_CODEC_H

#include "json_fields.h"

/** How a job's tasks belong together. */
enum job_form {
    /** Tasks run independently. */
    FORM_ARRAY,
    /** Tasks run at the same time or not at all. */
    FORM_GANG,
    /** Tasks are replicas that run until the job is cancelled. */
    FORM_SERVICE,
};

/** The highest first. */
enum job_priority { PRIORITY_PROD, PRIORITY_HIGH, PRIORITY_NORMAL, PRIORITY_BEST_EFFORT };

/** What was submitted. */
struct job_spec {
    job_id id;
    char *job_class, *team_name;
    /** Interned, so that images are compared by address. */
    char *image;
    enum job_form form;
    enum job_priority priority;
    uint32_t task_count;
    /** What each task takes. */
    amount cpus, gpus, memory;
    double image_gb;
    /** Machine types that its tasks may use, NULL-terminated; NULL: any. */
    char **machine_type_names;
    /** The zone its tasks may use; NULL: any. */
    char *zone;
    /** All tasks must be in one zone; in as many zones as there are. */
    bool needs_single_zone, needs_separate_zones;
    bool may_use_spot;
    double expected_run_s;
    /** How often a task saves a checkpoint, and how long that takes. */
    double checkpoint_interval_s, checkpoint_save_s;
    /** From its submission; negative: none. */
    double deadline_s;
    /** Jobs that must be done before. */
    job_id *dependencies;
    guint dependency_count;
};

/** Frees what it holds, and leaves it empty. */
void job_spec_clear(struct job_spec *spec);
/** The protocol's word for a priority. */
const char *job_priority_name(enum job_priority priority);

/** Decodes the id of a submission, whatever else is wrong with it. */
bool job_spec_decode_id(json_object *object, job_id *out);
/** Decodes a submission without its dependencies. False: malformed, and the spec is empty. */
bool job_spec_decode(json_object *object, struct job_spec *spec);
/**
 * Decodes the dependencies into a spec, each job once. False: malformed, too many, or the job
 * itself is among them.
 */
bool job_spec_decode_dependencies(json_object *object, struct job_spec *spec);
/** Encodes a spec in the form of a submission; the caller owns the object. */
json_object *job_spec_encode(const struct job_spec *spec);
/** Whether a submission, which may be malformed, names dependencies at all. */
bool job_spec_has_dependencies_field(json_object *object);
/**
 * Replaces the dependencies in an encoded specification. Takes ownership of the array of job ids;
 * an empty one leaves the field out.
 */
void job_spec_put_dependencies(json_object *object, json_object *job_ids);

/** Where a job stands, as its user sees it. */
enum job_stage { JOB_STAGE_QUEUED, JOB_STAGE_RUNNING, JOB_STAGE_DONE, JOB_STAGE_CANCELLED };

/** Encodes the answer to a user, a new text. completed < 0: without numbers of tasks. */
char *job_status_encode(job_id id, enum job_stage stage, long completed, long running);

/** Reads JOB/INDEX. */
bool task_name_parse(const char *text, job_id *job, uint32_t *index);

#endif
