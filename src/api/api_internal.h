/** What the modules of the users' interface share.
 *
 * Each uses only those above it:
 *   api_response.c      encodes responses
 *   api_request.c       owns the requests that wait for the key-value store, and their deadlines
 *   job_write.c         writes a job's key: a new job, or its cancellation
 *   dependency_check.c  whether the jobs that a submission depends on were accepted
 *   request_steps.c     takes a waiting request from one step to the next
 *   submit.c, query.c   begin submissions, polls and cancellations
 *   api.c               routes requests, or forwards them to a peer */
#ifndef LL_API_INTERNAL_H
#define LL_API_INTERNAL_H

#include "api.h"

/** Users wait 2 s for a response, so a request that is not settled by then is refused. */
enum { API_RESPONSE_TIMEOUT_MS = 1500 };

/** The error with HTTP_STATUS_UNAVAILABLE while requests cannot be settled. */
#define ERROR_KV_UNAVAILABLE "the state service does not answer"

struct api_request;

/** Takes a request to its next step; `ok` is false when the step before it took too long. */
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
    /** Requests that wait for the key-value store or for a peer, and how many may. */
    int waiting_count, max_waiting;
    /** struct api_request that have had no response yet, oldest first. */
    GQueue unanswered;
    struct timer timeout_timer;
    /** api_request_step; the modules below request_steps.c resume requests by it. */
    api_request_resume resume;
};

enum api_action { API_ACTION_SUBMIT, API_ACTION_POLL, API_ACTION_CANCEL };

/** A user's request that waits for the key-value store.
 *
 * It may get its response (503) before its writes are settled, and lives on until they are: the
 * user repeats the request and then learns what became of the writes. */
struct api_request {
    /** In the queue of unanswered requests. */
    GList link;
    bool is_answered;
    mono_time received_at;
    struct api *api;
    struct http_responder *responder;
    connection_ref from;
    enum api_action action;
    job_id job_id;

    /** Of a submission: what the job's key will hold, and the job's number of tasks. */
    json_object *job_spec;
    uint32_t task_count;
    /** Of a submission: the jobs that it depends on; the first `dependencies_checked` of them are
     * known to have been accepted. */
    job_id *dependencies;
    guint dependency_count, dependencies_checked;
    /** One of them is cancelled, and so the new job is. */
    bool is_upstream_cancelled;
    /** The response to a submission, unless the job was accepted before; 0: it is valid. */
    int error_status;

    /** The replica has passed a read barrier since the request came. */
    bool has_passed_read_barrier;
    /** The job's key was read from the key-value store, and does not exist. */
    bool is_key_absent;
    int write_attempts;
};

/* ---- api_response.c ---- */

/** Responds with a JSON text, which it frees. */
void api_reply(struct http_responder *responder, connection_ref to, int status, char *body);
/** Responds with {"error": error}. */
void api_reply_error(struct http_responder *responder, connection_ref to, int status,
                     const char *error);
/** Responds with the status of a job. A cancellation counts as confirmed to a user from then on. */
void api_reply_job(struct api *api, struct http_responder *responder, connection_ref to,
                   const struct job *job);
/** The job if the replica has its own key, else NULL. The replica owns it. */
struct job *api_find_job(struct api *api, job_id id);

/* ---- api_request.c ---- */

/** Makes a request that waits. NULL: it was refused with 503, and the response is sent. */
struct api_request *api_request_new(struct api *api, struct http_responder *responder,
                                    connection_ref from, enum api_action action, job_id job);
/** Responds with 503, unless there was a response before. */
void api_request_refuse(struct api_request *request);
/** Ends a request; it needs no response any more. */
void api_request_free(struct api_request *request);
/** Timer callback: refuses the requests that were not settled in time. `api` is the struct api. */
void api_expire_requests(void *api);

/* ---- job_write.c ---- */

/** The value of the key of a job that is not over: its submission time, what was submitted, and
 * whether it is cancelled. A new object. */
json_object *api_encode_nonfinal_job(json_object *spec, int64_t submitted_ms, bool is_cancelled);
/** Writes the job's key on the condition that it still stands at that revision (0: that there is
 * none), and responds. Takes the value. After a conflict or a lost response the request is resumed.
 */
void api_request_write_job(struct api_request *request, revision mod_revision, json_object *value);
/** Writes that a live job is cancelled, and responds once all nodes know. */
void api_request_write_cancel(struct api_request *request, const struct job *job);
/** Reads the response of the key-value store to a read of a job's key into `job`, whose id is set.
 * False: it is not the key of a job that is over. */
bool api_decode_final_job(const struct http_response *response, struct job *job);

/* ---- dependency_check.c ---- */

/** Whether all jobs that a submission depends on were accepted. False: they were not, and the
 * request has ended; or it is not known yet, and the request is resumed later. */
bool api_request_check_dependencies(struct api_request *request);
/** The value of the new job's key, a new object. A job that depends on a cancelled one is over at
 * once. */
json_object *api_request_encode_job(struct api_request *request);

/* ---- request_steps.c ---- */

/** The api_request_resume of all requests. With `ok` the replica has passed a revision that was the
 * newest after the request came, so the response may be what it holds. */
void api_request_step(void *request, bool ok);

/* ---- submit.c, query.c ---- */

void api_submit(struct api *api, struct http_responder *responder, connection_ref from,
                const struct http_request *http_request);
/** `id` is text from the path, and may be no valid id. */
void api_poll_or_cancel(struct api *api, struct http_responder *responder, connection_ref from,
                        enum api_action action, const char *id_string);

#endif
