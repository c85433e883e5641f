/**
 * @file
 * Types and functions shared by the modules of the API; for files of this package only.
 *
 * Each module uses only those above it in this list:
 *   api_response.c      sends responses
 *   api_request.c       owns the requests that wait for the key-value store, and their deadlines
 *   job_write.c         writes a job's key: a new job, or its cancellation
 *   dependency_check.c  checks that the jobs that a submission depends on were accepted
 *   request_steps.c     advances a waiting request by one step
 *   submit.c, query.c   start submissions, polls and cancellations
 *   api.c               routes requests, or forwards them to a peer
 */
#ifndef LL_API_INTERNAL_H
#define LL_API_INTERNAL_H

#include "api.h"

/** Users wait 2 s for a response. A request that is not settled before this timeout gets a 503. */
enum { API_RESPONSE_TIMEOUT_MS = 1500 };

/** The error string of a 503 response to a request that could not be settled. */
#define ERROR_KV_UNAVAILABLE "the state service does not answer"

struct api_request;

/** Advances a request by one step; `ok` is false if the preceding step timed out. */
typedef void (*api_request_resume)(void *request, bool ok);

struct api {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    const struct settings *settings;
    struct shard *shard;
    struct node_rpc *rpc;
    struct cancel_broadcast *cancel_broadcast;
    struct failure_detector *failure_detector;
    struct membership *membership;
    /** The number of requests that wait for the key-value store or a peer, and its limit. */
    int waiting_count, max_waiting;
    /** Queue of struct api_request without a response so far, oldest first. */
    GQueue unanswered;
    struct timer timeout_timer;
    /**
     * Always api_request_step(). Modules that request_steps.c uses call it through this pointer to
     * resume a request.
     */
    api_request_resume resume;
};

enum api_action { API_ACTION_SUBMIT, API_ACTION_POLL, API_ACTION_CANCEL };

/**
 * A user's request that waits for the key-value store.
 *
 * It may get a 503 response before the outcome of its write is known. It is then kept until the
 * outcome is known; the user repeats the request and learns the outcome from the repetition.
 */
struct api_request {
    /** The link in the queue of unanswered requests. */
    GList link;
    bool is_answered;
    mono_time received_at;
    struct api *api;
    struct http_responder *responder;
    connection_ref from;
    enum api_action action;
    job_id job_id;

    /** For a submission: the job's specification as submitted, and its number of tasks. */
    json_object *job_spec;
    uint32_t task_count;
    /**
     * For a submission: the jobs that it depends on. The first `dependencies_checked` of them are
     * known to have been accepted.
     */
    job_id *dependencies;
    guint dependency_count, dependencies_checked;
    /** One of the checked dependencies is cancelled, so the new job is cancelled too. */
    bool is_upstream_cancelled;
    /**
     * For a submission: the status of the error response, which is sent unless the job was accepted
     * before; 0 if the submission is valid.
     */
    int error_status;

    /**
     * The replica has passed a read barrier since the request arrived. Set only while dependencies
     * are checked.
     */
    bool has_passed_read_barrier;
    /** The job's key was read from the key-value store and does not exist. */
    bool is_key_absent;
    int write_attempts;
};

/* ---- api_response.c ---- */

/** Sends a response with a JSON body and frees the body. */
void api_reply(struct http_responder *responder, connection_ref to, int status, char *body);
/** Sends a response with the body {"error": error}. */
void api_reply_error(struct http_responder *responder, connection_ref to, int status,
                     const char *error);
/**
 * Sends a response with the status of a job. If the job is cancelled, its cancellation counts as
 * confirmed to a user from then on.
 */
void api_reply_job(struct api *api, struct http_responder *responder, connection_ref to,
                   const struct job *job);
/** Returns the job if the replica has read its own key, else NULL. The replica owns the job. */
struct job *api_find_job(struct api *api, job_id id);

/* ---- api_request.c ---- */

/** Creates a waiting request. Returns NULL if it was refused; the 503 response is then sent. */
struct api_request *api_request_new(struct api *api, struct http_responder *responder,
                                    connection_ref from, enum api_action action, job_id job);
/** Sends a 503 response, unless a response was sent before. */
void api_request_refuse(struct api_request *request);
/** Frees a request, which must have its response already or need none. */
void api_request_free(struct api_request *request);
/** Refuses the requests that were not settled in time; a timer callback. `api` is a struct api. */
void api_expire_requests(void *api);

/* ---- job_write.c ---- */

/**
 * Returns a new object, the value of the key of a job without a final state: its submission time,
 * its specification, and whether it is cancelled.
 */
json_object *api_encode_nonfinal_job(json_object *spec, int64_t submitted_ms, bool is_cancelled);
/**
 * Writes the job's key and sends the response. The write is committed only if the key still has the
 * given mod revision (0: does not exist). Takes ownership of the value. The request is resumed
 * after a conflict or a lost response.
 */
void api_request_write_job(struct api_request *request, revision mod_revision, json_object *value);
/** Writes the cancellation of an active job, and sends the response once all nodes know of it. */
void api_request_write_cancel(struct api_request *request, const struct job *job);
/**
 * Decodes the key-value store's response to a read of a job's key into `job`, whose id is set.
 * Returns false if the response does not hold the final state of a job.
 */
bool api_decode_final_job(const struct http_response *response, struct job *job);

/* ---- dependency_check.c ---- */

/**
 * Returns whether all jobs that a submission depends on are known to have been accepted. If it
 * returns false, either one of them was not, and the request is answered and freed; or that is not
 * known yet, and the request will be resumed.
 */
bool api_request_check_dependencies(struct api_request *request);
/**
 * Returns a new object, the value of the new job's key. A job that depends on a cancelled one is
 * stored with the final state "cancelled" at once.
 */
json_object *api_request_encode_job(struct api_request *request);

/* ---- request_steps.c ---- */

/**
 * Advances any request by one step; an api_request_resume. If `ok` is true, the response may be
 * based on the replica: it has passed a revision that was the newest after the request arrived, or
 * the conditional write that follows detects that the replica is stale.
 */
void api_request_step(void *request, bool ok);

/* ---- submit.c, query.c ---- */

/** Serves the submission of a job. */
void api_submit(struct api *api, struct http_responder *responder, connection_ref from,
                const struct http_request *http_request);
/** Serves a poll or a cancellation. `id_string` comes from the request path and may be invalid. */
void api_poll_or_cancel(struct api *api, struct http_responder *responder, connection_ref from,
                        enum api_action action, const char *id_string);

#endif
