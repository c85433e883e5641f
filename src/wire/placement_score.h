/* Which of several machines that would do is taken: the same for the leader, which deals where it
 * expects a task to go, and for the part, which decides. */
#ifndef LL_SCORE_H
#define LL_SCORE_H

#include "codec.h"

struct placement_facts {
    bool has_image;            /* the machine has the task's image */
    bool is_spot;              /* it is a spot machine */
    double allocated_share;    /* share that is booked */
    double service_share;      /* share that services hold */
    double relative_zone_size; /* size of its zone's ordinary part beside the largest zone's; 1 if
                                  unknown */
};

/* The higher the better. */
double placement_score(const struct job_spec *spec, const struct placement_facts *facts);

#endif
