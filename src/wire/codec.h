/* The protocols' words and forms. Nothing else in the code knows them: job_codec.c those of users,
 * agent_codec.c those of workers, cloud_codec.c those of the cloud; json_fields.c reads and writes
 * fields. docs/design.md maps the words to the names used here. */
#ifndef LL_CODEC_H
#define LL_CODEC_H

#include "json_fields.h"

/* How a job's tasks belong together. */
enum job_form { FORM_ARRAY, FORM_GANG, FORM_SERVICE };
/* A job's priority, the highest first. */
enum job_priority { PRIORITY_PROD, PRIORITY_HIGH, PRIORITY_NORMAL, PRIORITY_BEST_EFFORT };

/* What a user submitted. */
struct job_spec {
    job_id id;
    char *job_class, *team_name;
    char *image; /* interned */
    enum job_form form;
    enum job_priority priority;
    uint32_t task_count;
    amount cpus, gpus, memory;
    double image_gb;
    char **machine_type_names; /* NULL: any */
    char *zone;                /* NULL: any */
    bool needs_single_zone, needs_separate_zones, may_use_spot;
    double expected_run_s, checkpoint_interval_s, checkpoint_save_s,
        deadline_s;       /* deadline_s < 0: no deadline */
    job_id *dependencies; /* jobs that have to be done before */
    guint dependency_count;
};

/* Frees what it holds, and leaves it empty. */
void job_spec_clear(struct job_spec *spec);
/* The word for it. */
const char *job_priority_name(enum job_priority priority);

/* What a worker says of a task. */
enum task_state { TASK_FETCHING, TASK_WAITING_FOR_GANG, TASK_RUNNING, TASK_SAVING, TASK_EXITED };
/* Why a task has exited. */
enum exit_cause {
    CAUSE_DONE,
    CAUSE_STOPPED,
    CAUSE_GANG_PEERS_LOST,
    CAUSE_INCOMPLETE,
    CAUSE_ERROR,
    CAUSE_INSUFFICIENT_RESOURCES,
    CAUSE_BUSY,
    CAUSE_NO_SUCH_TASK,
    CAUSE_UNKNOWN
};

/* A task in a report. */
struct heartbeat_task {
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    enum task_state state;
    enum exit_cause cause;
    bool has_saved_state;
};

/* A worker's report. */
struct heartbeat {
    machine_id machine;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    uint64_t agent_epoch, sequence, fencing_token;
    double reclaim_notice_s; /* < 0: no notice */
    GArray *tasks;           /* struct heartbeat_task */
};

/* Frees what it holds. */
void heartbeat_clear(struct heartbeat *heartbeat);

/* What a worker is told to do with a task. */
enum agent_command_verb { COMMAND_RUN, COMMAND_STOP, COMMAND_CLEAR };

/* A command to a worker. */
struct agent_command {
    enum agent_command_verb verb;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    double grace_period_s; /* of a halt */
};

/* A type of machine that the cloud rents. */
struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    double image_cache_gb, fetch_gb_per_s, price, spot_price, boot_time_s;
    char **zones;
};

/* How far a rented machine is. */
enum cloud_machine_stage { CLOUD_MACHINE_BOOTING, CLOUD_MACHINE_RUNNING, CLOUD_MACHINE_FAILED };

/* A rented machine, as the cloud lists it. */
struct listed_machine {
    machine_id id;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    double age_s;
};

/* The id of a submission, whatever else is wrong with it. */
bool job_spec_decode_id(json_object *object, job_id *out);
/* Reads a submission without what it awaits. */
bool job_spec_decode(json_object *object, struct job_spec *out);
/* Adds that: each job once. False when it is no list of jobs, too long, or names the job itself. */
bool job_spec_decode_dependencies(json_object *object, struct job_spec *spec);
/* The same form as a submission. */
json_object *job_spec_encode(const struct job_spec *spec);
/** Whether a submission, which may be malformed, names dependencies at all. */
bool job_spec_names_dependencies(json_object *object);
/** Replaces the dependencies in an encoded specification. Takes the array of job ids; an empty one
 * leaves the field out. */
void job_spec_put_dependencies(json_object *object, json_object *job_ids);

/* The answer to users. */
char *job_status_encode(job_id id, const char *stage, long completed, long running);

/* Reads a report; false: malformed. */
bool heartbeat_decode(json_object *object, struct heartbeat *out);
/* session 0: the answer to a report, which carries no session. */
char *agent_commands_encode(epoch_no fencing_token, uint64_t agent_epoch,
                            const struct agent_command *commands, guint command_count);
/* Sends a worker to the node of that label; NULL: its owner is not known. */
char *agent_redirect_encode(const char *label);

/* An array of struct machine_type; NULL: malformed. */
GArray *machine_types_decode(json_object *object);
/* The same form as the cloud's. */
json_object *machine_types_encode(const GArray *types);
/* A page of the cloud's list, an array of struct listed_machine; NULL: malformed. */
GArray *cloud_machines_decode(json_object *object, bool *more);
/* An order of machines under a name of its own, with which it may be sent again. */
char *scale_out_request_encode(const char *request_id, const char *type_name, const char *zone,
                               bool is_spot, int machine_count);
/* The machines of an answer to that, an array of machine_id; NULL: malformed. */
GArray *scale_out_response_decode(json_object *object);
/* Gives machines back. */
char *scale_in_request_encode(const machine_id *machines, guint machine_count);

/* Reads JOB/INDEX. */
bool task_name_parse(const char *text, job_id *job, uint32_t *index);

#endif
