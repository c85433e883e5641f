/**
 * @file
 * The machines' own records, which store what a machine is and which images it has cached. A
 * machine gets one when the limits leave a write for it. The record is deleted when the machine was
 * returned and its last run is no longer recorded.
 */
#include "record_batch_internal.h"
#include "stored_fields.h"

enum {
    /** The minimum time between two writes of a machine's record for new images. */
    MIN_REWRITE_INTERVAL_MS = 30000,
    /** No machine records are added once the transaction exceeds this size. */
    MAX_TXN_BYTES_FOR_MACHINES = MAX_BATCH_BYTES / 4,
    /** The part of the write budget that is kept for run records. Machine records may only use what
     * exceeds it. */
    WRITES_RESERVED_FOR_RUNS = MAX_WRITE_BURST / 2,
    /** Size of the image list in a value without its entries. */
    IMAGE_LIST_OVERHEAD_BYTES = 16,
    /** Size of an entry of the image list without the name. */
    IMAGE_ENTRY_OVERHEAD_BYTES = 4,
};

/** Returns the index of the first cached image that is stored: the last ones, which are the most
 * recently used, as far as they fit into a value. Names count twice because their characters may
 * have to be escaped. */
static guint first_image_that_fits(const struct machine *machine, gsize used_bytes, gsize max_bytes)
{
    guint first_image = machine->image_cache->len;
    for (used_bytes += IMAGE_LIST_OVERHEAD_BYTES; first_image > 0; first_image--) {
        const char *image = machine->image_cache->pdata[first_image - 1];
        used_bytes += 2 * strlen(image) + IMAGE_ENTRY_OVERHEAD_BYTES;
        if (used_bytes > max_bytes)
            break;
    }
    return first_image;
}

/** Returns the machine's own record as it is stored, with about max_bytes at most. */
static json_object *encode_machine_value(const struct machine *machine, gsize max_bytes)
{
    json_object *object = json_object_new_object(), *images = json_object_new_array();
    json_put_string(object, MACHINE_FIELD_ADDRESS, machine->address);
    json_put_string(object, MACHINE_FIELD_TYPE, machine->type_name);
    json_put_string(object, MACHINE_FIELD_ZONE, machine->zone);
    json_object_object_add(object, MACHINE_FIELD_IS_SPOT,
                           json_object_new_boolean(machine->is_spot));
    guint first_image = first_image_that_fits(machine, kv_value_size_bytes(object), max_bytes);
    for (guint i = first_image; i < machine->image_cache->len; i++)
        json_object_array_add(images, json_object_new_string(machine->image_cache->pdata[i]));
    json_object_object_add(object, MACHINE_FIELD_IMAGES, images);
    return object;
}

/** Whether the transaction may have one more write of a machine's own record. */
static bool can_write_machine_record(const struct record_batch *batch)
{
    return (int)txn_write_count(batch->txn) < batch->max_machine_writes;
}

/** Whether the machine's own record is missing, or lacks cached images and was not written
 * recently. */
static bool needs_machine_record_write(const struct shard *shard, const struct machine *machine)
{
    const struct machine_record_state *record = &machine->record;
    if (machine->is_returned || record->pending_change == MACHINE_RECORD_WRITTEN ||
        !machine->address[0])
        return false;
    if (!record->mod_revision.value)
        return true;
    return record->has_unrecorded_images &&
           time_ms_since(loop_now(shard->loop), record->written_at) > MIN_REWRITE_INTERVAL_MS;
}

bool record_batch_is_machine_described(struct machine *machine)
{
    return machine->record.mod_revision.value ||
           machine->record.pending_change == MACHINE_RECORD_WRITTEN ||
           machine->record.inventory_number >= 0 || shard_machine_page_description(machine);
}

void record_batch_try_write_machine(struct record_batch *batch, struct machine *machine)
{
    struct shard *shard = batch->shard;
    if (!needs_machine_record_write(shard, machine) || !can_write_machine_record(batch) ||
        txn_size_bytes(batch->txn) > MAX_TXN_BYTES_FOR_MACHINES)
        return;
    double budget_left = shard->records.write_bucket.tokens - txn_write_count(batch->txn);
    /* No run of a machine can be recorded before the machine is described, so the first description
     * may use the whole budget. */
    if (record_batch_is_machine_described(machine) && budget_left <= WRITES_RESERVED_FOR_RUNS)
        return;
    gsize max_bytes = kv_client_limits(shard->kv)->max_value_bytes;
    record_txn_put_machine(batch->txn, machine, encode_machine_value(machine, max_bytes));
    machine->record.pending_change = MACHINE_RECORD_WRITTEN;
    machine->record.is_in_txn = true;
    machine->record.has_unrecorded_images = false;
    machine->record.written_at = loop_now(shard->loop);
}

/** Deletes the own record of a machine that was returned. Many machines can be returned at once, so
 * records that exceed the limit wait for the next transaction: one with too many writes would be
 * refused every time. */
static void try_delete_machine_record(struct record_batch *batch, struct machine *machine)
{
    if (!can_write_machine_record(batch)) {
        batch->has_more = true;
        return;
    }
    record_txn_delete_machine(batch->txn, machine);
    machine->record.pending_change = MACHINE_RECORD_REMOVED;
    machine->record.is_in_txn = true;
}

/** Whether any run of the machine is still recorded, or to be recorded, after the transaction. */
static bool has_runs_after_txn(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        bool is_removed_by_txn =
            run->phase == TASK_RUN_ENDED && run->record.is_in_txn && run->record.next_page < 0;
        if (run->phase != TASK_RUN_RELEASED && !is_removed_by_txn)
            return true;
    }
    return false;
}

void record_batch_finalize_machine(struct record_batch *batch, struct machine *machine)
{
    bool is_removable = machine->is_returned && !has_runs_after_txn(machine);
    if (is_removable && machine->record.mod_revision.value)
        try_delete_machine_record(batch, machine);
    /* A machine without an own record is added to the list of the batch as well, because the end of
     * the batch frees it. */
    if (is_removable)
        machine->record.is_in_txn = true;
    if (!machine->is_returned && shard_machine_has_runs(machine))
        record_batch_try_write_machine(batch, machine);
}
