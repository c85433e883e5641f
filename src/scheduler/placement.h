/* Which machines may take a task, and which of them is best: rules of zones, types and machine
 * health, free room, scores, and what is known to find no room in this pass. */
#ifndef LL_LEADER_PLACEMENT_H
#define LL_LEADER_PLACEMENT_H

#include "scheduler_internal.h"

/* A machine that could take a task, and how well it suits it. */
struct host_choice {
    struct leader_host *host;
    double score;
};

/* Whether the machine takes new work: told of by its owner, well, and not about to go. */
bool leader_host_takes(struct leader *leader, struct leader_host *host);
/* What is neither booked, nor dealt, nor held for a gang in this pass. */
struct room leader_host_free_room(const struct leader_host *host);
/* How many of a job's tasks are in a zone, or are about to be. */
uint32_t leader_in_zone(struct leader *leader, struct leader_job *job, const char *zone);
/* Counts the tasks of the job by zone, into leader->zone_tasks, if the job is bound to zones. */
void leader_count_zones(struct leader *leader, struct leader_job *job, const struct spec *spec);
/* Whether one more task may go to the zone, by the last leader_count_zones. */
bool leader_zone_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         int zone_index);
/* Whether a task of the job may be dealt to the machine, room aside, by the last
 * leader_count_zones. */
bool leader_host_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         struct leader_host *host);
/* Begins a pass: finds the machines that take work and what the zones hold, and forgets what the
 * last pass held for gangs and found unplaceable. */
void leader_survey(struct leader *leader);
/* Orders struct host_choice by score, the best first; equal ones by the machine's name. */
gint leader_compare_choices(gconstpointer a, gconstpointer b);
/* The machines that could take a task of the job, the best first: struct host_choice. What a
 * machine takes makes it only better, so the order holds while it is being filled. image: only
 * machines that have the job's image. */
GArray *leader_choose_hosts(struct leader *leader, struct leader_job *job, const struct spec *spec,
                            bool image);
/* Whether something that asks no more has found no room in this pass: room only shrinks. */
bool leader_known_unplaceable(struct leader *leader, const struct spec *spec);
/* Notes that what the job asks found no room in this pass; not if it is bound to a zone or type. */
void leader_note_unplaceable(struct leader *leader, const struct spec *spec);

#endif
