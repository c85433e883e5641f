/** Stops replicas of services that could run in other zones. */
#include "service_relocation.h"

#include "log.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

enum {
    /** Replicas are not moved before this age, at which they count as started. */
    MIN_RELOCATION_AGE_MS = 35000,
    RELOCATION_BACKOFF_MS = 1000,
};

/** Returns whether a task of the service could be placed on a machine outside the zone. */
static bool can_run_in_other_zone(struct leader *leader, const struct ledger_job *service,
                                  const struct job_spec *spec, int zone_index)
{
    const GPtrArray *machines = leader->pass.schedulable_machines;
    placement_count_zone_tasks(leader, service, spec);
    loop_count_operations(leader->loop, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const struct ledger_machine *machine = machines->pdata[i];
        if (machine->zone_index != zone_index &&
            resources_fit(placement_free_resources(machine), service->task_resources) &&
            placement_is_machine_allowed(leader, service, spec, machine))
            return true;
    }
    return false;
}

/**
 * Returns the allocation of a replica that may be stopped to free resources for a task of the
 * requester on the same machine. Returns NULL if the replica may not be stopped or uses too little.
 * `service` is the replica's job, or NULL if the ledger does not contain it.
 */
static struct allocation *find_relocatable_allocation(struct leader *leader,
                                                      const struct ledger_machine *machine,
                                                      const struct run_record *run_record,
                                                      const struct ledger_job *service,
                                                      const struct ledger_job *requester)
{
    if (!service || !service->is_service || service == requester || !run_record->job->spec)
        return NULL;
    struct allocation *allocation = quota_ledger_find_allocation(service, run_record->task_index);
    if (!allocation || allocation->is_stopping ||
        time_ms_since(loop_now(leader->loop), allocation->allocated_at) < MIN_RELOCATION_AGE_MS)
        return NULL;
    struct resources free = placement_free_resources(machine);
    resources_add(&free, service->task_resources);
    return resources_fit(free, requester->task_resources) ? allocation : NULL;
}

/**
 * Stops one replica on the machine that could run in another zone. Adds services that cannot run in
 * another zone to `immovable_jobs`, a set of struct job. Returns whether a replica was stopped.
 */
static bool relocate_from_machine(struct leader *leader, const struct ledger_machine *machine,
                                  const struct ledger_job *requester, GHashTable *immovable_jobs)
{
    const struct machine_record *record = replica_get_machine(leader->replica, machine->id.text);
    for (guint i = 0; record && i < record->run_records->len; i++) {
        const struct run_record *run_record = record->run_records->pdata[i];
        loop_count_operations(leader->loop, 1);
        if (g_hash_table_contains(immovable_jobs, run_record->job))
            continue;
        const struct ledger_job *service = quota_ledger_find_job(leader, run_record->job->id.text);
        struct allocation *allocation =
            find_relocatable_allocation(leader, machine, run_record, service, requester);
        if (!allocation)
            continue;
        const struct job_spec *spec = run_record->job->spec;
        if (!can_run_in_other_zone(leader, service, spec, machine->zone_index)) {
            g_hash_table_add(immovable_jobs, run_record->job);
            continue;
        }
        LOG_INFO("service_relocated", "job=%s task=%u machine=%s preemptor=%s", service->id.text,
                 run_record->task_index, machine->id.text, requester->id.text);
        shard_dispatcher_queue_stop(leader, service, allocation, spec->checkpoint_save_s);
        return true;
    }
    return false;
}

/**
 * Stops one replica in the zone that could run in another zone. Returns whether a replica was
 * stopped.
 */
static bool relocate_from_zone(struct leader *leader, const struct ledger_job *requester,
                               const struct job_spec *spec, int zone_index)
{
    const GPtrArray *machines = leader->pass.schedulable_machines;
    GHashTable *immovable_jobs = g_hash_table_new(NULL, NULL);
    bool was_relocated = false;
    for (guint i = 0; i < machines->len && !was_relocated; i++) {
        const struct ledger_machine *machine = machines->pdata[i];
        if (machine->zone_index == zone_index && machine->usage.services.cpus.milli &&
            job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot))
            was_relocated = relocate_from_machine(leader, machine, requester, immovable_jobs);
    }
    g_hash_table_unref(immovable_jobs);
    return was_relocated;
}

void service_relocation_free_resources(struct leader *leader, struct ledger_job *job,
                                       const struct job *job_record)
{
    const struct job_spec *spec = job_record->spec;
    mono_time now = loop_now(leader->loop);
    int zone_count = (int)leader->settings->zones->len;
    for (int zone_index = 0; zone_index < zone_count; zone_index++) {
        struct relocation_backoff *backoff = &leader->relocation_backoffs[zone_index];
        /* The search in the previous zone has overwritten the counts with those of other jobs. */
        placement_count_zone_tasks(leader, job, spec);
        if (!placement_is_zone_allowed(leader, job, spec, zone_index) ||
            (time_before(now, backoff->until) &&
             resources_fit(job->task_resources, backoff->request)))
            continue;
        if (relocate_from_zone(leader, job, spec, zone_index))
            return;
        *backoff = (struct relocation_backoff){time_add_ms(now, RELOCATION_BACKOFF_MS),
                                               job->task_resources};
    }
}
