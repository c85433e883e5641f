/** Codec of the cloud protocol: see cloud_codec.h. */
#include "cloud_codec.h"
#include "protocol_words.h"

/** Names in the protocol, indexed by enum cloud_machine_stage. */
static const char *const stage_names[] = {"booting", "running", "failed"};

static void clear_machine_type(gpointer machine_type)
{
    g_strfreev(((struct machine_type *)machine_type)->zones);
}

static bool machine_type_decode(json_object *object, struct machine_type *type)
{
    memset(type, 0, sizeof *type);
    json_object *zones = json_get_array(object, FIELD_ZONES);
    if (!json_copy_string(object, FIELD_TYPE_NAME, type->name, sizeof type->name) ||
        !json_get_amount(object, FIELD_CPUS, &type->cpus) ||
        !json_get_amount(object, FIELD_GPUS, &type->gpus) ||
        !json_get_amount(object, FIELD_MEMORY_GB, &type->memory) ||
        !json_get_number(object, FIELD_IMAGE_CACHE_GB, &type->image_cache_gb) ||
        !json_get_number(object, FIELD_FETCH_GB_PER_S, &type->fetch_gb_per_s) ||
        !json_get_number(object, FIELD_PRICE, &type->price) ||
        !json_get_number(object, FIELD_SPOT_PRICE, &type->spot_price) ||
        !json_get_number(object, FIELD_BOOT_TIME_S, &type->boot_time_s) || !zones)
        return false;
    size_t zone_count = json_object_array_length(zones);
    type->zones = g_new0(char *, zone_count + 1);
    for (size_t i = 0; i < zone_count; i++)
        type->zones[i] = g_strdup(json_object_get_string(json_object_array_get_idx(zones, i)));
    return true;
}

GArray *machine_types_decode(json_object *object)
{
    json_object *list = json_get_array(object, FIELD_MACHINE_TYPES);
    if (!list)
        return NULL;
    GArray *types = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    g_array_set_clear_func(types, clear_machine_type);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct machine_type type;
        if (!machine_type_decode(json_object_array_get_idx(list, i), &type)) {
            g_array_unref(types);
            return NULL;
        }
        g_array_append_val(types, type);
    }
    return types;
}

static json_object *machine_type_encode(const struct machine_type *type)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_TYPE_NAME, type->name);
    json_put_amount(object, FIELD_CPUS, type->cpus);
    json_put_amount(object, FIELD_GPUS, type->gpus);
    json_put_amount(object, FIELD_MEMORY_GB, type->memory);
    json_put_number(object, FIELD_IMAGE_CACHE_GB, type->image_cache_gb);
    json_put_number(object, FIELD_FETCH_GB_PER_S, type->fetch_gb_per_s);
    json_put_number(object, FIELD_PRICE, type->price);
    json_put_number(object, FIELD_SPOT_PRICE, type->spot_price);
    json_put_number(object, FIELD_BOOT_TIME_S, type->boot_time_s);
    json_put_strings(object, FIELD_ZONES, type->zones);
    return object;
}

json_object *machine_types_encode(const GArray *types)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < types->len; i++)
        json_object_array_add(list,
                              machine_type_encode(&g_array_index(types, struct machine_type, i)));
    json_object_object_add(object, FIELD_MACHINE_TYPES, list);
    return object;
}

static bool listed_machine_decode(json_object *object, struct listed_machine *machine)
{
    int stage;
    char id[sizeof machine->id.text];
    memset(machine, 0, sizeof *machine);
    if (!json_copy_string(object, FIELD_ID, id, sizeof id) || !machine_id_parse(&machine->id, id) ||
        !json_copy_string(object, FIELD_MACHINE_TYPE, machine->machine_type_name,
                          sizeof machine->machine_type_name) ||
        !json_copy_string(object, FIELD_ZONE, machine->zone, sizeof machine->zone) ||
        !json_get_bool(object, FIELD_SPOT, &machine->is_spot) ||
        !JSON_GET_ENUM(object, FIELD_STAGE, stage_names, &stage))
        return false;
    machine->stage = stage;
    json_copy_string(object, FIELD_ADDRESS, machine->address, sizeof machine->address);
    json_get_number(object, FIELD_AGE_S, &machine->age_s);
    return true;
}

char *cloud_machines_path(const char *after_id, int max_machines)
{
    if (!after_id)
        return g_strdup_printf(CLOUD_PATH_MACHINES "?" QUERY_PAGE_LENGTH "=%d", max_machines);
    return g_strdup_printf(CLOUD_PATH_MACHINES "?" QUERY_AFTER_ID "=%s&" QUERY_PAGE_LENGTH "=%d",
                           after_id, max_machines);
}

GArray *cloud_machines_decode(json_object *object, bool *has_more)
{
    json_object *list = json_get_array(object, FIELD_MACHINES);
    if (!list || !json_get_bool(object, FIELD_MORE, has_more))
        return NULL;
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(struct listed_machine));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct listed_machine machine;
        if (!listed_machine_decode(json_object_array_get_idx(list, i), &machine)) {
            g_array_unref(machines);
            return NULL;
        }
        g_array_append_val(machines, machine);
    }
    return machines;
}

char *scale_out_request_encode(const char *request_id, const char *type_name, const char *zone,
                               bool is_spot, int machine_count)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_REQUEST_ID, request_id);
    json_put_string(object, FIELD_MACHINE_TYPE, type_name);
    json_put_string(object, FIELD_ZONE, zone);
    json_put_bool(object, FIELD_SPOT, is_spot);
    json_object_object_add(object, FIELD_MACHINE_COUNT, json_object_new_int(machine_count));
    return json_to_string_and_free(object);
}

GArray *scale_out_response_decode(json_object *object)
{
    json_object *list = json_get_array(object, FIELD_MACHINES);
    if (!list)
        return NULL;
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(machine_id));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        machine_id id;
        if (json_object_is_type(item, json_type_string) &&
            machine_id_parse(&id, json_object_get_string(item)))
            g_array_append_val(machines, id);
    }
    return machines;
}

bool scale_out_response_is_no_capacity(json_object *object)
{
    const char *error = "";
    json_get_string(object, FIELD_ERROR, &error);
    return strcmp(error, ERROR_NO_CAPACITY) == 0;
}

char *scale_in_request_encode(const machine_id *machines, guint machine_count)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < machine_count; i++)
        json_object_array_add(list, json_object_new_string(machines[i].text));
    json_object_object_add(object, FIELD_MACHINES, list);
    return json_to_string_and_free(object);
}
