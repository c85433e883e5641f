/**
 * @file
 * Inventories: one value each, that describes many machines (address, type, zone, spot). Until a
 * machine is listed in one, each page with records of it has to describe it, which takes more bytes
 * there than its runs do.
 */
#include "machine_inventory_internal.h"
#include "record_txn.h"

enum {
    /** Between two writes: machines that come meanwhile are listed together. */
    INVENTORY_INTERVAL_MS = 4000,
    /** After this, an inventory is also written only to take machines off it that are gone. */
    INVENTORY_CLEANUP_MS = 12000,
    /** Of an inventory's value besides its text. */
    INVENTORY_VALUE_OVERHEAD_BYTES = 32,
};

/** An inventory of this node. */
struct own_inventory {
    /** 0: it is not stored yet. */
    revision mod_revision;
    /** It lists machines that this node does not own any more, or that are gone. */
    bool is_stale;
};

/** A write of an inventory until its end. */
struct inventory_write {
    struct pending_write pending;
    int number;
};

/** This node's inventory of that number; adds it if there is none. */
static struct own_inventory *get_own_inventory(struct shard *shard, int number)
{
    GPtrArray *inventories = shard->records.inventories;
    while ((int)inventories->len <= number)
        g_ptr_array_add(inventories, g_new0(struct own_inventory, 1));
    return inventories->pdata[number];
}

/* ---- agreement with the replica ---- */

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
    machine->record.joins_inventory = false;
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

/* ---- when one is written ---- */

void shard_inventory_mark_stale(struct shard *shard, const struct machine *machine)
{
    if (machine->record.inventory_number >= 0)
        get_own_inventory(shard, machine->record.inventory_number)->is_stale = true;
}

/** Whether a machine with runs is described by nothing but its pages. */
static bool needs_inventory(const struct machine *machine)
{
    return machine->record.inventory_number < 0 && !machine->record.mod_revision.value &&
           !machine->is_gone && machine->address[0] && shard_machine_has_runs(machine);
}

/** The first inventory that lists machines that this node does not own any more; -1: none does. */
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

/** The inventory to be written: a stale one, else the last, which may be new. */
static int choose_inventory(struct shard *shard)
{
    int stale = first_stale_inventory(shard);
    return stale >= 0 ? stale : MAX((int)shard->records.inventories->len - 1, 0);
}

/* ---- its text ---- */

/** Why a machine is listed in the inventory that is written. */
enum inventory_pass {
    /** It is listed there already. They come first, as they have to find a place. */
    PASS_LISTED,
    /** It is not listed anywhere yet. */
    PASS_NEW,
    PASS_COUNT,
};

static bool is_in_pass(enum inventory_pass pass, const struct machine *machine, int number)
{
    if (pass == PASS_NEW)
        return needs_inventory(machine);
    return machine->record.inventory_number == number && !machine->is_gone &&
           !machine->record.mod_revision.value;
}

/** Adds a machine to the text; returns whether it could be described. */
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

/** Adds the machines of one pass to the text, and notes in them that they are listed. Returns false
 * once one does not fit. */
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
        machine->record.joins_inventory = append_machine(machine, text);
        if (text->len > max_bytes) {
            g_string_truncate(text, previous_length);
            machine->record.joins_inventory = false;
            return false;
        }
    }
    return true;
}

/** The text of an inventory. If not all machines fit into the last one, adds an empty one for the
 * rest. The caller frees the text. */
static GString *make_inventory_text(struct shard *shard, int number)
{
    GString *text = g_string_new(NULL);
    bool fits = true;
    for (int pass = PASS_LISTED; pass < PASS_COUNT && fits; pass++)
        fits = append_machines(shard, pass, number, text);
    if (!fits && number == (int)shard->records.inventories->len - 1)
        get_own_inventory(shard, number + 1);
    return text;
}

/* ---- its transaction ---- */

static void finish_inventory_write(void *arg, bool ok)
{
    struct inventory_write *write = arg;
    shard_finish_write(&write->pending, ok);
    g_free(write);
}

/** Notes which machines the inventory lists now. */
static void commit_inventory(struct inventory_write *write, revision committed_at)
{
    struct shard *shard = write->pending.shard;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (machine->record.joins_inventory)
            machine->record.inventory_number = write->number;
        machine->record.joins_inventory = false;
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
        record_txn_await_outcome(shard, outcome, finish_inventory_write, write);
    else if (write->pending.generation == shard->generation)
        commit_inventory(write, outcome->at_revision);
    else
        finish_inventory_write(write, false);
}

void shard_inventory_write(struct shard *shard)
{
    int number = choose_inventory(shard);
    struct own_inventory *inventory = get_own_inventory(shard, number);
    GString *text = make_inventory_text(shard, number);
    inventory->is_stale = false;
    shard->records.inventory_written_at = loop_now(shard->loop);
    struct txn *txn = record_txn_new(shard);
    char *key = key_inventory(shard->settings->label, number);
    record_txn_put_inventory(txn, key, inventory->mod_revision, text->str);
    g_free(key);
    g_string_free(text, TRUE);
    struct inventory_write *write = g_new(struct inventory_write, 1);
    *write = (struct inventory_write){{shard, shard->generation}, number};
    record_txn_commit(shard, txn, handle_inventory_outcome, write);
}
