#include "stored_fixtures.h"

#include "record_page_codec.h"

#include <string.h>

static struct worker *find_worker_by_id(struct world *world, const char *id)
{
    for (int i = 0; i < world->config.worker_count; i++)
        if (world->workers[i].up && strcmp(world->workers[i].id, id) == 0)
            return &world->workers[i];
    return NULL;
}

static void start_recorded_task(void *ctx, const struct record_page_entry *record)
{
    struct worker *worker = find_worker_by_id(ctx, record->machine.text);
    if (worker) {
        worker_add_running_task(worker, record->job.text, record->task_index,
                                record->attempt.value);
        worker->token = 1;
    }
}

void stored_put_page(struct world *world, const char *key, const char *value)
{
    json_object *object = json_tokener_parse(value);
    const char *text;
    assert_true(json_get_string(object, "t", &text));
    record_page_decode(text, start_recorded_task, world);
    json_object_put(object);
    world_put_key(world, key, value);
}

void stored_put_all(struct world *world, const struct stored_key *keys, guint key_count)
{
    for (guint i = 0; i < key_count; i++) { /* jobs are listed before the pages with their tasks */
        if (g_str_has_prefix(keys[i].key, "ll/p/"))
            stored_put_page(world, keys[i].key, keys[i].value);
        else if (g_str_has_prefix(keys[i].key, "ll/j/"))
            world_put_job(world, keys[i].key + strlen("ll/j/"), keys[i].value);
        else
            world_put_key(world, keys[i].key, keys[i].value);
    }
}
