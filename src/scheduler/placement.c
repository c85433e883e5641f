#include "placement.h"

#include "image_cache.h"
#include "placement_score.h"
#include "quota_ledger.h"
#include "shard.h"

bool leader_host_takes(struct leader *leader, struct leader_host *host)
{
    mono_time now = loop_now(leader->loop);
    return host->told && !time_before(now, host->sick_until) && !leader_host_slow(leader, host) &&
           (host->flags & HOST_KNOWN) &&
           !(host->flags & (HOST_LOST | HOST_RECLAIMED | HOST_QUIET)) &&
           !fleet_gone(leader->fleet, host->id.s) && !fleet_returning(leader->fleet, host->id.s) &&
           !time_before(now, host->avoid_until);
}

struct room leader_host_free_room(const struct leader_host *host)
{
    return room_left(room_left(room_left(host->total, host->booked), host->dealt), host->held);
}

/* The zone of the machine, or NULL if it cannot be told. */
static const char *zone_of(struct leader *leader, host_id id)
{
    const struct leader_host *host = leader_host_get(leader, id.s);
    if (host && host->zone[0])
        return host->zone;
    const struct host_record *rec = view_host(leader->view, id.s);
    return rec && rec->zone[0] ? rec->zone : NULL;
}

uint32_t leader_in_zone(struct leader *leader, struct leader_job *job, const char *zone)
{
    uint32_t n = 0;
    GHashTableIter it;
    struct entry *entry;
    struct deal *deal;
    g_hash_table_iter_init(&it, job->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        const char *where = zone_of(leader, entry->host);
        /* Where it is cannot be told: it counts everywhere. */
        n += !where || strcmp(where, zone) == 0;
    }
    g_hash_table_iter_init(&it, job->deals);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&deal))
        n += strcmp(deal->zone, zone) == 0;
    return n;
}

/* OneZone and Apart are decided here, on records and deals; the zone is part of the deal. */
static bool zone_bound(const struct spec *spec)
{
    return spec->one_zone || spec->apart;
}

void leader_count_zones(struct leader *leader, struct leader_job *job, const struct spec *spec)
{
    for (guint i = 0; zone_bound(spec) && i < leader->settings->zones->len; i++)
        leader->zone_tasks[i] = leader_in_zone(leader, job, leader->settings->zones->pdata[i]);
}

bool leader_zone_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         int zone_index)
{
    if (!zone_bound(spec))
        return true;
    if (zone_index < 0)
        return false;
    uint32_t there = leader->zone_tasks[zone_index];
    if (spec->one_zone && there != g_hash_table_size(job->entries) + g_hash_table_size(job->deals))
        return false;
    return !spec->apart || there < (spec->tasks + 1) / 2;
}

bool leader_host_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         struct leader_host *host)
{
    return spec_allows(spec, host->type_name, host->zone, host->spot) &&
           leader_zone_allowed(leader, job, spec, host->zone_index);
}

void leader_survey(struct leader *leader)
{
    memset(leader->zone_cpus, 0, sizeof *leader->zone_cpus * leader->settings->zones->len);
    g_ptr_array_set_size(leader->open_hosts, 0);
    g_array_set_size(leader->unplaceable, 0);
    leader->holding_gangs = 0;
    loop_work(leader->loop, g_hash_table_size(leader->hosts));
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        host->held = (struct room){0};
        host->wanted = false;
        if (host->told && !host->spot && host->zone_index >= 0)
            leader->zone_cpus[host->zone_index] += (double)host->total.cpus.milli / 1000;
        if (leader_host_takes(leader, host))
            g_ptr_array_add(leader->open_hosts, host);
    }
}

/* The processors of a zone's ordinary machines beside those of the largest zone. */
static double zone_roomy(struct leader *leader, int zone_index)
{
    double most = 0;
    for (guint i = 0; i < leader->settings->zones->len; i++)
        most = MAX(most, leader->zone_cpus[i]);
    return most > 0 && zone_index >= 0 ? leader->zone_cpus[zone_index] / most : 1;
}

static double host_score(struct leader *leader, const struct leader_host *host,
                         const struct spec *spec)
{
    struct room taken = host->booked;
    room_add(&taken, host->dealt);
    struct score_facts facts = {
        images_hold(host->images, spec->image), host->spot, room_share(taken, host->total),
        room_share(host->pinned, host->total), zone_roomy(leader, host->zone_index)};
    return score_host(spec, &facts);
}

gint leader_compare_choices(gconstpointer a, gconstpointer b)
{
    const struct host_choice *first = a, *second = b;
    if (first->score != second->score)
        return first->score > second->score ? -1 : 1;
    return strcmp(first->host->id.s, second->host->id.s);
}

GArray *leader_choose_hosts(struct leader *leader, struct leader_job *job, const struct spec *spec,
                            bool image)
{
    loop_work(leader->loop, leader->open_hosts->len);
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct host_choice));
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        if (!room_holds(leader_host_free_room(host), job->room) ||
            !leader_host_allowed(leader, job, spec, host) ||
            (image && !images_hold(host->images, spec->image)))
            continue;
        struct host_choice choice = {host, host_score(leader, host, spec)};
        g_array_append_val(out, choice);
    }
    g_array_sort(out, leader_compare_choices);
    return out;
}

bool leader_known_unplaceable(struct leader *leader, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, "");
    return lacks_cover(leader->unplaceable, &lack);
}

void leader_note_unplaceable(struct leader *leader, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, "");
    if (!zone_bound(spec) && !spec->type_names && !spec->zone)
        g_array_append_val(leader->unplaceable, lack);
}
