/* Requests to rent. */
#include "cloud_provider_internal.h"

#include "log.h"

enum { UNAVAILABLE_AFTER_503_MS = 15000 };

void scale_out_request_free(struct scale_out_request *request)
{
    g_free(request->request_id);
    g_free(request);
}

static struct scale_out_request *scale_out_request_new(const char *type_name, const char *zone,
                                                       bool spot, int number)
{
    struct scale_out_request *request = g_new0(struct scale_out_request, 1);
    g_strlcpy(request->type_name, type_name, sizeof request->type_name);
    g_strlcpy(request->zone, zone, sizeof request->zone);
    request->is_spot = spot;
    request->machine_count = number;
    return request;
}

void cloud_provider_scale_out(struct cloud_provider *cloud, const char *type_name, const char *zone,
                              bool is_spot, int machine_count)
{
    struct scale_out_request *request =
        scale_out_request_new(type_name, zone, is_spot, machine_count);
    /* Names never repeat: the incarnation is a lease of the state service, which no other process
     * ever has. */
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
    request->was_sent = true; /* perhaps */
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
        struct scale_out_request *request = link->data;
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
        if (!request->was_sent && get_intent_state(cloud, request) == INTENT_UNKNOWN) {
            g_queue_delete_link(&cloud->scale_out_requests, link);
            scale_out_request_free(request);
        }
    }
}

/* ---- refusals ---- */

bool cloud_provider_is_refused(struct cloud_provider *cloud, const char *type_name,
                               const char *zone, bool is_spot)
{
    char *key = cloud_offer_key(type_name, zone, is_spot);
    mono_time *until = g_hash_table_lookup(cloud->refused_until, key);
    g_free(key);
    return until && time_before(loop_now(cloud->loop), *until);
}

static void mark_offer_refused(struct cloud_provider *cloud,
                               const struct scale_out_request *request)
{
    mono_time until = time_add_ms(loop_now(cloud->loop), UNAVAILABLE_AFTER_503_MS);
    g_hash_table_replace(cloud->refused_until,
                         cloud_offer_key(request->type_name, request->zone, request->is_spot),
                         g_memdup2(&until, sizeof until));
}

/* ---- answers ---- */

static void add_rented_machines(struct cloud_provider *cloud,
                                const struct scale_out_request *request, const GArray *ids)
{
    for (guint i = 0; i < ids->len; i++) {
        machine_id id = g_array_index(ids, machine_id, i);
        /* A request that is sent again, by a later holder too, gets the first answer: what it names
         * may have been returned by now. */
        if (!cloud_provider_is_gone(cloud, id.text) &&
            !cloud_provider_is_scaling_in(cloud, id.text))
            cloud_machine_add(cloud, id, request->type_name, request->zone, request->is_spot);
    }
    LOG_INFO("rented", "request=%s number=%u of=%d", request->request_id, ids->len,
             request->machine_count);
    if ((int)ids->len < request->machine_count)
        mark_offer_refused(cloud, request);
}

/* The request is answered for good: it need not be known any more. */
static void finish_scale_out(struct cloud_provider *cloud, struct scale_out_request *request)
{
    intent_log_settle(cloud->intents, INTENT_SCALE_OUT, request->request_id);
    g_queue_remove(&cloud->scale_out_requests, request);
    scale_out_request_free(request);
}

static void on_scale_out_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    struct scale_out_request *request = call->request;
    bool mine = call->generation == cloud->generation;
    g_free(call);
    if (!mine)
        return; /* its machines show up in the list */
    request->is_in_flight = false;
    json_object *object =
        response->status > 0 ? json_parse(response->body, response->body_bytes) : NULL;
    GArray *ids = response->status == HTTP_STATUS_OK ? scale_out_response_decode(object) : NULL;
    const char *error = "";
    json_get_text(object, "error", &error);
    bool no_capacity =
        response->status == HTTP_STATUS_UNAVAILABLE && strcmp(error, "no capacity") == 0;
    if (ids) {
        add_rented_machines(cloud, request, ids);
        g_array_unref(ids);
    }
    if (no_capacity) {
        LOG_INFO("rent_refused", "request=%s", request->request_id);
        mark_offer_refused(cloud, request);
    }
    if (response->status == HTTP_STATUS_OK || response->status == HTTP_STATUS_BAD_REQUEST ||
        no_capacity)
        finish_scale_out(cloud, request);
    else
        request->not_before = time_add_ms(loop_now(cloud->loop), CLOUD_RETRY_MS);
    json_object_put(object);
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
    if (!request->was_sent)
        delay_histogram_add(cloud->scale_out_delays,
                            (double)(now.us - request->decided_at.us) / 1000);
    request->is_in_flight = request->was_sent = true;
    LOG_INFO("rent", "type=%s zone=%s spot=%d number=%d request=%s", request->type_name,
             request->zone, request->is_spot, request->machine_count, request->request_id);
    cloud_call_send(cloud, "POST", "/rentals", body, on_scale_out_response, call);
    g_free(body);
}

static void record_scale_out(struct cloud_provider *cloud, const struct scale_out_request *request)
{
    struct intent intent = {.kind = INTENT_SCALE_OUT,
                            .is_spot = request->is_spot,
                            .machine_count = request->machine_count};
    g_strlcpy(intent.name, request->request_id, sizeof intent.name);
    g_strlcpy(intent.type_name, request->type_name, sizeof intent.type_name);
    g_strlcpy(intent.zone, request->zone, sizeof intent.zone);
    intent_log_add(cloud->intents, &intent, (revision){0});
}

/* Requests are recorded only when they can be sent at once: what is not recorded may be taken
 * back. */
void scale_out_step(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    double soon = 0; /* calls for requests that are recorded or about to be */
    for (GList *link = cloud->scale_out_requests.head; link && cloud_provider_may_call(cloud);
         link = link->next) {
        struct scale_out_request *request = link->data;
        if (request->is_in_flight || time_before(now, request->not_before))
            continue;
        enum intent_state state = get_intent_state(cloud, request);
        if (!cloud_provider_records_intents(cloud) || state == INTENT_RECORDED) {
            send_scale_out(cloud, request);
            continue;
        }
        soon += 1;
        if (soon > cloud->call_tokens)
            break;
        if (state == INTENT_UNKNOWN && !cloud->recording_paused)
            record_scale_out(cloud, request);
    }
}
