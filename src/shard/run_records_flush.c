/* When records are written: soon after a change, within this node's share of the writes that the
 * state service allows. */
#include "record_batch_internal.h"

#include <math.h>

enum {
    FLUSH_DELAY_MS = 4,   /* after a change, for what else comes in that moment */
    RETRY_DELAY_MS = 120, /* after what could not be written */
};

/* Of the writes that the state service allows, as much as all nodes' records may use. */
static const double RECORDS_SHARE = 0.8;

void shard_request_flush(struct shard *shard)
{
    if (!shard->records.txn_in_flight && !shard->records.flush_timer.queue_position)
        timer_start(shard->loop, &shard->records.flush_timer, FLUSH_DELAY_MS);
}

void shard_schedule_flush(struct shard *shard, bool ok)
{
    timer_start(shard->loop, &shard->records.flush_timer, ok ? FLUSH_DELAY_MS : RETRY_DELAY_MS);
}

void shard_mark_dirty(struct shard *shard)
{
    shard->records.is_dirty = true;
    shard_request_flush(shard);
}

/* The longer writes wait for this node's share of them, the more goes into one. */
static bool has_write_budget(struct shard *shard)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    /* The nodes that live share the writes, as they share the machines. */
    double writes_per_s =
        limits->rate_limit_write_rps * RECORDS_SHARE / MAX(shard->replica->shard_map->len, 1);
    mono_time now = loop_now(shard->loop);
    shard->records.write_budget =
        MIN(MAX_WRITE_BURST,
            shard->records.write_budget +
                writes_per_s * (double)(now.us - shard->records.write_budget_at.us) / 1e6);
    shard->records.write_budget_at = now;
    if (shard->records.write_budget >= 1)
        return true;
    timer_start(shard->loop, &shard->records.flush_timer,
                (int64_t)ceil((1 - shard->records.write_budget) / writes_per_s * 1000));
    return false;
}

void shard_charge_writes(struct shard *shard, guint writes)
{
    shard->records.write_budget -= writes;
}

void shard_finish_write(struct shard *shard, uint64_t generation, bool ok)
{
    shard->records.txn_in_flight = false;
    if (ok && generation == shard->generation)
        shard_records_reconcile(shard);
    shard->records.is_dirty = true;
    shard_schedule_flush(shard, ok);
}

struct txn *shard_txn_new(struct shard *shard)
{
    struct txn *txn = txn_new();
    char *node_key = key_node(shard->settings->label);
    txn_compare(txn, node_key, membership_get_mod_revision(shard->membership));
    txn_compare(txn, KEY_MAP, shard->replica->shard_map_mod_revision);
    g_free(node_key);
    return txn;
}

/* Whether this node is a member, and owns what it has by the newest map. */
static bool may_write(const struct shard *shard)
{
    return membership_has_valid_lease(shard->membership) &&
           shard->epoch.value == shard->replica->shard_map_epoch.value &&
           shard_map_contains(shard->replica, shard->settings->label,
                              membership_get_incarnation(shard->membership));
}

/* Nothing can be written as things are; a machine without records may be gone. */
static void discard_batch(struct record_batch *batch)
{
    struct shard *shard = batch->shard;
    txn_free(batch->txn);
    shard->records.is_dirty = batch->has_more;
    record_batch_close(batch);
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine && machine->is_gone && !machine->record.mod_revision.value &&
            !shard_machine_has_runs(machine))
            g_hash_table_remove(shard->machines, machine->id.text);
    }
    record_batch_free(batch);
    if (shard->records.is_dirty)
        shard_schedule_flush(shard, false);
}

static void write_records(struct shard *shard)
{
    shard->records.is_dirty = false;
    struct record_batch *batch = record_batch_new(shard);
    record_batch_fill(batch);
    guint writes = txn_write_count(batch->txn);
    if (!writes) {
        discard_batch(batch);
        return;
    }
    shard->records.write_budget -= writes;
    shard->records.write_waits.writes += writes;
    shard->records.txn_in_flight = true;
    kv_client_commit(shard->kv, KV_LANE_URGENT, batch->txn, record_batch_handle_outcome, batch);
}

void shard_flush(void *arg)
{
    struct shard *shard = arg;
    if (shard->records.txn_in_flight || !may_write(shard))
        return;
    bool split_due = shard_split_due(shard);
    bool inventory_due = shard_inventory_due(shard);
    if (!shard->records.is_dirty && !split_due && !inventory_due)
        return;
    if (!has_write_budget(shard) || (split_due && shard_split(shard)))
        return;
    if (inventory_due)
        shard_inventory_write(shard);
    else
        write_records(shard);
}
