/* What became of a transaction: machines and tasks follow it when it was done, and the view when it
 * was not or when nobody knows. */
#include "record_batch_internal.h"

#include "log.h"

/* How long starts and ends wait for their records: it shows when writes are scarce. */
static void note_wait(struct shard *shard, const struct run *run)
{
    mono_time now = loop_now(shard->loop);
    if (run->phase == RUN_NEW) {
        shard->waits.starts++;
        shard->waits.starts_ms += (double)time_ms_since(now, run->placed_at);
    } else if (run->phase == RUN_FREEING && run->record.next_page < 0) {
        shard->waits.ends++;
        shard->waits.ends_ms += (double)time_ms_since(now, run->over_at);
    }
}

void shard_log_waits(struct shard *shard)
{
    if (log_debug_on() && shard->waits.writes)
        LOG_DEBUG("records", "writes=%u starts=%u wait_ms=%.0f ends=%u wait_ms=%.0f pages=%u",
                  shard->waits.writes, shard->waits.starts,
                  shard->waits.starts_ms / MAX(shard->waits.starts, 1), shard->waits.ends,
                  shard->waits.ends_ms / MAX(shard->waits.ends, 1), shard->pages->len);
    memset(&shard->waits, 0, sizeof shard->waits);
}

/* The record of a task is as the transaction has it. Whether it has come off the records so. */
static bool run_settled(struct shard *shard, struct host *host, struct run *run)
{
    run->record.in_txn = false;
    run->record.page = run->record.next_page;
    run->record.foreign = false;
    note_wait(shard, run);
    if (run->phase == RUN_NEW) {
        run->phase = RUN_RECORDED;
        shard_run_apply_job(shard, run);
        return false;
    }
    if (run->phase != RUN_FREEING || run->record.page >= 0)
        return false;
    shard_run_unbook(shard, host, run);
    run->phase = RUN_GONE;
    return true;
}

/* The records of a machine's tasks. What comes off them is forgotten, unless its worker still
 * reports it. */
static void runs_settled(struct shard *shard, struct host *host)
{
    for (guint i = 0; i < host->runs->len;) {
        struct run *run = host->runs->pdata[i];
        bool gone = run->record.in_txn && run_settled(shard, host, run);
        if (gone && !run->seen)
            g_ptr_array_remove_index_fast(host->runs, i);
        else
            i++;
    }
}

/* A machine is on record as the transaction has it. Frees it when nothing of it is left. */
static void host_settled(struct shard *shard, struct host *host, const struct txn_outcome *outcome)
{
    if (host->removing)
        host->stamp = (revision){0};
    else if (host->described)
        host->stamp = outcome->at;
    host->described = host->removing = false;
    runs_settled(shard, host);
    if (host->gone && !host->stamp.v && !shard_host_has_run(host)) {
        g_hash_table_remove(shard->hosts, host->id.s);
    } else if (host->gone) {
        /* It went while this was being written; what was just recorded went with it. */
        shard_free_all_runs(shard, host, "returned");
        shard_dirty(shard);
    } else {
        shard_push(shard, host);
    }
}

void shard_batch_over(struct batch *batch)
{
    struct shard *shard = batch->shard;
    shard->txn_out = false;
    for (guint i = 0; i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            host->in_txn = false;
    }
}

/* The transaction was carried out. */
static void batch_done(struct batch *batch, const struct txn_outcome *outcome)
{
    struct shard *shard = batch->shard;
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct draft *draft = batch->drafts->pdata[i];
        if (draft->changed)
            shard_own_page(shard, draft->number)->stamp = outcome->at;
    }
    shard_marks_durable(shard, shard_is_drafted, batch);
    shard_batch_over(batch);
    for (guint i = 0; i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            host_settled(shard, host, outcome);
    }
    shard->dirty = shard->dirty || batch->rest;
    shard_batch_free(batch);
    shard_place_all(shard);
    shard_flush_soon(shard);
}

/* Nothing of a machine counts as in a transaction any more: the view shows what came on record. */
static void host_withdraw(struct host *host)
{
    host->new_images = host->new_images || host->described;
    host->described = host->removing = false;
    for (guint i = 0; i < host->runs->len; i++)
        ((struct run *)host->runs->pdata[i])->record.in_txn = false;
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void batch_resync(void *arg, bool ok)
{
    struct batch *batch = arg;
    struct shard *shard = batch->shard;
    bool current = batch->generation == shard->generation;
    shard->dirty = true;
    shard_batch_over(batch);
    for (guint i = 0; current && i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            host_withdraw(host);
    }
    if (current && ok)
        shard_records_sync(shard);
    for (guint i = 0; current && i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            shard_push(shard, host);
    }
    shard_flush_again(shard, ok);
    shard_batch_free(batch);
}

void shard_batch_answered(void *arg, const struct txn_outcome *outcome)
{
    struct batch *batch = arg;
    struct shard *shard = batch->shard;
    if (batch->generation != shard->generation) {
        /* The map has changed meanwhile: the records were taken from the view then. */
        batch_resync(batch, true);
        return;
    }
    switch (outcome->result) {
    case TXN_DONE:
        batch_done(batch, outcome);
        return;
    case TXN_CONFLICT:
        LOG_DEBUG("record_conflict", "hosts=%u first=%s", batch->hosts->len,
                  outcome->failed->len ? (char *)outcome->failed->pdata[0] : "");
        view_await(shard->view, outcome->at, batch_resync, batch);
        return;
    case TXN_UNKNOWN:
        LOG_INFO("record_unknown", "hosts=%u", batch->hosts->len);
        view_barrier(shard->view, batch_resync, batch);
        return;
    default:
        batch_resync(batch, false);
    }
}
