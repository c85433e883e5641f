/**
 * @file
 * This node's pages: which of them have the records of a machine, and how many bytes are free on
 * them.
 */
#include "completions_internal.h"
#include "run_records_internal.h"

enum {
    /** Size of a page's value without its strings. */
    PAGE_VALUE_OVERHEAD_BYTES = 32,
    /** The highest index that a task can have; it takes the most digits. */
    MAX_TASK_INDEX = 99999,
};

gsize shard_max_page_bytes(const struct shard *shard)
{
    return kv_client_limits(shard->kv)->max_value_bytes - PAGE_VALUE_OVERHEAD_BYTES;
}

bool shard_page_is_oversized(const struct shard *shard, const struct record_page *page)
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
    GPtrArray *pages = shard->records.pages;
    while ((int)pages->len <= page_number) {
        struct own_page *page = g_new0(struct own_page, 1);
        page->foreign_records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
        g_ptr_array_add(pages, page);
    }
    return pages->pdata[page_number];
}

bool shard_is_own_page(const struct shard *shard, const struct record_page *page)
{
    return strcmp(page->label, shard->settings->label) == 0;
}

struct record_page *shard_find_replica_page(struct shard *shard, int page_number)
{
    char *key = key_record_page(shard->settings->label, page_number);
    struct record_page *page = g_hash_table_lookup(shard->replica->pages, key);
    g_free(key);
    return page;
}

bool shard_own_page_is_oversized(struct shard *shard, int page_number)
{
    struct record_page *page = shard_find_replica_page(shard, page_number);
    return page && shard_page_is_oversized(shard, page);
}

bool shard_own_page_is_empty(struct shard *shard, int page_number)
{
    return !shard_get_own_page(shard, page_number)->used_bytes &&
           !shard_find_replica_page(shard, page_number);
}

struct run_record *shard_find_run_record(struct shard *shard, const struct machine *machine,
                                         const struct task_run *run)
{
    struct job *job = replica_get_job(shard->replica, run->job.text);
    return job ? replica_find_run_record(shard->replica, job, run->index, run->attempt, machine->id)
               : NULL;
}

int shard_find_page_of_machine(const struct machine *machine)
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
    struct machine_record_state *record = &machine->record;
    if (record->mod_revision.value || record->pending_change == MACHINE_RECORD_WRITTEN ||
        record->inventory_number >= 0)
        return NULL;
    if (!record->page_description)
        record->page_description = machine_description_encode(machine->address, machine->type_name,
                                                              machine->zone, machine->is_spot);
    return record->page_description;
}

struct record_page_entry shard_make_page_entry(struct machine *machine, const struct task_run *run)
{
    return (struct record_page_entry){machine->id, run->job, run->attempt, run->index,
                                      shard_machine_page_description(machine)};
}

struct record_page_entry shard_make_page_entry_from_replica(struct shard *shard,
                                                            const struct run_record *run_record)
{
    const struct machine_record *machine = run_record->machine;
    return (struct record_page_entry){
        machine->id, run_record->job->id, run_record->attempt, run_record->task_index,
        replica_get_machine_description(shard->replica, machine->id.text)};
}

/** Returns the maximum length that the record of one more run of the machine can take. The longest
 * attempt number and task index are assumed, because those of the run are not known yet. */
static gsize new_record_max_bytes(struct machine *machine, job_id job)
{
    struct record_page_entry record = {
        machine->id, job, {UINT64_MAX}, MAX_TASK_INDEX, shard_machine_page_description(machine)};
    return record_page_entry_max_bytes(&record, false, false);
}

/** Whether any record of the machine has not been adopted from another node's page yet. */
static bool has_foreign_record(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->record.is_foreign)
            return true;
    }
    return false;
}

bool shard_can_record_run(struct shard *shard, struct machine *machine, job_id job)
{
    if (!shard_uses_legacy_format(shard))
        return true;
    if (has_foreign_record(machine))
        return false;
    int page_number = shard_find_page_of_machine(machine);
    if (page_number < 0)
        return true;
    gsize record_bytes = new_record_max_bytes(machine, job);
    return !shard_own_page_is_oversized(shard, page_number) &&
           shard_get_own_page(shard, page_number)->used_bytes + record_bytes <=
               shard_max_page_bytes(shard);
}

void shard_reserve_record(struct shard *shard, struct machine *machine, job_id job)
{
    int page_number = shard_find_page_of_machine(machine);
    gsize record_bytes = new_record_max_bytes(machine, job);
    if (page_number >= 0)
        shard_page_reserve(shard, page_number, record_bytes);
    shard_mark_dirty(shard);
}

void shard_page_reserve(struct shard *shard, int page_number, gsize bytes)
{
    shard_get_own_page(shard, page_number)->used_bytes += bytes;
}

gsize shard_page_free_bytes(struct shard *shard, int page_number)
{
    gsize max_bytes = shard_max_page_bytes(shard);
    gsize used_bytes = shard_get_own_page(shard, page_number)->used_bytes +
                       shard_completions_reserved_bytes(shard, page_number);
    if (shard_own_page_is_oversized(shard, page_number) || used_bytes > max_bytes)
        return 0;
    return max_bytes - used_bytes;
}
