#include "replica_internal.h"

void replica_page_free(gpointer p)
{
    struct record_page *page = p;
    g_ptr_array_unref(page->run_records);
    g_free(page->key);
    g_free(page->label);
    g_free(page->completions_text);
    g_free(page);
}

static void run_record_add(struct replica *replica, struct record_page *page,
                           struct machine_record *machine, struct job *job, uint32_t task_index,
                           attempt_no attempt)
{
    struct run_record *run_record = g_new(struct run_record, 1);
    *run_record = (struct run_record){job, task_index, attempt, machine, page, page->generation};
    g_ptr_array_add(machine->run_records, run_record);
    g_ptr_array_add(page->run_records, run_record);
    if (!job->run_records)
        job->run_records = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(job->run_records, GUINT_TO_POINTER(task_index + 1), run_record);
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_RUN_RECORDED,
                                                      .job = job->id,
                                                      .task_index = task_index,
                                                      .attempt = attempt,
                                                      .machine = machine->id});
}

static void run_record_remove(struct replica *replica, struct run_record *run_record)
{
    struct job *job = run_record->job;
    struct machine_record *machine = run_record->machine;
    if (job_get_run_record(job, run_record->task_index) == run_record)
        g_hash_table_remove(job->run_records, GUINT_TO_POINTER(run_record->task_index + 1));
    if (job->run_records && g_hash_table_size(job->run_records) == 0) {
        g_hash_table_unref(job->run_records);
        job->run_records = NULL;
    }
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_RUN_REMOVED,
                                                      .job = job->id,
                                                      .task_index = run_record->task_index,
                                                      .attempt = run_record->attempt,
                                                      .machine = machine->id});
    g_ptr_array_remove_fast(machine->run_records, run_record); /* frees p */
}

/* A task that was read and is not on record yet. */
struct new_run_record {
    struct machine_record *machine;
    struct job *job;
    attempt_no attempt;
    uint32_t task_index;
};

struct page_reader {
    struct replica *replica;
    struct record_page *page;
    GArray *new_records; /* struct new_run_record */
};

/* What is known is marked as read, the rest is put by. */
static void apply_page_entry(void *context, const struct record_page_entry *entry)
{
    struct page_reader *reader = context;
    struct record_page *page = reader->page;
    struct machine_record *machine =
        replica_get_or_create_machine(reader->replica, entry->machine.text);
    struct job *job = replica_get_or_create_job(reader->replica, entry->job.text);
    if (!machine || !job)
        return;
    if (entry->description)
        machine_apply_description(machine, entry->description);
    struct run_record *run_record = job_get_run_record(job, entry->task_index);
    if (!run_record || run_record->machine != machine ||
        run_record->attempt.value != entry->attempt.value) {
        struct new_run_record new_record = {machine, job, entry->attempt, entry->task_index};
        g_array_append_val(reader->new_records, new_record);
        return;
    }
    if (run_record->page != page) { /* it came from another page */
        g_ptr_array_remove_fast(run_record->page->run_records, run_record);
        g_ptr_array_add(page->run_records, run_record);
    }
    run_record->page = page;
    run_record->page_generation = page->generation;
}

void replica_apply_page(struct replica *replica, const char *key, json_object *value,
                        revision mod_revision)
{
    struct record_page *page = g_hash_table_lookup(replica->pages, key);
    const char *text = "", *completions = "";
    if (!page) {
        char *label;
        int number;
        if (!value || !key_parse_page(key, &label, &number))
            return;
        page = g_new0(struct record_page, 1);
        page->key = g_strdup(key);
        page->label = label;
        page->number = number;
        page->run_records = g_ptr_array_new();
        g_hash_table_insert(replica->pages, page->key, page);
    }
    page->mod_revision = mod_revision;
    page->generation++;
    json_get_text(value, "t", &text);
    json_get_text(value, "d", &completions);
    page->size_bytes = strlen(text) + strlen(completions);
    GArray *new_records = g_array_new(FALSE, FALSE, sizeof(struct new_run_record));
    GHashTable *affected_machines =
        g_hash_table_new(NULL, NULL); /* struct machine_record that lost a task */
    struct page_reader reader = {replica, page, new_records};
    record_page_decode(text, apply_page_entry, &reader);
    for (guint i = 0; i < page->run_records->len;) {
        struct run_record *run_record = page->run_records->pdata[i];
        if (run_record->page_generation == page->generation) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(page->run_records, i);
        g_hash_table_add(affected_machines, run_record->machine);
        run_record_remove(replica, run_record);
    }
    for (guint i = 0; i < new_records->len; i++) {
        struct new_run_record *new_record = &g_array_index(new_records, struct new_run_record, i);
        run_record_add(replica, page, new_record->machine, new_record->job, new_record->task_index,
                       new_record->attempt);
    }
    g_array_unref(new_records);
    /* Machines whose own record is gone are forgotten with their last task. */
    GHashTableIter it;
    struct machine_record *machine;
    g_hash_table_iter_init(&it, affected_machines);
    while (g_hash_table_iter_next(&it, (gpointer *)&machine, NULL))
        replica_remove_unused_machine(replica, machine);
    g_hash_table_unref(affected_machines);
    if (g_strcmp0(completions, page->completions_text) != 0) {
        completions_decode(completions, replica_merge_completions, replica);
        g_free(page->completions_text);
        page->completions_text = g_strdup(completions);
    }
    struct replica_event event = {.kind = REPLICA_EVENT_PAGE};
    g_strlcpy(event.page_key, key, sizeof event.page_key);
    replica_add_event(replica, event);
    if (!value)
        g_hash_table_remove(replica->pages, key);
}
