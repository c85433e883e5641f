/* When records are written: soon after a change, within this node's share of the writes that the
 * state service allows. */
#include "record_batch_internal.h"

#include <math.h>

enum {
    FLUSH_MS = 4,   /* after a change, for what else comes in that moment */
    RETRY_MS = 120, /* after what could not be written */
};

/* Of the writes that the state service allows, as much as all nodes' records may use. */
static const double RECORDS_SHARE = 0.8;

void shard_flush_soon(struct shard *shard)
{
    if (!shard->txn_out && !shard->flush.place)
        timer_start(shard->loop, &shard->flush, FLUSH_MS);
}

void shard_flush_again(struct shard *shard, bool ok)
{
    timer_start(shard->loop, &shard->flush, ok ? FLUSH_MS : RETRY_MS);
}

void shard_dirty(struct shard *shard)
{
    shard->dirty = true;
    shard_flush_soon(shard);
}

/* The longer writes wait for this node's share of them, the more goes into one. */
static bool write_due(struct shard *shard)
{
    const struct store_limits *limits = store_limits(shard->store);
    /* The nodes that live share the writes, as they share the machines. */
    double rate = limits->write_rps * RECORDS_SHARE / MAX(shard->view->map->len, 1);
    mono_time now = loop_now(shard->loop);
    shard->write_level =
        MIN(WRITE_BURST, shard->write_level + rate * (double)(now.us - shard->write_at.us) / 1e6);
    shard->write_at = now;
    if (shard->write_level >= 1)
        return true;
    timer_start(shard->loop, &shard->flush, (int64_t)ceil((1 - shard->write_level) / rate * 1000));
    return false;
}

void shard_charge_writes(struct shard *shard, guint writes)
{
    shard->write_level -= writes;
}

void shard_write_over(struct shard *shard, uint64_t generation, bool ok)
{
    shard->txn_out = false;
    if (ok && generation == shard->generation)
        shard_records_sync(shard);
    shard->dirty = true;
    shard_flush_again(shard, ok);
}

struct txn *shard_txn(struct shard *shard)
{
    struct txn *txn = txn_new();
    char *self = key_node(shard->settings->label);
    txn_when(txn, self, membership_stamp(shard->members));
    txn_when(txn, KEY_MAP, shard->view->map_stamp);
    g_free(self);
    return txn;
}

/* Whether this node is a member, and owns what it has by the newest map. */
static bool may_write(const struct shard *shard)
{
    return membership_valid(shard->members) && shard->epoch.v == shard->view->epoch.v &&
           map_names(shard->view, shard->settings->label, membership_incarnation(shard->members));
}

/* Nothing can be written as things are; a machine without records may be gone. */
static void batch_drop(struct batch *batch)
{
    struct shard *shard = batch->shard;
    txn_free(batch->txn);
    shard->dirty = batch->rest;
    shard_batch_over(batch);
    for (guint i = 0; i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host && host->gone && !host->stamp.v && !shard_host_has_run(host))
            g_hash_table_remove(shard->hosts, host->id.s);
    }
    shard_batch_free(batch);
    if (shard->dirty)
        shard_flush_again(shard, false);
}

static void write_records(struct shard *shard)
{
    shard->dirty = false;
    struct batch *batch = shard_batch_new(shard);
    shard_batch_fill(batch);
    guint writes = txn_writes(batch->txn);
    if (!writes) {
        batch_drop(batch);
        return;
    }
    shard->write_level -= writes;
    shard->waits.writes += writes;
    shard->txn_out = true;
    store_txn(shard->store, LANE_URGENT, batch->txn, shard_batch_answered, batch);
}

void shard_flush(void *arg)
{
    struct shard *shard = arg;
    if (shard->txn_out || !may_write(shard))
        return;
    bool split = shard_split_due(shard);
    bool inventory = shard_inventory_due(shard);
    if (!shard->dirty && !split && !inventory)
        return;
    if (!write_due(shard) || (split && shard_split(shard)))
        return;
    if (inventory)
        shard_inventory(shard);
    else
        write_records(shard);
}
