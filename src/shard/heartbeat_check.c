/**
 * @file
 * Validation of heartbeats: whether a heartbeat is newer than the last one, and whether it is
 * consistent with what is known.
 */
#include "agent_session_internal.h"

#include "log.h"

bool shard_heartbeat_is_newer(const struct machine_heartbeat *known,
                              const struct heartbeat *heartbeat)
{
    return heartbeat->agent_epoch > known->agent_epoch ||
           (heartbeat->agent_epoch == known->agent_epoch && heartbeat->sequence > known->sequence);
}

/** Why a heartbeat is inconsistent. */
enum heartbeat_defect {
    HEARTBEAT_CONSISTENT,
    HEARTBEAT_UNKNOWN_ZONE,
    HEARTBEAT_UNKNOWN_TYPE,
    /** The machine had another type, zone or spot flag before. */
    HEARTBEAT_DESCRIPTION_CHANGED,
    /** Another heartbeat with the same sequence number named other tasks or states. */
    HEARTBEAT_SEQUENCE_REUSED,
};

static const char *defect_name(enum heartbeat_defect defect)
{
    switch (defect) {
    case HEARTBEAT_UNKNOWN_ZONE:
        return "unknown_zone";
    case HEARTBEAT_UNKNOWN_TYPE:
        return "unknown_type";
    case HEARTBEAT_DESCRIPTION_CHANGED:
        return "other_description";
    case HEARTBEAT_SEQUENCE_REUSED:
        return "sequence_reused";
    case HEARTBEAT_CONSISTENT:
        break;
    }
    return "none";
}

/** Returns whether a heartbeat has the machine's type, zone and spot flag, which never change. */
static bool matches_description(const struct machine *machine, const struct heartbeat *heartbeat)
{
    return strcmp(machine->type_name, heartbeat->machine_type_name) == 0 &&
           strcmp(machine->zone, heartbeat->zone) == 0 && machine->is_spot == heartbeat->is_spot;
}

/** Returns whether a heartbeat has the sequence number of the newest one but names other tasks or
 * states. */
static bool contradicts_newest(const struct machine *machine, const struct heartbeat *heartbeat)
{
    const struct machine_heartbeat *newest = &machine->heartbeat;
    return newest->has_reported && heartbeat->agent_epoch == newest->agent_epoch &&
           heartbeat->sequence == newest->sequence &&
           shard_heartbeat_tasks_hash(heartbeat) != newest->tasks_hash;
}

static enum heartbeat_defect find_defect(struct shard *shard, const struct machine *machine,
                                         const struct heartbeat *heartbeat)
{
    const GArray *types = shard->replica->machine_types;
    if (!g_ptr_array_find_with_equal_func(shard->settings->zones, heartbeat->zone, g_str_equal,
                                          NULL))
        return HEARTBEAT_UNKNOWN_ZONE;
    if (types && !machine_type_find(types, heartbeat->machine_type_name))
        return HEARTBEAT_UNKNOWN_TYPE;
    if (machine && machine->type_name[0] && !matches_description(machine, heartbeat))
        return HEARTBEAT_DESCRIPTION_CHANGED;
    if (machine && contradicts_newest(machine, heartbeat))
        return HEARTBEAT_SEQUENCE_REUSED;
    return HEARTBEAT_CONSISTENT;
}

bool shard_heartbeat_is_consistent(struct shard *shard, const struct machine *machine,
                                   const struct heartbeat *heartbeat)
{
    enum heartbeat_defect defect = find_defect(shard, machine, heartbeat);
    if (defect == HEARTBEAT_CONSISTENT)
        return true;
    LOG_ERROR("heartbeat_inconsistent",
              "machine=%s reason=%s type=%s zone=%s agent_epoch=%" G_GUINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT,
              heartbeat->machine.text, defect_name(defect), heartbeat->machine_type_name,
              heartbeat->zone, heartbeat->agent_epoch, heartbeat->sequence);
    return false;
}
