/** Inventories of machines: the values of ll/a/LABEL/N. */
#include "replica_internal.h"
#include "stored_fields.h"

void replica_inventory_free(gpointer pointer)
{
    struct machine_inventory *inventory = pointer;
    g_ptr_array_unref(inventory->machines);
    g_free(inventory->key);
    g_free(inventory->label);
    g_free(inventory);
}

/**
 * Returns the inventory of an update and creates it if there is none. NULL if the key is invalid,
 * or if the update deletes an inventory that does not exist.
 */
static struct machine_inventory *get_or_create_inventory(struct replica *replica,
                                                         const struct key_update *update)
{
    struct machine_inventory *inventory = g_hash_table_lookup(replica->inventories, update->key);
    char *label;
    int number;
    if (inventory)
        return inventory;
    if (!update->value || !key_parse_page(update->key, &label, &number))
        return NULL;
    inventory = g_new0(struct machine_inventory, 1);
    inventory->key = g_strdup(update->key);
    inventory->label = label;
    inventory->number = number;
    inventory->machines = g_ptr_array_new();
    g_hash_table_insert(replica->inventories, inventory->key, inventory);
    return inventory;
}

/** The context of add_machine. */
struct inventory_reader {
    struct replica *replica;
    struct machine_inventory *inventory;
};

/** inventory_machine_callback: moves the machine to this inventory. */
static void add_machine(void *context, machine_id id, const char *description)
{
    struct inventory_reader *reader = context;
    struct machine_record *machine = replica_get_or_create_machine(reader->replica, id.text);
    if (!machine || machine->inventory == reader->inventory)
        return;
    machine_apply_description(machine, description);
    if (machine->inventory)
        g_ptr_array_remove_fast(machine->inventory->machines, machine);
    machine->inventory = reader->inventory;
    g_ptr_array_add(reader->inventory->machines, machine);
}

void replica_apply_inventory(struct replica *replica, const struct key_update *update)
{
    struct machine_inventory *inventory = get_or_create_inventory(replica, update);
    if (!inventory)
        return;
    inventory->mod_revision = update->mod_revision;
    GPtrArray *previous_machines = inventory->machines;
    inventory->machines = g_ptr_array_new();
    for (guint i = 0; i < previous_machines->len; i++) {
        struct machine_record *machine = previous_machines->pdata[i];
        machine->inventory = NULL;
    }
    const char *text = "";
    json_get_string(update->value, INVENTORY_FIELD_MACHINES, &text);
    inventory_decode(text, add_machine, &(struct inventory_reader){replica, inventory});
    for (guint i = 0; i < previous_machines->len; i++)
        replica_remove_unused_machine(replica, previous_machines->pdata[i]);
    g_ptr_array_unref(previous_machines);
    replica_add_page_event(replica, REPLICA_EVENT_INVENTORY, update->key);
    if (!update->value)
        g_hash_table_remove(replica->inventories, update->key);
}
