#include "machine_health.h"

#include "log.h"
#include "quota_ledger.h"

enum {
    SLOW_AFTER = 5,  /* tasks, before a machine can be slow */
    SLOW_BESIDE = 3, /* tasks of a job, before another is compared with them */
    MAX_RUN_TIMES = 10000,
    SICK_AFTER = 2,        /* jobs that failed on a machine */
    SICK_MS = 120000,      /* then it may try again, if something kept it */
    AT_FAULT_AFTER = 3,    /* machines on which only this job failed */
    PAUSE_BASE_MS = 4000,  /* of a job that fails everywhere; doubled with each failure */
    MOST_PAUSE_MS = 40000, /* and at most */
    MOST_DOUBLINGS = 5,
    AVOID_AFTER_LOSS_MS = 5000,    /* a machine on which a task was lost */
    AVOID_AFTER_REPEAT_MS = 60000, /* a machine that failed tasks of the same job before */
    AVOID_AFTER_ERROR_MS = 10000,  /* a machine on which a task failed */
};

/* A machine is slow when its tasks take so many times as long as the others of their jobs. */
static const double SLOWDOWN_LIMIT = 1.7;

/* Shorter tasks tell nothing of a machine. */
static const double LEAST_MEAN_S = 0.5;

/* The weight of the latest task in the slowdown of its machine. */
static const double SLOWDOWN_WEIGHT = 0.25;

static void host_failed(struct leader *leader, struct leader_host *host, const char *job)
{
    if (!host->failed_jobs)
        host->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(host->failed_jobs, g_strdup(job));
    if (g_hash_table_size(host->failed_jobs) >= SICK_AFTER) {
        LOG_INFO("machine_sick", "machine=%s", host->id.s);
        host->sick_until = time_add_ms(loop_now(leader->loop), SICK_MS);
        g_hash_table_remove_all(host->failed_jobs);
    }
}

void leader_learn_run_time(struct leader *leader, const char *job, struct leader_host *host,
                           double took_s)
{
    struct job_run_time *run_time = g_hash_table_lookup(leader->run_times, job);
    if (!run_time) {
        if (g_hash_table_size(leader->run_times) > MAX_RUN_TIMES)
            g_hash_table_remove_all(leader->run_times);
        run_time = g_new0(struct job_run_time, 1);
        g_hash_table_insert(leader->run_times, g_strdup(job), run_time);
    }
    if (run_time->n >= SLOW_BESIDE && run_time->mean_s > LEAST_MEAN_S) {
        double slowdown = took_s / run_time->mean_s;
        host->slowdown = host->slowdown_samples++
                             ? host->slowdown + (slowdown - host->slowdown) * SLOWDOWN_WEIGHT
                             : slowdown;
    }
    run_time->mean_s += (took_s - run_time->mean_s) / ++run_time->n;
}

static gint by_value(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

void leader_measure_slowdowns(struct leader *leader)
{
    GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (host->told && host->slowdown_samples >= SLOW_AFTER)
            g_array_append_val(slowdowns, host->slowdown);
    g_array_sort(slowdowns, by_value);
    leader->median_slowdown =
        slowdowns->len ? g_array_index(slowdowns, double, (slowdowns->len - 1) / 2) : 1;
    g_array_unref(slowdowns);
}

bool leader_host_slow(const struct leader *leader, const struct leader_host *host)
{
    return host->slowdown_samples >= SLOW_AFTER &&
           host->slowdown > SLOWDOWN_LIMIT * MAX(leader->median_slowdown, 1);
}

/* Tasks of other jobs have failed on the machine, too. */
static bool fails_others(struct leader *leader, const char *host, const char *job)
{
    struct leader_host *h = leader_host_get(leader, host);
    if (!h)
        return false;
    guint n = h->failed_jobs ? g_hash_table_size(h->failed_jobs) : 0;
    bool this_one = n && g_hash_table_contains(h->failed_jobs, job);
    return time_before(loop_now(leader->loop), h->sick_until) || n > this_one;
}

/* Machines on which only this job has failed, as far as is known. When several machines are sick at
 * once, a large job comes to all of them within a moment, and is no worse than others. */
static guint failed_alone(struct leader *leader, struct leader_job *job)
{
    guint n = 0;
    GHashTableIter it;
    const char *host;
    g_hash_table_iter_init(&it, job->failed_on);
    while (g_hash_table_iter_next(&it, (gpointer *)&host, NULL))
        n += !fails_others(leader, host, job->id.s);
    return n;
}

/* A machine that failed a task gets nothing new for a while. If it has failed the same job before,
 * in another try, it has the job's image by now and would be chosen next: it is left out for
 * longer, whether the job is taken for the one at fault or not. */
static void avoid_after_error(struct leader *leader, struct leader_job *job,
                              struct leader_host *host)
{
    mono_time now = loop_now(leader->loop);
    bool same_try = time_before(now, host->avoid_until);
    bool failed_before = !g_hash_table_add(job->failed_on, g_strdup(host->id.s));
    int64_t avoid_ms = failed_before && !same_try ? AVOID_AFTER_REPEAT_MS : AVOID_AFTER_ERROR_MS;
    mono_time until = time_add_ms(now, avoid_ms);
    if (time_before(host->avoid_until, until))
        host->avoid_until = until;
}

void leader_task_failed(struct leader *leader, struct leader_job *job, struct leader_host *host,
                        enum cause cause)
{
    if (cause == CAUSE_INCOMPLETE) /* another task of its gang was missing */
        return;
    if (cause != CAUSE_ERROR) {
        host->avoid_until = time_add_ms(loop_now(leader->loop), AVOID_AFTER_LOSS_MS);
        return;
    }
    struct job *job_view = view_job(leader->view, job->id.s);
    if (!job->failed_on)
        job->failed_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    avoid_after_error(leader, job, host);
    bool at_fault =
        job_view && job_view->n_done == 0 && failed_alone(leader, job) >= AT_FAULT_AFTER;
    /* Its tasks fail within a moment of one another: that is one try, not many. */
    if (at_fault && time_before(loop_now(leader->loop), job->not_before))
        return;
    if (at_fault) {
        job->failures++;
        int64_t pause =
            MIN(MOST_PAUSE_MS, (int64_t)PAUSE_BASE_MS << MIN(job->failures, MOST_DOUBLINGS));
        job->not_before = time_add_ms(loop_now(leader->loop), pause);
        LOG_INFO("job_failing", "job=%s machines=%u pause_ms=%" G_GINT64_FORMAT, job->id.s,
                 g_hash_table_size(job->failed_on), pause);
        return;
    }
    host_failed(leader, host, job->id.s);
}
