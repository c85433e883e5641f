#include "codec.h"
#include "json_fields.h"

static const char *const stage_words[] = {"booting", "running", "failed"};

static void clear_type(gpointer p)
{
    g_strfreev(((struct machine_type *)p)->zones);
}

static bool type_read(json_object *object, struct machine_type *type)
{
    memset(type, 0, sizeof *type);
    json_object *zones = json_list(object, "Yards");
    if (!json_copy_text(object, "Label", type->name, sizeof type->name) ||
        !codec_amount_field(object, "Vcpus", &type->cpus) ||
        !codec_amount_field(object, "Cards", &type->gpus) ||
        !codec_amount_field(object, "MemoryGb", &type->memory) ||
        !json_number(object, "LocalGb", &type->image_cache_gb) ||
        !json_number(object, "FetchGbPerS", &type->fetch_gb_per_s) ||
        !json_number(object, "Price", &type->price) ||
        !json_number(object, "MarketPrice", &type->spot_price) ||
        !json_number(object, "ReadyS", &type->boot_s) || !zones)
        return false;
    size_t n = json_object_array_length(zones);
    type->zones = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        type->zones[i] = g_strdup(json_object_get_string(json_object_array_get_idx(zones, i)));
    return true;
}

GArray *codec_types_read(json_object *object)
{
    json_object *list = json_list(object, "Builds");
    if (!list)
        return NULL;
    GArray *types = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    g_array_set_clear_func(types, clear_type);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct machine_type type;
        if (!type_read(json_object_array_get_idx(list, i), &type)) {
            g_array_unref(types);
            return NULL;
        }
        g_array_append_val(types, type);
    }
    return types;
}

json_object *codec_types_write(const GArray *types)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        json_object *x = json_object_new_object(), *zones = json_object_new_array();
        json_put_text(x, "Label", type->name);
        json_put_number(x, "Vcpus", type->cpus.milli / 1000.0);
        json_put_number(x, "Cards", type->gpus.milli / 1000.0);
        json_put_number(x, "MemoryGb", type->memory.milli / 1000.0);
        json_put_number(x, "LocalGb", type->image_cache_gb);
        json_put_number(x, "FetchGbPerS", type->fetch_gb_per_s);
        json_put_number(x, "Price", type->price);
        json_put_number(x, "MarketPrice", type->spot_price);
        json_put_number(x, "ReadyS", type->boot_s);
        for (int k = 0; type->zones[k]; k++)
            json_object_array_add(zones, json_object_new_string(type->zones[k]));
        json_object_object_add(x, "Yards", zones);
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Builds", list);
    return o;
}

GArray *codec_rentals_read(json_object *o, bool *more)
{
    json_object *list = json_list(o, "Masts");
    if (!list || !json_flag(o, "More", more))
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct rental));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *x = json_object_array_get_idx(list, i);
        struct rental rental = {0};
        const char *stage;
        char id[48];
        int st;
        if (!json_copy_text(x, "Id", id, sizeof id) || !host_id_from(&rental.id, id) ||
            !json_copy_text(x, "Build", rental.type_name, sizeof rental.type_name) ||
            !json_copy_text(x, "Yard", rental.zone, sizeof rental.zone) ||
            !json_flag(x, "Loaners", &rental.spot) || !json_text(x, "Stage", &stage) ||
            (st = CODEC_WORD(stage_words, stage)) < 0) {
            g_array_unref(out);
            return NULL;
        }
        json_copy_text(x, "Address", rental.addr, sizeof rental.addr);
        json_number(x, "HeldS", &rental.age_s);
        rental.stage = st;
        g_array_append_val(out, rental);
    }
    return out;
}

char *codec_rent_write(const char *charter, const char *type_name, const char *zone, bool spot,
                       int number)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Charter", charter);
    json_put_text(object, "Build", type_name);
    json_put_text(object, "Yard", zone);
    json_put_flag(object, "Loaners", spot);
    json_object_object_add(object, "Number", json_object_new_int(number));
    return json_finish(object);
}

GArray *codec_rented_read(json_object *o)
{
    json_object *list = json_list(o, "Masts");
    if (!list)
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(host_id));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *x = json_object_array_get_idx(list, i);
        host_id id;
        if (json_object_is_type(x, json_type_string) &&
            host_id_from(&id, json_object_get_string(x)))
            g_array_append_val(out, id);
    }
    return out;
}

char *codec_return_write(const host_id *hosts, guint n)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < n; i++)
        json_object_array_add(list, json_object_new_string(hosts[i].s));
    json_object_object_add(object, "Masts", list);
    return json_finish(object);
}
