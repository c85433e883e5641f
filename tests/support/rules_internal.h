/** What the files of the rules share: the jobs as they were seen from outside, and the submissions.
 */
#ifndef LL_TEST_RULES_INTERNAL_H
#define LL_TEST_RULES_INTERNAL_H

#include "rules.h"

#include <json-c/json.h>

enum form_word { ARRAY, GANG, SERVICE };

/** Of processors, cards and memory, in thousandths. */
struct need {
    int64_t cpus, gpus, memory;
};

/** A submission, read here and not by the code under test. */
struct submission {
    /** The field that is missing or wrong; NULL: none. */
    char *lacks;
    char *job_class, *team_name, *zone;
    char **type_names, **awaits;
    enum form_word form;
    int64_t tasks;
    struct need each;
    bool one_zone, apart, spot;
};

/** A task that is on a machine. */
struct placed_task {
    char machine[48], zone[48];
    uint32_t task_index;
};

/** A job, and what users were told of it and machines did for it. */
struct judged_job {
    char *id;
    /** The submission that counts; NULL: none. */
    struct submission *submission;
    /** Submissions that were not refused. */
    int open;
    /** by_user: a user asked to cancel it. cancelled, done: what users were told. over_by_hand: its
     * end was written by the test itself. */
    bool accepted, by_user, cancelled, done, over_by_hand;
    mono_time accepted_at, cancelled_at, done_at, asked_at, begun_at, waits_from;
    bool begun, waits;
    /** struct placed_task: its tasks on machines. */
    GArray *on;
    /** A byte for each task index. */
    GByteArray *started_once, *done_once;
    int64_t n_started, n_done;
};

struct rules {
    const struct settings *settings;
    const char *types;
    /** id -> struct judged_job */
    GHashTable *jobs;
    /** What each team uses. */
    struct need *used;
    /** The violations, one line each. */
    GString *broken;
    /** rule -> how often it was reported */
    GHashTable *told;
};

/** Notes that a rule is broken, in words. Only the first MAX_REPORTS of each rule are kept. */
void G_GNUC_PRINTF(3, 4)
    rules_report_violation(struct rules *rules, const char *rule, const char *format, ...);

/** Simulated time in seconds, for messages. */
double rules_seconds(mono_time t);

/** The job with that id, which is added when it is new. */
struct judged_job *judged_job_get(struct rules *rules, const char *id);

/** Whether a user cancelled the job or, directly or not, one that it depends on. depth: how many
 * jobs lie between; 0 from outside. */
bool judged_job_may_be_cancelled(struct rules *rules, struct judged_job *judged, int depth);

/** Whether all tasks of a job were seen to complete. */
bool judged_job_is_done(const struct judged_job *judged);

/* ---- rules_submission.c ---- */

/** Parses a JSON object; NULL when the text is none. The caller puts it. */
json_object *rules_parse_object(const char *text);

/** A field, owned by the object; NULL when it is missing. */
json_object *rules_json_field(json_object *o, const char *name);

/** A copy of a text field; NULL when it is missing or no text. */
char *rules_json_text(json_object *o, const char *name);

/** Reads a submission; what it lacks is in ->lacks. */
struct submission *submission_parse(json_object *object);

/** Frees a submission; NULL is allowed. */
void submission_free(struct submission *submission);

/** Whether a team that uses that much is within its limit with so many more tasks. */
bool team_limit_allows(const struct team *team, struct need used, struct need each, int64_t tasks);

/** Whether a NULL-terminated list has that text. */
bool text_list_contains(char **list, const char *word);

/** What a machine type, as the cloud describes it, has. */
struct need type_resources(json_object *t);

/** How many tasks of a size fit into what is free. */
int64_t count_tasks_that_fit(struct need room, struct need each);

/** Reports a job that was accepted although it lacks a field, fits no type or is beyond its team's
 * limit. */
void submission_judge_accepted(struct rules *rules, const char *id,
                               const struct submission *submission);

/* ---- rules_tasks.c ---- */

/** Whether a set of task indices has that one. */
bool task_set_contains(const GByteArray *seen, uint32_t index);

/** Adds times b to a. */
void need_add(struct need *a, struct need b, int64_t times);

/** What the team of a job uses; NULL when the team is unknown. */
struct need *judged_job_team_use(struct rules *rules, const struct judged_job *judged);

/** Whether a submission's types, zone and spot setting allow a machine. */
bool submission_allows_machine(const struct submission *submission,
                               const struct rules_machine *machine);

/** How many more of the job's tasks may be in a zone, given those that are on machines. */
int64_t judged_job_zone_capacity(const struct judged_job *judged, const char *zone);

/** Whether a task of the job is on a machine. */
bool judged_job_is_on_machine(const struct judged_job *judged, uint32_t index);

/** Counts a task as on a machine from now on. */
void judged_job_place(struct rules *rules, struct judged_job *judged, mono_time now,
                      const struct rules_machine *machine, uint32_t index);

#endif
