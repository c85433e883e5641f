#include "shard_dispatcher.h"

#include "quota_ledger.h"

enum {
    OUT_TIMEOUT_MS = 1500,
    UNREACHABLE_MS = 4000, /* then its node is excluded from the map */
    EXCLUDE_MS = 20000,
};

static void leader_shard_free(gpointer q)
{
    struct leader_shard *shard = q;
    cJSON_Delete(shard->deal);
    cJSON_Delete(shard->halt);
    cJSON_Delete(shard->gone);
    cJSON_Delete(shard->close);
    cJSON_Delete(shard->sending);
    g_free(shard->label);
    g_free(shard);
}

void leader_shards_init(struct leader *leader)
{
    leader->shards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, leader_shard_free);
}

struct leader_shard *leader_shard_get(struct leader *leader, const char *label)
{
    struct leader_shard *shard = g_hash_table_lookup(leader->shards, label);
    if (!shard) {
        shard = g_new0(struct leader_shard, 1);
        shard->label = g_strdup(label);
        g_hash_table_insert(leader->shards, shard->label, shard);
    }
    return shard;
}

void leader_shard_add(cJSON **list, cJSON *item)
{
    if (!*list)
        *list = cJSON_CreateArray();
    cJSON_AddItemToArray(*list, item);
}

void leader_send_deal(struct leader *leader, struct leader_job *job, uint32_t index, bool bound)
{
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    struct job *job_view = view_job(leader->view, job->id.s);
    cJSON *x = bus_task(job->id, index, deal->attempt);
    bus_put_u64(x, "n", deal->number);
    if (job_view->spec->one_zone || job_view->spec->apart)
        cJSON_AddStringToObject(x, "y", deal->zone);
    if (bound)
        cJSON_AddStringToObject(x, "h", deal->host->id.s);
    leader_shard_add(&leader_shard_get(leader, deal->host->owner)->deal, x);
}

void leader_send_halt(struct leader *leader, struct leader_job *job, uint32_t index,
                      struct entry *e, double grace_s)
{
    struct leader_host *host = leader_host_get(leader, e->host.s);
    if (!host || !host->owner)
        return;
    if (!e->halted)
        room_add(&leader->teams[job->team].halting, job->room);
    e->halted = true;
    cJSON *x = bus_task(job->id, index, e->attempt);
    cJSON_AddStringToObject(x, "h", e->host.s);
    cJSON_AddNumberToObject(x, "g", grace_s);
    leader_shard_add(&leader_shard_get(leader, host->owner)->halt, x);
}

/* A message that is on its way to a shard; void once the generation has changed. */
struct shard_out {
    struct leader *leader;
    uint64_t generation;
    char *label;
};

static void shard_send(struct leader *leader, struct leader_shard *shard);

/* Whether there is anything to tell the shard. */
static bool has_news(const struct leader_shard *shard)
{
    return shard->deal || shard->halt || shard->gone || shard->close;
}

/* The shard names the machines on which it places nothing more. */
static void take_closed(struct leader *leader, const cJSON *answer)
{
    const cJSON *name;
    cJSON_ArrayForEach(name, cJSON_GetObjectItemCaseSensitive(answer, "closed"))
    {
        if (cJSON_IsString(name))
            fleet_return_closed(leader->fleet, name->valuestring, leader->epoch);
    }
}

/* The shard has heard of the machines that are gone. */
static void take_announced(struct leader *leader, const struct leader_shard *shard)
{
    const cJSON *name;
    cJSON_ArrayForEach(name, cJSON_GetObjectItemCaseSensitive(shard->sending, "gone"))
        fleet_return_announced(leader->fleet, name->valuestring);
}

void leader_tell_returns(struct leader *leader)
{
    GPtrArray *closing = fleet_returns_to_close(leader->fleet);
    GPtrArray *gone = fleet_returns_to_announce(leader->fleet);
    for (guint i = 0; i < closing->len + gone->len; i++) {
        const char *name = i < closing->len ? closing->pdata[i] : gone->pdata[i - closing->len];
        const char *owner = map_owner(leader->view, name);
        struct leader_shard *shard = owner ? leader_shard_get(leader, owner) : NULL;
        /* While a message is on its way, it or its answer may name them. */
        if (shard && !shard->sending)
            leader_shard_add(i < closing->len ? &shard->close : &shard->gone,
                             cJSON_CreateString(name));
    }
    g_ptr_array_unref(closing);
    g_ptr_array_unref(gone);
}

static void shard_answered(void *arg, int status, const cJSON *answer)
{
    struct shard_out *out = arg;
    struct leader *leader = out->leader;
    struct leader_shard *shard = g_hash_table_lookup(leader->shards, out->label);
    if (out->generation == leader->generation && shard) {
        mono_time now = loop_now(leader->loop);
        shard->out = false;
        if (status == 200) {
            take_announced(leader, shard);
            cJSON_Delete(shard->sending);
            shard->sending = NULL;
            shard->failing_since = (mono_time){0};
            take_closed(leader, answer);
            if (has_news(shard))
                shard_send(leader, shard);
        } else if (!shard->failing_since.us) {
            shard->failing_since = now;
        } else if (time_ms_since(now, shard->failing_since) > UNREACHABLE_MS &&
                   membership_leads(leader->members) &&
                   strcmp(shard->label, leader->settings->label) != 0) {
            shard->failing_since = now;
            membership_exclude(leader->members, shard->label, EXCLUDE_MS);
        }
    }
    g_free(out->label);
    g_free(out);
}

/* One message at a time, and the same one until it is acknowledged: see on_deal in shard.c. */
static void shard_send(struct leader *leader, struct leader_shard *shard)
{
    if (!shard->sending) {
        cJSON *message = cJSON_CreateObject();
        bus_put_u64(message, "e", leader->epoch.v);
        bus_put_u64(message, "s", ++shard->seq);
        if (shard->deal)
            cJSON_AddItemToObject(message, "deal", g_steal_pointer(&shard->deal));
        if (shard->halt)
            cJSON_AddItemToObject(message, "halt", g_steal_pointer(&shard->halt));
        if (shard->gone)
            cJSON_AddItemToObject(message, "gone", g_steal_pointer(&shard->gone));
        if (shard->close)
            cJSON_AddItemToObject(message, "close", g_steal_pointer(&shard->close));
        shard->sending = message;
    }
    struct shard_out *out = g_new(struct shard_out, 1);
    *out = (struct shard_out){leader, leader->generation, g_strdup(shard->label)};
    shard->out = true;
    bus_send(leader->bus, shard->label, "deal", cJSON_Duplicate(shard->sending, true),
             OUT_TIMEOUT_MS, shard_answered, out);
}

void leader_send_all(struct leader *leader)
{
    GHashTableIter it;
    struct leader_shard *shard;
    GPtrArray *due = g_ptr_array_new();
    g_hash_table_iter_init(&it, leader->shards);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&shard))
        if (!shard->out && (shard->sending || has_news(shard)))
            g_ptr_array_add(due, shard);
    for (guint i = 0; i < due->len; i++)
        shard_send(leader, due->pdata[i]);
    g_ptr_array_unref(due);
}
