/* The quota ledger: which tasks wait, are dealt or on record, what that counts against the limits
 * of their teams, and the numbers of attempts. */
#ifndef LL_LEADER_LEDGER_H
#define LL_LEADER_LEDGER_H

#include "leader_state.h"

/* An attempt number that was never used before, by this leader or an earlier one. */
attempt_no leader_next_attempt(struct leader *leader);
/* Counts a task as dealt to the machine. */
void leader_book_deal(struct leader *leader, struct leader_job *job, uint32_t index,
                      attempt_no attempt, struct leader_host *host);
/* Whether the task is neither done nor on record nor dealt. */
bool leader_task_waits(const struct leader_job *job, const struct job *job_view, uint32_t index);
/* The next task that waits, or the job's size. */
uint32_t leader_next_waiting(struct leader_job *job, const struct job *job_view);
/* Tasks that are neither done nor on record nor dealt. */
uint32_t leader_count_waiting(struct leader_job *job, const struct job *job_view);
/* Whether more fits into the limits beside what is used. */
bool leader_within_limits(struct room used, struct room more, amount cpus, amount gpus);
/* What the team may still use. */
struct room leader_limit_left(const struct leader_team *team);
/* Tasks that wait and that the team's limit leaves room for. */
int64_t leader_count_allowed(struct leader *leader, struct leader_job *job, struct job *job_view);

#endif
