/** Choice among the cloud's offers, and the zones where nothing should be rented. */
#include "autoscaler_offers.h"

#include "scheduling_policy.h"
#include "shard.h"

enum {
    /** Fewer unreachable machines than this may have failed by themselves. */
    MIN_UNREACHABLE_MACHINES = 3,
    /** How long a zone counts as silent after the last sign of it. */
    SILENT_ZONE_MS = 30000,
};

/** A boot that takes this long makes an offer count as twice as expensive. */
static const double BOOT_TIME_DOUBLING_PRICE_S = 300;

static bool is_zone_silent(struct leader *leader, const char *zone)
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
        available_count += (machine->flags & MACHINE_KNOWN) &&
                           !(machine->flags & (MACHINE_UNREACHABLE | MACHINE_UNAVAILABLE));
    }
    return unreachable_count >= MIN_UNREACHABLE_MACHINES && unreachable_count > available_count;
}

/* A zone stays silent for a while, as its machines are returned one after the other: the sign of an
 * outage passes sooner than the outage does. */
void autoscaler_update_silent_zones(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    const GPtrArray *zones = leader->settings->zones;
    for (guint i = 0; i < zones->len; i++)
        if (is_zone_silent(leader, zones->pdata[i]))
            leader->autoscaler.zone_silent_until[i] = time_add_ms(now, SILENT_ZONE_MS);
}

/** Whether the zone is silent, or was until recently. */
static bool is_zone_avoided(struct leader *leader, const char *zone)
{
    const GPtrArray *zones = leader->settings->zones;
    for (guint i = 0; i < zones->len; i++)
        if (strcmp(zones->pdata[i], zone) == 0)
            return time_before(loop_now(leader->loop), leader->autoscaler.zone_silent_until[i]);
    return false;
}

/** A search for the cheapest offer. */
struct offer_search {
    struct leader *leader;
    const struct capacity_request *request;
    int64_t task_count;
    bool avoid_silent_zones;
    /** The best offer so far; its type is NULL while there is none. */
    struct machine_offer *best;
    double lowest_price;
};

/** Whether the tasks may use the offer, and the cloud has not refused it lately. */
static bool is_available(const struct offer_search *search, const struct machine_offer *offer)
{
    const struct capacity_request *request = search->request;
    return job_spec_allows_machine(request->spec, offer->type->name, offer->zone, offer->is_spot) &&
           (!request->zone || strcmp(request->zone, offer->zone) == 0) &&
           !cloud_provider_is_offer_refused(search->leader->cloud, offer->type->name, offer->zone,
                                            offer->is_spot) &&
           !(search->avoid_silent_zones && is_zone_avoided(search->leader, offer->zone));
}

/** Price for each task, raised for slow boots. */
static double weighted_price(const struct machine_offer *offer, int64_t tasks_per_machine)
{
    const struct machine_type *type = offer->type;
    return (offer->is_spot ? type->spot_price : type->price) / (double)tasks_per_machine *
           (1 + type->boot_time_s / BOOT_TIME_DOUBLING_PRICE_S);
}

static void consider_offer(struct offer_search *search, const struct machine_offer *offer,
                           int64_t tasks_per_machine)
{
    if (!is_available(search, offer))
        return;
    double price = weighted_price(offer, tasks_per_machine);
    if (search->best->type && price >= search->lowest_price)
        return;
    search->lowest_price = price;
    *search->best = *offer;
}

/** Considers a machine type in all its zones, as on-demand and as spot machine. */
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

static bool find_lowest_price(struct leader *leader, const struct capacity_request *request,
                              int64_t task_count, bool avoid_silent_zones,
                              struct machine_offer *best)
{
    struct offer_search search = {leader, request, task_count, avoid_silent_zones, best, 0};
    const GArray *types = scheduling_policy_machine_types(leader);
    best->type = NULL;
    for (guint i = 0; i < types->len; i++)
        consider_type(&search, &g_array_index(types, struct machine_type, i));
    return best->type != NULL;
}

bool machine_offer_find(struct leader *leader, const struct capacity_request *request,
                        int64_t task_count, struct machine_offer *best)
{
    return find_lowest_price(leader, request, task_count, true, best) ||
           find_lowest_price(leader, request, task_count, false, best);
}
