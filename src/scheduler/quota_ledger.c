#include "quota_ledger.h"

#include "image_cache.h"
#include "log.h"
#include "scheduling_policy.h"
#include "shard_dispatcher.h"

/* Of an attempt number: the low bits count, those above are the epoch. */
enum { ATTEMPT_BITS = 20 };

static void ledger_job_free(gpointer q)
{
    struct ledger_job *job = q;
    g_hash_table_unref(job->allocations);
    g_hash_table_unref(job->dispatches);
    if (job->failures.machines)
        g_hash_table_unref(job->failures.machines);
    g_free(job);
}

static void ledger_machine_free(gpointer q)
{
    struct ledger_machine *machine = q;
    g_free(machine->owner_label);
    g_ptr_array_unref(machine->image_cache);
    if (machine->health.failed_jobs)
        g_hash_table_unref(machine->health.failed_jobs);
    g_free(machine);
}

void quota_ledger_init(struct leader *leader)
{
    leader->ledger.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_job_free);
    leader->ledger.machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_machine_free);
}

struct ledger_job *quota_ledger_find_job(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->ledger.jobs, id);
}

struct ledger_job *quota_ledger_ensure_job(struct leader *leader, job_id id)
{
    struct ledger_job *job = quota_ledger_find_job(leader, id.text);
    if (job)
        return job;
    struct job *job_record = replica_get_job(leader->replica, id.text);
    int team = job_record && job_record->spec
                   ? settings_find_team(leader->settings, job_record->spec->team_name)
                   : -1;
    if (team < 0)
        return NULL;
    job = g_new0(struct ledger_job, 1);
    job->id = id;
    job->team_index = team;
    job->task_resources = resources_of_job_spec(job_record->spec);
    job->is_service = job_record->spec->form == FORM_SERVICE;
    job->priority = (enum job_priority)job_record->inherited_priority;
    job->patience_s = scheduling_policy_patience_s(leader, job_record);
    job->allocations = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    job->dispatches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_hash_table_insert(leader->ledger.jobs, job->id.text, job);
    return job;
}

void quota_ledger_update_inherited(struct leader *leader, struct ledger_job *job,
                                   const struct job *job_record)
{
    if (!job)
        return;
    int allocation_count = (int)g_hash_table_size(job->allocations);
    leader->ledger.allocated_by_priority[job->priority] -= allocation_count;
    job->priority = (enum job_priority)job_record->inherited_priority;
    leader->ledger.allocated_by_priority[job->priority] += allocation_count;
    job->patience_s = scheduling_policy_patience_s(leader, job_record);
}

gpointer quota_ledger_task_key(uint32_t index)
{
    return GUINT_TO_POINTER(index + 1);
}

struct ledger_machine *quota_ledger_find_machine(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->ledger.machines, id);
}

struct ledger_machine *quota_ledger_ensure_machine(struct leader *leader, machine_id id,
                                                   const char *type_name, const char *zone,
                                                   bool spot)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    if (!machine) {
        machine = g_new0(struct ledger_machine, 1);
        machine->id = id;
        machine->idle_since = loop_now(leader->loop);
        machine->image_cache = image_cache_new();
        g_hash_table_insert(leader->ledger.machines, machine->id.text, machine);
    }
    guint zone_index;
    bool is_known_zone =
        g_ptr_array_find_with_equal_func(leader->settings->zones, zone, g_str_equal, &zone_index);
    machine->zone_index = is_known_zone ? (int)zone_index : -1;
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->is_spot = spot;
    const struct machine_type *type = machine_type_find(leader->replica->machine_types, type_name);
    if (type)
        machine->capacity = resources_of_machine_type(type);
    return machine;
}

void quota_ledger_drop_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index)
{
    struct pending_dispatch *dispatch =
        g_hash_table_lookup(job->dispatches, quota_ledger_task_key(index));
    if (!dispatch)
        return;
    if (dispatch->machine)
        resources_subtract(&dispatch->machine->usage.dispatched, job->task_resources);
    resources_subtract(&leader->ledger.teams[job->team_index].used, job->task_resources);
    g_hash_table_remove(job->dispatches, quota_ledger_task_key(index));
    job->first_waiting_index = MIN(job->first_waiting_index, index);
}

void quota_ledger_add_allocation(struct leader *leader, job_id id, uint32_t index,
                                 attempt_no attempt, machine_id location)
{
    struct ledger_job *job = quota_ledger_ensure_job(leader, id);
    if (!job || g_hash_table_contains(job->allocations, quota_ledger_task_key(index)))
        return;
    struct pending_dispatch *dispatch =
        g_hash_table_lookup(job->dispatches, quota_ledger_task_key(index));
    if (dispatch && dispatch->attempt.value == attempt.value)
        quota_ledger_drop_dispatch(leader, job, index);
    struct allocation *allocation = g_new(struct allocation, 1);
    *allocation = (struct allocation){
        .attempt = attempt, .machine = location, .allocated_at = loop_now(leader->loop)};
    g_hash_table_insert(job->allocations, quota_ledger_task_key(index), allocation);
    resources_add(&leader->ledger.teams[job->team_index].used, job->task_resources);
    leader->ledger.allocated_by_priority[job->priority]++;
    struct machine_record *machine_record = replica_get_machine(leader->replica, location.text);
    struct ledger_machine *machine = quota_ledger_find_machine(leader, location.text);
    if (!machine && machine_record)
        machine = quota_ledger_ensure_machine(leader, location, machine_record->machine_type_name,
                                              machine_record->zone, machine_record->is_spot);
    if (machine)
        resources_add(&machine->usage.allocated, job->task_resources);
    if (machine && job->is_service)
        resources_add(&machine->usage.services, job->task_resources);
}

void quota_ledger_remove_allocation(struct leader *leader, job_id id, uint32_t index,
                                    attempt_no attempt)
{
    struct ledger_job *job = quota_ledger_find_job(leader, id.text);
    struct allocation *allocation =
        job ? g_hash_table_lookup(job->allocations, quota_ledger_task_key(index)) : NULL;
    if (!allocation || allocation->attempt.value != attempt.value)
        return;
    struct ledger_machine *machine = quota_ledger_find_machine(leader, allocation->machine.text);
    job->gang.has_lost_task = true;
    if (machine) {
        resources_subtract(&machine->usage.allocated, job->task_resources);
        if (job->is_service)
            resources_subtract(&machine->usage.services, job->task_resources);
        machine->idle_since = loop_now(leader->loop);
    }
    resources_subtract(&leader->ledger.teams[job->team_index].used, job->task_resources);
    leader->ledger.allocated_by_priority[job->priority]--;
    if (allocation->is_stopping)
        resources_subtract(&leader->ledger.teams[job->team_index].stopping, job->task_resources);
    struct ledger_job *preemptor =
        allocation->preemptor_job.text[0]
            ? quota_ledger_find_job(leader, allocation->preemptor_job.text)
            : NULL;
    if (preemptor)
        preemptor->preemption.pending_count--;
    g_hash_table_remove(job->allocations, quota_ledger_task_key(index));
    job->first_waiting_index = MIN(job->first_waiting_index, index);
}

/* Nothing is booked on machines, and nothing used by teams; whose machines they are is not known.
 */
static void reset_counts(struct leader *leader)
{
    memset(leader->ledger.allocated_by_priority, 0, sizeof leader->ledger.allocated_by_priority);
    for (int i = 0; i < leader->ledger.team_count; i++)
        leader->ledger.teams[i].used = leader->ledger.teams[i].stopping = (struct resources){0};
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        machine->usage.allocated = machine->usage.dispatched = machine->usage.services =
            (struct resources){0};
        machine->is_reported = false;
        machine->flags = 0;
    }
}

/* One shard for each node on the map, of which nothing is known yet. */
static void reset_shard_channels(struct leader *leader)
{
    g_hash_table_remove_all(leader->shard_channels);
    for (guint i = 0; i < leader->replica->shard_map->len; i++)
        shard_dispatcher_channel(
            leader, g_array_index(leader->replica->shard_map, struct shard_map_entry, i).label);
}

/* Takes a machine from the view, and what is on record there. */
static void load_machine_record(struct leader *leader, const struct machine_record *machine_record)
{
    struct ledger_machine *machine =
        quota_ledger_ensure_machine(leader, machine_record->id, machine_record->machine_type_name,
                                    machine_record->zone, machine_record->is_spot);
    for (guint i = 0; i < machine_record->cached_images->len && !machine->is_reported; i++)
        image_cache_add(machine->image_cache, machine_record->cached_images->pdata[i]);
    for (guint i = 0; i < machine_record->run_records->len; i++) {
        struct run_record *run_record = machine_record->run_records->pdata[i];
        quota_ledger_add_allocation(leader, run_record->job->id, run_record->task_index,
                                    run_record->attempt, machine_record->id);
    }
}

/* Takes a job from the view. What was learnt of it stays; old: the jobs of the last epoch. */
static void load_job_record(struct leader *leader, const struct job *job_record,
                            GHashTable *previous_jobs)
{
    if (!job_record->is_known || (job_record->state != JOB_ACTIVE && !job_record->spec))
        return;
    struct ledger_job *job = quota_ledger_ensure_job(leader, job_record->id);
    struct ledger_job *previous = g_hash_table_lookup(previous_jobs, job_record->id.text);
    if (!job || !previous)
        return;
    job->failures.count = previous->failures.count;
    job->failures.retry_at = previous->failures.retry_at;
    job->failures.machines = g_steal_pointer(&previous->failures.machines);
}

void quota_ledger_rebuild(struct leader *leader)
{
    leader->epoch = leader->replica->shard_map_epoch;
    leader->epoch_began_at = loop_now(leader->loop);
    leader->generation++;
    leader->ledger.attempts_issued = 0;
    GHashTable *previous_jobs = leader->ledger.jobs;
    leader->ledger.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_job_free);
    reset_counts(leader);
    reset_shard_channels(leader);
    GHashTableIter it;
    struct machine_record *machine_record;
    g_hash_table_iter_init(&it, leader->replica->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine_record))
        load_machine_record(leader, machine_record);
    struct job *job_record;
    g_hash_table_iter_init(&it, leader->replica->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job_record))
        load_job_record(leader, job_record, previous_jobs);
    g_hash_table_unref(previous_jobs);
    LOG_INFO("leading", "jobs=%u machines=%u", g_hash_table_size(leader->ledger.jobs),
             g_hash_table_size(leader->ledger.machines));
}

attempt_no quota_ledger_next_attempt(struct leader *leader)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++leader->ledger.attempts_issued >> ATTEMPT_BITS)
        membership_raise_epoch(leader->membership, "attempts used up");
    return (attempt_no){leader->epoch.value << ATTEMPT_BITS |
                        (leader->ledger.attempts_issued & ((1 << ATTEMPT_BITS) - 1))};
}

void quota_ledger_add_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                               attempt_no attempt, struct ledger_machine *machine)
{
    struct pending_dispatch *dispatch = g_new0(struct pending_dispatch, 1);
    dispatch->attempt = attempt;
    dispatch->machine = machine;
    dispatch->number = ++leader->ledger.dispatches_issued;
    dispatch->dispatched_at = loop_now(leader->loop);
    g_strlcpy(dispatch->zone, machine->zone, sizeof dispatch->zone);
    g_hash_table_insert(job->dispatches, quota_ledger_task_key(index), dispatch);
    resources_add(&machine->usage.dispatched, job->task_resources);
    resources_add(&leader->ledger.teams[job->team_index].used, job->task_resources);
}

bool quota_ledger_is_task_waiting(const struct ledger_job *job, const struct job *job_record,
                                  uint32_t index)
{
    return !job_is_task_completed(job_record, index) && !job_get_run_record(job_record, index) &&
           !g_hash_table_contains(job->allocations, quota_ledger_task_key(index)) &&
           !g_hash_table_contains(job->dispatches, quota_ledger_task_key(index));
}

uint32_t quota_ledger_next_waiting_task(struct ledger_job *job, const struct job *job_record)
{
    while (job->first_waiting_index < job_record->task_count &&
           !quota_ledger_is_task_waiting(job, job_record, job->first_waiting_index))
        job->first_waiting_index++;
    return job->first_waiting_index;
}

uint32_t quota_ledger_count_waiting_tasks(struct ledger_job *job, const struct job *job_record)
{
    uint32_t accounted_tasks = g_hash_table_size(job->allocations) +
                               g_hash_table_size(job->dispatches) + job_record->completed_count;
    return accounted_tasks >= job_record->task_count ? 0 : job_record->task_count - accounted_tasks;
}

bool quota_ledger_is_within_limits(struct resources used, struct resources more, amount cpus,
                                   amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

struct resources quota_ledger_remaining_limit(const struct ledger_team *team)
{
    return resources_remaining(
        (struct resources){team->quota->cpus_max, team->quota->gpus_max, {INT64_MAX / 4}},
        team->used);
}

int64_t quota_ledger_count_allowed_tasks(struct leader *leader, struct ledger_job *job,
                                         struct job *job_record)
{
    struct resources remaining =
        quota_ledger_remaining_limit(&leader->ledger.teams[job->team_index]);
    return MIN((int64_t)quota_ledger_count_waiting_tasks(job, job_record),
               resources_fit_count(remaining, job->task_resources));
}
