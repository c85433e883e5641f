/**
 * @file
 * Determines which node owns a machine by the shard map.
 */
#include "shard_map.h"

/** Parameters of the 64-bit FNV-1a hash. */
static const uint64_t FNV_OFFSET_BASIS = 0xcbf29ce484222325ULL;
static const uint64_t FNV_PRIME = 0x100000001b3ULL;

/** Separates the machine's part of a hash from the part of the node's label. */
static const uint64_t PART_SEPARATOR = 0x9e3779b97f4a7c15ULL;

/** Continues an FNV-1a hash with the bytes of a string. */
static uint64_t hash_string(uint64_t hash, const char *string)
{
    for (; *string; string++)
        hash = (hash ^ (uint8_t)*string) * FNV_PRIME;
    return hash;
}

/** Spreads a difference in any bit over all bits; this is the finalizer of MurmurHash3. */
static uint64_t mix_bits(uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

/**
 * Returns the rendezvous hashing weight of a node for a machine. All nodes must compute the same
 * weights, so that they agree on the owner of each machine.
 */
static uint64_t rendezvous_weight(const char *label, const char *machine)
{
    uint64_t machine_hash = hash_string(FNV_OFFSET_BASIS, machine);
    return mix_bits(hash_string(machine_hash ^ PART_SEPARATOR, label));
}

const char *shard_map_get_owner(const struct replica *replica, const char *machine)
{
    const char *owner = NULL;
    uint64_t owner_weight = 0;
    for (guint i = 0; i < replica->shard_map->len; i++) {
        const char *label = g_array_index(replica->shard_map, struct shard_map_entry, i).label;
        uint64_t weight = rendezvous_weight(label, machine);
        if (!owner || weight > owner_weight) {
            owner = label;
            owner_weight = weight;
        }
    }
    return owner;
}

bool shard_map_has_label(const struct replica *replica, const char *label)
{
    for (guint i = 0; i < replica->shard_map->len; i++)
        if (strcmp(g_array_index(replica->shard_map, struct shard_map_entry, i).label, label) == 0)
            return true;
    return false;
}

bool shard_map_contains(const struct replica *replica, const char *label, lease_id incarnation)
{
    for (guint i = 0; i < replica->shard_map->len; i++) {
        const struct shard_map_entry *entry =
            &g_array_index(replica->shard_map, struct shard_map_entry, i);
        if (strcmp(entry->label, label) == 0 && entry->incarnation.value == incarnation.value)
            return true;
    }
    return false;
}
