/**
 * @file
 * Handling of the leader's dispatch messages: tasks to place, runs to stop, and machines that were
 * returned or are about to be.
 */
#include "shard_messages_internal.h"

#include "agent_session_internal.h"
#include "machine_returns_internal.h"
#include "task_placement_internal.h"

static void copy_string(char *to, size_t size, const char *string)
{
    g_strlcpy(to, string ? string : "", size);
}

/** Queues a task for placement. */
static void apply_dispatch(struct shard *shard, const struct dispatch_item *item)
{
    mono_time now = loop_now(shard->loop);
    struct dispatch dispatch = {
        .job = item->task.job,
        .index = item->task.index,
        .attempt = item->task.attempt,
        .number = item->number,
        .dispatched_at = now,
        .queued_at = now,
    };
    copy_string(dispatch.zone, sizeof dispatch.zone, item->zone);
    copy_string(dispatch.bound_machine, sizeof dispatch.bound_machine, item->bound_machine);
    shard_enqueue_dispatch(shard, &dispatch);
}

/** Stops a run that the leader preempts. */
static void apply_stop(struct shard *shard, const struct stop_item *item)
{
    const struct task_attempt *task = &item->task;
    struct machine *machine = shard_find_machine(shard, item->machine);
    struct task_run *run =
        machine ? shard_run_find(machine, task->job, task->index, task->attempt) : NULL;
    if (!run)
        return;
    shard_run_request_stop(run, item->grace_s);
    shard_push_commands(shard, machine);
}

/** Cordons machines that are about to be returned. The response names those on which no task can be
 * placed any more. */
static cJSON *apply_cordons(struct shard *shard, const GPtrArray *names)
{
    GPtrArray *cordoned = g_ptr_array_new();
    for (guint i = 0; i < names->len; i++)
        if (shard_cordon_for_return(shard, names->pdata[i]))
            g_ptr_array_add(cordoned, names->pdata[i]);
    cJSON *response = dispatch_response_encode(cordoned);
    g_ptr_array_unref(cordoned);
    return response;
}

static void apply_message(struct shard *shard, const struct dispatch_message *message,
                          cJSON **response)
{
    if (message->to_cordon)
        *response = apply_cordons(shard, message->to_cordon);
    for (guint i = 0; i < message->returned->len; i++)
        shard_handle_machine_returned(shard, message->returned->pdata[i]);
    for (guint i = 0; i < message->stops->len; i++)
        apply_stop(shard, &g_array_index(message->stops, struct stop_item, i));
    for (guint i = 0; i < message->dispatches->len; i++)
        apply_dispatch(shard, &g_array_index(message->dispatches, struct dispatch_item, i));
    shard_place_tasks(shard);
}

/** Returns whether a message was sent by the leader of the current epoch and this process may act
 * on it. The message may be for an earlier process of this node, which has placed its tasks. */
static bool is_current(const struct shard *shard, const char *from,
                       const struct dispatch_message *message)
{
    const char *leader = shard->replica->leader_label;
    return message->epoch.value == shard->epoch.value && shard_may_act(shard) && leader &&
           strcmp(leader, from) == 0;
}

static void log_acceptance(const struct shard *shard, const struct dispatch_message *message)
{
    struct decision_basis basis = replica_get_decision_basis(shard->replica, shard->epoch.value);
    decision_log_record(DECISION_ACCEPT, &basis,
                        "sequence=%" G_GUINT64_FORMAT
                        " dispatches=%u stops=%u returned=%u incarnation=%" G_GUINT64_FORMAT,
                        message->sequence, message->dispatches->len, message->stops->len,
                        message->returned->len,
                        membership_get_incarnation(shard->membership).value);
}

int shard_handle_dispatch_message(void *ctx, const char *from, const cJSON *json, cJSON **response)
{
    struct shard *shard = ctx;
    struct dispatch_message message;
    if (!dispatch_message_decode_header(json, &message))
        return HTTP_STATUS_BAD_REQUEST;
    if (!is_current(shard, from, &message))
        return HTTP_STATUS_CONFLICT;
    /* A delayed copy must not dispatch a task again after its rejection. */
    if (message.sequence <= shard->last_dispatch_sequence)
        return HTTP_STATUS_OK;
    shard->last_dispatch_sequence = message.sequence;
    dispatch_message_decode_lists(json, &message);
    log_acceptance(shard, &message);
    apply_message(shard, &message, response);
    dispatch_message_clear(&message);
    return HTTP_STATUS_OK;
}
