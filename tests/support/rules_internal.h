/** What the files of the rules share: the jobs as they were seen from outside, and the submissions.
 */
#ifndef LL_TEST_RULES_INTERNAL_H
#define LL_TEST_RULES_INTERNAL_H

#include "rules.h"

#include <json-c/json.h>

enum submission_form { SUBMISSION_ARRAY, SUBMISSION_GANG, SUBMISSION_SERVICE };

/** Of processors, cards and memory, in thousandths. */
struct milli_resources {
    int64_t cpus, gpus, memory;
};

/** A submission, read here and not by the code under test. */
struct submission {
    /** The field that is missing or wrong; NULL: none. */
    char *invalid_field;
    char *job_class, *team_name, *zone;
    char **type_names, **dependencies;
    enum submission_form form;
    int64_t tasks;
    struct milli_resources per_task;
    bool one_zone, spread_over_zones, may_use_spot;
};

/** A task that is on a machine. */
struct placed_task {
    char machine[48], zone[48];
    uint32_t task_index;
};

/** A job, and what users were told of it and machines did for it. */
struct observed_job {
    char *id;
    /** The submission that counts; NULL: none. */
    struct submission *submission;
    /** Submissions that were not refused. */
    int open_submissions;
    /** by_user: a user asked to cancel it. cancelled, done: what users were told. over_by_hand: its
     * end was written by the test itself. */
    bool accepted, cancel_requested, cancelled, done, ended_by_test;
    mono_time accepted_at, cancelled_at, done_at, submitted_at, all_tasks_started_at, waiting_since;
    bool all_tasks_started, is_waiting;
    /** struct placed_task: its tasks on machines. */
    GArray *placed_tasks;
    /** A byte for each task index. */
    GByteArray *started_tasks, *completed_tasks;
    int64_t started_count, completed_count;
};

struct rules {
    const struct settings *settings;
    const char *machine_types;
    /** id -> struct observed_job */
    GHashTable *jobs;
    /** What each team uses. */
    struct milli_resources *team_usage;
    /** The violations, one line each. */
    GString *violations;
    /** rule -> how often it was reported */
    GHashTable *report_counts;
};

/** Notes that a rule is broken, in words. Only the first MAX_REPORTS of each rule are kept. */
void G_GNUC_PRINTF(3, 4)
    rules_report_violation(struct rules *rules, const char *rule, const char *format, ...);

/** Simulated time in seconds, for messages. */
double rules_seconds(mono_time t);

/** The job with that id, which is added when it is new. */
struct observed_job *observed_job_get(struct rules *rules, const char *id);

/** Whether a user cancelled the job or, directly or not, one that it depends on. depth: how many
 * jobs lie between; 0 from outside. */
bool observed_job_may_be_cancelled(struct rules *rules, struct observed_job *observed, int depth);

/** Whether all tasks of a job were seen to complete. */
bool observed_job_is_done(const struct observed_job *observed);

/* ---- rules_submission.c ---- */

/** Parses a JSON object; NULL when the text is none. The caller puts it. */
json_object *rules_parse_object(const char *text);

/** A field, owned by the object; NULL when it is missing. */
json_object *rules_json_field(json_object *object, const char *name);

/** A copy of a text field; NULL when it is missing or no text. */
char *rules_copy_json_string(json_object *object, const char *name);

/** Reads a submission; what it lacks is in ->lacks. */
struct submission *submission_parse(json_object *object);

/** Frees a submission; NULL is allowed. */
void submission_free(struct submission *submission);

/** Whether a team that uses that much is within its limit with so many more tasks. */
bool team_limit_allows(const struct team *team, struct milli_resources used,
                       struct milli_resources per_task, int64_t tasks);

/** Whether a NULL-terminated list has that text. */
bool string_list_contains(char **list, const char *string);

/** What a machine type, as the cloud describes it, has. */
struct milli_resources machine_type_resources(json_object *machine_type);

/** How many tasks of a size fit into what is free. */
int64_t count_tasks_that_fit(struct milli_resources free, struct milli_resources per_task);

/** Reports a job that was accepted although it lacks a field, fits no type or is beyond its team's
 * limit. */
void submission_check_accepted(struct rules *rules, const char *id,
                               const struct submission *submission);

/* ---- rules_tasks.c ---- */

/** Whether a set of task indices has that one. */
bool task_set_contains(const GByteArray *task_set, uint32_t index);

/** Adds times b to a. */
void milli_resources_add_times(struct milli_resources *sum, struct milli_resources added,
                               int64_t times);

/** What the team of a job uses; NULL when the team is unknown. */
struct milli_resources *observed_job_team_usage(struct rules *rules,
                                                const struct observed_job *observed);

/** Whether a submission's types, zone and spot setting allow a machine. */
bool submission_allows_machine(const struct submission *submission,
                               const struct rules_machine *machine);

/** How many more of the job's tasks may be in a zone, given those that are on machines. */
int64_t observed_job_zone_capacity(const struct observed_job *observed, const char *zone);

/** Whether a task of the job is on a machine. */
bool observed_job_is_on_machine(const struct observed_job *observed, uint32_t index);

/** Counts a task as on a machine from now on. */
void observed_job_place_task(struct rules *rules, struct observed_job *observed, mono_time now,
                             const struct rules_machine *machine, uint32_t index);

#endif
