/**
 * The ranking of the machines on which a task fits. The leader uses it to choose the shard to which
 * it dispatches a task, and the shard uses it to place the task, so that both prefer the same
 * machine.
 */
#ifndef LL_PLACEMENT_SCORE_H
#define LL_PLACEMENT_SCORE_H

#include "job_codec.h"

/** The attributes of a machine that determine its score. Shares are between 0 and 1. */
struct placement_facts {
    /** Whether the machine has fetched the image of the task. */
    bool has_image;
    bool is_spot;
    /** Share of the resources of the machine that is allocated. */
    double allocated_share;
    /** Share of the resources of the machine that is allocated to services. */
    double service_share;
    /** Resources of the on-demand machines in its zone, relative to those in the largest zone; 1 if
     * unknown. */
    double relative_zone_size;
};

/** Returns the score of a machine for a task of a job. A higher score is better. */
double placement_score(const struct job_spec *spec, const struct placement_facts *facts);

#endif
