/* What machines are, many in one value: until a machine is on such a list each page that names it
 * has to say so, which takes more room there than its tasks do. */
#include "run_records_internal.h"

#include "log.h"

enum {
    INVENTORY_INTERVAL_MS = 4000, /* machines that come meanwhile go on the list together */
    INVENTORY_CLEANUP_MS = 12000, /* those that are gone are taken off */
    VALUE_BYTES = 32,
};

struct inventory_write {
    struct shard *shard;
    uint64_t generation;
    int number;
};

static struct own_inventory *get_inventory(struct shard *shard, int number)
{
    while ((int)shard->records.inventories->len <= number)
        g_ptr_array_add(shard->records.inventories, g_new0(struct own_inventory, 1));
    return shard->records.inventories->pdata[number];
}

/* Makes what we hold of our lists agree with the view. */
void shard_inventories_reconcile(struct shard *shard)
{
    GHashTableIter iter;
    struct machine_inventory *inventory;
    struct machine *machine;
    for (guint i = 0; i < shard->records.inventories->len; i++)
        *get_inventory(shard, (int)i) = (struct own_inventory){0};
    g_hash_table_iter_init(&iter, shard->replica->inventories);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&inventory)) {
        if (strcmp(inventory->label, shard->settings->label) != 0)
            continue;
        struct own_inventory *own = get_inventory(shard, inventory->number);
        own->mod_revision = inventory->mod_revision;
        for (guint i = 0; i < inventory->machines->len; i++) {
            struct machine_record *machine_record = inventory->machines->pdata[i];
            own->is_stale = own->is_stale || !shard_find_machine(shard, machine_record->id.text);
        }
    }
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        struct machine_record *machine_record =
            replica_get_machine(shard->replica, machine->id.text);
        bool own = machine_record && machine_record->inventory &&
                   strcmp(machine_record->inventory->label, shard->settings->label) == 0;
        machine->record.inventory_number = own ? machine_record->inventory->number : -1;
        machine->record.joins_inventory = false;
    }
}

void shard_inventory_drop_machine(struct shard *shard, const struct machine *machine)
{
    if (machine->record.inventory_number >= 0)
        get_inventory(shard, machine->record.inventory_number)->is_stale = true;
}

static bool needs_inventory(const struct machine *machine)
{
    return machine->record.inventory_number < 0 && !machine->record.mod_revision.value &&
           !machine->is_gone && machine->address[0] && shard_machine_has_runs(machine);
}

bool shard_inventory_due(struct shard *shard)
{
    if (shard_uses_legacy_format(shard) ||
        time_ms_since(loop_now(shard->loop), shard->records.inventory_written_at) <
            INVENTORY_INTERVAL_MS)
        return false;
    int64_t overdue_ms = time_ms_since(loop_now(shard->loop), shard->records.inventory_written_at) -
                         INVENTORY_CLEANUP_MS;
    for (guint i = 0; overdue_ms >= 0 && i < shard->records.inventories->len; i++)
        if (get_inventory(shard, (int)i)->is_stale)
            return true;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (needs_inventory(machine))
            return true;
    return false;
}

static gsize append_machine(struct machine *machine, GString *text)
{
    char *description = machine_description_encode(machine->address, machine->type_name,
                                                   machine->zone, machine->is_spot);
    gsize previous_length = text->len;
    if (description)
        inventory_encode_machine(text, machine->id, description);
    g_free(description);
    return text->len - previous_length;
}

static void finish_inventory_write(void *arg, bool ok)
{
    struct inventory_write *write = arg;
    shard_finish_write(write->shard, write->generation, ok);
    g_free(write);
}

static void handle_inventory_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct inventory_write *write = arg;
    struct shard *shard = write->shard;
    if (outcome->status == TXN_CONFLICT) {
        replica_await_revision(shard->replica, outcome->at_revision, finish_inventory_write, write);
    } else if (outcome->status == TXN_UNKNOWN) {
        replica_read_barrier(shard->replica, finish_inventory_write, write);
    } else if (outcome->status == TXN_COMMITTED && write->generation == shard->generation) {
        GHashTableIter iter;
        struct machine *machine;
        g_hash_table_iter_init(&iter, shard->machines);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
            if (machine->record.joins_inventory)
                machine->record.inventory_number = write->number;
            machine->record.joins_inventory = false;
        }
        get_inventory(shard, write->number)->mod_revision = outcome->at_revision;
        shard->records.txn_in_flight = false;
        shard_request_flush(shard);
        g_free(write);
    } else {
        finish_inventory_write(write, false);
    }
}

/* The list to be written: one that names machines that are no longer ours, else the last one, which
 * may be new. */
static int choose_inventory(struct shard *shard)
{
    for (guint i = 0; i < shard->records.inventories->len; i++)
        if (get_inventory(shard, (int)i)->is_stale)
            return (int)i;
    return shard->records.inventories->len ? (int)shard->records.inventories->len - 1 : 0;
}

/* What stays on a list, and what may be added. */
static void write_inventory_text(struct shard *shard, int number, GString *text)
{
    gsize max_bytes = kv_client_limits(shard->kv)->max_value_bytes - VALUE_BYTES;
    GHashTableIter iter;
    struct machine *machine;
    for (int added = 0; added < 2; added++) {
        g_hash_table_iter_init(&iter, shard->machines);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
            if (added ? !needs_inventory(machine)
                      : machine->record.inventory_number != number || machine->is_gone ||
                            machine->record.mod_revision.value)
                continue;
            gsize previous_length = text->len;
            machine->record.joins_inventory = append_machine(machine, text) > 0;
            if (text->len <= max_bytes)
                continue;
            g_string_truncate(text, previous_length);
            machine->record.joins_inventory = false;
            if (number == (int)shard->records.inventories->len - 1)
                get_inventory(shard, number + 1); /* the rest goes on another one */
            return;
        }
    }
}

void shard_inventory_write(struct shard *shard)
{
    int number = choose_inventory(shard);
    struct own_inventory *inventory = get_inventory(shard, number);
    GString *text = g_string_new(NULL);
    write_inventory_text(shard, number, text);
    inventory->is_stale = false;
    shard->records.inventory_written_at = loop_now(shard->loop);
    char *key = key_inventory(shard->settings->label, number);
    json_object *value = json_object_new_object();
    json_put_text(value, "a", text->str);
    struct txn *txn = shard_txn_new(shard);
    txn_compare(txn, key, inventory->mod_revision);
    txn_put(txn, key, value, (lease_id){0});
    g_free(key);
    g_string_free(text, TRUE);
    struct inventory_write *request = g_new(struct inventory_write, 1);
    *request = (struct inventory_write){shard, shard->generation, number};
    shard->records.write_budget -= 1;
    shard->records.txn_in_flight = true;
    kv_client_commit(shard->kv, KV_LANE_URGENT, txn, handle_inventory_outcome, request);
}
