/**
 * @file
 * Status messages to the leader. One is sent every second, or earlier on request, with the machines
 * that have changed since the last message. One in MESSAGES_PER_FULL_STATUS lists all machines, and
 * so does the next one after a failure or the start of an epoch.
 */
#include "shard_messages_internal.h"

#include "run_records_internal.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

enum {
    STATUS_INTERVAL_MS = 1000,
    STATUS_TIMEOUT_MS = 2000,
    /** Delay after a request, so that one message covers several changes. */
    STATUS_DELAY_MS = 15,
    STATUS_RETRY_MS = 250,
    /** The maximum number of rejected dispatches in one message. */
    MAX_REJECTED_PER_MESSAGE = 400,
    /** One message in this number lists all machines. */
    MESSAGES_PER_FULL_STATUS = 15,
    /** Time beyond the lease duration after which the lease of an unreachable machine may be
     * reported as expired. */
    LEASE_EXPIRED_MARGIN_MS = 20000,
};

/** Milliseconds without contact, per second of the heartbeat interval, after which a machine counts
 * as unreachable. */
static const double UNREACHABLE_MS_PER_INTERVAL_S = 2500;

/** A status message that awaits its response. */
struct status_request {
    struct shard *shard;
    uint64_t generation;
    /** Number of rejected dispatches and of events in the message. */
    guint rejected_count, event_count;
};

void shard_status_start(struct shard *shard)
{
    timer_start(shard->loop, &shard->status.timer, STATUS_INTERVAL_MS);
}

void shard_request_status(struct shard *shard)
{
    shard->status.is_requested = true;
    if (!shard->status.in_flight)
        timer_start(shard->loop, &shard->status.timer, STATUS_DELAY_MS);
}

/* ---- building the message ---- */

/** Returns whether the lease of a machine's agent expired well before now. If heartbeats still
 * arrive here, the agent has received no response for longer than its lease. Otherwise another node
 * may have renewed the lease, and the proof of expiry is required. */
static bool lease_expired_long_ago(struct shard *shard, struct machine *machine,
                                   int64_t unreachable_ms)
{
    int64_t lease_ms = (int64_t)(shard->settings->lease_s * 1000);
    if (unreachable_ms <= lease_ms + LEASE_EXPIRED_MARGIN_MS)
        return false;
    mono_time now = loop_now(shard->loop);
    return time_ms_since(now, machine->heartbeat.received_at) < lease_ms ||
           shard_lease_has_expired(shard, machine);
}

/** Returns the flags (enum machine_flag) of a machine. */
static int machine_flags(struct shard *shard, struct machine *machine)
{
    const struct machine_reachability *reachability = &machine->reachability;
    int64_t unreachable_ms = time_ms_since(loop_now(shard->loop), reachability->confirmed_at);
    int64_t unreachable_after_ms =
        (int64_t)(shard->settings->heartbeat_interval_s * UNREACHABLE_MS_PER_INTERVAL_S);
    int flags = 0;
    if (machine->heartbeat.has_reported)
        flags |= MACHINE_REPORTED;
    if (machine->is_being_reclaimed)
        flags |= MACHINE_BEING_RECLAIMED;
    if (!shard_machine_is_available(shard, machine))
        flags |= MACHINE_UNAVAILABLE;
    if (reachability->probe_failures >= UNREACHABLE_PROBE_FAILURES &&
        unreachable_ms > unreachable_after_ms) {
        flags |= MACHINE_UNREACHABLE;
        if (lease_expired_long_ago(shard, machine, unreachable_ms))
            flags |= MACHINE_LEASE_EXPIRED;
    }
    return flags;
}

/** Returns what the message reports about a machine, and remembers it as sent. */
static struct machine_status describe_machine(struct machine *machine, int flags, bool is_full)
{
    bool include_images = is_full || !machine->sent_status.has_images;
    machine->sent_status = (struct machine_sent_status){flags, true};
    return (struct machine_status){
        .id = machine->id,
        .type_name = machine->type_name,
        .zone = machine->zone,
        .is_spot = machine->is_spot,
        .flags = flags,
        .images = include_images ? g_ptr_array_ref(machine->image_cache) : NULL,
    };
}

/** Adds the machines to the message: all of them, or only those that have changed. */
static void add_machines(struct shard *shard, struct status_message *message)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        int flags = machine_flags(shard, machine);
        const struct machine_sent_status *sent = &machine->sent_status;
        bool is_due = message->is_full || flags != sent->flags || !sent->has_images;
        if (!is_due || machine->is_returned || !machine->type_name[0])
            continue;
        struct machine_status item = describe_machine(machine, flags, message->is_full);
        g_array_append_val(message->machines, item);
    }
}

/** Adds the oldest rejected dispatches. The others go into the next message. */
static void add_rejected_dispatches(const struct shard_status *status,
                                    struct status_message *message)
{
    guint count = MIN(status->rejected_dispatches->len, MAX_REJECTED_PER_MESSAGE);
    g_array_append_vals(message->rejected, status->rejected_dispatches->data, count);
}

static cJSON *encode_status(struct shard *shard)
{
    struct shard_status *status = &shard->status;
    struct status_message message;
    status_message_init(&message);
    message.epoch = shard->epoch;
    message.sequence = ++status->sequence;
    message.is_full = status->next_is_full || status->sent_count++ % MESSAGES_PER_FULL_STATUS == 0;
    message.wants_epoch_raise = status->wants_epoch_raise;
    status->next_is_full = false;
    if (message.is_full)
        shard_log_write_waits(shard);
    add_machines(shard, &message);
    add_rejected_dispatches(status, &message);
    g_array_append_vals(message.events, status->events->data, status->events->len);
    cJSON *json = status_message_encode(&message);
    status_message_clear(&message);
    return json;
}

/* ---- sending ---- */

/** Cordons the machines that the response names, and uncordons all others. */
static void apply_cordoned_machines(struct shard *shard, const cJSON *response)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        machine->is_cordoned = false;
    GPtrArray *names = status_response_decode(response);
    for (guint i = 0; i < names->len; i++) {
        machine = shard_find_machine(shard, names->pdata[i]);
        if (machine)
            machine->is_cordoned = true;
    }
    g_ptr_array_unref(names);
    shard->placement.capacity_changed = true;
}

static int64_t next_status_delay_ms(const struct shard_status *status, int http_status)
{
    if (status->is_requested)
        return STATUS_DELAY_MS;
    return http_status == HTTP_STATUS_OK ? STATUS_INTERVAL_MS : STATUS_RETRY_MS;
}

/** Drops what the leader has received. If the response was lost, the leader may have received the
 * message or not, so the next one is a full message. */
static void handle_status_response(void *arg, int http_status, const cJSON *response)
{
    struct status_request *request = arg;
    struct shard *shard = request->shard;
    struct shard_status *status = &shard->status;
    status->in_flight = false;
    if (http_status == HTTP_STATUS_OK && request->generation == shard->generation) {
        g_array_remove_range(status->rejected_dispatches, 0, request->rejected_count);
        g_array_remove_range(status->events, 0, request->event_count);
        status->wants_epoch_raise = false;
        status->is_requested = status->is_requested || status->rejected_dispatches->len > 0;
        apply_cordoned_machines(shard, response);
    } else {
        status->next_is_full = true;
    }
    timer_start(shard->loop, &status->timer, next_status_delay_ms(status, http_status));
    g_free(request);
}

void shard_send_status(void *arg)
{
    struct shard *shard = arg;
    struct shard_status *status = &shard->status;
    const char *leader = shard->replica->leader_label;
    status->is_requested = false;
    if (!leader || !shard_may_act(shard)) {
        timer_start(shard->loop, &status->timer, STATUS_RETRY_MS);
        return;
    }
    cJSON *message = encode_status(shard);
    struct status_request *request = g_new(struct status_request, 1);
    *request = (struct status_request){
        .shard = shard,
        .generation = shard->generation,
        .rejected_count = MIN(status->rejected_dispatches->len, MAX_REJECTED_PER_MESSAGE),
        .event_count = status->events->len,
    };
    status->in_flight = true;
    node_rpc_call(shard->node_rpc, leader, SHARD_MESSAGE_STATUS, message, STATUS_TIMEOUT_MS,
                  handle_status_response, request);
}
