/**
 * @file
 * Runs of tasks: allocation of resources, stop requests, and the state of their jobs.
 */
#include "shard_internal.h"

struct job *shard_find_active_job(struct shard *shard, job_id id)
{
    struct job *job = replica_get_job(shard->replica, id.text);
    return job && job->is_loaded && job->state == JOB_ACTIVE && job->spec ? job : NULL;
}

/* A possible cancellation counts only while this node has no lease: it can then neither start the
 * task again nor learn more about the cancellation. With a lease, the replica will soon show the
 * outcome, and the task might be stopped needlessly. */
bool shard_job_is_finished(struct shard *shard, job_id id)
{
    struct job *job = replica_get_job(shard->replica, id.text);
    if (job && job->is_loaded && job->state != JOB_ACTIVE)
        return true;
    enum cancel_status cancellation = cancel_broadcast_get_status(shard->cancel_broadcast, id);
    return cancellation == CANCEL_COMMITTED ||
           (cancellation == CANCEL_POSSIBLE && !membership_has_valid_lease(shard->membership));
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

void shard_run_release_resources(struct shard *shard, struct machine *machine, struct task_run *run)
{
    if (run->phase == TASK_RUN_RELEASED)
        return;
    resources_subtract(&machine->allocated, run->resources);
    if (run->is_service)
        resources_subtract(&machine->service_resources, run->resources);
    shard->placement.capacity_changed = true;
}

void shard_run_remove(struct shard *shard, struct machine *machine, guint position)
{
    shard_run_release_resources(shard, machine, machine->runs->pdata[position]);
    g_ptr_array_remove_index_fast(machine->runs, position);
}

void shard_run_request_stop(struct task_run *run, double grace_s)
{
    if (!run->stop.is_requested) {
        run->stop.is_requested = true;
        run->stop.grace_s = grace_s;
        run->stop.sent_at = (mono_time){0};
    }
}

void shard_run_request_stop_if_job_finished(struct shard *shard, struct task_run *run)
{
    if (!shard_job_is_finished(shard, run->job))
        return;
    shard_run_request_stop(run, 0);
    run->stop.grace_s = 0; /* even if requested before: the saved state would not be used */
    if (run->stop.job_finished_since.us)
        return;
    run->stop.job_finished_since =
        cancel_broadcast_get_status(shard->cancel_broadcast, run->job) != CANCEL_NONE
            ? cancel_broadcast_get_earliest_confirmation(shard->cancel_broadcast, run->job)
            : shard->replica->previous_fresh_at;
    if (!run->stop.job_finished_since.us)
        run->stop.job_finished_since = loop_now(shard->loop);
}
