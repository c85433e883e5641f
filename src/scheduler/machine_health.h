/* What is learnt of machines and jobs from the ends of tasks: which machines are slow or sick, and
 * which jobs are at fault themselves. leader_host_slow and leader_measure_slowdowns are declared in
 * leader_state.h. */
#ifndef LL_LEADER_HEALTH_H
#define LL_LEADER_HEALTH_H

#include "scheduler_internal.h"

/* Learns from a task that ended well on a machine how long its job's tasks take, and how slow the
 * machine is beside others. Owners' estimates are wrong for all tasks of a job together, so a task
 * is compared with the others of its job, wherever they ran. */
void leader_learn_run_time(struct leader *leader, const char *job, struct leader_host *host,
                           double took_s);
/* A task has failed on a machine. That is mostly its machine's fault; a job that fails on one
 * machine after the other is at fault itself, and tries again ever more seldom until its user
 * cancels it. */
void leader_task_failed(struct leader *leader, struct leader_job *job, struct leader_host *host,
                        enum cause cause);

#endif
