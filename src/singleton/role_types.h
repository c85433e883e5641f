/**
 * @file
 * Defines the types of singleton roles and intents.
 *
 * A singleton role is work that one node does for the whole cluster. Its holder is recorded in a
 * key of the key-value store that is attached to the holder's lease. The revision at which the key
 * was written is the holder's fencing token. Revisions only increase, so a later holder always has
 * a higher token, even if the key was deleted with its lease in between.
 */
#ifndef LL_ROLE_TYPES_H
#define LL_ROLE_TYPES_H

#include "types.h"

/** The singleton roles; singleton_role_name() returns the name of each. */
enum singleton_role {
    /** Scales the cluster out and in. */
    ROLE_AUTOSCALER,
    /** Deletes the keys that departed nodes left in the key-value store. */
    ROLE_GARBAGE_COLLECTOR,
    ROLE_COUNT,
};

/** Identifies one tenure of a role by the revision of its record; 0 if there is none. */
typedef struct {
    uint64_t value;
} fencing_token;

/** A process that holds a role. */
struct role_holder {
    /** The label of the process's node. */
    char label[64];
    /** The lease to which the process's keys are attached; no other process ever has the same. */
    lease_id incarnation;
};

/** The holder of a role as recorded in the key-value store. */
struct role_record {
    struct role_holder holder;
    /** The holder's fencing token; 0 if no process holds the role. */
    fencing_token token;
};

/** An action that the holder of a role is about to take outside the key-value store. */
enum intent_kind {
    /** Returns one machine to the cloud. */
    INTENT_SCALE_IN,
    /** Requests machines from the cloud. */
    INTENT_SCALE_OUT,
};

/** A write-ahead record of an action outside the key-value store; see intent_log.h. */
struct intent {
    enum intent_kind kind;
    /** The machine's id, or the id of the scale-out request. */
    char name[128];
    /* The following fields are set for INTENT_SCALE_OUT only. */
    char type_name[48], zone[48];
    bool is_spot;
    int machine_count;
};

#endif
