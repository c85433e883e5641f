/* Returns of machines. */
#include "cloud_provider_internal.h"

#include "log.h"

enum {
    MOST_RETURNED = 100, /* by one request */
    MOST_NAMED = 500,    /* to owners at a time */
};

bool fleet_gone(const struct fleet *fleet, const char *id)
{
    return g_hash_table_contains(fleet->gone, id);
}

bool fleet_returning(const struct fleet *fleet, const char *id)
{
    return (g_hash_table_size(fleet->returns) && g_hash_table_contains(fleet->returns, id)) ||
           duty_table_returning(fleet->view->duties, id);
}

static struct machine_return *return_make(struct fleet *fleet, host_id id, enum return_phase phase)
{
    struct machine_return *entry = g_new0(struct machine_return, 1);
    entry->id = id;
    entry->phase = phase;
    entry->decided = loop_now(fleet->loop);
    g_hash_table_replace(fleet->returns, entry->id.s, entry);
    return entry;
}

void fleet_return(struct fleet *fleet, host_id id, const char *why)
{
    if (fleet_gone(fleet, id.s) || g_hash_table_contains(fleet->returns, id.s))
        return;
    LOG_INFO("return", "machine=%s why=%s", id.s, why);
    return_make(fleet, id, fleet_records(fleet) ? RETURN_WANTED : RETURN_READY);
}

void fleet_return_recover(struct fleet *fleet, const struct intent *intent)
{
    host_id id;
    if (host_id_from(&id, intent->name))
        return_make(fleet, id, RETURN_READY)->sent = true; /* perhaps */
}

/* ---- closing ---- */

static GPtrArray *names_in(struct fleet *fleet, enum return_phase phase)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    struct machine_return *entry;
    g_hash_table_iter_init(&it, fleet->returns);
    while (names->len < MOST_NAMED && g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (entry->phase == phase)
            g_ptr_array_add(names, g_strdup(entry->id.s));
    return names;
}

GPtrArray *fleet_returns_to_close(struct fleet *fleet)
{
    /* What was decided before the duty was gained is forgotten then. A machine that was closed for
     * it would stay closed, and never be idle. */
    return duties_holds(fleet->duties, DUTY_FLEET) ? names_in(fleet, RETURN_WANTED)
                                                   : g_ptr_array_new_with_free_func(g_free);
}

GPtrArray *fleet_returns_to_announce(struct fleet *fleet)
{
    return names_in(fleet, RETURN_CONFIRMED);
}

void fleet_return_closed(struct fleet *fleet, const char *id, epoch_no epoch)
{
    struct machine_return *entry = g_hash_table_lookup(fleet->returns, id);
    if (!entry || entry->phase != RETURN_WANTED)
        return;
    entry->phase = RETURN_CLOSED;
    entry->closed_in = epoch;
}

/* ---- recording ---- */

/* A machine that was closed in an earlier epoch may have an owner by now who does not know of it.
 * The intent is conditioned on the map, so that it cannot be recorded later either. */
static void record(struct fleet *fleet, struct machine_return *entry)
{
    struct intent intent = {.kind = INTENT_RETURN};
    g_strlcpy(intent.name, entry->id.s, sizeof intent.name);
    intent_log_add(fleet->intents, &intent, fleet->view->map_stamp);
    entry->phase = RETURN_RECORDING;
}

/* Whether a return has to begin anew: it was sent before duties were on, its intent was dropped as
 * the map has changed, or the epoch in which it was closed is over. */
static bool is_void(const struct fleet *fleet, const struct machine_return *entry,
                    enum intent_state state)
{
    switch (entry->phase) {
    case RETURN_READY:
        return true;
    case RETURN_RECORDING:
        return state == INTENT_UNKNOWN;
    case RETURN_CLOSED:
        return entry->closed_in.v != fleet->view->epoch.v;
    default:
        return false;
    }
}

static void advance(struct fleet *fleet, struct machine_return *entry)
{
    if (entry->phase == RETURN_CONFIRMED)
        return;
    enum intent_state state = intent_log_state(fleet->intents, INTENT_RETURN, entry->id.s);
    if (state == INTENT_RECORDED)
        entry->phase = RETURN_READY;
    else if (is_void(fleet, entry, state))
        entry->phase = RETURN_WANTED;
    else if (entry->phase == RETURN_CLOSED && !fleet->holding)
        record(fleet, entry);
}

/* ---- sending ---- */

static void return_confirmed(struct fleet *fleet, const char *id, bool mine)
{
    g_hash_table_add(fleet->gone, g_strdup(id));
    if (!mine)
        return;
    struct fleet_machine *machine = g_hash_table_lookup(fleet->machines, id);
    if (machine) {
        /* There is room for another of its kind. */
        char *key = fleet_offer_key(machine->type_name, machine->zone, machine->spot);
        g_hash_table_remove(fleet->refused, key);
        g_free(key);
        g_hash_table_remove(fleet->machines, id);
    }
    struct machine_return *entry = g_hash_table_lookup(fleet->returns, id);
    if (entry && fleet_records(fleet))
        entry->phase = RETURN_CONFIRMED;
    else
        g_hash_table_remove(fleet->returns, id);
}

/* The intent stays on record until then: the owner would go on placing tasks on a machine that is
 * no more once a new epoch has opened what was closed. */
void fleet_return_announced(struct fleet *fleet, const char *id)
{
    const struct machine_return *entry = g_hash_table_lookup(fleet->returns, id);
    if (!entry || entry->phase != RETURN_CONFIRMED)
        return;
    intent_log_settle(fleet->intents, INTENT_RETURN, id);
    g_hash_table_remove(fleet->returns, id);
}

static void return_answered(void *arg, const struct net_answer *answer)
{
    struct fleet_call *call = arg;
    struct fleet *fleet = call->fleet;
    bool mine = call->generation == fleet->generation, done = answer->status == 200;
    for (guint i = 0; i < call->ids->len; i++) {
        const char *id = call->ids->pdata[i];
        struct machine_return *entry = mine ? g_hash_table_lookup(fleet->returns, id) : NULL;
        if (entry)
            entry->out = false;
        if (done)
            return_confirmed(fleet, id, mine);
    }
    if (mine) {
        fleet->return_out = false;
        fleet->return_not_before = time_add_ms(loop_now(fleet->loop), done ? 0 : FLEET_RETRY_MS);
        fleet_tell(fleet);
    }
    g_ptr_array_unref(call->ids);
    g_free(call);
}

static void add_to_call(struct fleet *fleet, struct fleet_call *call, GArray *hosts,
                        struct machine_return *entry)
{
    mono_time now = loop_now(fleet->loop);
    if (!entry->sent)
        delay_histogram_add(fleet->return_delays, (double)(now.us - entry->decided.us) / 1000);
    entry->out = entry->sent = true;
    g_array_append_val(hosts, entry->id);
    g_ptr_array_add(call->ids, g_strdup(entry->id.s));
}

static void send(struct fleet *fleet)
{
    struct fleet_call *call = fleet_call_new(fleet);
    call->ids = g_ptr_array_new_with_free_func(g_free);
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(host_id));
    GHashTableIter it;
    struct machine_return *entry;
    g_hash_table_iter_init(&it, fleet->returns);
    while (hosts->len < MOST_RETURNED && g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (entry->phase == RETURN_READY)
            add_to_call(fleet, call, hosts, entry);
    char *body = codec_return_write((host_id *)hosts->data, hosts->len);
    g_array_unref(hosts);
    fleet->return_out = true;
    fleet_call(fleet, "POST", "/rentals/return", body, return_answered, call);
    g_free(body);
}

static bool any_ready(struct fleet *fleet)
{
    GHashTableIter it;
    struct machine_return *entry;
    bool ready = false;
    g_hash_table_iter_init(&it, fleet->returns);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        if (fleet_records(fleet) && !entry->out)
            advance(fleet, entry);
        else if (!fleet_records(fleet) && entry->phase != RETURN_CONFIRMED)
            entry->phase = RETURN_READY;
        ready = ready || entry->phase == RETURN_READY;
    }
    return ready;
}

void fleet_return_step(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    if (any_ready(fleet) && !fleet->return_out && !time_before(now, fleet->return_not_before) &&
        fleet_may_call(fleet))
        send(fleet);
}
