/** Record pages and the run records on them: the values of ll/p/LABEL/N. */
#include "replica_internal.h"
#include "stored_fields.h"

void replica_page_free(gpointer pointer)
{
    struct record_page *page = pointer;
    g_ptr_array_unref(page->run_records);
    g_free(page->key);
    g_free(page->label);
    g_free(page->encoded_completions);
    g_free(page);
}

/**
 * Returns the page of an update and creates it if there is none. NULL if the key is invalid, or if
 * the update deletes a page that does not exist.
 */
static struct record_page *get_or_create_page(struct replica *replica,
                                              const struct key_update *update)
{
    struct record_page *page = g_hash_table_lookup(replica->pages, update->key);
    char *label;
    int number;
    if (page)
        return page;
    if (!update->value || !key_parse_page(update->key, &label, &number))
        return NULL;
    page = g_new0(struct record_page, 1);
    page->key = g_strdup(update->key);
    page->label = label;
    page->number = number;
    page->run_records = g_ptr_array_new();
    g_hash_table_insert(replica->pages, page->key, page);
    return page;
}

static void add_run_event(struct replica *replica, enum replica_event_kind kind,
                          const struct run_record *run_record)
{
    replica_add_event(replica, (struct replica_event){.kind = kind,
                                                      .job = run_record->job->id,
                                                      .task_index = run_record->task_index,
                                                      .attempt = run_record->attempt,
                                                      .machine = run_record->machine->id});
}

/** Links a record to its machine, which takes ownership, and to its page and job. */
static void link_run_record(struct replica *replica, struct run_record *run_record)
{
    g_ptr_array_add(run_record->machine->run_records, run_record);
    g_ptr_array_add(run_record->page->run_records, run_record);
    replica_add_record_to_task(replica, run_record);
    add_run_event(replica, REPLICA_EVENT_RUN_RECORD_ADDED, run_record);
}

/** Unlinks a record that was already removed from its page, and frees it. */
static void remove_run_record(struct replica *replica, struct run_record *run_record)
{
    replica_remove_record_from_task(replica, run_record);
    add_run_event(replica, REPLICA_EVENT_RUN_RECORD_REMOVED, run_record);
    g_ptr_array_remove_fast(run_record->machine->run_records, run_record); /* frees it */
}

/** The context of apply_page_entry. */
struct page_reader {
    struct replica *replica;
    struct record_page *page;
    /** Array of struct run_record: the new records, which are not linked yet. */
    GArray *new_records;
};

/** Lists a record on another page than before. */
static void list_on_page(struct run_record *run_record, struct record_page *page)
{
    g_ptr_array_add(page->run_records, run_record);
    run_record->page = page;
    run_record->page_generation = page->generation;
}

/** Lists a known record on the page that was just read. The page that listed it before may still
 * hold it. */
static void move_to_page(struct replica *replica, struct run_record *run_record,
                         struct record_page *page)
{
    run_record->page_generation = page->generation;
    if (run_record->page == page)
        return;
    replica_drop_record_copy(replica, run_record, page);
    replica_add_record_copy(replica, run_record, run_record->page);
    g_ptr_array_remove_fast(run_record->page->run_records, run_record);
    list_on_page(run_record, page);
}

/**
 * record_page_entry_callback: marks a known record as read again and collects new records. These
 * are added after the removal of stale records, because a task may have moved to another machine.
 */
static void apply_page_entry(void *context, const struct record_page_entry *entry)
{
    struct page_reader *reader = context;
    struct machine_record *machine =
        replica_get_or_create_machine(reader->replica, entry->machine.text);
    struct job *job = replica_get_or_create_job(reader->replica, entry->job.text);
    if (!machine || !job)
        return;
    if (entry->description)
        machine_apply_description(machine, entry->description);
    struct run_record *known = replica_find_run_record(reader->replica, job, entry->task_index,
                                                       entry->attempt, machine->id);
    if (known) {
        move_to_page(reader->replica, known, reader->page);
        return;
    }
    struct run_record new_record = {
        .job = job,
        .task_index = entry->task_index,
        .attempt = entry->attempt,
        .machine = machine,
        .page = reader->page,
        .page_generation = reader->page->generation,
    };
    g_array_append_val(reader->new_records, new_record);
}

/** Drops a record from the page that listed it. Lists it on another page that holds it; if there is
 * none, removes it and adds its machine to a set. */
static void drop_from_page(struct replica *replica, struct run_record *run_record,
                           GHashTable *machines)
{
    struct record_page *other_page = replica_find_record_copy(replica, run_record);
    if (other_page) {
        replica_drop_record_copy(replica, run_record, other_page);
        list_on_page(run_record, other_page);
        return;
    }
    g_hash_table_add(machines, run_record->machine);
    remove_run_record(replica, run_record);
}

/** Drops the records that the page held and that were not read again. */
static void remove_stale_run_records(struct replica *replica, struct record_page *page,
                                     GHashTable *machines)
{
    for (guint i = 0; i < page->run_records->len;) {
        struct run_record *run_record = page->run_records->pdata[i];
        if (run_record->page_generation == page->generation) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(page->run_records, i);
        drop_from_page(replica, run_record, machines);
    }
    replica_drop_copies_on_page(replica, page);
}

static void add_new_run_records(struct replica *replica, const GArray *new_records)
{
    for (guint i = 0; i < new_records->len; i++) {
        const struct run_record *new_record = &g_array_index(new_records, struct run_record, i);
        link_run_record(replica, g_memdup2(new_record, sizeof *new_record));
    }
}

/** Removes the machines to which only the removed records referred. */
static void remove_unused_machines(struct replica *replica, GHashTable *machines)
{
    GHashTableIter iterator;
    struct machine_record *machine;
    g_hash_table_iter_init(&iterator, machines);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&machine, NULL))
        replica_remove_unused_machine(replica, machine);
}

static void apply_run_records(struct replica *replica, struct record_page *page, const char *text)
{
    struct page_reader reader = {replica, page,
                                 g_array_new(FALSE, FALSE, sizeof(struct run_record))};
    GHashTable *machines = g_hash_table_new(NULL, NULL); /* of the removed records */
    record_page_decode(text, apply_page_entry, &reader);
    remove_stale_run_records(replica, page, machines);
    add_new_run_records(replica, reader.new_records);
    remove_unused_machines(replica, machines);
    g_hash_table_unref(machines);
    g_array_unref(reader.new_records);
}

static void apply_completions(struct replica *replica, struct record_page *page, const char *text)
{
    if (g_strcmp0(text, page->encoded_completions) == 0)
        return;
    completions_decode(text, replica_merge_completions, replica);
    g_free(page->encoded_completions);
    page->encoded_completions = g_strdup(text);
}

void replica_apply_page(struct replica *replica, const struct key_update *update)
{
    struct record_page *page = get_or_create_page(replica, update);
    const char *run_records = "", *completions = "";
    if (!page)
        return;
    json_get_string(update->value, PAGE_FIELD_RUN_RECORDS, &run_records);
    json_get_string(update->value, PAGE_FIELD_COMPLETIONS, &completions);
    page->mod_revision = update->mod_revision;
    page->generation++;
    page->size_bytes = strlen(run_records) + strlen(completions);
    apply_run_records(replica, page, run_records);
    apply_completions(replica, page, completions);
    replica_add_page_event(replica, REPLICA_EVENT_PAGE, update->key);
    if (!update->value)
        g_hash_table_remove(replica->pages, update->key);
}
