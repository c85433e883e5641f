/**
 * @file
 * The start of a new shard map epoch. Dispatches of the previous epoch that have no record are
 * void, and machines may have new owners. No transaction of the previous epoch can be committed
 * after the new map was written, as all of them are conditioned on the map.
 */
#include "shard_epoch_internal.h"

#include "agent_fencing_internal.h"
#include "agent_session_internal.h"
#include "held_response.h"
#include "log.h"
#include "machine_returns_internal.h"
#include "run_records_internal.h"
#include "task_placement_internal.h"

bool shard_is_in_map(const struct shard *shard)
{
    return shard_map_contains(shard->replica, shard->settings->label,
                              membership_get_incarnation(shard->membership));
}

bool shard_may_act(const struct shard *shard)
{
    return membership_has_valid_lease(shard->membership) &&
           shard->epoch.value == shard->replica->shard_map_epoch.value && shard_is_in_map(shard);
}

static bool owns_machine(const struct shard *shard, const char *machine_name)
{
    const char *owner = shard_map_get_owner(shard->replica, machine_name);
    return owner && strcmp(owner, shard->settings->label) == 0 && shard_is_in_map(shard);
}

/** Discards the state of a run that belonged to the previous epoch.
 * @param epochs_skipped epochs were skipped, so that commands of another owner may still be in
 *     transit */
static void reset_run(const struct shard *shard, struct task_run *run, bool epochs_skipped)
{
    run->record.is_in_txn = false;
    if (epochs_skipped)
        run->start.token = agent_token_last_before(shard->epoch);
    if (run->phase == TASK_RUN_ENDED)
        run->phase = TASK_RUN_RECORDED; /* the next heartbeat proves the end again */
}

static void reset_machine(struct shard *shard, struct machine *machine, bool epochs_skipped)
{
    machine->is_returning = shard_machine_is_returning(shard, machine->id.text);
    shard_fence_begin_epoch(shard, machine);
    if (epochs_skipped)
        machine->lease.owned_since_epoch = shard->epoch;
    if (machine->lease.owned_since_epoch.value == shard->epoch.value) {
        shard_fence_begin_ownership(shard, machine);
        machine->lease.owned_since = loop_now(shard->loop);
    }
    for (guint i = 0; i < machine->runs->len; i++)
        reset_run(shard, machine->runs->pdata[i], epochs_skipped);
    machine->record.is_in_txn = false;
    machine->record.pending_change = MACHINE_RECORD_UNCHANGED;
}

/** Drops the machines that another node owns now, and resets the others. */
static void update_kept_machines(struct shard *shard, bool epochs_skipped)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (owns_machine(shard, machine->id.text))
            reset_machine(shard, machine, epochs_skipped);
        else
            g_hash_table_iter_remove(&iter);
    }
}

/** Adds the machines whose ownership has moved to this node. */
static void add_new_machines(struct shard *shard)
{
    GHashTableIter iter;
    const struct machine_record *stored;
    g_hash_table_iter_init(&iter, shard->replica->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&stored))
        if (owns_machine(shard, stored->id.text) && !shard_find_machine(shard, stored->id.text))
            shard_add_machine(shard, stored->id);
}

/** Rejects runs that are placed but not recorded, and probes the machines that have not reported
 * yet, as the response shows what is running there. Returns the names of the machines that were
 * returned to the cloud. */
static GPtrArray *reject_unrecorded_runs_and_probe(struct shard *shard)
{
    GPtrArray *returned = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        shard_reject_unrecorded_runs(shard, machine, false);
        shard->status.wants_epoch_raise = false; /* the new epoch has just begun */
        if (machine->is_returned)
            g_ptr_array_add(returned, g_strdup(machine->id.text));
        else if (!machine->heartbeat.has_reported)
            shard_probe_agent(shard, machine);
    }
    return returned;
}

/** Ends the runs of returned machines again. */
static void end_runs_of_returned_machines(struct shard *shard, const GPtrArray *returned)
{
    for (guint i = 0; i < returned->len; i++) {
        shard_find_machine(shard, returned->pdata[i])->is_returned = false;
        shard_handle_machine_returned(shard, returned->pdata[i]);
    }
}

static void log_epoch_began(const struct shard *shard, bool epochs_skipped)
{
    const struct replica *replica = shard->replica;
    LOG_INFO("epoch_began",
             "machines=%u incarnation=%" G_GUINT64_FORMAT
             " in_map=%d leader=%s map_revision=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT " skipped=%d",
             g_hash_table_size(shard->machines),
             membership_get_incarnation(shard->membership).value, shard_is_in_map(shard),
             replica->leader_label ? replica->leader_label : "",
             replica->shard_map_mod_revision.value, replica->applied_revision.value,
             time_ms_since(loop_now(shard->loop), replica->fresh_at), epochs_skipped);
}

void shard_begin_epoch(struct shard *shard)
{
    shard_release_all_responses(shard);
    /* If the replica shows several new epochs at once, a machine may have had another owner in
     * between. It is then treated as if this node had become its owner only now. */
    bool epochs_skipped = shard->replica->shard_map_epoch.value != shard->epoch.value + 1;
    shard->epoch = shard->replica->shard_map_epoch;
    shard->has_token_serials = shard->replica->has_token_serials;
    shard->generation++;
    /* Transactions of earlier epochs compare an earlier revision of the map. */
    shard->records.needs_fence = false;
    shard->last_dispatch_sequence = 0;
    shard->status.next_is_full = true;
    shard->status.wants_epoch_raise = false;
    shard_clear_dispatches(shard);
    g_hash_table_remove_all(shard->returns.cordoned);
    update_kept_machines(shard, epochs_skipped);
    add_new_machines(shard);
    shard_records_reconcile(shard);
    GPtrArray *returned = reject_unrecorded_runs_and_probe(shard);
    end_runs_of_returned_machines(shard, returned);
    g_ptr_array_unref(returned);
    /* The leader knows that no dispatch of an earlier epoch is outstanding in a new one. */
    g_array_set_size(shard->status.rejected_dispatches, 0);
    shard_request_status(shard);
    log_epoch_began(shard, epochs_skipped);
}
