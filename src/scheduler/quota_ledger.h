/* The quota ledger: jobs and machines, which tasks wait, are dealt or on record, what that counts
 * against the limits of their teams and books on machines, and the numbers of attempts. */
#ifndef LL_LEADER_LEDGER_H
#define LL_LEADER_LEDGER_H

#include "scheduler_internal.h"

/* Makes the tables of jobs and machines, empty. */
void quota_ledger_init(struct leader *leader);
/* The job, or NULL. */
struct ledger_job *quota_ledger_find_job(struct leader *leader, const char *id);
/* The job, taken into the ledger if it was not there; NULL when its description is not known any
 * more, which is only so once nothing of it is on record. */
struct ledger_job *quota_ledger_ensure_job(struct leader *leader, job_id id);
/* Takes over urgency and patience, which those that need a job lend it; they may come and go. */
void quota_ledger_update_inherited(struct leader *leader, struct ledger_job *job,
                                   const struct job *job_record);
/* The key of a task in the entries and deals of its job. */
gpointer quota_ledger_task_key(uint32_t index);
/* The machine, or NULL. */
struct ledger_machine *quota_ledger_find_machine(struct leader *leader, const char *id);
/* The machine, taken into the ledger if it was not there, with what it is. */
struct ledger_machine *quota_ledger_ensure_machine(struct leader *leader, machine_id id,
                                                   const char *type_name, const char *zone,
                                                   bool spot);
/* Takes a deal back, if the task is dealt: it waits again, or is on record. */
void quota_ledger_drop_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index);
/* Counts a task as on record; a deal under the same attempt has come to that. */
void quota_ledger_add_allocation(struct leader *leader, job_id id, uint32_t index,
                                 attempt_no attempt, machine_id location);
/* The record of that attempt is gone: the task no longer counts. */
void quota_ledger_remove_allocation(struct leader *leader, job_id id, uint32_t index,
                                    attempt_no attempt);
/* A new epoch, or this node has just come to lead: everything is taken from the view. What was
 * dealt under an earlier epoch and is not on record by now never will be, as every record is
 * conditioned on the map. */
void quota_ledger_rebuild(struct leader *leader);
/* An attempt number that was never used before, by this leader or an earlier one. */
attempt_no quota_ledger_next_attempt(struct leader *leader);
/* Counts a task as dealt to the machine. */
void quota_ledger_add_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                               attempt_no attempt, struct ledger_machine *machine);
/* Whether the task is neither done nor on record nor dealt. */
bool quota_ledger_is_task_waiting(const struct ledger_job *job, const struct job *job_record,
                                  uint32_t index);
/* The next task that waits, or the job's size. */
uint32_t quota_ledger_next_waiting_task(struct ledger_job *job, const struct job *job_record);
/* Tasks that are neither done nor on record nor dealt. */
uint32_t quota_ledger_count_waiting_tasks(struct ledger_job *job, const struct job *job_record);
/* Whether more fits into the limits beside what is used. */
bool quota_ledger_is_within_limits(struct resources used, struct resources more, amount cpus,
                                   amount gpus);
/* What the team may still use. */
struct resources quota_ledger_remaining_limit(const struct ledger_team *team);
/* Tasks that wait and that the team's limit leaves room for. */
int64_t quota_ledger_count_allowed_tasks(struct leader *leader, struct ledger_job *job,
                                         struct job *job_record);

#endif
