/* What is learnt of machines and jobs from the ends of tasks: which machines are slow or sick, and
 * which jobs are at fault themselves. */
#ifndef LL_LEADER_HEALTH_H
#define LL_LEADER_HEALTH_H

#include "scheduler_internal.h"

/* Learns from a task that ended well on a machine how long its job's tasks take, and how slow the
 * machine is beside others. Owners' estimates are wrong for all tasks of a job together, so a task
 * is compared with the others of its job, wherever they ran. */
void machine_health_record_run_time(struct leader *leader, const char *job_name,
                                    struct ledger_machine *machine, double run_time_s);
/* A task has failed on a machine. That is mostly its machine's fault; a job that fails on one
 * machine after the other is at fault itself, and tries again ever more seldom until its user
 * cancels it. */
void machine_health_record_failure(struct leader *leader, struct ledger_job *job,
                                   struct ledger_machine *machine, enum exit_cause cause);
/** Recomputes the median slowdown of all machines. It is the standard of comparison, as the tasks
 * of a job may take longer and longer on all machines alike, and then none of them is slow. */
void machine_health_update_median_slowdown(struct leader *leader);
/** Whether tasks take much longer on the machine than on most. */
bool machine_health_is_slow(const struct leader *leader, const struct ledger_machine *machine);

#endif
