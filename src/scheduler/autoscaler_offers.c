/** Selects offers by price, and avoids unreachable zones. */
#include "autoscaler_offers.h"

#include "scheduling_policy.h"
#include "shard.h"

enum {
    /** Fewer unreachable machines in a zone may be independent failures. */
    MIN_UNREACHABLE_MACHINES = 3,
    /** How long a zone is avoided after it was last found unreachable. */
    UNREACHABLE_ZONE_AVOID_MS = 30000,
};

/** A boot time of this length doubles the weighted price of an offer. */
static const double BOOT_TIME_DOUBLING_PRICE_S = 300;

/**
 * Returns whether enough machines of the zone are unreachable to suspect a network partition, and
 * more than are available.
 */
static bool is_zone_unreachable(struct leader *leader, const char *zone)
{
    int unreachable_count = 0;
    int available_count = 0;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        if (!machine->is_reported || strcmp(machine->zone, zone) != 0)
            continue;
        unreachable_count += (machine->flags & MACHINE_UNREACHABLE) != 0;
        available_count += (machine->flags & MACHINE_REPORTED) &&
                           !(machine->flags & (MACHINE_UNREACHABLE | MACHINE_UNAVAILABLE));
    }
    return unreachable_count >= MIN_UNREACHABLE_MACHINES && unreachable_count > available_count;
}

/* The zone is avoided for a while after it was last found unreachable: its machines are returned
 * one after the other, so the symptom of an outage disappears before the outage ends. */
void autoscaler_update_unreachable_zones(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    const GPtrArray *zones = leader->settings->zones;
    for (guint i = 0; i < zones->len; i++)
        if (is_zone_unreachable(leader, zones->pdata[i]))
            leader->autoscaler.zone_avoid_until[i] = time_add_ms(now, UNREACHABLE_ZONE_AVOID_MS);
}

/** Returns whether the zone is unreachable, or was until recently. */
static bool is_zone_avoided(struct leader *leader, const char *zone)
{
    const GPtrArray *zones = leader->settings->zones;
    for (guint i = 0; i < zones->len; i++)
        if (strcmp(zones->pdata[i], zone) == 0)
            return time_before(loop_now(leader->loop), leader->autoscaler.zone_avoid_until[i]);
    return false;
}

/** The state of a search for the cheapest offer. */
struct offer_search {
    struct leader *leader;
    const struct capacity_request *request;
    int64_t task_count;
    bool avoid_unreachable_zones;
    /** The cheapest offer so far; its type is NULL until one is found. */
    struct machine_offer *best;
    double lowest_price;
};

/**
 * Returns whether the tasks may use the offer, the cloud has not refused it recently, and its zone
 * is not to be avoided.
 */
static bool is_offer_available(const struct offer_search *search, const struct machine_offer *offer)
{
    const struct capacity_request *request = search->request;
    return job_spec_allows_machine(request->spec, offer->type->name, offer->zone, offer->is_spot) &&
           (!request->zone || strcmp(request->zone, offer->zone) == 0) &&
           !cloud_provider_is_offer_refused(search->leader->cloud, offer->type->name, offer->zone,
                                            offer->is_spot) &&
           !(search->avoid_unreachable_zones && is_zone_avoided(search->leader, offer->zone));
}

/** Returns the price per task, increased in proportion to the boot time. */
static double weighted_price(const struct machine_offer *offer, int64_t tasks_per_machine)
{
    const struct machine_type *type = offer->type;
    return (offer->is_spot ? type->spot_price : type->price) / (double)tasks_per_machine *
           (1 + type->boot_time_s / BOOT_TIME_DOUBLING_PRICE_S);
}

static void consider_offer(struct offer_search *search, const struct machine_offer *offer,
                           int64_t tasks_per_machine)
{
    if (!is_offer_available(search, offer))
        return;
    double price = weighted_price(offer, tasks_per_machine);
    if (search->best->type && price >= search->lowest_price)
        return;
    search->lowest_price = price;
    *search->best = *offer;
}

/** Considers the offers of a machine type in all its zones, on demand and as spot machines. */
static void consider_type(struct offer_search *search, const struct machine_type *type)
{
    int64_t tasks_per_machine =
        resources_fit_count(resources_of_machine_type(type), search->request->task_resources);
    tasks_per_machine = MIN(tasks_per_machine, search->task_count);
    if (tasks_per_machine < 1)
        return;
    for (char **zone = type->zones; *zone; zone++) {
        const struct machine_offer on_demand = {type, *zone, false};
        const struct machine_offer spot = {type, *zone, true};
        if (!search->request->spot_only)
            consider_offer(search, &on_demand, tasks_per_machine);
        consider_offer(search, &spot, tasks_per_machine);
    }
}

static bool find_cheapest(struct leader *leader, const struct capacity_request *request,
                          int64_t task_count, bool avoid_unreachable_zones,
                          struct machine_offer *best)
{
    struct offer_search search = {leader, request, task_count, avoid_unreachable_zones, best, 0};
    const GArray *types = scheduling_policy_machine_types(leader);
    best->type = NULL;
    for (guint i = 0; i < types->len; i++)
        consider_type(&search, &g_array_index(types, struct machine_type, i));
    return best->type != NULL;
}

bool machine_offer_find_cheapest(struct leader *leader, const struct capacity_request *request,
                                 int64_t task_count, struct machine_offer *best)
{
    return find_cheapest(leader, request, task_count, true, best) ||
           find_cheapest(leader, request, task_count, false, best);
}
