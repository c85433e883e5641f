/**
 * @file
 * The requests that wait for the key-value store. Their number is limited, and each gets a response
 * before its timeout.
 */
#include "api_internal.h"

enum { TIMEOUT_CHECK_INTERVAL_MS = 50 };

static void mark_answered(struct api_request *request)
{
    if (!request->is_answered)
        g_queue_unlink(&request->api->unanswered, &request->link);
    request->is_answered = true;
}

void api_request_refuse(struct api_request *request)
{
    if (!request->is_answered)
        api_reply_error(request->responder, request->from, HTTP_STATUS_UNAVAILABLE,
                        ERROR_KV_UNAVAILABLE);
    mark_answered(request);
}

void api_request_free(struct api_request *request)
{
    mark_answered(request);
    request->api->waiting_count--;
    json_object_put(request->job_spec);
    g_free(request->dependencies);
    g_free(request);
}

/**
 * Refuses the requests whose timeout has expired. While the key-value store is unavailable to this
 * node, refuses all requests, as waiting longer is of no use then.
 */
void api_expire_requests(void *context)
{
    struct api *api = context;
    mono_time now = loop_now(api->loop);
    bool is_unavailable = kv_client_is_unavailable(api->kv);
    struct api_request *request;
    while ((request = g_queue_peek_head(&api->unanswered)) &&
           (is_unavailable || time_ms_since(now, request->received_at) > API_RESPONSE_TIMEOUT_MS))
        api_request_refuse(request);
    if (api->unanswered.head)
        timer_start(api->loop, &api->timeout_timer, TIMEOUT_CHECK_INTERVAL_MS);
}

/** Returns why a request cannot wait on this node now, or NULL if it can. */
static const char *get_refusal_reason(const struct api *api)
{
    if (!api->replica->is_ready)
        return "starting";
    if (kv_client_is_unavailable(api->kv))
        return ERROR_KV_UNAVAILABLE;
    if (api->waiting_count >= api->max_waiting)
        return "too many requests at once";
    return NULL;
}

struct api_request *api_request_new(struct api *api, struct http_responder *responder,
                                    connection_ref from, enum api_action action, job_id id)
{
    const char *reason = get_refusal_reason(api);
    if (reason) {
        api_reply_error(responder, from, HTTP_STATUS_UNAVAILABLE, reason);
        return NULL;
    }
    struct api_request *request = g_new0(struct api_request, 1);
    *request = (struct api_request){
        .api = api, .responder = responder, .from = from, .action = action, .job_id = id};
    request->received_at = loop_now(api->loop);
    request->link.data = request;
    api->waiting_count++;
    g_queue_push_tail_link(&api->unanswered, &request->link);
    if (!api->timeout_timer.queue_position)
        timer_start(api->loop, &api->timeout_timer, TIMEOUT_CHECK_INTERVAL_MS);
    return request;
}
