/**
 * @file
 * The leader's dispatch messages: tasks to be placed and to be stopped, machines that were returned
 * or are going to be.
 */
#include "shard_messages_internal.h"

#include "agent_session_internal.h"
#include "log.h"
#include "machine_returns_internal.h"
#include "task_placement_internal.h"

/** Names of the fields of a message, and of those of its items. */
#define FIELD_EPOCH "e"
#define FIELD_SEQUENCE "s"
#define FIELD_TO_CORDON "close"
#define FIELD_CORDONED "closed"
#define FIELD_RETURNED "gone"
#define FIELD_STOP "halt"
#define FIELD_DISPATCH "deal"
#define FIELD_ZONE "y"
#define FIELD_MACHINE "h"
#define FIELD_NUMBER "n"
#define FIELD_GRACE_S "g"

static void copy_text(char *to, size_t size, const char *text)
{
    g_strlcpy(to, text ? text : "", size);
}

/** Queues a task to be placed. */
static void receive_dispatch(struct shard *shard, const cJSON *item)
{
    const char *bound_machine = node_rpc_get_text(item, FIELD_MACHINE);
    struct dispatch dispatch = {0};
    if (!node_rpc_decode_task(item, &dispatch.job, &dispatch.index, &dispatch.attempt)) {
        LOG_ERROR("dispatch_malformed", "at=%s", bound_machine ? bound_machine : "");
        return;
    }
    node_rpc_get_u64(item, FIELD_NUMBER, &dispatch.number);
    copy_text(dispatch.zone, sizeof dispatch.zone, node_rpc_get_text(item, FIELD_ZONE));
    copy_text(dispatch.bound_machine, sizeof dispatch.bound_machine, bound_machine);
    dispatch.dispatched_at = dispatch.queued_at = loop_now(shard->loop);
    shard_enqueue_dispatch(shard, &dispatch);
}

/** Stops a run that the leader preempts. */
static void receive_stop(struct shard *shard, const cJSON *item)
{
    const char *machine_name = node_rpc_get_text(item, FIELD_MACHINE);
    const cJSON *grace = cJSON_GetObjectItemCaseSensitive(item, FIELD_GRACE_S);
    struct machine *machine = machine_name ? shard_find_machine(shard, machine_name) : NULL;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    if (!machine || !node_rpc_decode_task(item, &job, &index, &attempt))
        return;
    struct task_run *run = shard_run_find(machine, job, index, attempt);
    if (!run)
        return;
    shard_run_stop(run, cJSON_IsNumber(grace) ? grace->valuedouble : 0);
    shard_push_commands(shard, machine);
}

/** Cordons machines that are going to be returned; the answer names those on which nothing can be
 * placed any more. */
static void receive_cordons(struct shard *shard, const cJSON *names, cJSON **answer)
{
    *answer = cJSON_CreateObject();
    cJSON *confirmed = cJSON_AddArrayToObject(*answer, FIELD_CORDONED);
    const cJSON *name;
    cJSON_ArrayForEach(name, names)
    {
        if (cJSON_IsString(name) && shard_cordon_for_return(shard, name->valuestring))
            cJSON_AddItemToArray(confirmed, cJSON_CreateString(name->valuestring));
    }
}

static void receive_items(struct shard *shard, const cJSON *message, cJSON **answer)
{
    const cJSON *item, *to_cordon = cJSON_GetObjectItemCaseSensitive(message, FIELD_TO_CORDON);
    if (to_cordon)
        receive_cordons(shard, to_cordon, answer);
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, FIELD_RETURNED))
    {
        if (cJSON_IsString(item))
            shard_handle_machine_returned(shard, item->valuestring);
    }
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, FIELD_STOP))
        receive_stop(shard, item);
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, FIELD_DISPATCH))
        receive_dispatch(shard, item);
}

/* Messages are numbered within an epoch. A copy that was delayed must not dispatch a task once more
 * after it was handed back. */
int shard_handle_dispatch_message(void *ctx, const char *from, const cJSON *message, cJSON **answer)
{
    struct shard *shard = ctx;
    uint64_t epoch, sequence;
    if (!node_rpc_get_u64(message, FIELD_EPOCH, &epoch) ||
        !node_rpc_get_u64(message, FIELD_SEQUENCE, &sequence))
        return NODE_RPC_MALFORMED;
    if (epoch != shard->epoch.value || !membership_has_valid_lease(shard->membership) ||
        !shard->replica->leader_label || strcmp(shard->replica->leader_label, from) != 0)
        return NODE_RPC_CONFLICT;
    if (sequence <= shard->last_dispatch_sequence)
        return NODE_RPC_OK;
    shard->last_dispatch_sequence = sequence;
    receive_items(shard, message, answer);
    shard_place_tasks(shard);
    return NODE_RPC_OK;
}
