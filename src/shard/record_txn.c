/**
 * @file
 * The transactions that write run records, machine records and inventories, with all their
 * compares.
 */
#include "record_txn.h"
#include "stored_fields.h"

struct txn *record_txn_new(struct shard *shard)
{
    struct txn *txn = txn_new();
    char *node_key = key_node(shard->settings->label);
    txn_compare(txn, node_key, membership_get_mod_revision(shard->membership));
    txn_compare(txn, KEY_SHARD_MAP, shard->replica->shard_map_mod_revision);
    g_free(node_key);
    return txn;
}

/** Encodes the value of a page. */
static json_object *encode_page_value(const char *run_records, const char *completions)
{
    json_object *object = json_object_new_object();
    json_put_string(object, PAGE_FIELD_RUN_RECORDS, run_records);
    json_put_string(object, PAGE_FIELD_COMPLETIONS, completions);
    return object;
}

void record_txn_put_page(struct txn *txn, const char *key, revision mod_revision,
                         const char *run_records, const char *completions)
{
    txn_compare(txn, key, mod_revision);
    txn_put(txn, key, encode_page_value(run_records, completions), (lease_id){0});
}

void record_txn_compare_page(struct txn *txn, const struct record_page *page)
{
    txn_compare(txn, page->key, page->mod_revision);
}

void record_txn_compare_job(struct txn *txn, const struct job *job)
{
    char *key = key_job(job->id);
    txn_compare(txn, key, job->mod_revision);
    g_free(key);
}

void record_txn_put_machine(struct txn *txn, const struct machine *machine, json_object *value)
{
    char *key = key_machine(machine->id);
    txn_compare(txn, key, machine->record.mod_revision);
    txn_put(txn, key, value, (lease_id){0});
    g_free(key);
}

void record_txn_delete_machine(struct txn *txn, const struct machine *machine)
{
    char *key = key_machine(machine->id);
    txn_compare(txn, key, machine->record.mod_revision);
    txn_delete(txn, key);
    g_free(key);
}

void record_txn_put_inventory(struct txn *txn, const char *key, revision mod_revision,
                              const char *text)
{
    json_object *value = json_object_new_object();
    json_put_string(value, INVENTORY_FIELD_MACHINES, text);
    txn_compare(txn, key, mod_revision);
    txn_put(txn, key, value, (lease_id){0});
}

void record_txn_commit(struct shard *shard, struct txn *txn, txn_callback callback, void *arg)
{
    shard_charge_writes(shard, txn_write_count(txn));
    shard->records.txn_in_flight = true;
    kv_client_commit(shard->kv, KV_PRIORITY_URGENT, txn, callback, arg);
}

/** A fence in flight, and whom to tell when it has ended. */
struct pending_fence {
    struct shard *shard;
    replica_callback callback;
    void *callback_arg;
};

static void on_fenced(void *arg, bool ok)
{
    struct pending_fence *fence = arg;
    if (ok)
        fence->shard->records.needs_fence = false;
    fence->callback(fence->callback_arg, ok);
    g_free(fence);
}

void record_txn_fence(struct shard *shard, replica_callback callback, void *arg)
{
    struct pending_fence *fence = g_new(struct pending_fence, 1);
    *fence = (struct pending_fence){shard, callback, arg};
    shard_charge_writes(shard, 1);
    membership_fence_earlier_txns(shard->membership, on_fenced, fence);
}

void record_txn_await_outcome(struct shard *shard, const struct txn_outcome *outcome,
                              replica_callback callback, void *arg)
{
    switch (outcome->status) {
    case TXN_COMMITTED:
    case TXN_CONFLICT:
        replica_await_revision(shard->replica, outcome->at_revision, callback, arg);
        return;
    case TXN_UNKNOWN:
        shard->records.needs_fence = true;
        record_txn_fence(shard, callback, arg);
        return;
    case TXN_LEASE_EXPIRED:
    case TXN_REJECTED:
        callback(arg, false);
        return;
    }
}
