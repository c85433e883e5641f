/**
 * Checks the rules of the protocol from the outside: from the responses that users get, and from
 * the tasks that start on machines and leave them. The first few violations of each rule are
 * recorded as strings. test_world_rules violates each rule deliberately.
 */
#ifndef LL_TEST_RULES_H
#define LL_TEST_RULES_H

#include "settings.h"

struct rules;

/** A machine as the cloud and its agent describe it. */
struct rules_machine {
    const char *id, *type_name, *zone;
    bool spot;
};

/**
 * RULES_START_LIMIT_MS: time within which the largest jobs of a class have to start.
 * RULES_MAX_WAIT_MS: how long a job may wait although it could run.
 */
enum { RULES_START_LIMIT_MS = 240000, RULES_MAX_WAIT_MS = 90000 };

/**
 * Creates a checker without any jobs. The limits of teams and cancel_timeout_s are taken from the
 * settings, which must outlive the checker.
 */
struct rules *rules_new(const struct settings *settings);
/** Frees the checker and its recorded violations. */
void rules_free(struct rules *rules);
/** Sets the machine types, as JSON of the cloud; the string must outlive the checker. */
void rules_set_machine_types(struct rules *rules, const char *text);

/** Records that a user sends a request. Paths other than those of jobs are ignored. */
void rules_user_request_sent(struct rules *rules, mono_time now, const char *method,
                             const char *path, const char *body);
/**
 * Checks the response to a user's request that was sent at sent_at. Paths other than those of jobs
 * are ignored.
 */
void rules_user_request_answered(struct rules *rules, mono_time now, mono_time sent_at,
                                 const char *method, const char *path, const char *body, int status,
                                 const char *response_body);

/** Checks the start of a task by a command that was sent at command_sent_at. */
void rules_task_started(struct rules *rules, mono_time now, mono_time command_sent_at,
                        const struct rules_machine *machine, const char *job, uint32_t index);
/** Records that a task exits or is killed, or that its machine is gone. */
void rules_task_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                     uint32_t index);
/** Records that a task completes. */
void rules_task_completed(struct rules *rules, const char *job, uint32_t index);

/**
 * Adds a job that a test wrote to the state service itself, with the value of its key. It counts as
 * accepted from then on.
 */
void rules_add_existing_job(struct rules *rules, mono_time now, const char *job, const char *value);
/** Adds a task that a test put on a machine itself. It counts as running from then on. */
void rules_add_existing_task(struct rules *rules, mono_time now,
                             const struct rules_machine *machine, const char *job, uint32_t index);

/**
 * Checks that no job waits for RULES_MAX_WAIT_MS although a machine that is up has the resources
 * for it and its team is below its limit. To be called repeatedly once all failures have ended.
 */
void rules_check_waiting_jobs(struct rules *rules, mono_time now,
                              const struct rules_machine *machines, guint n);
/**
 * Returns the paths with which the accepted jobs can be polled, without the jobs that may have been
 * cancelled because a user cancelled them or a job on which they depend. The caller frees the
 * array.
 */
GPtrArray *rules_list_uncancelled_job_paths(struct rules *rules);
/**
 * Checks that at least half of the jobs of each class and each team have started, and at least half
 * of the largest jobs of each class within RULES_START_LIMIT_MS. For tests with a load.
 */
void rules_check_start_shares(struct rules *rules);
/**
 * Checks the tasks that are still on machines. Returns all violations, one per line, or NULL; the
 * string is owned by the checker.
 */
const char *rules_finish(struct rules *rules, mono_time now);

#endif
