#include "autoscaler_scale_out.h"

#include "job_queue.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"

#include <math.h>

enum {
    RATE_SLOTS = 8,
    RATE_SLOT_MS = 30000,
    MAX_ORDERED_MACHINES = 200, /* machines at a time */
    MIN_SILENT_MACHINES = 3,    /* machines: fewer may fail by themselves */
    SILENT_ZONE_MS = 30000,     /* after the last sign of it */
};

struct machine_offer {
    const struct machine_type *type;
    const char *zone;
    bool is_spot;
    int machine_count;
};

static void add_pending_capacity(GArray *pending, const char *type_name, const char *zone,
                                 bool spot, struct resources available)
{
    struct pending_capacity capacity = {type_name, zone, spot, available};
    g_array_append_val(pending, capacity);
}

void autoscaler_list_pending_capacity(struct leader *leader, GArray *pending)
{
    GHashTableIter it;
    struct cloud_machine *rental;
    mono_time now = loop_now(leader->loop);
    g_hash_table_iter_init(&it, cloud_provider_get_machines(leader->cloud));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rental)) {
        struct ledger_machine *machine = quota_ledger_find_machine(leader, rental->id.text);
        const struct machine_type *type =
            machine_type_find(scheduling_policy_machine_types(leader), rental->type_name);
        if (cloud_provider_is_scaling_in(leader->cloud, rental->id.text) ||
            rental->stage == CLOUD_MACHINE_FAILED || !type ||
            (machine && machine->is_reported && (machine->flags & MACHINE_KNOWN)))
            continue;
        if (time_ms_since(now, rental->requested_at) > (int64_t)(type->boot_time_s * 1700))
            continue;
        add_pending_capacity(pending, rental->type_name, rental->zone, rental->is_spot,
                             resources_of_machine_type(type));
    }
    for (guint i = 0; i < scheduling_policy_machine_types(leader)->len; i++) {
        const struct machine_type *type =
            &g_array_index(scheduling_policy_machine_types(leader), struct machine_type, i);
        for (int zone_index = 0; type->zones[zone_index]; zone_index++)
            for (int spot = 0; spot < 2; spot++)
                for (int remaining = cloud_provider_count_requested(leader->cloud, type->name,
                                                                    type->zones[zone_index], spot);
                     remaining > 0; remaining--)
                    add_pending_capacity(pending, type->name, type->zones[zone_index], spot,
                                         resources_of_machine_type(type));
    }
}

/* Takes room that is on its way for so many tasks; tells how many found none. */
static int64_t claim_pending_capacity(GArray *pending, const struct job_spec *spec,
                                      struct resources request, const char *zone,
                                      int64_t task_count)
{
    /* Cheap ones first where they will do: services need the others. */
    for (int spot = 1; spot >= 0; spot--)
        for (guint i = 0; i < pending->len && task_count > 0; i++) {
            struct pending_capacity *capacity = &g_array_index(pending, struct pending_capacity, i);
            if (capacity->is_spot != spot || !resources_fit(capacity->available, request) ||
                !job_spec_allows_machine(spec, capacity->type_name, capacity->zone,
                                         capacity->is_spot) ||
                (zone && strcmp(zone, capacity->zone) != 0))
                continue;
            int64_t fitting_tasks =
                MIN(task_count, resources_fit_count(capacity->available, request));
            resources_subtract(&capacity->available,
                               (struct resources){{request.cpus.milli * fitting_tasks},
                                                  {request.gpus.milli * fitting_tasks},
                                                  {request.memory.milli * fitting_tasks}});
            task_count -= fitting_tasks;
        }
    return task_count;
}

/* Whether most machines of a zone are silent: it is cut off, and what is rented there could not
 * report. */
static bool is_zone_silent(struct leader *leader, const char *zone)
{
    int lost_count = 0, heard_count = 0;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        if (!machine->is_reported || strcmp(machine->zone, zone) != 0)
            continue;
        lost_count += (machine->flags & MACHINE_UNREACHABLE) != 0;
        heard_count += (machine->flags & MACHINE_KNOWN) &&
                       !(machine->flags & (MACHINE_UNREACHABLE | MACHINE_UNAVAILABLE));
    }
    return lost_count >= MIN_SILENT_MACHINES && lost_count > heard_count;
}

/* Notes when zones were last seen to be silent. Their machines are returned one after the other, so
 * that the sign of it passes sooner than the cut does. */
static void update_silent_zones(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    for (guint i = 0; i < leader->settings->zones->len; i++)
        if (is_zone_silent(leader, leader->settings->zones->pdata[i]))
            leader->autoscaler.zone_silent_until[i] = time_add_ms(now, SILENT_ZONE_MS);
}

static bool is_zone_avoided(struct leader *leader, const char *zone)
{
    for (guint i = 0; i < leader->settings->zones->len; i++)
        if (strcmp(leader->settings->zones->pdata[i], zone) == 0)
            return time_before(loop_now(leader->loop), leader->autoscaler.zone_silent_until[i]);
    return false;
}

/* The offer that holds n tasks at the least price a task, a little in favour of quick boots. In a
 * zone that is silent only without shun_silent. */
static bool find_best_offer(struct leader *leader, const struct job_spec *spec,
                            struct resources request, int64_t task_count, const char *zone,
                            bool spot_only, bool avoid_silent_zones, struct machine_offer *best)
{
    double lowest_price = 0;
    best->type = NULL;
    const GArray *types = scheduling_policy_machine_types(leader);
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        int64_t tasks_per_machine =
            MIN(resources_fit_count(resources_of_machine_type(type), request), task_count);
        if (tasks_per_machine < 1)
            continue;
        for (int zone_index = 0; type->zones[zone_index]; zone_index++)
            for (int spot = spot_only; spot < 2; spot++) {
                if (!job_spec_allows_machine(spec, type->name, type->zones[zone_index], spot) ||
                    (zone && strcmp(zone, type->zones[zone_index]) != 0) ||
                    cloud_provider_is_refused(leader->cloud, type->name, type->zones[zone_index],
                                              spot) ||
                    (avoid_silent_zones && is_zone_avoided(leader, type->zones[zone_index])))
                    continue;
                double price = (spot ? type->spot_price : type->price) / (double)tasks_per_machine *
                               (1 + type->boot_time_s / 300);
                if (!best->type || price < lowest_price) {
                    lowest_price = price;
                    *best = (struct machine_offer){type, type->zones[zone_index], spot, 0};
                }
            }
    }
    return best->type != NULL;
}

static void add_order(GArray *orders, const struct machine_offer *offer)
{
    for (guint i = 0; i < orders->len; i++) {
        struct machine_offer *existing = &g_array_index(orders, struct machine_offer, i);
        if (existing->type == offer->type && existing->zone == offer->zone &&
            existing->is_spot == offer->is_spot) {
            existing->machine_count++;
            return;
        }
    }
    struct machine_offer added = *offer;
    added.machine_count = 1;
    g_array_append_val(orders, added);
}

/* Finds room for n more tasks: what is on its way first, then new machines. */
static int64_t request_capacity(struct leader *leader, GArray *pending, GArray *orders,
                                const struct job_spec *spec, struct resources request,
                                int64_t task_count, const char *zone, bool spot_only)
{
    int ordered_machines = 0;
    for (guint i = 0; i < orders->len; i++)
        ordered_machines += g_array_index(orders, struct machine_offer, i).machine_count;
    task_count = claim_pending_capacity(pending, spec, request, zone, task_count);
    while (task_count > 0) {
        struct machine_offer offer;
        if (ordered_machines >= MAX_ORDERED_MACHINES ||
            (!find_best_offer(leader, spec, request, task_count, zone, spot_only, true, &offer) &&
             !find_best_offer(leader, spec, request, task_count, zone, spot_only, false, &offer)))
            return task_count;
        ordered_machines++;
        add_order(orders, &offer);
        add_pending_capacity(pending, offer.type->name, offer.zone, offer.is_spot,
                             resources_of_machine_type(offer.type));
        task_count = claim_pending_capacity(pending, spec, request, zone, task_count);
    }
    return 0;
}

/* Room in one zone, or anywhere. Ordinary machines are rented for work that spot machines could do
 * only once no more of these are to be had. */
static void request_for_tasks(struct leader *leader, GArray *pending, GArray *orders,
                              struct ledger_job *job, const struct job_spec *spec,
                              int64_t task_count, const char *zone, bool may_use_on_demand)
{
    if (spec->may_use_spot)
        task_count = request_capacity(leader, pending, orders, spec, job->task_resources,
                                      task_count, zone, true);
    if (!spec->may_use_spot || may_use_on_demand)
        request_capacity(leader, pending, orders, spec, job->task_resources, task_count, zone,
                         false);
}

/* What waits of the job and may run, after all that goes before it in its team. */
static int64_t count_requested_tasks(struct leader *leader, struct ledger_job *job,
                                     struct job *job_record)
{
    struct ledger_team *team = &leader->ledger.teams[job->team_index];
    struct resources remaining =
        resources_remaining(quota_ledger_remaining_limit(team), team->demand);
    int64_t task_count = MIN(quota_ledger_count_allowed_tasks(leader, job, job_record),
                             resources_fit_count(remaining, job->task_resources));
    task_count = MAX(task_count - job->gang.reserved_task_count,
                     0); /* for the rest of a gang room is there */
    resources_add(&team->demand, (struct resources){{job->task_resources.cpus.milli * task_count},
                                                    {job->task_resources.gpus.milli * task_count},
                                                    {0}});
    return task_count;
}

/* The zone that a job which has to be in one has tasks in already, where the rest of it must go;
 * NULL: none. */
static const char *find_settled_zone(struct leader *leader, struct ledger_job *job,
                                     const struct job_spec *spec)
{
    for (guint i = 0; spec->needs_single_zone && i < leader->settings->zones->len; i++)
        if (placement_count_tasks_in_zone(leader, job, leader->settings->zones->pdata[i]))
            return leader->settings->zones->pdata[i];
    return NULL;
}

static void request_for_job(struct leader *leader, GArray *pending, GArray *orders,
                            struct ledger_job *job, struct job *job_record, bool may_use_on_demand)
{
    const struct job_spec *spec = job_record->spec;
    int64_t task_count = count_requested_tasks(leader, job, job_record);
    if (!spec->needs_separate_zones) {
        request_for_tasks(leader, pending, orders, job, spec, task_count,
                          find_settled_zone(leader, job, spec), may_use_on_demand);
        return;
    }
    /* Each zone may take up to half of the tasks. */
    for (guint i = 0; i < leader->settings->zones->len && task_count > 0; i++) {
        const char *zone = leader->settings->zones->pdata[i];
        int64_t tasks_in_zone = placement_count_tasks_in_zone(leader, job, zone),
                max_more = (spec->task_count + 1) / 2 - tasks_in_zone;
        int64_t zone_tasks = CLAMP(max_more, 0, task_count);
        request_for_tasks(leader, pending, orders, job, spec, zone_tasks, zone, may_use_on_demand);
        task_count -= zone_tasks;
    }
}

struct resources autoscaler_total_free(struct leader *leader)
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

/* The processors that are there or on their way for work that spot machines can do. */
static double count_batch_cpus(struct leader *leader, GArray *pending)
{
    double cpus = 1;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (machine->is_reported && (machine->flags & MACHINE_KNOWN))
            cpus +=
                (double)(machine->capacity.cpus.milli - machine->usage.services.cpus.milli) / 1000;
    for (guint i = 0; i < pending->len; i++) {
        struct pending_capacity *capacity = &g_array_index(pending, struct pending_capacity, i);
        cpus += (double)capacity->available.cpus.milli / 1000;
    }
    return cpus;
}

/* The size of a task of the services that run, and how many of their tasks come in a second. The
 * busiest stretch of time is left out, so that many that come at once do not count for what is
 * usual. */
static void measure_service_load(struct leader *leader)
{
    int64_t task_count = 0, slots[RATE_SLOTS] = {0}, slot_sum = 0, busiest_slot = 0,
            observed_slots = 2;
    struct resources total = {0};
    wall_time now = loop_wall_time(leader->loop);
    GHashTableIter it;
    struct ledger_job *job;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_record = replica_get_job(leader->replica, job->id.text);
        if (!job->is_service || !job_record || !job_record->is_known)
            continue;
        resources_add(&total, (struct resources){
                                  {job->task_resources.cpus.milli * job_record->task_count},
                                  {job->task_resources.gpus.milli * job_record->task_count},
                                  {job->task_resources.memory.milli * job_record->task_count}});
        task_count += job_record->task_count;
        int64_t slot = (now.ms - job_record->submitted_at.ms) / RATE_SLOT_MS;
        observed_slots = MAX(observed_slots, MIN(slot + 1, RATE_SLOTS));
        if (slot >= 0 && slot < RATE_SLOTS)
            slots[slot] += job_record->task_count;
    }
    for (int i = 0; i < RATE_SLOTS; i++) {
        slot_sum += slots[i];
        busiest_slot = MAX(busiest_slot, slots[i]);
    }
    if (task_count)
        leader->autoscaler.mean_service_request =
            (struct resources){{total.cpus.milli / task_count},
                               {total.gpus.milli / task_count},
                               {total.memory.milli / task_count}};
    leader->autoscaler.service_tasks_per_s =
        (double)(slot_sum - busiest_slot) * 1000 / (double)((observed_slots - 1) * RATE_SLOT_MS);
    leader->autoscaler.has_services = task_count > 0;
}

/* How many more tasks of services a zone's ordinary machines could hold. */
static int64_t count_service_capacity(struct leader *leader, struct resources request,
                                      const char *zone)
{
    int64_t task_count = 0;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!machine->is_spot && placement_is_schedulable(leader, machine) &&
            strcmp(machine->zone, zone) == 0)
            task_count += resources_fit_count(
                resources_remaining(machine->capacity, machine->usage.services), request);
    return task_count;
}

/* Room for the services that come next, in every zone, on ordinary machines. Until then it is not
 * idle: arrays use it and are preempted. */
static void request_for_services(struct leader *leader, GArray *pending, GArray *orders)
{
    if (!leader->autoscaler.has_services)
        return;
    struct resources request = leader->autoscaler.mean_service_request;
    struct policy_value inputs[POLICY_INPUTS] = {0};
    scheduling_policy_set_load_inputs(leader, inputs);
    struct job_spec any_service = {.form = FORM_SERVICE};
    guint zone_count = leader->settings->zones->len;
    int64_t tasks_per_zone = (int64_t)round(
        leader->autoscaler.service_tasks_per_s * scheduling_policy_slowest_boot_s(leader) *
        policy_number(leader->policy, POLICY_SERVICE_SPARE, inputs) / zone_count);
    int64_t unmet_tasks = 0;
    for (guint i = 0; i < zone_count; i++) {
        const char *zone = leader->settings->zones->pdata[i];
        leader->autoscaler.service_shortfall_tasks[i] =
            tasks_per_zone - count_service_capacity(leader, request, zone);
        if (leader->autoscaler.service_shortfall_tasks[i] > 0)
            unmet_tasks +=
                request_capacity(leader, pending, orders, &any_service, request,
                                 leader->autoscaler.service_shortfall_tasks[i], zone, false);
    }
    /* A zone that has no more machines to give is helped by room in another, where replicas that
     * are free to go are moved to. */
    for (guint i = 0; i < zone_count && unmet_tasks > 0; i++) {
        leader->autoscaler.service_shortfall_tasks[i] += unmet_tasks;
        if (leader->autoscaler.service_shortfall_tasks[i] > 0 &&
            leader->autoscaler.service_shortfall_tasks[i] <= unmet_tasks)
            request_capacity(leader, pending, orders, &any_service, request,
                             leader->autoscaler.service_shortfall_tasks[i],
                             leader->settings->zones->pdata[i], false);
    }
}

void autoscaler_scale_out(struct leader *leader)
{
    measure_service_load(leader);
    if (!scheduling_policy_machine_types(leader) || !cloud_provider_is_listed(leader->cloud))
        return;
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct pending_capacity));
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct machine_offer));
    cloud_provider_drop_unsent(leader->cloud);
    update_silent_zones(leader);
    for (int i = 0; i < leader->ledger.team_count; i++)
        leader->ledger.teams[i].demand = (struct resources){0};
    autoscaler_list_pending_capacity(leader, pending);
    /* Ordinary machines are rented for work that spot machines could do only when these would not
     * get to it in time, behind all that goes before it. */
    double available_cpus = count_batch_cpus(leader, pending), backlog_cpu_s = 0;
    for (int rank = 0; rank < RANK_COUNT; rank++) {
        if (rank == 1)
            request_for_services(leader, pending, orders);
        for (int i = 0; i < leader->ledger.team_count; i++)
            for (guint k = 0; k < leader->ledger.teams[i].ready_jobs->len; k++) {
                struct ledger_job *job = leader->ledger.teams[i].ready_jobs->pdata[k];
                struct job *job_record = job->queue.job_record;
                if (job_queue_rank(leader, job) != rank)
                    continue;
                backlog_cpu_s += (double)quota_ledger_count_allowed_tasks(leader, job, job_record) *
                                 job_record->spec->expected_run_s *
                                 (double)job->task_resources.cpus.milli / 1000;
                bool may_use_on_demand = scheduling_policy_may_rent_on_demand(
                    leader, job, job_record->spec, backlog_cpu_s / available_cpus);
                request_for_job(leader, pending, orders, job, job_record, may_use_on_demand);
            }
    }
    /* Room to spare, for what comes next: one processor at a time, on whatever is cheapest. */
    struct job_spec any_job = {.may_use_spot = true};
    struct resources single_cpu_task = {{1000}, {0}, {1500}};
    double missing_spare_cpus = scheduling_policy_spare_cpus(leader) -
                                (double)autoscaler_total_free(leader).cpus.milli / 1000;
    if (missing_spare_cpus > 0)
        request_capacity(leader, pending, orders, &any_job, single_cpu_task,
                         (int64_t)ceil(missing_spare_cpus), NULL, true);
    for (guint i = 0; i < orders->len; i++) {
        struct machine_offer *offer = &g_array_index(orders, struct machine_offer, i);
        for (int remaining = offer->machine_count; remaining > 0;
             remaining -= MAX_MACHINES_PER_SCALE_OUT)
            cloud_provider_scale_out(leader->cloud, offer->type->name, offer->zone, offer->is_spot,
                                     MIN(remaining, MAX_MACHINES_PER_SCALE_OUT));
    }
    g_array_unref(pending);
    g_array_unref(orders);
}
