/**
 * @file
 * Drafts: the new contents of own pages, and their encoding.
 */
#include "record_batch_internal.h"

#include "log.h"

void page_draft_free(gpointer data)
{
    struct page_draft *draft = data;
    g_array_unref(draft->records);
    g_hash_table_unref(draft->job_keys);
    g_string_free(draft->completions.text, TRUE);
    g_free(draft);
}

struct page_draft *record_batch_find_draft(const struct record_batch *batch, int page_number)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct page_draft *draft = batch->drafts->pdata[i];
        if (draft->number == page_number)
            return draft;
    }
    return NULL;
}

bool record_batch_writes_page(const void *batch, int page_number)
{
    return record_batch_find_draft(batch, page_number) != NULL;
}

struct page_draft *record_batch_add_draft(struct record_batch *batch, int page_number)
{
    struct page_draft *draft = g_new0(struct page_draft, 1);
    draft->number = page_number;
    draft->records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    draft->job_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    draft->completions.text = g_string_new(NULL);
    shard_get_own_page(batch->shard, page_number);
    g_ptr_array_add(batch->drafts, draft);
    return draft;
}

/* ---- records of a draft ---- */

/** Returns the key of a record's attempt in page_draft.job_keys. */
static char *attempt_key(const struct record_page_entry *record)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT, record->job.text, record->attempt.value);
}

static void draft_append(struct page_draft *draft, const struct record_page_entry *record)
{
    g_hash_table_add(draft->job_keys, g_strdup(record->job.text));
    g_hash_table_add(draft->job_keys, attempt_key(record));
    g_array_append_val(draft->records, *record);
}

bool page_draft_has_job(const struct page_draft *draft, job_id job)
{
    return g_hash_table_contains(draft->job_keys, job.text);
}

static bool page_draft_has_attempt(const struct page_draft *draft,
                                   const struct record_page_entry *record)
{
    char *key = attempt_key(record);
    bool has_attempt = g_hash_table_contains(draft->job_keys, key);
    g_free(key);
    return has_attempt;
}

bool page_draft_try_add(struct page_draft *draft, const struct record_page_entry *record,
                        gsize max_bytes)
{
    gsize added_bytes = record_page_entry_max_bytes(record, page_draft_has_job(draft, record->job),
                                                    page_draft_has_attempt(draft, record));
    if (draft->used_bytes + added_bytes > max_bytes)
        return false;
    draft->used_bytes += added_bytes;
    draft_append(draft, record);
    return true;
}

/* ---- contents that stay on the page ---- */

/** Keeps the records of machines that other nodes own. Only their owners remove them, in the
 * transactions that adopt them. */
static void keep_foreign_records(struct shard *shard, struct page_draft *draft)
{
    const struct own_page *page = shard_get_own_page(shard, draft->number);
    for (guint i = 0; i < page->foreign_records->len; i++) {
        struct record_page_entry record =
            g_array_index(page->foreign_records, struct record_page_entry, i);
        record.description = replica_get_machine_description(shard->replica, record.machine.text);
        draft_append(draft, &record);
    }
}

/** Returns whether another page holds the record of the run, too. */
static bool has_record_copy(struct shard *shard, const struct machine *machine,
                            const struct task_run *run)
{
    const struct run_record *run_record = replica_has_record_copies(shard->replica)
                                              ? shard_find_run_record(shard, machine, run)
                                              : NULL;
    return run_record && replica_find_record_copy(shard->replica, run_record);
}

/** Keeps the record of a run, unless its end is proven, its completion, if any, is durable or
 * recorded by this transaction, and no other page holds the record: a copy that remained would be
 * read as the record of a task that runs. */
static void keep_run(struct record_batch *batch, struct page_draft *draft, struct machine *machine,
                     struct task_run *run)
{
    run->record.next_page = -1;
    run->record.is_in_txn =
        run->phase == TASK_RUN_ENDED && !has_record_copy(batch->shard, machine, run) &&
        shard_completion_is_written(batch->shard, run, record_batch_writes_page, batch);
    if (run->record.is_in_txn) {
        machine->record.is_in_txn = true;
        draft->is_changed = true;
        return;
    }
    struct record_page_entry record = shard_make_page_entry(machine, run);
    draft_append(draft, &record);
}

static void keep_runs(struct record_batch *batch, struct page_draft *draft, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        bool is_on_record = run->phase == TASK_RUN_RECORDED || run->phase == TASK_RUN_ENDED;
        if (is_on_record && run->record.page == draft->number)
            keep_run(batch, draft, machine, run);
    }
}

void page_draft_keep_existing(struct record_batch *batch, struct page_draft *draft)
{
    struct shard *shard = batch->shard;
    g_array_set_size(draft->records, 0);
    g_hash_table_remove_all(draft->job_keys);
    shard_completions_encode(shard, draft->number, batch->legacy_format, &draft->completions);
    draft->is_changed =
        draft->completions.has_unwritten ||
        replica_page_holds_copy(shard->replica, shard_find_replica_page(shard, draft->number));
    draft->used_bytes = draft->completions.text->len + draft->completions.reserved_bytes;
    keep_foreign_records(shard, draft);
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        keep_runs(batch, draft, machine);
    gsize min_bytes;
    draft->used_bytes +=
        record_page_encoded_bytes(draft->records, batch->legacy_format, &min_bytes);
    draft->is_oversized = min_bytes + draft->completions.text->len > shard_max_page_bytes(shard);
}

void page_draft_write(struct record_batch *batch, struct page_draft *draft)
{
    struct shard *shard = batch->shard;
    struct own_page *page = shard_get_own_page(shard, draft->number);
    GString *text = record_page_encode(draft->records, batch->legacy_format);
    char *key = key_record_page(shard->settings->label, draft->number);
    gsize bytes = text->len + draft->completions.text->len;
    if (bytes > shard_max_page_bytes(shard))
        LOG_ERROR("page_too_long", "page=%s bytes=%zu", key, bytes);
    record_txn_put_page(batch->txn, key, page->mod_revision, text->str,
                        draft->completions.text->str);
    page->used_bytes = bytes;
    g_free(key);
    g_string_free(text, TRUE);
}
