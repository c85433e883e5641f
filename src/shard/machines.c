#include "run_records_internal.h"

#include "image_cache.h"
#include "log.h"

/* How long tasks took may be left out when there is much to tell; what went wrong may not, so soon.
 */
enum { MAX_TASK_TIME_EVENTS = 200, MAX_FAULT_EVENTS = 2 * MAX_TRACKED_MACHINES };

enum {
    MAX_CACHED_IMAGES = 12,
};

struct job *shard_find_live_job(struct shard *shard, job_id id)
{
    struct job *job = replica_get_job(shard->replica, id.text);
    return job && job->is_known && job->state == JOB_ACTIVE && job->spec ? job : NULL;
}

void shard_run_release_resources(struct shard *shard, struct machine *machine, struct task_run *run)
{
    if (run->phase == TASK_RUN_RELEASED)
        return;
    resources_subtract(&machine->allocated, run->resources);
    if (run->is_service)
        resources_subtract(&machine->service_resources, run->resources);
    shard->capacity_changed = true;
}

void shard_run_remove(struct shard *shard, struct machine *machine, guint position)
{
    shard_run_release_resources(shard, machine, machine->runs->pdata[position]);
    g_ptr_array_remove_index_fast(machine->runs, position);
}

struct task_run *shard_run_add(struct machine *machine, job_id job, uint32_t index,
                               attempt_no attempt, const struct job_spec *spec)
{
    struct task_run *run = g_new0(struct task_run, 1);
    run->job = job;
    run->index = index;
    run->attempt = attempt;
    run->record.page = run->record.next_page = -1;
    if (spec) {
        run->resources = resources_of_job_spec(spec);
        run->is_service = spec->form == FORM_SERVICE;
    }
    resources_add(&machine->allocated, run->resources);
    if (run->is_service)
        resources_add(&machine->service_resources, run->resources);
    g_ptr_array_add(machine->runs, run);
    return run;
}

struct task_run *shard_run_find(struct machine *machine, job_id job, uint32_t index,
                                attempt_no attempt)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->attempt.value == attempt.value && run->index == index &&
            job_id_equal(run->job, job))
            return run;
    }
    return NULL;
}

struct machine *shard_find_machine(struct shard *shard, const char *machine_name)
{
    return g_hash_table_lookup(shard->machines, machine_name);
}

struct machine *shard_add_machine(struct shard *shard, machine_id id)
{
    struct machine *machine = g_new0(struct machine, 1);
    machine->id = id;
    machine->runs = g_ptr_array_new_with_free_func(g_free);
    machine->image_cache = image_cache_new();
    machine->sent_status_flags = machine->inventory_number = -1;
    machine->unknown_tasks = g_array_new(FALSE, FALSE, sizeof(struct heartbeat_task));
    machine->owner_epoch = shard->epoch;
    machine->owned_at = machine->last_heartbeat_at = machine->last_reached_at =
        loop_now(shard->loop);
    machine->is_returning = shard_machine_is_returning(shard, id.text);
    g_hash_table_insert(shard->machines, machine->id.text, machine);
    return machine;
}

void shard_machine_update_capacity(struct shard *shard, struct machine *machine)
{
    const struct machine_type *type =
        machine_type_find(shard->replica->machine_types, machine->type_name);
    if (type)
        machine->capacity = resources_of_machine_type(type);
}

/* image: interned. */
static void machine_add_image(struct machine *machine, char *image)
{
    for (guint i = 0; i < machine->image_cache->len; i++)
        if (machine->image_cache->pdata[i] == image) {
            g_ptr_array_add(machine->image_cache, g_ptr_array_steal_index(machine->image_cache, i));
            return;
        }
    g_ptr_array_add(machine->image_cache, g_ref_string_acquire(image));
    machine->has_unrecorded_images = true;
    machine->has_sent_images = false;
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

void shard_run_stop(struct task_run *run, double grace_s)
{
    if (!run->is_stopping) {
        run->is_stopping = true;
        run->grace_s = grace_s;
        run->stop_sent_at = (mono_time){0};
    }
}

/* A cancellation that may hold counts only while this node can do nothing about it but wait: else
 * the view will tell soon, and the task would be stopped and started in turns. */
bool shard_job_is_over(struct shard *shard, job_id id)
{
    struct job *job = replica_get_job(shard->replica, id.text);
    if (job && job->is_known && job->state != JOB_ACTIVE)
        return true;
    enum cancel_status cancellation = cancel_broadcast_get_status(shard->cancel_broadcast, id);
    return cancellation == CANCEL_COMMITTED ||
           (cancellation == CANCEL_POSSIBLE && !membership_has_valid_lease(shard->membership));
}

/* Takes a run for what its job has become. */
void shard_run_stop_if_job_over(struct shard *shard, struct task_run *run)
{
    if (!shard_job_is_over(shard, run->job))
        return;
    shard_run_stop(run, 0);
    run->grace_s = 0; /* what it would save is of no use any more */
    if (run->job_over_since.us)
        return;
    run->job_over_since =
        cancel_broadcast_get_status(shard->cancel_broadcast, run->job)
            ? cancel_broadcast_confirmed_not_before(shard->cancel_broadcast, run->job)
            : shard->replica->previous_fresh_at;
    if (!run->job_over_since.us)
        run->job_over_since = loop_now(shard->loop);
}

static bool is_own_page(const struct shard *shard, const struct record_page *page)
{
    return strcmp(page->label, shard->settings->label) == 0;
}

static void run_set_page(const struct shard *shard, struct task_run *run,
                         const struct record_page *page)
{
    run->record.is_foreign = !is_own_page(shard, page);
    run->record.page = run->record.is_foreign ? -1 : page->number;
}

/* Makes what we hold of a machine agree with its records, which are the truth: all of them, or
 * those on one page of ours. Only called when the view is not older than our own last write of
 * these. Of the others it may be: taken for the truth then, it would free what was recorded just
 * now. */
void shard_machine_reconcile(struct shard *shard, struct machine *machine, int page)
{
    struct machine_record *machine_record = replica_get_machine(shard->replica, machine->id.text);
    if (machine_record && machine_record->address[0] && !machine->address[0]) {
        g_strlcpy(machine->address, machine_record->address, sizeof machine->address);
        g_strlcpy(machine->type_name, machine_record->machine_type_name, sizeof machine->type_name);
        g_strlcpy(machine->zone, machine_record->zone, sizeof machine->zone);
        machine->is_spot = machine_record->is_spot;
        shard_machine_update_capacity(shard, machine);
        for (guint i = 0; i < machine_record->cached_images->len; i++)
            machine_add_image(machine, machine_record->cached_images->pdata[i]);
        machine->has_unrecorded_images = false;
    }
    if (page < 0)
        machine->mod_revision = machine_record ? machine_record->mod_revision : (revision){0};
    for (guint i = 0; machine_record && i < machine_record->run_records->len; i++) {
        struct run_record *run_record = machine_record->run_records->pdata[i];
        if (page >= 0 &&
            (!is_own_page(shard, run_record->page) || run_record->page->number != page))
            continue;
        struct task_run *run = shard_run_find(machine, run_record->job->id, run_record->task_index,
                                              run_record->attempt);
        if (!run) {
            run = shard_run_add(machine, run_record->job->id, run_record->task_index,
                                run_record->attempt, run_record->job->spec);
            /* Whoever recorded it may have sent it with any token below ours. */
            run->sent_fencing_token.value = machine->owner_epoch.value - 1;
            run->placed_at = loop_now(shard->loop);
        }
        run_set_page(shard, run, run_record->page);
        if (run->phase == TASK_RUN_PLACED)
            run->phase = TASK_RUN_RECORDED;
        shard_run_stop_if_job_over(shard, run);
    }
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (page >= 0 && run->record.page != page)
            continue;
        struct job *job = replica_get_job(shard->replica, run->job.text);
        struct run_record *run_record = job ? job_get_run_record(job, run->index) : NULL;
        bool on_record = run_record && run_record->attempt.value == run->attempt.value &&
                         machine_id_equal(run_record->machine->id, machine->id);
        if (!on_record && (run->phase == TASK_RUN_RECORDED || run->phase == TASK_RUN_ENDED)) {
            shard_run_release_resources(shard, machine, run);
            run->phase = TASK_RUN_RELEASED;
        }
        if (on_record) {
            run_set_page(shard, run, run_record->page);
        } else {
            run->record.page = -1;
            run->record.is_foreign = false;
        }
    }
}

/* ---- proofs ---- */

static void run_end(struct shard *shard, struct task_run *run, bool is_completed)
{
    if (run->phase != TASK_RUN_RECORDED)
        return;
    run->phase = TASK_RUN_ENDED;
    run->ended_at = loop_now(shard->loop);
    run->is_completed = is_completed;
    if (is_completed)
        shard_add_completion(shard, run);
    shard_mark_dirty(shard);
    double busy_s = (double)time_ms_since(loop_now(shard->loop), run->placed_at) / 1000;
    if (run->placement_pool > 0)
        arq_busy_add(&shard->busy_history[run->placement_pool], busy_s);
}

/* Something about a task that the leader should know. */
static void add_leader_event(struct shard *shard, struct machine *machine, struct task_run *run,
                             const char *field, double value, bool is_fault)
{
    if (shard->leader_events->len >= (is_fault ? MAX_FAULT_EVENTS : MAX_TASK_TIME_EVENTS))
        return;
    cJSON *event = cJSON_CreateObject();
    cJSON_AddStringToObject(event, "h", machine->id.text);
    cJSON_AddStringToObject(event, "j", run->job.text);
    cJSON_AddNumberToObject(event, field, value);
    g_ptr_array_add(shard->leader_events, event);
}

/* The lease surely ran out: nobody can have renewed it after the moments below, neither this node
 * nor, as far as it goes by itself, an earlier owner; and other nodes say that they did not, or
 * cannot have for long enough. */
bool shard_lease_has_expired(struct shard *shard, struct machine *machine)
{
    const struct settings *settings = shard->settings;
    mono_time now = loop_now(shard->loop);
    int64_t lease_ms = (int64_t)(settings->lease_s * 1002) + 500,
            max_renewal_ms = shard_max_renewal_ms(shard) * 1002 / 1000;
    /* Until its worker shows a token that only we give, an earlier owner that is cut off may still
     * answer it, as long as shard_max_renewal_ms() lets it. */
    if (machine->fencing_token < machine->owner_epoch.value)
        return time_ms_since(now, machine->owned_at) >
                   (int64_t)(settings->cancel_timeout_s * 1002) + 1000 &&
               lease_proxy_leases_expired(shard->lease_proxy, machine->owned_at, lease_ms,
                                          max_renewal_ms);
    mono_time last_renewal_at = time_before(machine->last_answered_at, machine->token_seen_at)
                                    ? machine->token_seen_at
                                    : machine->last_answered_at;
    return time_ms_since(now, last_renewal_at) > lease_ms &&
           lease_proxy_leases_expired(shard->lease_proxy, last_renewal_at, lease_ms,
                                      max_renewal_ms);
}

void shard_end_all_runs(struct shard *shard, struct machine *machine, const char *reason)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED) {
            LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", run->job.text, run->index,
                     machine->id.text, reason);
            run_end(shard, run, false);
        }
    }
}

/* The cloud takes the machine back. What can save its work, or be replaced before it is missed, is
 * stopped now; so is what could not end in time. */
static void stop_before_reclaim(struct shard *shard, struct machine *machine, double left_s)
{
    mono_time now = loop_now(shard->loop);
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        struct job *job = shard_find_live_job(shard, run->job);
        if (!job || run->phase != TASK_RUN_RECORDED || job->spec->form == FORM_GANG)
            continue;
        const struct job_spec *spec = job->spec;
        double ran_s = run->running_at.us ? (double)time_ms_since(now, run->running_at) / 1000 : 0;
        if (spec->form == FORM_SERVICE || spec->checkpoint_interval_s > 0 ||
            ran_s + left_s < spec->expected_run_s * 0.8)
            shard_run_stop(run, spec->checkpoint_interval_s > 0
                                    ? MIN(spec->checkpoint_save_s, MAX(left_s, 0))
                                    : 0);
    }
}

static void handle_reported_run(struct shard *shard, struct machine *machine, struct task_run *run,
                                const struct heartbeat_task *task)
{
    bool is_new_state = !run->is_reported || run->reported_state != task->state;
    if (task->state == TASK_RUNNING && !run->running_at.us)
        run->running_at = loop_now(shard->loop);
    run->is_reported = true;
    run->has_vanished = false;
    run->reported_state = task->state;
    if (task->state == TASK_RUNNING || (task->state == TASK_EXITED && task->cause == CAUSE_DONE)) {
        struct job *job = replica_get_job(shard->replica, run->job.text);
        if (is_new_state && job && job->spec)
            machine_add_image(machine, job->spec->image);
    }
    if (task->state != TASK_EXITED || run->phase != TASK_RUN_RECORDED)
        return;
    if (task->cause != CAUSE_DONE && task->cause != CAUSE_STOPPED)
        LOG_INFO("task_exited", "job=%s task=%u machine=%s cause=%d", run->job.text, run->index,
                 machine->id.text, task->cause);
    if (task->cause != CAUSE_DONE && task->cause != CAUSE_STOPPED &&
        task->cause != CAUSE_GANG_PEERS_LOST) {
        add_leader_event(shard, machine, run, "c", task->cause, true);
        shard_request_status(shard);
    }
    if (task->cause == CAUSE_DONE && shard_find_live_job(shard, run->job) &&
        !shard_can_record_completion(shard, run))
        return; /* the next report says so again */
    /* Beside the others of its job, it shows slow machines. */
    if (task->cause == CAUSE_DONE && run->running_at.us)
        add_leader_event(shard, machine, run, "took",
                         (double)time_ms_since(loop_now(shard->loop), run->running_at) / 1000,
                         false);
    run_end(shard, run, task->cause == CAUSE_DONE);
}

static void handle_missing_run(struct shard *shard, struct machine *machine, struct task_run *run,
                               const struct heartbeat *heartbeat)
{
    bool was_seen = run->is_reported;
    run->is_reported = false;
    if (run->phase == TASK_RUN_RELEASED)
        return;
    if (run->phase != TASK_RUN_RECORDED)
        return;
    if (run->sent_agent_epoch && heartbeat->agent_epoch > run->sent_agent_epoch) {
        LOG_INFO("task_lost", "job=%s task=%u machine=%s why=session", run->job.text, run->index,
                 machine->id.text);
        run_end(shard, run, false);
        return;
    }
    /* Never sent by us, or sent with a lower token than the worker has seen since: no copy of the
     * command can start it any more. */
    bool cannot_start = heartbeat->fencing_token > run->sent_fencing_token.value;
    if (run->is_stopping || was_seen || run->has_vanished) {
        run->has_vanished = run->has_vanished || was_seen;
        if (cannot_start)
            run_end(shard, run, false);
        else if (time_ms_since(loop_now(shard->loop), run->run_sent_at) > 1000)
            shard->wants_epoch_raise = true;
    }
}

void shard_machine_reached(struct shard *shard, struct machine *machine)
{
    if (machine->probe_failures >= 2)
        shard_request_status(shard);
    if (!machine->is_reachable || machine->probe_failures)
        shard->capacity_changed = true;
    machine->is_reachable = true;
    machine->last_reached_at = loop_now(shard->loop);
    machine->probe_failures = 0;
}

/* Tells two lists of tasks apart. */
uint32_t shard_heartbeat_hash(const struct heartbeat *heartbeat)
{
    uint32_t hash = 1;
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        uint32_t task_hash = g_str_hash(task->job.text) * 31 + task->task_index;
        task_hash = (task_hash * 31 + (uint32_t)task->attempt.value) * 31 +
                    (uint32_t)task->state * 16 + (uint32_t)task->cause;
        hash += task_hash * 2654435761u;
    }
    return hash;
}

/* Takes in a report, or a worker's answer to a direct command. */
void shard_machine_apply_heartbeat(struct shard *shard, struct machine *machine,
                                   const struct heartbeat *heartbeat)
{
    mono_time now = loop_now(shard->loop);
    bool status_changed = !machine->has_reported;
    shard->capacity_changed = shard->capacity_changed || status_changed;
    machine->has_reported = true;
    machine->last_heartbeat_at = now;
    machine->heartbeat_hash = shard_heartbeat_hash(heartbeat);
    machine->agent_epoch = heartbeat->agent_epoch;
    machine->heartbeat_sequence = heartbeat->sequence;
    if (machine->fencing_token < machine->owner_epoch.value &&
        heartbeat->fencing_token >= machine->owner_epoch.value)
        machine->token_seen_at = now;
    machine->fencing_token = heartbeat->fencing_token;
    if ((heartbeat->reclaim_notice_s >= 0) != machine->is_reclaimed) {
        machine->is_reclaimed = heartbeat->reclaim_notice_s >= 0;
        status_changed = true;
        if (machine->is_reclaimed)
            LOG_INFO("machine_reclaimed", "machine=%s in_s=%.1f", machine->id.text,
                     heartbeat->reclaim_notice_s);
        if (machine->is_reclaimed)
            stop_before_reclaim(shard, machine, heartbeat->reclaim_notice_s);
    }
    g_array_set_size(machine->unknown_tasks, 0);
    for (guint k = 0; k < machine->runs->len; k++)
        ((struct task_run *)machine->runs->pdata[k])->in_heartbeat = false;
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        struct task_run *run = shard_run_find(machine, task->job, task->task_index, task->attempt);
        if (run) {
            run->in_heartbeat = true;
            handle_reported_run(shard, machine, run, task);
        } else {
            g_array_append_val(machine->unknown_tasks, *task);
        }
    }
    for (guint k = machine->runs->len; k-- > 0;) {
        struct task_run *run = machine->runs->pdata[k];
        if (run->in_heartbeat)
            continue;
        handle_missing_run(shard, machine, run, heartbeat);
        if (run->phase == TASK_RUN_RELEASED)
            shard_run_remove(shard, machine, k);
    }
    if (status_changed)
        shard_request_status(shard);
}
