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
    char build[48], yard[48];
    bool loaners, out;
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

static void drop_charter(struct charter *c)
{
    g_free(c->name);
    g_free(c);
}

struct fleet *fleet_new(const struct node *n, struct actor *listener)
{
    struct fleet *f = g_new0(struct fleet, 1);
    f->loop = n->loop;
    f->net = n->net;
    f->store = n->store;
    f->view = n->view;
    f->members = n->members;
    f->settings = n->settings;
    f->listener = listener;
    f->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    f->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->to_return = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&f->charters);
    f->level = f->settings->cloud_rps;
    f->level_at = loop_now(f->loop);
    return f;
}

void fleet_reset(struct fleet *f)
{
    f->generation++;
    g_hash_table_remove_all(f->machines);
    g_hash_table_remove_all(f->refused);
    while (f->charters.head)
        drop_charter(g_queue_pop_head(&f->charters));
    g_ptr_array_set_size(f->to_return, 0);
    f->types_at = (mono_time){0};
    f->list_at = (mono_time){0};
    f->listed = f->list_out = f->types_out = f->return_out = false;
    g_clear_pointer(&f->list_from, g_free);
    g_clear_pointer(&f->list_seen, g_hash_table_unref);
}

void fleet_free(struct fleet *f)
{
    fleet_reset(f);
    if (f->types)
        g_array_unref(f->types);
    g_hash_table_unref(f->machines);
    g_hash_table_unref(f->gone);
    g_hash_table_unref(f->refused);
    g_ptr_array_unref(f->to_return);
    g_free(f);
}

bool fleet_listed(const struct fleet *f)
{
    return f->listed;
}

GHashTable *fleet_machines(struct fleet *f)
{
    return f->machines;
}

const GArray *fleet_types(const struct fleet *f)
{
    return f->types;
}

bool fleet_gone(const struct fleet *f, const char *id)
{
    return g_hash_table_contains(f->gone, id);
}

static char *offer_key(const char *build, const char *yard, bool loaners)
{
    return g_strdup_printf("%s %s %d", build, yard, loaners);
}

bool fleet_refused(struct fleet *f, const char *build, const char *yard, bool loaners)
{
    char *key = offer_key(build, yard, loaners);
    mono_time *until = g_hash_table_lookup(f->refused, key);
    g_free(key);
    return until && time_before(loop_now(f->loop), *until);
}

int fleet_requested(struct fleet *f, const char *build, const char *yard, bool loaners)
{
    int n = 0;
    for (GList *l = f->charters.head; l; l = l->next) {
        struct charter *c = l->data;
        if (c->loaners == loaners && strcmp(c->build, build) == 0 && strcmp(c->yard, yard) == 0)
            n += c->number;
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

static bool may_call(struct fleet *f)
{
    mono_time now = loop_now(f->loop);
    double rate = f->settings->cloud_rps * 0.9;
    f->level = MIN(f->settings->cloud_rps * 1.5 + 0.5,
                   f->level + rate * (double)(now.us - f->level_at.us) / 1e6);
    f->level_at = now;
    return f->level >= 1;
}

static void call(struct fleet *f, const char *method, const char *path, const char *body,
                 net_done done, struct call *c)
{
    f->level -= 1;
    struct net_request q = {f->settings->cloud_addr, method,         path, body,
                            body ? strlen(body) : 0, CALL_TIMEOUT_MS};
    f->net->request(f->net, &q, done, c);
}

static struct call *call_new(struct fleet *f)
{
    struct call *c = g_new0(struct call, 1);
    c->fleet = f;
    c->generation = f->generation;
    return c;
}

static void tell(struct fleet *f)
{
    actor_send(f->loop, f->listener, MSG_FLEET, NULL, NULL);
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
            !g_strv_equal((const char *const *)x->yards, (const char *const *)y->yards))
            return false;
    }
    return true;
}

static void types_stored(void *arg, const struct txn_outcome *o)
{
    struct fleet *f = arg;
    f->types_written = o->result == TXN_DONE;
}

/* So many of the types, from one on, as one value takes. */
static GArray *types_part(struct fleet *f, guint from)
{
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize most = store_limits(f->store)->value_bytes - VALUE_BYTES;
    for (guint i = from; i < f->types->len; i++) {
        g_array_append_val(part, g_array_index(f->types, struct machine_type, i));
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
static void store_types(struct fleet *f)
{
    mono_time now = loop_now(f->loop);
    if (!f->types || f->types_written || same_types(f->view->types, f->types) ||
        !membership_leads(f->members) || time_ms_since(now, f->store_at) < STORE_EVERY_MS)
        return;
    f->store_at = now;
    struct txn *t = txn_new();
    txn_when(t, KEY_LEADER, f->view->leader_stamp);
    json_object *first = NULL;
    guint parts = 0, at = 0;
    do {
        GArray *part = types_part(f, at);
        json_object *value = codec_types_write(part);
        at += part->len;
        char *key = g_strdup_printf(KEY_TYPES "/%u", parts);
        if (!parts++)
            first = value;
        else
            txn_set(t, key, value, (lease_id){0});
        g_free(key);
        if (!part->len)
            at = f->types->len + 1; /* one that no value takes */
        g_array_unref(part);
    } while (at < f->types->len);
    if (parts > 1)
        json_put_u64(first, "more", parts - 1);
    txn_set(t, KEY_TYPES, first, (lease_id){0});
    if (at > f->types->len || (int)parts > store_limits(f->store)->txn_ops ||
        (parts > 1 && !membership_all_understand(f->members))) {
        LOG_INFO("types_not_stored", "types=%u parts=%u", f->types->len, parts);
        txn_free(t);
        return;
    }
    f->types_written = true;
    store_txn(f->store, LANE_NORMAL, t, types_stored, f);
}

static void types_answered(void *arg, const struct net_answer *a)
{
    struct call *c = arg;
    struct fleet *f = c->fleet;
    bool mine = c->generation == f->generation;
    g_free(c);
    if (!mine)
        return;
    f->types_out = false;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    GArray *types = codec_types_read(o);
    json_object_put(o);
    f->types_at = loop_now(f->loop);
    if (!types) {
        f->types_at.us -= (TYPES_MS - 1000) * 1000LL;
        return;
    }
    if (f->types)
        g_array_unref(f->types);
    f->types = types;
    f->types_written = false;
    store_types(f);
    tell(f);
}

static void types_go(struct fleet *f)
{
    f->types_out = true;
    call(f, "GET", "/machine_types", NULL, types_answered, call_new(f));
}

/* ---- the list ---- */

static struct fleet_machine *machine_make(struct fleet *f, host_id id, const char *build,
                                          const char *yard, bool loaners)
{
    struct fleet_machine *m = g_new0(struct fleet_machine, 1);
    m->id = id;
    g_strlcpy(m->build, build, sizeof m->build);
    g_strlcpy(m->yard, yard, sizeof m->yard);
    m->loaners = loaners;
    m->stage = RENTAL_BOOTING;
    m->rented = loop_now(f->loop);
    g_hash_table_replace(f->machines, m->id.s, m);
    return m;
}

static void list_end(struct fleet *f)
{
    /* New machines are missing from the list for a while, and it may be older than the last one:
     * only what was rented long ago and is not listed is gone. */
    double lag = f->settings->cloud_list_lag_s * 2 + 5;
    GHashTableIter it;
    struct fleet_machine *m;
    mono_time now = loop_now(f->loop);
    g_hash_table_iter_init(&it, f->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&m))
        if (!g_hash_table_contains(f->list_seen, m->id.s) &&
            time_ms_since(now, m->rented) > (int64_t)(lag * 1000))
            g_hash_table_iter_remove(&it);
    /* What was returned long ago is not listed any more, and need not be remembered for ever. */
    char *id;
    g_hash_table_iter_init(&it, f->gone);
    while (g_hash_table_size(f->gone) > MOST_GONE &&
           g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
        if (!g_hash_table_contains(f->list_seen, id))
            g_hash_table_iter_remove(&it);
    g_clear_pointer(&f->list_from, g_free);
    g_clear_pointer(&f->list_seen, g_hash_table_unref);
    f->list_at = now;
    f->listed = true;
    tell(f);
}

static void list_answered(void *arg, const struct net_answer *a)
{
    struct call *c = arg;
    struct fleet *f = c->fleet;
    bool mine = c->generation == f->generation, more = false;
    g_free(c);
    if (!mine)
        return;
    f->list_out = false;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    GArray *list = codec_rentals_read(o, &more);
    json_object_put(o);
    if (!list) {
        f->list_at = loop_now(f->loop);
        f->list_at.us -= (int64_t)((f->settings->cloud_list_lag_s - 1) * 1e6);
        return;
    }
    for (guint i = 0; i < list->len; i++) {
        struct rental *r = &g_array_index(list, struct rental, i);
        g_hash_table_add(f->list_seen, g_strdup(r->id.s));
        if (fleet_gone(f, r->id.s))
            continue;
        struct fleet_machine *m = g_hash_table_lookup(f->machines, r->id.s);
        if (!m) {
            m = machine_make(f, r->id, r->build, r->yard, r->loaners);
            m->rented = time_add_ms(f->list_asked, -(int64_t)(r->held_s * 1000));
        }
        m->stage = r->stage;
    }
    if (more && list->len) {
        g_free(f->list_from);
        f->list_from = g_strdup(g_array_index(list, struct rental, list->len - 1).id.s);
    } else {
        list_end(f);
    }
    g_array_unref(list);
}

static void list_go(struct fleet *f)
{
    if (!f->list_seen) {
        f->list_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        f->list_asked = loop_now(f->loop);
    }
    char *path = f->list_from ? g_strdup_printf("/rentals?From=%s&Page=%d", f->list_from, PAGE)
                              : g_strdup_printf("/rentals?Page=%d", PAGE);
    f->list_out = true;
    call(f, "GET", path, NULL, list_answered, call_new(f));
    g_free(path);
}

/* ---- renting ---- */

void fleet_rent(struct fleet *f, const char *build, const char *yard, bool loaners, int number)
{
    struct charter *c = g_new0(struct charter, 1);
    /* Names never repeat: the incarnation is a lease of the state service, which no other process
     * ever has. */
    c->name = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, f->settings->label,
                              membership_incarnation(f->members).v, ++f->counter);
    g_strlcpy(c->build, build, sizeof c->build);
    g_strlcpy(c->yard, yard, sizeof c->yard);
    c->loaners = loaners;
    c->number = number;
    g_queue_push_tail(&f->charters, c);
}

void fleet_forget_unsent(struct fleet *f)
{
    for (GList *l = f->charters.head, *next; l; l = next) {
        struct charter *c = l->data;
        next = l->next;
        if (!c->sent) {
            g_queue_delete_link(&f->charters, l);
            drop_charter(c);
        }
    }
}

static void refuse(struct fleet *f, struct charter *c)
{
    mono_time until = time_add_ms(loop_now(f->loop), REFUSED_MS);
    g_hash_table_replace(f->refused, offer_key(c->build, c->yard, c->loaners),
                         g_memdup2(&until, sizeof until));
}

static void rent_answered(void *arg, const struct net_answer *a)
{
    struct call *k = arg;
    struct fleet *f = k->fleet;
    struct charter *c = k->charter;
    bool mine = k->generation == f->generation;
    g_free(k);
    if (!mine)
        return; /* its machines show up in the list */
    c->out = false;
    json_object *o = a->status > 0 ? json_read(a->body, a->len) : NULL;
    GArray *ids = a->status == 200 ? codec_rented_read(o) : NULL;
    const char *error = "";
    json_text(o, "error", &error);
    bool no_capacity = a->status == 503 && strcmp(error, "no capacity") == 0;
    if (ids) {
        for (guint i = 0; i < ids->len; i++)
            machine_make(f, g_array_index(ids, host_id, i), c->build, c->yard, c->loaners);
        LOG_INFO("rented", "request=%s number=%u of=%d", c->name, ids->len, c->number);
        if ((int)ids->len < c->number)
            refuse(f, c);
        g_array_unref(ids);
    }
    if (no_capacity) {
        LOG_INFO("rent_refused", "request=%s", c->name);
        refuse(f, c);
    }
    if (a->status == 200 || a->status == 400 || no_capacity) {
        g_queue_remove(&f->charters, c);
        drop_charter(c);
    } else {
        c->not_before = time_add_ms(loop_now(f->loop), RETRY_MS);
    }
    json_object_put(o);
    tell(f);
}

static struct charter *charter_due(struct fleet *f)
{
    mono_time now = loop_now(f->loop);
    for (GList *l = f->charters.head; l; l = l->next) {
        struct charter *c = l->data;
        if (!c->out && !time_before(now, c->not_before))
            return c;
    }
    return NULL;
}

static void rent_go(struct fleet *f, struct charter *c)
{
    char *body = codec_rent_write(c->name, c->build, c->yard, c->loaners, c->number);
    struct call *k = call_new(f);
    k->charter = c;
    c->out = c->sent = true;
    LOG_INFO("rent", "type=%s zone=%s spot=%d number=%d request=%s", c->build, c->yard, c->loaners,
             c->number, c->name);
    call(f, "POST", "/rentals", body, rent_answered, k);
    g_free(body);
}

/* ---- returning ---- */

void fleet_return(struct fleet *f, host_id id, const char *why)
{
    if (fleet_gone(f, id.s) ||
        g_ptr_array_find_with_equal_func(f->to_return, id.s, g_str_equal, NULL))
        return;
    LOG_INFO("return", "machine=%s why=%s", id.s, why);
    struct fleet_machine *m = g_hash_table_lookup(f->machines, id.s);
    if (m)
        m->returning = true;
    g_ptr_array_add(f->to_return, g_strdup(id.s));
}

static void return_answered(void *arg, const struct net_answer *a)
{
    struct call *c = arg;
    struct fleet *f = c->fleet;
    bool mine = c->generation == f->generation;
    if (a->status == 200) {
        for (guint i = 0; i < c->ids->len; i++) {
            const char *id = c->ids->pdata[i];
            struct fleet_machine *m = mine ? g_hash_table_lookup(f->machines, id) : NULL;
            g_hash_table_add(f->gone, g_strdup(id));
            if (!m)
                continue;
            /* There is room for another of its kind. */
            char *key = offer_key(m->build, m->yard, m->loaners);
            g_hash_table_remove(f->refused, key);
            g_free(key);
            g_hash_table_remove(f->machines, id);
        }
    }
    if (mine) {
        f->return_out = false;
        f->return_not_before = time_add_ms(loop_now(f->loop), a->status == 200 ? 0 : RETRY_MS);
        for (guint i = 0; a->status == 200 && i < c->ids->len; i++) {
            guint at;
            if (g_ptr_array_find_with_equal_func(f->to_return, c->ids->pdata[i], g_str_equal, &at))
                g_ptr_array_remove_index(f->to_return, at);
        }
        tell(f);
    }
    g_ptr_array_unref(c->ids);
    g_free(c);
}

static void return_go(struct fleet *f)
{
    struct call *c = call_new(f);
    c->ids = g_ptr_array_new_with_free_func(g_free);
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(host_id));
    for (guint i = 0; i < f->to_return->len && i < MOST_RETURNED; i++) {
        host_id id;
        host_id_from(&id, f->to_return->pdata[i]);
        g_array_append_val(hosts, id);
        g_ptr_array_add(c->ids, g_strdup(id.s));
    }
    char *body = codec_return_write((host_id *)hosts->data, hosts->len);
    g_array_unref(hosts);
    f->return_out = true;
    call(f, "POST", "/rentals/return", body, return_answered, c);
    g_free(body);
}

void fleet_step(struct fleet *f)
{
    if (!membership_leads(f->members))
        return;
    mono_time now = loop_now(f->loop);
    struct charter *c;
    if (f->to_return->len && !f->return_out && !time_before(now, f->return_not_before) &&
        may_call(f))
        return_go(f);
    store_types(f);
    bool types_due = !f->types_at.us || time_ms_since(now, f->types_at) > TYPES_MS;
    if (!f->types && types_due && !f->types_out && may_call(f))
        types_go(f);
    if (!f->listed && !f->list_out && may_call(f))
        list_go(f);
    while ((c = charter_due(f)) && may_call(f))
        rent_go(f, c);
    int64_t every = (int64_t)(MAX(f->settings->cloud_list_lag_s, 4) * 1000);
    if (!f->list_out && (f->list_seen || time_ms_since(now, f->list_at) > every) && may_call(f))
        list_go(f);
    if (types_due && !f->types_out && may_call(f))
        types_go(f);
    if (f->types)
        store_types(f);
}
