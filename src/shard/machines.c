/**
 * @file
 * State of the machines that this node owns, from the replica and from heartbeats.
 */
#include "machine_internal.h"

#include "agent_fencing_internal.h"
#include "held_response.h"
#include "image_cache.h"
#include "log.h"
#include "machine_returns_internal.h"
#include "run_records_internal.h"
#include "task_end_internal.h"

enum {
    /** Number of images remembered for each machine, the most recently used. */
    MAX_CACHED_IMAGES = 12,
    HASH_FACTOR = 31,
};

/** Multiplier of Knuth's multiplicative hash. */
static const uint32_t HASH_MULTIPLIER = 2654435761u;

/** A task that will have run for at least this share of its expected run time when its machine is
 * reclaimed is left running, as it may finish in time. */
static const double MIN_USEFUL_RUN_SHARE = 0.8;

struct machine *shard_find_machine(struct shard *shard, const char *machine_name)
{
    return g_hash_table_lookup(shard->machines, machine_name);
}

/** Returns the epoch from which on this process owns a machine that is added now. The map may still
 * name an earlier process of this node. Agents have seen tokens of that epoch, so that a late copy
 * of a heartbeat could show one. */
static epoch_no first_owned_epoch(const struct shard *shard)
{
    bool is_in_map = shard_map_contains(shard->replica, shard->settings->label,
                                        membership_get_incarnation(shard->membership));
    return is_in_map ? shard->epoch : (epoch_no){shard->epoch.value + 1};
}

struct machine *shard_add_machine(struct shard *shard, machine_id id)
{
    struct machine *machine = g_new0(struct machine, 1);
    machine->id = id;
    machine->runs = g_ptr_array_new_with_free_func(g_free);
    machine->image_cache = image_cache_new();
    machine->sent_status.flags = machine->record.inventory_number = -1;
    machine->unknown_tasks = g_array_new(FALSE, FALSE, sizeof(struct heartbeat_task));
    machine->lease.owned_since_epoch = first_owned_epoch(shard);
    shard_fence_begin_ownership(shard, machine);
    /* This node may have owned the machine before in this epoch. */
    machine->fence.covers_pushed_runs = true;
    machine->lease.owned_since = machine->heartbeat.received_at =
        machine->reachability.confirmed_at = loop_now(shard->loop);
    machine->is_returning = shard_machine_is_returning(shard, id.text);
    g_hash_table_insert(shard->machines, machine->id.text, machine);
    return machine;
}

void shard_machine_free(gpointer data)
{
    struct machine *machine = data;
    g_ptr_array_unref(machine->runs);
    g_ptr_array_unref(machine->image_cache);
    g_array_unref(machine->unknown_tasks);
    g_free(machine->record.page_description);
    shard_drop_held_response(machine);
    g_free(machine);
}

void shard_machine_update_capacity(struct shard *shard, struct machine *machine)
{
    const struct machine_type *type =
        machine_type_find(shard->replica->machine_types, machine->type_name);
    if (type)
        machine->capacity = resources_of_machine_type(type);
}

void shard_machine_add_image(struct machine *machine, char *image)
{
    for (guint i = 0; i < machine->image_cache->len; i++)
        if (machine->image_cache->pdata[i] == image) {
            g_ptr_array_add(machine->image_cache, g_ptr_array_steal_index(machine->image_cache, i));
            return;
        }
    g_ptr_array_add(machine->image_cache, g_ref_string_acquire(image));
    machine->record.has_unrecorded_images = true;
    machine->sent_status.has_images = false;
    if (machine->image_cache->len > MAX_CACHED_IMAGES)
        g_ptr_array_remove_index(machine->image_cache, 0);
}

bool shard_machine_has_runs(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++)
        if (((struct task_run *)machine->runs->pdata[i])->phase != TASK_RUN_RELEASED)
            return true;
    return false;
}

bool shard_machine_has_unrecorded_run(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++)
        if (((const struct task_run *)machine->runs->pdata[i])->phase == TASK_RUN_PLACED)
            return true;
    return false;
}

static void set_run_page(const struct shard *shard, struct task_run *run,
                         const struct record_page *page)
{
    run->record.is_foreign = !shard_is_own_page(shard, page);
    run->record.page = run->record.is_foreign ? -1 : page->number;
}

/** Copies the description of a machine from its record, unless it is known already. */
static void set_description(struct shard *shard, struct machine *machine,
                            const struct machine_record *stored)
{
    if (!stored->address[0] || machine->address[0])
        return;
    g_strlcpy(machine->address, stored->address, sizeof machine->address);
    g_strlcpy(machine->type_name, stored->machine_type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, stored->zone, sizeof machine->zone);
    machine->is_spot = stored->is_spot;
    shard_machine_update_capacity(shard, machine);
    for (guint i = 0; i < stored->cached_images->len; i++)
        shard_machine_add_image(machine, stored->cached_images->pdata[i]);
    machine->record.has_unrecorded_images = false;
}

/** Adds a run for a record that another process wrote. */
static struct task_run *add_recorded_run(struct shard *shard, struct machine *machine,
                                         const struct run_record *stored)
{
    struct task_run *run = shard_run_add(machine, stored->job->id, stored->task_index,
                                         stored->attempt, stored->job->spec);
    /* The owner that recorded the run may have sent its command with any token below this owner's.
     */
    run->start.token = agent_token_last_before(machine->lease.owned_since_epoch);
    run->placed_at = loop_now(shard->loop);
    return run;
}

/** Adds a run for each record that has none, and marks placed runs that have a record as recorded.
 */
static void apply_run_records(struct shard *shard, struct machine *machine,
                              const struct machine_record *stored, int page)
{
    for (guint i = 0; i < stored->run_records->len; i++) {
        const struct run_record *record = stored->run_records->pdata[i];
        if (page >= 0 && (!shard_is_own_page(shard, record->page) || record->page->number != page))
            continue;
        struct task_run *run =
            shard_run_find(machine, record->job->id, record->task_index, record->attempt);
        if (!run)
            run = add_recorded_run(shard, machine, record);
        set_run_page(shard, run, record->page);
        if (run->phase == TASK_RUN_PLACED)
            run->phase = TASK_RUN_RECORDED;
        shard_run_request_stop_if_job_finished(shard, run);
    }
}

/** Updates the page that holds the run's record, and releases the run if its record was removed.
 * @param is_complete all records are applied, and no earlier transaction can add one. */
static void reconcile_run(struct shard *shard, struct machine *machine, struct task_run *run,
                          bool is_complete)
{
    const struct run_record *record = shard_find_run_record(shard, machine, run);
    if (record) {
        set_run_page(shard, run, record->page);
        return;
    }
    if (run->phase == TASK_RUN_RECORDED || run->phase == TASK_RUN_ENDED) {
        shard_run_release_resources(shard, machine, run);
        run->phase = TASK_RUN_RELEASED;
    }
    run->record.page = -1;
    run->record.is_foreign = false;
    if (is_complete)
        run->record.may_be_recorded = false;
}

void shard_machine_reconcile(struct shard *shard, struct machine *machine, int page)
{
    const struct machine_record *stored = replica_get_machine(shard->replica, machine->id.text);
    if (stored)
        set_description(shard, machine, stored);
    if (page < 0)
        machine->record.mod_revision = stored ? stored->mod_revision : (revision){0};
    if (stored)
        apply_run_records(shard, machine, stored, page);
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (page < 0 || run->record.page == page)
            reconcile_run(shard, machine, run, page < 0);
    }
}

/** Returns whether to stop a task before the cloud reclaims its machine: the task saves
 * checkpoints, it belongs to a service, so that it can be replaced before it is missed, or it could
 * not finish in time anyway. */
static bool should_stop_before_reclaim(const struct job_spec *spec, double run_time_s,
                                       double remaining_s)
{
    return spec->form == FORM_SERVICE || spec->checkpoint_interval_s > 0 ||
           run_time_s + remaining_s < spec->expected_run_s * MIN_USEFUL_RUN_SHARE;
}

/** Stops tasks on a machine before the cloud reclaims it.
 * @param remaining_s seconds until the machine is reclaimed */
static void stop_tasks_before_reclaim(struct shard *shard, struct machine *machine,
                                      double remaining_s)
{
    mono_time now = loop_now(shard->loop);
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        const struct job *job = shard_find_active_job(shard, run->job);
        if (!job || run->phase != TASK_RUN_RECORDED || job->spec->form == FORM_GANG)
            continue;
        const struct job_spec *spec = job->spec;
        mono_time running_since = run->reported.running_at;
        double run_time_s = running_since.us ? (double)time_ms_since(now, running_since) / 1000 : 0;
        bool has_checkpoints = spec->checkpoint_interval_s > 0;
        if (should_stop_before_reclaim(spec, run_time_s, remaining_s))
            shard_run_request_stop(
                run, has_checkpoints ? MIN(spec->checkpoint_save_s, MAX(remaining_s, 0)) : 0);
    }
}

/** Applies the cloud's reclaim notice or its withdrawal. Returns whether that is a change. */
static bool apply_reclaim_notice(struct shard *shard, struct machine *machine, double notice_s)
{
    bool is_being_reclaimed = notice_s >= 0;
    if (is_being_reclaimed == machine->is_being_reclaimed)
        return false;
    machine->is_being_reclaimed = is_being_reclaimed;
    if (is_being_reclaimed) {
        LOG_INFO("machine_reclaimed", "machine=%s in_s=%.1f", machine->id.text, notice_s);
        stop_tasks_before_reclaim(shard, machine, notice_s);
    }
    return true;
}

void shard_machine_mark_reachable(struct shard *shard, struct machine *machine)
{
    struct machine_reachability *reachability = &machine->reachability;
    if (reachability->probe_failures >= UNREACHABLE_PROBE_FAILURES)
        shard_request_status(shard);
    if (!reachability->is_confirmed || reachability->probe_failures)
        shard->placement.capacity_changed = true;
    reachability->is_confirmed = true;
    reachability->confirmed_at = loop_now(shard->loop);
    reachability->probe_failures = 0;
}

uint32_t shard_heartbeat_tasks_hash(const struct heartbeat *heartbeat)
{
    uint32_t hash = 1;
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        uint32_t task_hash = g_str_hash(task->job.text) * HASH_FACTOR + task->task_index;
        task_hash = task_hash * HASH_FACTOR + (uint32_t)task->attempt.value;
        task_hash = task_hash * HASH_FACTOR + (uint32_t)task->state * 16 + (uint32_t)task->cause;
        hash += task_hash * HASH_MULTIPLIER; /* the sum does not depend on the order of the tasks */
    }
    return hash;
}

/** Copies the counters and the fencing token of a heartbeat. */
static void store_heartbeat(struct machine *machine, const struct heartbeat *heartbeat,
                            mono_time now)
{
    struct machine_heartbeat *newest = &machine->heartbeat;
    agent_token owner_token = agent_token_first(machine->lease.owned_since_epoch);
    if (agent_token_lower(newest->token, owner_token) &&
        !agent_token_lower(heartbeat->token, owner_token))
        machine->lease.owner_token_seen_at = now;
    newest->has_reported = true;
    newest->received_at = now;
    newest->tasks_hash = shard_heartbeat_tasks_hash(heartbeat);
    newest->agent_epoch = heartbeat->agent_epoch;
    newest->sequence = heartbeat->sequence;
    newest->token = heartbeat->token;
}

/** Applies the tasks in a heartbeat: marks their runs as reported, and collects the unknown tasks.
 */
static void apply_reported_tasks(struct shard *shard, struct machine *machine,
                                 const struct heartbeat *heartbeat)
{
    g_array_set_size(machine->unknown_tasks, 0);
    for (guint i = 0; i < machine->runs->len; i++)
        ((struct task_run *)machine->runs->pdata[i])->reported.in_current_heartbeat = false;
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        struct task_run *run = shard_run_find(machine, task->job, task->task_index, task->attempt);
        if (run) {
            run->reported.in_current_heartbeat = true;
            shard_handle_reported_run(shard, machine, run, task);
        } else {
            g_array_append_val(machine->unknown_tasks, *task);
        }
    }
}

/** Handles the runs that a heartbeat does not name, and removes those that were kept only until the
 * agent stopped reporting them. */
static void apply_missing_runs(struct shard *shard, struct machine *machine,
                               const struct heartbeat *heartbeat)
{
    for (guint i = machine->runs->len; i-- > 0;) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->reported.in_current_heartbeat)
            continue;
        shard_handle_missing_run(shard, machine, run, heartbeat);
        if (run->phase == TASK_RUN_RELEASED)
            shard_run_remove(shard, machine, i);
    }
}

void shard_machine_apply_heartbeat(struct shard *shard, struct machine *machine,
                                   const struct heartbeat *heartbeat)
{
    bool status_changed = !machine->heartbeat.has_reported;
    if (status_changed)
        shard->placement.capacity_changed = true;
    store_heartbeat(machine, heartbeat, loop_now(shard->loop));
    shard_fence_adopt_token(shard, machine, heartbeat->token);
    if (apply_reclaim_notice(shard, machine, heartbeat->reclaim_notice_s))
        status_changed = true;
    apply_reported_tasks(shard, machine, heartbeat);
    apply_missing_runs(shard, machine, heartbeat);
    if (status_changed)
        shard_request_status(shard);
}
