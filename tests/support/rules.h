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

/** RULES_BEGIN_MS: within that time the largest jobs of a class have to begin. RULES_WAIT_MS: for
 * that long a job may wait although it could run. */
enum { RULES_BEGIN_MS = 240000, RULES_WAIT_MS = 90000 };

/** Limits of teams and cancel_timeout_s are taken from the settings, which must outlive the rules.
 */
struct rules *rules_new(const struct settings *settings);
void rules_free(struct rules *rules);
/** The machine types as the cloud describes them; the text must outlive the rules. */
void rules_types(struct rules *rules, const char *text);

/** A user sends a request, and gets the answer; asked is when it was sent. Paths other than those
 * of jobs are not judged. */
void rules_asked(struct rules *rules, mono_time now, const char *method, const char *path,
                 const char *body);
void rules_answered(struct rules *rules, mono_time now, mono_time asked, const char *method,
                    const char *path, const char *body, int status, const char *answer);

/** A task starts; sent is when the command was sent. */
void rules_started(struct rules *rules, mono_time now, mono_time sent,
                   const struct rules_machine *machine, const char *job, uint32_t index);
/** A task exits or is killed, or its machine is gone. */
void rules_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                uint32_t index);
/** A task completes. */
void rules_done(struct rules *rules, const char *job, uint32_t index);

/** Exceptions for tests that write what nodes would have written earlier: a job with the value of
 * its key, and a task that is already on a machine. Both are counted from then on. */
void rules_job_by_hand(struct rules *rules, mono_time now, const char *job, const char *value);
void rules_task_by_hand(struct rules *rules, mono_time now, const struct rules_machine *machine,
                        const char *job, uint32_t index);

/** To be called repeatedly once all failures are over: no job may wait although a machine that is
 * up has the resources for it and its team is below its limit. */
void rules_look(struct rules *rules, mono_time now, const struct rules_machine *machines, guint n);
/** The paths to poll the accepted jobs that no user cancelled, nor a job on which they depend: a
 * new array. */
GPtrArray *rules_kept_jobs(struct rules *rules);
/** For tests with a load: at least half of the jobs of each class and each team have begun, and
 * half of the largest jobs of each class within RULES_BEGIN_MS. */
void rules_shares(struct rules *rules);
/** Judges the tasks that are still on machines. Returns all violations, one a line, or NULL. */
const char *rules_end(struct rules *rules, mono_time now);

#endif
