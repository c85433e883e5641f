/**
 * Placement as the leader sees it: which machines accept tasks, which of them a job may use, and
 * which are best. The shard that owns a machine has the last word.
 *
 * Zone rules (placement_is_zone_allowed, placement_is_machine_allowed, placement_find_candidates)
 * refer to the job for which placement_count_zone_tasks was called last.
 */
#ifndef LL_PLACEMENT_H
#define LL_PLACEMENT_H

#include "scheduler_internal.h"

/** A machine that could take a task. */
struct placement_candidate {
    struct ledger_machine *machine;
    /** How well it suits the task; more is better. */
    double score;
};

/** Starts a scheduling pass: finds the machines that accept tasks, and drops the reservations and
 * the unschedulable requests of the last pass. */
void placement_begin_pass(struct leader *leader);

/** Whether the machine accepts new tasks: reported by its owner, healthy and there to stay. */
bool placement_is_schedulable(struct leader *leader, struct ledger_machine *machine);
/** Capacity that is neither allocated, dispatched nor reserved. */
struct resources placement_free_resources(const struct ledger_machine *machine);
/** What would be free if only services ran on the machine. */
struct resources placement_capacity_without_services(const struct ledger_machine *machine);
/** Whether the machine has the job's image cached. */
bool placement_has_image(const struct ledger_machine *machine, const struct job_spec *spec);

/** Whether the zone of a task depends on the job's other tasks. The leader decides this, and the
 * zone is part of the dispatch, to which the shard must keep. */
bool placement_has_zone_rule(const struct job_spec *spec);
/** The number of the job's tasks that are allocated or dispatched in a zone. */
uint32_t placement_count_tasks_in_zone(struct leader *leader, const struct ledger_job *job,
                                       const char *zone);
/** Counts the job's tasks in each zone into scheduling_pass.zone_task_counts, if its specification
 * has a rule about zones. Callers that place several tasks at once keep the counts up to date. */
void placement_count_zone_tasks(struct leader *leader, const struct ledger_job *job,
                                const struct job_spec *spec);
/** Whether the job's zone rules permit one more task in the zone. */
bool placement_is_zone_allowed(struct leader *leader, const struct ledger_job *job,
                               const struct job_spec *spec, int zone_index);
/** Whether a task of the job may run on the machine, free resources aside. */
bool placement_is_machine_allowed(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec,
                                  const struct ledger_machine *machine);

/** Sorts struct placement_candidate by descending score, then by machine id. */
gint placement_compare_candidates(gconstpointer a, gconstpointer b);
/** The machines that could take a task of the job now, best first: an array of struct
 * placement_candidate that the caller frees. A machine's score only rises as it fills up, so the
 * order stays valid meanwhile. With needs_image only machines that have the job's image cached. */
GArray *placement_find_candidates(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec, bool needs_image);

/** Whether a request for no more than this was unschedulable earlier in this pass, during which
 * free resources only shrink. */
bool placement_is_unschedulable(struct leader *leader, const struct job_spec *spec);
/** Records that no machine could take a task of the job. Ignored for jobs that are restricted to
 * zones or machine types, as that says nothing about others. */
void placement_add_unschedulable(struct leader *leader, const struct job_spec *spec);

#endif
