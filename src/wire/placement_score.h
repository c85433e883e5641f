/* Which of several machines that would do is taken: the same for the leader, which deals where it
 * expects a task to go, and for the part, which decides. */
#ifndef LL_SCORE_H
#define LL_SCORE_H

#include "codec.h"

struct score_facts {
    bool image;    /* the machine has the task's image */
    bool loaner;   /* it is a spot machine */
    double booked; /* share that is booked */
    double pinned; /* share that services hold */
    double roomy;  /* size of its zone's ordinary part beside the largest zone's; 1 if unknown */
};

/* The higher the better. */
double score_host(const struct spec *spec, const struct score_facts *facts);

#endif
