/* Records of what machines are, beside their run records: a machine gets one when there are writes
 * to spare, and loses it when it is gone and its last task is off the records. */
#include "record_batch_internal.h"

enum {
    DESCRIBE_MS = 30000,              /* a machine's images are written again no sooner */
    DESCRIBE_BYTES = BATCH_BYTES / 4, /* of a transaction, for all that it says of machines */
    WRITES_KEPT = WRITE_BURST / 2, /* for tasks: machines are described with what is above that */
    LIST_BYTES = 16,               /* of a value, for the list of images */
    IMAGE_BYTES = 4,               /* for one of them besides its name */
};

/* The value of a machine in the state service, of about so many bytes at most. */
static json_object *host_value(const struct host *host, gsize most)
{
    json_object *object = json_object_new_object(), *images = json_object_new_array();
    json_put_text(object, "a", host->addr);
    json_put_text(object, "b", host->type_name);
    json_put_text(object, "y", host->zone);
    json_object_object_add(object, "l", json_object_new_boolean(host->spot));
    /* The newest images, as far as there is room. */
    guint first = host->images->len;
    for (gsize used = value_size(object) + LIST_BYTES; first > 0; first--) {
        used += 2 * strlen(host->images->pdata[first - 1]) + IMAGE_BYTES;
        if (used > most)
            break;
    }
    for (guint i = first; i < host->images->len; i++)
        json_object_array_add(images, json_object_new_string(host->images->pdata[i]));
    json_object_object_add(object, "i", images);
    return object;
}

/* Whether the transaction may have one more write. */
static bool batch_spare(const struct batch *batch)
{
    return (int)txn_writes(batch->txn) < batch->spare;
}

void shard_batch_describe(struct batch *batch, struct host *host)
{
    struct shard *shard = batch->shard;
    mono_time now = loop_now(shard->loop);
    bool due =
        !host->stamp.v || (host->new_images && time_ms_since(now, host->stored) > DESCRIBE_MS);
    if (host->gone || host->described || !host->addr[0] || !due || !batch_spare(batch) ||
        txn_bytes(batch->txn) > DESCRIBE_BYTES)
        return;
    bool must = !host->stamp.v && host->inventory < 0 && !shard_host_about(host);
    if (shard->write_level - txn_writes(batch->txn) <= WRITES_KEPT && !must)
        return;
    char *key = key_host(host->id);
    txn_when(batch->txn, key, host->stamp);
    txn_set(batch->txn, key, host_value(host, store_limits(shard->store)->value_bytes),
            (lease_id){0});
    g_free(key);
    host->described = host->in_txn = true;
    host->new_images = false;
    host->stored = now;
}

/* Takes a machine that is gone off the records. Many may go at once, in a wave of returns, so the
 * rest wait for the next transaction: one with too many writes is refused for ever. */
static void batch_forget(struct batch *batch, struct host *host)
{
    if (!batch_spare(batch)) {
        batch->rest = true;
        return;
    }
    char *key = key_host(host->id);
    txn_when(batch->txn, key, host->stamp);
    txn_remove(batch->txn, key);
    g_free(key);
    host->removing = host->in_txn = true;
}

void shard_batch_finish_host(struct batch *batch, struct host *host)
{
    bool stays = false;
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        stays = stays ||
                (run->phase != RUN_GONE &&
                 !(run->phase == RUN_FREEING && run->record.in_txn && run->record.next_page < 0));
    }
    if (host->gone && host->stamp.v && !stays)
        batch_forget(batch, host);
    host->in_txn = host->in_txn || (host->gone && !stays);
    if (!host->gone && shard_host_has_run(host))
        shard_batch_describe(batch, host);
}
