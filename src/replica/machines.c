/** Machines: the values of ll/h/MACHINE, and descriptions on record pages and in inventories. */
#include "image_cache.h"
#include "replica_internal.h"
#include "stored_fields.h"

void replica_machine_free(gpointer pointer)
{
    struct machine_record *machine = pointer;
    g_ptr_array_unref(machine->run_records);
    g_ptr_array_unref(machine->cached_images);
    g_free(machine->description);
    g_free(machine);
}

struct machine_record *replica_get_or_create_machine(struct replica *replica, const char *id)
{
    struct machine_record *machine = replica_get_machine(replica, id);
    machine_id parsed_id;
    if (machine)
        return machine;
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
    bool has_own_key = machine->mod_revision.value != 0;
    if (!has_own_key && !machine->run_records->len && !machine->inventory)
        g_hash_table_remove(replica->machines, machine->id.text);
}

static void decode_machine(struct machine_record *machine, json_object *value)
{
    replica_copy_string(value, MACHINE_FIELD_ADDRESS, machine->address, sizeof machine->address);
    replica_copy_string(value, MACHINE_FIELD_TYPE, machine->machine_type_name,
                        sizeof machine->machine_type_name);
    replica_copy_string(value, MACHINE_FIELD_ZONE, machine->zone, sizeof machine->zone);
    json_get_bool(value, MACHINE_FIELD_IS_SPOT, &machine->is_spot);
    g_clear_pointer(&machine->description, g_free);
    json_object *images = json_get_array(value, MACHINE_FIELD_IMAGES);
    g_ptr_array_set_size(machine->cached_images, 0);
    for (size_t i = 0; images && i < json_object_array_length(images); i++)
        image_cache_add(machine->cached_images,
                        json_object_get_string(json_object_array_get_idx(images, i)));
}

void replica_apply_machine(struct replica *replica, const struct key_update *update)
{
    struct machine_record *machine = update->value
                                         ? replica_get_or_create_machine(replica, update->name)
                                         : replica_get_machine(replica, update->name);
    if (!machine)
        return;
    replica_add_event(
        replica, (struct replica_event){.kind = REPLICA_EVENT_MACHINE, .machine = machine->id});
    if (update->value) {
        machine->mod_revision = update->mod_revision;
        decode_machine(machine, update->value);
    } else {
        machine->mod_revision = (revision){0};
        replica_remove_unused_machine(replica, machine);
    }
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

void machine_apply_description(struct machine_record *machine, const char *text)
{
    struct machine_description description;
    bool has_own_key = machine->mod_revision.value != 0;
    if (has_own_key || !machine_description_decode(text, &description))
        return;
    g_strlcpy(machine->address, description.address, sizeof machine->address);
    g_strlcpy(machine->machine_type_name, description.machine_type_name,
              sizeof machine->machine_type_name);
    g_strlcpy(machine->zone, description.zone, sizeof machine->zone);
    machine->is_spot = description.is_spot;
    g_clear_pointer(&machine->description, g_free);
}
