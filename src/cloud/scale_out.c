/**
 * @file
 * Scale-out: requests machines from the cloud.
 *
 * With singleton roles, the intent is recorded before the request is sent, and settled when there
 * is a final response to the request.
 */
#include "cloud_provider_internal.h"

#include "log.h"

/** How long an offer is not requested after the cloud had no or too little capacity for it. */
enum { REFUSED_OFFER_BACKOFF_MS = 15000 };

void scale_out_request_free(struct scale_out_request *request)
{
    g_free(request->request_id);
    g_free(request);
}

static struct scale_out_request *scale_out_request_new(const char *type_name, const char *zone,
                                                       bool is_spot, int machine_count)
{
    struct scale_out_request *request = g_new0(struct scale_out_request, 1);
    g_strlcpy(request->type_name, type_name, sizeof request->type_name);
    g_strlcpy(request->zone, zone, sizeof request->zone);
    request->is_spot = is_spot;
    request->machine_count = machine_count;
    return request;
}

void cloud_provider_scale_out(struct cloud_provider *cloud, const char *type_name, const char *zone,
                              bool is_spot, int machine_count)
{
    struct scale_out_request *request =
        scale_out_request_new(type_name, zone, is_spot, machine_count);
    /* Request ids are unique: the incarnation is the id of a lease in the key-value store, which
     * no other process ever has. */
    request->request_id = g_strdup_printf(
        "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, cloud->settings->label,
        membership_get_incarnation(cloud->membership).value, ++cloud->request_counter);
    request->decided_at = loop_now(cloud->loop);
    g_queue_push_tail(&cloud->scale_out_requests, request);
}

void scale_out_recover(struct cloud_provider *cloud, const struct intent *intent)
{
    struct scale_out_request *request = scale_out_request_new(
        intent->type_name, intent->zone, intent->is_spot, intent->machine_count);
    request->request_id = g_strdup(intent->name);
    /* The earlier holder may have sent the request. */
    request->send_state = CLOUD_UNANSWERED;
    g_queue_push_head(&cloud->scale_out_requests, request);
}

static enum intent_state get_intent_state(const struct cloud_provider *cloud,
                                          const struct scale_out_request *request)
{
    return intent_log_get_state(cloud->intents, INTENT_SCALE_OUT, request->request_id);
}

int cloud_provider_count_requested(struct cloud_provider *cloud, const char *type_name,
                                   const char *zone, bool is_spot)
{
    int machine_count = 0;
    for (GList *link = cloud->scale_out_requests.head; link; link = link->next) {
        const struct scale_out_request *request = link->data;
        if (request->is_spot == is_spot && strcmp(request->type_name, type_name) == 0 &&
            strcmp(request->zone, zone) == 0)
            machine_count += request->machine_count;
    }
    return machine_count;
}

void cloud_provider_drop_unsent(struct cloud_provider *cloud)
{
    for (GList *link = cloud->scale_out_requests.head, *next; link; link = next) {
        struct scale_out_request *request = link->data;
        next = link->next;
        if (request->send_state == CLOUD_NOT_SENT &&
            get_intent_state(cloud, request) == INTENT_UNKNOWN) {
            g_queue_delete_link(&cloud->scale_out_requests, link);
            scale_out_request_free(request);
        }
    }
}

/* ---- refused offers ---- */

bool cloud_provider_is_offer_refused(struct cloud_provider *cloud, const char *type_name,
                                     const char *zone, bool is_spot)
{
    char *offer = cloud_offer_key(type_name, zone, is_spot);
    const mono_time *until = g_hash_table_lookup(cloud->offers_refused_until, offer);
    g_free(offer);
    return until && time_before(loop_now(cloud->loop), *until);
}

static void mark_offer_refused(struct cloud_provider *cloud,
                               const struct scale_out_request *request)
{
    mono_time until = time_add_ms(loop_now(cloud->loop), REFUSED_OFFER_BACKOFF_MS);
    g_hash_table_replace(cloud->offers_refused_until,
                         cloud_offer_key(request->type_name, request->zone, request->is_spot),
                         g_memdup2(&until, sizeof until));
}

/* ---- responses ---- */

enum scale_out_result {
    SCALE_OUT_COMPLETED,
    /** The cloud has no capacity for the offer. */
    SCALE_OUT_NO_CAPACITY,
    /** The request is invalid and must not be sent again. */
    SCALE_OUT_INVALID,
    /** No response, or an error after which a retry may succeed. */
    SCALE_OUT_RETRY,
};

static enum scale_out_result get_result(const struct http_response *response, json_object *body)
{
    switch (response->status) {
    case HTTP_STATUS_OK:
        return SCALE_OUT_COMPLETED;
    case HTTP_STATUS_BAD_REQUEST:
        return SCALE_OUT_INVALID;
    case HTTP_STATUS_UNAVAILABLE:
        return scale_out_response_is_no_capacity(body) ? SCALE_OUT_NO_CAPACITY : SCALE_OUT_RETRY;
    default:
        return SCALE_OUT_RETRY;
    }
}

/** Adds the machines that a response lists. A response without a list of machines adds none. */
static void add_machines(struct cloud_provider *cloud, const struct scale_out_request *request,
                         json_object *body)
{
    GArray *ids = scale_out_response_decode(body);
    if (!ids)
        return;
    for (guint i = 0; i < ids->len; i++) {
        machine_id id = g_array_index(ids, machine_id, i);
        /* A request that is sent again, perhaps by a later holder of the role, gets the original
         * response, whose machines may have been returned since. */
        if (!cloud_provider_is_returned(cloud, id.text) &&
            !cloud_provider_is_scaling_in(cloud, id.text))
            cloud_machine_add(cloud, id, request->type_name, request->zone, request->is_spot);
    }
    LOG_INFO("scale_out_completed", "request_id=%s machines=%u requested=%d", request->request_id,
             ids->len, request->machine_count);
    if ((int)ids->len < request->machine_count)
        mark_offer_refused(cloud, request);
    g_array_unref(ids);
}

/** Settles the intent of a request that has its final response, and removes the request. */
static void finish_request(struct cloud_provider *cloud, struct scale_out_request *request)
{
    intent_log_settle(cloud->intents, INTENT_SCALE_OUT, request->request_id);
    g_queue_remove(&cloud->scale_out_requests, request);
    scale_out_request_free(request);
}

static void handle_result(struct cloud_provider *cloud, struct scale_out_request *request,
                          enum scale_out_result result, json_object *body)
{
    switch (result) {
    case SCALE_OUT_COMPLETED:
        add_machines(cloud, request, body);
        finish_request(cloud, request);
        break;
    case SCALE_OUT_NO_CAPACITY:
        LOG_INFO("scale_out_refused", "request_id=%s", request->request_id);
        mark_offer_refused(cloud, request);
        finish_request(cloud, request);
        break;
    case SCALE_OUT_INVALID:
        finish_request(cloud, request);
        break;
    case SCALE_OUT_RETRY:
        request->send_state = CLOUD_UNANSWERED;
        request->not_before = time_add_ms(loop_now(cloud->loop), CLOUD_RETRY_MS);
        break;
    }
}

static void on_scale_out_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    struct scale_out_request *request = call->request;
    bool is_current = cloud_call_is_current(call);
    g_free(call);
    if (!is_current)
        return; /* its machines will appear in the machine list */
    json_object *body =
        response->status > 0 ? json_parse(response->body, response->body_bytes) : NULL;
    handle_result(cloud, request, get_result(response, body), body);
    json_object_put(body);
    cloud_provider_notify(cloud);
}

/* ---- sending ---- */

static void send_scale_out(struct cloud_provider *cloud, struct scale_out_request *request)
{
    mono_time now = loop_now(cloud->loop);
    char *body = scale_out_request_encode(request->request_id, request->type_name, request->zone,
                                          request->is_spot, request->machine_count);
    struct cloud_call *call = cloud_call_new(cloud);
    call->request = request;
    if (request->send_state == CLOUD_NOT_SENT)
        delay_histogram_add(cloud->scale_out_delays,
                            (double)(now.us - request->decided_at.us) / 1000);
    request->send_state = CLOUD_IN_FLIGHT;
    LOG_INFO("scale_out_requested", "type=%s zone=%s spot=%d machines=%d request_id=%s",
             request->type_name, request->zone, request->is_spot, request->machine_count,
             request->request_id);
    struct decision_basis basis = cloud_provider_get_decision_basis(cloud);
    decision_log_record(DECISION_SCALE_OUT, &basis, "request_id=%s machines=%d",
                        request->request_id, request->machine_count);
    cloud_call_send(call, "POST", CLOUD_PATH_MACHINES, body, on_scale_out_response);
    g_free(body);
}

static void record_intent(struct cloud_provider *cloud, const struct scale_out_request *request)
{
    struct intent intent = {.kind = INTENT_SCALE_OUT,
                            .is_spot = request->is_spot,
                            .machine_count = request->machine_count};
    g_strlcpy(intent.name, request->request_id, sizeof intent.name);
    g_strlcpy(intent.type_name, request->type_name, sizeof intent.type_name);
    g_strlcpy(intent.zone, request->zone, sizeof intent.zone);
    intent_log_add(cloud->intents, &intent, (revision){0});
}

/**
 * The intent of a request is recorded only when the call budget suffices to send the request at
 * once, because a request can be dropped only until its intent is recorded.
 */
void scale_out_step(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    /* The number of calls for requests whose intents are not recorded yet. */
    int expected_calls = 0;
    for (GList *link = cloud->scale_out_requests.head; link && cloud_provider_may_call(cloud);
         link = link->next) {
        struct scale_out_request *request = link->data;
        if (request->send_state == CLOUD_IN_FLIGHT || time_before(now, request->not_before))
            continue;
        enum intent_state state = get_intent_state(cloud, request);
        if (!cloud_provider_records_intents(cloud) || state == INTENT_RECORDED) {
            send_scale_out(cloud, request);
            continue;
        }
        expected_calls++;
        if (expected_calls > cloud->call_bucket.tokens)
            break;
        if (state == INTENT_UNKNOWN && !cloud->recording_paused)
            record_intent(cloud, request);
    }
}
