/* The stand-in of the cloud. */
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

const char world_types_text[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
    "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":5,\"Yards\":[\"a\",\"b\"]}]}";

static void cloud_return(struct world *world, json_object *body)
{
    json_object *list = json_get_array(body, "Masts");
    for (size_t i = 0; i < json_object_array_length(list); i++)
        for (int k = 0; k < world->plan.workers; k++) {
            struct worker *worker = &world->workers[k];
            if (worker->up && strcmp(worker->id, json_object_get_string(
                                                     json_object_array_get_idx(list, i))) == 0) {
                worker->up = false;
                worker_loses_tasks(worker);
                timer_stop(world->loop, &worker->report);
                world->returned++;
                if (world->observer)
                    world->observer->returned(world->observer->ctx, worker->id);
            }
        }
}

static json_object *cloud_rent(struct world *world, json_object *body)
{
    const char *charter, *type_name, *zone;
    bool spot;
    uint64_t number = 0;
    assert_true(json_get_string(body, "Charter", &charter) &&
                json_get_string(body, "Build", &type_name) &&
                json_get_string(body, "Yard", &zone) && json_get_bool(body, "Loaners", &spot) &&
                json_get_u64(body, "Number", &number) && number <= 50);
    for (guint i = 0; i < world->charters->len; i += 2)
        if (strcmp(world->charters->pdata[i], charter) == 0)
            return json_tokener_parse(world->charters->pdata[i + 1]);
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (int i = 0; i < world->plan.workers && number > 0 && world->capacity > 0; i++)
        if (!world->workers[i].up) {
            struct worker *worker = world_machine(world, i, type_name, zone, spot);
            json_object_array_add(list, json_object_new_string(worker->id));
            if (world->observer)
                world->observer->rented(world->observer->ctx, charter, worker->id);
            world->capacity--;
            number--;
        }
    if (json_object_array_length(list) == 0) {
        json_object_put(list);
        json_object_put(object);
        return NULL;
    }
    json_object_object_add(object, "Masts", list);
    g_ptr_array_add(world->charters, g_strdup(charter));
    g_ptr_array_add(world->charters, g_strdup(json_object_to_json_string(object)));
    return object;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
    return strcmp((*(struct worker *const *)a)->id, (*(struct worker *const *)b)->id);
}

static json_object *cloud_list(struct world *world, const char *path)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    char *from = query_text(path, "From="), *page = query_text(path, "Page=");
    guint most = page ? (guint)g_ascii_strtoull(page, NULL, 10) : 100;
    assert_true(most <= 500);
    GPtrArray *up = g_ptr_array_new();
    for (int i = 0; i < world->plan.workers; i++)
        if (world->workers[i].up &&
            time_ms_since(loop_now(world->loop), world->workers[i].rented) >= world->list_lag_ms &&
            (!from || strcmp(world->workers[i].id, from) > 0))
            g_ptr_array_add(up, &world->workers[i]);
    g_ptr_array_sort(up, by_name);
    for (guint i = 0; i < up->len && i < most; i++) {
        struct worker *worker = up->pdata[i];
        json_object *x = json_object_new_object();
        json_put_string(x, "Id", worker->id);
        json_put_string(x, "Address", worker->addr);
        json_put_string(x, "Build", worker->type_name);
        json_put_string(x, "Yard", worker->zone);
        json_object_object_add(x, "Loaners", json_object_new_boolean(worker->spot));
        json_put_string(x, "Stage", "running");
        json_object_object_add(x, "HeldS", json_object_new_double(1));
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Masts", list);
    json_object_object_add(o, "More", json_object_new_boolean(up->len > most));
    g_ptr_array_unref(up);
    g_free(from);
    g_free(page);
    return o;
}

void serve_cloud(struct flight *flight)
{
    struct world *world = flight->world;
    json_object *body = *flight->body ? json_parse(flight->body, strlen(flight->body)) : NULL,
                *o = NULL;
    int status = 200;
    if (world->cloud_down) {
        status = 503;
        o = json_tokener_parse("{\"error\":\"trouble\"}");
    } else if (strcmp(flight->path, "/machine_types") == 0) {
        o = json_tokener_parse(world->types);
    } else if (strcmp(flight->path, "/rentals/return") == 0) {
        cloud_return(world, body);
        o = json_object_new_object();
    } else if (strcmp(flight->path, "/rentals") == 0) {
        o = cloud_rent(world, body);
        if (!o) {
            status = 503;
            o = json_tokener_parse("{\"error\":\"no capacity\"}");
        }
    } else {
        o = cloud_list(world, flight->path);
    }
    json_object_put(body);
    flight_result(flight, status, o);
}
