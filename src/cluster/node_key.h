/**
 * @file
 * The transactions that write this node's own key, `ll/n/LABEL`.
 *
 * The key is attached to the lease of the process that wrote it. A process writes it when it joins
 * the cluster, and again to fence off its own earlier transactions (membership.h).
 */
#ifndef LL_NODE_KEY_H
#define LL_NODE_KEY_H

#include "kv_txn.h"
#include "replica.h"
#include "settings.h"

/** What the key of this node depends on. */
struct node_key {
    const struct replica *replica;
    const struct settings *settings;
    /** Whether singleton roles are enabled in this node's configuration. */
    bool wants_singleton_roles;
    /** The maximum number of writes of a transaction. */
    int max_txn_operations;
};

/**
 * Creates the transaction with which a process joins the cluster. It also releases the leadership
 * and the roles of an earlier process of the node, which is dead, so that no node has to wait for
 * its lease to expire, and announces the version of this program.
 *
 * @param incarnation   the lease of the process
 * @param mod_revision  the revision of the key in the replica; 0: there is none
 */
struct txn *node_key_new_join_txn(const struct node_key *key, lease_id incarnation,
                                  revision mod_revision);

/**
 * Creates a transaction that writes the key of a process that has joined with the same value, so
 * that its revision changes.
 *
 * @param mod_revision  the revision that the key must still have
 */
struct txn *node_key_new_rewrite_txn(const struct node_key *key, lease_id incarnation,
                                     revision mod_revision);

#endif
