/**
 * The quota ledger, in which the leader accounts for jobs, machines and teams. It records which
 * tasks are waiting, dispatched or allocated, and how much of their team's quota and of their
 * machine's capacity they use. It also issues attempt numbers.
 *
 * A task is *waiting* if it is neither completed, dispatched nor allocated; *dispatched* once the
 * leader has assigned it to a shard; *allocated* from when its run record is seen in the replica
 * until that record is removed.
 */
#ifndef LL_QUOTA_LEDGER_H
#define LL_QUOTA_LEDGER_H

#include "scheduler_internal.h"

/** Creates the tables of jobs and machines, and an account for each team in the settings. */
void quota_ledger_init(struct leader *leader);
/** Frees the tables of jobs and machines and the accounts of the teams. */
void quota_ledger_clear(struct leader *leader);
/**
 * Rebuilds the ledger from the replica, for a new epoch or after this node became the leader.
 * Dispatches of earlier epochs are dropped: one without a run record can no longer get one, because
 * run records are written on condition that the shard map is unchanged.
 */
void quota_ledger_rebuild(struct leader *leader);

/** Returns the ledger's entry for the job, or NULL if there is none. */
struct ledger_job *quota_ledger_find_job(struct leader *leader, const char *id);
/**
 * Returns the ledger's entry for the job, and adds it if it is missing. Returns NULL if the team of
 * the job is not configured, or if the job's specification is no longer known; the latter happens
 * only after the last run record of the job was removed.
 */
struct ledger_job *quota_ledger_ensure_job(struct leader *leader, job_id id);
/** Removes the job from the ledger, together with its allocations and dispatches. */
void quota_ledger_remove_job(struct leader *leader, job_id id);
/**
 * Updates the job's priority and patience. A job inherits both from the jobs that depend on it, so
 * they change when such jobs are added or finish. Does nothing if job is NULL.
 */
void quota_ledger_update_priority(struct leader *leader, struct ledger_job *job,
                                  const struct job *job_record);
/** Returns the account of the job's team. */
struct ledger_team *quota_ledger_get_team(struct leader *leader, const struct ledger_job *job);

/** Returns the ledger's entry for the machine, or NULL if there is none. */
struct ledger_machine *quota_ledger_find_machine(struct leader *leader, const char *id);
/**
 * Returns the ledger's entry for the machine, adding it if it is missing, and updates its type,
 * zone and capacity.
 */
struct ledger_machine *quota_ledger_ensure_machine(struct leader *leader, machine_id id,
                                                   const char *type_name, const char *zone,
                                                   bool is_spot);

/**
 * Returns an attempt number that was not used before, neither by this leader nor by an earlier one.
 * Raises the epoch if the numbers of the current epoch are exhausted.
 */
attempt_no quota_ledger_next_attempt(struct leader *leader);
/**
 * Records that a task is dispatched to the machine, unless its team would exceed the limit. Returns
 * whether the task may be sent to the shard.
 */
bool quota_ledger_try_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                               attempt_no attempt, struct ledger_machine *machine);
/**
 * Removes the dispatch of a task, if there is one. The task is then waiting, unless it is
 * allocated.
 */
void quota_ledger_remove_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index);
/**
 * Records that a task has a run record on a machine, and removes the dispatch of the task if it has
 * the same attempt. Does nothing if this attempt is already allocated. Each record counts, also if
 * the task has several.
 */
void quota_ledger_add_allocation(struct leader *leader, job_id id, uint32_t index,
                                 attempt_no attempt, machine_id allocated_machine);
/** Notes for which job an allocated task is preempted. */
void quota_ledger_set_preemptor(struct allocation *allocation, const struct ledger_job *preemptor);
/** Returns the number of allocations of the job, counting each record of a task. */
guint quota_ledger_count_allocations(const struct ledger_job *job);
/**
 * Records that the run record of a task was removed. Does nothing if the task is not allocated
 * under this attempt.
 */
void quota_ledger_remove_allocation(struct leader *leader, job_id id, uint32_t index,
                                    attempt_no attempt);
/** Returns the pending dispatch of the task, or NULL if there is none. */
struct pending_dispatch *quota_ledger_find_dispatch(const struct ledger_job *job, uint32_t index);
/** Returns the allocation of the task, or NULL if there is none. */
struct allocation *quota_ledger_find_allocation(const struct ledger_job *job, uint32_t index);
/**
 * Returns the index of the task that has this key in ledger_job.allocations or
 * ledger_job.dispatches.
 */
uint32_t quota_ledger_task_index(gconstpointer key);

/**
 * Returns whether the task is waiting: it is neither completed, dispatched nor allocated, and the
 * replica shows no run record of it.
 */
bool quota_ledger_is_task_waiting(const struct ledger_job *job, const struct job *job_record,
                                  uint32_t index);
/**
 * Returns the index of the job's first waiting task, or the job's number of tasks if none is
 * waiting.
 */
uint32_t quota_ledger_next_waiting_task(struct ledger_job *job, const struct job *job_record);
/** Returns the number of the job's waiting tasks. */
uint32_t quota_ledger_count_waiting_tasks(const struct ledger_job *job,
                                          const struct job *job_record);
/**
 * Returns how many of the job's waiting tasks could run without exceeding the limit of its team.
 */
int64_t quota_ledger_count_allowed_tasks(struct leader *leader, const struct ledger_job *job,
                                         const struct job *job_record);

/**
 * Returns what task_count tasks of the job would count against quotas: their CPUs and GPUs, but not
 * their memory and task slots, which have no quota.
 */
struct resources quota_ledger_quota_request(const struct ledger_job *job, int64_t task_count);
/** Returns whether the team's use would stay within its guarantee if `additional` were added. */
bool quota_ledger_is_within_guarantee(const struct ledger_team *team, struct resources additional);
/** Returns whether the team's use would stay within its limit if `additional` were added. */
bool quota_ledger_is_within_limit(const struct ledger_team *team, struct resources additional);
/**
 * Returns the resources that the team may still use within its limit. The memory is a very large
 * value, as it has no limit, and so are the task slots.
 */
struct resources quota_ledger_remaining_limit(const struct ledger_team *team);

#endif
