/* The rules of the protocol, judged from outside: from what users are told and from what starts on
 * machines and leaves them. The first broken ones are kept in words. */
#ifndef LL_TEST_RULES_H
#define LL_TEST_RULES_H

#include "settings.h"

struct rules;

/* A machine as the cloud and its worker show it. */
struct rules_machine {
    const char *id, *type_name, *zone;
    bool spot;
};

/* Four minutes: what a class's largest jobs have to begin within. */
enum { RULES_BEGIN_MS = 240000, RULES_WAIT_MS = 90000 };

/* Limits of teams and cancel_timeout_s are those of the settings, which must stay. */
struct rules *rules_new(const struct settings *settings);
void rules_free(struct rules *rules);
/* What the cloud says of its machine types; the text must stay. */
void rules_types(struct rules *rules, const char *text);

/* A user asks, and is answered: asked is when. Other paths than those of jobs are not judged. */
void rules_asked(struct rules *rules, mono_time now, const char *method, const char *path,
                 const char *body);
void rules_answered(struct rules *rules, mono_time now, mono_time asked, const char *method,
                    const char *path, const char *body, int status, const char *answer);

/* A task starts; the command was sent at that moment. */
void rules_started(struct rules *rules, mono_time now, mono_time sent,
                   const struct rules_machine *machine, const char *job, uint32_t index);
/* It exits, is killed, or its machine is gone. */
void rules_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                uint32_t index);
/* It exits with done. */
void rules_done(struct rules *rules, const char *job, uint32_t index);

/* Exceptions, for tests that write by hand what nodes of another time would have: a job with the
 * value of its key, and a task that is just there. They are known and counted from then on. */
void rules_job_by_hand(struct rules *rules, mono_time now, const char *job, const char *value);
void rules_task_by_hand(struct rules *rules, mono_time now, const struct rules_machine *machine,
                        const char *job, uint32_t index);

/* Once all troubles are over, looked at again and again: no job is left waiting although a machine
 * that is up has room for it and its team is under its limit. */
void rules_look(struct rules *rules, mono_time now, const struct rules_machine *machines, guint n);
/* Accepted jobs that no user cancelled, nor anything that they await: for each the path of its
 * poll, and whether it has to be known. */
GPtrArray *rules_kept_jobs(struct rules *rules);
/* Where a load was played: at least half of each class, of each team and of each class's largest
 * jobs is served, the largest ones within four minutes. */
void rules_shares(struct rules *rules);
/* What only the end shows: tasks that are still there. NULL, or what was broken, one line each. */
const char *rules_end(struct rules *rules, mono_time now);

#endif
