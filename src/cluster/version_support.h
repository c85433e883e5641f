/**
 * @file
 * Which versions of the stored records and messages all nodes of the cluster understand.
 */
#ifndef LL_VERSION_SUPPORT_H
#define LL_VERSION_SUPPORT_H

#include "replica.h"
#include "settings.h"

/** A cached answer for one version. */
struct version_support_entry {
    /** The replica's count of node changes, plus one, at which it was computed; 0: never. */
    uint64_t computed_at_change;
    bool is_supported;
};

/** Answers are kept until nodes change, as placement asks for each machine that it considers. */
struct version_support {
    const struct replica *replica;
    const struct settings *settings;
    struct version_support_entry entries[NODE_VERSION_CURRENT + 1];
};

/** The version that processes of the node have announced to understand; 0: none. */
guint version_support_get_announced(const struct replica *replica, const char *label);

/** As membership_all_nodes_support(). */
bool version_support_check_all_nodes(struct version_support *support, enum node_version version);

#endif
