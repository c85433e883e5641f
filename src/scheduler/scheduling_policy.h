/** What objectives, machine types and the operators' policy file prescribe to the scheduler. */
#ifndef LL_SCHEDULING_POLICY_H
#define LL_SCHEDULING_POLICY_H

#include "scheduler_internal.h"

/** The machine types as the cloud lists them now, else as they were last stored; may be NULL. */
const GArray *scheduling_policy_machine_types(struct leader *leader);
/** The longest boot time of all machine types; 0 without any. */
double scheduling_policy_slowest_boot_s(struct leader *leader);
/** How long the job's tasks may wait without missing the objective of their class. Objectives
 * shorter than the quickest boot are ignored, as no new machine could meet them. */
double scheduling_policy_patience_s(struct leader *leader, const struct job *job_record);
/** CPUs of all tasks that are allocated or dispatched. */
double scheduling_policy_used_cpus(struct leader *leader);
/** Sets those inputs of a policy expression that describe the load. */
void scheduling_policy_set_load_inputs(struct leader *leader, struct policy_value *inputs);
/** CPUs to keep free for jobs to come. */
double scheduling_policy_spare_cpus(struct leader *leader);
/** Whether on-demand machines may be rented for a job that could run on spot machines, once no more
 * of these are available. backlog_s: how long the machines need for all work queued before it. */
bool scheduling_policy_may_rent_on_demand(struct leader *leader, const struct ledger_job *job,
                                          const struct job_spec *spec, double backlog_s);
/** Whether tasks of lower priority may be preempted for the job. */
bool scheduling_policy_may_preempt(struct leader *leader, const struct ledger_job *job,
                                   const struct job_spec *spec);
/** How long the machine may be idle before it is returned. */
double scheduling_policy_idle_timeout_ms(struct leader *leader,
                                         const struct ledger_machine *machine);

#endif
