/* This node's pages: which of them a machine's records are on, and how much room they have. */
#include "run_records_internal.h"

enum {
    VALUE_BYTES = 32,       /* of a page's value besides its texts */
    MAX_TASK_INDEX = 99999, /* a task's number, as long as it may get in a text */
};

gsize shard_max_page_bytes(const struct shard *shard)
{
    return kv_client_limits(shard->kv)->max_value_bytes - VALUE_BYTES;
}

bool shard_page_is_too_long(const struct shard *shard, const struct record_page *page)
{
    return page->size_bytes > shard_max_page_bytes(shard);
}

bool shard_uses_legacy_format(const struct shard *shard)
{
    return !membership_all_nodes_support(shard->membership, NODE_VERSION_JOB_DAG);
}

void own_page_free(gpointer data)
{
    struct own_page *page = data;
    g_array_unref(page->foreign_records);
    g_free(page);
}

struct own_page *shard_get_own_page(struct shard *shard, int page_number)
{
    while ((int)shard->records.pages->len <= page_number) {
        struct own_page *page = g_new0(struct own_page, 1);
        page->foreign_records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
        g_ptr_array_add(shard->records.pages, page);
    }
    return shard->records.pages->pdata[page_number];
}

struct record_page *shard_find_replica_page(struct shard *shard, int page_number)
{
    char *key = key_record_page(shard->settings->label, page_number);
    struct record_page *page = g_hash_table_lookup(shard->replica->pages, key);
    g_free(key);
    return page;
}

bool shard_own_page_is_too_long(struct shard *shard, int page_number)
{
    struct record_page *page = shard_find_replica_page(shard, page_number);
    return page && shard_page_is_too_long(shard, page);
}

bool shard_own_page_is_empty(struct shard *shard, int page_number)
{
    return !shard_get_own_page(shard, page_number)->bytes &&
           !shard_find_replica_page(shard, page_number) &&
           !shard_own_page_is_too_long(shard, page_number);
}

int shard_page_of_machine(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase != TASK_RUN_RELEASED && run->record.page >= 0)
            return run->record.page;
    }
    return -1;
}

const char *shard_machine_page_description(struct machine *machine)
{
    if (machine->record.mod_revision.value || machine->record.change == MACHINE_RECORD_WRITTEN ||
        machine->record.inventory_number >= 0)
        return NULL;
    if (!machine->record.page_description)
        machine->record.page_description = machine_description_encode(
            machine->address, machine->type_name, machine->zone, machine->is_spot);
    return machine->record.page_description;
}

struct record_page_entry shard_page_record_of(struct machine *machine, const struct task_run *run)
{
    return (struct record_page_entry){machine->id, run->job, run->attempt, run->index,
                                      shard_machine_page_description(machine)};
}

bool shard_can_record_run(struct shard *shard, struct machine *machine, job_id job)
{
    if (!shard_uses_legacy_format(shard))
        return true;
    for (guint i = 0; i < machine->runs->len; i++)
        if (((struct task_run *)machine->runs->pdata[i])->record.is_foreign)
            return false;
    int page_number = shard_page_of_machine(machine);
    if (page_number < 0)
        return true;
    struct record_page_entry record = {
        machine->id, job, {UINT64_MAX}, MAX_TASK_INDEX, shard_machine_page_description(machine)};
    return !shard_own_page_is_too_long(shard, page_number) &&
           shard_get_own_page(shard, page_number)->bytes +
                   record_page_entry_max_bytes(&record, false, false) <=
               shard_max_page_bytes(shard);
}

void shard_reserve_record(struct shard *shard, struct machine *machine, job_id job)
{
    int page_number = shard_page_of_machine(machine);
    struct record_page_entry record = {
        machine->id, job, {UINT64_MAX}, MAX_TASK_INDEX, shard_machine_page_description(machine)};
    if (page_number >= 0)
        shard_get_own_page(shard, page_number)->bytes +=
            record_page_entry_max_bytes(&record, false, false);
    shard_mark_dirty(shard);
}

void shard_page_reserve(struct shard *shard, int page_number, gsize bytes)
{
    shard_get_own_page(shard, page_number)->bytes += bytes;
}

gsize shard_page_free_bytes(struct shard *shard, int page_number)
{
    gsize max_bytes = shard_max_page_bytes(shard),
          used_bytes = shard_get_own_page(shard, page_number)->bytes +
                       shard_completions_reserved_bytes(shard, page_number);
    return shard_own_page_is_too_long(shard, page_number) || used_bytes > max_bytes
               ? 0
               : max_bytes - used_bytes;
}
