/** Decides which machines to return, and for what reason. */
#ifndef LL_AUTOSCALER_SCALE_IN_H
#define LL_AUTOSCALER_SCALE_IN_H

#include "scheduler_internal.h"

/** Why a machine is returned. */
enum scale_in_reason {
    /** The machine has exceeded the idle timeout, and its capacity is not needed. */
    SCALE_IN_REASON_IDLE,
    /** The machine is unreachable, and it is a spot machine or its lease has expired. */
    SCALE_IN_REASON_UNREACHABLE,
    /** The machine is quarantined; see machine_health.h. */
    SCALE_IN_REASON_QUARANTINED,
    /** The cloud has announced that it will reclaim the spot machine. */
    SCALE_IN_REASON_RECLAIMED,
    /** Tasks take much longer on the machine than on most others. */
    SCALE_IN_REASON_SLOW,
    /** The cloud reports that the machine failed to start. */
    SCALE_IN_REASON_FAILED,
    /** The machine has not reported long after its expected boot time. */
    SCALE_IN_REASON_BOOT_TIMEOUT,
};

/** The decision to return one machine. */
struct scale_in_decision {
    machine_id machine;
    enum scale_in_reason reason;
};

/** Returns the name of the reason, as it appears in the log. */
const char *scale_in_reason_name(enum scale_in_reason reason);
/**
 * Returns a new array of struct scale_in_decision with the unusable machines, whether they have
 * reported or not. It may include machines that are already being returned. The caller frees the
 * array.
 */
GArray *autoscaler_find_unusable(struct leader *leader);
/**
 * Returns a new array of struct scale_in_decision with the idle machines that are not needed as
 * spare capacity. Call this after the return of the unusable machines was requested; otherwise
 * their free resources would count as spare capacity. The caller frees the array.
 */
GArray *autoscaler_find_idle(struct leader *leader);

#endif
