/* The protocols' words and forms. Nothing else in the code knows them. */
#ifndef LL_CODEC_H
#define LL_CODEC_H

#include "types.h"

#include <json-c/json.h>

enum form { FORM_ARRAY, FORM_GANG, FORM_SERVICE };
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

void spec_clear(struct spec *spec);
const char *codec_urgency_word(enum urgency u);

enum task_state { TASK_FETCHING, TASK_WAITING_FOR_GANG, TASK_RUNNING, TASK_SAVING, TASK_EXITED };
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

struct report_task {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    enum task_state state;
    enum cause cause;
    bool stored;
};

struct report {
    host_id host;
    char addr[24], type_name[48], zone[48];
    bool spot;
    uint64_t session, sequence, token;
    double reclaim_notice_s; /* < 0: no notice */
    GArray *tasks;           /* struct report_task */
};

void report_clear(struct report *report);

enum command_verb { COMMAND_RUN, COMMAND_HALT, COMMAND_CLEAR };

struct command {
    enum command_verb verb;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    double grace_s; /* of a halt */
};

struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    double image_cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
    char **zones;
};

enum rental_stage { RENTAL_BOOTING, RENTAL_RUNNING, RENTAL_FAILED };

struct rental {
    host_id id;
    char addr[24], type_name[48], zone[48];
    bool spot;
    enum rental_stage stage;
    double age_s;
};

/* Strict: one JSON text and nothing behind it, nested 16 deep at most. NULL otherwise. */
json_object *json_read(const char *text, size_t len);

/* The id of a submission, whatever else is wrong with it. */
bool codec_id_read(json_object *object, job_id *out);
/* Without what it awaits. */
bool codec_spec_read(json_object *object, struct spec *out);
/* Adds that: each job once. False when it is no list of jobs, too long, or names the job itself. */
bool codec_awaits_read(json_object *object, struct spec *spec);
json_object *codec_spec_write(const struct spec *spec);

/* The answer to users. */
char *codec_job_answer(job_id id, const char *stage, long done, long running);

bool codec_report_read(json_object *object, struct report *out);
/* shift 0: the answer to a report, which carries no session. */
char *codec_commands_write(epoch_no token, uint64_t session, const struct command *commands,
                           guint n);
char *codec_redirect_write(const char *label);

/* False: malformed. An array of struct machine_type. */
GArray *codec_types_read(json_object *object);
json_object *codec_types_write(const GArray *types);
GArray *codec_rentals_read(json_object *object, bool *more); /* struct rental */
char *codec_rent_write(const char *charter, const char *type_name, const char *zone, bool spot,
                       int number);
GArray *codec_rented_read(json_object *object); /* host_id */
char *codec_return_write(const host_id *hosts, guint n);

/* Small helpers over json-c, for the modules that keep JSON in the state service. */
bool json_text(json_object *object, const char *field, const char **out);
bool json_u64(json_object *object, const char *field, uint64_t *out);
bool json_number(json_object *object, const char *field, double *out);
bool json_flag(json_object *object, const char *field, bool *out);
json_object *json_list(json_object *object, const char *field);
void json_put_text(json_object *object, const char *field, const char *value);
void json_put_u64(json_object *object, const char *field, uint64_t value);
bool task_name_read(const char *text, job_id *job, uint32_t *index);

#endif
