#include "fleet.h"

#include "log.h"
#include "node.h"

#include <math.h>

enum {
    CALL_TIMEOUT_MS = 4000,
    RETRY_MS = 700,
    REFUSED_MS = 15000,
    TYPES_MS = 60000,
    MOST_GONE = 5000,
    MOST_RETURNED = 100,
    VALUE_BYTES = 32, /* of a part of the types besides these */
    STORE_EVERY_MS = 1000,
    PAGE = 500,
};

/* One request to rent. It is sent again with the same name until there is an answer: a second
 * answer to one name rents nothing, while a new name after a lost answer would pay twice. */
struct charter {
    char *name;
    char type_name[48], zone[48];
    bool spot, out;
    bool sent; /* once, at least: the cloud may know its name */
    int number;
    mono_time not_before;
};

struct fleet {
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    const struct settings *settings;
    struct actor *listener;
    GArray *types;
    mono_time types_at;
    mono_time store_at;
    bool types_out, types_written;
    GHashTable *machines, *gone;
    GHashTable *refused; /* offer -> until */
    GQueue charters;
    GPtrArray *to_return; /* char * */
    bool return_out;
    uint64_t counter, generation;
    double level;
    mono_time level_at, list_at, return_not_before;
    bool list_out, listed;
    char *list_from;
    GHashTable *list_seen;
    mono_time list_asked;
};

static void drop_charter(struct charter *charter)
{
    g_free(charter->name);
    g_free(charter);
}

struct fleet *fleet_new(const struct node *node, struct actor *listener)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->loop = node->loop;
    fleet->net = node->net;
    fleet->store = node->store;
    fleet->view = node->view;
    fleet->members = node->members;
    fleet->settings = node->settings;
    fleet->listener = listener;
    fleet->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    fleet->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->to_return = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&fleet->charters);
    fleet->level = fleet->settings->cloud_rps;
    fleet->level_at = loop_now(fleet->loop);
    return fleet;
}

void fleet_reset(struct fleet *fleet)
{
    fleet->generation++;
    g_hash_table_remove_all(fleet->machines);
    g_hash_table_remove_all(fleet->refused);
    while (fleet->charters.head)
        drop_charter(g_queue_pop_head(&fleet->charters));
    g_ptr_array_set_size(fleet->to_return, 0);
    fleet->types_at = (mono_time){0};
    fleet->list_at = (mono_time){0};
    fleet->listed = fleet->list_out = fleet->types_out = fleet->return_out = false;
    g_clear_pointer(&fleet->list_from, g_free);
    g_clear_pointer(&fleet->list_seen, g_hash_table_unref);
}

void fleet_free(struct fleet *fleet)
{
    fleet_reset(fleet);
    if (fleet->types)
        g_array_unref(fleet->types);
    g_hash_table_unref(fleet->machines);
    g_hash_table_unref(fleet->gone);
    g_hash_table_unref(fleet->refused);
    g_ptr_array_unref(fleet->to_return);
    g_free(fleet);
}

bool fleet_listed(const struct fleet *fleet)
{
    return fleet->listed;
}

GHashTable *fleet_machines(struct fleet *fleet)
{
    return fleet->machines;
}

const GArray *fleet_types(const struct fleet *fleet)
{
    return fleet->types;
}

bool fleet_gone(const struct fleet *fleet, const char *id)
{
    return g_hash_table_contains(fleet->gone, id);
}

static char *offer_key(const char *type_name, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %d", type_name, zone, spot);
}

bool fleet_refused(struct fleet *fleet, const char *type_name, const char *zone, bool spot)
{
    char *key = offer_key(type_name, zone, spot);
    mono_time *until = g_hash_table_lookup(fleet->refused, key);
    g_free(key);
    return until && time_before(loop_now(fleet->loop), *until);
}

int fleet_requested(struct fleet *fleet, const char *type_name, const char *zone, bool spot)
{
    int n = 0;
    for (GList *l = fleet->charters.head; l; l = l->next) {
        struct charter *charter = l->data;
        if (charter->spot == spot && strcmp(charter->type_name, type_name) == 0 &&
            strcmp(charter->zone, zone) == 0)
            n += charter->number;
    }
    return n;
}

/* A call's context outlives a change of leader; its answer then counts for nothing. */
struct call {
    struct fleet *fleet;
    uint64_t generation;
    struct charter *charter;
    GPtrArray *ids;
};

static bool may_call(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    double rate = fleet->settings->cloud_rps * 0.9;
    fleet->level = MIN(fleet->settings->cloud_rps * 1.5 + 0.5,
                       fleet->level + rate * (double)(now.us - fleet->level_at.us) / 1e6);
    fleet->level_at = now;
    return fleet->level >= 1;
}

static void call(struct fleet *fleet, const char *method, const char *path, const char *body,
                 net_done done, struct call *c)
{
    fleet->level -= 1;
    struct net_request request = {fleet->settings->cloud_addr, method,         path, body,
                                  body ? strlen(body) : 0,     CALL_TIMEOUT_MS};
    fleet->net->request(fleet->net, &request, done, c);
}

static struct call *call_new(struct fleet *fleet)
{
    struct call *call = g_new0(struct call, 1);
    call->fleet = fleet;
    call->generation = fleet->generation;
    return call;
}

static void tell(struct fleet *fleet)
{
    actor_send(fleet->loop, fleet->listener, MSG_FLEET, NULL, NULL);
}

/* ---- types ---- */

static bool same_types(const GArray *a, const GArray *b)
{
    if (!a || a->len != b->len)
        return false;
    for (guint i = 0; i < a->len; i++) {
        const struct machine_type *x = &g_array_index(a, struct machine_type, i);
        const struct machine_type *y = &g_array_index(b, struct machine_type, i);
        if (strcmp(x->name, y->name) != 0 || x->cpus.milli != y->cpus.milli ||
            x->gpus.milli != y->gpus.milli || x->memory.milli != y->memory.milli ||
            !g_strv_equal((const char *const *)x->zones, (const char *const *)y->zones))
            return false;
    }
    return true;
}

static void types_stored(void *arg, const struct txn_outcome *outcome)
{
    struct fleet *fleet = arg;
    fleet->types_written = outcome->result == TXN_DONE;
}

/* So many of the types, from one on, as one value takes. */
static GArray *types_part(struct fleet *fleet, guint from)
{
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize most = store_limits(fleet->store)->value_bytes - VALUE_BYTES;
    for (guint i = from; i < fleet->types->len; i++) {
        g_array_append_val(part, g_array_index(fleet->types, struct machine_type, i));
        json_object *value = codec_types_write(part);
        bool fits = value_size(value) <= most;
        json_object_put(value);
        if (!fits) {
            g_array_set_size(part, part->len - 1);
            break;
        }
    }
    return part;
}

/* Nodes that do not lead learn the types from the state service. A list that is too long for one
 * value is written in parts, which nodes of version 0 do not know of. */
static void store_types(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    if (!fleet->types || fleet->types_written || same_types(fleet->view->types, fleet->types) ||
        !membership_leads(fleet->members) || time_ms_since(now, fleet->store_at) < STORE_EVERY_MS)
        return;
    fleet->store_at = now;
    struct txn *txn = txn_new();
    txn_when(txn, KEY_LEADER, fleet->view->leader_stamp);
    json_object *first = NULL;
    guint parts = 0, at = 0;
    do {
        GArray *part = types_part(fleet, at);
        json_object *value = codec_types_write(part);
        at += part->len;
        char *key = g_strdup_printf(KEY_TYPES "/%u", parts);
        if (!parts++)
            first = value;
        else
            txn_set(txn, key, value, (lease_id){0});
        g_free(key);
        if (!part->len)
            at = fleet->types->len + 1; /* one that no value takes */
        g_array_unref(part);
    } while (at < fleet->types->len);
    if (parts > 1)
        json_put_u64(first, "more", parts - 1);
    txn_set(txn, KEY_TYPES, first, (lease_id){0});
    if (at > fleet->types->len || (int)parts > store_limits(fleet->store)->txn_ops ||
        (parts > 1 && !membership_all_understand(fleet->members))) {
        LOG_INFO("types_not_stored", "types=%u parts=%u", fleet->types->len, parts);
        txn_free(txn);
        return;
    }
    fleet->types_written = true;
    store_txn(fleet->store, LANE_NORMAL, txn, types_stored, fleet);
}

static void types_answered(void *arg, const struct net_answer *answer)
{
    struct call *call = arg;
    struct fleet *fleet = call->fleet;
    bool mine = call->generation == fleet->generation;
    g_free(call);
    if (!mine)
        return;
    fleet->types_out = false;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    GArray *types = codec_types_read(object);
    json_object_put(object);
    fleet->types_at = loop_now(fleet->loop);
    if (!types) {
        fleet->types_at.us -= (TYPES_MS - 1000) * 1000LL;
        return;
    }
    if (fleet->types)
        g_array_unref(fleet->types);
    fleet->types = types;
    fleet->types_written = false;
    store_types(fleet);
    tell(fleet);
}

static void types_go(struct fleet *fleet)
{
    fleet->types_out = true;
    call(fleet, "GET", "/machine_types", NULL, types_answered, call_new(fleet));
}

/* ---- the list ---- */

static struct fleet_machine *machine_make(struct fleet *fleet, host_id id, const char *type_name,
                                          const char *zone, bool spot)
{
    struct fleet_machine *machine = g_new0(struct fleet_machine, 1);
    machine->id = id;
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->stage = RENTAL_BOOTING;
    machine->rented = loop_now(fleet->loop);
    g_hash_table_replace(fleet->machines, machine->id.s, machine);
    return machine;
}

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
    while (g_hash_table_size(fleet->gone) > MOST_GONE &&
           g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
        if (!g_hash_table_contains(fleet->list_seen, id))
            g_hash_table_iter_remove(&it);
    g_clear_pointer(&fleet->list_from, g_free);
    g_clear_pointer(&fleet->list_seen, g_hash_table_unref);
    fleet->list_at = now;
    fleet->listed = true;
    tell(fleet);
}

static void list_answered(void *arg, const struct net_answer *answer)
{
    struct call *call = arg;
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
            machine =
                machine_make(fleet, rental->id, rental->type_name, rental->zone, rental->spot);
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

static void list_go(struct fleet *fleet)
{
    if (!fleet->list_seen) {
        fleet->list_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        fleet->list_asked = loop_now(fleet->loop);
    }
    char *path = fleet->list_from
                     ? g_strdup_printf("/rentals?From=%s&Page=%d", fleet->list_from, PAGE)
                     : g_strdup_printf("/rentals?Page=%d", PAGE);
    fleet->list_out = true;
    call(fleet, "GET", path, NULL, list_answered, call_new(fleet));
    g_free(path);
}

/* ---- renting ---- */

void fleet_rent(struct fleet *fleet, const char *type_name, const char *zone, bool spot, int number)
{
    struct charter *charter = g_new0(struct charter, 1);
    /* Names never repeat: the incarnation is a lease of the state service, which no other process
     * ever has. */
    charter->name =
        g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, fleet->settings->label,
                        membership_incarnation(fleet->members).v, ++fleet->counter);
    g_strlcpy(charter->type_name, type_name, sizeof charter->type_name);
    g_strlcpy(charter->zone, zone, sizeof charter->zone);
    charter->spot = spot;
    charter->number = number;
    g_queue_push_tail(&fleet->charters, charter);
}

void fleet_forget_unsent(struct fleet *fleet)
{
    for (GList *l = fleet->charters.head, *next; l; l = next) {
        struct charter *charter = l->data;
        next = l->next;
        if (!charter->sent) {
            g_queue_delete_link(&fleet->charters, l);
            drop_charter(charter);
        }
    }
}

static void refuse(struct fleet *fleet, struct charter *charter)
{
    mono_time until = time_add_ms(loop_now(fleet->loop), REFUSED_MS);
    g_hash_table_replace(fleet->refused,
                         offer_key(charter->type_name, charter->zone, charter->spot),
                         g_memdup2(&until, sizeof until));
}

static void rent_answered(void *arg, const struct net_answer *answer)
{
    struct call *call = arg;
    struct fleet *fleet = call->fleet;
    struct charter *charter = call->charter;
    bool mine = call->generation == fleet->generation;
    g_free(call);
    if (!mine)
        return; /* its machines show up in the list */
    charter->out = false;
    json_object *object = answer->status > 0 ? json_read(answer->body, answer->len) : NULL;
    GArray *ids = answer->status == 200 ? codec_rented_read(object) : NULL;
    const char *error = "";
    json_text(object, "error", &error);
    bool no_capacity = answer->status == 503 && strcmp(error, "no capacity") == 0;
    if (ids) {
        for (guint i = 0; i < ids->len; i++)
            machine_make(fleet, g_array_index(ids, host_id, i), charter->type_name, charter->zone,
                         charter->spot);
        LOG_INFO("rented", "request=%s number=%u of=%d", charter->name, ids->len, charter->number);
        if ((int)ids->len < charter->number)
            refuse(fleet, charter);
        g_array_unref(ids);
    }
    if (no_capacity) {
        LOG_INFO("rent_refused", "request=%s", charter->name);
        refuse(fleet, charter);
    }
    if (answer->status == 200 || answer->status == 400 || no_capacity) {
        g_queue_remove(&fleet->charters, charter);
        drop_charter(charter);
    } else {
        charter->not_before = time_add_ms(loop_now(fleet->loop), RETRY_MS);
    }
    json_object_put(object);
    tell(fleet);
}

static struct charter *charter_due(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    for (GList *l = fleet->charters.head; l; l = l->next) {
        struct charter *charter = l->data;
        if (!charter->out && !time_before(now, charter->not_before))
            return charter;
    }
    return NULL;
}

static void rent_go(struct fleet *fleet, struct charter *charter)
{
    char *body = codec_rent_write(charter->name, charter->type_name, charter->zone, charter->spot,
                                  charter->number);
    struct call *k = call_new(fleet);
    k->charter = charter;
    charter->out = charter->sent = true;
    LOG_INFO("rent", "type=%s zone=%s spot=%d number=%d request=%s", charter->type_name,
             charter->zone, charter->spot, charter->number, charter->name);
    call(fleet, "POST", "/rentals", body, rent_answered, k);
    g_free(body);
}

/* ---- returning ---- */

void fleet_return(struct fleet *fleet, host_id id, const char *why)
{
    if (fleet_gone(fleet, id.s) ||
        g_ptr_array_find_with_equal_func(fleet->to_return, id.s, g_str_equal, NULL))
        return;
    LOG_INFO("return", "machine=%s why=%s", id.s, why);
    struct fleet_machine *machine = g_hash_table_lookup(fleet->machines, id.s);
    if (machine)
        machine->returning = true;
    g_ptr_array_add(fleet->to_return, g_strdup(id.s));
}

static void return_answered(void *arg, const struct net_answer *answer)
{
    struct call *call = arg;
    struct fleet *fleet = call->fleet;
    bool mine = call->generation == fleet->generation;
    if (answer->status == 200) {
        for (guint i = 0; i < call->ids->len; i++) {
            const char *id = call->ids->pdata[i];
            struct fleet_machine *machine = mine ? g_hash_table_lookup(fleet->machines, id) : NULL;
            g_hash_table_add(fleet->gone, g_strdup(id));
            if (!machine)
                continue;
            /* There is room for another of its kind. */
            char *key = offer_key(machine->type_name, machine->zone, machine->spot);
            g_hash_table_remove(fleet->refused, key);
            g_free(key);
            g_hash_table_remove(fleet->machines, id);
        }
    }
    if (mine) {
        fleet->return_out = false;
        fleet->return_not_before =
            time_add_ms(loop_now(fleet->loop), answer->status == 200 ? 0 : RETRY_MS);
        for (guint i = 0; answer->status == 200 && i < call->ids->len; i++) {
            guint at;
            if (g_ptr_array_find_with_equal_func(fleet->to_return, call->ids->pdata[i], g_str_equal,
                                                 &at))
                g_ptr_array_remove_index(fleet->to_return, at);
        }
        tell(fleet);
    }
    g_ptr_array_unref(call->ids);
    g_free(call);
}

static void return_go(struct fleet *fleet)
{
    struct call *c = call_new(fleet);
    c->ids = g_ptr_array_new_with_free_func(g_free);
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(host_id));
    for (guint i = 0; i < fleet->to_return->len && i < MOST_RETURNED; i++) {
        host_id id;
        host_id_from(&id, fleet->to_return->pdata[i]);
        g_array_append_val(hosts, id);
        g_ptr_array_add(c->ids, g_strdup(id.s));
    }
    char *body = codec_return_write((host_id *)hosts->data, hosts->len);
    g_array_unref(hosts);
    fleet->return_out = true;
    call(fleet, "POST", "/rentals/return", body, return_answered, c);
    g_free(body);
}

void fleet_step(struct fleet *fleet)
{
    if (!membership_leads(fleet->members))
        return;
    mono_time now = loop_now(fleet->loop);
    struct charter *charter;
    if (fleet->to_return->len && !fleet->return_out &&
        !time_before(now, fleet->return_not_before) && may_call(fleet))
        return_go(fleet);
    store_types(fleet);
    bool types_due = !fleet->types_at.us || time_ms_since(now, fleet->types_at) > TYPES_MS;
    if (!fleet->types && types_due && !fleet->types_out && may_call(fleet))
        types_go(fleet);
    if (!fleet->listed && !fleet->list_out && may_call(fleet))
        list_go(fleet);
    while ((charter = charter_due(fleet)) && may_call(fleet))
        rent_go(fleet, charter);
    int64_t every = (int64_t)(MAX(fleet->settings->cloud_list_lag_s, 4) * 1000);
    if (!fleet->list_out && (fleet->list_seen || time_ms_since(now, fleet->list_at) > every) &&
        may_call(fleet))
        list_go(fleet);
    if (types_due && !fleet->types_out && may_call(fleet))
        types_go(fleet);
    if (fleet->types)
        store_types(fleet);
}
