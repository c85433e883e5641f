/* What machines are, many in one value: until a machine is on such a list each page that names it
 * has to say so, which takes more room there than its tasks do. */
#include "run_records_internal.h"

#include "log.h"

enum {
    ROLL_MS = 4000,  /* machines that come meanwhile go on the list together */
    LOST_MS = 12000, /* those that are gone are taken off */
    VALUE_BYTES = 32,
};

struct inventory_write {
    struct shard *shard;
    uint64_t generation;
    int number;
};

static struct own_inventory *inventory_at(struct shard *shard, int number)
{
    while ((int)shard->inventories->len <= number)
        g_ptr_array_add(shard->inventories, g_new0(struct own_inventory, 1));
    return shard->inventories->pdata[number];
}

/* Makes what we hold of our lists agree with the view. */
void shard_inventories_sync(struct shard *shard)
{
    GHashTableIter it;
    struct inventory *inventory;
    struct host *host;
    for (guint i = 0; i < shard->inventories->len; i++)
        *inventory_at(shard, (int)i) = (struct own_inventory){0};
    g_hash_table_iter_init(&it, shard->view->inventories);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&inventory)) {
        if (strcmp(inventory->label, shard->settings->label) != 0)
            continue;
        struct own_inventory *own = inventory_at(shard, inventory->number);
        own->stamp = inventory->stamp;
        for (guint i = 0; i < inventory->hosts->len; i++) {
            struct host_record *rec = inventory->hosts->pdata[i];
            own->dirty = own->dirty || !shard_host_get(shard, rec->id.s);
        }
    }
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        struct host_record *rec = view_host(shard->view, host->id.s);
        bool own =
            rec && rec->inventory && strcmp(rec->inventory->label, shard->settings->label) == 0;
        host->inventory = own ? rec->inventory->number : -1;
        host->on_inventory = false;
    }
}

void shard_inventory_lost(struct shard *shard, const struct host *host)
{
    if (host->inventory >= 0)
        inventory_at(shard, host->inventory)->dirty = true;
}

static bool to_be_listed(const struct host *host)
{
    return host->inventory < 0 && !host->stamp.v && !host->gone && host->addr[0] &&
           shard_host_has_run(host);
}

bool shard_inventory_due(struct shard *shard)
{
    if (shard_plain(shard) ||
        time_ms_since(loop_now(shard->loop), shard->inventory_written_at) < ROLL_MS)
        return false;
    int64_t lost = time_ms_since(loop_now(shard->loop), shard->inventory_written_at) - LOST_MS;
    for (guint i = 0; lost >= 0 && i < shard->inventories->len; i++)
        if (inventory_at(shard, (int)i)->dirty)
            return true;
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (to_be_listed(host))
            return true;
    return false;
}

static gsize list_host(struct host *host, GString *text)
{
    char *about = machine_about(host->addr, host->type_name, host->zone, host->spot);
    gsize before = text->len;
    if (about)
        page_write_about(text, host->id, about);
    g_free(about);
    return text->len - before;
}

static void inventory_over(void *arg, bool ok)
{
    struct inventory_write *x = arg;
    shard_write_over(x->shard, x->generation, ok);
    g_free(x);
}

static void inventory_answered(void *arg, const struct txn_outcome *outcome)
{
    struct inventory_write *x = arg;
    struct shard *shard = x->shard;
    if (outcome->result == TXN_CONFLICT) {
        view_await(shard->view, outcome->at, inventory_over, x);
    } else if (outcome->result == TXN_UNKNOWN) {
        view_barrier(shard->view, inventory_over, x);
    } else if (outcome->result == TXN_DONE && x->generation == shard->generation) {
        GHashTableIter it;
        struct host *host;
        g_hash_table_iter_init(&it, shard->hosts);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
            if (host->on_inventory)
                host->inventory = x->number;
            host->on_inventory = false;
        }
        inventory_at(shard, x->number)->stamp = outcome->at;
        shard->txn_out = false;
        shard_flush_soon(shard);
        g_free(x);
    } else {
        inventory_over(x, false);
    }
}

/* The list to be written: one that names machines that are no longer ours, else the last one, which
 * may be new. */
static int choose(struct shard *shard)
{
    for (guint i = 0; i < shard->inventories->len; i++)
        if (inventory_at(shard, (int)i)->dirty)
            return (int)i;
    return shard->inventories->len ? (int)shard->inventories->len - 1 : 0;
}

/* What stays on a list, and what may be added. */
static void compose(struct shard *shard, int number, GString *text)
{
    gsize most = store_limits(shard->store)->value_bytes - VALUE_BYTES;
    GHashTableIter it;
    struct host *host;
    for (int added = 0; added < 2; added++) {
        g_hash_table_iter_init(&it, shard->hosts);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
            if (added ? !to_be_listed(host)
                      : host->inventory != number || host->gone || host->stamp.v)
                continue;
            gsize before = text->len;
            host->on_inventory = list_host(host, text) > 0;
            if (text->len <= most)
                continue;
            g_string_truncate(text, before);
            host->on_inventory = false;
            if (number == (int)shard->inventories->len - 1)
                inventory_at(shard, number + 1); /* the rest goes on another one */
            return;
        }
    }
}

void shard_inventory(struct shard *shard)
{
    int number = choose(shard);
    struct own_inventory *own = inventory_at(shard, number);
    GString *text = g_string_new(NULL);
    compose(shard, number, text);
    own->dirty = false;
    shard->inventory_written_at = loop_now(shard->loop);
    char *key = key_inventory(shard->settings->label, number);
    json_object *value = json_object_new_object();
    json_put_text(value, "a", text->str);
    struct txn *txn = shard_txn(shard);
    txn_when(txn, key, own->stamp);
    txn_set(txn, key, value, (lease_id){0});
    g_free(key);
    g_string_free(text, TRUE);
    struct inventory_write *x = g_new(struct inventory_write, 1);
    *x = (struct inventory_write){shard, shard->generation, number};
    shard->write_level -= 1;
    shard->txn_out = true;
    store_txn(shard->store, LANE_URGENT, txn, inventory_answered, x);
}
