/* What the modules of the frontend share; nobody else includes this.
 *
 * api.c owns the struct, routes requests and hands them on to peers; api_response.c writes
 * answers; api_request.c owns the list of requests that wait for the state service and takes
 * each through its steps; submit.c checks submissions and the jobs that they name,
 * query.c begins polls and cancellations, cancel.c writes cancellations. */
#ifndef LL_FRONTEND_STATE_H
#define LL_FRONTEND_STATE_H

#include "api.h"

/* Users wait 2 s for a poll's answer, so what cannot be told by then is not told at all. */
enum { ANSWER_MS = 1500 };

/* The users' side of one node. */
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
    int waiting_count, max_waiting; /* requests that wait for the state service */
    GQueue unanswered;              /* struct api_request: not answered yet, oldest first */
    struct timer timeout_timer;
};

/* What a user asks for. */
enum api_action { API_ACTION_SUBMIT, API_ACTION_POLL, API_ACTION_CANCEL };

/* A user's request that waits for the state service. It may be answered before its writes are
 * settled, with 503: the user asks again, and learns what has become of them. */
struct api_request {
    GList link; /* in the frontend's list */
    bool is_answered;
    mono_time received_at;
    struct api *api;
    struct http_responder *replier;
    connection_ref from;
    enum api_action action;
    job_id job;
    json_object *job_spec; /* of a submission */
    uint32_t task_count;
    job_id *depends_on; /* jobs that it needs */
    guint depends_on_count, depends_on_checked;
    bool passed_barrier;     /* the view was past a barrier since it came */
    bool upstream_cancelled; /* one of them is cancelled */
    int error_status;        /* the status that it gets, were it not known already; 0: none */
    bool key_is_absent;      /* its key was read, and is not there */
    int write_attempts;
};

/* ---- api_response.c ---- */

/* Answers with a text, which it takes. */
void api_reply(struct http_responder *responder, connection_ref to, int status, char *text);
/* Answers with {"error":...}. */
void api_reply_error(struct http_responder *responder, connection_ref to, int status,
                     const char *error);
/* Answers with a job's state. */
void api_reply_job(struct api *api, struct http_responder *responder, connection_ref to,
                   const struct job *job);
/* The job of that id if its own key was seen, or NULL. */
struct job *api_find_job(struct api *api, job_id id);

/* ---- api_request.c ---- */

/* Makes a request that waits; NULL: it had to be answered with 503. */
struct api_request *api_request_new(struct api *api, struct http_responder *responder,
                                    connection_ref from, enum api_action action, job_id job);
/* replica_callback: the view is now at a moment after the request came, or is not. */
void api_request_step(void *arg, bool ok);
/* Answers 503, unless it is answered. */
void api_request_refuse(struct api_request *request);
/* Frees the request. */
void api_request_free(struct api_request *request);
/* Timer's callback: refuses what cannot be told in time. */
void api_expire_requests(void *arg);
/* The value of a job's key that is not over. */
json_object *api_encode_live_job(json_object *spec, int64_t submitted_ms, bool cancelled);
/* Writes the job's key, if it still stands at that revision. Takes the value. */
void api_request_write_job(struct api_request *request, revision mod_revision, json_object *value);
/* Whether the key that was read is of a job that is over, and what became of it. */
bool api_decode_final_job(const struct http_response *response, struct job *job);

/* ---- submit.c ---- */

/* Handles a submission. */
void api_submit(struct api *api, struct http_responder *responder, connection_ref from,
                const struct http_request *http_request);
/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. */
bool api_request_check_dependencies(struct api_request *request);
/* The value of the new job's key. */
json_object *api_request_encode_job(struct api_request *request);

/* ---- query.c ---- */

/* Handles a poll or a cancellation. */
void api_poll_or_cancel(struct api *api, struct http_responder *responder, connection_ref from,
                        enum api_action action, const char *id);

/* ---- cancel.c ---- */

/* Writes that a live job is cancelled. */
void api_request_write_cancel(struct api_request *request, struct job *job);

#endif
