#include "leader_ledger.h"

/* Of an attempt number: the low bits count, those above are the epoch. */
enum { ATTEMPT_BITS = 20 };

attempt_no leader_next_attempt(struct leader *leader)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++leader->attempts >> ATTEMPT_BITS)
        membership_raise(leader->members, "attempts used up");
    return (attempt_no){leader->epoch.v << ATTEMPT_BITS |
                        (leader->attempts & ((1 << ATTEMPT_BITS) - 1))};
}

void leader_book_deal(struct leader *leader, struct leader_job *job, uint32_t index,
                      attempt_no attempt, struct leader_host *host)
{
    struct deal *deal = g_new0(struct deal, 1);
    deal->attempt = attempt;
    deal->host = host;
    deal->number = ++leader->deals;
    deal->since = loop_now(leader->loop);
    g_strlcpy(deal->zone, host->zone, sizeof deal->zone);
    g_hash_table_insert(job->deals, leader_key_of(index), deal);
    room_add(&host->dealt, job->room);
    room_add(&leader->teams[job->team].used, job->room);
}

bool leader_task_waits(const struct leader_job *job, const struct job *job_view, uint32_t index)
{
    return !job_task_done(job_view, index) && !job_placed(job_view, index) &&
           !g_hash_table_contains(job->entries, leader_key_of(index)) &&
           !g_hash_table_contains(job->deals, leader_key_of(index));
}

uint32_t leader_next_waiting(struct leader_job *job, const struct job *job_view)
{
    while (job->cursor < job_view->tasks && !leader_task_waits(job, job_view, job->cursor))
        job->cursor++;
    return job->cursor;
}

uint32_t leader_count_waiting(struct leader_job *job, const struct job *job_view)
{
    uint32_t busy =
        g_hash_table_size(job->entries) + g_hash_table_size(job->deals) + job_view->n_done;
    return busy >= job_view->tasks ? 0 : job_view->tasks - busy;
}

bool leader_within_limits(struct room used, struct room more, amount cpus, amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

struct room leader_limit_left(const struct leader_team *team)
{
    return room_left((struct room){team->team->cpus_max, team->team->gpus_max, {INT64_MAX / 4}},
                     team->used);
}

int64_t leader_count_allowed(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    struct room left = leader_limit_left(&leader->teams[job->team]);
    return MIN((int64_t)leader_count_waiting(job, job_view), room_times(left, job->room));
}
