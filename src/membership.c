#include "membership.h"

#include "log.h"

#include <stdlib.h>

enum {
    TTL_MS = 4000,
    RENEW_MS = 1000,
    RETRY_MS = 300,
    TICK_MS = 200,
    ELECT_STEP_MS = 30,
};

struct excluded {
    char *label;
    mono_time until;
};

struct membership {
    struct actor actor;
    struct loop *loop;
    struct store *store;
    struct view *view;
    const struct settings *settings;
    lease_id lease;      /* 0: none */
    mono_time lease_end; /* it surely holds until then */
    mono_time renew_sent;
    bool lease_out, joined, join_out, write_out;
    revision stamp; /* of this node's key */
    struct timer tick, renew;
    mono_time vacant_since; /* no leader */
    bool vacant, raise;
    GArray *excluded;
};

static void consider(struct membership *m);
static void renew(void *arg);

static void tick(void *arg)
{
    struct membership *m = arg;
    timer_start(m->loop, &m->tick, TICK_MS);
    consider(m);
}

static void receive(struct actor *self, const struct message *msg)
{
    if (msg->kind == MSG_VIEW)
        consider((struct membership *)self);
}

static void clear_excluded(gpointer p)
{
    g_free(((struct excluded *)p)->label);
}

struct membership *membership_new(struct loop *loop, struct store *store, struct view *view,
                                  const struct settings *settings)
{
    struct membership *m = g_new0(struct membership, 1);
    m->actor = (struct actor){"membership", receive};
    m->loop = loop;
    m->store = store;
    m->view = view;
    m->settings = settings;
    m->excluded = g_array_new(FALSE, FALSE, sizeof(struct excluded));
    g_array_set_clear_func(m->excluded, clear_excluded);
    timer_init(&m->tick, tick, m);
    timer_init(&m->renew, renew, m);
    view_listen(view, &m->actor);
    return m;
}

void membership_free(struct membership *m)
{
    timer_stop(m->loop, &m->tick);
    timer_stop(m->loop, &m->renew);
    g_array_unref(m->excluded);
    g_free(m);
}

void membership_start(struct membership *m)
{
    tick(m);
}

bool membership_valid(const struct membership *m)
{
    return m->joined && time_before(loop_now(m->loop), m->lease_end);
}

bool membership_seen(const struct membership *m)
{
    const struct node_record *n = g_hash_table_lookup(m->view->nodes, m->settings->label);
    return m->joined && n && n->stamp.v == m->stamp.v;
}

bool membership_holds_lead(const struct membership *m)
{
    const struct view *v = m->view;
    return m->lease.v && v->leader && strcmp(v->leader, m->settings->label) == 0 &&
           v->leader_incarnation.v == m->lease.v;
}

bool membership_leads(const struct membership *m)
{
    return membership_valid(m) && membership_holds_lead(m);
}

revision membership_stamp(const struct membership *m)
{
    return m->stamp;
}

lease_id membership_incarnation(const struct membership *m)
{
    return m->lease;
}

void membership_raise(struct membership *m, const char *why)
{
    if (!m->raise)
        LOG_INFO("epoch_raise", "why=%s", why);
    m->raise = true;
    consider(m);
}

void membership_exclude(struct membership *m, const char *label, int64_t ms)
{
    struct excluded x = {g_strdup(label), time_add_ms(loop_now(m->loop), ms)};
    g_array_append_val(m->excluded, x);
    LOG_INFO("node_excluded", "other=%s ms=%" G_GINT64_FORMAT, label, ms);
    consider(m);
}

static bool is_excluded(struct membership *m, const char *label)
{
    for (guint i = 0; i < m->excluded->len; i++)
        if (strcmp(g_array_index(m->excluded, struct excluded, i).label, label) == 0)
            return true;
    return false;
}

/* ---- the lease ---- */

static void lost(struct membership *m, const char *why)
{
    LOG_INFO("lease_lost", "lease=%" G_GUINT64_FORMAT " why=%s", m->lease.v, why);
    m->lease.v = 0;
    m->joined = false;
    m->lease_end = (mono_time){0};
    timer_stop(m->loop, &m->renew);
}

/* The lease is counted from when the request was sent, on a clock that may be slow. */
static void lease_holds(struct membership *m)
{
    m->lease_end = time_add_ms(m->renew_sent, TTL_MS - TTL_MS / 1000 - 1);
}

static void granted(void *arg, const struct net_answer *a)
{
    struct membership *m = arg;
    m->lease_out = false;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    if (json_u64(o, "Mooring", &m->lease.v)) {
        lease_holds(m);
        timer_start(m->loop, &m->renew, RENEW_MS);
    }
    json_object_put(o);
    consider(m);
}

static void renewed(void *arg, const struct net_answer *a)
{
    struct membership *m = arg;
    m->lease_out = false;
    if (!m->lease.v)
        return;
    if (a->status == 404) {
        lost(m, "ended");
        consider(m);
        return;
    }
    if (a->status == 200)
        lease_holds(m);
    timer_start(m->loop, &m->renew, a->status == 200 ? RENEW_MS : RETRY_MS);
}

static void renew(void *arg)
{
    struct membership *m = arg;
    if (m->lease_out || !m->lease.v)
        return;
    char *path = g_strdup_printf("/grants/%" G_GUINT64_FORMAT "/renew", m->lease.v);
    m->lease_out = true;
    m->renew_sent = loop_now(m->loop);
    store_request(m->store, LANE_LEASE, "POST", path, "{}", 1000, 1000, 0, renewed, m);
    g_free(path);
}

static void ask_lease(struct membership *m)
{
    char body[32];
    g_snprintf(body, sizeof body, "{\"TtlMs\":%d}", TTL_MS);
    m->lease_out = true;
    m->renew_sent = loop_now(m->loop);
    store_request(m->store, LANE_LEASE, "POST", "/grants", body, 1500, 1500, 0, granted, m);
}

/* ---- joining ---- */

static void join_seen(void *arg, bool ok)
{
    struct membership *m = arg;
    m->join_out = false;
    struct node_record *n = g_hash_table_lookup(m->view->nodes, m->settings->label);
    if (ok && m->lease.v && n && n->incarnation.v == m->lease.v) {
        m->joined = true;
        m->stamp = n->stamp;
        LOG_INFO("joined", "incarnation=%" G_GUINT64_FORMAT, m->lease.v);
    }
    consider(m);
}

static void join_answered(void *arg, const struct txn_outcome *o)
{
    struct membership *m = arg;
    if (o->result == TXN_NO_LEASE && m->lease.v)
        lost(m, "refused");
    if (o->result == TXN_DONE || o->result == TXN_CONFLICT)
        view_await(m->view, o->at, join_seen, m);
    else
        view_barrier(m->view, join_seen, m);
}

static json_object *self_value(struct membership *m)
{
    json_object *o = json_object_new_object();
    json_put_u64(o, "i", m->lease.v);
    json_put_text(o, "b", m->settings->back_addr);
    json_put_u64(o, "v", NODE_VERSION);
    return o;
}

static guint spoken_by(const struct view *v, const char *label)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(v->spoken, label));
}

static bool understands(const struct membership *m, const char *label)
{
    const struct node_record *n = g_hash_table_lookup(m->view->nodes, label);
    return spoken_by(m->view, label) >= NODE_VERSION && (!n || n->version >= NODE_VERSION);
}

bool membership_all_understand(const struct membership *m)
{
    bool all = understands(m, m->settings->label);
    for (guint i = 0; i < m->settings->siblings->len; i++)
        all = all && understands(m, g_array_index(m->settings->siblings, struct sibling, i).label);
    return all;
}

/* An earlier process of this label is dead, so its leadership is given up with its key: nobody has
 * to wait for its lease to end. */
static void join(struct membership *m)
{
    struct view *v = m->view;
    char *key = key_node(m->settings->label);
    struct node_record *old = g_hash_table_lookup(v->nodes, m->settings->label);
    struct txn *t = txn_new();
    txn_when(t, key, old ? old->stamp : (revision){0});
    txn_set(t, key, self_value(m), m->lease);
    if (v->leader && strcmp(v->leader, m->settings->label) == 0) {
        txn_when(t, KEY_LEADER, v->leader_stamp);
        txn_remove(t, KEY_LEADER);
    }
    /* It stays when this process ends: its successors understand as much. */
    if (spoken_by(v, m->settings->label) < NODE_VERSION) {
        char *version = key_version(m->settings->label);
        json_object *o = json_object_new_object();
        json_put_u64(o, "v", NODE_VERSION);
        txn_set(t, version, o, (lease_id){0});
        g_free(version);
    }
    m->join_out = true;
    store_txn(m->store, LANE_LEASE, t, join_answered, m);
    g_free(key);
}

/* ---- leader and map ---- */

static json_object *map_value(struct membership *m)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(o, "e", m->view->epoch.v + 1);
    GList *labels = g_list_sort(g_hash_table_get_keys(m->view->nodes), (GCompareFunc)strcmp);
    for (GList *l = labels; l; l = l->next) {
        struct node_record *n = g_hash_table_lookup(m->view->nodes, l->data);
        if (is_excluded(m, n->label) && strcmp(n->label, m->settings->label) != 0)
            continue;
        json_object *x = json_object_new_object();
        json_put_text(x, "n", n->label);
        json_put_u64(x, "i", n->incarnation.v);
        json_object_array_add(list, x);
    }
    g_list_free(labels);
    json_object_object_add(o, "n", list);
    return o;
}

static bool map_stale(struct membership *m)
{
    guint want = 0;
    GHashTableIter it;
    struct node_record *n;
    g_hash_table_iter_init(&it, m->view->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&n)) {
        bool out = is_excluded(m, n->label) && strcmp(n->label, m->settings->label) != 0;
        if (!out && !map_names(m->view, n->label, n->incarnation))
            return true;
        want += !out;
    }
    return want != m->view->map->len;
}

static void write_seen(void *arg, bool ok)
{
    struct membership *m = arg;
    (void)ok;
    m->write_out = false;
    consider(m);
}

static void write_answered(void *arg, const struct txn_outcome *o)
{
    struct membership *m = arg;
    if (o->result == TXN_NO_LEASE && m->lease.v)
        lost(m, "refused");
    if (o->result == TXN_DONE)
        m->raise = false;
    if (o->result == TXN_DONE || o->result == TXN_CONFLICT)
        view_await(m->view, o->at, write_seen, m);
    else
        view_barrier(m->view, write_seen, m);
}

/* Taking the lead and raising the epoch are one transaction: there is no leader whose epoch an
 * earlier one has dealt under. */
static void write_map(struct membership *m, bool elect)
{
    char *key = key_node(m->settings->label);
    struct txn *t = txn_new();
    txn_when(t, key, m->stamp);
    txn_when(t, KEY_LEADER, elect ? (revision){0} : m->view->leader_stamp);
    txn_when(t, KEY_MAP, m->view->map_stamp);
    if (elect) {
        json_object *o = json_object_new_object();
        json_put_text(o, "n", m->settings->label);
        json_put_u64(o, "i", m->lease.v);
        txn_set(t, KEY_LEADER, o, m->lease);
    }
    txn_set(t, KEY_MAP, map_value(m), (lease_id){0});
    m->write_out = true;
    store_txn(m->store, LANE_LEASE, t, write_answered, m);
    g_free(key);
}

/* Nodes stand for election one after the other, so that the first one mostly has it alone. */
static int64_t election_delay(struct membership *m)
{
    int before = 0;
    GHashTableIter it;
    char *label;
    g_hash_table_iter_init(&it, m->view->nodes);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, NULL))
        before += strcmp(label, m->settings->label) < 0;
    return before * ELECT_STEP_MS;
}

static void forgive(struct membership *m)
{
    mono_time now = loop_now(m->loop);
    for (guint i = 0; i < m->excluded->len;)
        if (time_before(g_array_index(m->excluded, struct excluded, i).until, now))
            g_array_remove_index_fast(m->excluded, i);
        else
            i++;
}

static void consider(struct membership *m)
{
    struct view *v = m->view;
    mono_time now = loop_now(m->loop);
    if (!m->lease.v) {
        if (!m->lease_out)
            ask_lease(m);
        return;
    }
    if (!v->ready || m->join_out || !time_before(now, m->lease_end))
        return;
    struct node_record *self = g_hash_table_lookup(v->nodes, m->settings->label);
    if (m->joined && (!self || self->stamp.v != m->stamp.v)) {
        /* Another process has taken this label, or the lease ended unnoticed. */
        lost(m, "key gone");
        return;
    }
    if (!m->joined) {
        join(m);
        return;
    }
    forgive(m);
    if (m->write_out)
        return;
    if (v->leader) {
        m->vacant = false;
        if (membership_leads(m) && (m->raise || map_stale(m)))
            write_map(m, false);
        return;
    }
    if (!m->vacant) {
        m->vacant = true;
        m->vacant_since = now;
    }
    if (time_ms_since(now, m->vacant_since) >= election_delay(m))
        write_map(m, true);
}

/* ---- the map ---- */

static uint64_t mix(uint64_t h, const char *s)
{
    for (; *s; s++)
        h = (h ^ (uint8_t)*s) * 0x100000001b3ULL;
    return h;
}

static uint64_t weight(const char *label, const char *host)
{
    uint64_t h = mix(mix(0xcbf29ce484222325ULL, host) ^ 0x9e3779b97f4a7c15ULL, label);
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    h *= 0xc4ceb9fe1a85ec53ULL;
    return h ^ h >> 33;
}

const char *map_owner(const struct view *v, const char *host)
{
    const char *best = NULL;
    uint64_t most = 0;
    for (guint i = 0; i < v->map->len; i++) {
        const char *label = g_array_index(v->map, struct map_entry, i).label;
        uint64_t w = weight(label, host);
        if (!best || w > most) {
            best = label;
            most = w;
        }
    }
    return best;
}

bool map_names(const struct view *v, const char *label, lease_id incarnation)
{
    for (guint i = 0; i < v->map->len; i++) {
        const struct map_entry *e = &g_array_index(v->map, struct map_entry, i);
        if (strcmp(e->label, label) == 0 && e->incarnation.v == incarnation.v)
            return true;
    }
    return false;
}
