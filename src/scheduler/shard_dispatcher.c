#include "shard_dispatcher.h"

#include "quota_ledger.h"

enum {
    MESSAGE_TIMEOUT_MS = 1500,
    UNREACHABLE_TIMEOUT_MS = 4000, /* then its node is excluded from the map */
    NODE_EXCLUSION_MS = 20000,
};

static void shard_channel_free(gpointer q)
{
    struct shard_channel *channel = q;
    cJSON_Delete(channel->dispatches);
    cJSON_Delete(channel->stops);
    cJSON_Delete(channel->departed);
    cJSON_Delete(channel->cordons);
    cJSON_Delete(channel->unacknowledged);
    g_free(channel->label);
    g_free(channel);
}

void shard_dispatcher_init(struct leader *leader)
{
    leader->shard_channels =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_channel_free);
}

void shard_dispatcher_reset(struct leader *leader)
{
    const GArray *shard_map = leader->replica->shard_map;
    g_hash_table_remove_all(leader->shard_channels);
    for (guint i = 0; i < shard_map->len; i++)
        shard_dispatcher_channel(leader, g_array_index(shard_map, struct shard_map_entry, i).label);
}

struct shard_channel *shard_dispatcher_channel(struct leader *leader, const char *label)
{
    struct shard_channel *channel = g_hash_table_lookup(leader->shard_channels, label);
    if (!channel) {
        channel = g_new0(struct shard_channel, 1);
        channel->label = g_strdup(label);
        g_hash_table_insert(leader->shard_channels, channel->label, channel);
    }
    return channel;
}

void shard_dispatcher_append(cJSON **list, cJSON *item)
{
    if (!*list)
        *list = cJSON_CreateArray();
    cJSON_AddItemToArray(*list, item);
}

void shard_dispatcher_queue_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                                     bool is_bound)
{
    struct pending_dispatch *dispatch = quota_ledger_find_dispatch(job, index);
    struct job *job_record = replica_get_job(leader->replica, job->id.text);
    cJSON *item = node_rpc_encode_task(job->id, index, dispatch->attempt);
    node_rpc_put_u64(item, "n", dispatch->number);
    if (job_record->spec->needs_single_zone || job_record->spec->needs_separate_zones)
        cJSON_AddStringToObject(item, "y", dispatch->zone);
    if (is_bound)
        cJSON_AddStringToObject(item, "h", dispatch->machine->id.text);
    shard_dispatcher_append(
        &shard_dispatcher_channel(leader, dispatch->machine->owner_label)->dispatches, item);
}

void shard_dispatcher_queue_stop(struct leader *leader, struct ledger_job *job, uint32_t index,
                                 struct allocation *allocation, double grace_s)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, allocation->machine.text);
    if (!machine || !machine->owner_label)
        return;
    if (!allocation->is_stopping)
        resources_add(&quota_ledger_team_of(leader, job)->stopping, job->task_resources);
    allocation->is_stopping = true;
    cJSON *item = node_rpc_encode_task(job->id, index, allocation->attempt);
    cJSON_AddStringToObject(item, "h", allocation->machine.text);
    cJSON_AddNumberToObject(item, "g", grace_s);
    shard_dispatcher_append(&shard_dispatcher_channel(leader, machine->owner_label)->stops, item);
}

/* A message that is on its way to a shard; void once the generation has changed. */
struct shard_request {
    struct leader *leader;
    uint64_t generation;
    char *label;
};

static void send_message(struct leader *leader, struct shard_channel *channel);

/* Whether there is anything to tell the shard. */
static bool has_queued_items(const struct shard_channel *channel)
{
    return channel->dispatches || channel->stops || channel->departed || channel->cordons;
}

/* The shard names the machines on which it places nothing more. */
static void apply_cordoned(struct leader *leader, const cJSON *answer)
{
    const cJSON *name;
    cJSON_ArrayForEach(name, cJSON_GetObjectItemCaseSensitive(answer, "closed"))
    {
        if (cJSON_IsString(name))
            cloud_provider_note_cordoned(leader->cloud, name->valuestring, leader->epoch);
    }
}

/* The shard has heard of the machines that are gone. */
static void apply_departed(struct leader *leader, const struct shard_channel *channel)
{
    const cJSON *name;
    cJSON_ArrayForEach(name, cJSON_GetObjectItemCaseSensitive(channel->unacknowledged, "gone"))
        cloud_provider_note_announced(leader->cloud, name->valuestring);
}

void shard_dispatcher_queue_returns(struct leader *leader)
{
    GPtrArray *to_cordon = cloud_provider_list_to_cordon(leader->cloud);
    GPtrArray *to_announce = cloud_provider_list_to_announce(leader->cloud);
    for (guint i = 0; i < to_cordon->len + to_announce->len; i++) {
        const char *name =
            i < to_cordon->len ? to_cordon->pdata[i] : to_announce->pdata[i - to_cordon->len];
        const char *owner = shard_map_get_owner(leader->replica, name);
        struct shard_channel *channel = owner ? shard_dispatcher_channel(leader, owner) : NULL;
        /* While a message is on its way, it or its answer may name them. */
        if (channel && !channel->unacknowledged)
            shard_dispatcher_append(i < to_cordon->len ? &channel->cordons : &channel->departed,
                                    cJSON_CreateString(name));
    }
    g_ptr_array_unref(to_cordon);
    g_ptr_array_unref(to_announce);
}

static void on_shard_answer(void *arg, int status, const cJSON *answer)
{
    struct shard_request *request = arg;
    struct leader *leader = request->leader;
    struct shard_channel *channel = g_hash_table_lookup(leader->shard_channels, request->label);
    if (request->generation == leader->generation && channel) {
        mono_time now = loop_now(leader->loop);
        channel->is_request_in_flight = false;
        if (status == 200) {
            apply_departed(leader, channel);
            cJSON_Delete(channel->unacknowledged);
            channel->unacknowledged = NULL;
            channel->unanswered_since = (mono_time){0};
            apply_cordoned(leader, answer);
            if (has_queued_items(channel))
                send_message(leader, channel);
        } else if (!channel->unanswered_since.us) {
            channel->unanswered_since = now;
        } else if (time_ms_since(now, channel->unanswered_since) > UNREACHABLE_TIMEOUT_MS &&
                   membership_is_leader(leader->membership) &&
                   strcmp(channel->label, leader->settings->label) != 0) {
            channel->unanswered_since = now;
            membership_exclude_node(leader->membership, channel->label, NODE_EXCLUSION_MS);
        }
    }
    g_free(request->label);
    g_free(request);
}

/* One message at a time, and the same one until it is acknowledged: see handle_dispatch_message in
 * shard.c. */
static void send_message(struct leader *leader, struct shard_channel *channel)
{
    if (!channel->unacknowledged) {
        cJSON *message = cJSON_CreateObject();
        node_rpc_put_u64(message, "e", leader->epoch.value);
        node_rpc_put_u64(message, "s", ++channel->message_sequence);
        if (channel->dispatches)
            cJSON_AddItemToObject(message, "deal", g_steal_pointer(&channel->dispatches));
        if (channel->stops)
            cJSON_AddItemToObject(message, "halt", g_steal_pointer(&channel->stops));
        if (channel->departed)
            cJSON_AddItemToObject(message, "gone", g_steal_pointer(&channel->departed));
        if (channel->cordons)
            cJSON_AddItemToObject(message, "close", g_steal_pointer(&channel->cordons));
        channel->unacknowledged = message;
    }
    struct shard_request *request = g_new(struct shard_request, 1);
    *request = (struct shard_request){leader, leader->generation, g_strdup(channel->label)};
    channel->is_request_in_flight = true;
    node_rpc_call(leader->node_rpc, channel->label, "deal",
                  cJSON_Duplicate(channel->unacknowledged, true), MESSAGE_TIMEOUT_MS,
                  on_shard_answer, request);
}

void shard_dispatcher_flush(struct leader *leader)
{
    GHashTableIter it;
    struct shard_channel *channel;
    GPtrArray *due_channels = g_ptr_array_new();
    g_hash_table_iter_init(&it, leader->shard_channels);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&channel))
        if (!channel->is_request_in_flight &&
            (channel->unacknowledged || has_queued_items(channel)))
            g_ptr_array_add(due_channels, channel);
    for (guint i = 0; i < due_channels->len; i++)
        send_message(leader, due_channels->pdata[i]);
    g_ptr_array_unref(due_channels);
}
