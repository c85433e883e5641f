/** Applying the shards' status reports to the ledger. */
#include "shard_status_receiver.h"

#include "autoscaler.h"
#include "image_cache.h"
#include "machine_health.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

enum {
    /** For how long nothing is dispatched to a machine whose shard rejected a task. */
    REJECTED_DISPATCH_AVOID_MS = 1500,
    /** A shard's wish for a new epoch is ignored in an epoch younger than this. */
    MIN_EPOCH_AGE_MS = 5000,
};

/** Answers, as HTTP statuses. */
enum {
    STATUS_APPLIED = 200,
    STATUS_MALFORMED = 400,
    STATUS_NEEDS_FULL_REPORT = 409,
};

/** Learns from the end of a task: from its run time, or from the cause of its failure. */
static void apply_task_outcome(struct leader *leader, const cJSON *outcome)
{
    const char *machine_name = node_rpc_get_text(outcome, "h");
    const char *job_name = node_rpc_get_text(outcome, "j");
    const cJSON *cause = cJSON_GetObjectItemCaseSensitive(outcome, "c");
    const cJSON *run_time = cJSON_GetObjectItemCaseSensitive(outcome, "took");
    struct ledger_job *job = job_name ? quota_ledger_find_job(leader, job_name) : NULL;
    struct ledger_machine *machine =
        machine_name ? quota_ledger_find_machine(leader, machine_name) : NULL;
    if (job_name && machine && cJSON_IsNumber(run_time))
        machine_health_record_run_time(leader, job_name, machine, run_time->valuedouble);
    if (job && machine && cJSON_IsNumber(cause))
        machine_health_record_failure(leader, job, machine, (enum exit_cause)cause->valuedouble);
}

/** Positions in the array that describes a machine. */
enum machine_field {
    MACHINE_FIELD_ID,
    MACHINE_FIELD_TYPE,
    MACHINE_FIELD_ZONE,
    MACHINE_FIELD_SPOT,
    MACHINE_FIELD_FLAGS,
    /** Only when the images have changed. */
    MACHINE_FIELD_IMAGES,
};

/** A machine in a status report. Borrows from the message. */
struct reported_machine {
    machine_id id;
    const char *type_name;
    const char *zone;
    bool is_spot;
    int flags;
    /** NULL when the images are unchanged. */
    const cJSON *images;
};

/** Reads a machine; false when it is malformed. */
static bool parse_machine(const cJSON *item, struct reported_machine *report)
{
    const cJSON *id = cJSON_GetArrayItem(item, MACHINE_FIELD_ID);
    const cJSON *type_name = cJSON_GetArrayItem(item, MACHINE_FIELD_TYPE);
    const cJSON *zone = cJSON_GetArrayItem(item, MACHINE_FIELD_ZONE);
    const cJSON *spot = cJSON_GetArrayItem(item, MACHINE_FIELD_SPOT);
    const cJSON *flags = cJSON_GetArrayItem(item, MACHINE_FIELD_FLAGS);
    if (!cJSON_IsString(id) || !machine_id_parse(&report->id, id->valuestring) ||
        !cJSON_IsString(type_name) || !cJSON_IsString(zone) || !cJSON_IsBool(spot) ||
        !cJSON_IsNumber(flags))
        return false;
    report->type_name = type_name->valuestring;
    report->zone = zone->valuestring;
    report->is_spot = cJSON_IsTrue(spot);
    report->flags = (int)flags->valuedouble;
    report->images = cJSON_GetArrayItem(item, MACHINE_FIELD_IMAGES);
    return true;
}

static void update_image_cache(struct ledger_machine *machine, const cJSON *images)
{
    const cJSON *image;
    g_ptr_array_set_size(machine->image_cache, 0);
    cJSON_ArrayForEach(image, images)
    {
        if (cJSON_IsString(image))
            image_cache_add(machine->image_cache, image->valuestring);
    }
}

/** Updates a machine's description, flags and owner, and its images if they have changed. */
static void apply_machine(struct leader *leader, const char *from, const cJSON *item)
{
    struct reported_machine report;
    if (!parse_machine(item, &report))
        return;
    struct ledger_machine *machine = quota_ledger_ensure_machine(
        leader, report.id, report.type_name, report.zone, report.is_spot);
    g_free(machine->owner_label);
    machine->owner_label = g_strdup(from);
    machine->flags = report.flags;
    machine->is_reported = true;
    if (report.images)
        update_image_cache(machine, report.images);
}

/** Takes back a dispatch that the shard could not place. */
static void apply_rejected_dispatch(struct leader *leader, const cJSON *item)
{
    job_id id;
    uint32_t index;
    attempt_no attempt;
    struct ledger_job *job = node_rpc_decode_task(item, &id, &index, &attempt)
                                 ? quota_ledger_find_job(leader, id.text)
                                 : NULL;
    if (!job)
        return;
    struct pending_dispatch *dispatch = quota_ledger_find_dispatch(job, index);
    /* Tasks of a gang may be dispatched again under the same attempt, and a repeated report must
     * not take back the later dispatch. */
    uint64_t number = 0;
    if (!dispatch || dispatch->attempt.value != attempt.value ||
        (node_rpc_get_u64(item, "n", &number) && number != dispatch->number))
        return;
    dispatch->machine->health.avoid_until =
        time_add_ms(loop_now(leader->loop), REJECTED_DISPATCH_AVOID_MS);
    quota_ledger_drop_dispatch(leader, job, index);
}

static bool is_owned_by(const struct ledger_machine *machine, const char *owner)
{
    return machine->owner_label && strcmp(machine->owner_label, owner) == 0;
}

/** The answer to a shard: its machines on which nothing more may be placed. */
static cJSON *build_answer(struct leader *leader, const char *owner)
{
    cJSON *answer = cJSON_CreateObject();
    cJSON *unhealthy = cJSON_AddArrayToObject(answer, "shut");
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner) && (machine_health_is_slow(leader, machine) ||
                                            time_before(now, machine->health.quarantined_until)))
            cJSON_AddItemToArray(unhealthy, cJSON_CreateString(machine->id.text));
    return answer;
}

/** Marks all machines of the shard as not reported, before a full report is applied. */
static void clear_reported(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner))
            machine->is_reported = false;
}

/** Drops machines that the full report omitted, unless they are in use or have a record. */
static void forget_unreported(struct leader *leader, const char *owner)
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

/** Applies the lists of a report. is_full: it lists all machines of the shard, not only changes. */
static void apply_status(struct leader *leader, const char *from, const cJSON *status, bool is_full)
{
    const cJSON *machines = cJSON_GetObjectItemCaseSensitive(status, "hosts");
    const cJSON *rejected = cJSON_GetObjectItemCaseSensitive(status, "back");
    const cJSON *outcomes = cJSON_GetObjectItemCaseSensitive(status, "news");
    const cJSON *item;
    if (is_full)
        clear_reported(leader, from);
    cJSON_ArrayForEach(item, machines) apply_machine(leader, from, item);
    cJSON_ArrayForEach(item, rejected) apply_rejected_dispatch(leader, item);
    cJSON_ArrayForEach(item, outcomes) apply_task_outcome(leader, item);
    if (is_full)
        forget_unreported(leader, from);
}

/** Whether a report of this epoch is for this leader and its present ledger. */
static bool is_current_epoch(const struct leader *leader, uint64_t epoch)
{
    return membership_is_leader(leader->membership) && leader->is_leading &&
           epoch == leader->epoch.value && epoch == leader->replica->shard_map_epoch.value;
}

/** Raises the epoch if the shard asks for it, as an agent may still receive an old command. */
static void raise_epoch_if_requested(struct leader *leader, const cJSON *status)
{
    bool is_requested = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(status, "raise"));
    if (is_requested &&
        time_ms_since(loop_now(leader->loop), leader->epoch_began_at) > MIN_EPOCH_AGE_MS)
        membership_raise_epoch(leader->membership, "a command may still be on its way");
}

int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *status, cJSON **answer)
{
    struct leader *leader = ctx;
    uint64_t epoch;
    uint64_t sequence;
    if (!node_rpc_get_u64(status, "e", &epoch) || !node_rpc_get_u64(status, "s", &sequence))
        return STATUS_MALFORMED;
    if (!is_current_epoch(leader, epoch))
        return STATUS_NEEDS_FULL_REPORT;
    struct shard_channel *channel = shard_dispatcher_channel(leader, from);
    bool is_full = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(status, "whole"));
    if (sequence <= channel->status_sequence || (!is_full && !channel->has_full_status))
        return STATUS_NEEDS_FULL_REPORT;
    channel->status_sequence = sequence;
    apply_status(leader, from, status, is_full);
    raise_epoch_if_requested(leader, status);
    *answer = build_answer(leader, from);
    channel->has_full_status = channel->has_full_status || is_full;
    leader_request_pass(leader);
    return STATUS_APPLIED;
}
