/** Detects faulty and slow machines, and faulty jobs, by how tasks end. */
#include "machine_health.h"

#include "log.h"
#include "quota_ledger.h"

enum {
    /** Slowdown samples of a machine that are needed before it can be considered slow. */
    MIN_MACHINE_SAMPLES = 5,
    /** Succeeded tasks of a job that are needed before later ones are compared with them. */
    MIN_JOB_SAMPLES = 3,
    /** Limits the table of run times by job, which is cleared when it grows larger. */
    MAX_TRACKED_JOBS = 10000,
    /** A machine is quarantined once tasks of this many different jobs have failed on it. */
    QUARANTINE_JOB_COUNT = 2,
    /**
     * Duration of the quarantine. The autoscaler returns quarantined machines once they are idle; a
     * machine that is still there afterwards is used again.
     */
    QUARANTINE_MS = 120000,
    /** A job is faulty once it has failed on this many machines where no other job has failed. */
    FAULTY_JOB_MACHINE_COUNT = 3,
    /** Base of the delay before the next tasks of a faulty job; each failure doubles the delay. */
    RETRY_BASE_DELAY_MS = 4000,
    /** Limits how often the retry delay is doubled. */
    MAX_RETRY_DOUBLINGS = 5,
    /** Limits the retry delay itself. */
    MAX_RETRY_DELAY_MS = 40000,
    /** How long a machine is avoided after a task was lost on it. */
    AVOID_AFTER_LOSS_MS = 5000,
    /** How long a machine is avoided after a task exited with an error on it. */
    AVOID_AFTER_ERROR_MS = 10000,
    /** How long a machine is avoided after a task of a job that had already failed on it fails. */
    AVOID_AFTER_REPEATED_ERROR_MS = 60000,
};

/** A machine is slow if its slowdown exceeds the median slowdown by this factor. */
static const double SLOWDOWN_LIMIT = 1.7;

/** Tasks of jobs with a shorter mean run time are not used to measure machines. */
static const double MIN_MEAN_RUN_TIME_S = 0.5;

/** Weight of the latest task in the moving average of its machine's slowdown. */
static const double SLOWDOWN_WEIGHT = 0.25;

/** Returns the run times of a job, which are added if they do not exist. */
static struct job_run_time *ensure_job_run_time(struct leader *leader, const char *job_name)
{
    GHashTable *by_job = leader->run_times.by_job;
    struct job_run_time *run_time = g_hash_table_lookup(by_job, job_name);
    if (run_time)
        return run_time;
    if (g_hash_table_size(by_job) > MAX_TRACKED_JOBS)
        g_hash_table_remove_all(by_job);
    run_time = g_new0(struct job_run_time, 1);
    g_hash_table_insert(by_job, g_strdup(job_name), run_time);
    return run_time;
}

/** Adds a task's slowdown to the moving average of its machine. */
static void add_slowdown_sample(struct machine_health *health, double slowdown)
{
    if (health->slowdown_sample_count == 0)
        health->slowdown = slowdown;
    else
        health->slowdown = health->slowdown + (slowdown - health->slowdown) * SLOWDOWN_WEIGHT;
    health->slowdown_sample_count++;
}

void machine_health_record_run_time(struct leader *leader, const char *job_name,
                                    struct ledger_machine *machine, double run_time_s)
{
    struct job_run_time *run_time = ensure_job_run_time(leader, job_name);
    if (run_time->task_count >= MIN_JOB_SAMPLES && run_time->mean_s > MIN_MEAN_RUN_TIME_S)
        add_slowdown_sample(&machine->health, run_time_s / run_time->mean_s);
    run_time->task_count++;
    run_time->mean_s += (run_time_s - run_time->mean_s) / run_time->task_count;
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

void machine_health_update_median_slowdown(struct leader *leader)
{
    GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (machine->is_reported && machine->health.slowdown_sample_count >= MIN_MACHINE_SAMPLES)
            g_array_append_val(slowdowns, machine->health.slowdown);
    g_array_sort(slowdowns, compare_doubles);
    leader->run_times.median_slowdown =
        slowdowns->len ? g_array_index(slowdowns, double, (slowdowns->len - 1) / 2) : 1;
    g_array_unref(slowdowns);
}

bool machine_health_is_slow(const struct leader *leader, const struct ledger_machine *machine)
{
    return machine->health.slowdown_sample_count >= MIN_MACHINE_SAMPLES &&
           machine->health.slowdown > SLOWDOWN_LIMIT * MAX(leader->run_times.median_slowdown, 1);
}

/** Returns whether tasks of other jobs have failed on the machine, or it is quarantined. */
static bool has_other_failed_jobs(struct leader *leader, const char *machine_name,
                                  const char *job_name)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, machine_name);
    if (!machine)
        return false;
    if (time_before(loop_now(leader->loop), machine->health.quarantined_until))
        return true;
    GHashTable *failed_jobs = machine->health.failed_jobs;
    if (!failed_jobs)
        return false;
    guint this_job_count = g_hash_table_contains(failed_jobs, job_name) ? 1 : 0;
    return g_hash_table_size(failed_jobs) > this_job_count;
}

/**
 * Returns the number of machines on which, as far as is known, only this job has failed. If several
 * machines become faulty at the same time, a large job fails on all of them within moments without
 * being faulty itself.
 */
static guint count_exclusive_failures(struct leader *leader, struct ledger_job *job)
{
    guint machine_count = 0;
    GHashTableIter it;
    const char *machine_name;
    g_hash_table_iter_init(&it, job->failures.failed_machines);
    while (g_hash_table_iter_next(&it, (gpointer *)&machine_name, NULL))
        machine_count += !has_other_failed_jobs(leader, machine_name, job->id.text);
    return machine_count;
}

/**
 * Avoids a machine on which a task exited with an error. If a task of the same job failed there
 * earlier, and not together with this one, the machine is avoided for longer: it has cached the
 * job's image by then, so placement would prefer it.
 */
static void avoid_failed_machine(struct leader *leader, struct ledger_job *job,
                                 struct ledger_machine *machine)
{
    mono_time now = loop_now(leader->loop);
    bool is_already_avoided = time_before(now, machine->health.avoid_until);
    bool has_failed_before =
        !g_hash_table_add(job->failures.failed_machines, g_strdup(machine->id.text));
    int64_t avoid_ms = has_failed_before && !is_already_avoided ? AVOID_AFTER_REPEATED_ERROR_MS
                                                                : AVOID_AFTER_ERROR_MS;
    mono_time until = time_add_ms(now, avoid_ms);
    if (time_before(machine->health.avoid_until, until))
        machine->health.avoid_until = until;
}

/**
 * Returns whether the job itself is faulty: none of its tasks has succeeded, and it has failed on
 * several machines where no other job has.
 */
static bool is_job_faulty(struct leader *leader, struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    return job_record && job_record->completed_count == 0 &&
           count_exclusive_failures(leader, job) >= FAULTY_JOB_MACHINE_COUNT;
}

/** Delays the next tasks of a faulty job, with exponential backoff. */
static void delay_faulty_job(struct leader *leader, struct ledger_job *job)
{
    mono_time now = loop_now(leader->loop);
    /* Tasks that were started together also fail together, which counts as one failure. */
    if (time_before(now, job->failures.retry_at))
        return;
    job->failures.count++;
    int64_t delay_ms = (int64_t)RETRY_BASE_DELAY_MS
                       << MIN(job->failures.count, MAX_RETRY_DOUBLINGS);
    delay_ms = MIN(delay_ms, MAX_RETRY_DELAY_MS);
    job->failures.retry_at = time_add_ms(now, delay_ms);
    LOG_INFO("job_retry_delayed", "job=%s machines=%u delay_ms=%" G_GINT64_FORMAT, job->id.text,
             g_hash_table_size(job->failures.failed_machines), delay_ms);
}

/** Records that the job failed on the machine; quarantines it once several jobs have failed. */
static void quarantine_after_several_jobs(struct leader *leader, struct ledger_machine *machine,
                                          const char *job_name)
{
    struct machine_health *health = &machine->health;
    if (!health->failed_jobs)
        health->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(health->failed_jobs, g_strdup(job_name));
    if (g_hash_table_size(health->failed_jobs) < QUARANTINE_JOB_COUNT)
        return;
    LOG_INFO("machine_quarantined", "machine=%s", machine->id.text);
    health->quarantined_until = time_add_ms(loop_now(leader->loop), QUARANTINE_MS);
    g_hash_table_remove_all(health->failed_jobs);
}

void machine_health_record_failure(struct leader *leader, struct ledger_job *job,
                                   struct ledger_machine *machine, enum exit_cause cause)
{
    if (cause == CAUSE_INCOMPLETE) /* another task of its gang was missing */
        return;
    if (cause != CAUSE_ERROR) {
        machine->health.avoid_until = time_add_ms(loop_now(leader->loop), AVOID_AFTER_LOSS_MS);
        return;
    }
    if (!job->failures.failed_machines)
        job->failures.failed_machines =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    avoid_failed_machine(leader, job, machine);
    if (is_job_faulty(leader, job))
        delay_faulty_job(leader, job);
    else
        quarantine_after_several_jobs(leader, machine, job->id.text);
}
