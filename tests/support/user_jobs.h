/**
 * Jobs as their users see them. Every response is compared with what earlier responses reported,
 * which it must not contradict.
 */
#ifndef LL_TEST_USER_JOBS_H
#define LL_TEST_USER_JOBS_H

#include "world.h"

/**
 * The state of a job that was last reported to a user; later values take precedence over earlier
 * ones.
 */
enum reported_state { REPORTED_NOTHING, REPORTED_ACCEPTED, REPORTED_DONE, REPORTED_CANCELLED };

/** A job as its user sees it. */
struct user_job {
    /** zone: where its tasks are, as far as the current check has seen. */
    char id[24], team[16], zone[4];
    /** Body of the submission. */
    char *body;
    int tasks;
    /** CPUs of each task. */
    double cpus;
    /** on_demand_only: the job may not run on spot machines. */
    bool one_zone, on_demand_only;
    bool cancel_requested;
    enum reported_state reported;
    /** When `reported` got its value. */
    mono_time reported_at;
    /** The tasks that have completed, one bit each. */
    uint64_t completed_tasks;
};

/** Kind of a user's request. */
enum user_request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };

/** A user's request and its response. */
struct user_request {
    struct http_responder responder;
    struct world *world;
    struct user_job *job;
    enum user_request_kind kind;
    /** The state that earlier responses had reported when the request was sent. */
    enum reported_state reported_before;
    /** status 0: there is no response yet. */
    int node, status;
    char *path;
    mono_time sent_at;
};

/** The jobs of the running test (struct user_job), in the order in which they were added. */
extern GPtrArray *user_jobs;
/** Maps ids to the jobs of the running test. */
extern GHashTable *user_jobs_by_id;

/** Returns the job with that id, or NULL. */
struct user_job *user_job_get(const char *id);

/** Adds a job that is not submitted yet to the jobs of the running test, which own it. */
struct user_job *user_job_add(const char *id, const char *form, int tasks, const char *team,
                              double cpus);

/** Replaces a string in the body of the job's submission; fails if it does not occur. */
void user_job_replace_in_body(struct user_job *job, const char *what, const char *replacement);

/**
 * Sends a request to a node and returns at once; the response is checked when it arrives. A request
 * to a node that is down is never answered.
 */
struct user_request *user_job_send_request(struct world *world, int node,
                                           enum user_request_kind kind, struct user_job *job);

/** Sends the same request to every node. */
void user_job_send_request_to_all(struct world *world, enum user_request_kind kind,
                                  struct user_job *job);

#endif
