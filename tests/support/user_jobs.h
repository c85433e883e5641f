/** Jobs as their users see them: every answer is compared with what users were told before, and may
 * not contradict it. */
#ifndef LL_TEST_USER_JOBS_H
#define LL_TEST_USER_JOBS_H

#include "world.h"

/** What a user was last told of a job; later values take precedence over earlier ones. */
enum local_cancel { TOLD_NOTHING, TOLD_ACCEPTED, TOLD_DONE, TOLD_CANCELLED };

/** A job as its user sees it. */
struct known {
    /** zone: where its tasks are, as far as this step has seen. */
    char id[24], team[16], zone[4];
    /** What is submitted. */
    char *body;
    int tasks;
    /** Of each task. */
    double cpus;
    /** ordinary: not on spot machines. */
    bool one_zone, ordinary;
    bool cancel_asked;
    enum local_cancel told;
    /** When told got its value. */
    mono_time told_at;
    /** The tasks that have completed, one bit each. */
    uint64_t ended;
};

/** What a user asks. */
enum question { ASK_SUBMIT, ASK_POLL, ASK_CANCEL };

/** A request of a user, and its answer. */
struct asked {
    struct http_responder replier;
    struct world *world;
    struct known *job;
    enum question question;
    /** What the user had been told when he asked. */
    enum local_cancel before;
    /** status 0: there is no answer yet. */
    int node, status;
    char *path;
    mono_time since;
};

/** The jobs of the running test (struct known), in the order in which they were added. */
extern GPtrArray *user_jobs;
/** The same jobs by id. */
extern GHashTable *user_jobs_by_id;

/** The job with that id, or NULL. */
struct known *user_job_get(const char *id);

/** Adds a job that is not submitted yet. The list of jobs owns it. */
struct known *user_job_add(const char *id, const char *form, int tasks, const char *team,
                           double cpus);

/** Replaces a text in the body that will be submitted. */
void user_job_replace_text(struct known *known, const char *what, const char *by);

/** Sends a request to a node and returns at once; the answer is judged when it arrives. A request
 * to a node that is down stays open. */
struct asked *user_job_request(struct world *world, int node, enum question question,
                               struct known *known);

/** Sends the same request to every node. */
void user_job_request_all(struct world *world, enum question question, struct known *known);

#endif
