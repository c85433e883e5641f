/* The quota ledger: jobs and machines, which tasks wait, are dealt or on record, what that counts
 * against the limits of their teams and books on machines, and the numbers of attempts. */
#ifndef LL_LEADER_LEDGER_H
#define LL_LEADER_LEDGER_H

#include "scheduler_internal.h"

/* Makes the tables of jobs and machines, empty. */
void leader_ledger_init(struct leader *leader);
/* The job, or NULL. */
struct leader_job *leader_job_get(struct leader *leader, const char *id);
/* The job, taken into the ledger if it was not there; NULL when its description is not known any
 * more, which is only so once nothing of it is on record. */
struct leader_job *leader_job_make(struct leader *leader, job_id id);
/* Takes over urgency and patience, which those that need a job lend it; they may come and go. */
void leader_job_take_lent(struct leader *leader, struct leader_job *job,
                          const struct job *job_view);
/* The key of a task in the entries and deals of its job. */
gpointer leader_key_of(uint32_t index);
/* The machine, or NULL. */
struct leader_host *leader_host_get(struct leader *leader, const char *id);
/* The machine, taken into the ledger if it was not there, with what it is. */
struct leader_host *leader_host_make(struct leader *leader, host_id id, const char *type_name,
                                     const char *zone, bool spot);
/* Takes a deal back, if the task is dealt: it waits again, or is on record. */
void leader_deal_drop(struct leader *leader, struct leader_job *job, uint32_t index);
/* Counts a task as on record; a deal under the same attempt has come to that. */
void leader_entry_add(struct leader *leader, job_id id, uint32_t index, attempt_no attempt,
                      host_id where);
/* The record of that attempt is gone: the task no longer counts. */
void leader_entry_remove(struct leader *leader, job_id id, uint32_t index, attempt_no attempt);
/* A new epoch, or this node has just come to lead: everything is taken from the view. What was
 * dealt under an earlier epoch and is not on record by now never will be, as every record is
 * conditioned on the map. */
void leader_ledger_rebuild(struct leader *leader);
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
