/* What the modules of the duty package and their users have in common.
 *
 * A duty is work that one node does for all of them. Its record is a key of the state service that
 * hangs on the holder's lease; the revision at which the record was written is the fencing token,
 * so that tokens rise also when a record went away with its lease. */
#ifndef LL_DUTY_TYPES_H
#define LL_DUTY_TYPES_H

#include "types.h"

/* The duties; singleton_role_name gives each a word. */
enum singleton_role {
    ROLE_AUTOSCALER,        /* renting and returning machines */
    ROLE_GARBAGE_COLLECTOR, /* removing what nodes that are away left in the state service */
    ROLE_COUNT,
};

/* The fencing token of one holding of a duty: the revision of its record. 0: none. */
typedef struct {
    uint64_t v;
} fencing_token;

/* A process that holds a duty: its node's label, and the lease that its keys hang on. */
struct role_holder {
    char label[64];
    lease_id incarnation;
};

/* Who holds a duty. */
struct role_record {
    struct role_holder holder;
    fencing_token token; /* 0: nobody holds it */
};

/* What the holder of a duty is about to do outside the state service. */
enum intent_kind {
    INTENT_SCALE_IN,  /* of a machine to the cloud */
    INTENT_SCALE_OUT, /* of machines, by the name of the request */
};

struct intent {
    enum intent_kind kind;
    char name[128]; /* the machine, or the request */
    /* Of a request to rent: */
    char type_name[48], zone[48];
    bool is_spot;
    int machine_count;
};

#endif
