/** A fake of the cloud: machine types, rentals and the list of machines. */
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

const char world_default_machine_types[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
    "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":5,\"Yards\":[\"a\",\"b\"]}]}";

static void return_machines(struct world *world, json_object *body)
{
    json_object *list = json_get_array(body, "Masts");
    for (size_t i = 0; i < json_object_array_length(list); i++)
        for (int k = 0; k < world->config.worker_count; k++) {
            struct worker *worker = &world->workers[k];
            if (worker->up && strcmp(worker->id, json_object_get_string(
                                                     json_object_array_get_idx(list, i))) == 0) {
                worker->up = false;
                worker_drop_tasks(worker);
                timer_stop(world->loop, &worker->report_timer);
                world->returned_count++;
                if (world->observer)
                    world->observer->returned(world->observer->ctx, worker->id);
            }
        }
}

static json_object *rent_machines(struct world *world, json_object *body)
{
    const char *request_id, *type_name, *zone;
    bool spot;
    uint64_t number = 0;
    assert_true(json_get_string(body, "Charter", &request_id) &&
                json_get_string(body, "Build", &type_name) &&
                json_get_string(body, "Yard", &zone) && json_get_bool(body, "Loaners", &spot) &&
                json_get_u64(body, "Number", &number) && number <= 50);
    for (guint i = 0; i < world->rental_requests->len; i += 2)
        if (strcmp(world->rental_requests->pdata[i], request_id) == 0)
            return json_tokener_parse(world->rental_requests->pdata[i + 1]);
    json_object *response = json_object_new_object(), *list = json_object_new_array();
    for (int i = 0; i < world->config.worker_count && number > 0 && world->cloud_capacity > 0; i++)
        if (!world->workers[i].up) {
            struct worker *worker = world_add_worker_of_type(world, i, type_name, zone, spot);
            json_object_array_add(list, json_object_new_string(worker->id));
            if (world->observer)
                world->observer->rented(world->observer->ctx, request_id, worker->id);
            world->cloud_capacity--;
            number--;
        }
    if (json_object_array_length(list) == 0) {
        json_object_put(list);
        json_object_put(response);
        return NULL;
    }
    json_object_object_add(response, "Masts", list);
    g_ptr_array_add(world->rental_requests, g_strdup(request_id));
    g_ptr_array_add(world->rental_requests, g_strdup(json_object_to_json_string(response)));
    return response;
}

static gint compare_worker_ids(gconstpointer a, gconstpointer b)
{
    return strcmp((*(struct worker *const *)a)->id, (*(struct worker *const *)b)->id);
}

static json_object *list_machines(struct world *world, const char *path)
{
    json_object *response = json_object_new_object(), *list = json_object_new_array();
    char *start_after = copy_query_field(path, "From="), *page = copy_query_field(path, "Page=");
    guint max_count = page ? (guint)g_ascii_strtoull(page, NULL, 10) : 100;
    assert_true(max_count <= 500);
    GPtrArray *listed = g_ptr_array_new();
    for (int i = 0; i < world->config.worker_count; i++)
        if (world->workers[i].up &&
            time_ms_since(loop_now(world->loop), world->workers[i].rented_at) >=
                world->cloud_list_lag_ms &&
            (!start_after || strcmp(world->workers[i].id, start_after) > 0))
            g_ptr_array_add(listed, &world->workers[i]);
    g_ptr_array_sort(listed, compare_worker_ids);
    for (guint i = 0; i < listed->len && i < max_count; i++) {
        struct worker *worker = listed->pdata[i];
        json_object *machine = json_object_new_object();
        json_put_string(machine, "Id", worker->id);
        json_put_string(machine, "Address", worker->address);
        json_put_string(machine, "Build", worker->type_name);
        json_put_string(machine, "Yard", worker->zone);
        json_object_object_add(machine, "Loaners", json_object_new_boolean(worker->spot));
        json_put_string(machine, "Stage", "running");
        json_object_object_add(machine, "HeldS", json_object_new_double(1));
        json_object_array_add(list, machine);
    }
    json_object_object_add(response, "Masts", list);
    json_object_object_add(response, "More", json_object_new_boolean(listed->len > max_count));
    g_ptr_array_unref(listed);
    g_free(start_after);
    g_free(page);
    return response;
}

void serve_cloud(struct pending_request *pending)
{
    struct world *world = pending->world;
    json_object *body = *pending->body ? json_parse(pending->body, strlen(pending->body)) : NULL,
                *response = NULL;
    int status = 200;
    if (world->cloud_down) {
        status = 503;
        response = json_tokener_parse("{\"error\":\"trouble\"}");
    } else if (strcmp(pending->path, "/machine_types") == 0) {
        response = json_tokener_parse(world->machine_types);
    } else if (strcmp(pending->path, "/rentals/return") == 0) {
        return_machines(world, body);
        response = json_object_new_object();
    } else if (strcmp(pending->path, "/rentals") == 0) {
        response = rent_machines(world, body);
        if (!response) {
            status = 503;
            response = json_tokener_parse("{\"error\":\"no capacity\"}");
        }
    } else {
        response = list_machines(world, pending->path);
    }
    json_object_put(body);
    pending_request_respond_json(pending, status, response);
}
