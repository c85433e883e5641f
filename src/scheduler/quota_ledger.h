/**
 * The quota ledger: the leader's accounts of jobs, machines and teams. It records which tasks are
 * waiting, dispatched or allocated, what they use of their team's quota and of their machine's
 * capacity, and it issues attempt numbers.
 *
 * A task is *waiting* when it is neither completed, dispatched nor allocated; *dispatched* once the
 * leader has assigned it to a shard; *allocated* from the moment its run record is seen in the
 * replica until that record is removed.
 */
#ifndef LL_QUOTA_LEDGER_H
#define LL_QUOTA_LEDGER_H

#include "scheduler_internal.h"

/** Creates the tables of jobs and machines and the accounts of the teams in the settings. */
void quota_ledger_init(struct leader *leader);
/** Frees them. */
void quota_ledger_clear(struct leader *leader);
/** Rebuilds the ledger from the replica, for a new epoch or after this node became the leader.
 * Dispatches of earlier epochs are dropped: those without a run record can never get one, as run
 * records are written on condition that the shard map is unchanged. */
void quota_ledger_rebuild(struct leader *leader);

/** The job, or NULL. */
struct ledger_job *quota_ledger_find_job(struct leader *leader, const char *id);
/** The job, added to the ledger if necessary. NULL when its specification is no longer known, which
 * is only possible once it has no run records, or when its team is not configured. */
struct ledger_job *quota_ledger_ensure_job(struct leader *leader, job_id id);
/** Removes the job and its accounts of tasks. */
void quota_ledger_remove_job(struct leader *leader, job_id id);
/** Updates priority and patience, which a job inherits from those that depend on it and which
 * therefore change as these come and go. Does nothing when job is NULL. */
void quota_ledger_update_priority(struct leader *leader, struct ledger_job *job,
                                  const struct job *job_record);
/** The accounts of the job's team. */
struct ledger_team *quota_ledger_get_team(struct leader *leader, const struct ledger_job *job);

/** The machine, or NULL. */
struct ledger_machine *quota_ledger_find_machine(struct leader *leader, const char *id);
/** The machine, added to the ledger if necessary, with its description updated. */
struct ledger_machine *quota_ledger_ensure_machine(struct leader *leader, machine_id id,
                                                   const char *type_name, const char *zone,
                                                   bool is_spot);

/** An attempt number that neither this leader nor an earlier one has used. Raises the epoch when
 * the numbers of the current one are exhausted. */
attempt_no quota_ledger_next_attempt(struct leader *leader);
/** Accounts for a task that is dispatched to the machine. */
void quota_ledger_add_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                               attempt_no attempt, struct ledger_machine *machine);
/** Removes the dispatch of a task, if there is one: the task is waiting again, or allocated. */
void quota_ledger_remove_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index);
/** Accounts for the run record of a task on a machine, and removes its dispatch if that has the
 * same attempt. Does nothing when the task is allocated already. */
void quota_ledger_add_allocation(struct leader *leader, job_id id, uint32_t index,
                                 attempt_no attempt, machine_id allocated_machine);
/** Accounts for the removal of a run record. Does nothing for any other attempt. */
void quota_ledger_remove_allocation(struct leader *leader, job_id id, uint32_t index,
                                    attempt_no attempt);
/** The dispatch of the task, or NULL. */
struct pending_dispatch *quota_ledger_find_dispatch(const struct ledger_job *job, uint32_t index);
/** The allocation of the task, or NULL. */
struct allocation *quota_ledger_find_allocation(const struct ledger_job *job, uint32_t index);
/** The index of the task with this key in ledger_job.allocations or ledger_job.dispatches. */
uint32_t quota_ledger_task_index(gconstpointer key);

bool quota_ledger_is_task_waiting(const struct ledger_job *job, const struct job *job_record,
                                  uint32_t index);
/** The index of the first waiting task, or the job's number of tasks. */
uint32_t quota_ledger_next_waiting_task(struct ledger_job *job, const struct job *job_record);
/** The number of waiting tasks. */
uint32_t quota_ledger_count_waiting_tasks(const struct ledger_job *job,
                                          const struct job *job_record);
/** The number of waiting tasks that the team's limit permits. */
int64_t quota_ledger_count_allowed_tasks(struct leader *leader, const struct ledger_job *job,
                                         const struct job *job_record);

/** The resources of so many tasks of the job, as far as quotas limit them: CPUs and GPUs. */
struct resources quota_ledger_quota_request(const struct ledger_job *job, int64_t task_count);
/** Whether the team's use stays within its guarantee when `more` is added. */
bool quota_ledger_is_within_guarantee(const struct ledger_team *team, struct resources additional);
/** Whether the team's use stays within its limit when `more` is added. */
bool quota_ledger_is_within_limit(const struct ledger_team *team, struct resources additional);
/** What the team may still use. Memory is not limited, and has a very large value. */
struct resources quota_ledger_remaining_limit(const struct ledger_team *team);

#endif
