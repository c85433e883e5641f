/* The cloud's list of machines: what was rented, by whomever. */
#include "cloud_provider_internal.h"

enum { RELOAD_PAGE_KEYS = 500 };

static void finish_list(struct cloud_provider *cloud)
{
    /* New machines are missing from the list for a while, and it may be older than the last one:
     * only what was rented long ago and is not listed is gone. */
    double lag = cloud->settings->cloud_list_lag_s * 2 + 5;
    GHashTableIter it;
    struct cloud_machine *machine;
    mono_time now = loop_now(cloud->loop);
    g_hash_table_iter_init(&it, cloud->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!g_hash_table_contains(cloud->listed_ids, machine->id.text) &&
            time_ms_since(now, machine->requested_at) > (int64_t)(lag * 1000))
            g_hash_table_iter_remove(&it);
    /* What was returned long ago is not listed any more, and need not be remembered for ever. */
    char *id;
    g_hash_table_iter_init(&it, cloud->gone_machines);
    while (g_hash_table_size(cloud->gone_machines) > MAX_TRACKED_MACHINES &&
           g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
        if (!g_hash_table_contains(cloud->listed_ids, id))
            g_hash_table_iter_remove(&it);
    g_clear_pointer(&cloud->list_cursor, g_free);
    g_clear_pointer(&cloud->listed_ids, g_hash_table_unref);
    cloud->list_read_at = now;
    cloud->is_listed = true;
    cloud_provider_notify(cloud);
}

static void on_list_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    bool mine = call->generation == cloud->generation, more = false;
    g_free(call);
    if (!mine)
        return;
    cloud->list_call_in_flight = false;
    json_object *object = response->status == HTTP_STATUS_OK
                              ? json_parse(response->body, response->body_bytes)
                              : NULL;
    GArray *list = cloud_machines_decode(object, &more);
    json_object_put(object);
    if (!list) {
        cloud->list_read_at = loop_now(cloud->loop);
        cloud->list_read_at.us -= (int64_t)((cloud->settings->cloud_list_lag_s - 1) * 1e6);
        return;
    }
    for (guint i = 0; i < list->len; i++) {
        struct listed_machine *rental = &g_array_index(list, struct listed_machine, i);
        g_hash_table_add(cloud->listed_ids, g_strdup(rental->id.text));
        if (cloud_provider_is_gone(cloud, rental->id.text))
            continue;
        struct cloud_machine *machine = g_hash_table_lookup(cloud->machines, rental->id.text);
        if (!machine) {
            machine = cloud_machine_add(cloud, rental->id, rental->machine_type_name, rental->zone,
                                        rental->is_spot);
            machine->requested_at =
                time_add_ms(cloud->list_started_at, -(int64_t)(rental->age_s * 1000));
        }
        machine->stage = rental->stage;
    }
    if (more && list->len) {
        g_free(cloud->list_cursor);
        cloud->list_cursor =
            g_strdup(g_array_index(list, struct listed_machine, list->len - 1).id.text);
    } else {
        finish_list(cloud);
    }
    g_array_unref(list);
}

void machine_list_request(struct cloud_provider *cloud)
{
    if (!cloud->listed_ids) {
        cloud->listed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        cloud->list_started_at = loop_now(cloud->loop);
    }
    char *path = cloud->list_cursor ? g_strdup_printf("/rentals?From=%s&Page=%d",
                                                      cloud->list_cursor, RELOAD_PAGE_KEYS)
                                    : g_strdup_printf("/rentals?Page=%d", RELOAD_PAGE_KEYS);
    cloud->list_call_in_flight = true;
    cloud_call_send(cloud, "GET", path, NULL, on_list_response, cloud_call_new(cloud));
    g_free(path);
}
