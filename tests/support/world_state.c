/* The stand-in of the state service: keys, leases, transactions and watches. */
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

void wkey_free(gpointer q)
{
    struct wkey *wkey = q;
    g_free(wkey->text);
    g_free(wkey);
}

static void event(struct world *world, const char *key, const char *text)
{
    struct wevent wevent = {g_strdup(key), g_strdup(text), world->ledger};
    g_array_append_val(world->events, wevent);
    if (world->observer)
        world->observer->key_changed(world->observer->ctx, key, text, world->ledger);
    if (world->events->len > 2 * KEPT_EVENTS) /* it keeps the last so many */
        g_array_remove_range(world->events, 0, KEPT_EVENTS);
}

void event_clear(gpointer q)
{
    struct wevent *wevent = q;
    g_free(wevent->key);
    g_free(wevent->text);
}

static json_object *ledger_answer(struct world *world)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "Ledger", world->ledger);
    return object;
}

static void watch_answer(struct flight *flight)
{
    struct world *world = flight->world;
    guint first = world->events->len;
    while (first && g_array_index(world->events, struct wevent, first - 1).rev > flight->from)
        first--;
    GString *s = g_string_new(NULL);
    g_string_printf(s, "{\"Ledger\":%" G_GUINT64_FORMAT ",\"News\":[", world->ledger);
    for (guint i = first; i < world->events->len; i++) {
        struct wevent *wevent = &g_array_index(world->events, struct wevent, i);
        g_string_append_printf(s, "%s{\"%s\":\"%s\",\"Stamp\":%" G_GUINT64_FORMAT,
                               i > first ? "," : "", wevent->text ? "Set" : "Remove", wevent->key,
                               wevent->rev);
        if (wevent->text)
            g_string_append_printf(s, ",\"V\":%s", wevent->text);
        g_string_append_c(s, '}');
    }
    g_string_append(s, "]}");
    world->most_news = MAX(world->most_news, world->events->len - first);
    flight_text(flight, 200, s->str);
    g_string_free(s, TRUE);
}

void serve_watches(struct world *world)
{
    for (guint i = 0; i < world->watches->len;) {
        struct flight *flight = g_array_index(world->watches, struct flight *, i);
        bool due =
            world->ledger > flight->from || time_before(flight->watch_end, loop_now(world->loop));
        if (due && !world->state_down && !world->refused[flight->node]) {
            g_array_remove_index(world->watches, i);
            watch_answer(flight);
        } else {
            i++;
        }
    }
}

static uint64_t stamp_of(struct world *world, const char *key)
{
    struct wkey *wkey = g_tree_lookup(world->keys, key);
    return wkey ? wkey->stamp : 0;
}

/* The keys whose revision is not the one that the transaction requires: a new array. */
static json_object *failed_compares(struct world *world, json_object *when)
{
    json_object *failed = json_object_new_array();
    for (size_t i = 0; i < json_object_array_length(when); i++) {
        json_object *x = json_object_array_get_idx(when, i);
        const char *key;
        uint64_t stamp = 0;
        assert_true(json_get_string(x, "K", &key) && json_get_u64(x, "Stamp", &stamp));
        if (stamp_of(world, key) != stamp)
            json_object_array_add(failed, json_object_new_string(key));
    }
    return failed;
}

/* Whether all leases to which the transaction binds keys exist. */
static bool leases_exist(struct world *world, json_object *writes)
{
    for (size_t i = 0; i < json_object_array_length(writes); i++) {
        uint64_t lease = 0;
        if (json_get_u64(json_object_array_get_idx(writes, i), "Mooring", &lease) &&
            !g_hash_table_contains(world->leases, &lease))
            return false;
    }
    return true;
}

/* Sets a key as a node asks. Of a node of the old version, what it writes about its version is
 * dropped. */
static void txn_set(struct flight *flight, json_object *write, const char *key)
{
    struct world *world = flight->world;
    json_object *v = NULL;
    json_object_object_get_ex(write, "V", &v);
    if (world->old[flight->node] && g_str_has_prefix(key, "ll/v/"))
        return;
    if (world->old[flight->node] && g_str_has_prefix(key, "ll/n/"))
        json_object_object_del(v, "v");
    struct wkey *wkey = g_new0(struct wkey, 1);
    wkey->text = g_strdup(json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN));
    if (strlen(wkey->text) > world->state_value_kb * 1024)
        fail_msg("%s is too long: %zu: %s", key, strlen(wkey->text), wkey->text);
    wkey->stamp = world->ledger;
    json_get_u64(write, "Mooring", &wkey->lease);
    g_tree_replace(world->keys, g_strdup(key), wkey);
    event(world, key, wkey->text);
}

/* Carries out the writes, all under one revision. */
static void txn_write(struct flight *flight, json_object *writes)
{
    struct world *world = flight->world;
    size_t n = json_object_array_length(writes);
    world->ledger += n > 0;
    for (size_t i = 0; i < n; i++) {
        json_object *x = json_object_array_get_idx(writes, i);
        const char *key;
        if (json_get_string(x, "Set", &key)) {
            txn_set(flight, x, key);
        } else if (json_get_string(x, "Remove", &key) && g_tree_lookup(world->keys, key)) {
            event(world, key, NULL);
            g_tree_remove(world->keys, key);
        }
    }
}

/* A transaction: refused without its leases (400) or when a compare fails (409). */
static void txn(struct flight *flight, json_object *body)
{
    struct world *world = flight->world;
    json_object *when = json_get_array(body, "When"), *writes = json_get_array(body, "Writes");
    json_object *failed = failed_compares(world, when);
    size_t n = json_object_array_length(writes);
    world->writes += (int)n;
    assert_true(n <= (size_t)world->state_txn_ops);
    assert_true(json_object_array_length(when) <= 4 * (size_t)world->state_txn_ops);
    if (!leases_exist(world, writes)) {
        json_object_put(failed);
        json_object *o = json_object_new_object();
        json_put_string(o, "error", "no such lease");
        flight_result(flight, 400, o);
        return;
    }
    if (json_object_array_length(failed)) {
        json_object *o = ledger_answer(world);
        json_object_object_add(o, "failed", failed);
        flight_result(flight, 409, o);
        return;
    }
    json_object_put(failed);
    txn_write(flight, writes);
    flight_result(flight, 200, ledger_answer(world));
    serve_watches(world);
}

void world_put(struct world *world, const char *key, const char *text)
{
    struct wkey *wkey = g_new0(struct wkey, 1);
    wkey->text = g_strdup(text);
    wkey->stamp = ++world->ledger;
    g_tree_replace(world->keys, g_strdup(key), wkey);
    event(world, key, text);
    serve_watches(world);
}

void world_put_job(struct world *world, const char *job, const char *value)
{
    char *key = g_strconcat("ll/j/", job, NULL);
    rules_job_by_hand(world->rules, loop_now(world->loop), job, value);
    world_put(world, key, value);
    g_free(key);
}

void world_remove(struct world *world, const char *key)
{
    world->ledger++;
    event(world, key, NULL);
    g_tree_remove(world->keys, key);
    serve_watches(world);
}

const char *world_key(struct world *world, const char *key)
{
    struct wkey *wkey = g_tree_lookup(world->keys, key);
    return wkey ? wkey->text : NULL;
}

struct listing {
    struct world *world;
    json_object *items;
    char *starts, *from;
    guint64 page, bytes;
    bool more;
};

enum { LISTED_BYTES = 512 * 1024 };

static gboolean list_key(gpointer key, gpointer value, gpointer data)
{
    struct listing *listing = data;
    struct wkey *wkey = value;
    if (!g_str_has_prefix(key, listing->starts) ||
        (listing->from && strcmp(key, listing->from) <= 0))
        return FALSE;
    listing->bytes += strlen(wkey->text);
    listing->more =
        json_object_array_length(listing->items) >= listing->page || listing->bytes > LISTED_BYTES;
    if (listing->more)
        return TRUE;
    json_object *x = json_object_new_object();
    json_put_string(x, "K", key);
    json_object_object_add(x, "V", json_tokener_parse(wkey->text));
    json_put_u64(x, "Stamp", wkey->stamp);
    json_object_array_add(listing->items, x);
    return FALSE;
}

static void lease_new(struct flight *flight, json_object *body)
{
    struct world *world = flight->world;
    struct wlease *wlease = g_new0(struct wlease, 1);
    uint64_t ttl = 0;
    json_get_u64(body, "TtlMs", &ttl);
    *wlease = (struct wlease){++world->next_lease, (int64_t)ttl,
                              time_add_ms(loop_now(world->loop), (int64_t)ttl)};
    g_hash_table_replace(world->leases, &wlease->id, wlease);
    json_object *object = json_object_new_object();
    json_put_u64(object, "Mooring", wlease->id);
    flight_result(flight, 200, object);
}

/* A field of a query, or NULL. */
char *query_text(const char *path, const char *field)
{
    const char *at = strstr(path, field);
    return at ? g_strndup(at + strlen(field), strcspn(at + strlen(field), "&")) : NULL;
}

/* A watch: waits for changes after a revision, or is refused when those are no longer kept. */
static void serve_watch(struct flight *flight)
{
    struct world *world = flight->world;
    const char *from = strstr(flight->path, "From="), *block = strstr(flight->path, "BlockMs=");
    flight->from = g_ascii_strtoull(from + 5, NULL, 10);
    flight->watch_end =
        time_add_ms(loop_now(world->loop), (int64_t)g_ascii_strtoull(block + 8, NULL, 10));
    bool kept = world->events->len == 0 ||
                flight->from + 1 >= g_array_index(world->events, struct wevent, 0).rev;
    if (!kept || (world->too_old > 0 && !world->state_down)) {
        world->too_old -= world->too_old > 0;
        flight_result(flight, 410, json_object_new_object());
    } else {
        g_array_append_val(world->watches, flight);
        serve_watches(world);
    }
}

/* Reads one key. */
static void serve_key(struct flight *flight)
{
    struct wkey *wkey = g_tree_lookup(flight->world->keys, flight->path + 6);
    json_object *object = json_object_new_object();
    if (wkey) {
        json_object_object_add(object, "V", json_tokener_parse(wkey->text));
        json_put_u64(object, "Stamp", wkey->stamp);
    }
    flight_result(flight, wkey ? 200 : 404, object);
}

/* Renews a lease. */
static void serve_renewal(struct flight *flight)
{
    struct world *world = flight->world;
    uint64_t id = g_ascii_strtoull(flight->path + 8, NULL, 10);
    struct wlease *l = g_hash_table_lookup(world->leases, &id);
    if (l)
        l->end = time_add_ms(loop_now(world->loop), l->ttl_ms);
    flight_result(flight, l ? 200 : 404, json_object_new_object());
}

/* Lists the keys with a prefix, page by page. */
static void serve_list(struct flight *flight)
{
    struct world *world = flight->world;
    struct listing l = {.world = world,
                        .items = json_object_new_array(),
                        .starts = query_text(flight->path, "Starts="),
                        .from = query_text(flight->path, "From=")};
    char *page = query_text(flight->path, "Page=");
    l.page = page ? g_ascii_strtoull(page, NULL, 10) : 100;
    g_tree_foreach(world->keys, list_key, &l);
    json_object *object = ledger_answer(world);
    json_object_object_add(object, "Items", l.items);
    json_object_object_add(object, "More", json_object_new_boolean(l.more));
    flight_result(flight, 200, object);
    g_free(l.starts);
    g_free(l.from);
    g_free(page);
}

void serve_state(struct flight *flight)
{
    struct world *world = flight->world;
    json_object *body = *flight->body ? json_parse(flight->body, strlen(flight->body)) : NULL;
    if (g_str_has_prefix(flight->path, "/watch"))
        serve_watch(flight);
    else if (world->state_down || world->refused[flight->node])
        flight_result(flight, 503, json_object_new_object());
    else if (g_str_has_prefix(flight->path, "/keys/"))
        serve_key(flight);
    else if (strcmp(flight->path, "/txn") == 0)
        txn(flight, body);
    else if (strcmp(flight->path, "/grants") == 0)
        lease_new(flight, body);
    else if (g_str_has_prefix(flight->path, "/grants/"))
        serve_renewal(flight);
    else
        serve_list(flight);
    json_object_put(body);
}

static gboolean of_lease(gpointer key, gpointer value, gpointer data)
{
    void **q = data;
    struct wkey *wkey = value;
    if (wkey->lease == *(uint64_t *)q[0])
        g_ptr_array_add(q[1], g_strdup(key));
    return FALSE;
}

void end_leases(struct world *world)
{
    GHashTableIter it;
    struct wlease *wlease;
    g_hash_table_iter_init(&it, world->leases);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&wlease)) {
        if (!time_before(wlease->end, loop_now(world->loop)))
            continue;
        GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
        void *q[] = {&wlease->id, keys};
        g_tree_foreach(world->keys, of_lease, q);
        world->ledger += keys->len > 0;
        for (guint i = 0; i < keys->len; i++) {
            event(world, keys->pdata[i], NULL);
            g_tree_remove(world->keys, keys->pdata[i]);
        }
        g_ptr_array_unref(keys);
        g_hash_table_iter_remove(&it);
    }
}
