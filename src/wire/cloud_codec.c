#include "codec.h"
#include "json_fields.h"

static const char *const stage_words[] = {"booting", "running", "failed"};

static void clear_machine_type(gpointer p)
{
    g_strfreev(((struct machine_type *)p)->zones);
}

static bool machine_type_decode(json_object *object, struct machine_type *type)
{
    memset(type, 0, sizeof *type);
    json_object *zones = json_get_array(object, "Yards");
    if (!json_copy_text(object, "Label", type->name, sizeof type->name) ||
        !json_get_amount(object, "Vcpus", &type->cpus) ||
        !json_get_amount(object, "Cards", &type->gpus) ||
        !json_get_amount(object, "MemoryGb", &type->memory) ||
        !json_get_number(object, "LocalGb", &type->image_cache_gb) ||
        !json_get_number(object, "FetchGbPerS", &type->fetch_gb_per_s) ||
        !json_get_number(object, "Price", &type->price) ||
        !json_get_number(object, "MarketPrice", &type->spot_price) ||
        !json_get_number(object, "ReadyS", &type->boot_time_s) || !zones)
        return false;
    size_t zone_count = json_object_array_length(zones);
    type->zones = g_new0(char *, zone_count + 1);
    for (size_t i = 0; i < zone_count; i++)
        type->zones[i] = g_strdup(json_object_get_string(json_object_array_get_idx(zones, i)));
    return true;
}

GArray *machine_types_decode(json_object *object)
{
    json_object *list = json_get_array(object, "Builds");
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

json_object *machine_types_encode(const GArray *types)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        json_object *item = json_object_new_object(), *zones = json_object_new_array();
        json_put_text(item, "Label", type->name);
        json_put_number(item, "Vcpus", type->cpus.milli / 1000.0);
        json_put_number(item, "Cards", type->gpus.milli / 1000.0);
        json_put_number(item, "MemoryGb", type->memory.milli / 1000.0);
        json_put_number(item, "LocalGb", type->image_cache_gb);
        json_put_number(item, "FetchGbPerS", type->fetch_gb_per_s);
        json_put_number(item, "Price", type->price);
        json_put_number(item, "MarketPrice", type->spot_price);
        json_put_number(item, "ReadyS", type->boot_time_s);
        for (int k = 0; type->zones[k]; k++)
            json_object_array_add(zones, json_object_new_string(type->zones[k]));
        json_object_object_add(item, "Yards", zones);
        json_object_array_add(list, item);
    }
    json_object_object_add(object, "Builds", list);
    return object;
}

GArray *cloud_machines_decode(json_object *object, bool *more)
{
    json_object *list = json_get_array(object, "Masts");
    if (!list || !json_get_bool(object, "More", more))
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct listed_machine));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        struct listed_machine rental = {0};
        const char *stage;
        char id[48];
        int stage_index;
        if (!json_copy_text(item, "Id", id, sizeof id) || !machine_id_parse(&rental.id, id) ||
            !json_copy_text(item, "Build", rental.machine_type_name,
                            sizeof rental.machine_type_name) ||
            !json_copy_text(item, "Yard", rental.zone, sizeof rental.zone) ||
            !json_get_bool(item, "Loaners", &rental.is_spot) ||
            !json_get_text(item, "Stage", &stage) ||
            (stage_index = WORD_INDEX(stage_words, stage)) < 0) {
            g_array_unref(out);
            return NULL;
        }
        json_copy_text(item, "Address", rental.address, sizeof rental.address);
        json_get_number(item, "HeldS", &rental.age_s);
        rental.stage = stage_index;
        g_array_append_val(out, rental);
    }
    return out;
}

char *scale_out_request_encode(const char *request_id, const char *type_name, const char *zone,
                               bool is_spot, int machine_count)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Charter", request_id);
    json_put_text(object, "Build", type_name);
    json_put_text(object, "Yard", zone);
    json_put_bool(object, "Loaners", is_spot);
    json_object_object_add(object, "Number", json_object_new_int(machine_count));
    return json_to_text_and_free(object);
}

GArray *scale_out_response_decode(json_object *object)
{
    json_object *list = json_get_array(object, "Masts");
    if (!list)
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(machine_id));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        machine_id id;
        if (json_object_is_type(item, json_type_string) &&
            machine_id_parse(&id, json_object_get_string(item)))
            g_array_append_val(out, id);
    }
    return out;
}

char *scale_in_request_encode(const machine_id *machines, guint machine_count)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < machine_count; i++)
        json_object_array_add(list, json_object_new_string(machines[i].text));
    json_object_object_add(object, "Masts", list);
    return json_to_text_and_free(object);
}
