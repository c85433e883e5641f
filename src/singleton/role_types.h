/**
 * @file
 * Types that the modules of this package share with their users.
 *
 * A singleton role is work that one node does for the whole cluster. Who holds it is recorded in a
 * key of the key-value store, on the holder's lease. The revision at which that key was written is
 * the fencing token of the holder: revisions only rise, so a later holder always has a higher
 * token, also if the key was deleted with its lease in between.
 */
#ifndef LL_ROLE_TYPES_H
#define LL_ROLE_TYPES_H

#include "types.h"

/** The singleton roles; singleton_role_name() has the word for each. */
enum singleton_role {
    /** Scales the cluster out and in. */
    ROLE_AUTOSCALER,
    /** Deletes what departed nodes left in the key-value store. */
    ROLE_GARBAGE_COLLECTOR,
    ROLE_COUNT,
};

/** Identifies one holding of a role: the revision of its record. 0: none. */
typedef struct {
    uint64_t value;
} fencing_token;

/** A process that holds a role. */
struct role_holder {
    /** Of its node. */
    char label[64];
    /** The lease on which its keys hang; no other process ever has the same one. */
    lease_id incarnation;
};

/** Who holds a role, by the key-value store. */
struct role_record {
    struct role_holder holder;
    /** 0: nobody holds the role. */
    fencing_token token;
};

/** What the holder of a role is about to do outside the key-value store. */
enum intent_kind {
    /** Return one machine to the cloud. */
    INTENT_SCALE_IN,
    /** Request machines of the cloud. */
    INTENT_SCALE_OUT,
};

/** A write-ahead record of such an action: see intent_log.h. */
struct intent {
    enum intent_kind kind;
    /** The machine's id, or the id of the scale-out request. */
    char name[128];
    /* The following is set for INTENT_SCALE_OUT only. */
    char type_name[48], zone[48];
    bool is_spot;
    int machine_count;
};

#endif
