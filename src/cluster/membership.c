#include "membership.h"

#include "kv_codec.h"
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

/* Whether all nodes understood a version when their changes were counted so. */
struct understood {
    uint64_t changes;
    bool all;
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
    bool wants_duties;
    struct understood understood[NODE_VERSION + 1];
    revision stamp; /* of this node's key */
    struct timer tick, renew;
    mono_time vacant_since; /* no leader */
    bool vacant, raise;
    GArray *excluded;
};

static void consider(struct membership *membership);
static void renew(void *arg);

static void tick(void *arg)
{
    struct membership *membership = arg;
    timer_start(membership->loop, &membership->tick, TICK_MS);
    consider(membership);
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
                                  const struct settings *settings, bool wants_duties)
{
    struct membership *membership = g_new0(struct membership, 1);
    membership->actor = (struct actor){"membership", receive};
    membership->loop = loop;
    membership->store = store;
    membership->view = view;
    membership->settings = settings;
    membership->wants_duties = wants_duties;
    membership->excluded = g_array_new(FALSE, FALSE, sizeof(struct excluded));
    g_array_set_clear_func(membership->excluded, clear_excluded);
    timer_init(&membership->tick, tick, membership);
    timer_init(&membership->renew, renew, membership);
    view_listen(view, &membership->actor);
    return membership;
}

void membership_free(struct membership *membership)
{
    timer_stop(membership->loop, &membership->tick);
    timer_stop(membership->loop, &membership->renew);
    g_array_unref(membership->excluded);
    g_free(membership);
}

void membership_start(struct membership *membership)
{
    tick(membership);
}

bool membership_valid(const struct membership *membership)
{
    return membership->joined && time_before(loop_now(membership->loop), membership->lease_end);
}

bool membership_seen(const struct membership *membership)
{
    const struct node_record *node_record =
        g_hash_table_lookup(membership->view->nodes, membership->settings->label);
    return membership->joined && node_record && node_record->stamp.v == membership->stamp.v;
}

bool membership_holds_lead(const struct membership *membership)
{
    const struct view *view = membership->view;
    return membership->lease.v && view->leader &&
           strcmp(view->leader, membership->settings->label) == 0 &&
           view->leader_incarnation.v == membership->lease.v;
}

bool membership_leads(const struct membership *membership)
{
    return membership_valid(membership) && membership_holds_lead(membership);
}

revision membership_stamp(const struct membership *membership)
{
    return membership->stamp;
}

lease_id membership_incarnation(const struct membership *membership)
{
    return membership->lease;
}

void membership_raise(struct membership *membership, const char *why)
{
    if (!membership->raise)
        LOG_INFO("epoch_raise", "why=%s", why);
    membership->raise = true;
    consider(membership);
}

void membership_exclude(struct membership *membership, const char *label, int64_t ms)
{
    struct excluded excluded = {g_strdup(label), time_add_ms(loop_now(membership->loop), ms)};
    g_array_append_val(membership->excluded, excluded);
    LOG_INFO("node_excluded", "other=%s ms=%" G_GINT64_FORMAT, label, ms);
    consider(membership);
}

static bool is_excluded(struct membership *membership, const char *label)
{
    for (guint i = 0; i < membership->excluded->len; i++)
        if (strcmp(g_array_index(membership->excluded, struct excluded, i).label, label) == 0)
            return true;
    return false;
}

/* ---- the lease ---- */

static void lost(struct membership *membership, const char *why)
{
    LOG_INFO("lease_lost", "lease=%" G_GUINT64_FORMAT " why=%s", membership->lease.v, why);
    membership->lease.v = 0;
    membership->joined = false;
    membership->lease_end = (mono_time){0};
    timer_stop(membership->loop, &membership->renew);
}

/* The lease is counted from when the request was sent, on a clock that may be slow. */
static void lease_holds(struct membership *membership)
{
    membership->lease_end = time_add_ms(membership->renew_sent, TTL_MS - TTL_MS / 1000 - 1);
}

static void granted(void *arg, const struct net_answer *answer)
{
    struct membership *membership = arg;
    membership->lease_out = false;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    if (codec_state_read_lease(object, &membership->lease)) {
        lease_holds(membership);
        timer_start(membership->loop, &membership->renew, RENEW_MS);
    }
    json_object_put(object);
    consider(membership);
}

static void renewed(void *arg, const struct net_answer *answer)
{
    struct membership *membership = arg;
    membership->lease_out = false;
    if (!membership->lease.v)
        return;
    if (answer->status == 404) {
        lost(membership, "ended");
        consider(membership);
        return;
    }
    if (answer->status == 200)
        lease_holds(membership);
    timer_start(membership->loop, &membership->renew, answer->status == 200 ? RENEW_MS : RETRY_MS);
}

static void renew(void *arg)
{
    struct membership *membership = arg;
    if (membership->lease_out || !membership->lease.v)
        return;
    char *path = g_strdup_printf("/grants/%" G_GUINT64_FORMAT "/renew", membership->lease.v);
    membership->lease_out = true;
    membership->renew_sent = loop_now(membership->loop);
    store_request(membership->store, LANE_LEASE, "POST", path, "{}", 1000, 1000, 0, renewed,
                  membership);
    g_free(path);
}

static void ask_lease(struct membership *membership)
{
    char body[32];
    g_snprintf(body, sizeof body, "{\"TtlMs\":%d}", TTL_MS);
    membership->lease_out = true;
    membership->renew_sent = loop_now(membership->loop);
    store_request(membership->store, LANE_LEASE, "POST", "/grants", body, 1500, 1500, 0, granted,
                  membership);
}

/* ---- joining ---- */

static void join_seen(void *arg, bool ok)
{
    struct membership *membership = arg;
    membership->join_out = false;
    struct node_record *node_record =
        g_hash_table_lookup(membership->view->nodes, membership->settings->label);
    if (ok && membership->lease.v && node_record &&
        node_record->incarnation.v == membership->lease.v) {
        membership->joined = true;
        membership->stamp = node_record->stamp;
        LOG_INFO("joined", "incarnation=%" G_GUINT64_FORMAT, membership->lease.v);
    }
    consider(membership);
}

static void join_answered(void *arg, const struct txn_outcome *outcome)
{
    struct membership *membership = arg;
    if (outcome->result == TXN_NO_LEASE && membership->lease.v)
        lost(membership, "refused");
    if (outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT)
        view_await(membership->view, outcome->at, join_seen, membership);
    else
        view_barrier(membership->view, join_seen, membership);
}

static json_object *self_value(struct membership *membership)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "i", membership->lease.v);
    json_put_text(object, "b", membership->settings->back_addr);
    json_put_u64(object, "v", NODE_VERSION);
    if (membership->wants_duties)
        json_put_flag(object, "duties", true);
    return object;
}

static guint spoken_by(const struct view *view, const char *label)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(view->spoken, label));
}

static bool understands(const struct membership *membership, const char *label,
                        enum node_version version)
{
    const struct node_record *node_record = g_hash_table_lookup(membership->view->nodes, label);
    return spoken_by(membership->view, label) >= (guint)version &&
           (!node_record || node_record->version >= (uint64_t)version);
}

static bool all_understand(const struct membership *membership, enum node_version version)
{
    bool all = understands(membership, membership->settings->label, version);
    for (guint i = 0; i < membership->settings->siblings->len; i++)
        all = all &&
              understands(membership,
                          g_array_index(membership->settings->siblings, struct sibling, i).label,
                          version);
    return all;
}

/* Placement asks for each machine that it looks at, so the answer is kept until nodes change. */
bool membership_all_understand(struct membership *membership, enum node_version version)
{
    struct understood *understood = &membership->understood[version];
    uint64_t changes = membership->view->node_changes + 1; /* 0: never asked */
    if (understood->changes != changes)
        *understood = (struct understood){changes, all_understand(membership, version)};
    return understood->all;
}

/* The duties of an earlier process of this label: its keys would stay until its lease ends. */
static void give_up_duties(struct membership *membership, struct txn *txn)
{
    for (int i = 0; i < DUTIES; i++) {
        const struct duty_record *record =
            duty_table_record(membership->view->duties, (enum duty)i);
        if (!record->token.v || strcmp(record->holder.label, membership->settings->label) != 0 ||
            (int)txn_writes(txn) >= store_limits(membership->store)->txn_ops)
            continue;
        char *key = key_duty((enum duty)i);
        txn_when(txn, key, (revision){record->token.v});
        txn_remove(txn, key);
        g_free(key);
    }
}

/* An earlier process of this label is dead, so its leadership is given up with its key, and its
 * duties: nobody has to wait for its lease to end. */
static void join(struct membership *membership)
{
    struct view *view = membership->view;
    char *key = key_node(membership->settings->label);
    struct node_record *old = g_hash_table_lookup(view->nodes, membership->settings->label);
    struct txn *txn = txn_new();
    txn_when(txn, key, old ? old->stamp : (revision){0});
    txn_set(txn, key, self_value(membership), membership->lease);
    if (view->leader && strcmp(view->leader, membership->settings->label) == 0) {
        txn_when(txn, KEY_LEADER, view->leader_stamp);
        txn_remove(txn, KEY_LEADER);
    }
    give_up_duties(membership, txn);
    /* It stays when this process ends: its successors understand as much. */
    if (spoken_by(view, membership->settings->label) < NODE_VERSION) {
        char *version = key_version(membership->settings->label);
        json_object *object = json_object_new_object();
        json_put_u64(object, "v", NODE_VERSION);
        txn_set(txn, version, object, (lease_id){0});
        g_free(version);
    }
    membership->join_out = true;
    store_txn(membership->store, LANE_LEASE, txn, join_answered, membership);
    g_free(key);
}

/* ---- leader and map ---- */

static json_object *map_value(struct membership *membership)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(o, "e", membership->view->epoch.v + 1);
    GList *labels =
        g_list_sort(g_hash_table_get_keys(membership->view->nodes), (GCompareFunc)strcmp);
    for (GList *l = labels; l; l = l->next) {
        struct node_record *node_record = g_hash_table_lookup(membership->view->nodes, l->data);
        if (is_excluded(membership, node_record->label) &&
            strcmp(node_record->label, membership->settings->label) != 0)
            continue;
        json_object *x = json_object_new_object();
        json_put_text(x, "n", node_record->label);
        json_put_u64(x, "i", node_record->incarnation.v);
        json_object_array_add(list, x);
    }
    g_list_free(labels);
    json_object_object_add(o, "n", list);
    return o;
}

static bool map_stale(struct membership *membership)
{
    guint want = 0;
    GHashTableIter it;
    struct node_record *node_record;
    g_hash_table_iter_init(&it, membership->view->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node_record)) {
        bool out = is_excluded(membership, node_record->label) &&
                   strcmp(node_record->label, membership->settings->label) != 0;
        if (!out && !map_names(membership->view, node_record->label, node_record->incarnation))
            return true;
        want += !out;
    }
    return want != membership->view->map->len;
}

static void write_seen(void *arg, bool ok)
{
    struct membership *membership = arg;
    (void)ok;
    membership->write_out = false;
    consider(membership);
}

static void write_answered(void *arg, const struct txn_outcome *outcome)
{
    struct membership *membership = arg;
    if (outcome->result == TXN_NO_LEASE && membership->lease.v)
        lost(membership, "refused");
    if (outcome->result == TXN_DONE)
        membership->raise = false;
    if (outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT)
        view_await(membership->view, outcome->at, write_seen, membership);
    else
        view_barrier(membership->view, write_seen, membership);
}

/* Taking the lead and raising the epoch are one transaction: there is no leader whose epoch an
 * earlier one has dealt under. */
static void write_map(struct membership *membership, bool elect)
{
    char *key = key_node(membership->settings->label);
    struct txn *txn = txn_new();
    txn_when(txn, key, membership->stamp);
    txn_when(txn, KEY_LEADER, elect ? (revision){0} : membership->view->leader_stamp);
    txn_when(txn, KEY_MAP, membership->view->map_stamp);
    if (elect) {
        json_object *object = json_object_new_object();
        json_put_text(object, "n", membership->settings->label);
        json_put_u64(object, "i", membership->lease.v);
        txn_set(txn, KEY_LEADER, object, membership->lease);
    }
    txn_set(txn, KEY_MAP, map_value(membership), (lease_id){0});
    membership->write_out = true;
    store_txn(membership->store, LANE_LEASE, txn, write_answered, membership);
    g_free(key);
}

/* Nodes stand for election one after the other, so that the first one mostly has it alone. */
static int64_t election_delay(struct membership *membership)
{
    int before = 0;
    GHashTableIter it;
    char *label;
    g_hash_table_iter_init(&it, membership->view->nodes);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, NULL))
        before += strcmp(label, membership->settings->label) < 0;
    return (int64_t)before * ELECT_STEP_MS;
}

static void forgive(struct membership *membership)
{
    mono_time now = loop_now(membership->loop);
    for (guint i = 0; i < membership->excluded->len;)
        if (time_before(g_array_index(membership->excluded, struct excluded, i).until, now))
            g_array_remove_index_fast(membership->excluded, i);
        else
            i++;
}

static void consider(struct membership *membership)
{
    struct view *view = membership->view;
    mono_time now = loop_now(membership->loop);
    if (!membership->lease.v) {
        if (!membership->lease_out)
            ask_lease(membership);
        return;
    }
    if (!view->ready || membership->join_out || !time_before(now, membership->lease_end))
        return;
    struct node_record *self = g_hash_table_lookup(view->nodes, membership->settings->label);
    if (membership->joined && (!self || self->stamp.v != membership->stamp.v)) {
        /* Another process has taken this label, or the lease ended unnoticed. */
        lost(membership, "key gone");
        return;
    }
    if (!membership->joined) {
        join(membership);
        return;
    }
    forgive(membership);
    if (membership->write_out)
        return;
    if (view->leader) {
        membership->vacant = false;
        if (membership_leads(membership) && (membership->raise || map_stale(membership)))
            write_map(membership, false);
        return;
    }
    if (!membership->vacant) {
        membership->vacant = true;
        membership->vacant_since = now;
    }
    if (time_ms_since(now, membership->vacant_since) >= election_delay(membership))
        write_map(membership, true);
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

const char *map_owner(const struct view *view, const char *host)
{
    const char *best = NULL;
    uint64_t most = 0;
    for (guint i = 0; i < view->map->len; i++) {
        const char *label = g_array_index(view->map, struct map_entry, i).label;
        uint64_t w = weight(label, host);
        if (!best || w > most) {
            best = label;
            most = w;
        }
    }
    return best;
}

bool map_names(const struct view *view, const char *label, lease_id incarnation)
{
    for (guint i = 0; i < view->map->len; i++) {
        const struct map_entry *entry = &g_array_index(view->map, struct map_entry, i);
        if (strcmp(entry->label, label) == 0 && entry->incarnation.v == incarnation.v)
            return true;
    }
    return false;
}
