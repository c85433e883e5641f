#include "view.h"

#include "images.h"
#include "log.h"

#include <stdio.h>
#include <stdlib.h>

enum { BLOCK_MS = 2000, ANSWER_MS = 2500, RETRY_MS = 250, AWAIT_MS = 1800, PAGE = 500 };

enum {
    PAUSE_MS = 8000,   /* without an answer */
    FEW_MISSED = 100,  /* revisions that may always be asked for in one answer after that */
    VALUES = 6,        /* that a revision holds, at most, when all are as long as allowed */
    MOST_OVER = 20000, /* jobs that are over and kept in memory */
};

struct view_waiter {
    revision at;
    mono_time give_up;
    view_done done;
    void *arg;
};

char *key_job(job_id id)
{
    return g_strconcat("ll/j/", id.s, NULL);
}

char *key_host(host_id id)
{
    return g_strconcat("ll/h/", id.s, NULL);
}

char *key_node(const char *label)
{
    return g_strconcat("ll/n/", label, NULL);
}

char *key_version(const char *label)
{
    return g_strconcat("ll/v/", label, NULL);
}

char *key_page(const char *label, int number)
{
    return g_strdup_printf("ll/p/%s/%d", label, number);
}

char *key_inventory(const char *label, int number)
{
    return g_strdup_printf("ll/a/%s/%d", label, number);
}

static void job_free(gpointer p)
{
    struct job *job = p;
    if (job->spec) {
        spec_clear(job->spec);
        g_free(job->spec);
    }
    if (job->done)
        g_byte_array_unref(job->done);
    if (job->placed)
        g_hash_table_unref(job->placed);
    g_free(job);
}

static void host_free(gpointer p)
{
    struct host_record *record = p;
    g_ptr_array_unref(record->tasks);
    g_ptr_array_unref(record->images);
    g_free(record->about);
    g_free(record);
}

static void page_free(gpointer p)
{
    struct page *page = p;
    g_ptr_array_unref(page->tasks);
    g_free(page->key);
    g_free(page->label);
    g_free(page->done);
    g_free(page);
}

static void inventory_free(gpointer p)
{
    struct inventory *inventory = p;
    g_ptr_array_unref(inventory->hosts);
    g_free(inventory->key);
    g_free(inventory->label);
    g_free(inventory);
}

static void node_free(gpointer p)
{
    struct node_record *node_record = p;
    g_free(node_record->label);
    g_free(node_record);
}

static void clear_entry(gpointer p)
{
    g_free(((struct map_entry *)p)->label);
}

static void watch_go(void *arg);
static void reload(struct view *view);
static void expire(void *arg);

static void pipeline_told(void *ctx, const char *id, const struct pipe_facts *facts);
static void type_part_free(gpointer q);

struct view *view_new(struct loop *loop, struct store *store)
{
    struct view *view = g_new0(struct view, 1);
    view->loop = loop;
    view->store = store;
    view->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    view->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    view->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, page_free);
    view->inventories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, inventory_free);
    view->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    view->type_parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, type_part_free);
    view->spoken = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    view->pipeline = pipeline_new(pipeline_told, view);
    view->map = g_array_new(FALSE, FALSE, sizeof(struct map_entry));
    g_array_set_clear_func(view->map, clear_entry);
    view->stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    view->listeners = g_ptr_array_new();
    view->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    view->waiters = g_array_new(FALSE, FALSE, sizeof(struct view_waiter));
    view->watch_at = loop_now(loop);
    view->most_over = MOST_OVER;
    g_queue_init(&view->over);
    timer_init(&view->watch_timer, watch_go, view);
    timer_init(&view->expire_timer, expire, view);
    return view;
}

void view_free(struct view *view)
{
    timer_stop(view->loop, &view->watch_timer);
    timer_stop(view->loop, &view->expire_timer);
    g_hash_table_unref(view->pages);
    g_hash_table_unref(view->inventories);
    g_hash_table_unref(view->hosts);
    g_hash_table_unref(view->jobs);
    g_hash_table_unref(view->nodes);
    g_hash_table_unref(view->spoken);
    pipeline_free(view->pipeline);
    g_array_unref(view->map);
    if (view->types)
        g_array_unref(view->types);
    g_hash_table_unref(view->type_parts);
    g_hash_table_unref(view->stamps);
    if (view->reload_seen)
        g_hash_table_unref(view->reload_seen);
    g_free(view->reload_from);
    g_ptr_array_unref(view->listeners);
    g_array_unref(view->changes);
    g_array_unref(view->waiters);
    g_queue_clear_full(&view->over, g_free);
    g_free(view->leader);
    g_free(view);
}

void view_listen(struct view *view, struct actor *listener)
{
    g_ptr_array_add(view->listeners, listener);
}

void view_start(struct view *view)
{
    timer_start(view->loop, &view->expire_timer, 200);
    reload(view);
}

struct job *view_job(struct view *view, const char *id)
{
    return g_hash_table_lookup(view->jobs, id);
}

struct host_record *view_host(struct view *view, const char *id)
{
    return g_hash_table_lookup(view->hosts, id);
}

struct placed *job_placed(const struct job *job, uint32_t index)
{
    return job->placed ? g_hash_table_lookup(job->placed, GUINT_TO_POINTER(index + 1)) : NULL;
}

bool job_task_done(const struct job *job, uint32_t index)
{
    return job->done && index / 8 < job->done->len &&
           (job->done->data[index / 8] >> (index % 8) & 1);
}

static void note(struct view *view, struct change change)
{
    g_array_append_val(view->changes, change);
}

static void unref_changes(gpointer p)
{
    g_array_unref(p);
}

static void forget_over(struct view *view)
{
    for (guint n = view->over.length; n > view->most_over; n--) {
        char *id = g_queue_pop_head(&view->over);
        struct job *job = view_job(view, id);
        if (job && job->placed) { /* a page still names it */
            g_queue_push_tail(&view->over, id);
            continue;
        }
        if (job) {
            char *key = key_job(job->id);
            g_hash_table_remove(view->stamps, key);
            g_free(key);
            g_hash_table_remove(view->jobs, id);
            view->forgot = true;
        }
        g_free(id);
    }
}

/* Tells the listeners what changed, and those who wait for a revision that it is here. */
static void publish(struct view *view)
{
    forget_over(view);
    if (view->changes->len && view->ready) {
        for (guint i = 0; i < view->listeners->len; i++)
            actor_send(view->loop, view->listeners->pdata[i], MSG_VIEW, g_array_ref(view->changes),
                       unref_changes);
        g_array_unref(view->changes);
        view->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    }
    for (guint i = 0; i < view->waiters->len;) {
        struct view_waiter waiter = g_array_index(view->waiters, struct view_waiter, i);
        if (view->ready && waiter.at.v <= view->at.v) {
            g_array_remove_index(view->waiters, i);
            waiter.done(waiter.arg, true);
        } else {
            i++;
        }
    }
}

static void seek_unknown(struct view *view);

static void expire(void *arg)
{
    struct view *view = arg;
    mono_time now = loop_now(view->loop);
    for (guint i = 0; i < view->waiters->len;) {
        struct view_waiter waiter = g_array_index(view->waiters, struct view_waiter, i);
        if (time_before(waiter.give_up, now)) {
            g_array_remove_index(view->waiters, i);
            waiter.done(waiter.arg, false);
        } else {
            i++;
        }
    }
    seek_unknown(view);
    timer_start(view->loop, &view->expire_timer, 200);
}

void view_await(struct view *view, revision at, view_done done, void *arg)
{
    if (view->ready && at.v <= view->at.v) {
        done(arg, true);
        return;
    }
    struct view_waiter waiter = {at, time_add_ms(loop_now(view->loop), AWAIT_MS), done, arg};
    g_array_append_val(view->waiters, waiter);
}

struct barrier_wait {
    struct view *view;
    view_done done;
    void *arg;
};

static void barrier_told(void *arg, bool ok, revision at)
{
    struct barrier_wait *wait = arg;
    if (ok)
        view_await(wait->view, at, wait->done, wait->arg);
    else
        wait->done(wait->arg, false);
    g_free(wait);
}

void view_barrier(struct view *view, view_done done, void *arg)
{
    struct barrier_wait *wait = g_new(struct barrier_wait, 1);
    *wait = (struct barrier_wait){view, done, arg};
    store_barrier(view->store, barrier_told, wait);
}

/* ---- keys ---- */

static struct job *job_make(struct view *view, const char *id)
{
    struct job *job = view_job(view, id);
    if (job)
        return job;
    job_id jid;
    if (!job_id_from(&jid, id))
        return NULL;
    job = g_new0(struct job, 1);
    job->id = jid;
    g_hash_table_insert(view->jobs, job->id.s, job);
    return job;
}

static void job_drop_spec(struct job *job)
{
    if (job->spec) {
        spec_clear(job->spec);
        g_free(job->spec);
    }
    job->spec = NULL;
    if (job->done)
        g_byte_array_unref(job->done);
    job->done = NULL;
}

bool job_read_final(struct job *job, json_object *value)
{
    const char *final;
    uint64_t n = 0;
    if (!json_text(value, "f", &final))
        return false;
    json_u64(value, "n", &n);
    job->state = strcmp(final, "done") == 0 ? JOB_DONE : JOB_CANCELLED;
    job->tasks = (uint32_t)n;
    job->n_done = job->state == JOB_DONE ? job->tasks : 0;
    uint64_t ended = 0;
    json_u64(value, "e", &ended);
    job->ended.ms = (int64_t)ended;
    return true;
}

json_object *job_final_value(enum job_state final, uint32_t tasks, wall_time ended)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "f", final == JOB_DONE ? "done" : "cancelled");
    json_put_u64(object, "n", tasks);
    json_put_u64(object, "e", (uint64_t)ended.ms);
    return object;
}

/* ---- jobs that need others ---- */

static void pipeline_told(void *ctx, const char *id, const struct pipe_facts *facts)
{
    struct view *view = ctx;
    struct job *job = view_job(view, id);
    if (!job || !job->spec)
        return;
    job->waits = facts->open > 0;
    job->since.ms = MAX(job->submitted.ms, facts->ready.ms);
    job->urgency = facts->urgency;
    job->due = facts->due;
    if (facts->upstream_cancelled && job->state == JOB_LIVE) {
        /* That is a fact from the moment when the other one was cancelled, without any write. */
        job->upstream_cancelled = true;
        job->state = JOB_CANCELLED;
        job->cancelled_at = facts->upstream_cancelled_at;
    }
    note(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
}

static struct pipe_own own_of(const struct job *job)
{
    const struct spec *spec = job->spec;
    return (struct pipe_own){
        .urgency = (int)spec->urgency,
        .due = spec->due_s >= 0 ? (wall_time){job->submitted.ms + (int64_t)(spec->due_s * 1000)}
                                : NEVER,
        .run_ms = (int64_t)(spec->expected_s * 1000)};
}

static void pipeline_tell(struct view *view, const struct job *job)
{
    if (job->state == JOB_DONE) {
        pipeline_done(view->pipeline, job->id, job->ended);
    } else if (job->state == JOB_CANCELLED) {
        pipeline_cancelled(view->pipeline, job->id, job->cancelled_at);
    } else if (job->spec) {
        struct pipe_own own = own_of(job);
        pipeline_add(view->pipeline, job->id, &own, NULL, 0);
    }
}

/* A job is read for the first time. */
static void pipeline_take(struct view *view, struct job *job)
{
    const struct spec *spec = job->spec;
    struct pipe_own own = own_of(job);
    job->since = job->submitted;
    job->due = own.due;
    job->urgency = own.urgency;
    pipeline_add(view->pipeline, job->id, &own, spec->awaits, spec->n_awaits);
    for (guint i = 0; i < spec->n_awaits; i++) {
        struct job *other = view_job(view, spec->awaits[i].s);
        if (other && other->known)
            pipeline_tell(view, other);
    }
}

static void apply_job(struct view *view, const char *id, json_object *value, revision stamp)
{
    struct job *job = job_make(view, id);
    if (!job)
        return;
    uint64_t submitted = 0;
    bool cancelled = false;
    if (job_read_final(job, value)) {
        job_drop_spec(job);
        if (!job->over)
            g_queue_push_tail(&view->over, g_strdup(id));
        job->over = true;
        job->cancelled_at = job->cancelled_at.v ? job->cancelled_at : stamp;
        pipeline_tell(view, job);
    } else if (value) {
        json_flag(value, "c", &cancelled);
        json_u64(value, "t", &submitted);
        bool first = !job->spec;
        if (cancelled && job->state != JOB_CANCELLED)
            job->cancelled_at = stamp;
        job->state = cancelled || job->upstream_cancelled ? JOB_CANCELLED : JOB_LIVE;
        job->submitted.ms = (int64_t)submitted;
        if (!job->spec) {
            struct spec spec;
            json_object *w = NULL;
            json_object_object_get_ex(value, "w", &w);
            if (!codec_spec_read(w, &spec) || !codec_awaits_read(w, &spec)) {
                LOG_ERROR("job_unreadable", "job=%s", id);
                return;
            }
            job->spec = g_memdup2(&spec, sizeof spec);
            job->tasks = spec.tasks;
        }
        job->known = true;
        if (first)
            pipeline_take(view, job);
        if (job->state == JOB_CANCELLED)
            pipeline_tell(view, job);
    }
    job->known = value != NULL;
    job->stamp = stamp;
    note(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
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
    note(view, (struct change){.kind = CHANGE_PLACED,
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
    note(view, (struct change){.kind = CHANGE_FREED,
                               .job = job->id,
                               .index = placed->index,
                               .attempt = placed->attempt,
                               .host = record->id});
    g_ptr_array_remove_fast(record->tasks, placed); /* frees p */
}

static void host_copy(json_object *value, const char *field, char *out, size_t size)
{
    const char *s;
    if (json_text(value, field, &s))
        g_strlcpy(out, s, size);
}

static struct host_record *host_make(struct view *view, const char *id)
{
    struct host_record *record = view_host(view, id);
    if (record)
        return record;
    host_id hid;
    if (!host_id_from(&hid, id))
        return NULL;
    record = g_new0(struct host_record, 1);
    record->id = hid;
    record->tasks = g_ptr_array_new_with_free_func(g_free);
    record->images = images_new();
    g_hash_table_insert(view->hosts, record->id.s, record);
    return record;
}

/* Nothing is known any more of a machine that nothing names. */
static void host_leave(struct view *view, struct host_record *record)
{
    if (!record->tasks->len && !record->stamp.v && !record->inventory)
        g_hash_table_remove(view->hosts, record->id.s);
}

/* {"a":ADDRESS,"b":TYPE,"y":ZONE,"l":SPOT,"i":[IMAGE...]} */
static void apply_host(struct view *view, const char *id, json_object *value, revision stamp)
{
    struct host_record *record = value ? host_make(view, id) : view_host(view, id);
    if (!record)
        return;
    note(view, (struct change){.kind = CHANGE_HOST, .host = record->id});
    record->stamp = value ? stamp : (revision){0};
    if (!value) {
        host_leave(view, record);
        return;
    }
    host_copy(value, "a", record->addr, sizeof record->addr);
    host_copy(value, "b", record->type_name, sizeof record->type_name);
    host_copy(value, "y", record->zone, sizeof record->zone);
    json_flag(value, "l", &record->spot);
    g_clear_pointer(&record->about, g_free);
    json_object *list = json_list(value, "i");
    g_ptr_array_set_size(record->images, 0);
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        images_add(record->images, json_object_get_string(json_object_array_get_idx(list, i)));
}

/* ---- pages ---- */

/* Of a key such as ll/p/LABEL/N. */
static bool key_parts(const char *key, char **label, int *number)
{
    const char *name = key + strlen("ll/p/"), *slash = strrchr(key, '/');
    if (slash <= name)
        return false;
    *label = g_strndup(name, (gsize)(slash - name));
    *number = (int)strtol(slash + 1, NULL, 10);
    return true;
}

const char *view_about(struct view *view, const char *host)
{
    struct host_record *record = view_host(view, host);
    if (!record || record->stamp.v || record->inventory)
        return NULL;
    if (!record->about)
        record->about = machine_about(record->addr, record->type_name, record->zone, record->spot);
    return record->about;
}

static void merge_done(void *ctx, job_id id, uint32_t unit, const GByteArray *bits)
{
    struct view *view = ctx;
    struct job *job = job_make(view, id.s);
    if (!job || (job->known && !job->spec))
        return;
    if (!job->done)
        job->done = g_byte_array_new();
    guint base = unit * MARK_BYTES;
    bits_grow(job->done, base + bits->len);
    bool changed = false;
    for (guint i = 0; i < bits->len; i++) {
        uint8_t more = bits->data[i] & ~job->done->data[base + i];
        job->done->data[base + i] |= more;
        job->n_done += (uint32_t)__builtin_popcount(more);
        changed = changed || more;
    }
    if (changed)
        note(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
}

/* A task that was read and is not on record yet. */
struct fresh {
    struct host_record *host;
    struct job *job;
    attempt_no attempt;
    uint32_t index;
};

static void read_about(struct host_record *record, const char *about)
{
    char **part = g_strsplit(about, ",", -1);
    if (!record->stamp.v && g_strv_length(part) == 4) {
        g_strlcpy(record->addr, part[0], sizeof record->addr);
        g_strlcpy(record->type_name, part[1], sizeof record->type_name);
        g_strlcpy(record->zone, part[2], sizeof record->zone);
        record->spot = strcmp(part[3], "1") == 0;
        g_clear_pointer(&record->about, g_free);
    }
    g_strfreev(part);
}

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
    struct host_record *h = host_make(reading->view, record->host.s);
    struct job *job = job_make(reading->view, record->job.s);
    if (!h || !job)
        return;
    if (record->about)
        read_about(h, record->about);
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

static void apply_page(struct view *view, const char *key, json_object *value, revision stamp)
{
    struct page *page = g_hash_table_lookup(view->pages, key);
    const char *text = "", *done = "";
    if (!page) {
        char *label;
        int number;
        if (!value || !key_parts(key, &label, &number))
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
        host_leave(view, record);
    g_hash_table_unref(left);
    if (g_strcmp0(done, page->done) != 0) {
        page_read_done(done, merge_done, view);
        g_free(page->done);
        page->done = g_strdup(done);
    }
    struct change change = {.kind = CHANGE_PAGE};
    g_strlcpy(change.page, key, sizeof change.page);
    note(view, change);
    if (!value)
        g_hash_table_remove(view->pages, key);
}

struct inventory_reading {
    struct view *view;
    struct inventory *inventory;
};

static void read_inventory(void *ctx, host_id host, const char *about)
{
    struct inventory_reading *reading = ctx;
    struct host_record *record = host_make(reading->view, host.s);
    if (!record || record->inventory == reading->inventory)
        return;
    read_about(record, about);
    if (record->inventory)
        g_ptr_array_remove_fast(record->inventory->hosts, record);
    record->inventory = reading->inventory;
    g_ptr_array_add(reading->inventory->hosts, record);
}

static void apply_inventory(struct view *view, const char *key, json_object *value, revision stamp)
{
    struct inventory *inventory = g_hash_table_lookup(view->inventories, key);
    const char *text = "";
    if (!inventory) {
        char *label;
        int number;
        if (!value || !key_parts(key, &label, &number))
            return;
        inventory = g_new0(struct inventory, 1);
        inventory->key = g_strdup(key);
        inventory->label = label;
        inventory->number = number;
        inventory->hosts = g_ptr_array_new();
        g_hash_table_insert(view->inventories, inventory->key, inventory);
    }
    inventory->stamp = stamp;
    GPtrArray *before = inventory->hosts;
    inventory->hosts = g_ptr_array_new();
    for (guint i = 0; i < before->len; i++)
        ((struct host_record *)before->pdata[i])->inventory = NULL;
    struct inventory_reading reading = {view, inventory};
    json_text(value, "a", &text);
    page_read_about(text, read_inventory, &reading);
    for (guint i = 0; i < before->len; i++)
        host_leave(view, before->pdata[i]);
    g_ptr_array_unref(before);
    struct change change = {.kind = CHANGE_ROLL};
    g_strlcpy(change.page, key, sizeof change.page);
    note(view, change);
    if (!value)
        g_hash_table_remove(view->inventories, key);
}

static void apply_node(struct view *view, const char *label, json_object *value, revision stamp)
{
    if (!value) {
        g_hash_table_remove(view->nodes, label);
    } else {
        struct node_record *node_record = g_new0(struct node_record, 1);
        node_record->label = g_strdup(label);
        node_record->stamp = stamp;
        json_u64(value, "i", &node_record->incarnation.v);
        host_copy(value, "b", node_record->back, sizeof node_record->back);
        json_u64(value, "v", &node_record->version);
        g_hash_table_replace(view->nodes, node_record->label, node_record);
    }
    note(view, (struct change){.kind = CHANGE_NODES});
}

static void apply_version(struct view *view, const char *label, json_object *value)
{
    uint64_t version = 0;
    if (json_u64(value, "v", &version))
        g_hash_table_replace(view->spoken, g_strdup(label), GUINT_TO_POINTER((guint)version));
    else
        g_hash_table_remove(view->spoken, label);
    note(view, (struct change){.kind = CHANGE_NODES});
}

static void apply_leader(struct view *view, json_object *value, revision stamp)
{
    const char *label = NULL;
    g_free(view->leader);
    view->leader = NULL;
    view->leader_incarnation.v = 0;
    view->leader_stamp = value ? stamp : (revision){0};
    if (value && json_text(value, "n", &label)) {
        view->leader = g_strdup(label);
        json_u64(value, "i", &view->leader_incarnation.v);
    }
    note(view, (struct change){.kind = CHANGE_LEADER});
}

static void apply_map(struct view *view, json_object *value, revision stamp)
{
    json_object *list = json_list(value, "n");
    uint64_t epoch = 0;
    if (!list || !json_u64(value, "e", &epoch)) {
        LOG_ERROR("map_unreadable", "stamp=%" G_GUINT64_FORMAT, stamp.v);
        return;
    }
    view->epoch.v = epoch;
    view->map_stamp = stamp;
    g_array_set_size(view->map, 0);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        const char *label;
        struct map_entry entry = {0};
        if (!json_text(object, "n", &label) || !json_u64(object, "i", &entry.incarnation.v))
            continue;
        entry.label = g_strdup(label);
        g_array_append_val(view->map, entry);
    }
    log_set_epoch(epoch);
    note(view, (struct change){.kind = CHANGE_MAP});
}

struct type_part {
    json_object *value;
    revision stamp;
};

static void type_part_free(gpointer q)
{
    struct type_part *part = q;
    json_object_put(part->value);
    g_free(part);
}

/* The parts of a list that is too long for one value are written together: those that were not
 * belong to an earlier one. */
static void apply_types(struct view *view, const char *key, json_object *value, revision stamp)
{
    if (!value) {
        g_hash_table_remove(view->type_parts, key);
        return;
    }
    struct type_part *part = g_new(struct type_part, 1);
    *part = (struct type_part){json_object_get(value), stamp};
    g_hash_table_replace(view->type_parts, g_strdup(key), part);
    struct type_part *first = g_hash_table_lookup(view->type_parts, KEY_TYPES);
    uint64_t more = 0;
    json_u64(first ? first->value : NULL, "more", &more);
    json_object *whole = json_object_new_object(), *list = json_object_new_array();
    bool all = first != NULL;
    for (uint64_t i = 0; all && i <= more; i++) {
        char *name = i ? g_strdup_printf(KEY_TYPES "/%" G_GUINT64_FORMAT, i) : g_strdup(KEY_TYPES);
        struct type_part *x = g_hash_table_lookup(view->type_parts, name);
        json_object *some = x ? json_list(x->value, "Builds") : NULL;
        all = some && x->stamp.v == first->stamp.v;
        for (size_t k = 0; all && k < json_object_array_length(some); k++)
            json_object_array_add(list, json_object_get(json_object_array_get_idx(some, k)));
        g_free(name);
    }
    json_object_object_add(whole, "Builds", list);
    GArray *types = all ? codec_types_read(whole) : NULL;
    json_object_put(whole);
    if (!types)
        return;
    if (view->types)
        g_array_unref(view->types);
    view->types = types;
    note(view, (struct change){.kind = CHANGE_TYPES});
}

/* value NULL: the key was removed. */
static void apply(struct view *view, const char *key, json_object *value, revision stamp)
{
    revision *have = g_hash_table_lookup(view->stamps, key);
    if (have && have->v >= stamp.v && value)
        return; /* read already, in a page that was newer than the watch */
    if (have && have->v > stamp.v)
        return;
    if (value)
        g_hash_table_replace(view->stamps, g_strdup(key), g_memdup2(&stamp, sizeof stamp));
    else
        g_hash_table_remove(view->stamps, key);
    if (g_str_has_prefix(key, "ll/j/"))
        apply_job(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/h/"))
        apply_host(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/p/"))
        apply_page(view, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/m/") && value)
        view->older = true;
    else if (g_str_has_prefix(key, "ll/n/"))
        apply_node(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/a/"))
        apply_inventory(view, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/v/"))
        apply_version(view, key + 5, value);
    else if (strcmp(key, KEY_LEADER) == 0)
        apply_leader(view, value, stamp);
    else if (strcmp(key, KEY_MAP) == 0)
        apply_map(view, value, stamp);
    else if (g_str_has_prefix(key, KEY_TYPES))
        apply_types(view, key, value, stamp);
}

/* ---- jobs that others need and that are not in memory ---- */

enum { SEEK_MS = 1000, MOST_SOUGHT = 16 };

struct seek {
    struct view *view;
    job_id job;
};

static void sought(void *arg, const struct net_answer *answer)
{
    struct seek *seek = arg;
    struct view *view = seek->view;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL,
                *value = NULL;
    revision stamp;
    view->sought--;
    if (json_object_object_get_ex(object, "V", &value) && json_u64(object, "Stamp", &stamp.v) &&
        value) {
        char *key = key_job(seek->job);
        apply(view, key, value, stamp);
        publish(view);
        g_free(key);
    }
    json_object_put(object);
    g_free(seek);
}

static void seek_one(void *ctx, job_id id)
{
    struct view *view = ctx;
    if (view->sought >= MOST_SOUGHT)
        return;
    struct seek *seek = g_new(struct seek, 1);
    *seek = (struct seek){view, id};
    view->sought++;
    char *key = key_job(id);
    store_read(view->store, LANE_NORMAL, key, ANSWER_MS, 10000, sought, seek);
    g_free(key);
}

/* A job that another one needs may have been over for so long that it was not kept. */
static void seek_unknown(struct view *view)
{
    mono_time now = loop_now(view->loop);
    if (!view->ready || view->reload_seen || view->sought ||
        time_ms_since(now, view->sought_at) < SEEK_MS)
        return;
    view->sought_at = now;
    pipeline_each_unknown(view->pipeline, seek_one, view);
}

/* ---- reading everything ---- */

static void reload_page(struct view *view);

/* Keys of jobs are never removed, and there may be very many. */
static bool is_job_key(const char *key)
{
    return g_str_has_prefix(key, "ll/j/");
}

static void reload_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    json_object *o = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    json_object *items = json_list(o, "Items");
    uint64_t ledger;
    bool more;
    if (!items || !json_u64(o, "Ledger", &ledger) || !json_flag(o, "More", &more)) {
        json_object_put(o);
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
        return;
    }
    if (!view->reload_from)
        view->reload_base.v = ledger; /* the watch starts where the first page stood */
    const char *key = NULL;
    for (size_t i = 0; i < json_object_array_length(items); i++) {
        json_object *x = json_object_array_get_idx(items, i), *value = NULL;
        revision stamp;
        json_object_object_get_ex(x, "V", &value);
        if (!json_text(x, "K", &key) || !json_u64(x, "Stamp", &stamp.v) || !value)
            continue;
        if (!is_job_key(key))
            g_hash_table_add(view->reload_seen, g_strdup(key));
        apply(view, key, value, stamp);
    }
    forget_over(view);
    if (more && key) {
        g_free(view->reload_from);
        view->reload_from = g_strdup(key);
        json_object_put(o);
        reload_page(view);
        return;
    }
    json_object_put(o);
    /* What was there before and was not read is gone. */
    GHashTableIter it;
    char *old;
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, view->stamps);
    while (g_hash_table_iter_next(&it, (gpointer *)&old, NULL))
        if (!is_job_key(old) && !g_hash_table_contains(view->reload_seen, old))
            g_ptr_array_add(gone, g_strdup(old));
    for (guint i = 0; i < gone->len; i++) {
        revision *have = g_hash_table_lookup(view->stamps, gone->pdata[i]);
        apply(view, gone->pdata[i], NULL, *have);
    }
    g_ptr_array_unref(gone);
    g_hash_table_unref(view->reload_seen);
    view->reload_seen = NULL;
    g_clear_pointer(&view->reload_from, g_free);
    view->at = view->reload_base;
    view->before = view->fresh;
    view->fresh = view->asked;
    /* Run records of a version that wrote them otherwise: acting without them would start tasks
     * twice. */
    if (view->older)
        LOG_ERROR("older_records", "keys below ll/m/ are of an earlier version; see operations.md");
    view->ready = !view->older;
    note(view, (struct change){.kind = CHANGE_RELOADED});
    LOG_INFO("view_read", "revision=%" G_GUINT64_FORMAT " keys=%u", view->at.v,
             g_hash_table_size(view->stamps));
    publish(view);
    watch_go(view);
}

static void reload_page(struct view *view)
{
    char *path = view->reload_from ? g_strdup_printf("/keys?Starts=" KEY_ROOT "&From=%s&Page=%d",
                                                     view->reload_from, PAGE)
                                   : g_strdup_printf("/keys?Starts=" KEY_ROOT "&Page=%d", PAGE);
    store_request(view->store, LANE_WATCH, "GET", path, NULL, ANSWER_MS, 10000, 0, reload_answered,
                  view);
    g_free(path);
}

static void reload(struct view *view)
{
    if (!view->reload_seen) {
        view->reload_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        view->asked = loop_now(view->loop);
    }
    reload_page(view);
}

/* ---- the watch ---- */

static void watch_send(struct view *view);

/* An answer to a watch holds all that has changed, however much that is. After a pause it may be
 * more than the process has memory for, while the keys themselves come in pages. */
static uint64_t most_missed(const struct view *view)
{
    const struct store_limits *limits = store_limits(view->store);
    return MAX(limits->answer_bytes / (VALUES * MAX(limits->value_bytes, 1)), FEW_MISSED);
}

static void gap_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    uint64_t ledger;
    bool ok = json_u64(object, "Ledger", &ledger);
    json_object_put(object);
    if (!ok) {
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
    } else if (ledger > view->at.v + most_missed(view)) {
        LOG_INFO("watch_behind", "revision=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
                 view->at.v, ledger);
        reload(view);
    } else {
        watch_send(view);
    }
}

static void watch_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    if (answer->status == 410) {
        LOG_INFO("watch_too_old", "revision=%" G_GUINT64_FORMAT, view->at.v);
        reload(view);
        return;
    }
    json_object *o = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    json_object *changed = json_list(o, "News");
    uint64_t ledger;
    if (!changed || !json_u64(o, "Ledger", &ledger)) {
        json_object_put(o);
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(changed); i++) {
        json_object *x = json_object_array_get_idx(changed, i), *value = NULL;
        const char *key;
        revision stamp;
        if (!json_u64(x, "Stamp", &stamp.v))
            continue;
        if (json_text(x, "Set", &key)) {
            json_object_object_get_ex(x, "V", &value);
            if (value)
                apply(view, key, value, stamp);
        } else if (json_text(x, "Remove", &key)) {
            apply(view, key, NULL, stamp);
        }
    }
    view->at.v = MAX(view->at.v, ledger);
    view->before = view->fresh;
    view->fresh = view->asked;
    json_object_put(o);
    publish(view);
    watch_go(view);
}

/* Each answer to a watch costs a request to open the next. Under many changes they are let gather
 * a little, so that three nodes' watches leave most of the budget to the writes. */
static void watch_go(void *arg)
{
    struct view *view = arg;
    if (!view->ready || view->reload_seen) {
        reload(view);
        return;
    }
    const struct store_limits *limits = store_limits(view->store);
    mono_time now = loop_now(view->loop);
    double rate = limits->rps * 0.5 / MAX(limits->nodes, 1);
    view->watch_level =
        MIN(rate / 4, view->watch_level + rate * (double)(now.us - view->watch_at.us) / 1e6);
    view->watch_at = now;
    if (view->watch_level < 1) {
        timer_start(view->loop, &view->watch_timer,
                    (int64_t)((1 - view->watch_level) / rate * 1000) + 1);
        return;
    }
    view->watch_level -= 1;
    if (time_ms_since(now, view->fresh) > PAUSE_MS)
        store_request(view->store, LANE_WATCH, "GET", "/keys?Starts=" KEY_MAP "&Page=1", NULL,
                      ANSWER_MS, 10000, 0, gap_answered, view);
    else
        watch_send(view);
}

static void watch_send(struct view *view)
{
    view->asked = loop_now(view->loop);
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 view->at.v, BLOCK_MS);
    store_request(view->store, LANE_WATCH, "GET", path, NULL, BLOCK_MS + 1500, 10000, 0,
                  watch_answered, view);
    g_free(path);
}
