/** The rules of the protocol, judged from outside: by what users are answered, and by which tasks
 * start on machines and leave them. The first violations of each rule are kept in words. test_rules
 * breaks each rule on purpose. */
#ifndef LL_TEST_RULES_H
#define LL_TEST_RULES_H

#include "settings.h"

struct rules;

/** A machine as the cloud and its agent show it. */
struct rules_machine {
    const char *id, *type_name, *zone;
    bool spot;
};

/** RULES_START_LIMIT_MS: within that time the largest jobs of a class have to begin.
 * RULES_MAX_WAIT_MS: for that long a job may wait although it could run. */
enum { RULES_START_LIMIT_MS = 240000, RULES_MAX_WAIT_MS = 90000 };

/** Limits of teams and cancel_timeout_s are taken from the settings, which must outlive the rules.
 */
struct rules *rules_new(const struct settings *settings);
void rules_free(struct rules *rules);
/** The machine types as the cloud describes them; the text must outlive the rules. */
void rules_set_machine_types(struct rules *rules, const char *text);

/** A user sends a request, and gets the answer; asked is when it was sent. Paths other than those
 * of jobs are not judged. */
void rules_user_request_sent(struct rules *rules, mono_time now, const char *method,
                             const char *path, const char *body);
void rules_user_request_answered(struct rules *rules, mono_time now, mono_time sent_at,
                                 const char *method, const char *path, const char *body, int status,
                                 const char *response_body);

/** A task starts; sent is when the command was sent. */
void rules_task_started(struct rules *rules, mono_time now, mono_time command_sent_at,
                        const struct rules_machine *machine, const char *job, uint32_t index);
/** A task exits or is killed, or its machine is gone. */
void rules_task_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                     uint32_t index);
/** A task completes. */
void rules_task_completed(struct rules *rules, const char *job, uint32_t index);

/** Exceptions for tests that write what nodes would have written earlier: a job with the value of
 * its key, and a task that is already on a machine. Both are counted from then on. */
void rules_add_existing_job(struct rules *rules, mono_time now, const char *job, const char *value);
void rules_add_existing_task(struct rules *rules, mono_time now,
                             const struct rules_machine *machine, const char *job, uint32_t index);

/** To be called repeatedly once all failures are over: no job may wait although a machine that is
 * up has the resources for it and its team is below its limit. */
void rules_check_waiting_jobs(struct rules *rules, mono_time now,
                              const struct rules_machine *machines, guint n);
/** The paths to poll the accepted jobs that no user cancelled, nor a job on which they depend: a
 * new array. */
GPtrArray *rules_list_uncancelled_job_paths(struct rules *rules);
/** For tests with a load: at least half of the jobs of each class and each team have begun, and
 * half of the largest jobs of each class within RULES_START_LIMIT_MS. */
void rules_check_start_shares(struct rules *rules);
/** Judges the tasks that are still on machines. Returns all violations, one a line, or NULL. */
const char *rules_finish(struct rules *rules, mono_time now);

#endif
