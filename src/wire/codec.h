/* The protocols' words and forms. Nothing else in the code knows them: codec_job.c those of users,
 * codec_worker.c those of workers, codec_cloud.c those of the cloud; codec_json.c reads and writes
 * fields. docs/design.md maps the words to the names used here. */
#ifndef LL_CODEC_H
#define LL_CODEC_H

#include "json_fields.h"

/* How a job's tasks belong together. */
enum form { FORM_ARRAY, FORM_GANG, FORM_SERVICE };
/* A job's priority, the highest first. */
enum urgency { URGENCY_PROD, URGENCY_HIGH, URGENCY_NORMAL, URGENCY_BEST_EFFORT };

/* What a user submitted. */
struct spec {
    job_id id;
    char *job_class, *team_name;
    char *image; /* interned */
    enum form form;
    enum urgency urgency;
    uint32_t tasks;
    amount cpus, gpus, memory;
    double image_gb;
    char **type_names; /* NULL: any */
    char *zone;        /* NULL: any */
    bool one_zone, apart, spot;
    double expected_s, checkpoint_s, save_s, due_s; /* due_s < 0: no deadline */
    job_id *awaits;                                 /* jobs that have to be done before */
    guint n_awaits;
};

/* Frees what it holds, and leaves it empty. */
void spec_clear(struct spec *spec);
/* The word for it. */
const char *codec_urgency_word(enum urgency u);

/* What a worker says of a task. */
enum task_state { TASK_FETCHING, TASK_WAITING_FOR_GANG, TASK_RUNNING, TASK_SAVING, TASK_EXITED };
/* Why a task has exited. */
enum cause {
    CAUSE_DONE,
    CAUSE_HALTED,
    CAUSE_PEERS,
    CAUSE_INCOMPLETE,
    CAUSE_ERROR,
    CAUSE_NO_ROOM,
    CAUSE_BUSY,
    CAUSE_NO_SUCH,
    CAUSE_UNKNOWN
};

/* A task in a report. */
struct report_task {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    enum task_state state;
    enum cause cause;
    bool stored;
};

/* A worker's report. */
struct report {
    host_id host;
    char addr[24], type_name[48], zone[48];
    bool spot;
    uint64_t session, sequence, token;
    double reclaim_notice_s; /* < 0: no notice */
    GArray *tasks;           /* struct report_task */
};

/* Frees what it holds. */
void report_clear(struct report *report);

/* What a worker is told to do with a task. */
enum command_verb { COMMAND_RUN, COMMAND_HALT, COMMAND_CLEAR };

/* A command to a worker. */
struct command {
    enum command_verb verb;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    double grace_s; /* of a halt */
};

/* A type of machine that the cloud rents. */
struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    double image_cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
    char **zones;
};

/* How far a rented machine is. */
enum rental_stage { RENTAL_BOOTING, RENTAL_RUNNING, RENTAL_FAILED };

/* A rented machine, as the cloud lists it. */
struct rental {
    host_id id;
    char addr[24], type_name[48], zone[48];
    bool spot;
    enum rental_stage stage;
    double age_s;
};

/* The id of a submission, whatever else is wrong with it. */
bool codec_id_read(json_object *object, job_id *out);
/* Reads a submission without what it awaits. */
bool codec_spec_read(json_object *object, struct spec *out);
/* Adds that: each job once. False when it is no list of jobs, too long, or names the job itself. */
bool codec_awaits_read(json_object *object, struct spec *spec);
/* The same form as a submission. */
json_object *codec_spec_write(const struct spec *spec);

/* The answer to users. */
char *codec_job_answer(job_id id, const char *stage, long done, long running);

/* Reads a report; false: malformed. */
bool codec_report_read(json_object *object, struct report *out);
/* session 0: the answer to a report, which carries no session. */
char *codec_commands_write(epoch_no token, uint64_t session, const struct command *commands,
                           guint n);
/* Sends a worker to the node of that label; NULL: its owner is not known. */
char *codec_redirect_write(const char *label);

/* An array of struct machine_type; NULL: malformed. */
GArray *codec_types_read(json_object *object);
/* The same form as the cloud's. */
json_object *codec_types_write(const GArray *types);
/* A page of the cloud's list, an array of struct rental; NULL: malformed. */
GArray *codec_rentals_read(json_object *object, bool *more);
/* An order of machines under a name of its own, with which it may be sent again. */
char *codec_rent_write(const char *charter, const char *type_name, const char *zone, bool spot,
                       int number);
/* The machines of an answer to that, an array of host_id; NULL: malformed. */
GArray *codec_rented_read(json_object *object);
/* Gives machines back. */
char *codec_return_write(const host_id *hosts, guint n);

/* Reads JOB/INDEX. */
bool task_name_read(const char *text, job_id *job, uint32_t *index);

#endif
