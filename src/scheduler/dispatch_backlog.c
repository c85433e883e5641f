/** The tasks that wait for messages to a shard: see dispatch_backlog.h. */
#include "dispatch_backlog.h"

#include "placement.h"
#include "quota_ledger.h"
#include "shard_messages.h"

/** A dispatch whose message was not built yet. */
struct queued_dispatch {
    /** Id of the job, an interned reference-counted string. */
    char *job;
    /** Number of the dispatch, which tells it from later ones of the task. */
    uint64_t number;
    uint32_t index;
    /** The shard must place the task on the machine of the dispatch. */
    bool is_bound;
};

/** A stop whose message was not built yet. */
struct queued_stop {
    /** Id of the job and name of the machine, interned reference-counted strings. */
    char *job, *machine;
    attempt_no attempt;
    double grace_s;
    uint32_t index;
};

static void clear_queued_dispatch(gpointer data)
{
    struct queued_dispatch *dispatch = data;
    g_ref_string_release(dispatch->job);
}

static void clear_queued_stop(gpointer data)
{
    struct queued_stop *stop = data;
    g_ref_string_release(stop->job);
    g_ref_string_release(stop->machine);
}

static GArray *queue_new(guint element_size, GDestroyNotify clear)
{
    GArray *queue = g_array_new(FALSE, FALSE, element_size);
    g_array_set_clear_func(queue, clear);
    return queue;
}

/** Removes the first elements of a queue, and frees it if it is empty then. */
static void remove_first(GArray **queue, guint count)
{
    if (!*queue)
        return;
    g_array_remove_range(*queue, 0, count);
    if (!(*queue)->len)
        g_clear_pointer(queue, g_array_unref);
}

static guint queue_length(const GArray *queue)
{
    return queue ? queue->len : 0;
}

void dispatch_backlog_clear(struct dispatch_backlog *backlog)
{
    g_clear_pointer(&backlog->dispatches, g_array_unref);
    g_clear_pointer(&backlog->stops, g_array_unref);
}

bool dispatch_backlog_is_empty(const struct dispatch_backlog *backlog)
{
    return !backlog->dispatches && !backlog->stops;
}

void dispatch_backlog_add_dispatch(struct dispatch_backlog *backlog, job_id job, uint32_t index,
                                   uint64_t dispatch_number, bool is_bound)
{
    struct queued_dispatch dispatch = {.job = g_ref_string_new_intern(job.text),
                                       .number = dispatch_number,
                                       .index = index,
                                       .is_bound = is_bound};
    if (!backlog->dispatches)
        backlog->dispatches = queue_new(sizeof dispatch, clear_queued_dispatch);
    g_array_append_val(backlog->dispatches, dispatch);
}

void dispatch_backlog_add_stop(struct dispatch_backlog *backlog, job_id job,
                               const struct allocation *allocation, double grace_s)
{
    struct queued_stop stop = {.job = g_ref_string_new_intern(job.text),
                               .machine = g_ref_string_acquire(allocation->machine),
                               .attempt = allocation->attempt,
                               .grace_s = grace_s,
                               .index = allocation->index};
    if (!backlog->stops)
        backlog->stops = queue_new(sizeof stop, clear_queued_stop);
    g_array_append_val(backlog->stops, stop);
}

/** Encodes a dispatch; NULL if the ledger does not contain it any more, or if its job is finished.
 */
static cJSON *encode_dispatch(struct leader *leader, const struct queued_dispatch *queued)
{
    const struct ledger_job *job = quota_ledger_find_job(leader, queued->job);
    const struct job *job_record = replica_get_job(leader->replica, queued->job);
    const struct pending_dispatch *dispatch =
        job ? quota_ledger_find_dispatch(job, queued->index) : NULL;
    if (!dispatch || dispatch->number != queued->number || !job_record || !job_record->spec)
        return NULL;
    struct dispatch_item item = {
        .task = {job->id, queued->index, dispatch->attempt},
        .number = dispatch->number,
        .zone = placement_has_zone_rule(job_record->spec) ? dispatch->machine->zone : NULL,
        .bound_machine = queued->is_bound ? dispatch->machine->id.text : NULL,
    };
    return dispatch_item_encode(&item);
}

static cJSON *encode_stop(const struct queued_stop *queued)
{
    struct stop_item item = {
        .task = {.index = queued->index, .attempt = queued->attempt},
        .machine = queued->machine,
        .grace_s = queued->grace_s,
    };
    g_strlcpy(item.task.job.text, queued->job, sizeof item.task.job.text);
    return stop_item_encode(&item);
}

/** Adds a list to a message, unless it is empty. */
static void add_list(cJSON *message, const char *name, cJSON *list)
{
    if (cJSON_GetArraySize(list) > 0)
        cJSON_AddItemToObject(message, name, list);
    else
        cJSON_Delete(list);
}

void dispatch_backlog_move_to_message(struct dispatch_backlog *backlog, struct leader *leader,
                                      cJSON *message)
{
    guint stop_count = MIN(queue_length(backlog->stops), MAX_TASKS_PER_MESSAGE);
    guint dispatch_count =
        MIN(queue_length(backlog->dispatches), MAX_TASKS_PER_MESSAGE - stop_count);
    cJSON *dispatches = cJSON_CreateArray(), *stops = cJSON_CreateArray();
    for (guint i = 0; i < dispatch_count; i++) {
        cJSON *item =
            encode_dispatch(leader, &g_array_index(backlog->dispatches, struct queued_dispatch, i));
        if (item)
            cJSON_AddItemToArray(dispatches, item);
    }
    for (guint i = 0; i < stop_count; i++)
        cJSON_AddItemToArray(stops,
                             encode_stop(&g_array_index(backlog->stops, struct queued_stop, i)));
    remove_first(&backlog->dispatches, dispatch_count);
    remove_first(&backlog->stops, stop_count);
    add_list(message, DISPATCH_MESSAGE_DISPATCHES, dispatches);
    add_list(message, DISPATCH_MESSAGE_STOPS, stops);
}
