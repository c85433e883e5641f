/**
 * @file
 * The machines' own records: what a machine is, and which images it has cached. A machine gets one
 * when there are writes to spare, and loses it when it is gone and its last run is off the records.
 */
#include "record_batch_internal.h"
#include "stored_fields.h"

enum {
    /** A machine's record is written again for new images no sooner. */
    DESCRIBE_INTERVAL_MS = 30000,
    /** Machines are described while the transaction is no longer than this. */
    MAX_DESCRIPTION_BYTES = MAX_BATCH_BYTES / 4,
    /** Of the write budget, kept for run records: machines are described with what is above it. */
    RESERVED_WRITES = MAX_WRITE_BURST / 2,
    /** Of a value, for the list of images. */
    IMAGE_LIST_BYTES = 16,
    /** For one image besides its name. */
    IMAGE_ENTRY_BYTES = 4,
};

/** The position in the image cache from which on the images fit into a value: the most recently
 * used ones stand last. A name counts twice, as its characters may have to be escaped. */
static guint first_image_that_fits(const struct machine *machine, gsize used_bytes, gsize max_bytes)
{
    guint first_image = machine->image_cache->len;
    for (used_bytes += IMAGE_LIST_BYTES; first_image > 0; first_image--) {
        const char *image = machine->image_cache->pdata[first_image - 1];
        used_bytes += 2 * strlen(image) + IMAGE_ENTRY_BYTES;
        if (used_bytes > max_bytes)
            break;
    }
    return first_image;
}

/** The value of a machine in the state service, of about max_bytes at most. */
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

/** Whether the transaction may have one more write, besides those kept for pages. */
static bool has_spare_write(const struct record_batch *batch)
{
    return (int)txn_write_count(batch->txn) < batch->spare_writes;
}

/** Whether the machine's own record is missing, or names too few images and is not recent. */
static bool needs_description(const struct shard *shard, const struct machine *machine)
{
    const struct machine_record_state *record = &machine->record;
    if (machine->is_gone || record->change == MACHINE_RECORD_WRITTEN || !machine->address[0])
        return false;
    if (!record->mod_revision.value)
        return true;
    return record->has_unrecorded_images &&
           time_ms_since(loop_now(shard->loop), record->written_at) > DESCRIBE_INTERVAL_MS;
}

bool record_batch_is_machine_described(struct machine *machine)
{
    return machine->record.mod_revision.value || machine->record.change == MACHINE_RECORD_WRITTEN ||
           machine->record.inventory_number >= 0 || shard_machine_page_description(machine);
}

void record_batch_describe_machine(struct record_batch *batch, struct machine *machine)
{
    struct shard *shard = batch->shard;
    if (!needs_description(shard, machine) || !has_spare_write(batch) ||
        txn_size_bytes(batch->txn) > MAX_DESCRIPTION_BYTES)
        return;
    double budget_left = shard->records.write_budget - txn_write_count(batch->txn);
    /* If nothing else describes it, no run of it can be recorded before its own record is. */
    if (record_batch_is_machine_described(machine) && budget_left <= RESERVED_WRITES)
        return;
    gsize max_bytes = kv_client_limits(shard->kv)->max_value_bytes;
    record_txn_put_machine(batch->txn, machine, encode_machine_value(machine, max_bytes));
    machine->record.change = MACHINE_RECORD_WRITTEN;
    machine->record.is_in_txn = true;
    machine->record.has_unrecorded_images = false;
    machine->record.written_at = loop_now(shard->loop);
}

/** Removes the own record of a machine that is gone. Many may go at once when machines are
 * returned, so those for which no write is left wait for the next transaction: one with too many
 * writes would be refused for ever. */
static void remove_machine(struct record_batch *batch, struct machine *machine)
{
    if (!has_spare_write(batch)) {
        batch->has_more = true;
        return;
    }
    record_txn_delete_machine(batch->txn, machine);
    machine->record.change = MACHINE_RECORD_REMOVED;
    machine->record.is_in_txn = true;
}

/** Whether the transaction leaves a run of the machine on record. */
static bool has_runs_after_txn(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        bool leaves_records =
            run->phase == TASK_RUN_ENDED && run->record.is_in_txn && run->record.next_page < 0;
        if (run->phase != TASK_RUN_RELEASED && !leaves_records)
            return true;
    }
    return false;
}

void record_batch_finish_machine(struct record_batch *batch, struct machine *machine)
{
    bool is_leaving = machine->is_gone && !has_runs_after_txn(machine);
    if (is_leaving && machine->record.mod_revision.value)
        remove_machine(batch, machine);
    /* Also a machine without a record of its own is listed in the batch: it is freed with it. */
    if (is_leaving)
        machine->record.is_in_txn = true;
    if (!machine->is_gone && shard_machine_has_runs(machine))
        record_batch_describe_machine(batch, machine);
}
