/**
 * Machine health, as the ends of tasks show it: machines on which tasks fail are avoided and then
 * quarantined, slow ones are recognized by their run times, and a job that fails everywhere is
 * retried with growing delays instead of being blamed on the machines.
 */
#ifndef LL_MACHINE_HEALTH_H
#define LL_MACHINE_HEALTH_H

#include "scheduler_internal.h"

/**
 * Records the run time of a task that succeeded on a machine. The task is compared with the other
 * tasks of its job, wherever they ran, and not with its user's estimate, which is wrong for all of
 * them alike.
 */
void machine_health_record_run_time(struct leader *leader, const char *job_name,
                                    struct ledger_machine *machine, double run_time_s);
/**
 * Records that a task failed on a machine. The machine is avoided for a while. It is quarantined
 * once several jobs failed on it; but a job that fails on several machines where no other job does
 * is taken to be faulty itself, and its next tasks are delayed.
 */
void machine_health_record_failure(struct leader *leader, struct ledger_job *job,
                                   struct ledger_machine *machine, enum exit_cause cause);
/**
 * Recomputes the median slowdown of all machines. It is the standard of comparison, as the tasks
 * of a job may take longer and longer on all machines alike, and then none of them is slow.
 */
void machine_health_update_median_slowdown(struct leader *leader);
/** Whether tasks take much longer on the machine than on most. */
bool machine_health_is_slow(const struct leader *leader, const struct ledger_machine *machine);

#endif
