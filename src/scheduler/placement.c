#include "placement.h"

#include "image_cache.h"
#include "machine_health.h"
#include "placement_score.h"
#include "quota_ledger.h"
#include "shard.h"

bool placement_is_schedulable(struct leader *leader, struct ledger_machine *machine)
{
    mono_time now = loop_now(leader->loop);
    return machine->is_reported && !time_before(now, machine->health.quarantined_until) &&
           !machine_health_is_slow(leader, machine) && (machine->flags & MACHINE_KNOWN) &&
           !(machine->flags & (MACHINE_UNREACHABLE | MACHINE_RECLAIMED | MACHINE_UNAVAILABLE)) &&
           !cloud_provider_is_gone(leader->cloud, machine->id.text) &&
           !cloud_provider_is_scaling_in(leader->cloud, machine->id.text) &&
           !time_before(now, machine->health.avoid_until);
}

struct resources placement_free_resources(const struct ledger_machine *machine)
{
    return resources_remaining(
        resources_remaining(resources_remaining(machine->capacity, machine->usage.allocated),
                            machine->usage.dispatched),
        machine->usage.reserved);
}

/* The zone of the machine, or NULL if it cannot be told. */
static const char *find_machine_zone(struct leader *leader, machine_id id)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    if (machine && machine->zone[0])
        return machine->zone;
    const struct machine_record *machine_record = replica_get_machine(leader->replica, id.text);
    return machine_record && machine_record->zone[0] ? machine_record->zone : NULL;
}

uint32_t placement_count_tasks_in_zone(struct leader *leader, struct ledger_job *job,
                                       const char *zone)
{
    uint32_t task_count = 0;
    GHashTableIter it;
    struct allocation *allocation;
    struct pending_dispatch *dispatch;
    g_hash_table_iter_init(&it, job->allocations);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        const char *machine_zone = find_machine_zone(leader, allocation->machine);
        /* Where it is cannot be told: it counts everywhere. */
        task_count += !machine_zone || strcmp(machine_zone, zone) == 0;
    }
    g_hash_table_iter_init(&it, job->dispatches);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&dispatch))
        task_count += strcmp(dispatch->zone, zone) == 0;
    return task_count;
}

/* OneZone and Apart are decided here, on records and deals; the zone is part of the deal. */
static bool is_zone_bound(const struct job_spec *spec)
{
    return spec->needs_single_zone || spec->needs_separate_zones;
}

void placement_count_zone_tasks(struct leader *leader, struct ledger_job *job,
                                const struct job_spec *spec)
{
    for (guint i = 0; is_zone_bound(spec) && i < leader->settings->zones->len; i++)
        leader->pass.zone_task_counts[i] =
            placement_count_tasks_in_zone(leader, job, leader->settings->zones->pdata[i]);
}

bool placement_is_zone_allowed(struct leader *leader, struct ledger_job *job,
                               const struct job_spec *spec, int zone_index)
{
    if (!is_zone_bound(spec))
        return true;
    if (zone_index < 0)
        return false;
    uint32_t tasks_in_zone = leader->pass.zone_task_counts[zone_index];
    if (spec->needs_single_zone &&
        tasks_in_zone != g_hash_table_size(job->allocations) + g_hash_table_size(job->dispatches))
        return false;
    return !spec->needs_separate_zones || tasks_in_zone < (spec->task_count + 1) / 2;
}

bool placement_is_machine_allowed(struct leader *leader, struct ledger_job *job,
                                  const struct job_spec *spec, struct ledger_machine *machine)
{
    return job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot) &&
           placement_is_zone_allowed(leader, job, spec, machine->zone_index);
}

void placement_begin_pass(struct leader *leader)
{
    memset(leader->pass.zone_cpus, 0,
           sizeof *leader->pass.zone_cpus * leader->settings->zones->len);
    g_ptr_array_set_size(leader->pass.schedulable_machines, 0);
    g_array_set_size(leader->pass.unschedulable_requests, 0);
    leader->pass.reserving_gang_count = 0;
    loop_add_work(leader->loop, g_hash_table_size(leader->ledger.machines));
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        machine->usage.reserved = (struct resources){0};
        machine->usage.is_wanted_by_gang = false;
        if (machine->is_reported && !machine->is_spot && machine->zone_index >= 0)
            leader->pass.zone_cpus[machine->zone_index] +=
                (double)machine->capacity.cpus.milli / 1000;
        if (placement_is_schedulable(leader, machine))
            g_ptr_array_add(leader->pass.schedulable_machines, machine);
    }
}

/* The processors of a zone's ordinary machines beside those of the largest zone. */
static double relative_zone_capacity(struct leader *leader, int zone_index)
{
    double largest_cpus = 0;
    for (guint i = 0; i < leader->settings->zones->len; i++)
        largest_cpus = MAX(largest_cpus, leader->pass.zone_cpus[i]);
    return largest_cpus > 0 && zone_index >= 0 ? leader->pass.zone_cpus[zone_index] / largest_cpus
                                               : 1;
}

static double score_candidate(struct leader *leader, const struct ledger_machine *machine,
                              const struct job_spec *spec)
{
    struct resources used = machine->usage.allocated;
    resources_add(&used, machine->usage.dispatched);
    struct placement_facts facts = {
        image_cache_contains(machine->image_cache, spec->image), machine->is_spot,
        resources_dominant_share(used, machine->capacity),
        resources_dominant_share(machine->usage.services, machine->capacity),
        relative_zone_capacity(leader, machine->zone_index)};
    return placement_score(spec, &facts);
}

gint placement_compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct placement_candidate *first = a, *second = b;
    if (first->score != second->score)
        return first->score > second->score ? -1 : 1;
    return strcmp(first->machine->id.text, second->machine->id.text);
}

GArray *placement_find_candidates(struct leader *leader, struct ledger_job *job,
                                  const struct job_spec *spec, bool needs_image)
{
    loop_add_work(leader->loop, leader->pass.schedulable_machines->len);
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct placement_candidate));
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        if (!resources_fit(placement_free_resources(machine), job->task_resources) ||
            !placement_is_machine_allowed(leader, job, spec, machine) ||
            (needs_image && !image_cache_contains(machine->image_cache, spec->image)))
            continue;
        struct placement_candidate candidate = {machine, score_candidate(leader, machine, spec)};
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, placement_compare_candidates);
    return candidates;
}

bool placement_is_unschedulable(struct leader *leader, const struct job_spec *spec)
{
    struct unschedulable request = unschedulable_of_job_spec(spec, "");
    return unschedulable_list_covers(leader->pass.unschedulable_requests, &request);
}

void placement_add_unschedulable(struct leader *leader, const struct job_spec *spec)
{
    struct unschedulable request = unschedulable_of_job_spec(spec, "");
    if (!is_zone_bound(spec) && !spec->machine_type_names && !spec->zone)
        g_array_append_val(leader->pass.unschedulable_requests, request);
}
