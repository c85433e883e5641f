/**
 * @file
 * Inventories: values that describe many machines each (address, type, zone, spot). Until an
 * inventory lists a machine, each page with records of the machine has to describe it, and the
 * description takes more bytes than the records of the machine's runs.
 */
#include "machine_inventory_internal.h"
#include "record_txn.h"

enum {
    /** The minimum time between two writes, so that machines that join in the meantime are added
     * together. */
    INVENTORY_INTERVAL_MS = 4000,
    /** Once this time has passed since the last write, an inventory is also written if machines
     * only have to be removed from it. */
    INVENTORY_CLEANUP_MS = 12000,
    /** Size of an inventory's value without the list of machines. */
    INVENTORY_VALUE_OVERHEAD_BYTES = 32,
};

/** What this node knows about one of its own inventories. */
struct own_inventory {
    /** 0: it is not stored yet. */
    revision mod_revision;
    /** The inventory lists machines that this node does not own any more, or that were returned. */
    bool is_stale;
};

/** The context of a write of an inventory. */
struct inventory_write {
    /** The first member, so that shard_finish_write() can end the write. */
    struct pending_write pending;
    int number;
    /** The inventory was stale, and is so still if it is not written. */
    bool was_stale;
};

/** Returns this node's inventory with that number, and creates it if necessary. */
static struct own_inventory *get_own_inventory(struct shard *shard, int number)
{
    GPtrArray *inventories = shard->records.inventories;
    while ((int)inventories->len <= number)
        g_ptr_array_add(inventories, g_new0(struct own_inventory, 1));
    return inventories->pdata[number];
}

/* ---- consistency with the replica ---- */

static bool is_own_inventory(const struct shard *shard, const struct machine_inventory *inventory)
{
    return strcmp(inventory->label, shard->settings->label) == 0;
}

static void reconcile_inventory(struct shard *shard, const struct machine_inventory *inventory)
{
    struct own_inventory *own = get_own_inventory(shard, inventory->number);
    own->mod_revision = inventory->mod_revision;
    for (guint i = 0; i < inventory->machines->len; i++) {
        struct machine_record *machine_record = inventory->machines->pdata[i];
        if (!shard_find_machine(shard, machine_record->id.text))
            own->is_stale = true;
    }
}

static void reconcile_machine(struct shard *shard, struct machine *machine)
{
    struct machine_record *machine_record = replica_get_machine(shard->replica, machine->id.text);
    bool is_listed = machine_record && machine_record->inventory &&
                     is_own_inventory(shard, machine_record->inventory);
    machine->record.inventory_number = is_listed ? machine_record->inventory->number : -1;
    machine->record.is_in_pending_inventory = false;
}

void shard_inventories_reconcile(struct shard *shard)
{
    GHashTableIter iter;
    struct machine_inventory *inventory;
    struct machine *machine;
    for (guint i = 0; i < shard->records.inventories->len; i++)
        *get_own_inventory(shard, (int)i) = (struct own_inventory){0};
    g_hash_table_iter_init(&iter, shard->replica->inventories);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&inventory))
        if (is_own_inventory(shard, inventory))
            reconcile_inventory(shard, inventory);
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        reconcile_machine(shard, machine);
}

/* ---- when an inventory is written ---- */

void shard_inventory_mark_stale(struct shard *shard, const struct machine *machine)
{
    if (machine->record.inventory_number >= 0)
        get_own_inventory(shard, machine->record.inventory_number)->is_stale = true;
}

/** Whether a machine with runs is described by its pages only. */
static bool needs_inventory(const struct machine *machine)
{
    return machine->record.inventory_number < 0 && !machine->record.mod_revision.value &&
           !machine->is_returned && machine->address[0] && shard_machine_has_runs(machine);
}

/** Returns the number of the first inventory that is stale; -1: none is. */
static int first_stale_inventory(struct shard *shard)
{
    for (guint i = 0; i < shard->records.inventories->len; i++)
        if (get_own_inventory(shard, (int)i)->is_stale)
            return (int)i;
    return -1;
}

bool shard_inventory_is_due(struct shard *shard)
{
    int64_t elapsed_ms = time_ms_since(loop_now(shard->loop), shard->records.inventory_written_at);
    /* Nodes of version 0 do not read inventories. */
    if (shard_uses_legacy_format(shard) || elapsed_ms < INVENTORY_INTERVAL_MS)
        return false;
    if (elapsed_ms >= INVENTORY_CLEANUP_MS && first_stale_inventory(shard) >= 0)
        return true;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (needs_inventory(machine))
            return true;
    return false;
}

/** Returns the number of the inventory to write: a stale one, otherwise the last one, which may be
 * new. */
static int choose_inventory(struct shard *shard)
{
    int stale = first_stale_inventory(shard);
    return stale >= 0 ? stale : MAX((int)shard->records.inventories->len - 1, 0);
}

/* ---- encoding ---- */

/** Passes over the machines when an inventory is encoded. */
enum inventory_pass {
    /** Machines that this inventory lists already. They come first because they must not be crowded
     * out. */
    PASS_LISTED,
    /** Machines that no inventory lists yet. */
    PASS_NEW,
    PASS_COUNT,
};

static bool is_in_pass(enum inventory_pass pass, const struct machine *machine, int number)
{
    if (pass == PASS_NEW)
        return needs_inventory(machine);
    return machine->record.inventory_number == number && !machine->is_returned &&
           !machine->record.mod_revision.value;
}

/** Appends a machine to an encoded inventory; returns whether it could be described. */
static bool append_machine(struct machine *machine, GString *text)
{
    char *description = machine_description_encode(machine->address, machine->type_name,
                                                   machine->zone, machine->is_spot);
    if (!description)
        return false;
    gsize previous_length = text->len;
    inventory_encode_machine(text, machine->id, description);
    g_free(description);
    return text->len > previous_length;
}

/** Appends the machines of one pass to an encoded inventory, and marks them as part of the
 * inventory being written. Returns false once a machine does not fit. */
static bool append_machines(struct shard *shard, enum inventory_pass pass, int number,
                            GString *text)
{
    gsize max_bytes = kv_client_limits(shard->kv)->max_value_bytes - INVENTORY_VALUE_OVERHEAD_BYTES;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (!is_in_pass(pass, machine, number))
            continue;
        gsize previous_length = text->len;
        machine->record.is_in_pending_inventory = append_machine(machine, text);
        if (text->len > max_bytes) {
            g_string_truncate(text, previous_length);
            machine->record.is_in_pending_inventory = false;
            return false;
        }
    }
    return true;
}

/** Forgets which machines an earlier write listed, which may have been refused. */
static void clear_pending_marks(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        machine->record.is_in_pending_inventory = false;
}

/** Encodes an inventory. If it is the last one and some machines do not fit, adds an empty
 * inventory for them. The caller frees the string. */
static GString *make_inventory_text(struct shard *shard, int number)
{
    GString *text = g_string_new(NULL);
    clear_pending_marks(shard);
    bool fits = true;
    for (int pass = PASS_LISTED; pass < PASS_COUNT && fits; pass++)
        fits = append_machines(shard, pass, number, text);
    if (!fits && number == (int)shard->records.inventories->len - 1)
        get_own_inventory(shard, number + 1);
    return text;
}

/* ---- transaction ---- */

/** Notes which machines the inventory lists now, and ends the write. */
static void commit_inventory(struct inventory_write *write, revision committed_at)
{
    struct shard *shard = write->pending.shard;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (machine->record.is_in_pending_inventory)
            machine->record.inventory_number = write->number;
        machine->record.is_in_pending_inventory = false;
    }
    get_own_inventory(shard, write->number)->mod_revision = committed_at;
    shard->records.txn_in_flight = false;
    shard_request_flush(shard);
    g_free(write);
}

static void handle_inventory_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct inventory_write *write = arg;
    struct shard *shard = write->pending.shard;
    if (outcome->status != TXN_COMMITTED)
        get_own_inventory(shard, write->number)->is_stale = write->was_stale;
    if (outcome->status != TXN_COMMITTED)
        record_txn_await_outcome(shard, outcome, shard_finish_write, write);
    else if (write->pending.generation == shard->generation)
        commit_inventory(write, outcome->at_revision);
    else
        shard_finish_write(write, false);
}

void shard_inventory_write(struct shard *shard)
{
    int number = choose_inventory(shard);
    struct own_inventory *inventory = get_own_inventory(shard, number);
    GString *text = make_inventory_text(shard, number);
    bool was_stale = inventory->is_stale;
    inventory->is_stale = false;
    shard->records.inventory_written_at = loop_now(shard->loop);
    struct txn *txn = record_txn_new(shard);
    char *key = key_inventory(shard->settings->label, number);
    record_txn_put_inventory(txn, key, inventory->mod_revision, text->str);
    g_free(key);
    g_string_free(text, TRUE);
    struct inventory_write *write = g_new(struct inventory_write, 1);
    *write = (struct inventory_write){{shard, shard->generation}, number, was_stale};
    record_txn_commit(shard, txn, handle_inventory_outcome, write);
}
