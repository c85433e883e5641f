/**
 * Limits and settings that the scheduler derives from objectives, machine types and the operators'
 * policy file.
 */
#ifndef LL_SCHEDULING_POLICY_H
#define LL_SCHEDULING_POLICY_H

#include "scheduler_internal.h"

/**
 * Returns the machine types as the cloud currently lists them, or as they were last stored if the
 * cloud has not answered yet. May be NULL.
 */
const GArray *scheduling_policy_machine_types(struct leader *leader);
/** Returns the longest boot time of all machine types, or 0 if none is known. */
double scheduling_policy_slowest_boot_s(struct leader *leader);
/**
 * Returns how long the job's tasks may wait without missing the objective of their class or the
 * deadlines of dependent jobs. Objectives shorter than the shortest boot time are ignored, because
 * no new machine could meet them.
 */
double scheduling_policy_patience_s(struct leader *leader, const struct job *job_record);
/** Returns the number of CPUs used by all tasks that are allocated or dispatched. */
double scheduling_policy_used_cpus(struct leader *leader);
/** Sets the inputs of a policy expression that describe the cluster's load. */
void scheduling_policy_set_load_inputs(struct leader *leader, struct policy_value *inputs);
/** Returns the number of CPUs to keep free for future jobs. */
double scheduling_policy_spare_cpus(struct leader *leader);
/**
 * Returns whether on-demand machines may be rented for a job that is allowed on spot machines, once
 * no more spot machines are available. `backlog_s` is the time that the machines need for the work
 * of this job and of all jobs queued before it.
 */
bool scheduling_policy_may_rent_on_demand(struct leader *leader, const struct ledger_job *job,
                                          const struct job_spec *spec, double backlog_s);
/** Returns whether tasks of lower priority may be preempted for the job. */
bool scheduling_policy_may_preempt(struct leader *leader, const struct ledger_job *job,
                                   const struct job_spec *spec);
/** Returns how long the machine may be idle before it is returned. */
double scheduling_policy_idle_timeout_ms(struct leader *leader,
                                         const struct ledger_machine *machine);

#endif
