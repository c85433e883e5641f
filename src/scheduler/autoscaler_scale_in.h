/** The decision which machines to return, and why. */
#ifndef LL_AUTOSCALER_SCALE_IN_H
#define LL_AUTOSCALER_SCALE_IN_H

#include "scheduler_internal.h"

/** Why a machine is returned. */
enum scale_in_reason {
    /** Nothing has used it for long, and it is not needed for what comes next. */
    SCALE_IN_REASON_IDLE,
    /** It cannot be reached, and is gone or safe to give up. */
    SCALE_IN_REASON_UNREACHABLE,
    /** It is quarantined; see machine_health.h. */
    SCALE_IN_REASON_QUARANTINED,
    /** The cloud has announced that it takes the spot machine back. */
    SCALE_IN_REASON_RECLAIMED,
    /** Tasks take much longer on it than on others. */
    SCALE_IN_REASON_SLOW,
    /** The cloud reports that it failed to start. */
    SCALE_IN_REASON_FAILED,
    /** It has not reported long after it should have booted. */
    SCALE_IN_REASON_BOOT_TIMEOUT,
};

/** One machine that is to be returned. */
struct scale_in_decision {
    machine_id machine;
    enum scale_in_reason reason;
};

/** The reason as the log shows it. */
const char *scale_in_reason_name(enum scale_in_reason reason);
/**
 * Machines of no use, whether they have reported or not: a new array of struct scale_in_decision,
 * which the caller owns. Those that are being returned already may be among them.
 */
GArray *autoscaler_find_unusable(struct leader *leader);
/**
 * Idle machines that can be spared: a new array of struct scale_in_decision, which the caller owns.
 * Unusable machines have to be ordered back first, so that their capacity does not count as spare.
 */
GArray *autoscaler_find_idle(struct leader *leader);

#endif
