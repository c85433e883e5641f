/** Applies the shards' status reports to the quota ledger and to machine health. */
#include "shard_status_receiver.h"

#include "autoscaler.h"
#include "image_cache.h"
#include "machine_health.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"
#include "shard_messages.h"

enum {
    /** How long nothing is dispatched to a machine after its shard rejected a dispatch to it. */
    REJECTED_DISPATCH_AVOID_MS = 1500,
    /** Requests of shards to raise the epoch are ignored while it is younger than this. */
    MIN_EPOCH_AGE_MS = 5000,
};

/** Records the run time of a completed task, or the cause of a failure, in machine health. */
static void apply_task_event(struct leader *leader, const struct task_event *event)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, event->machine.text);
    struct ledger_job *job = quota_ledger_find_job(leader, event->job.text);
    if (!machine)
        return;
    if (event->kind == TASK_EVENT_COMPLETED)
        machine_health_record_run_time(leader, event->job.text, machine, event->value);
    else if (job)
        machine_health_record_failure(leader, job, machine, (enum exit_cause)event->value);
}

static void update_image_cache(struct ledger_machine *machine, const GPtrArray *images)
{
    g_ptr_array_set_size(machine->image_cache, 0);
    for (guint i = 0; i < images->len; i++)
        image_cache_add(machine->image_cache, images->pdata[i]);
}

/** Updates a machine's description, flags and owner, and its cached images if they are reported. */
static void apply_machine(struct leader *leader, const char *from,
                          const struct machine_status *status)
{
    struct ledger_machine *machine = quota_ledger_ensure_machine(
        leader, status->id, status->type_name, status->zone, status->is_spot);
    g_free(machine->owner_label);
    machine->owner_label = g_strdup(from);
    machine->flags = status->flags;
    machine->is_reported = true;
    if (status->images)
        update_image_cache(machine, status->images);
}

static void log_release(const struct leader *leader, const char *from,
                        const struct task_attempt *task, const struct pending_dispatch *dispatch)
{
    struct decision_basis basis = replica_get_decision_basis(leader->replica, leader->epoch.value);
    decision_log_record(DECISION_RELEASE, &basis,
                        "job=%s task=%u attempt=%" G_GUINT64_FORMAT " number=%" G_GUINT64_FORMAT
                        " machine=%s from=%s why=rejected",
                        task->job.text, task->index, task->attempt.value, dispatch->number,
                        dispatch->machine->id.text, from);
}

/** Removes a dispatch that the shard could not place, so that its task is waiting again. */
static void apply_rejected_dispatch(struct leader *leader, const char *from,
                                    const struct rejected_dispatch *rejected)
{
    const struct task_attempt *task = &rejected->task;
    struct ledger_job *job = quota_ledger_find_job(leader, task->job.text);
    struct pending_dispatch *dispatch = job ? quota_ledger_find_dispatch(job, task->index) : NULL;
    if (!dispatch || dispatch->attempt.value != task->attempt.value)
        return;
    /* Tasks of a gang may be dispatched again with the same attempt number, and a repeated report
     * must not remove the later dispatch. */
    if (rejected->has_number && rejected->number != dispatch->number)
        return;
    log_release(leader, from, task, dispatch);
    dispatch->machine->health.avoid_until =
        time_add_ms(loop_now(leader->loop), REJECTED_DISPATCH_AVOID_MS);
    quota_ledger_remove_dispatch(leader, job, task->index);
}

static bool is_owned_by(const struct ledger_machine *machine, const char *owner)
{
    return machine->owner_label && strcmp(machine->owner_label, owner) == 0;
}

/** Builds the response to a shard: its machines on which nothing more may be placed. */
static cJSON *build_response(struct leader *leader, const char *owner)
{
    cJSON *response = status_response_new();
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner) && (machine_health_is_slow(leader, machine) ||
                                            time_before(now, machine->health.quarantined_until)))
            status_response_add(response, machine->id.text);
    return response;
}

/** Marks all machines of the shard as not reported before a full report is applied. */
static void clear_reported_flags(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner))
            machine->is_reported = false;
}

/** Drops machines that a full report omits, unless they are in use or in the replica. */
static void drop_unreported_machines(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!machine->is_reported && is_owned_by(machine, owner) &&
            autoscaler_is_machine_idle(machine) &&
            !replica_get_machine(leader->replica, machine->id.text))
            g_hash_table_iter_remove(&it);
}

/** Applies the machines, rejected dispatches and task events of a report. */
static void apply_status(struct leader *leader, const char *from,
                         const struct status_message *status)
{
    if (status->is_full)
        clear_reported_flags(leader, from);
    for (guint i = 0; i < status->machines->len; i++)
        apply_machine(leader, from, &g_array_index(status->machines, struct machine_status, i));
    for (guint i = 0; i < status->rejected->len; i++)
        apply_rejected_dispatch(leader, from,
                                &g_array_index(status->rejected, struct rejected_dispatch, i));
    for (guint i = 0; i < status->events->len; i++)
        apply_task_event(leader, &g_array_index(status->events, struct task_event, i));
    if (status->is_full)
        drop_unreported_machines(leader, from);
}

/** Returns whether a report of this epoch applies to this leader and its current ledger. */
static bool is_for_current_ledger(const struct leader *leader, uint64_t epoch)
{
    return membership_is_leader(leader->membership) && leader->is_leading &&
           epoch == leader->epoch.value && epoch == leader->replica->shard_map_epoch.value;
}

/** Raises the epoch if the shard requests it, because an agent may still receive an old command. */
static void raise_epoch_if_requested(struct leader *leader, const struct status_message *status)
{
    if (status->wants_epoch_raise &&
        time_ms_since(loop_now(leader->loop), leader->epoch_began_at) > MIN_EPOCH_AGE_MS)
        membership_raise_epoch(leader->membership, "a command may still be on its way");
}

/**
 * Applies a report, unless it belongs to another epoch, is repeated, or is partial without a
 * preceding full report. Returns an HTTP status; after HTTP_STATUS_CONFLICT the shard sends a full
 * report.
 */
static int accept_status(struct leader *leader, const char *from,
                         const struct status_message *status, cJSON **response)
{
    if (!is_for_current_ledger(leader, status->epoch.value))
        return HTTP_STATUS_CONFLICT;
    struct shard_channel *channel = shard_dispatcher_ensure_channel(leader, from);
    if (status->sequence <= channel->status_sequence ||
        (!status->is_full && !channel->has_full_status))
        return HTTP_STATUS_CONFLICT;
    channel->status_sequence = status->sequence;
    apply_status(leader, from, status);
    raise_epoch_if_requested(leader, status);
    *response = build_response(leader, from);
    channel->has_full_status = channel->has_full_status || status->is_full;
    leader_request_pass(leader);
    return HTTP_STATUS_OK;
}

int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *json, cJSON **response)
{
    struct status_message status;
    if (!status_message_decode(json, &status))
        return HTTP_STATUS_BAD_REQUEST;
    int http_status = accept_status(ctx, from, &status, response);
    status_message_clear(&status);
    return http_status;
}
