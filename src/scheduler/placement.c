/** Constraints, scores and free resources by which the leader chooses machines. */
#include "placement.h"

#include "image_cache.h"
#include "machine_health.h"
#include "placement_score.h"
#include "quota_ledger.h"
#include "shard.h"

bool placement_is_schedulable(struct leader *leader, struct ledger_machine *machine)
{
    const int unusable = MACHINE_UNREACHABLE | MACHINE_BEING_RECLAIMED | MACHINE_UNAVAILABLE;
    mono_time now = loop_now(leader->loop);
    if (!machine->is_reported || !(machine->flags & MACHINE_REPORTED) ||
        (machine->flags & unusable))
        return false;
    if (time_before(now, machine->health.quarantined_until) ||
        time_before(now, machine->health.avoid_until) || machine_health_is_slow(leader, machine))
        return false;
    return !cloud_provider_is_returned(leader->cloud, machine->id.text) &&
           !cloud_provider_is_scaling_in(leader->cloud, machine->id.text);
}

struct resources placement_free_resources(const struct ledger_machine *machine)
{
    struct resources free = machine->capacity;
    resources_subtract(&free, machine->usage.allocated);
    resources_subtract(&free, machine->usage.dispatched);
    resources_subtract(&free, machine->usage.reserved);
    return free;
}

struct resources placement_capacity_without_services(const struct ledger_machine *machine)
{
    return resources_remaining(machine->capacity, machine->usage.services);
}

bool placement_has_image(const struct ledger_machine *machine, const struct job_spec *spec)
{
    return image_cache_contains(machine->image_cache, spec->image);
}

/** Returns the zone of the machine, or NULL if neither the ledger nor the replica knows it. */
static const char *find_machine_zone(struct leader *leader, const char *id)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, id);
    if (machine && machine->zone[0])
        return machine->zone;
    const struct machine_record *record = replica_get_machine(leader->replica, id);
    return record && record->zone[0] ? record->zone : NULL;
}

uint32_t placement_count_tasks_in_zone(struct leader *leader, const struct ledger_job *job,
                                       const char *zone)
{
    uint32_t task_count = 0;
    GHashTableIter it;
    struct allocation *allocation;
    g_hash_table_iter_init(&it, job->allocations);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        const char *machine_zone = find_machine_zone(leader, allocation->machine);
        /* If the zone of a task is unknown, the task is counted in every zone. */
        task_count += !machine_zone || strcmp(machine_zone, zone) == 0;
    }
    struct pending_dispatch *dispatch;
    g_hash_table_iter_init(&it, job->dispatches);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&dispatch))
        task_count += strcmp(dispatch->machine->zone, zone) == 0;
    return task_count;
}

bool placement_has_zone_rule(const struct job_spec *spec)
{
    return spec->needs_single_zone || spec->needs_separate_zones;
}

void placement_count_zone_tasks(struct leader *leader, const struct ledger_job *job,
                                const struct job_spec *spec)
{
    const GPtrArray *zones = leader->settings->zones;
    if (!placement_has_zone_rule(spec))
        return;
    for (guint i = 0; i < zones->len; i++)
        leader->pass.zone_task_counts[i] =
            placement_count_tasks_in_zone(leader, job, zones->pdata[i]);
}

bool placement_is_zone_allowed(struct leader *leader, const struct ledger_job *job,
                               const struct job_spec *spec, int zone_index)
{
    if (!placement_has_zone_rule(spec))
        return true;
    if (zone_index < 0)
        return false;
    uint32_t tasks_in_zone = leader->pass.zone_task_counts[zone_index];
    uint32_t all_tasks = g_hash_table_size(job->allocations) + g_hash_table_size(job->dispatches);
    if (spec->needs_single_zone && tasks_in_zone != all_tasks)
        return false;
    /* Of a job that must be spread over zones, a single zone may hold at most half of the tasks. */
    return !spec->needs_separate_zones || tasks_in_zone < (spec->task_count + 1) / 2;
}

bool placement_is_machine_allowed(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec, const struct ledger_machine *machine)
{
    return job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot) &&
           placement_is_zone_allowed(leader, job, spec, machine->zone_index);
}

void placement_begin_pass(struct leader *leader)
{
    struct scheduling_pass *pass = &leader->pass;
    memset(pass->zone_cpus, 0, sizeof *pass->zone_cpus * leader->settings->zones->len);
    g_ptr_array_set_size(pass->schedulable_machines, 0);
    g_array_set_size(pass->unschedulable_requests, 0);
    pass->draining_gang_count = 0;
    loop_count_operations(leader->loop, g_hash_table_size(leader->ledger.machines));
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        machine->usage.reserved = (struct resources){0};
        machine->usage.is_wanted_by_gang = false;
        if (machine->is_reported && !machine->is_spot && machine->zone_index >= 0)
            pass->zone_cpus[machine->zone_index] += resources_cpus(machine->capacity);
        if (placement_is_schedulable(leader, machine))
            g_ptr_array_add(pass->schedulable_machines, machine);
    }
}

/**
 * Returns the CPUs of the zone's on-demand machines as a fraction of those of the largest zone; 1
 * if unknown.
 */
static double relative_zone_capacity(struct leader *leader, int zone_index)
{
    double largest_cpus = 0;
    for (guint i = 0; i < leader->settings->zones->len; i++)
        largest_cpus = MAX(largest_cpus, leader->pass.zone_cpus[i]);
    if (largest_cpus <= 0 || zone_index < 0)
        return 1;
    return leader->pass.zone_cpus[zone_index] / largest_cpus;
}

static double score_candidate(struct leader *leader, const struct ledger_machine *machine,
                              const struct job_spec *spec)
{
    struct resources used = machine->usage.allocated;
    resources_add(&used, machine->usage.dispatched);
    struct placement_facts facts = {
        placement_has_image(machine, spec), machine->is_spot,
        resources_dominant_share(used, machine->capacity),
        resources_dominant_share(machine->usage.services, machine->capacity),
        relative_zone_capacity(leader, machine->zone_index)};
    return placement_score(spec, &facts);
}

gint placement_compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct placement_candidate *first = a;
    const struct placement_candidate *second = b;
    if (first->score != second->score)
        return first->score > second->score ? -1 : 1;
    return strcmp(first->machine->id.text, second->machine->id.text);
}

GArray *placement_find_candidates(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec, bool needs_image)
{
    const GPtrArray *machines = leader->pass.schedulable_machines;
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct placement_candidate));
    loop_count_operations(leader->loop, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        struct ledger_machine *machine = machines->pdata[i];
        if (!resources_fit(placement_free_resources(machine), job->task_resources) ||
            !placement_is_machine_allowed(leader, job, spec, machine) ||
            (needs_image && !placement_has_image(machine, spec)))
            continue;
        struct placement_candidate candidate = {machine, score_candidate(leader, machine, spec)};
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, placement_compare_candidates);
    return candidates;
}

bool placement_is_unschedulable(struct leader *leader, const struct job_spec *spec)
{
    struct unschedulable_request request = unschedulable_request_of_job_spec(spec, "");
    return unschedulable_list_covers(leader->pass.unschedulable_requests, &request);
}

void placement_add_unschedulable(struct leader *leader, const struct job_spec *spec)
{
    struct unschedulable_request request = unschedulable_request_of_job_spec(spec, "");
    if (!placement_has_zone_rule(spec) && !spec->machine_type_names && !spec->zone)
        g_array_append_val(leader->pass.unschedulable_requests, request);
}
