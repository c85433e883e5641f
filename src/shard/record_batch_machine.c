/* Records of what machines are, beside their run records: a machine gets one when there are writes
 * to spare, and loses it when it is gone and its last task is off the records. */
#include "record_batch_internal.h"

enum {
    DESCRIBE_INTERVAL_MS = 30000, /* a machine's images are written again no sooner */
    MAX_DESCRIPTION_BYTES =
        MAX_BATCH_BYTES / 4, /* of a transaction, for all that it says of machines */
    RESERVED_WRITES =
        MAX_WRITE_BURST / 2, /* for tasks: machines are described with what is above that */
    IMAGE_LIST_BYTES = 16,   /* of a value, for the list of images */
    IMAGE_ENTRY_BYTES = 4,   /* for one of them besides its name */
};

/* The value of a machine in the state service, of about so many bytes at most. */
static json_object *encode_machine_value(const struct machine *machine, gsize max_bytes)
{
    json_object *object = json_object_new_object(), *images = json_object_new_array();
    json_put_text(object, "a", machine->address);
    json_put_text(object, "b", machine->type_name);
    json_put_text(object, "y", machine->zone);
    json_object_object_add(object, "l", json_object_new_boolean(machine->is_spot));
    /* The newest images, as far as there is room. */
    guint first_image = machine->image_cache->len;
    for (gsize used_bytes = kv_value_size_bytes(object) + IMAGE_LIST_BYTES; first_image > 0;
         first_image--) {
        used_bytes += 2 * strlen(machine->image_cache->pdata[first_image - 1]) + IMAGE_ENTRY_BYTES;
        if (used_bytes > max_bytes)
            break;
    }
    for (guint i = first_image; i < machine->image_cache->len; i++)
        json_object_array_add(images, json_object_new_string(machine->image_cache->pdata[i]));
    json_object_object_add(object, "i", images);
    return object;
}

/* Whether the transaction may have one more write. */
static bool has_spare_write(const struct record_batch *batch)
{
    return (int)txn_write_count(batch->txn) < batch->spare_writes;
}

void record_batch_describe_machine(struct record_batch *batch, struct machine *machine)
{
    struct shard *shard = batch->shard;
    mono_time now = loop_now(shard->loop);
    bool is_due = !machine->record.mod_revision.value ||
                  (machine->record.has_unrecorded_images &&
                   time_ms_since(now, machine->record.written_at) > DESCRIBE_INTERVAL_MS);
    if (machine->is_gone || machine->record.change == MACHINE_RECORD_WRITTEN ||
        !machine->address[0] || !is_due || !has_spare_write(batch) ||
        txn_size_bytes(batch->txn) > MAX_DESCRIPTION_BYTES)
        return;
    bool is_required = !machine->record.mod_revision.value &&
                       machine->record.inventory_number < 0 &&
                       !shard_machine_page_description(machine);
    if (shard->records.write_budget - txn_write_count(batch->txn) <= RESERVED_WRITES &&
        !is_required)
        return;
    char *key = key_machine(machine->id);
    txn_compare(batch->txn, key, machine->record.mod_revision);
    txn_put(batch->txn, key,
            encode_machine_value(machine, kv_client_limits(shard->kv)->max_value_bytes),
            (lease_id){0});
    g_free(key);
    machine->record.change = MACHINE_RECORD_WRITTEN;
    machine->record.is_in_txn = true;
    machine->record.has_unrecorded_images = false;
    machine->record.written_at = now;
}

/* Takes a machine that is gone off the records. Many may go at once, in a wave of returns, so the
 * rest wait for the next transaction: one with too many writes is refused for ever. */
static void remove_machine(struct record_batch *batch, struct machine *machine)
{
    if (!has_spare_write(batch)) {
        batch->has_more = true;
        return;
    }
    char *key = key_machine(machine->id);
    txn_compare(batch->txn, key, machine->record.mod_revision);
    txn_delete(batch->txn, key);
    g_free(key);
    machine->record.change = MACHINE_RECORD_REMOVED;
    machine->record.is_in_txn = true;
}

void record_batch_finish_machine(struct record_batch *batch, struct machine *machine)
{
    bool has_runs = false;
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        has_runs =
            has_runs ||
            (run->phase != TASK_RUN_RELEASED &&
             !(run->phase == TASK_RUN_ENDED && run->record.is_in_txn && run->record.next_page < 0));
    }
    if (machine->is_gone && machine->record.mod_revision.value && !has_runs)
        remove_machine(batch, machine);
    machine->record.is_in_txn = machine->record.is_in_txn || (machine->is_gone && !has_runs);
    if (!machine->is_gone && shard_machine_has_runs(machine))
        record_batch_describe_machine(batch, machine);
}
