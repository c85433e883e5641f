/** Computes the pending and the free capacity of the cluster for the autoscaler. */
#include "autoscaler_capacity.h"

#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"

/**
 * How long a rented machine may take to report, in milliseconds for each second of its type's boot
 * time. After that the machine no longer counts as pending, and a replacement is rented.
 */
enum { REPORT_TIMEOUT_MS_PER_BOOT_S = 1700 };

void pending_capacity_add(GArray *pending, const char *type_name, const char *zone, bool is_spot,
                          struct resources available)
{
    struct pending_capacity capacity = {type_name, zone, is_spot, available};
    g_array_append_val(pending, capacity);
}

/** Returns whether a rented machine has not reported yet but is still expected to. */
static bool is_expected_to_report(struct leader *leader, const struct cloud_machine *rented,
                                  const struct machine_type *type)
{
    if (cloud_provider_is_scaling_in(leader->cloud, rented->id.text) ||
        rented->stage == CLOUD_MACHINE_FAILED)
        return false;
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, rented->id.text);
    if (machine && machine->is_reported && (machine->flags & MACHINE_REPORTED))
        return false;
    return time_ms_since(loop_now(leader->loop), rented->requested_at) <=
           (int64_t)(type->boot_time_s * REPORT_TIMEOUT_MS_PER_BOOT_S);
}

static void add_rented_machines(struct leader *leader, GArray *pending)
{
    GHashTableIter it;
    struct cloud_machine *rented;
    g_hash_table_iter_init(&it, cloud_provider_get_machines(leader->cloud));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rented)) {
        const struct machine_type *type =
            machine_type_find(scheduling_policy_machine_types(leader), rented->type_name);
        if (type && is_expected_to_report(leader, rented, type))
            pending_capacity_add(pending, rented->type_name, rented->zone, rented->is_spot,
                                 resources_of_machine_type(type));
    }
}

static void add_requested_machines_of_offer(struct leader *leader, GArray *pending,
                                            const struct machine_type *type, const char *zone,
                                            bool is_spot)
{
    int machine_count = cloud_provider_count_requested(leader->cloud, type->name, zone, is_spot);
    for (int i = 0; i < machine_count; i++)
        pending_capacity_add(pending, type->name, zone, is_spot, resources_of_machine_type(type));
}

static void add_requested_machines(struct leader *leader, GArray *pending)
{
    const GArray *types = scheduling_policy_machine_types(leader);
    for (guint i = 0; types && i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        for (char **zone = type->zones; *zone; zone++) {
            add_requested_machines_of_offer(leader, pending, type, *zone, false);
            add_requested_machines_of_offer(leader, pending, type, *zone, true);
        }
    }
}

GArray *pending_capacity_list(struct leader *leader)
{
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct pending_capacity));
    add_rented_machines(leader, pending);
    add_requested_machines(leader, pending);
    return pending;
}

static bool satisfies_request(const struct pending_capacity *capacity,
                              const struct capacity_request *request)
{
    return resources_fit(capacity->available, request->task_resources) &&
           job_spec_allows_machine(request->spec, capacity->type_name, capacity->zone,
                                   capacity->is_spot) &&
           (!request->zone || strcmp(request->zone, capacity->zone) == 0);
}

/**
 * Claims pending capacity on spot machines or on on-demand machines. Returns the number of tasks
 * for which there was not enough.
 */
static int64_t claim_spot_or_on_demand(GArray *pending, const struct capacity_request *request,
                                       int64_t task_count, bool is_spot)
{
    for (guint i = 0; i < pending->len && task_count > 0; i++) {
        struct pending_capacity *capacity = &g_array_index(pending, struct pending_capacity, i);
        if (capacity->is_spot != is_spot || !satisfies_request(capacity, request))
            continue;
        int64_t fitting_tasks =
            MIN(task_count, resources_fit_count(capacity->available, request->task_resources));
        resources_subtract(&capacity->available,
                           resources_of_tasks(request->task_resources, fitting_tasks));
        task_count -= fitting_tasks;
    }
    return task_count;
}

int64_t pending_capacity_claim(GArray *pending, const struct capacity_request *request,
                               int64_t task_count)
{
    /* Spot machines are used first, because services need the on-demand ones. */
    task_count = claim_spot_or_on_demand(pending, request, task_count, true);
    return claim_spot_or_on_demand(pending, request, task_count, false);
}

struct resources autoscaler_total_free_resources(struct leader *leader)
{
    struct resources sum = {0};
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (placement_is_schedulable(leader, machine))
            resources_add(&sum, placement_free_resources(machine));
    return sum;
}

double autoscaler_count_batch_cpus(struct leader *leader, const GArray *pending)
{
    double cpus = 1;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (machine->is_reported && (machine->flags & MACHINE_REPORTED))
            cpus += resources_cpus(placement_capacity_without_services(machine));
    for (guint i = 0; i < pending->len; i++)
        cpus += resources_cpus(g_array_index(pending, struct pending_capacity, i).available);
    return cpus;
}
