/** Rebuilds the quota ledger from the replica, for a new epoch or a new leader. */
#include "image_cache.h"
#include "log.h"
#include "quota_ledger.h"
#include "quota_ledger_internal.h"
#include "shard_dispatcher.h"

/**
 * Resets the resource usage of all teams and machines, and which machines were reported by their
 * shards.
 */
static void reset_usage(struct leader *leader)
{
    const struct resources none = {0};
    memset(leader->ledger.allocated_by_priority, 0, sizeof leader->ledger.allocated_by_priority);
    for (int i = 0; i < leader->ledger.team_count; i++)
        leader->ledger.teams[i].used = leader->ledger.teams[i].stopping = none;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        machine->usage.allocated = machine->usage.dispatched = machine->usage.services = none;
        machine->is_reported = false;
        machine->flags = 0;
    }
}

/** Adds a machine record of the replica and its run records to the ledger. */
static void load_machine_record(struct leader *leader, const struct machine_record *record)
{
    struct ledger_machine *machine = quota_ledger_ensure_machine(
        leader, record->id, record->machine_type_name, record->zone, record->is_spot);
    for (guint i = 0; i < record->cached_images->len && !machine->is_reported; i++)
        image_cache_add(machine->image_cache, record->cached_images->pdata[i]);
    for (guint i = 0; i < record->run_records->len; i++) {
        struct run_record *run_record = record->run_records->pdata[i];
        quota_ledger_add_allocation(leader, run_record->job->id, run_record->task_index,
                                    run_record->attempt, record->id);
    }
}

/**
 * Adds a job of the replica to the ledger. Its failure history is taken over from previous_jobs,
 * the jobs of the ledger before the rebuild.
 */
static void load_job_record(struct leader *leader, const struct job *job_record,
                            GHashTable *previous_jobs)
{
    if (!job_record->is_loaded || (job_record->state != JOB_ACTIVE && !job_record->spec))
        return;
    struct ledger_job *job = quota_ledger_ensure_job(leader, job_record->id);
    struct ledger_job *previous = g_hash_table_lookup(previous_jobs, job_record->id.text);
    if (!job || !previous)
        return;
    job->failures.count = previous->failures.count;
    job->failures.retry_at = previous->failures.retry_at;
    job->failures.failed_machines = g_steal_pointer(&previous->failures.failed_machines);
}

/** Drops the tasks of the jobs of the ledger before the rebuild, whose memory the new ones need. */
static void drop_tasks(GHashTable *previous_jobs)
{
    GHashTableIter it;
    struct ledger_job *job;
    g_hash_table_iter_init(&it, previous_jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        g_hash_table_remove_all(job->allocations);
        g_hash_table_remove_all(job->dispatches);
    }
}

static guint count_allocations(const struct leader *leader)
{
    guint count = 0;
    GHashTableIter it;
    const struct ledger_job *job;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job))
        count += quota_ledger_count_allocations(job);
    return count;
}

void quota_ledger_rebuild(struct leader *leader)
{
    leader->epoch = leader->replica->shard_map_epoch;
    leader->epoch_began_at = loop_now(leader->loop);
    leader->generation++;
    leader->ledger.attempts_issued = 0;
    leader->ledger.is_outdated = false;
    GHashTable *previous_jobs = leader->ledger.jobs;
    leader->ledger.jobs = quota_ledger_new_job_table();
    drop_tasks(previous_jobs);
    reset_usage(leader);
    shard_dispatcher_reset(leader);
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
    const struct replica *replica = leader->replica;
    LOG_INFO("leadership_acquired",
             "jobs=%u machines=%u allocations=%u map_revision=%" G_GUINT64_FORMAT
             " revision=%" G_GUINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
             g_hash_table_size(leader->ledger.jobs), g_hash_table_size(leader->ledger.machines),
             count_allocations(leader), replica->shard_map_mod_revision.value,
             replica->applied_revision.value,
             time_ms_since(loop_now(leader->loop), replica->fresh_at));
}
