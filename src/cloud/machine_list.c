/**
 * @file
 * Reads the cloud's machine list, which contains all rented machines, whichever node requested
 * them.
 */
#include "cloud_provider_internal.h"

enum {
    LIST_PAGE_LENGTH = 500,
    MIN_LIST_INTERVAL_S = 4,
};

/**
 * A newly rented machine appears in the list only after the cloud's list lag, and a list may be
 * older than the previous one. So an unlisted machine is known to be no longer rented only if it
 * was requested longer ago than LAG_FACTOR times the lag plus LAG_MARGIN_S.
 */
static const double LAG_FACTOR = 2, LAG_MARGIN_S = 5;

static void remove_unlisted_machines(struct cloud_provider *cloud)
{
    double lag_s = cloud->settings->cloud_list_lag_s * LAG_FACTOR + LAG_MARGIN_S;
    mono_time now = loop_now(cloud->loop);
    GHashTableIter it;
    struct cloud_machine *machine;
    g_hash_table_iter_init(&it, cloud->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!g_hash_table_contains(cloud->machine_list.listed_ids, machine->id.text) &&
            time_ms_since(now, machine->requested_at) > (int64_t)(lag_s * 1000))
            g_hash_table_iter_remove(&it);
}

/**
 * Limits the number of returned machines kept in memory. Those still in the list must be kept, or
 * they would be added again as rented.
 */
static void prune_returned_machines(struct cloud_provider *cloud)
{
    GHashTableIter it;
    char *id;
    g_hash_table_iter_init(&it, cloud->returned_machines);
    while (g_hash_table_size(cloud->returned_machines) > MAX_TRACKED_MACHINES &&
           g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
        if (!g_hash_table_contains(cloud->machine_list.listed_ids, id))
            g_hash_table_iter_remove(&it);
}

static void finish_list(struct cloud_provider *cloud)
{
    struct machine_list_state *list = &cloud->machine_list;
    remove_unlisted_machines(cloud);
    prune_returned_machines(cloud);
    g_clear_pointer(&list->cursor, g_free);
    g_clear_pointer(&list->listed_ids, g_hash_table_unref);
    list->read_at = loop_now(cloud->loop);
    list->is_complete = true;
    cloud_provider_notify(cloud);
}

static void handle_listed_machine(struct cloud_provider *cloud, const struct listed_machine *listed)
{
    g_hash_table_add(cloud->machine_list.listed_ids, g_strdup(listed->id.text));
    if (cloud_provider_is_returned(cloud, listed->id.text))
        return;
    struct cloud_machine *machine = g_hash_table_lookup(cloud->machines, listed->id.text);
    if (!machine) {
        machine = cloud_machine_add(cloud, listed->id, listed->machine_type_name, listed->zone,
                                    listed->is_spot);
        machine->requested_at =
            time_add_ms(cloud->machine_list.started_at, -(int64_t)(listed->age_s * 1000));
    }
    machine->stage = listed->stage;
}

static void handle_page(struct cloud_provider *cloud, const GArray *page, bool has_more)
{
    for (guint i = 0; i < page->len; i++)
        handle_listed_machine(cloud, &g_array_index(page, struct listed_machine, i));
    if (!has_more || !page->len) {
        finish_list(cloud);
        return;
    }
    const struct listed_machine *last = &g_array_index(page, struct listed_machine, page->len - 1);
    g_free(cloud->machine_list.cursor);
    cloud->machine_list.cursor = g_strdup(last->id.text);
}

static void on_list_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    bool is_current = cloud_call_is_current(call), has_more = false;
    g_free(call);
    if (!is_current)
        return;
    cloud->machine_list.call_in_flight = false;
    json_object *body = cloud_response_parse(response);
    GArray *page = cloud_machines_decode(body, &has_more);
    json_object_put(body);
    if (!page)
        return; /* the same page is requested again in the next step */
    handle_page(cloud, page, has_more);
    g_array_unref(page);
}

bool machine_list_is_due(const struct cloud_provider *cloud)
{
    const struct machine_list_state *list = &cloud->machine_list;
    if (list->call_in_flight)
        return false;
    if (!list->is_complete || list->listed_ids)
        return true;
    double interval_s = MAX(cloud->settings->cloud_list_lag_s, MIN_LIST_INTERVAL_S);
    return time_ms_since(loop_now(cloud->loop), list->read_at) > (int64_t)(interval_s * 1000);
}

void machine_list_request(struct cloud_provider *cloud)
{
    struct machine_list_state *list = &cloud->machine_list;
    if (!list->listed_ids) {
        list->listed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        list->started_at = loop_now(cloud->loop);
    }
    char *path = cloud_machines_path(list->cursor, LIST_PAGE_LENGTH);
    list->call_in_flight = true;
    cloud_call_send(cloud_call_new(cloud), "GET", path, NULL, on_list_response);
    g_free(path);
}

void machine_list_reset(struct cloud_provider *cloud)
{
    struct machine_list_state *list = &cloud->machine_list;
    g_clear_pointer(&list->cursor, g_free);
    g_clear_pointer(&list->listed_ids, g_hash_table_unref);
    *list = (struct machine_list_state){0};
}
