/** Queues and sends the leader's messages to the shards, and handles the responses. */
#include "shard_dispatcher.h"

#include "quota_ledger.h"
#include "shard_messages.h"

enum {
    MESSAGE_TIMEOUT_MS = 1500,
    /** A node whose requests have failed for longer than this is excluded from the shard map. */
    UNREACHABLE_TIMEOUT_MS = 4000,
    NODE_EXCLUSION_MS = 20000,
    /** Delay before a message that failed is sent again. */
    MESSAGE_RETRY_MIN_DELAY_MS = 20,
    MESSAGE_RETRY_MAX_DELAY_MS = 200,
};

static void shard_channel_free(gpointer data)
{
    struct shard_channel *channel = data;
    dispatch_backlog_clear(&channel->backlog);
    cJSON_Delete(channel->returned);
    cJSON_Delete(channel->to_cordon);
    cJSON_Delete(channel->unacknowledged_message);
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
        shard_dispatcher_ensure_channel(leader,
                                        g_array_index(shard_map, struct shard_map_entry, i).label);
}

struct shard_channel *shard_dispatcher_ensure_channel(struct leader *leader, const char *label)
{
    struct shard_channel *channel = g_hash_table_lookup(leader->shard_channels, label);
    if (!channel) {
        channel = g_new0(struct shard_channel, 1);
        channel->label = g_strdup(label);
        channel->retry_backoff =
            retry_backoff_make(MESSAGE_RETRY_MIN_DELAY_MS, MESSAGE_RETRY_MAX_DELAY_MS);
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

void shard_dispatcher_queue_dispatch(struct leader *leader, const struct ledger_job *job,
                                     uint32_t index, bool is_bound)
{
    const struct pending_dispatch *dispatch = quota_ledger_find_dispatch(job, index);
    struct shard_channel *channel =
        shard_dispatcher_ensure_channel(leader, dispatch->machine->owner_label);
    dispatch_backlog_add_dispatch(&channel->backlog, job->id, index, dispatch->number, is_bound);
}

void shard_dispatcher_queue_stop(struct leader *leader, const struct ledger_job *job,
                                 struct allocation *allocation, double grace_s)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, allocation->machine);
    if (!machine || !machine->owner_label)
        return;
    if (!allocation->is_stopping)
        resources_add(&quota_ledger_get_team(leader, job)->stopping, job->task_resources);
    allocation->is_stopping = true;
    struct shard_channel *channel = shard_dispatcher_ensure_channel(leader, machine->owner_label);
    dispatch_backlog_add_stop(&channel->backlog, job->id, allocation, grace_s);
}

/**
 * Returns the channel to the owner of a machine if no message is outstanding on it, else NULL. The
 * outstanding message or its response may already contain the machine's name.
 */
static struct shard_channel *find_idle_owner_channel(struct leader *leader, const char *machine)
{
    const char *owner = shard_map_get_owner(leader->replica, machine);
    struct shard_channel *channel = owner ? shard_dispatcher_ensure_channel(leader, owner) : NULL;
    return channel && !channel->unacknowledged_message ? channel : NULL;
}

void shard_dispatcher_queue_returns(struct leader *leader)
{
    GPtrArray *to_cordon = cloud_provider_list_to_cordon(leader->cloud);
    GPtrArray *to_announce = cloud_provider_list_to_announce(leader->cloud);
    for (guint i = 0; i < to_cordon->len; i++) {
        struct shard_channel *channel = find_idle_owner_channel(leader, to_cordon->pdata[i]);
        if (channel)
            shard_dispatcher_append(&channel->to_cordon, cJSON_CreateString(to_cordon->pdata[i]));
    }
    for (guint i = 0; i < to_announce->len; i++) {
        struct shard_channel *channel = find_idle_owner_channel(leader, to_announce->pdata[i]);
        if (channel)
            shard_dispatcher_append(&channel->returned, cJSON_CreateString(to_announce->pdata[i]));
    }
    g_ptr_array_unref(to_cordon);
    g_ptr_array_unref(to_announce);
}

/** Returns whether any item is queued for the next message. */
static bool has_queued_items(const struct shard_channel *channel)
{
    return !dispatch_backlog_is_empty(&channel->backlog) || channel->returned || channel->to_cordon;
}

/** Tells the cloud provider which machines the shard has cordoned, so that it can return them. */
static void note_cordoned_machines(struct leader *leader, const cJSON *response)
{
    GPtrArray *names = dispatch_response_decode(response);
    for (guint i = 0; i < names->len; i++)
        cloud_provider_mark_cordoned(leader->cloud, names->pdata[i], leader->epoch);
    g_ptr_array_unref(names);
}

/** Tells the cloud provider that the shard has learned of the returned machines in the message. */
static void note_announced_returns(struct leader *leader, const struct shard_channel *channel)
{
    const cJSON *name;
    cJSON_ArrayForEach(name, cJSON_GetObjectItemCaseSensitive(channel->unacknowledged_message,
                                                              DISPATCH_MESSAGE_RETURNED))
        cloud_provider_mark_announced(leader->cloud, name->valuestring);
}

/** Moves a list into a message, unless the list is NULL. */
static void move_list_to_message(cJSON *message, const char *name, cJSON **list)
{
    if (*list)
        cJSON_AddItemToObject(message, name, g_steal_pointer(list));
}

/** Builds a message from the queued items, as many as one may have, and removes them. */
static cJSON *build_message(struct leader *leader, struct shard_channel *channel)
{
    cJSON *message = dispatch_message_new(leader->epoch, ++channel->message_sequence);
    dispatch_backlog_move_to_message(&channel->backlog, leader, message);
    move_list_to_message(message, DISPATCH_MESSAGE_RETURNED, &channel->returned);
    move_list_to_message(message, DISPATCH_MESSAGE_TO_CORDON, &channel->to_cordon);
    return message;
}

/** A message that was sent to a shard. Its response is ignored if the generation has changed. */
struct shard_request {
    struct leader *leader;
    uint64_t generation;
    char *label;
};

static void send_message(struct leader *leader, struct shard_channel *channel);

/** Handles the acknowledgement of a message, and sends the next one if any items are queued. */
static void on_acknowledged(struct leader *leader, struct shard_channel *channel,
                            const cJSON *response)
{
    note_announced_returns(leader, channel);
    cJSON_Delete(channel->unacknowledged_message);
    channel->unacknowledged_message = NULL;
    channel->failing_since = (mono_time){0};
    retry_backoff_reset(&channel->retry_backoff);
    note_cordoned_machines(leader, response);
    if (has_queued_items(channel))
        send_message(leader, channel);
}

/**
 * Handles the failure of a message, which a later flush sends again. If requests have failed for
 * longer than UNREACHABLE_TIMEOUT_MS, the node is excluded from the shard map, so that other nodes
 * become the owners of its machines.
 */
static void on_failed(struct leader *leader, struct shard_channel *channel)
{
    mono_time now = loop_now(leader->loop);
    channel->retry_at =
        time_add_ms(now, retry_backoff_next_ms(&channel->retry_backoff, leader->loop));
    if (!channel->failing_since.us) {
        channel->failing_since = now;
        return;
    }
    bool is_own_node = strcmp(channel->label, leader->settings->label) == 0;
    if (time_ms_since(now, channel->failing_since) <= UNREACHABLE_TIMEOUT_MS || is_own_node ||
        !membership_is_leader(leader->membership))
        return;
    channel->failing_since = now;
    membership_exclude_node(leader->membership, channel->label, NODE_EXCLUSION_MS);
}

static void on_shard_response(void *arg, int status, const cJSON *response)
{
    struct shard_request *request = arg;
    struct leader *leader = request->leader;
    struct shard_channel *channel = g_hash_table_lookup(leader->shard_channels, request->label);
    if (request->generation == leader->generation && channel) {
        channel->is_request_in_flight = false;
        if (status == HTTP_STATUS_OK)
            on_acknowledged(leader, channel, response);
        else
            on_failed(leader, channel);
    }
    g_free(request->label);
    g_free(request);
}

/**
 * Sends the outstanding message again or, if there is none, a new message. The shard applies each
 * message only once, by its sequence number; see shard_handle_dispatch_message().
 */
static void send_message(struct leader *leader, struct shard_channel *channel)
{
    if (!channel->unacknowledged_message)
        channel->unacknowledged_message = build_message(leader, channel);
    struct shard_request *request = g_new(struct shard_request, 1);
    *request = (struct shard_request){leader, leader->generation, g_strdup(channel->label)};
    channel->is_request_in_flight = true;
    node_rpc_call(leader->node_rpc, channel->label, SHARD_MESSAGE_DISPATCH,
                  cJSON_Duplicate(channel->unacknowledged_message, true), MESSAGE_TIMEOUT_MS,
                  on_shard_response, request);
}

void shard_dispatcher_flush(struct leader *leader)
{
    GHashTableIter it;
    struct shard_channel *channel;
    mono_time now = loop_now(leader->loop);
    GPtrArray *due_channels = g_ptr_array_new();
    g_hash_table_iter_init(&it, leader->shard_channels);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&channel))
        if (!channel->is_request_in_flight && !time_before(now, channel->retry_at) &&
            (channel->unacknowledged_message || has_queued_items(channel)))
            g_ptr_array_add(due_channels, channel);
    for (guint i = 0; i < due_channels->len; i++)
        send_message(leader, due_channels->pdata[i]);
    g_ptr_array_unref(due_channels);
}
