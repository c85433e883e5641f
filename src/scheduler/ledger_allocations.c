/** The allocations of the quota ledger: tasks with run records, as each team's use counts them. */
#include "quota_ledger.h"
#include "quota_ledger_internal.h"

void quota_ledger_allocation_free(gpointer data)
{
    struct allocation *allocation = data;
    g_ref_string_release(allocation->machine);
    g_clear_pointer(&allocation->preemptor_job, g_ref_string_release);
    g_free(allocation);
}

struct allocation *quota_ledger_find_allocation(const struct ledger_job *job, uint32_t index)
{
    return g_hash_table_lookup(job->allocations, quota_ledger_task_key(index));
}

/**
 * Returns the ledger's entry for the machine, adding it from its record in the replica if it is
 * missing, or NULL if there is no such record either.
 */
static struct ledger_machine *ensure_recorded_machine(struct leader *leader, machine_id id)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    if (machine)
        return machine;
    const struct machine_record *record = replica_get_machine(leader->replica, id.text);
    if (!record)
        return NULL;
    return quota_ledger_ensure_machine(leader, id, record->machine_type_name, record->zone,
                                       record->is_spot);
}

/** Returns the number of other_allocations of the job. */
static guint count_other_allocations(const struct ledger_job *job)
{
    return job->other_allocations ? job->other_allocations->len : 0;
}

guint quota_ledger_count_allocations(const struct ledger_job *job)
{
    return g_hash_table_size(job->allocations) + count_other_allocations(job);
}

/** Returns the allocation of an attempt of a task, or NULL. */
static struct allocation *find_attempt(const struct ledger_job *job, uint32_t index,
                                       attempt_no attempt)
{
    struct allocation *allocation = quota_ledger_find_allocation(job, index);
    if (allocation && allocation->attempt.value == attempt.value)
        return allocation;
    for (guint i = 0; i < count_other_allocations(job); i++) {
        allocation = job->other_allocations->pdata[i];
        if (allocation->index == index && allocation->attempt.value == attempt.value)
            return allocation;
    }
    return NULL;
}

/** Stores an allocation: as that of its task or, if the task has one, as a further one. */
static void insert_allocation(struct ledger_job *job, struct allocation *allocation)
{
    if (!quota_ledger_find_allocation(job, allocation->index)) {
        g_hash_table_insert(job->allocations, quota_ledger_task_key(allocation->index), allocation);
        return;
    }
    if (!job->other_allocations)
        job->other_allocations = g_ptr_array_new_with_free_func(quota_ledger_allocation_free);
    g_ptr_array_add(job->other_allocations, allocation);
}

/** Makes a further allocation of the task, if there is one, that of the task. */
static void promote_other_allocation(struct ledger_job *job, uint32_t index)
{
    for (guint i = 0; i < count_other_allocations(job); i++) {
        struct allocation *allocation = job->other_allocations->pdata[i];
        if (allocation->index != index)
            continue;
        g_hash_table_insert(job->allocations, quota_ledger_task_key(index),
                            g_ptr_array_steal_index_fast(job->other_allocations, i));
        return;
    }
}

/** Frees an allocation of the job. */
static void delete_allocation(struct ledger_job *job, struct allocation *allocation)
{
    uint32_t index = allocation->index;
    if (quota_ledger_find_allocation(job, index) != allocation) {
        g_ptr_array_remove_fast(job->other_allocations, allocation);
        return;
    }
    g_hash_table_remove(job->allocations, quota_ledger_task_key(index));
    promote_other_allocation(job, index);
}

void quota_ledger_add_allocation(struct leader *leader, job_id id, uint32_t index,
                                 attempt_no attempt, machine_id allocated_machine)
{
    struct ledger_job *job = quota_ledger_ensure_job(leader, id);
    if (!job || find_attempt(job, index, attempt))
        return;
    const struct pending_dispatch *dispatch = quota_ledger_find_dispatch(job, index);
    if (dispatch && dispatch->attempt.value == attempt.value)
        quota_ledger_remove_dispatch(leader, job, index);
    struct allocation *allocation = g_new(struct allocation, 1);
    *allocation = (struct allocation){.index = index,
                                      .attempt = attempt,
                                      .machine = g_ref_string_new_intern(allocated_machine.text),
                                      .allocated_at = loop_now(leader->loop)};
    insert_allocation(job, allocation);
    resources_add(&quota_ledger_get_team(leader, job)->used, job->task_resources);
    leader->ledger.allocated_by_priority[job->priority]++;
    struct ledger_machine *machine = ensure_recorded_machine(leader, allocated_machine);
    if (!machine)
        return;
    resources_add(&machine->usage.allocated, job->task_resources);
    if (job->is_service)
        resources_add(&machine->usage.services, job->task_resources);
}

/** Releases the resources of the allocated task on its machine. */
static void release_machine_resources(struct leader *leader, const struct ledger_job *job,
                                      const struct allocation *allocation)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, allocation->machine);
    if (!machine)
        return;
    resources_subtract(&machine->usage.allocated, job->task_resources);
    if (job->is_service)
        resources_subtract(&machine->usage.services, job->task_resources);
    machine->idle_since = loop_now(leader->loop);
}

/** Releases the resources of the allocated task in the account of its team. */
static void release_quota(struct leader *leader, const struct ledger_job *job,
                          const struct allocation *allocation)
{
    struct ledger_team *team = quota_ledger_get_team(leader, job);
    resources_subtract(&team->used, job->task_resources);
    if (allocation->is_stopping)
        resources_subtract(&team->stopping, job->task_resources);
    leader->ledger.allocated_by_priority[job->priority]--;
}

void quota_ledger_remove_allocation(struct leader *leader, job_id id, uint32_t index,
                                    attempt_no attempt)
{
    struct ledger_job *job = quota_ledger_find_job(leader, id.text);
    struct allocation *allocation = job ? find_attempt(job, index, attempt) : NULL;
    if (!allocation)
        return;
    job->gang.has_lost_task = true;
    release_machine_resources(leader, job, allocation);
    release_quota(leader, job, allocation);
    struct ledger_job *preemptor =
        allocation->preemptor_job ? quota_ledger_find_job(leader, allocation->preemptor_job) : NULL;
    if (preemptor)
        preemptor->preemption.pending_victim_count--;
    delete_allocation(job, allocation);
    job->first_waiting_index = MIN(job->first_waiting_index, index);
}

void quota_ledger_set_preemptor(struct allocation *allocation, const struct ledger_job *preemptor)
{
    g_clear_pointer(&allocation->preemptor_job, g_ref_string_release);
    allocation->preemptor_job = g_ref_string_new_intern(preemptor->id.text);
}
