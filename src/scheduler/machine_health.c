#include "machine_health.h"

#include "log.h"
#include "quota_ledger.h"

enum {
    MIN_MACHINE_SAMPLES = 5, /* tasks, before a machine can be slow */
    MIN_JOB_SAMPLES = 3,     /* tasks of a job, before another is compared with them */
    MAX_RUN_TIMES = 10000,
    QUARANTINE_JOB_COUNT = 2,     /* jobs that failed on a machine */
    QUARANTINE_MS = 120000,       /* then it may try again, if something kept it */
    FAULTY_JOB_MACHINE_COUNT = 3, /* machines on which only this job failed */
    RETRY_BASE_DELAY_MS = 4000,   /* of a job that fails everywhere; doubled with each failure */
    MAX_RETRY_DELAY_MS = 40000,   /* and at most */
    MAX_RETRY_DOUBLINGS = 5,
    AVOID_AFTER_LOSS_MS = 5000,    /* a machine on which a task was lost */
    AVOID_AFTER_REPEAT_MS = 60000, /* a machine that failed tasks of the same job before */
    AVOID_AFTER_ERROR_MS = 10000,  /* a machine on which a task failed */
};

/* A machine is slow when its tasks take so many times as long as the others of their jobs. */
static const double SLOWDOWN_LIMIT = 1.7;

/* Shorter tasks tell nothing of a machine. */
static const double MIN_MEAN_RUN_TIME_S = 0.5;

/* The weight of the latest task in the slowdown of its machine. */
static const double SLOWDOWN_WEIGHT = 0.25;

static void quarantine_if_repeated(struct leader *leader, struct ledger_machine *machine,
                                   const char *job_name)
{
    if (!machine->health.failed_jobs)
        machine->health.failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(machine->health.failed_jobs, g_strdup(job_name));
    if (g_hash_table_size(machine->health.failed_jobs) >= QUARANTINE_JOB_COUNT) {
        LOG_INFO("machine_sick", "machine=%s", machine->id.text);
        machine->health.quarantined_until = time_add_ms(loop_now(leader->loop), QUARANTINE_MS);
        g_hash_table_remove_all(machine->health.failed_jobs);
    }
}

void machine_health_record_run_time(struct leader *leader, const char *job_name,
                                    struct ledger_machine *machine, double run_time_s)
{
    struct job_run_time *run_time = g_hash_table_lookup(leader->run_times.by_job, job_name);
    if (!run_time) {
        if (g_hash_table_size(leader->run_times.by_job) > MAX_RUN_TIMES)
            g_hash_table_remove_all(leader->run_times.by_job);
        run_time = g_new0(struct job_run_time, 1);
        g_hash_table_insert(leader->run_times.by_job, g_strdup(job_name), run_time);
    }
    if (run_time->task_count >= MIN_JOB_SAMPLES && run_time->mean_s > MIN_MEAN_RUN_TIME_S) {
        double slowdown = run_time_s / run_time->mean_s;
        machine->health.slowdown =
            machine->health.slowdown_sample_count++
                ? machine->health.slowdown + (slowdown - machine->health.slowdown) * SLOWDOWN_WEIGHT
                : slowdown;
    }
    run_time->mean_s += (run_time_s - run_time->mean_s) / ++run_time->task_count;
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

/* Tasks of other jobs have failed on the machine, too. */
static bool has_failed_other_jobs(struct leader *leader, const char *machine_name,
                                  const char *job_name)
{
    struct ledger_machine *machine = quota_ledger_find_machine(leader, machine_name);
    if (!machine)
        return false;
    guint failed_job_count =
        machine->health.failed_jobs ? g_hash_table_size(machine->health.failed_jobs) : 0;
    bool includes_this_job =
        failed_job_count && g_hash_table_contains(machine->health.failed_jobs, job_name);
    return time_before(loop_now(leader->loop), machine->health.quarantined_until) ||
           failed_job_count > includes_this_job;
}

/* Machines on which only this job has failed, as far as is known. When several machines are sick at
 * once, a large job comes to all of them within a moment, and is no worse than others. */
static guint count_exclusive_failures(struct leader *leader, struct ledger_job *job)
{
    guint machine_count = 0;
    GHashTableIter it;
    const char *machine_name;
    g_hash_table_iter_init(&it, job->failures.machines);
    while (g_hash_table_iter_next(&it, (gpointer *)&machine_name, NULL))
        machine_count += !has_failed_other_jobs(leader, machine_name, job->id.text);
    return machine_count;
}

/* A machine that failed a task gets nothing new for a while. If it has failed the same job before,
 * in another try, it has the job's image by now and would be chosen next: it is left out for
 * longer, whether the job is taken for the one at fault or not. */
static void avoid_failed_machine(struct leader *leader, struct ledger_job *job,
                                 struct ledger_machine *machine)
{
    mono_time now = loop_now(leader->loop);
    bool is_same_try = time_before(now, machine->health.avoid_until);
    bool has_failed_before = !g_hash_table_add(job->failures.machines, g_strdup(machine->id.text));
    int64_t avoid_ms =
        has_failed_before && !is_same_try ? AVOID_AFTER_REPEAT_MS : AVOID_AFTER_ERROR_MS;
    mono_time until = time_add_ms(now, avoid_ms);
    if (time_before(machine->health.avoid_until, until))
        machine->health.avoid_until = until;
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
    struct job *job_record = replica_get_job(leader->replica, job->id.text);
    if (!job->failures.machines)
        job->failures.machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    avoid_failed_machine(leader, job, machine);
    bool is_job_faulty = job_record && job_record->completed_count == 0 &&
                         count_exclusive_failures(leader, job) >= FAULTY_JOB_MACHINE_COUNT;
    /* Its tasks fail within a moment of one another: that is one try, not many. */
    if (is_job_faulty && time_before(loop_now(leader->loop), job->failures.retry_at))
        return;
    if (is_job_faulty) {
        job->failures.count++;
        int64_t delay_ms =
            MIN(MAX_RETRY_DELAY_MS,
                (int64_t)RETRY_BASE_DELAY_MS << MIN(job->failures.count, MAX_RETRY_DOUBLINGS));
        job->failures.retry_at = time_add_ms(loop_now(leader->loop), delay_ms);
        LOG_INFO("job_failing", "job=%s machines=%u pause_ms=%" G_GINT64_FORMAT, job->id.text,
                 g_hash_table_size(job->failures.machines), delay_ms);
        return;
    }
    quarantine_if_repeated(leader, machine, job->id.text);
}
