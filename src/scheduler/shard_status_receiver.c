#include "shard_status_receiver.h"

#include "autoscaler.h"
#include "image_cache.h"
#include "machine_health.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

enum {
    REJECTED_DISPATCH_AVOID_MS = 1500, /* a machine to which a task could not be given */
    MIN_EPOCH_AGE_MS = 5000,           /* the epoch is raised no sooner after it began */
};

/* How a task ended on a machine: the time it took, or the cause of its failure. */
static void apply_task_outcome(struct leader *leader, const cJSON *outcome)
{
    const char *machine_name = node_rpc_get_text(outcome, "h"),
               *job_name = node_rpc_get_text(outcome, "j");
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

/* What a digest says of a machine: an array with these fields. */
enum machine_field {
    MACHINE_FIELD_ID,
    MACHINE_FIELD_TYPE,
    MACHINE_FIELD_ZONE,
    MACHINE_FIELD_SPOT,
    MACHINE_FIELD_FLAGS,
    MACHINE_FIELD_IMAGES, /* only if they have changed */
};

/* The same, read. */
struct reported_machine {
    machine_id id;
    const char *type_name, *zone;
    bool is_spot;
    int flags;
    const cJSON *images; /* NULL: as before */
};

/* False if it is malformed. */
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

/* What a machine is, and what it has fetched if that has changed. */
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

/* A deal that its shard could not place. */
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
    /* A gang's task may be dealt again under the same attempt: an answer that is said again must
     * not take back the later deal. */
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

/* What a shard is told of its machines: those that are to get nothing more. */
static cJSON *build_answer(struct leader *leader, const char *owner)
{
    cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "shut");
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner) && (machine_health_is_slow(leader, machine) ||
                                            time_before(now, machine->health.quarantined_until)))
            cJSON_AddItemToArray(list, cJSON_CreateString(machine->id.text));
    return object;
}

/* A whole digest begins: none of the shard's machines has been told of yet. */
static void clear_reported(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (is_owned_by(machine, owner))
            machine->is_reported = false;
}

/* Machines that nobody tells of any more, and that hold nothing, are forgotten. */
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

/* Takes over what a digest lists. whole: it lists all machines of the shard, not only changes. */
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

/* Whether the digest is for this leader in its present epoch. */
static bool is_current_epoch(const struct leader *leader, uint64_t epoch)
{
    return membership_is_leader(leader->membership) && leader->is_leading &&
           epoch == leader->epoch.value && epoch == leader->replica->shard_map_epoch.value;
}

int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *status, cJSON **answer)
{
    struct leader *leader = ctx;
    uint64_t epoch, sequence;
    if (!node_rpc_get_u64(status, "e", &epoch) || !node_rpc_get_u64(status, "s", &sequence))
        return 400;
    if (!is_current_epoch(leader, epoch))
        return 409;
    struct shard_channel *channel = shard_dispatcher_channel(leader, from);
    bool is_full = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(status, "whole"));
    if (sequence <= channel->status_sequence || (!is_full && !channel->has_full_status))
        return 409; /* after which the next one is whole */
    channel->status_sequence = sequence;
    apply_status(leader, from, status, is_full);
    if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(status, "raise")) &&
        time_ms_since(loop_now(leader->loop), leader->epoch_began_at) > MIN_EPOCH_AGE_MS)
        membership_raise_epoch(leader->membership, "a command may still be on its way");
    *answer = build_answer(leader, from);
    channel->has_full_status = channel->has_full_status || is_full;
    leader_request_pass(leader);
    return 200;
}
