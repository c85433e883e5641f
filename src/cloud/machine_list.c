/* The cloud's list of machines: what was rented, by whomever. */
#include "cloud_provider_internal.h"

enum { PAGE = 500 };

static void list_end(struct fleet *fleet)
{
    /* New machines are missing from the list for a while, and it may be older than the last one:
     * only what was rented long ago and is not listed is gone. */
    double lag = fleet->settings->cloud_list_lag_s * 2 + 5;
    GHashTableIter it;
    struct fleet_machine *machine;
    mono_time now = loop_now(fleet->loop);
    g_hash_table_iter_init(&it, fleet->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!g_hash_table_contains(fleet->list_seen, machine->id.s) &&
            time_ms_since(now, machine->rented) > (int64_t)(lag * 1000))
            g_hash_table_iter_remove(&it);
    /* What was returned long ago is not listed any more, and need not be remembered for ever. */
    char *id;
    g_hash_table_iter_init(&it, fleet->gone);
    while (g_hash_table_size(fleet->gone) > REMEMBERED_MACHINES &&
           g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
        if (!g_hash_table_contains(fleet->list_seen, id))
            g_hash_table_iter_remove(&it);
    g_clear_pointer(&fleet->list_from, g_free);
    g_clear_pointer(&fleet->list_seen, g_hash_table_unref);
    fleet->list_at = now;
    fleet->listed = true;
    fleet_tell(fleet);
}

static void list_answered(void *arg, const struct net_answer *answer)
{
    struct fleet_call *call = arg;
    struct fleet *fleet = call->fleet;
    bool mine = call->generation == fleet->generation, more = false;
    g_free(call);
    if (!mine)
        return;
    fleet->list_out = false;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    GArray *list = codec_rentals_read(object, &more);
    json_object_put(object);
    if (!list) {
        fleet->list_at = loop_now(fleet->loop);
        fleet->list_at.us -= (int64_t)((fleet->settings->cloud_list_lag_s - 1) * 1e6);
        return;
    }
    for (guint i = 0; i < list->len; i++) {
        struct rental *rental = &g_array_index(list, struct rental, i);
        g_hash_table_add(fleet->list_seen, g_strdup(rental->id.s));
        if (fleet_gone(fleet, rental->id.s))
            continue;
        struct fleet_machine *machine = g_hash_table_lookup(fleet->machines, rental->id.s);
        if (!machine) {
            machine = fleet_machine_make(fleet, rental->id, rental->type_name, rental->zone,
                                         rental->spot);
            machine->rented = time_add_ms(fleet->list_asked, -(int64_t)(rental->age_s * 1000));
        }
        machine->stage = rental->stage;
    }
    if (more && list->len) {
        g_free(fleet->list_from);
        fleet->list_from = g_strdup(g_array_index(list, struct rental, list->len - 1).id.s);
    } else {
        list_end(fleet);
    }
    g_array_unref(list);
}

void fleet_list_ask(struct fleet *fleet)
{
    if (!fleet->list_seen) {
        fleet->list_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        fleet->list_asked = loop_now(fleet->loop);
    }
    char *path = fleet->list_from
                     ? g_strdup_printf("/rentals?From=%s&Page=%d", fleet->list_from, PAGE)
                     : g_strdup_printf("/rentals?Page=%d", PAGE);
    fleet->list_out = true;
    fleet_call(fleet, "GET", path, NULL, list_answered, fleet_call_new(fleet));
    g_free(path);
}
