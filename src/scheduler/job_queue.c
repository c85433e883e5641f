/** Implementation of the job queues and of the deficit round robin between teams. */
#include "job_queue.h"

#include "gang_scheduler.h"
#include "placement.h"
#include "preemption.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

/* Deficit round robin, in thousandths of a CPU. */
enum {
    MAX_DEFICIT_MILLI_CPUS = 10000000,
    /** Minimum quantum of a team, so that teams without a guarantee are served as well. */
    MIN_QUANTUM_MILLI_CPUS = 1000,
    /** A team's quantum is its guarantee divided by this. */
    QUANTUM_DIVISOR = 16,
};

/**
 * First rank of each group of jobs. Within a group, the rank depends on the priority. The first
 * group contains the jobs whose own or inherited priority is PRIORITY_PROD, and the jobs within the
 * guarantee of their team.
 */
enum {
    RANK_PROD = 0,
    RANK_BORROWED = RANK_PROD + PRIORITY_COUNT,
    RANK_BORROWED_LATE = RANK_BORROWED + PRIORITY_COUNT,
};

_Static_assert(RANK_BORROWED_LATE + PRIORITY_COUNT == RANK_COUNT,
               "RANK_COUNT does not match the ranks");

/**
 * Waiting time in seconds after which a job is no longer placed behind others for having missed its
 * objective. The largest jobs, too, must start within a few minutes.
 */
static const double AGED_AFTER_S = 150;

/**
 * Waiting time in seconds after which a job precedes all jobs that borrow resources, and is
 * preempted on account of its lower priority only by services.
 */
static const double OVERDUE_AFTER_S = 190;

/**
 * Weight of a job's size in the queue order. The job is queued as if it had become eligible later,
 * by this multiple of the time for which it would use its team's whole limit: small jobs overtake
 * large ones, but no job is overtaken indefinitely.
 */
static const double JOB_SIZE_WEIGHT = 4;

/** Compares the time for which the job has been waiting with its objective. */
static enum wait_stage find_wait_stage(struct leader *leader, const struct ledger_job *job,
                                       const struct job *job_record)
{
    double waited_s = (double)(loop_wall_time(leader->loop).ms - job_record->eligible_at.ms) / 1000;
    if (waited_s > OVERDUE_AFTER_S)
        return WAIT_OVERDUE;
    if (waited_s > AGED_AFTER_S)
        return WAIT_AGED;
    return waited_s < job->patience_s ? WAIT_ON_TIME : WAIT_LATE;
}

int job_queue_rank(struct leader *leader, const struct ledger_job *job)
{
    if (job->priority == PRIORITY_PROD)
        return RANK_PROD;
    if (quota_ledger_is_within_guarantee(quota_ledger_get_team(leader, job), job->task_resources))
        return job->priority;
    /* Overdue jobs precede all others that borrow resources, as jobs of high priority could
     * otherwise starve them. */
    if (job->queue.wait_stage == WAIT_OVERDUE)
        return RANK_BORROWED;
    int first_rank = job->queue.wait_stage == WAIT_LATE ? RANK_BORROWED_LATE : RANK_BORROWED;
    return first_rank + (int)job->priority;
}

/** Dispatches up to max_tasks tasks of the job to the machine. Returns the number dispatched. */
static int dispatch_to_machine(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, struct ledger_machine *machine,
                               attempt_no attempt, int max_tasks)
{
    int dispatched_tasks = 0;
    while (dispatched_tasks < max_tasks &&
           resources_fit(placement_free_resources(machine), job->task_resources) &&
           placement_is_zone_allowed(leader, job, job_record->spec, machine->zone_index)) {
        uint32_t index = quota_ledger_next_waiting_task(job, job_record);
        if (index >= job_record->task_count)
            break; /* the allowed count may exceed the number of tasks that are actually waiting */
        if (!quota_ledger_try_dispatch(leader, job, index, attempt, machine))
            break;
        /* The machine is one of those that are not avoided after the failures of the job. */
        shard_dispatcher_queue_dispatch(leader, job, index, job->failures.failed_machines != NULL);
        if (machine->zone_index >= 0)
            leader->pass.zone_task_counts[machine->zone_index]++;
        dispatched_tasks++;
    }
    return dispatched_tasks;
}

/**
 * Dispatches up to max_tasks tasks of the job to the best machines, and returns the number
 * dispatched. With needs_image set, only machines that have the job's image cached are used.
 */
static int dispatch_to_best_machines(struct leader *leader, struct ledger_job *job,
                                     struct job *job_record, int max_tasks, bool needs_image)
{
    if (placement_is_unschedulable(leader, job_record->spec))
        return 0;
    GArray *candidates = placement_find_candidates(leader, job, job_record->spec, needs_image);
    attempt_no attempt = quota_ledger_next_attempt(leader);
    int dispatched_tasks = 0;
    for (guint i = 0; i < candidates->len && dispatched_tasks < max_tasks; i++) {
        struct ledger_machine *machine =
            g_array_index(candidates, struct placement_candidate, i).machine;
        dispatched_tasks += dispatch_to_machine(leader, job, job_record, machine, attempt,
                                                max_tasks - dispatched_tasks);
    }
    if (!candidates->len && !needs_image)
        placement_add_unschedulable(leader, job_record->spec);
    g_array_unref(candidates);
    return dispatched_tasks;
}

/**
 * Dispatches up to max_tasks tasks of the job, and returns the number dispatched. If no machine can
 * take any of them, the job is blocked for the rest of the pass and tasks of other jobs may be
 * preempted for it.
 */
static int dispatch_or_preempt(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, int max_tasks)
{
    int allowed_tasks =
        (int)MIN(max_tasks, quota_ledger_count_allowed_tasks(leader, job, job_record));
    if (allowed_tasks <= 0)
        return 0;
    placement_count_zone_tasks(leader, job, job_record->spec);
    bool needs_image = preemption_should_wait_for_image(leader, job, job_record);
    int dispatched_tasks =
        dispatch_to_best_machines(leader, job, job_record, allowed_tasks, needs_image);
    if (!dispatched_tasks) {
        job->queue.is_blocked = true;
        preemption_free_resources(leader, job, job_record, needs_image);
    }
    return dispatched_tasks;
}

/** Returns part / whole, or 0 if there is no whole to divide by. */
static double fraction(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/** Returns how long the job would run, in seconds, if it used the whole limit of its team. */
static double run_time_at_team_limit_s(struct leader *leader, const struct ledger_job *job,
                                       const struct job *job_record)
{
    const struct team *quota = quota_ledger_get_team(leader, job)->quota;
    double cpus = (double)job->task_resources.cpus.milli * job_record->task_count;
    double gpus = (double)job->task_resources.gpus.milli * job_record->task_count;
    double share = MAX(fraction(cpus, (double)quota->cpus_max.milli),
                       fraction(gpus, (double)quota->gpus_max.milli));
    return share * job_record->spec->expected_run_s;
}

/**
 * Sort order of wait stages: aged and overdue jobs first, then jobs that can still meet their
 * objective, then jobs that have missed it.
 */
static int wait_stage_order(enum wait_stage stage)
{
    if (stage >= WAIT_AGED)
        return 0;
    return stage == WAIT_ON_TIME ? 1 : 2;
}

/** Comparison function that sorts by wait stage, then by sort key, then by job id. */
static gint compare_queue_order(gconstpointer a, gconstpointer b)
{
    const struct ledger_job *first = *(struct ledger_job *const *)a;
    const struct ledger_job *second = *(struct ledger_job *const *)b;
    int first_order = wait_stage_order(first->queue.wait_stage);
    int second_order = wait_stage_order(second->queue.wait_stage);
    if (first_order != second_order)
        return first_order < second_order ? -1 : 1;
    if (first->queue.sort_key_ms != second->queue.sort_key_ms)
        return first->queue.sort_key_ms < second->queue.sort_key_ms ? -1 : 1;
    return strcmp(first->id.text, second->id.text);
}

/**
 * Alternates aged jobs and on-time jobs at the front of a sorted queue. If one kind always preceded
 * the other, all jobs of the other kind would miss their objective.
 */
static void interleave_aged_jobs(GPtrArray *ready_jobs)
{
    guint aged_count = 0;
    guint on_time_count = 0;
    for (guint i = 0; i < ready_jobs->len; i++) {
        const struct ledger_job *job = ready_jobs->pdata[i];
        aged_count += job->queue.wait_stage >= WAIT_AGED;
        on_time_count += job->queue.wait_stage == WAIT_ON_TIME;
    }
    if (!aged_count || !on_time_count)
        return;
    GPtrArray *interleaved = g_ptr_array_sized_new(ready_jobs->len);
    for (guint i = 0; i < MAX(aged_count, on_time_count); i++) {
        if (i < aged_count)
            g_ptr_array_add(interleaved, ready_jobs->pdata[i]);
        if (i < on_time_count)
            g_ptr_array_add(interleaved, ready_jobs->pdata[aged_count + i]);
    }
    memcpy(ready_jobs->pdata, interleaved->pdata, interleaved->len * sizeof *interleaved->pdata);
    g_ptr_array_unref(interleaved);
}

/** Returns whether the job has nothing more to dispatch in this rank and pass. */
static bool is_done_with_rank(struct leader *leader, struct ledger_job *job, int rank)
{
    const struct job *job_record = job->queue.job_record;
    return job->queue.is_blocked ||
           quota_ledger_next_waiting_task(job, job_record) >= job_record->task_count ||
           job_queue_rank(leader, job) != rank;
}

/**
 * Dispatches tasks of a team until its deficit or the budget is used up, and adds their number to
 * *dispatched_tasks. Returns whether the team has more tasks to dispatch in this rank.
 */
static bool dispatch_team_turn(struct leader *leader, struct ledger_team *team, int rank,
                               int budget, int *dispatched_tasks)
{
    while (team->next_ready_index < team->ready_jobs->len && *dispatched_tasks < budget) {
        struct ledger_job *job = team->ready_jobs->pdata[team->next_ready_index];
        struct job *job_record = job->queue.job_record;
        if (is_done_with_rank(leader, job, rank)) {
            team->next_ready_index++;
            continue;
        }
        double cost = CLAMP((double)job->task_resources.cpus.milli, 1, MAX_DEFICIT_MILLI_CPUS);
        int max_tasks = (int)MIN(team->deficit_milli_cpus / cost, budget - *dispatched_tasks);
        if (max_tasks < 1)
            return true;
        int newly_dispatched = job_record->spec->form == FORM_GANG
                                   ? gang_scheduler_dispatch(leader, job, job_record)
                                   : dispatch_or_preempt(leader, job, job_record, max_tasks);
        if (newly_dispatched == 0)
            team->next_ready_index++;
        team->deficit_milli_cpus -= newly_dispatched * cost;
        *dispatched_tasks += newly_dispatched;
    }
    if (team->next_ready_index >= team->ready_jobs->len)
        team->deficit_milli_cpus = 0;
    return team->next_ready_index < team->ready_jobs->len;
}

/** Adds a round's quantum to the deficit of the team. */
static void add_turn_credit(struct ledger_team *team)
{
    int64_t quantum = MAX(team->quota->cpus.milli / QUANTUM_DIVISOR, MIN_QUANTUM_MILLI_CPUS);
    team->deficit_milli_cpus =
        MIN(team->deficit_milli_cpus + (double)quantum, MAX_DEFICIT_MILLI_CPUS);
}

int job_queue_dispatch_rank(struct leader *leader, int rank, int budget)
{
    struct quota_ledger *ledger = &leader->ledger;
    int dispatched_tasks = 0;
    bool has_remaining = true;
    for (int i = 0; i < ledger->team_count; i++)
        ledger->teams[i].next_ready_index = 0;
    while (has_remaining && dispatched_tasks < budget) {
        has_remaining = false;
        for (int i = 0; i < ledger->team_count && dispatched_tasks < budget; i++) {
            int team_index = (leader->pass.first_team_index + i) % ledger->team_count;
            struct ledger_team *team = &ledger->teams[team_index];
            if (team->next_ready_index >= team->ready_jobs->len)
                continue;
            add_turn_credit(team);
            if (dispatch_team_turn(leader, team, rank, budget, &dispatched_tasks))
                has_remaining = true;
        }
    }
    return dispatched_tasks;
}

/** Returns whether the job may have tasks to dispatch in this pass. */
static bool is_ready(struct leader *leader, struct ledger_job *job, const struct job *job_record)
{
    if (!job_record || !job_record->is_loaded || job_record->state != JOB_ACTIVE ||
        !job_record->spec)
        return false;
    /* The completion of the jobs that this one depends on must be on record, as it may have
     * happened under another leader. */
    if (job_record->has_pending_dependencies ||
        time_before(loop_now(leader->loop), job->failures.retry_at))
        return false;
    /* A gang may have to be completed or stopped even if none of its tasks is waiting. */
    return job_record->spec->form == FORM_GANG ||
           quota_ledger_next_waiting_task(job, job_record) < job_record->task_count;
}

/** Adds the job to the queue of its team. */
static void enqueue(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    double size_penalty_s = JOB_SIZE_WEIGHT * run_time_at_team_limit_s(leader, job, job_record);
    job->queue.wait_stage = find_wait_stage(leader, job, job_record);
    job->queue.job_record = job_record;
    job->queue.sort_key_ms = job_record->eligible_at.ms + (int64_t)(size_penalty_s * 1000);
    g_ptr_array_add(quota_ledger_get_team(leader, job)->ready_jobs, job);
}

bool job_queue_collect_ready(struct leader *leader)
{
    struct quota_ledger *ledger = &leader->ledger;
    bool has_ready_jobs = false;
    for (int i = 0; i < ledger->team_count; i++)
        g_ptr_array_set_size(ledger->teams[i].ready_jobs, 0);
    GHashTableIter it;
    struct ledger_job *job;
    g_hash_table_iter_init(&it, ledger->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_record = replica_get_job(leader->replica, job->id.text);
        job->queue.is_blocked = false;
        job->gang.reserved_task_count = 0;
        if (!is_ready(leader, job, job_record))
            continue;
        enqueue(leader, job, job_record);
        has_ready_jobs = true;
    }
    for (int i = 0; i < ledger->team_count; i++) {
        g_ptr_array_sort(ledger->teams[i].ready_jobs, compare_queue_order);
        interleave_aged_jobs(ledger->teams[i].ready_jobs);
    }
    return has_ready_jobs;
}
