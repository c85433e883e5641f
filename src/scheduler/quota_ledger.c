/**
 * Incremental updates of the accounts of jobs, machines and teams. Allocations are in
 * ledger_allocations.c; the ledger as a whole is rebuilt in quota_ledger_rebuild.c.
 */
#include "quota_ledger.h"

#include "image_cache.h"
#include "invariant.h"
#include "quota_ledger_internal.h"
#include "scheduling_policy.h"

enum {
    /**
     * Number of low bits of an attempt number that count attempts within an epoch. The high bits
     * are the epoch.
     */
    ATTEMPT_BITS = 20,
};

gpointer quota_ledger_task_key(uint32_t index)
{
    return GUINT_TO_POINTER(index + 1);
}

uint32_t quota_ledger_task_index(gconstpointer key)
{
    return GPOINTER_TO_UINT(key) - 1;
}

static void ledger_job_free(gpointer data)
{
    struct ledger_job *job = data;
    g_hash_table_unref(job->allocations);
    g_hash_table_unref(job->dispatches);
    g_clear_pointer(&job->other_allocations, g_ptr_array_unref);
    if (job->failures.failed_machines)
        g_hash_table_unref(job->failures.failed_machines);
    g_free(job);
}

static void ledger_machine_free(gpointer data)
{
    struct ledger_machine *machine = data;
    g_free(machine->owner_label);
    g_ptr_array_unref(machine->image_cache);
    if (machine->health.failed_jobs)
        g_hash_table_unref(machine->health.failed_jobs);
    g_free(machine);
}

GHashTable *quota_ledger_new_job_table(void)
{
    /* The keys are stored in the jobs, so that they need not be freed. */
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_job_free);
}

void quota_ledger_init(struct leader *leader)
{
    struct quota_ledger *ledger = &leader->ledger;
    ledger->jobs = quota_ledger_new_job_table();
    ledger->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ledger_machine_free);
    ledger->team_count = (int)leader->settings->teams->len;
    ledger->teams = g_new0(struct ledger_team, ledger->team_count);
    for (int i = 0; i < ledger->team_count; i++) {
        ledger->teams[i].quota = &g_array_index(leader->settings->teams, struct team, i);
        ledger->teams[i].ready_jobs = g_ptr_array_new();
    }
}

void quota_ledger_clear(struct leader *leader)
{
    struct quota_ledger *ledger = &leader->ledger;
    g_hash_table_unref(ledger->jobs);
    g_hash_table_unref(ledger->machines);
    for (int i = 0; i < ledger->team_count; i++)
        g_ptr_array_unref(ledger->teams[i].ready_jobs);
    g_free(ledger->teams);
}

struct ledger_job *quota_ledger_find_job(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->ledger.jobs, id);
}

/** Returns a new ledger entry for the job, with no allocations and no dispatches. */
static struct ledger_job *new_ledger_job(struct leader *leader, const struct job *job_record,
                                         int team_index)
{
    struct ledger_job *job = g_new0(struct ledger_job, 1);
    job->id = job_record->id;
    job->team_index = team_index;
    job->task_resources = resources_of_job_spec(job_record->spec);
    job->is_service = job_record->spec->form == FORM_SERVICE;
    job->priority = (enum job_priority)job_record->inherited_priority;
    job->patience_s = scheduling_policy_patience_s(leader, job_record);
    job->allocations = g_hash_table_new_full(NULL, NULL, NULL, quota_ledger_allocation_free);
    job->dispatches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return job;
}

struct ledger_job *quota_ledger_ensure_job(struct leader *leader, job_id id)
{
    struct ledger_job *job = quota_ledger_find_job(leader, id.text);
    if (job)
        return job;
    const struct job *job_record = replica_get_job(leader->replica, id.text);
    if (!job_record || !job_record->spec)
        return NULL;
    int team_index = settings_find_team(leader->settings, job_record->spec->team_name);
    if (team_index < 0)
        return NULL;
    job = new_ledger_job(leader, job_record, team_index);
    g_hash_table_insert(leader->ledger.jobs, job->id.text, job);
    return job;
}

void quota_ledger_remove_job(struct leader *leader, job_id id)
{
    g_hash_table_remove(leader->ledger.jobs, id.text);
}

struct ledger_team *quota_ledger_get_team(struct leader *leader, const struct ledger_job *job)
{
    return &leader->ledger.teams[job->team_index];
}

void quota_ledger_update_priority(struct leader *leader, struct ledger_job *job,
                                  const struct job *job_record)
{
    if (!job)
        return;
    int allocation_count = (int)quota_ledger_count_allocations(job);
    leader->ledger.allocated_by_priority[job->priority] -= allocation_count;
    job->priority = (enum job_priority)job_record->inherited_priority;
    leader->ledger.allocated_by_priority[job->priority] += allocation_count;
    job->patience_s = scheduling_policy_patience_s(leader, job_record);
}

struct ledger_machine *quota_ledger_find_machine(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->ledger.machines, id);
}

/** Returns the index of the zone in the settings, or -1 if the zone is not configured. */
static int find_zone_index(const struct leader *leader, const char *zone)
{
    guint index;
    bool is_found =
        g_ptr_array_find_with_equal_func(leader->settings->zones, zone, g_str_equal, &index);
    return is_found ? (int)index : -1;
}

struct ledger_machine *quota_ledger_ensure_machine(struct leader *leader, machine_id id,
                                                   const char *type_name, const char *zone,
                                                   bool is_spot)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    if (!machine) {
        machine = g_new0(struct ledger_machine, 1);
        machine->id = id;
        machine->idle_since = loop_now(leader->loop);
        machine->image_cache = image_cache_new();
        g_hash_table_insert(leader->ledger.machines, machine->id.text, machine);
    }
    machine->zone_index = find_zone_index(leader, zone);
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->is_spot = is_spot;
    const struct machine_type *type = machine_type_find(leader->replica->machine_types, type_name);
    if (type)
        machine->capacity = resources_of_machine_type(type);
    return machine;
}

struct pending_dispatch *quota_ledger_find_dispatch(const struct ledger_job *job, uint32_t index)
{
    return g_hash_table_lookup(job->dispatches, quota_ledger_task_key(index));
}

attempt_no quota_ledger_next_attempt(struct leader *leader)
{
    /* As the number contains the epoch, it is unique without a record of the numbers used
     * before. */
    if (++leader->ledger.attempts_issued >> ATTEMPT_BITS)
        membership_raise_epoch(leader->membership, "attempt numbers exhausted");
    return (attempt_no){leader->epoch.value << ATTEMPT_BITS |
                        (leader->ledger.attempts_issued & ((1 << ATTEMPT_BITS) - 1))};
}

static void log_dispatch(struct leader *leader, const struct ledger_job *job, uint32_t index,
                         const struct pending_dispatch *dispatch)
{
    const struct ledger_team *team = quota_ledger_get_team(leader, job);
    struct decision_basis basis = replica_get_decision_basis(leader->replica, leader->epoch.value);
    decision_log_record(DECISION_DISPATCH, &basis,
                        "job=%s task=%u attempt=%" G_GUINT64_FORMAT
                        " machine=%s used_milli_cpus=%" G_GINT64_FORMAT
                        " limit_milli_cpus=%" G_GINT64_FORMAT,
                        job->id.text, index, dispatch->attempt.value, dispatch->machine->id.text,
                        team->used.cpus.milli, team->quota->cpus_max.milli);
}

bool quota_ledger_try_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                               attempt_no attempt, struct ledger_machine *machine)
{
    const struct ledger_team *team = quota_ledger_get_team(leader, job);
    if (!invariant_check(INVARIANT_TEAM_LIMIT,
                         quota_ledger_is_within_limit(team, job->task_resources),
                         "team=%s job=%s task=%u used_milli_cpus=%" G_GINT64_FORMAT,
                         team->quota->name, job->id.text, index, team->used.cpus.milli))
        return false;
    struct pending_dispatch *dispatch = g_new0(struct pending_dispatch, 1);
    dispatch->attempt = attempt;
    dispatch->machine = machine;
    dispatch->number = ++leader->ledger.dispatches_issued;
    dispatch->dispatched_at = loop_now(leader->loop);
    g_hash_table_insert(job->dispatches, quota_ledger_task_key(index), dispatch);
    resources_add(&machine->usage.dispatched, job->task_resources);
    resources_add(&quota_ledger_get_team(leader, job)->used, job->task_resources);
    log_dispatch(leader, job, index, dispatch);
    return true;
}

void quota_ledger_remove_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index)
{
    struct pending_dispatch *dispatch = quota_ledger_find_dispatch(job, index);
    if (!dispatch)
        return;
    resources_subtract(&dispatch->machine->usage.dispatched, job->task_resources);
    resources_subtract(&quota_ledger_get_team(leader, job)->used, job->task_resources);
    g_hash_table_remove(job->dispatches, quota_ledger_task_key(index));
    job->first_waiting_index = MIN(job->first_waiting_index, index);
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

uint32_t quota_ledger_count_waiting_tasks(const struct ledger_job *job,
                                          const struct job *job_record)
{
    uint32_t accounted_tasks = g_hash_table_size(job->allocations) +
                               g_hash_table_size(job->dispatches) + job_record->completed_count;
    /* A task may briefly count twice, as completed and as still allocated. */
    return accounted_tasks >= job_record->task_count ? 0 : job_record->task_count - accounted_tasks;
}

int64_t quota_ledger_count_allowed_tasks(struct leader *leader, const struct ledger_job *job,
                                         const struct job *job_record)
{
    struct resources remaining = quota_ledger_remaining_limit(quota_ledger_get_team(leader, job));
    return MIN((int64_t)quota_ledger_count_waiting_tasks(job, job_record),
               resources_fit_count(remaining, job->task_resources));
}

struct resources quota_ledger_quota_request(const struct ledger_job *job, int64_t task_count)
{
    return (struct resources){{job->task_resources.cpus.milli * task_count},
                              {job->task_resources.gpus.milli * task_count},
                              {0},
                              0};
}

static bool is_total_within(struct resources used, struct resources additional, amount cpus,
                            amount gpus)
{
    return used.cpus.milli + additional.cpus.milli <= cpus.milli &&
           used.gpus.milli + additional.gpus.milli <= gpus.milli;
}

bool quota_ledger_is_within_guarantee(const struct ledger_team *team, struct resources additional)
{
    return is_total_within(team->used, additional, team->quota->cpus, team->quota->gpus);
}

bool quota_ledger_is_within_limit(const struct ledger_team *team, struct resources additional)
{
    return is_total_within(team->used, additional, team->quota->cpus_max, team->quota->gpus_max);
}

struct resources quota_ledger_remaining_limit(const struct ledger_team *team)
{
    const amount unlimited = {INT64_MAX / 4};
    struct resources limit = {team->quota->cpus_max, team->quota->gpus_max, unlimited,
                              unlimited.milli};
    return resources_remaining(limit, team->used);
}
