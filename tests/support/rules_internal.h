/**
 * Declarations shared by the files of the rule checker: the jobs as observed from the outside, and
 * the parsed submissions.
 */
#ifndef LL_TEST_RULES_INTERNAL_H
#define LL_TEST_RULES_INTERNAL_H

#include "rules.h"

#include <json-c/json.h>

/** The form of a submitted job. */
enum submission_form { SUBMISSION_ARRAY, SUBMISSION_GANG, SUBMISSION_SERVICE };

/** Amounts of CPUs, GPUs and memory, in thousandths. */
struct milli_resources {
    int64_t cpus, gpus, memory;
};

/** A submission, parsed independently of the code under test. */
struct submission {
    /** The first field that is missing or invalid; NULL: none. */
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

/** A job as observed from the outside: what responses reported about it, and what machines ran. */
struct observed_job {
    char *id;
    /** The submission in effect; NULL: none. */
    struct submission *submission;
    /** Number of submissions that were not refused. */
    int open_submissions;
    /**
     * cancel_requested: a user requested its cancellation. cancelled, done: what responses
     * reported. ended_by_test: the test itself wrote the end of the job.
     */
    bool accepted, cancel_requested, cancelled, done, ended_by_test;
    mono_time accepted_at, cancelled_at, done_at, submitted_at, all_tasks_started_at, waiting_since;
    bool all_tasks_started, is_waiting;
    /** Array of struct placed_task: its tasks that are on machines. */
    GArray *placed_tasks;
    /** Sets of task indices, with one byte for each index. */
    GByteArray *started_tasks, *completed_tasks;
    int64_t started_count, completed_count;
};

/** The state of the rule checker. */
struct rules {
    const struct settings *settings;
    const char *machine_types;
    /** Maps job ids to struct observed_job. */
    GHashTable *jobs;
    /** Resources that each team uses, by the team's index in the settings. */
    struct milli_resources *team_usage;
    /** The violations, one per line. */
    GString *violations;
    /** Maps rule names to how often a violation of the rule was reported. */
    GHashTable *report_counts;
};

/** Records a violation of a rule. Only the first MAX_REPORTS of each rule are kept. */
void G_GNUC_PRINTF(3, 4)
    rules_report_violation(struct rules *rules, const char *rule, const char *format, ...);

/** Returns a simulated time in seconds, for messages. */
double rules_seconds(mono_time t);

/** Returns the job with that id; adds it if it is new. */
struct observed_job *observed_job_get(struct rules *rules, const char *id);

/**
 * Returns whether a user requested to cancel the job or a job on which it depends, directly or
 * indirectly. depth: number of jobs between; callers pass 0.
 */
bool observed_job_may_be_cancelled(struct rules *rules, struct observed_job *observed, int depth);

/** Returns whether all tasks of a job were seen to complete. */
bool observed_job_is_done(const struct observed_job *observed);

/* ---- rules_submission.c ---- */

/** Parses a JSON object; returns NULL if the string is not one. The caller releases the object. */
json_object *rules_parse_object(const char *text);

/** Returns a field, owned by the object, or NULL if it is missing. */
json_object *rules_json_field(json_object *object, const char *name);

/** Returns a copy of a string field, or NULL if it is missing or not a string. */
char *rules_copy_json_string(json_object *object, const char *name);

/** Parses a submission; sets invalid_field if a field is missing or invalid. */
struct submission *submission_parse(json_object *object);

/** Frees a submission, which may be NULL. */
void submission_free(struct submission *submission);

/** Returns whether a team with that usage stays within its limit with that many more tasks. */
bool team_limit_allows(const struct team *team, struct milli_resources used,
                       struct milli_resources per_task, int64_t tasks);

/** Returns whether a NULL-terminated list contains a string. */
bool string_list_contains(char **list, const char *string);

/** Returns the resources of a machine type, given as JSON of the cloud. */
struct milli_resources machine_type_resources(json_object *machine_type);

/** Returns how many tasks of a size fit into the free resources. */
int64_t count_tasks_that_fit(struct milli_resources free, struct milli_resources per_task);

/**
 * Reports a job that was accepted although a field is invalid, its tasks fit no machine type, or it
 * exceeds its team's limit.
 */
void submission_check_accepted(struct rules *rules, const char *id,
                               const struct submission *submission);

/* ---- rules_tasks.c ---- */

/** Returns whether a set of task indices contains an index. */
bool task_set_contains(const GByteArray *task_set, uint32_t index);

/** Adds `times` times `added` to a sum. */
void milli_resources_add_times(struct milli_resources *sum, struct milli_resources added,
                               int64_t times);

/** Returns the usage of a job's team, or NULL if the team is unknown. */
struct milli_resources *observed_job_team_usage(struct rules *rules,
                                                const struct observed_job *observed);

/** Returns whether a submission's machine types, zone and spot setting allow a machine. */
bool submission_allows_machine(const struct submission *submission,
                               const struct rules_machine *machine);

/**
 * Returns how many more tasks of the job may be placed in a zone, given those that are on machines.
 */
int64_t observed_job_zone_capacity(const struct observed_job *observed, const char *zone);

/** Returns whether a task of the job is on a machine. */
bool observed_job_is_on_machine(const struct observed_job *observed, uint32_t index);

/** Counts a task as placed on a machine from now on. */
void observed_job_place_task(struct rules *rules, struct observed_job *observed, mono_time now,
                             const struct rules_machine *machine, uint32_t index);

#endif
