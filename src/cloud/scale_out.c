/* Requests to rent. */
#include "cloud_provider_internal.h"

#include "log.h"

enum { REFUSED_MS = 15000 };

void fleet_request_free(struct rental_request *request)
{
    g_free(request->name);
    g_free(request);
}

static struct rental_request *request_new(const char *type_name, const char *zone, bool spot,
                                          int number)
{
    struct rental_request *request = g_new0(struct rental_request, 1);
    g_strlcpy(request->type_name, type_name, sizeof request->type_name);
    g_strlcpy(request->zone, zone, sizeof request->zone);
    request->spot = spot;
    request->number = number;
    return request;
}

void fleet_rent(struct fleet *fleet, const char *type_name, const char *zone, bool spot, int number)
{
    struct rental_request *request = request_new(type_name, zone, spot, number);
    /* Names never repeat: the incarnation is a lease of the state service, which no other process
     * ever has. */
    request->name =
        g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, fleet->settings->label,
                        membership_incarnation(fleet->members).v, ++fleet->counter);
    request->decided = loop_now(fleet->loop);
    g_queue_push_tail(&fleet->requests, request);
}

void fleet_rent_recover(struct fleet *fleet, const struct intent *intent)
{
    struct rental_request *request =
        request_new(intent->type_name, intent->zone, intent->spot, intent->number);
    request->name = g_strdup(intent->name);
    request->sent = true; /* perhaps */
    g_queue_push_head(&fleet->requests, request);
}

static enum intent_state recorded_state(const struct fleet *fleet,
                                        const struct rental_request *request)
{
    return intent_log_state(fleet->intents, INTENT_RENT, request->name);
}

int fleet_requested(struct fleet *fleet, const char *type_name, const char *zone, bool spot)
{
    int n = 0;
    for (GList *l = fleet->requests.head; l; l = l->next) {
        struct rental_request *request = l->data;
        if (request->spot == spot && strcmp(request->type_name, type_name) == 0 &&
            strcmp(request->zone, zone) == 0)
            n += request->number;
    }
    return n;
}

void fleet_forget_unsent(struct fleet *fleet)
{
    for (GList *l = fleet->requests.head, *next; l; l = next) {
        struct rental_request *request = l->data;
        next = l->next;
        if (!request->sent && recorded_state(fleet, request) == INTENT_UNKNOWN) {
            g_queue_delete_link(&fleet->requests, l);
            fleet_request_free(request);
        }
    }
}

/* ---- refusals ---- */

bool fleet_refused(struct fleet *fleet, const char *type_name, const char *zone, bool spot)
{
    char *key = fleet_offer_key(type_name, zone, spot);
    mono_time *until = g_hash_table_lookup(fleet->refused, key);
    g_free(key);
    return until && time_before(loop_now(fleet->loop), *until);
}

static void refuse(struct fleet *fleet, const struct rental_request *request)
{
    mono_time until = time_add_ms(loop_now(fleet->loop), REFUSED_MS);
    g_hash_table_replace(fleet->refused,
                         fleet_offer_key(request->type_name, request->zone, request->spot),
                         g_memdup2(&until, sizeof until));
}

/* ---- answers ---- */

static void take_rented(struct fleet *fleet, const struct rental_request *request,
                        const GArray *ids)
{
    for (guint i = 0; i < ids->len; i++) {
        host_id id = g_array_index(ids, host_id, i);
        /* A request that is sent again, by a later holder too, gets the first answer: what it names
         * may have been returned by now. */
        if (!fleet_gone(fleet, id.s) && !fleet_returning(fleet, id.s))
            fleet_machine_make(fleet, id, request->type_name, request->zone, request->spot);
    }
    LOG_INFO("rented", "request=%s number=%u of=%d", request->name, ids->len, request->number);
    if ((int)ids->len < request->number)
        refuse(fleet, request);
}

/* The request is answered for good: it need not be known any more. */
static void request_over(struct fleet *fleet, struct rental_request *request)
{
    intent_log_settle(fleet->intents, INTENT_RENT, request->name);
    g_queue_remove(&fleet->requests, request);
    fleet_request_free(request);
}

static void rent_answered(void *arg, const struct net_answer *answer)
{
    struct fleet_call *call = arg;
    struct fleet *fleet = call->fleet;
    struct rental_request *request = call->request;
    bool mine = call->generation == fleet->generation;
    g_free(call);
    if (!mine)
        return; /* its machines show up in the list */
    request->out = false;
    json_object *object = answer->status > 0 ? json_read(answer->body, answer->len) : NULL;
    GArray *ids = answer->status == 200 ? codec_rented_read(object) : NULL;
    const char *error = "";
    json_text(object, "error", &error);
    bool no_capacity = answer->status == 503 && strcmp(error, "no capacity") == 0;
    if (ids) {
        take_rented(fleet, request, ids);
        g_array_unref(ids);
    }
    if (no_capacity) {
        LOG_INFO("rent_refused", "request=%s", request->name);
        refuse(fleet, request);
    }
    if (answer->status == 200 || answer->status == 400 || no_capacity)
        request_over(fleet, request);
    else
        request->not_before = time_add_ms(loop_now(fleet->loop), FLEET_RETRY_MS);
    json_object_put(object);
    fleet_tell(fleet);
}

/* ---- sending ---- */

static void send(struct fleet *fleet, struct rental_request *request)
{
    mono_time now = loop_now(fleet->loop);
    char *body = codec_rent_write(request->name, request->type_name, request->zone, request->spot,
                                  request->number);
    struct fleet_call *call = fleet_call_new(fleet);
    call->request = request;
    if (!request->sent)
        delay_histogram_add(fleet->rent_delays, (double)(now.us - request->decided.us) / 1000);
    request->out = request->sent = true;
    LOG_INFO("rent", "type=%s zone=%s spot=%d number=%d request=%s", request->type_name,
             request->zone, request->spot, request->number, request->name);
    fleet_call(fleet, "POST", "/rentals", body, rent_answered, call);
    g_free(body);
}

static void record(struct fleet *fleet, const struct rental_request *request)
{
    struct intent intent = {.kind = INTENT_RENT, .spot = request->spot, .number = request->number};
    g_strlcpy(intent.name, request->name, sizeof intent.name);
    g_strlcpy(intent.type_name, request->type_name, sizeof intent.type_name);
    g_strlcpy(intent.zone, request->zone, sizeof intent.zone);
    intent_log_add(fleet->intents, &intent, (revision){0});
}

/* Requests are recorded only when they can be sent at once: what is not recorded may be taken
 * back. */
void fleet_rent_step(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    double soon = 0; /* calls for requests that are recorded or about to be */
    for (GList *l = fleet->requests.head; l && fleet_may_call(fleet); l = l->next) {
        struct rental_request *request = l->data;
        if (request->out || time_before(now, request->not_before))
            continue;
        enum intent_state state = recorded_state(fleet, request);
        if (!fleet_records(fleet) || state == INTENT_RECORDED) {
            send(fleet, request);
            continue;
        }
        soon += 1;
        if (soon > fleet->level)
            break;
        if (state == INTENT_UNKNOWN && !fleet->holding)
            record(fleet, request);
    }
}
