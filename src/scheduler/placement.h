/**
 * Placement decisions of the leader: which machines accept tasks, which of these a job may use, and
 * which are best for it. The final decision is made by the shard that owns a machine.
 *
 * Zone rules (placement_is_zone_allowed, placement_is_machine_allowed, placement_find_candidates)
 * apply to the job for which placement_count_zone_tasks was last called.
 */
#ifndef LL_PLACEMENT_H
#define LL_PLACEMENT_H

#include "scheduler_internal.h"

/** A machine on which a task could be placed. */
struct placement_candidate {
    struct ledger_machine *machine;
    /** How well the machine suits the task; higher is better. */
    double score;
};

/**
 * Begins a scheduling pass: collects the machines that accept tasks, and clears the reservations
 * and the unschedulable requests of the previous pass.
 */
void placement_begin_pass(struct leader *leader);

/**
 * Returns whether the machine accepts new tasks: it was reported by its owner, is healthy, and is
 * not about to be returned or reclaimed.
 */
bool placement_is_schedulable(struct leader *leader, struct ledger_machine *machine);
/** Returns the capacity of the machine that is neither allocated, dispatched nor reserved. */
struct resources placement_free_resources(const struct ledger_machine *machine);
/** Returns the capacity that would be free on the machine if only its services were running. */
struct resources placement_capacity_without_services(const struct ledger_machine *machine);
/** Returns whether the job's image is cached on the machine. */
bool placement_has_image(const struct ledger_machine *machine, const struct job_spec *spec);

/**
 * Returns whether the zone of a task depends on where the job's other tasks are placed. Only the
 * leader evaluates such rules: it includes the zone in the dispatch, and the shard must not place
 * the task in another zone.
 */
bool placement_has_zone_rule(const struct job_spec *spec);
/** Returns how many tasks of the job are allocated or dispatched in the zone. */
uint32_t placement_count_tasks_in_zone(struct leader *leader, const struct ledger_job *job,
                                       const char *zone);
/**
 * Counts the job's tasks per zone into scheduling_pass.zone_task_counts, if its specification has a
 * zone rule. Callers that place several tasks in a row must keep the counts up to date.
 */
void placement_count_zone_tasks(struct leader *leader, const struct ledger_job *job,
                                const struct job_spec *spec);
/** Returns whether the job's zone rules allow one more task in the zone. */
bool placement_is_zone_allowed(struct leader *leader, const struct ledger_job *job,
                               const struct job_spec *spec, int zone_index);
/**
 * Returns whether the job's constraints and zone rules allow it to use the machine. Free resources
 * are not considered.
 */
bool placement_is_machine_allowed(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec,
                                  const struct ledger_machine *machine);

/**
 * Compares two values of struct placement_candidate, for sorting by descending score, then by
 * machine id.
 */
gint placement_compare_candidates(gconstpointer a, gconstpointer b);
/**
 * Returns the machines on which a task of the job could be placed now, best first, as an array of
 * struct placement_candidate that the caller frees. With needs_image set, only machines on which
 * the job's image is cached. The score of a machine only rises as tasks are placed on it, so the
 * order remains valid meanwhile.
 */
GArray *placement_find_candidates(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec, bool needs_image);

/**
 * Returns whether a request that is no larger was already found unschedulable in this pass. Free
 * resources only shrink during a pass, so the job would not fit either.
 */
bool placement_is_unschedulable(struct leader *leader, const struct job_spec *spec);
/**
 * Records that no machine can take a task of the job. Does nothing for jobs that are restricted to
 * zones or machine types, because such a result would not apply to other jobs.
 */
void placement_add_unschedulable(struct leader *leader, const struct job_spec *spec);

#endif
