#include "replica_internal.h"

void view_page_free(gpointer p)
{
    struct page *page = p;
    g_ptr_array_unref(page->tasks);
    g_free(page->key);
    g_free(page->label);
    g_free(page->done);
    g_free(page);
}

static void placed_add(struct view *view, struct page *page, struct host_record *record,
                       struct job *job, uint32_t index, attempt_no attempt)
{
    struct placed *placed = g_new(struct placed, 1);
    *placed = (struct placed){job, index, attempt, record, page, page->read};
    g_ptr_array_add(record->tasks, placed);
    g_ptr_array_add(page->tasks, placed);
    if (!job->placed)
        job->placed = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(job->placed, GUINT_TO_POINTER(index + 1), placed);
    view_note_change(view, (struct change){.kind = CHANGE_PLACED,
                                           .job = job->id,
                                           .index = index,
                                           .attempt = attempt,
                                           .host = record->id});
}

static void placed_remove(struct view *view, struct placed *placed)
{
    struct job *job = placed->job;
    struct host_record *record = placed->host;
    if (job_placed(job, placed->index) == placed)
        g_hash_table_remove(job->placed, GUINT_TO_POINTER(placed->index + 1));
    if (job->placed && g_hash_table_size(job->placed) == 0) {
        g_hash_table_unref(job->placed);
        job->placed = NULL;
    }
    view_note_change(view, (struct change){.kind = CHANGE_FREED,
                                           .job = job->id,
                                           .index = placed->index,
                                           .attempt = placed->attempt,
                                           .host = record->id});
    g_ptr_array_remove_fast(record->tasks, placed); /* frees p */
}

/* A task that was read and is not on record yet. */
struct fresh {
    struct host_record *host;
    struct job *job;
    attempt_no attempt;
    uint32_t index;
};

struct page_reading {
    struct view *view;
    struct page *page;
    GArray *fresh; /* struct fresh */
};

/* What is known is marked as read, the rest is put by. */
static void read_task(void *ctx, const struct page_rec *record)
{
    struct page_reading *reading = ctx;
    struct page *page = reading->page;
    struct host_record *h = view_host_make(reading->view, record->host.s);
    struct job *job = view_job_make(reading->view, record->job.s);
    if (!h || !job)
        return;
    if (record->about)
        view_host_read_about(h, record->about);
    struct placed *placed = job_placed(job, record->index);
    if (!placed || placed->host != h || placed->attempt.v != record->attempt.v) {
        struct fresh fresh = {h, job, record->attempt, record->index};
        g_array_append_val(reading->fresh, fresh);
        return;
    }
    if (placed->page != page) { /* it came from another page */
        g_ptr_array_remove_fast(placed->page->tasks, placed);
        g_ptr_array_add(page->tasks, placed);
    }
    placed->page = page;
    placed->read = page->read;
}

void view_apply_page(struct view *view, const char *key, json_object *value, revision stamp)
{
    struct page *page = g_hash_table_lookup(view->pages, key);
    const char *text = "", *done = "";
    if (!page) {
        char *label;
        int number;
        if (!value || !key_page_parts(key, &label, &number))
            return;
        page = g_new0(struct page, 1);
        page->key = g_strdup(key);
        page->label = label;
        page->number = number;
        page->tasks = g_ptr_array_new();
        g_hash_table_insert(view->pages, page->key, page);
    }
    page->stamp = stamp;
    page->read++;
    json_text(value, "t", &text);
    json_text(value, "d", &done);
    page->bytes = strlen(text) + strlen(done);
    GArray *fresh = g_array_new(FALSE, FALSE, sizeof(struct fresh));
    GHashTable *left = g_hash_table_new(NULL, NULL); /* struct host_record that lost a task */
    struct page_reading reading = {view, page, fresh};
    page_read(text, read_task, &reading);
    for (guint i = 0; i < page->tasks->len;) {
        struct placed *placed = page->tasks->pdata[i];
        if (placed->read == page->read) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(page->tasks, i);
        g_hash_table_add(left, placed->host);
        placed_remove(view, placed);
    }
    for (guint i = 0; i < fresh->len; i++) {
        struct fresh *f = &g_array_index(fresh, struct fresh, i);
        placed_add(view, page, f->host, f->job, f->index, f->attempt);
    }
    g_array_unref(fresh);
    /* Machines whose own record is gone are forgotten with their last task. */
    GHashTableIter it;
    struct host_record *record;
    g_hash_table_iter_init(&it, left);
    while (g_hash_table_iter_next(&it, (gpointer *)&record, NULL))
        view_host_leave(view, record);
    g_hash_table_unref(left);
    if (g_strcmp0(done, page->done) != 0) {
        page_read_done(done, view_merge_done, view);
        g_free(page->done);
        page->done = g_strdup(done);
    }
    struct change change = {.kind = CHANGE_PAGE};
    g_strlcpy(change.page, key, sizeof change.page);
    view_note_change(view, change);
    if (!value)
        g_hash_table_remove(view->pages, key);
}
