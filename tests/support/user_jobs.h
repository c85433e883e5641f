/** Jobs as their users see them: every answer is compared with what users were told before, and may
 * not contradict it. */
#ifndef LL_TEST_USER_JOBS_H
#define LL_TEST_USER_JOBS_H

#include "world.h"

/** What a user was last told of a job; later values take precedence over earlier ones. */
enum reported_state { REPORTED_NOTHING, REPORTED_ACCEPTED, REPORTED_DONE, REPORTED_CANCELLED };

/** A job as its user sees it. */
struct user_job {
    /** zone: where its tasks are, as far as this step has seen. */
    char id[24], team[16], zone[4];
    /** What is submitted. */
    char *body;
    int tasks;
    /** Of each task. */
    double cpus;
    /** ordinary: not on spot machines. */
    bool one_zone, on_demand_only;
    bool cancel_requested;
    enum reported_state reported;
    /** When told got its value. */
    mono_time reported_at;
    /** The tasks that have completed, one bit each. */
    uint64_t completed_tasks;
};

/** What a user asks. */
enum user_request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };

/** A request of a user, and its answer. */
struct user_request {
    struct http_responder responder;
    struct world *world;
    struct user_job *job;
    enum user_request_kind kind;
    /** What the user had been told when he asked. */
    enum reported_state reported_before;
    /** status 0: there is no answer yet. */
    int node, status;
    char *path;
    mono_time sent_at;
};

/** The jobs of the running test (struct known), in the order in which they were added. */
extern GPtrArray *user_jobs;
/** The same jobs by id. */
extern GHashTable *user_jobs_by_id;

/** The job with that id, or NULL. */
struct user_job *user_job_get(const char *id);

/** Adds a job that is not submitted yet. The list of jobs owns it. */
struct user_job *user_job_add(const char *id, const char *form, int tasks, const char *team,
                              double cpus);

/** Replaces a text in the body that will be submitted. */
void user_job_replace_in_body(struct user_job *job, const char *what, const char *replacement);

/** Sends a request to a node and returns at once; the answer is judged when it arrives. A request
 * to a node that is down stays open. */
struct user_request *user_job_send_request(struct world *world, int node,
                                           enum user_request_kind kind, struct user_job *job);

/** Sends the same request to every node. */
void user_job_send_request_to_all(struct world *world, enum user_request_kind kind,
                                  struct user_job *job);

#endif
