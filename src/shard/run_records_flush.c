/**
 * @file
 * When records are written: shortly after a change, by one transaction at a time, within this
 * node's share of the writes that the state service allows.
 */
#include "agent_session_internal.h"
#include "machine_inventory_internal.h"
#include "page_split_internal.h"
#include "record_batch_internal.h"

enum {
    /** The delay after a change, so that other changes of the same moment go into the same
     * transaction. */
    FLUSH_DELAY_MS = 4,
};

/** The fraction of the state service's write rate that the records of all nodes together may use.
 */
static const double RECORD_WRITE_SHARE = 0.8;

void shard_request_flush(struct shard *shard)
{
    if (!shard->records.txn_in_flight && !shard->records.flush_timer.queue_position)
        timer_start(shard->loop, &shard->records.flush_timer, FLUSH_DELAY_MS);
}

void shard_schedule_flush(struct shard *shard, bool ok)
{
    struct shard_records *records = &shard->records;
    int64_t delay_ms = FLUSH_DELAY_MS;
    if (ok)
        retry_backoff_reset(&records->retry_backoff);
    else
        delay_ms = retry_backoff_next_ms(&records->retry_backoff, shard->loop);
    timer_start(shard->loop, &records->flush_timer, delay_ms);
}

void shard_mark_dirty(struct shard *shard)
{
    shard->records.is_dirty = true;
    shard_request_flush(shard);
}

/** Returns the writes per second that this node may make. The live nodes share the write rate
 * equally, as they share the machines. */
static double write_rate_share(const struct shard *shard)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    return limits->rate_limit_write_rps * RECORD_WRITE_SHARE /
           MAX(shard->replica->shard_map->len, 1);
}

/** Refills the token bucket of writes, and returns whether it allows a write. If not, sets the
 * flush timer to the moment when it will. The longer changes wait, the more of them go into one
 * transaction. */
static bool refill_write_bucket(struct shard *shard)
{
    struct token_bucket *bucket = &shard->records.write_bucket;
    bucket->refill_per_s = write_rate_share(shard);
    token_bucket_refill(bucket, loop_now(shard->loop));
    if (token_bucket_has_token(bucket))
        return true;
    timer_start(shard->loop, &shard->records.flush_timer, token_bucket_wait_ms(bucket));
    return false;
}

void shard_charge_writes(struct shard *shard, guint writes)
{
    token_bucket_take(&shard->records.write_bucket, writes);
}

struct pending_write *shard_pending_write_new(struct shard *shard)
{
    struct pending_write *write = g_new(struct pending_write, 1);
    *write = (struct pending_write){shard, shard->generation};
    return write;
}

/** Sends the agents of all machines the commands for runs that were found to be recorded. */
static void push_commands_to_all(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (!machine->is_returned)
            shard_push_commands(shard, machine);
}

void shard_finish_write(void *arg, bool ok)
{
    struct pending_write *write = arg;
    struct shard *shard = write->shard;
    shard->records.txn_in_flight = false;
    if (ok && write->generation == shard->generation) {
        shard_records_reconcile(shard);
        push_commands_to_all(shard);
    }
    shard->records.is_dirty = true;
    shard_schedule_flush(shard, ok);
    g_free(write);
}

/** Fences off a transaction of unknown outcome, after an earlier fence has failed. */
static void repeat_fence(struct shard *shard)
{
    shard->records.txn_in_flight = true;
    record_txn_fence(shard, shard_finish_write, shard_pending_write_new(shard));
}

/** Drops a batch that has nothing to write, because nothing has changed or the pending changes fit
 * on no page at present. Frees machines that were returned and have no records. */
static void discard_batch(struct record_batch *batch)
{
    struct shard *shard = batch->shard;
    txn_free(batch->txn);
    shard->records.is_dirty = batch->has_more;
    record_batch_close(batch);
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine && machine->is_returned && !machine->record.mod_revision.value &&
            !shard_machine_has_runs(machine))
            g_hash_table_remove(shard->machines, machine->id.text);
    }
    record_batch_free(batch);
    if (shard->records.is_dirty)
        shard_schedule_flush(shard, false);
}

/** Creates a batch of the pending changes and commits it. */
static void write_batch(struct shard *shard)
{
    shard->records.is_dirty = false;
    struct record_batch *batch = record_batch_new(shard);
    record_batch_fill(batch);
    guint writes = txn_write_count(batch->txn);
    if (!writes) {
        discard_batch(batch);
        return;
    }
    shard->records.write_waits.write_count += writes;
    record_txn_commit(shard, batch->txn, record_batch_handle_outcome, batch);
}

void shard_flush(void *arg)
{
    struct shard *shard = arg;
    /* The compares of the transactions ensure the same; this saves writes that would fail. */
    if (shard->records.txn_in_flight || !shard_may_act(shard))
        return;
    if (shard->records.needs_fence) {
        repeat_fence(shard);
        return;
    }
    bool needs_split = shard_split_is_due(shard);
    bool needs_inventory_write = shard_inventory_is_due(shard);
    if (!shard->records.is_dirty && !needs_split && !needs_inventory_write)
        return;
    if (!refill_write_bucket(shard))
        return;
    /* A page that is being split by copies must not be written until the split has ended. */
    if (needs_split && shard_split_page(shard))
        return;
    if (needs_inventory_write)
        shard_inventory_write(shard);
    else
        write_batch(shard);
}
