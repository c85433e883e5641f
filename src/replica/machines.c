#include "image_cache.h"
#include "replica_internal.h"

void replica_machine_free(gpointer p)
{
    struct machine_record *machine = p;
    g_ptr_array_unref(machine->run_records);
    g_ptr_array_unref(machine->cached_images);
    g_free(machine->description);
    g_free(machine);
}

void replica_inventory_free(gpointer p)
{
    struct machine_inventory *inventory = p;
    g_ptr_array_unref(inventory->machines);
    g_free(inventory->key);
    g_free(inventory->label);
    g_free(inventory);
}

struct machine_record *replica_get_or_create_machine(struct replica *replica, const char *id)
{
    struct machine_record *machine = replica_get_machine(replica, id);
    if (machine)
        return machine;
    machine_id parsed_id;
    if (!machine_id_parse(&parsed_id, id))
        return NULL;
    machine = g_new0(struct machine_record, 1);
    machine->id = parsed_id;
    machine->run_records = g_ptr_array_new_with_free_func(g_free);
    machine->cached_images = image_cache_new();
    g_hash_table_insert(replica->machines, machine->id.text, machine);
    return machine;
}

void replica_remove_unused_machine(struct replica *replica, struct machine_record *machine)
{
    if (!machine->run_records->len && !machine->mod_revision.value && !machine->inventory)
        g_hash_table_remove(replica->machines, machine->id.text);
}

/* {"a":ADDRESS,"b":TYPE,"y":ZONE,"l":SPOT,"i":[IMAGE...]} */
void replica_apply_machine(struct replica *replica, const char *id, json_object *value,
                           revision mod_revision)
{
    struct machine_record *machine =
        value ? replica_get_or_create_machine(replica, id) : replica_get_machine(replica, id);
    if (!machine)
        return;
    replica_add_event(
        replica, (struct replica_event){.kind = REPLICA_EVENT_MACHINE, .machine = machine->id});
    machine->mod_revision = value ? mod_revision : (revision){0};
    if (!value) {
        replica_remove_unused_machine(replica, machine);
        return;
    }
    replica_copy_text(value, "a", machine->address, sizeof machine->address);
    replica_copy_text(value, "b", machine->machine_type_name, sizeof machine->machine_type_name);
    replica_copy_text(value, "y", machine->zone, sizeof machine->zone);
    json_get_bool(value, "l", &machine->is_spot);
    g_clear_pointer(&machine->description, g_free);
    json_object *list = json_get_array(value, "i");
    g_ptr_array_set_size(machine->cached_images, 0);
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        image_cache_add(machine->cached_images,
                        json_object_get_string(json_object_array_get_idx(list, i)));
}

const char *replica_get_machine_description(struct replica *replica, const char *machine_name)
{
    struct machine_record *machine = replica_get_machine(replica, machine_name);
    if (!machine || machine->mod_revision.value || machine->inventory)
        return NULL;
    if (!machine->description)
        machine->description = machine_description_encode(
            machine->address, machine->machine_type_name, machine->zone, machine->is_spot);
    return machine->description;
}

void machine_apply_description(struct machine_record *machine, const char *description)
{
    char **parts = g_strsplit(description, ",", -1);
    if (!machine->mod_revision.value && g_strv_length(parts) == 4) {
        g_strlcpy(machine->address, parts[0], sizeof machine->address);
        g_strlcpy(machine->machine_type_name, parts[1], sizeof machine->machine_type_name);
        g_strlcpy(machine->zone, parts[2], sizeof machine->zone);
        machine->is_spot = strcmp(parts[3], "1") == 0;
        g_clear_pointer(&machine->description, g_free);
    }
    g_strfreev(parts);
}

struct inventory_reader {
    struct replica *replica;
    struct machine_inventory *inventory;
};

static void add_machine_to_inventory(void *context, machine_id machine_name,
                                     const char *description)
{
    struct inventory_reader *reader = context;
    struct machine_record *machine =
        replica_get_or_create_machine(reader->replica, machine_name.text);
    if (!machine || machine->inventory == reader->inventory)
        return;
    machine_apply_description(machine, description);
    if (machine->inventory)
        g_ptr_array_remove_fast(machine->inventory->machines, machine);
    machine->inventory = reader->inventory;
    g_ptr_array_add(reader->inventory->machines, machine);
}

void replica_apply_inventory(struct replica *replica, const char *key, json_object *value,
                             revision mod_revision)
{
    struct machine_inventory *inventory = g_hash_table_lookup(replica->inventories, key);
    const char *text = "";
    if (!inventory) {
        char *label;
        int number;
        if (!value || !key_parse_page(key, &label, &number))
            return;
        inventory = g_new0(struct machine_inventory, 1);
        inventory->key = g_strdup(key);
        inventory->label = label;
        inventory->number = number;
        inventory->machines = g_ptr_array_new();
        g_hash_table_insert(replica->inventories, inventory->key, inventory);
    }
    inventory->mod_revision = mod_revision;
    GPtrArray *previous_machines = inventory->machines;
    inventory->machines = g_ptr_array_new();
    for (guint i = 0; i < previous_machines->len; i++)
        ((struct machine_record *)previous_machines->pdata[i])->inventory = NULL;
    struct inventory_reader reader = {replica, inventory};
    json_get_text(value, "a", &text);
    inventory_decode(text, add_machine_to_inventory, &reader);
    for (guint i = 0; i < previous_machines->len; i++)
        replica_remove_unused_machine(replica, previous_machines->pdata[i]);
    g_ptr_array_unref(previous_machines);
    struct replica_event event = {.kind = REPLICA_EVENT_INVENTORY};
    g_strlcpy(event.page_key, key, sizeof event.page_key);
    replica_add_event(replica, event);
    if (!value)
        g_hash_table_remove(replica->inventories, key);
}
