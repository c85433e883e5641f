/**
 * @file
 * Determines which versions of stored records and messages all nodes of the cluster support.
 */
#ifndef LL_VERSION_SUPPORT_H
#define LL_VERSION_SUPPORT_H

#include "replica.h"
#include "settings.h"

/** A cached result for one version. */
struct version_support_entry {
    /** The replica's node_change_count, plus one, when this was computed; 0 if it never was. */
    uint64_t computed_at_change;
    bool is_supported;
};

/**
 * A cache of the versions that all nodes support. Results are kept until a node changes, because
 * placement queries them for each machine that it considers.
 */
struct version_support {
    const struct replica *replica;
    const struct settings *settings;
    struct version_support_entry entries[NODE_VERSION_CURRENT + 1];
};

/** Returns the highest version that processes of the node announced as supported; 0 if none. */
guint version_support_get_announced(const struct replica *replica, const char *label);

/** Implements membership_all_nodes_support() with the cache. */
bool version_support_check_all_nodes(struct version_support *support, enum node_version version);

#endif
