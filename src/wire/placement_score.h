/**
 * The ranking of machines on which a task fits. The leader uses it to dispatch a task to the shard
 * where it expects it to be placed, and the shard to place it, so both prefer the same machine.
 */
#ifndef LL_PLACEMENT_SCORE_H
#define LL_PLACEMENT_SCORE_H

#include "job_codec.h"

/** What counts of a machine; shares are between 0 and 1. */
struct placement_facts {
    /** It has fetched the task's image. */
    bool has_image;
    bool is_spot;
    /** Share of its resources that is allocated. */
    double allocated_share;
    /** Share of its resources that services hold. */
    double service_share;
    /** Resources of the ordinary machines of its zone, as a share of the largest zone's; 1:
     * unknown. */
    double relative_zone_size;
};

/** The higher, the better. */
double placement_score(const struct job_spec *spec, const struct placement_facts *facts);

#endif
