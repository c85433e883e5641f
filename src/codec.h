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
    char *lot, *crew;
    char *image; /* interned */
    enum form form;
    enum urgency urgency;
    uint32_t tasks;
    amount cpus, gpus, memory;
    double image_gb;
    char **builds; /* NULL: any */
    char *yard;    /* NULL: any */
    bool one_zone, apart, loaners;
    double expected_s, mark_every_s, stow_s, due_s; /* due_s < 0: no deadline */
    job_id *awaits;                                 /* jobs that have to be done before */
    guint n_awaits;
};

void spec_clear(struct spec *s);
const char *codec_urgency_word(enum urgency u);

enum task_state { TASK_FETCHING, TASK_GATHERING, TASK_RUNNING, TASK_FLUSHING, TASK_EXITED };
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
    char addr[24], build[48], yard[48];
    bool loaners;
    uint64_t shift, tally, helm;
    double recall_s; /* < 0: no notice */
    GArray *tasks;   /* struct report_task */
};

void report_clear(struct report *r);

enum order_verb { ORDER_RUN, ORDER_HALT, ORDER_CLEAR };

struct order {
    enum order_verb verb;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    double wind_down_s; /* of a halt */
};

struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    double local_gb, fetch_gb_per_s, price, market_price, ready_s;
    char **yards;
};

enum rental_stage { RENTAL_BOOTING, RENTAL_RUNNING, RENTAL_FAILED };

struct rental {
    host_id id;
    char addr[24], build[48], yard[48];
    bool loaners;
    enum rental_stage stage;
    double held_s;
};

/* Strict: one JSON text and nothing behind it, nested 16 deep at most. NULL otherwise. */
json_object *json_read(const char *text, size_t len);

/* The id of a submission, whatever else is wrong with it. */
bool codec_id_read(json_object *o, job_id *out);
/* Without what it awaits. */
bool codec_spec_read(json_object *o, struct spec *out);
/* Adds that: each job once. False when it is no list of jobs, too long, or names the job itself. */
bool codec_awaits_read(json_object *o, struct spec *s);
json_object *codec_spec_write(const struct spec *s);

/* The answer to users. */
char *codec_job_answer(job_id id, const char *stage, long done, long running);

bool codec_report_read(json_object *o, struct report *out);
/* shift 0: the answer to a report, which carries no session. */
char *codec_orders_write(epoch_no helm, uint64_t shift, const struct order *orders, guint n);
char *codec_harbour_write(const char *label);

/* False: malformed. An array of struct machine_type. */
GArray *codec_types_read(json_object *o);
json_object *codec_types_write(const GArray *types);
GArray *codec_rentals_read(json_object *o, bool *more); /* struct rental */
char *codec_rent_write(const char *charter, const char *build, const char *yard, bool loaners,
                       int number);
GArray *codec_rented_read(json_object *o); /* host_id */
char *codec_return_write(const host_id *hosts, guint n);

/* Small helpers over json-c, for the modules that keep JSON in the state service. */
bool json_text(json_object *o, const char *field, const char **out);
bool json_u64(json_object *o, const char *field, uint64_t *out);
bool json_number(json_object *o, const char *field, double *out);
bool json_flag(json_object *o, const char *field, bool *out);
json_object *json_list(json_object *o, const char *field);
void json_put_text(json_object *o, const char *field, const char *value);
void json_put_u64(json_object *o, const char *field, uint64_t value);
bool task_name_read(const char *text, job_id *job, uint32_t *index);

#endif
