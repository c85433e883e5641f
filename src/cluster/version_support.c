/**
 * @file
 * Determines which versions of stored records and messages all nodes of the cluster support.
 */
#include "version_support.h"

guint version_support_get_announced(const struct replica *replica, const char *label)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(replica->announced_versions, label));
}

static bool node_supports(const struct version_support *support, const char *label,
                          enum node_version version)
{
    const struct node_record *node = g_hash_table_lookup(support->replica->nodes, label);
    bool is_announced = version_support_get_announced(support->replica, label) >= (guint)version;
    return is_announced && (!node || node->supported_version >= (uint64_t)version);
}

static bool all_nodes_support(const struct version_support *support, enum node_version version)
{
    const GArray *siblings = support->settings->siblings;
    if (!node_supports(support, support->settings->label, version))
        return false;
    for (guint i = 0; i < siblings->len; i++)
        if (!node_supports(support, g_array_index(siblings, struct sibling, i).label, version))
            return false;
    return true;
}

bool version_support_check_all_nodes(struct version_support *support, enum node_version version)
{
    struct version_support_entry *entry = &support->entries[version];
    uint64_t current_change = support->replica->node_change_count + 1;
    if (entry->computed_at_change != current_change)
        *entry =
            (struct version_support_entry){current_change, all_nodes_support(support, version)};
    return entry->is_supported;
}
