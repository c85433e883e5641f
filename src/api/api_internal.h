/* What the modules of the frontend share; nobody else includes this.
 *
 * frontend.c owns the struct, routes requests and hands them on to peers; frontend_answer.c writes
 * answers; frontend_request.c owns the list of requests that wait for the state service and takes
 * each through its steps; frontend_submit.c checks submissions and the jobs that they name,
 * frontend_query.c begins polls and cancellations, frontend_cancel.c writes cancellations. */
#ifndef LL_FRONTEND_STATE_H
#define LL_FRONTEND_STATE_H

#include "api.h"

/* Users wait 2 s for a poll's answer, so what cannot be told by then is not told at all. */
enum { ANSWER_MS = 1500 };

/* The users' side of one node. */
struct frontend {
    struct loop *loop;
    struct store *store;
    struct view *view;
    const struct settings *settings;
    struct shard *shard;
    struct bus *bus;
    struct peers *peers;
    struct membership *members;
    int waiting, most_waiting; /* requests that wait for the state service */
    GQueue asks;               /* struct ask: not answered yet, oldest first */
    struct timer sweep;
};

/* What a user asks for. */
enum action { ACTION_SUBMIT, ACTION_POLL, ACTION_CANCEL };

/* A user's request that waits for the state service. It may be answered before its writes are
 * settled, with 503: the user asks again, and learns what has become of them. */
struct ask {
    GList place; /* in the frontend's list */
    bool answered;
    mono_time came;
    struct frontend *frontend;
    struct http_replier *replier;
    conn_ref from;
    enum action action;
    job_id job;
    json_object *spec; /* of a submission */
    uint32_t tasks;
    job_id *awaits; /* jobs that it needs */
    guint n_awaits, checked;
    bool behind;             /* the view was past a barrier since it came */
    bool upstream_cancelled; /* one of them is cancelled */
    int refusal;             /* the status that it gets, were it not known already; 0: none */
    bool read;               /* its key was read, and is not there */
    int rounds;
};

/* ---- frontend_answer.c ---- */

/* Answers with a text, which it takes. */
void frontend_reply(struct http_replier *replier, conn_ref to, int status, char *text);
/* Answers with {"error":...}. */
void frontend_reply_error(struct http_replier *replier, conn_ref to, int status, const char *error);
/* Answers with a job's state. */
void frontend_reply_job(struct frontend *frontend, struct http_replier *replier, conn_ref to,
                        const struct job *job);
/* The job of that id if its own key was seen, or NULL. */
struct job *frontend_known_job(struct frontend *frontend, job_id id);

/* ---- frontend_request.c ---- */

/* Makes a request that waits; NULL: it had to be answered with 503. */
struct ask *request_new(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                        enum action action, job_id job);
/* view_done: the view is now at a moment after the request came, or is not. */
void request_step(void *arg, bool ok);
/* Answers 503, unless it is answered. */
void request_refuse(struct ask *ask);
/* Frees the request. */
void request_end(struct ask *ask);
/* Timer's callback: refuses what cannot be told in time. */
void frontend_sweep(void *arg);
/* The value of a job's key that is not over. */
json_object *request_job_value(json_object *spec, int64_t submitted_ms, bool cancelled);
/* Writes the job's key, if it still stands at that revision. Takes the value. */
void request_write_job(struct ask *ask, revision stamp, json_object *value);
/* Whether the key that was read is of a job that is over, and what became of it. */
bool request_answer_is_final(const struct net_answer *answer, struct job *job);

/* ---- frontend_submit.c ---- */

/* Handles a submission. */
void frontend_submit(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                     const struct http_request *request);
/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. */
bool request_awaits_known(struct ask *ask);
/* The value of the new job's key. */
json_object *request_new_value(struct ask *ask);

/* ---- frontend_query.c ---- */

/* Handles a poll or a cancellation. */
void frontend_get_or_cancel(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                            enum action action, const char *id);

/* ---- frontend_cancel.c ---- */

/* Writes that a live job is cancelled. */
void request_write_cancel(struct ask *ask, struct job *job);

#endif
