/**
 * @file
 * Returning machines to the cloud provider. Before the leader records the intent to return a
 * machine, it asks the owner to place nothing more on it. Once the machine is returned, all runs on
 * it have ended.
 */
#include "machine_returns_internal.h"

#include "log.h"
#include "machine_inventory_internal.h"
#include "run_records_internal.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

void shard_reject_unrecorded_runs(struct shard *shard, struct machine *machine,
                                  bool keep_possibly_recorded)
{
    for (guint i = 0; i < machine->runs->len;) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase != TASK_RUN_PLACED || run->record.is_in_txn ||
            (keep_possibly_recorded && run->record.may_be_recorded)) {
            i++;
            continue;
        }
        /* The run is not recorded, so it was not started and will not be. */
        struct dispatch dispatch = {.job = run->job,
                                    .index = run->index,
                                    .attempt = run->attempt,
                                    .number = run->dispatch_number};
        if (run->record.may_be_recorded)
            shard->status.wants_epoch_raise = true;
        else
            shard_reject_dispatch(shard, &dispatch, "not_recorded");
        shard_run_remove(shard, machine, i);
    }
}

/** Remembers a returned machine, because delayed heartbeats must not add it again. When the limit
 * is reached, the older half is forgotten. */
static void remember_returned(struct shard_returns *returns, const char *machine_name)
{
    if (g_hash_table_size(returns->returned) >= MAX_TRACKED_MACHINES) {
        GHashTable *emptied = returns->older_returned;
        returns->older_returned = returns->returned;
        returns->returned = emptied;
        g_hash_table_remove_all(returns->returned);
    }
    g_hash_table_add(returns->returned, g_strdup(machine_name));
}

bool shard_machine_was_returned(const struct shard *shard, const char *machine_name)
{
    return g_hash_table_contains(shard->returns.returned, machine_name) ||
           g_hash_table_contains(shard->returns.older_returned, machine_name);
}

bool shard_machine_is_returning(const struct shard *shard, const char *machine_name)
{
    return g_hash_table_contains(shard->returns.cordoned, machine_name) ||
           role_records_is_scaling_in(shard->replica->singleton_roles, machine_name);
}

void shard_handle_machine_returned(struct shard *shard, const char *machine_name)
{
    struct machine *machine = shard_find_machine(shard, machine_name);
    remember_returned(&shard->returns, machine_name);
    if (!machine || machine->is_returned)
        return;
    LOG_INFO("machine_returned", "machine=%s", machine_name);
    machine->is_returned = true;
    shard_inventory_mark_stale(shard, machine);
    shard_reject_unrecorded_runs(shard, machine, false);
    shard_end_all_runs(shard, machine, RUN_END_MACHINE_RETURNED);
    if (machine->record.mod_revision.value || machine->record.is_in_txn ||
        shard_machine_has_runs(machine))
        shard_mark_dirty(shard);
    else
        g_hash_table_remove(shard->machines, machine_name);
}

/* Placed runs that are not recorded are returned to the leader or, if a transaction may still
 * record them, waited for. A later owner cannot miss the leader's intent: its replica shows the
 * recorded intent before it owns the machine, because the transaction of the intent compares the
 * shard map. */
bool shard_cordon_for_return(struct shard *shard, const char *machine_name)
{
    g_hash_table_add(shard->returns.cordoned, g_strdup(machine_name));
    struct machine *machine = shard_find_machine(shard, machine_name);
    if (!machine)
        return true;
    machine->is_returning = true;
    shard_reject_unrecorded_runs(shard, machine, true);
    return !shard_machine_has_unrecorded_run(machine);
}
