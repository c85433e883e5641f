/**
 * Machine health, derived from how tasks end. Machines on which tasks fail are avoided and then
 * quarantined, and slow machines are detected by the run times of their tasks. A job that fails on
 * every machine is retried with increasing delays, and its failures are not attributed to the
 * machines.
 */
#ifndef LL_MACHINE_HEALTH_H
#define LL_MACHINE_HEALTH_H

#include "scheduler_internal.h"

/**
 * Records the run time of a task that succeeded on a machine. The run time is compared with the
 * mean of the job's other tasks on all machines. It is not compared with the user's estimate,
 * because an estimate that is wrong is wrong for all tasks of the job.
 */
void machine_health_record_run_time(struct leader *leader, const char *job_name,
                                    struct ledger_machine *machine, double run_time_s);
/**
 * Records that a task failed on a machine. The machine is avoided for a while, and quarantined once
 * several jobs have failed on it. A job that fails on several machines where no other job fails is
 * considered faulty itself, and its next tasks are delayed.
 */
void machine_health_record_failure(struct leader *leader, struct ledger_job *job,
                                   struct ledger_machine *machine, enum exit_cause cause);
/**
 * Recomputes the median slowdown of all machines, with which each machine is compared: if the tasks
 * of a job take longer and longer, the slowdown increases on all machines, and none of them is
 * slow.
 */
void machine_health_update_median_slowdown(struct leader *leader);
/** Returns whether tasks take much longer on the machine than on the median machine. */
bool machine_health_is_slow(const struct leader *leader, const struct ledger_machine *machine);

#endif
