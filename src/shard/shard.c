#include "agent_session_internal.h"

#include "log.h"
#include "run_records_internal.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

enum {
    TICK_MS = 250,
    STATUS_INTERVAL_MS = 1000,
    LEASE_EXPIRED_MARGIN_MS = 20000,
    FULL_STATUS_INTERVAL = 15, /* digests: one that names all machines */
};

static void handle_replica_events(struct shard *shard, const GArray *changes);
static void stop_runs_if_job_over(struct shard *shard, job_id id);
static void send_status(void *arg);
static void handle_tick(void *arg);
static int handle_dispatch_message(void *ctx, const char *from, const cJSON *message,
                                   cJSON **answer);

static void handle_message(struct actor *self, const struct message *message)
{
    if (message->kind == MSG_REPLICA)
        handle_replica_events((struct shard *)self, message->body);
    if (message->kind == MSG_CANCELLED)
        stop_runs_if_job_over((struct shard *)self, *(job_id *)message->body);
}

static void free_json(gpointer data)
{
    cJSON_Delete(data);
}

struct shard *shard_new(const struct shard_setup *setup)
{
    struct shard *shard = g_new0(struct shard, 1);
    shard->actor = (struct actor){"part", handle_message};
    shard->loop = setup->loop;
    shard->net = setup->net;
    shard->kv = setup->store;
    shard->replica = setup->view;
    shard->membership = setup->members;
    shard->node_rpc = setup->bus;
    shard->peers = setup->peers;
    shard->settings = setup->settings;
    shard->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    shard->returns.returned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->returns.older_returned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->returns.cordoned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_machine_free);
    for (int i = 0; i <= ARQ_CLASSES; i++)
        g_queue_init(&shard->placement.queues[i]);
    shard->status.rejected_dispatches = g_array_new(FALSE, FALSE, sizeof(struct dispatch));
    shard->status.events = g_ptr_array_new_with_free_func(free_json);
    shard->records.pages = g_ptr_array_new_with_free_func(own_page_free);
    shard->records.inventories = g_ptr_array_new_with_free_func(g_free);
    shard->records.completion_units =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, shard_completion_units_free);
    shard->placement.available_machines = g_ptr_array_new();
    shard->placement.unschedulable = g_array_new(FALSE, FALSE, sizeof(struct unschedulable));
    shard->records.write_budget_at = loop_now(shard->loop);
    timer_init(&shard->tick_timer, handle_tick, shard);
    timer_init(&shard->records.flush_timer, shard_flush, shard);
    timer_init(&shard->status.timer, send_status, shard);
    timer_init(&shard->placement.timer, shard_place_tasks, shard);
    replica_add_listener(shard->replica, &shard->actor);
    cancel_broadcast_set_listener(shard->peers, &shard->actor);
    node_rpc_register(shard->node_rpc, "deal", handle_dispatch_message, shard);
    return shard;
}

void shard_free(struct shard *shard)
{
    timer_stop(shard->loop, &shard->tick_timer);
    timer_stop(shard->loop, &shard->records.flush_timer);
    timer_stop(shard->loop, &shard->status.timer);
    timer_stop(shard->loop, &shard->placement.timer);
    shard_clear_dispatches(shard);
    g_hash_table_unref(shard->machines);
    g_hash_table_unref(shard->records.completion_units);
    g_ptr_array_unref(shard->records.pages);
    g_ptr_array_unref(shard->records.inventories);
    g_hash_table_unref(shard->redirects);
    g_hash_table_unref(shard->returns.returned);
    g_hash_table_unref(shard->returns.older_returned);
    g_hash_table_unref(shard->returns.cordoned);
    g_array_unref(shard->status.rejected_dispatches);
    g_ptr_array_unref(shard->status.events);
    g_ptr_array_unref(shard->placement.available_machines);
    g_array_unref(shard->placement.unschedulable);
    g_free(shard);
}

void shard_start(struct shard *shard)
{
    timer_start(shard->loop, &shard->tick_timer, TICK_MS);
    timer_start(shard->loop, &shard->status.timer, STATUS_INTERVAL_MS);
}

void shard_request_status(struct shard *shard)
{
    shard->status.is_requested = true;
    if (!shard->status.in_flight)
        timer_start(shard->loop, &shard->status.timer, 15);
}

/* ---- the leader ---- */

static void enqueue_dispatch(struct shard *shard, const cJSON *item)
{
    const char *zone = node_rpc_get_text(item, "y"), *bound_machine = node_rpc_get_text(item, "h");
    struct dispatch dispatch = {0};
    if (!node_rpc_decode_task(item, &dispatch.job, &dispatch.index, &dispatch.attempt)) {
        LOG_ERROR("deal_malformed", "at=%s", bound_machine ? bound_machine : "");
        return;
    }
    node_rpc_get_u64(item, "n", &dispatch.number);
    g_strlcpy(dispatch.zone, zone ? zone : "", sizeof dispatch.zone);
    g_strlcpy(dispatch.bound_machine, bound_machine ? bound_machine : "",
              sizeof dispatch.bound_machine);
    dispatch.dispatched_at = dispatch.queued_at = loop_now(shard->loop);
    shard->placement.capacity_changed = true;
    g_queue_push_tail(&shard->placement.queues[0], g_memdup2(&dispatch, sizeof dispatch));
}

static void stop_task(struct shard *shard, const cJSON *item)
{
    const char *machine_name = node_rpc_get_text(item, "h");
    const cJSON *grace = cJSON_GetObjectItemCaseSensitive(item, "g");
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct machine *machine = machine_name ? shard_find_machine(shard, machine_name) : NULL;
    if (!machine || !node_rpc_decode_task(item, &job, &index, &attempt))
        return;
    struct task_run *run = shard_run_find(machine, job, index, attempt);
    if (run) {
        shard_run_stop(run, cJSON_IsNumber(grace) ? grace->valuedouble : 0);
        shard_push_commands(shard, machine);
    }
}

/* What was placed and is in no transaction has not been started, and never will be: it goes back to
 * the leader, which would take it for dealt for ever. If it may be recorded by a transaction that
 * nobody knows the end of, only a new epoch settles it; keep_tried: it stays until that is known.
 */
static void reject_unrecorded_runs(struct shard *shard, struct machine *machine,
                                   bool keep_undecided)
{
    for (guint i = 0; i < machine->runs->len;) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase != TASK_RUN_PLACED || run->record.is_in_txn ||
            (keep_undecided && run->record.may_be_recorded)) {
            i++;
            continue;
        }
        struct dispatch dispatch = {.job = run->job,
                                    .index = run->index,
                                    .attempt = run->attempt,
                                    .number = run->dispatch_number};
        if (run->record.may_be_recorded)
            shard->status.wants_epoch_raise = true;
        else
            shard_reject_dispatch(shard, &dispatch);
        shard_run_remove(shard, machine, i);
    }
}

/* Late copies of its reports must not make it a machine again. The oldest of very many are
 * forgotten. */
static void remember_returned_machine(struct shard *shard, const char *machine_name)
{
    if (g_hash_table_size(shard->returns.returned) >= MAX_TRACKED_MACHINES) {
        GHashTable *recycled = shard->returns.older_returned;
        shard->returns.older_returned = shard->returns.returned;
        shard->returns.returned = recycled;
        g_hash_table_remove_all(shard->returns.returned);
    }
    g_hash_table_add(shard->returns.returned, g_strdup(machine_name));
}

bool shard_machine_was_returned(const struct shard *shard, const char *machine_name)
{
    return g_hash_table_contains(shard->returns.returned, machine_name) ||
           g_hash_table_contains(shard->returns.older_returned, machine_name);
}

static void handle_machine_gone(struct shard *shard, const char *machine_name)
{
    struct machine *machine = shard_find_machine(shard, machine_name);
    remember_returned_machine(shard, machine_name);
    if (!machine || machine->is_gone)
        return;
    LOG_INFO("machine_gone", "machine=%s", machine_name);
    machine->is_gone = true;
    shard_inventory_drop_machine(shard, machine);
    reject_unrecorded_runs(shard, machine, false);
    shard_end_all_runs(shard, machine, RUN_END_MACHINE_RETURNED);
    if (machine->record.mod_revision.value || machine->record.is_in_txn ||
        shard_machine_has_runs(machine)) {
        shard_mark_dirty(shard);
    } else {
        g_hash_table_remove(shard->machines, machine_name);
    }
}

/* Whether a machine is to be returned: nothing is placed on it any more. */
bool shard_machine_is_returning(const struct shard *shard, const char *machine_name)
{
    return g_hash_table_contains(shard->returns.cordoned, machine_name) ||
           role_records_is_scaling_in(shard->replica->singleton_roles, machine_name);
}

/* The leader is about to record that the machine goes back. Once this node has said that it places
 * nothing more there, nothing may: what was placed and is not on record goes back to the leader,
 * or, if a transaction may record it, is waited for, and the leader asks again. A later owner sees
 * the intent in its view before it owns the machine, as that is conditioned on the map. */
static void cordon_for_return(struct shard *shard, const char *machine_name, cJSON *confirmed)
{
    g_hash_table_add(shard->returns.cordoned, g_strdup(machine_name));
    struct machine *machine = shard_find_machine(shard, machine_name);
    if (machine) {
        machine->is_returning = true;
        reject_unrecorded_runs(shard, machine, true);
    }
    if (!machine || !shard_machine_has_unrecorded_run(machine))
        cJSON_AddItemToArray(confirmed, cJSON_CreateString(machine_name));
}

/* Messages come in an order, counted within an epoch. A copy that was held back must not deal a
 * task once more after it was given back. */
static int handle_dispatch_message(void *ctx, const char *from, const cJSON *message,
                                   cJSON **answer)
{
    struct shard *shard = ctx;
    uint64_t epoch, sequence;
    if (!node_rpc_get_u64(message, "e", &epoch) || !node_rpc_get_u64(message, "s", &sequence))
        return 400;
    if (epoch != shard->epoch.value || !membership_has_valid_lease(shard->membership) ||
        !shard->replica->leader_label || strcmp(shard->replica->leader_label, from) != 0)
        return 409;
    if (sequence <= shard->last_dispatch_sequence)
        return 200;
    shard->last_dispatch_sequence = sequence;
    const cJSON *item, *to_cordon = cJSON_GetObjectItemCaseSensitive(message, "close");
    if (to_cordon) {
        *answer = cJSON_CreateObject();
        cJSON *confirmed = cJSON_AddArrayToObject(*answer, "closed");
        cJSON_ArrayForEach(item, to_cordon)
        {
            if (cJSON_IsString(item))
                cordon_for_return(shard, item->valuestring, confirmed);
        }
    }
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, "gone"))
    {
        if (cJSON_IsString(item))
            handle_machine_gone(shard, item->valuestring);
    }
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, "halt"))
        stop_task(shard, item);
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(message, "deal"))
        enqueue_dispatch(shard, item);
    shard_place_tasks(shard);
    return 200;
}

struct status_request {
    struct shard *shard;
    uint64_t generation;
    guint rejected_count, event_count;
};

/* The leader names the machines that are to get nothing more. */
static void apply_cordoned_machines(struct shard *shard, const cJSON *names)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        machine->is_cordoned = false;
    const cJSON *item;
    cJSON_ArrayForEach(item, names)
    {
        machine = cJSON_IsString(item) ? shard_find_machine(shard, item->valuestring) : NULL;
        if (machine)
            machine->is_cordoned = true;
    }
    shard->placement.capacity_changed = true;
}

static void handle_status_answer(void *arg, int status, const cJSON *answer)
{
    struct status_request *request = arg;
    struct shard *shard = request->shard;
    shard->status.in_flight = false;
    if (status == 200 && request->generation == shard->generation) {
        g_array_remove_range(shard->status.rejected_dispatches, 0, request->rejected_count);
        g_ptr_array_remove_range(shard->status.events, 0, request->event_count);
        shard->status.wants_epoch_raise = false;
        apply_cordoned_machines(shard, cJSON_GetObjectItemCaseSensitive(answer, "shut"));
    } else {
        shard->status.next_is_full = true;
    }
    timer_start(shard->loop, &shard->status.timer,
                shard->status.is_requested ? 15
                : status == 200            ? STATUS_INTERVAL_MS
                                           : 250);
    g_free(request);
}

static int machine_flags(struct shard *shard, struct machine *machine)
{
    int64_t unreached_ms = time_ms_since(loop_now(shard->loop), machine->reachability.confirmed_at);
    int flags = 0;
    if (machine->heartbeat.has_reported)
        flags |= MACHINE_KNOWN;
    if (machine->is_reclaimed)
        flags |= MACHINE_RECLAIMED;
    if (!shard_machine_is_available(shard, machine))
        flags |= MACHINE_UNAVAILABLE;
    if (machine->reachability.probe_failures >= MIN_PROBE_FAILURES &&
        unreached_ms > (int64_t)(shard->settings->heartbeat_interval_s * 2500))
        flags |= MACHINE_UNREACHABLE;
    if ((flags & MACHINE_UNREACHABLE) &&
        unreached_ms > (int64_t)(shard->settings->lease_s * 1000) + LEASE_EXPIRED_MARGIN_MS &&
        (time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at) <
             (int64_t)(shard->settings->lease_s * 1000) ||
         shard_lease_has_expired(shard, machine))) /* else another node may keep it */
        flags |= MACHINE_LEASE_EXPIRED;
    return flags;
}

/* [name, type, zone, spot, flags, images]; images only when they changed. */
static cJSON *encode_machine_status(struct machine *machine, int flags, bool is_full)
{
    cJSON *item = cJSON_CreateArray();
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->id.text));
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->type_name));
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->zone));
    cJSON_AddItemToArray(item, cJSON_CreateBool(machine->is_spot));
    cJSON_AddItemToArray(item, cJSON_CreateNumber(flags));
    if (is_full || !machine->sent_status.has_images) {
        cJSON *images = cJSON_CreateArray();
        for (guint i = 0; i < machine->image_cache->len; i++)
            cJSON_AddItemToArray(images, cJSON_CreateString(machine->image_cache->pdata[i]));
        cJSON_AddItemToArray(item, images);
    }
    machine->sent_status.flags = flags;
    machine->sent_status.has_images = true;
    return item;
}

static void encode_machine_statuses(struct shard *shard, cJSON *message)
{
    bool is_full = shard->status.next_is_full || shard->status.count++ % FULL_STATUS_INTERVAL == 0;
    if (is_full)
        shard_log_write_waits(shard);
    cJSON *statuses = cJSON_AddArrayToObject(message, "hosts");
    if (is_full)
        cJSON_AddTrueToObject(message, "whole");
    shard->status.next_is_full = false;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        int flags = machine_flags(shard, machine);
        if (!machine->is_gone && machine->type_name[0] &&
            (is_full || flags != machine->sent_status.flags || !machine->sent_status.has_images))
            cJSON_AddItemToArray(statuses, encode_machine_status(machine, flags, is_full));
    }
}

static void send_status(void *arg)
{
    struct shard *shard = arg;
    shard->status.is_requested = false;
    if (!shard->replica->leader_label || !membership_has_valid_lease(shard->membership) ||
        shard->epoch.value != shard->replica->shard_map_epoch.value) {
        timer_start(shard->loop, &shard->status.timer, 250);
        return;
    }
    cJSON *message = cJSON_CreateObject();
    node_rpc_put_u64(message, "e", shard->epoch.value);
    node_rpc_put_u64(message, "s", ++shard->status.sequence);
    encode_machine_statuses(shard, message);
    cJSON *rejected = cJSON_AddArrayToObject(message, "back");
    for (guint i = 0; i < shard->status.rejected_dispatches->len; i++) {
        struct dispatch *dispatch =
            &g_array_index(shard->status.rejected_dispatches, struct dispatch, i);
        cJSON *item = node_rpc_encode_task(dispatch->job, dispatch->index, dispatch->attempt);
        node_rpc_put_u64(item, "n", dispatch->number);
        cJSON_AddItemToArray(rejected, item);
    }
    cJSON *events = cJSON_AddArrayToObject(message, "news");
    for (guint i = 0; i < shard->status.events->len; i++)
        cJSON_AddItemToArray(events, cJSON_Duplicate(shard->status.events->pdata[i], true));
    if (shard->status.wants_epoch_raise)
        cJSON_AddBoolToObject(message, "raise", true);
    struct status_request *request = g_new(struct status_request, 1);
    *request =
        (struct status_request){shard, shard->generation, shard->status.rejected_dispatches->len,
                                shard->status.events->len};
    shard->status.in_flight = true;
    node_rpc_call(shard->node_rpc, shard->replica->leader_label, "digest", message, 2000,
                  handle_status_answer, request);
}

/* ---- the view ---- */

static bool owns_machine(struct shard *shard, const char *machine_name)
{
    const char *owner = shard_map_get_owner(shard->replica, machine_name);
    return owner && strcmp(owner, shard->settings->label) == 0 &&
           shard_map_contains(shard->replica, shard->settings->label,
                              membership_get_incarnation(shard->membership));
}

/* A new epoch: what was dealt under the last one and is not on record is void, and machines may
 * have changed hands. Nothing that was written under the last epoch can come after the map. */
static void begin_epoch(struct shard *shard)
{
    /* If the view shows several new epochs at once, a machine may have had another owner in
     * between, whose commands may still be on their way: it is as if it were taken over only now.
     */
    bool skipped = shard->replica->shard_map_epoch.value != shard->epoch.value + 1;
    shard->epoch = shard->replica->shard_map_epoch;
    shard->generation++;
    shard->last_dispatch_sequence = 0;
    shard->status.next_is_full = true;
    shard->status.wants_epoch_raise = false;
    shard_clear_dispatches(shard);
    g_hash_table_remove_all(shard->returns.cordoned);
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (!owns_machine(shard, machine->id.text)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        machine->is_returning = shard_machine_is_returning(shard, machine->id.text);
        if (skipped) {
            machine->lease.owner_epoch = shard->epoch;
            machine->lease.owned_at = loop_now(shard->loop);
        }
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            run->record.is_in_txn = false;
            if (skipped)
                run->start.fencing_token.value = shard->epoch.value - 1;
            if (run->phase == TASK_RUN_ENDED)
                run->phase = TASK_RUN_RECORDED; /* proven again by the next report */
        }
        machine->record.is_in_txn = false;
        machine->record.change = MACHINE_RECORD_UNCHANGED;
    }
    struct machine_record *machine_record;
    g_hash_table_iter_init(&iter, shard->replica->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine_record)) {
        if (!owns_machine(shard, machine_record->id.text) ||
            shard_find_machine(shard, machine_record->id.text))
            continue;
        shard_add_machine(shard, machine_record->id);
    }
    shard_records_reconcile(shard);
    GPtrArray *gone_machines = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        reject_unrecorded_runs(shard, machine, false);
        shard->status.wants_epoch_raise = false; /* the epoch is new */
        if (machine->is_gone)
            g_ptr_array_add(gone_machines, g_strdup(machine->id.text));
        else if (!machine->heartbeat.has_reported)
            shard_probe_agent(shard, machine); /* its answer shows what runs there */
    }
    for (guint i = 0; i < gone_machines->len; i++) {
        shard_find_machine(shard, gone_machines->pdata[i])->is_gone = false;
        handle_machine_gone(shard, gone_machines->pdata[i]);
    }
    g_ptr_array_unref(gone_machines);
    g_array_set_size(shard->status.rejected_dispatches, 0);
    shard_request_status(shard);
}

static void stop_runs_if_job_over(struct shard *shard, job_id id)
{
    if (!shard_job_is_over(shard, id))
        return;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        bool has_run = false;
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (job_id_equal(run->job, id) && run->phase != TASK_RUN_RELEASED) {
                shard_run_stop_if_job_over(shard, run);
                has_run = true;
            }
        }
        if (has_run)
            shard_push_commands(shard, machine);
    }
}

static void handle_replica_events(struct shard *shard, const GArray *changes)
{
    if (shard->epoch.value != shard->replica->shard_map_epoch.value)
        begin_epoch(shard);
    for (guint i = 0; i < changes->len; i++) {
        const struct replica_event *event = &g_array_index(changes, struct replica_event, i);
        struct machine *machine;
        struct machine_record *machine_record;
        switch (event->kind) {
        case REPLICA_EVENT_JOB:
            stop_runs_if_job_over(shard, event->job);
            shard->placement.capacity_changed =
                shard->placement.capacity_changed || shard->placement.queues[0].length;
            break;
        case REPLICA_EVENT_MACHINE:
            machine = shard_find_machine(shard, event->machine.text);
            machine_record = replica_get_machine(shard->replica, event->machine.text);
            if (machine && !machine->record.is_in_txn && machine_record &&
                machine_record->mod_revision.value > machine->record.mod_revision.value)
                machine->record.mod_revision = machine_record->mod_revision;
            break;
        case REPLICA_EVENT_MACHINE_RETURN:
            machine = shard_find_machine(shard, event->machine.text);
            if (machine)
                machine->is_returning = shard_machine_is_returning(shard, machine->id.text);
            break;
        case REPLICA_EVENT_PAGE:
            shard_handle_page_changed(shard, event->page_key);
            break;
        case REPLICA_EVENT_MACHINE_TYPES: {
            GHashTableIter iter;
            g_hash_table_iter_init(&iter, shard->machines);
            while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
                shard_machine_update_capacity(shard, machine);
            break;
        }
        default:
            break;
        }
    }
    shard_place_tasks(shard);
    shard_request_flush(shard);
}

static void handle_tick(void *arg)
{
    struct shard *shard = arg;
    timer_start(shard->loop, &shard->tick_timer, TICK_MS);
    mono_time now = loop_now(shard->loop);
    bool valid = membership_has_valid_lease(shard->membership);
    GHashTableIter it;
    struct machine *machine;
    g_hash_table_iter_init(&it, shard->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        int64_t age = time_ms_since(now, machine->heartbeat.received_at);
        if (machine->is_gone || !valid)
            continue;
        if (!machine->heartbeat.has_reported || !machine->reachability.is_confirmed ||
            age > (int64_t)(shard->settings->heartbeat_interval_s * 1250) + 1000)
            shard_probe_agent(shard, machine);
        if (age > (int64_t)(shard->settings->lease_s * 1000) && shard_machine_has_runs(machine) &&
            shard_lease_has_expired(shard, machine))
            shard_end_all_runs(shard, machine, RUN_END_LEASE_EXPIRED);
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (run->phase == TASK_RUN_RECORDED && !run->start.sent_at.us &&
                run->reported.visibility != RUN_REPORTED && !run->stop.is_requested) {
                shard_push_commands(shard, machine);
                break;
            }
        }
    }
    if (shard->status.wants_epoch_raise)
        shard_request_status(shard);
    shard->placement.capacity_changed = true; /* what has waited for too long is given back */
    shard_place_tasks(shard);
    shard_request_flush(shard);
}
