/* Which machines may take a task, and which of them is best: rules of zones, types and machine
 * health, free room, scores, and what is known to find no room in this pass. */
#ifndef LL_LEADER_PLACEMENT_H
#define LL_LEADER_PLACEMENT_H

#include "scheduler_internal.h"

/* A machine that could take a task, and how well it suits it. */
struct placement_candidate {
    struct ledger_machine *machine;
    double score;
};

/* Whether the machine takes new work: told of by its owner, well, and not about to go. */
bool placement_is_schedulable(struct leader *leader, struct ledger_machine *machine);
/* What is neither booked, nor dealt, nor held for a gang in this pass. */
struct resources placement_free_resources(const struct ledger_machine *machine);
/* How many of a job's tasks are in a zone, or are about to be. */
uint32_t placement_count_tasks_in_zone(struct leader *leader, struct ledger_job *job,
                                       const char *zone);
/* Counts the tasks of the job by zone, into leader->pass.zone_task_counts, if the job is bound to
 * zones.
 */
void placement_count_zone_tasks(struct leader *leader, struct ledger_job *job,
                                const struct job_spec *spec);
/* Whether one more task may go to the zone, by the last placement_count_zone_tasks. */
bool placement_is_zone_allowed(struct leader *leader, struct ledger_job *job,
                               const struct job_spec *spec, int zone_index);
/* Whether a task of the job may be dealt to the machine, room aside, by the last
 * placement_count_zone_tasks. */
bool placement_is_machine_allowed(struct leader *leader, struct ledger_job *job,
                                  const struct job_spec *spec, struct ledger_machine *machine);
/* Begins a pass: finds the machines that take work and what the zones hold, and forgets what the
 * last pass held for gangs and found unplaceable. */
void placement_begin_pass(struct leader *leader);
/* Orders struct placement_candidate by score, the best first; equal ones by the machine's name. */
gint placement_compare_candidates(gconstpointer a, gconstpointer b);
/* The machines that could take a task of the job, the best first: struct placement_candidate. What
 * a machine takes makes it only better, so the order holds while it is being filled. image: only
 * machines that have the job's image. */
GArray *placement_find_candidates(struct leader *leader, struct ledger_job *job,
                                  const struct job_spec *spec, bool needs_image);
/* Whether something that asks no more has found no room in this pass: room only shrinks. */
bool placement_is_unschedulable(struct leader *leader, const struct job_spec *spec);
/* Notes that what the job asks found no room in this pass; not if it is bound to a zone or type. */
void placement_add_unschedulable(struct leader *leader, const struct job_spec *spec);

#endif
