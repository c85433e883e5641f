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

char *key_roll(const char *label, int number)
{
    return g_strdup_printf("ll/a/%s/%d", label, number);
}

static void job_free(gpointer p)
{
    struct job *j = p;
    if (j->spec) {
        spec_clear(j->spec);
        g_free(j->spec);
    }
    if (j->done)
        g_byte_array_unref(j->done);
    if (j->placed)
        g_hash_table_unref(j->placed);
    g_free(j);
}

static void host_free(gpointer p)
{
    struct host_record *h = p;
    g_ptr_array_unref(h->tasks);
    g_ptr_array_unref(h->images);
    g_free(h->about);
    g_free(h);
}

static void page_free(gpointer p)
{
    struct page *g = p;
    g_ptr_array_unref(g->tasks);
    g_free(g->key);
    g_free(g->label);
    g_free(g->done);
    g_free(g);
}

static void roll_free(gpointer p)
{
    struct roll *r = p;
    g_ptr_array_unref(r->hosts);
    g_free(r->key);
    g_free(r->label);
    g_free(r);
}

static void node_free(gpointer p)
{
    struct node_record *n = p;
    g_free(n->label);
    g_free(n);
}

static void clear_entry(gpointer p)
{
    g_free(((struct map_entry *)p)->label);
}

static void watch_go(void *arg);
static void reload(struct view *v);
static void expire(void *arg);

static void pipeline_told(void *ctx, const char *id, const struct pipe_facts *facts);
static void type_part_free(gpointer q);

struct view *view_new(struct loop *loop, struct store *store)
{
    struct view *v = g_new0(struct view, 1);
    v->loop = loop;
    v->store = store;
    v->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    v->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    v->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, page_free);
    v->rolls = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, roll_free);
    v->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    v->type_parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, type_part_free);
    v->spoken = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    v->pipeline = pipeline_new(pipeline_told, v);
    v->map = g_array_new(FALSE, FALSE, sizeof(struct map_entry));
    g_array_set_clear_func(v->map, clear_entry);
    v->stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    v->listeners = g_ptr_array_new();
    v->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    v->waiters = g_array_new(FALSE, FALSE, sizeof(struct view_waiter));
    v->watch_at = loop_now(loop);
    v->most_over = MOST_OVER;
    g_queue_init(&v->over);
    timer_init(&v->watch_timer, watch_go, v);
    timer_init(&v->expire_timer, expire, v);
    return v;
}

void view_free(struct view *v)
{
    timer_stop(v->loop, &v->watch_timer);
    timer_stop(v->loop, &v->expire_timer);
    g_hash_table_unref(v->pages);
    g_hash_table_unref(v->rolls);
    g_hash_table_unref(v->hosts);
    g_hash_table_unref(v->jobs);
    g_hash_table_unref(v->nodes);
    g_hash_table_unref(v->spoken);
    pipeline_free(v->pipeline);
    g_array_unref(v->map);
    if (v->types)
        g_array_unref(v->types);
    g_hash_table_unref(v->type_parts);
    g_hash_table_unref(v->stamps);
    if (v->reload_seen)
        g_hash_table_unref(v->reload_seen);
    g_free(v->reload_from);
    g_ptr_array_unref(v->listeners);
    g_array_unref(v->changes);
    g_array_unref(v->waiters);
    g_queue_clear_full(&v->over, g_free);
    g_free(v->leader);
    g_free(v);
}

void view_listen(struct view *v, struct actor *listener)
{
    g_ptr_array_add(v->listeners, listener);
}

void view_start(struct view *v)
{
    timer_start(v->loop, &v->expire_timer, 200);
    reload(v);
}

struct job *view_job(struct view *v, const char *id)
{
    return g_hash_table_lookup(v->jobs, id);
}

struct host_record *view_host(struct view *v, const char *id)
{
    return g_hash_table_lookup(v->hosts, id);
}

struct placed *job_placed(const struct job *j, uint32_t index)
{
    return j->placed ? g_hash_table_lookup(j->placed, GUINT_TO_POINTER(index + 1)) : NULL;
}

bool job_task_done(const struct job *j, uint32_t index)
{
    return j->done && index / 8 < j->done->len && (j->done->data[index / 8] >> (index % 8) & 1);
}

static void note(struct view *v, struct change c)
{
    g_array_append_val(v->changes, c);
}

static void unref_changes(gpointer p)
{
    g_array_unref(p);
}

static void forget_over(struct view *v)
{
    for (guint n = v->over.length; n > v->most_over; n--) {
        char *id = g_queue_pop_head(&v->over);
        struct job *j = view_job(v, id);
        if (j && j->placed) { /* a page still names it */
            g_queue_push_tail(&v->over, id);
            continue;
        }
        if (j) {
            char *key = key_job(j->id);
            g_hash_table_remove(v->stamps, key);
            g_free(key);
            g_hash_table_remove(v->jobs, id);
            v->forgot = true;
        }
        g_free(id);
    }
}

/* Tells the listeners what changed, and those who wait for a revision that it is here. */
static void publish(struct view *v)
{
    forget_over(v);
    if (v->changes->len && v->ready) {
        for (guint i = 0; i < v->listeners->len; i++)
            actor_send(v->loop, v->listeners->pdata[i], MSG_VIEW, g_array_ref(v->changes),
                       unref_changes);
        g_array_unref(v->changes);
        v->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    }
    for (guint i = 0; i < v->waiters->len;) {
        struct view_waiter w = g_array_index(v->waiters, struct view_waiter, i);
        if (v->ready && w.at.v <= v->at.v) {
            g_array_remove_index(v->waiters, i);
            w.done(w.arg, true);
        } else {
            i++;
        }
    }
}

static void seek_unknown(struct view *v);

static void expire(void *arg)
{
    struct view *v = arg;
    mono_time now = loop_now(v->loop);
    for (guint i = 0; i < v->waiters->len;) {
        struct view_waiter w = g_array_index(v->waiters, struct view_waiter, i);
        if (time_before(w.give_up, now)) {
            g_array_remove_index(v->waiters, i);
            w.done(w.arg, false);
        } else {
            i++;
        }
    }
    seek_unknown(v);
    timer_start(v->loop, &v->expire_timer, 200);
}

void view_await(struct view *v, revision at, view_done done, void *arg)
{
    if (v->ready && at.v <= v->at.v) {
        done(arg, true);
        return;
    }
    struct view_waiter w = {at, time_add_ms(loop_now(v->loop), AWAIT_MS), done, arg};
    g_array_append_val(v->waiters, w);
}

struct barrier_wait {
    struct view *view;
    view_done done;
    void *arg;
};

static void barrier_told(void *arg, bool ok, revision at)
{
    struct barrier_wait *b = arg;
    if (ok)
        view_await(b->view, at, b->done, b->arg);
    else
        b->done(b->arg, false);
    g_free(b);
}

void view_barrier(struct view *v, view_done done, void *arg)
{
    struct barrier_wait *b = g_new(struct barrier_wait, 1);
    *b = (struct barrier_wait){v, done, arg};
    store_barrier(v->store, barrier_told, b);
}

/* ---- keys ---- */

static struct job *job_make(struct view *v, const char *id)
{
    struct job *j = view_job(v, id);
    if (j)
        return j;
    job_id jid;
    if (!job_id_from(&jid, id))
        return NULL;
    j = g_new0(struct job, 1);
    j->id = jid;
    g_hash_table_insert(v->jobs, j->id.s, j);
    return j;
}

static void job_drop_spec(struct job *j)
{
    if (j->spec) {
        spec_clear(j->spec);
        g_free(j->spec);
    }
    j->spec = NULL;
    if (j->done)
        g_byte_array_unref(j->done);
    j->done = NULL;
}

bool job_read_final(struct job *j, json_object *value)
{
    const char *final;
    uint64_t n = 0;
    if (!json_text(value, "f", &final))
        return false;
    json_u64(value, "n", &n);
    j->state = strcmp(final, "done") == 0 ? JOB_DONE : JOB_CANCELLED;
    j->tasks = (uint32_t)n;
    j->n_done = j->state == JOB_DONE ? j->tasks : 0;
    uint64_t ended = 0;
    json_u64(value, "e", &ended);
    j->ended.ms = (int64_t)ended;
    return true;
}

json_object *job_final_value(enum job_state final, uint32_t tasks, wall_time ended)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "f", final == JOB_DONE ? "done" : "cancelled");
    json_put_u64(o, "n", tasks);
    json_put_u64(o, "e", (uint64_t)ended.ms);
    return o;
}

/* ---- jobs that need others ---- */

static void pipeline_told(void *ctx, const char *id, const struct pipe_facts *facts)
{
    struct view *v = ctx;
    struct job *j = view_job(v, id);
    if (!j || !j->spec)
        return;
    j->waits = facts->open > 0;
    j->since.ms = MAX(j->submitted.ms, facts->ready.ms);
    j->urgency = facts->urgency;
    j->due = facts->due;
    if (facts->doomed && j->state == JOB_LIVE) {
        /* That is a fact from the moment when the other one was cancelled, without any write. */
        j->doomed = true;
        j->state = JOB_CANCELLED;
        j->cancelled_at = facts->doomed_at;
    }
    note(v, (struct change){.kind = CHANGE_JOB, .job = j->id});
}

static struct pipe_own own_of(const struct job *j)
{
    const struct spec *s = j->spec;
    return (struct pipe_own){
        .urgency = (int)s->urgency,
        .due = s->due_s >= 0 ? (wall_time){j->submitted.ms + (int64_t)(s->due_s * 1000)} : NEVER,
        .run_ms = (int64_t)(s->expected_s * 1000)};
}

static void pipeline_tell(struct view *v, const struct job *j)
{
    if (j->state == JOB_DONE) {
        pipeline_done(v->pipeline, j->id, j->ended);
    } else if (j->state == JOB_CANCELLED) {
        pipeline_cancelled(v->pipeline, j->id, j->cancelled_at);
    } else if (j->spec) {
        struct pipe_own own = own_of(j);
        pipeline_add(v->pipeline, j->id, &own, NULL, 0);
    }
}

/* A job is read for the first time. */
static void pipeline_take(struct view *v, struct job *j)
{
    const struct spec *s = j->spec;
    struct pipe_own own = own_of(j);
    j->since = j->submitted;
    j->due = own.due;
    j->urgency = own.urgency;
    pipeline_add(v->pipeline, j->id, &own, s->awaits, s->n_awaits);
    for (guint i = 0; i < s->n_awaits; i++) {
        struct job *other = view_job(v, s->awaits[i].s);
        if (other && other->known)
            pipeline_tell(v, other);
    }
}

static void apply_job(struct view *v, const char *id, json_object *value, revision stamp)
{
    struct job *j = job_make(v, id);
    if (!j)
        return;
    uint64_t submitted = 0;
    bool cancelled = false;
    if (job_read_final(j, value)) {
        job_drop_spec(j);
        if (!j->over)
            g_queue_push_tail(&v->over, g_strdup(id));
        j->over = true;
        j->cancelled_at = j->cancelled_at.v ? j->cancelled_at : stamp;
        pipeline_tell(v, j);
    } else if (value) {
        json_flag(value, "c", &cancelled);
        json_u64(value, "t", &submitted);
        bool first = !j->spec;
        if (cancelled && j->state != JOB_CANCELLED)
            j->cancelled_at = stamp;
        j->state = cancelled || j->doomed ? JOB_CANCELLED : JOB_LIVE;
        j->submitted.ms = (int64_t)submitted;
        if (!j->spec) {
            struct spec s;
            json_object *w = NULL;
            json_object_object_get_ex(value, "w", &w);
            if (!codec_spec_read(w, &s) || !codec_awaits_read(w, &s)) {
                LOG_ERROR("job_unreadable", "job=%s", id);
                return;
            }
            j->spec = g_memdup2(&s, sizeof s);
            j->tasks = s.tasks;
        }
        j->known = true;
        if (first)
            pipeline_take(v, j);
        if (j->state == JOB_CANCELLED)
            pipeline_tell(v, j);
    }
    j->known = value != NULL;
    j->stamp = stamp;
    note(v, (struct change){.kind = CHANGE_JOB, .job = j->id});
}

static void placed_add(struct view *v, struct page *g, struct host_record *h, struct job *j,
                       uint32_t index, attempt_no attempt)
{
    struct placed *p = g_new(struct placed, 1);
    *p = (struct placed){j, index, attempt, h, g, g->read};
    g_ptr_array_add(h->tasks, p);
    g_ptr_array_add(g->tasks, p);
    if (!j->placed)
        j->placed = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(j->placed, GUINT_TO_POINTER(index + 1), p);
    note(v, (struct change){.kind = CHANGE_PLACED,
                            .job = j->id,
                            .index = index,
                            .attempt = attempt,
                            .host = h->id});
}

static void placed_remove(struct view *v, struct placed *p)
{
    struct job *j = p->job;
    struct host_record *h = p->host;
    if (job_placed(j, p->index) == p)
        g_hash_table_remove(j->placed, GUINT_TO_POINTER(p->index + 1));
    if (j->placed && g_hash_table_size(j->placed) == 0) {
        g_hash_table_unref(j->placed);
        j->placed = NULL;
    }
    note(v, (struct change){.kind = CHANGE_FREED,
                            .job = j->id,
                            .index = p->index,
                            .attempt = p->attempt,
                            .host = h->id});
    g_ptr_array_remove_fast(h->tasks, p); /* frees p */
}

static void host_copy(json_object *value, const char *field, char *out, size_t size)
{
    const char *s;
    if (json_text(value, field, &s))
        g_strlcpy(out, s, size);
}

static struct host_record *host_make(struct view *v, const char *id)
{
    struct host_record *h = view_host(v, id);
    if (h)
        return h;
    host_id hid;
    if (!host_id_from(&hid, id))
        return NULL;
    h = g_new0(struct host_record, 1);
    h->id = hid;
    h->tasks = g_ptr_array_new_with_free_func(g_free);
    h->images = images_new();
    g_hash_table_insert(v->hosts, h->id.s, h);
    return h;
}

/* Nothing is known any more of a machine that nothing names. */
static void host_leave(struct view *v, struct host_record *h)
{
    if (!h->tasks->len && !h->stamp.v && !h->roll)
        g_hash_table_remove(v->hosts, h->id.s);
}

/* {"a":ADDRESS,"b":TYPE,"y":ZONE,"l":SPOT,"i":[IMAGE...]} */
static void apply_host(struct view *v, const char *id, json_object *value, revision stamp)
{
    struct host_record *h = value ? host_make(v, id) : view_host(v, id);
    if (!h)
        return;
    note(v, (struct change){.kind = CHANGE_HOST, .host = h->id});
    h->stamp = value ? stamp : (revision){0};
    if (!value) {
        host_leave(v, h);
        return;
    }
    host_copy(value, "a", h->addr, sizeof h->addr);
    host_copy(value, "b", h->build, sizeof h->build);
    host_copy(value, "y", h->yard, sizeof h->yard);
    json_flag(value, "l", &h->loaners);
    g_clear_pointer(&h->about, g_free);
    json_object *list = json_list(value, "i");
    g_ptr_array_set_size(h->images, 0);
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        images_add(h->images, json_object_get_string(json_object_array_get_idx(list, i)));
}

/* ---- pages ---- */

/* Of a key such as ll/p/LABEL/N. */
static bool key_parts(const char *key, char **label, int *number)
{
    const char *name = key + strlen("ll/p/"), *slash = strrchr(key, '/');
    if (slash <= name)
        return false;
    *label = g_strndup(name, (gsize)(slash - name));
    *number = atoi(slash + 1);
    return true;
}

const char *view_about(struct view *v, const char *host)
{
    struct host_record *h = view_host(v, host);
    if (!h || h->stamp.v || h->roll)
        return NULL;
    if (!h->about)
        h->about = machine_about(h->addr, h->build, h->yard, h->loaners);
    return h->about;
}

static void merge_done(void *ctx, job_id id, uint32_t unit, const GByteArray *bits)
{
    struct view *v = ctx;
    struct job *j = job_make(v, id.s);
    if (!j || (j->known && !j->spec))
        return;
    if (!j->done)
        j->done = g_byte_array_new();
    guint base = unit * MARK_BYTES;
    bits_grow(j->done, base + bits->len);
    bool news = false;
    for (guint i = 0; i < bits->len; i++) {
        uint8_t more = bits->data[i] & ~j->done->data[base + i];
        j->done->data[base + i] |= more;
        j->n_done += (uint32_t)__builtin_popcount(more);
        news = news || more;
    }
    if (news)
        note(v, (struct change){.kind = CHANGE_JOB, .job = j->id});
}

/* A task that was read and is not on record yet. */
struct fresh {
    struct host_record *host;
    struct job *job;
    attempt_no attempt;
    uint32_t index;
};

static void read_about(struct host_record *h, const char *about)
{
    char **part = g_strsplit(about, ",", -1);
    if (!h->stamp.v && g_strv_length(part) == 4) {
        g_strlcpy(h->addr, part[0], sizeof h->addr);
        g_strlcpy(h->build, part[1], sizeof h->build);
        g_strlcpy(h->yard, part[2], sizeof h->yard);
        h->loaners = strcmp(part[3], "1") == 0;
        g_clear_pointer(&h->about, g_free);
    }
    g_strfreev(part);
}

struct page_reading {
    struct view *view;
    struct page *page;
    GArray *fresh; /* struct fresh */
};

/* What is known is marked as read, the rest is put by. */
static void read_task(void *ctx, const struct page_rec *r)
{
    struct page_reading *x = ctx;
    struct page *g = x->page;
    struct host_record *h = host_make(x->view, r->host.s);
    struct job *j = job_make(x->view, r->job.s);
    if (!h || !j)
        return;
    if (r->about)
        read_about(h, r->about);
    struct placed *p = job_placed(j, r->index);
    if (!p || p->host != h || p->attempt.v != r->attempt.v) {
        struct fresh f = {h, j, r->attempt, r->index};
        g_array_append_val(x->fresh, f);
        return;
    }
    if (p->page != g) { /* it came from another page */
        g_ptr_array_remove_fast(p->page->tasks, p);
        g_ptr_array_add(g->tasks, p);
    }
    p->page = g;
    p->read = g->read;
}

static void apply_page(struct view *v, const char *key, json_object *value, revision stamp)
{
    struct page *g = g_hash_table_lookup(v->pages, key);
    const char *text = "", *done = "";
    if (!g) {
        char *label;
        int number;
        if (!value || !key_parts(key, &label, &number))
            return;
        g = g_new0(struct page, 1);
        g->key = g_strdup(key);
        g->label = label;
        g->number = number;
        g->tasks = g_ptr_array_new();
        g_hash_table_insert(v->pages, g->key, g);
    }
    g->stamp = stamp;
    g->read++;
    json_text(value, "t", &text);
    json_text(value, "d", &done);
    g->bytes = strlen(text) + strlen(done);
    GArray *fresh = g_array_new(FALSE, FALSE, sizeof(struct fresh));
    GHashTable *left = g_hash_table_new(NULL, NULL); /* struct host_record that lost a task */
    struct page_reading reading = {v, g, fresh};
    page_read(text, read_task, &reading);
    for (guint i = 0; i < g->tasks->len;) {
        struct placed *p = g->tasks->pdata[i];
        if (p->read == g->read) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(g->tasks, i);
        g_hash_table_add(left, p->host);
        placed_remove(v, p);
    }
    for (guint i = 0; i < fresh->len; i++) {
        struct fresh *f = &g_array_index(fresh, struct fresh, i);
        placed_add(v, g, f->host, f->job, f->index, f->attempt);
    }
    g_array_unref(fresh);
    /* Machines whose own record is gone are forgotten with their last task. */
    GHashTableIter it;
    struct host_record *h;
    g_hash_table_iter_init(&it, left);
    while (g_hash_table_iter_next(&it, (gpointer *)&h, NULL))
        host_leave(v, h);
    g_hash_table_unref(left);
    if (g_strcmp0(done, g->done) != 0) {
        page_read_done(done, merge_done, v);
        g_free(g->done);
        g->done = g_strdup(done);
    }
    struct change c = {.kind = CHANGE_PAGE};
    g_strlcpy(c.page, key, sizeof c.page);
    note(v, c);
    if (!value)
        g_hash_table_remove(v->pages, key);
}

struct roll_reading {
    struct view *view;
    struct roll *roll;
};

static void read_roll(void *ctx, host_id host, const char *about)
{
    struct roll_reading *x = ctx;
    struct host_record *h = host_make(x->view, host.s);
    if (!h || h->roll == x->roll)
        return;
    read_about(h, about);
    if (h->roll)
        g_ptr_array_remove_fast(h->roll->hosts, h);
    h->roll = x->roll;
    g_ptr_array_add(x->roll->hosts, h);
}

static void apply_roll(struct view *v, const char *key, json_object *value, revision stamp)
{
    struct roll *r = g_hash_table_lookup(v->rolls, key);
    const char *text = "";
    if (!r) {
        char *label;
        int number;
        if (!value || !key_parts(key, &label, &number))
            return;
        r = g_new0(struct roll, 1);
        r->key = g_strdup(key);
        r->label = label;
        r->number = number;
        r->hosts = g_ptr_array_new();
        g_hash_table_insert(v->rolls, r->key, r);
    }
    r->stamp = stamp;
    GPtrArray *before = r->hosts;
    r->hosts = g_ptr_array_new();
    for (guint i = 0; i < before->len; i++)
        ((struct host_record *)before->pdata[i])->roll = NULL;
    struct roll_reading reading = {v, r};
    json_text(value, "a", &text);
    page_read_about(text, read_roll, &reading);
    for (guint i = 0; i < before->len; i++)
        host_leave(v, before->pdata[i]);
    g_ptr_array_unref(before);
    struct change c = {.kind = CHANGE_ROLL};
    g_strlcpy(c.page, key, sizeof c.page);
    note(v, c);
    if (!value)
        g_hash_table_remove(v->rolls, key);
}

static void apply_node(struct view *v, const char *label, json_object *value, revision stamp)
{
    if (!value) {
        g_hash_table_remove(v->nodes, label);
    } else {
        struct node_record *n = g_new0(struct node_record, 1);
        n->label = g_strdup(label);
        n->stamp = stamp;
        json_u64(value, "i", &n->incarnation.v);
        host_copy(value, "b", n->back, sizeof n->back);
        json_u64(value, "v", &n->version);
        g_hash_table_replace(v->nodes, n->label, n);
    }
    note(v, (struct change){.kind = CHANGE_NODES});
}

static void apply_version(struct view *v, const char *label, json_object *value)
{
    uint64_t version = 0;
    if (json_u64(value, "v", &version))
        g_hash_table_replace(v->spoken, g_strdup(label), GUINT_TO_POINTER((guint)version));
    else
        g_hash_table_remove(v->spoken, label);
    note(v, (struct change){.kind = CHANGE_NODES});
}

static void apply_leader(struct view *v, json_object *value, revision stamp)
{
    const char *label = NULL;
    g_free(v->leader);
    v->leader = NULL;
    v->leader_incarnation.v = 0;
    v->leader_stamp = value ? stamp : (revision){0};
    if (value && json_text(value, "n", &label)) {
        v->leader = g_strdup(label);
        json_u64(value, "i", &v->leader_incarnation.v);
    }
    note(v, (struct change){.kind = CHANGE_LEADER});
}

static void apply_map(struct view *v, json_object *value, revision stamp)
{
    json_object *list = json_list(value, "n");
    uint64_t epoch = 0;
    if (!list || !json_u64(value, "e", &epoch)) {
        LOG_ERROR("map_unreadable", "stamp=%" G_GUINT64_FORMAT, stamp.v);
        return;
    }
    v->epoch.v = epoch;
    v->map_stamp = stamp;
    g_array_set_size(v->map, 0);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *o = json_object_array_get_idx(list, i);
        const char *label;
        struct map_entry e = {0};
        if (!json_text(o, "n", &label) || !json_u64(o, "i", &e.incarnation.v))
            continue;
        e.label = g_strdup(label);
        g_array_append_val(v->map, e);
    }
    log_set_epoch(epoch);
    note(v, (struct change){.kind = CHANGE_MAP});
}

struct type_part {
    json_object *value;
    revision stamp;
};

static void type_part_free(gpointer q)
{
    struct type_part *t = q;
    json_object_put(t->value);
    g_free(t);
}

/* The parts of a list that is too long for one value are written together: those that were not
 * belong to an earlier one. */
static void apply_types(struct view *v, const char *key, json_object *value, revision stamp)
{
    if (!value) {
        g_hash_table_remove(v->type_parts, key);
        return;
    }
    struct type_part *part = g_new(struct type_part, 1);
    *part = (struct type_part){json_object_get(value), stamp};
    g_hash_table_replace(v->type_parts, g_strdup(key), part);
    struct type_part *first = g_hash_table_lookup(v->type_parts, KEY_TYPES);
    uint64_t more = 0;
    json_u64(first ? first->value : NULL, "more", &more);
    json_object *whole = json_object_new_object(), *list = json_object_new_array();
    bool all = first != NULL;
    for (uint64_t i = 0; all && i <= more; i++) {
        char *name = i ? g_strdup_printf(KEY_TYPES "/%" G_GUINT64_FORMAT, i) : g_strdup(KEY_TYPES);
        struct type_part *x = g_hash_table_lookup(v->type_parts, name);
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
    if (v->types)
        g_array_unref(v->types);
    v->types = types;
    note(v, (struct change){.kind = CHANGE_TYPES});
}

/* value NULL: the key was removed. */
static void apply(struct view *v, const char *key, json_object *value, revision stamp)
{
    revision *have = g_hash_table_lookup(v->stamps, key);
    if (have && have->v >= stamp.v && value)
        return; /* read already, in a page that was newer than the watch */
    if (have && have->v > stamp.v)
        return;
    if (value)
        g_hash_table_replace(v->stamps, g_strdup(key), g_memdup2(&stamp, sizeof stamp));
    else
        g_hash_table_remove(v->stamps, key);
    if (g_str_has_prefix(key, "ll/j/"))
        apply_job(v, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/h/"))
        apply_host(v, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/p/"))
        apply_page(v, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/m/") && value)
        v->older = true;
    else if (g_str_has_prefix(key, "ll/n/"))
        apply_node(v, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/a/"))
        apply_roll(v, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/v/"))
        apply_version(v, key + 5, value);
    else if (strcmp(key, KEY_LEADER) == 0)
        apply_leader(v, value, stamp);
    else if (strcmp(key, KEY_MAP) == 0)
        apply_map(v, value, stamp);
    else if (g_str_has_prefix(key, KEY_TYPES))
        apply_types(v, key, value, stamp);
}

/* ---- jobs that others need and that are not in memory ---- */

enum { SEEK_MS = 1000, MOST_SOUGHT = 16 };

struct seek {
    struct view *view;
    job_id job;
};

static void sought(void *arg, const struct net_answer *a)
{
    struct seek *s = arg;
    struct view *v = s->view;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL, *value = NULL;
    revision stamp;
    v->sought--;
    if (json_object_object_get_ex(o, "V", &value) && json_u64(o, "Stamp", &stamp.v) && value) {
        char *key = key_job(s->job);
        apply(v, key, value, stamp);
        publish(v);
        g_free(key);
    }
    json_object_put(o);
    g_free(s);
}

static void seek_one(void *ctx, job_id id)
{
    struct view *v = ctx;
    if (v->sought >= MOST_SOUGHT)
        return;
    struct seek *s = g_new(struct seek, 1);
    *s = (struct seek){v, id};
    v->sought++;
    char *key = key_job(id);
    store_read(v->store, LANE_NORMAL, key, ANSWER_MS, 10000, sought, s);
    g_free(key);
}

/* A job that another one needs may have been over for so long that it was not kept. */
static void seek_unknown(struct view *v)
{
    mono_time now = loop_now(v->loop);
    if (!v->ready || v->reload_seen || v->sought || time_ms_since(now, v->sought_at) < SEEK_MS)
        return;
    v->sought_at = now;
    pipeline_each_unknown(v->pipeline, seek_one, v);
}

/* ---- reading everything ---- */

static void reload_page(struct view *v);

/* Keys of jobs are never removed, and there may be very many. */
static bool is_job_key(const char *key)
{
    return g_str_has_prefix(key, "ll/j/");
}

static void reload_answered(void *arg, const struct net_answer *a)
{
    struct view *v = arg;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    json_object *items = json_list(o, "Items");
    uint64_t ledger;
    bool more;
    if (!items || !json_u64(o, "Ledger", &ledger) || !json_flag(o, "More", &more)) {
        json_object_put(o);
        timer_start(v->loop, &v->watch_timer, RETRY_MS);
        return;
    }
    if (!v->reload_from)
        v->reload_base.v = ledger; /* the watch starts where the first page stood */
    const char *key = NULL;
    for (size_t i = 0; i < json_object_array_length(items); i++) {
        json_object *x = json_object_array_get_idx(items, i), *value = NULL;
        revision stamp;
        json_object_object_get_ex(x, "V", &value);
        if (!json_text(x, "K", &key) || !json_u64(x, "Stamp", &stamp.v) || !value)
            continue;
        if (!is_job_key(key))
            g_hash_table_add(v->reload_seen, g_strdup(key));
        apply(v, key, value, stamp);
    }
    forget_over(v);
    if (more && key) {
        g_free(v->reload_from);
        v->reload_from = g_strdup(key);
        json_object_put(o);
        reload_page(v);
        return;
    }
    json_object_put(o);
    /* What was there before and was not read is gone. */
    GHashTableIter it;
    char *old;
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, v->stamps);
    while (g_hash_table_iter_next(&it, (gpointer *)&old, NULL))
        if (!is_job_key(old) && !g_hash_table_contains(v->reload_seen, old))
            g_ptr_array_add(gone, g_strdup(old));
    for (guint i = 0; i < gone->len; i++) {
        revision *have = g_hash_table_lookup(v->stamps, gone->pdata[i]);
        apply(v, gone->pdata[i], NULL, *have);
    }
    g_ptr_array_unref(gone);
    g_hash_table_unref(v->reload_seen);
    v->reload_seen = NULL;
    g_clear_pointer(&v->reload_from, g_free);
    v->at = v->reload_base;
    v->before = v->fresh;
    v->fresh = v->asked;
    /* Run records of a version that wrote them otherwise: acting without them would start tasks
     * twice. */
    if (v->older)
        LOG_ERROR("older_records", "keys below ll/m/ are of an earlier version; see operations.md");
    v->ready = !v->older;
    note(v, (struct change){.kind = CHANGE_RELOADED});
    LOG_INFO("view_read", "revision=%" G_GUINT64_FORMAT " keys=%u", v->at.v,
             g_hash_table_size(v->stamps));
    publish(v);
    watch_go(v);
}

static void reload_page(struct view *v)
{
    char *path = v->reload_from ? g_strdup_printf("/keys?Starts=" KEY_ROOT "&From=%s&Page=%d",
                                                  v->reload_from, PAGE)
                                : g_strdup_printf("/keys?Starts=" KEY_ROOT "&Page=%d", PAGE);
    store_request(v->store, LANE_WATCH, "GET", path, NULL, ANSWER_MS, 10000, 0, reload_answered, v);
    g_free(path);
}

static void reload(struct view *v)
{
    if (!v->reload_seen) {
        v->reload_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        v->asked = loop_now(v->loop);
    }
    reload_page(v);
}

/* ---- the watch ---- */

static void watch_send(struct view *v);

/* An answer to a watch holds all that has changed, however much that is. After a pause it may be
 * more than the process has memory for, while the keys themselves come in pages. */
static uint64_t most_missed(const struct view *v)
{
    const struct store_limits *l = store_limits(v->store);
    return MAX(l->answer_bytes / (VALUES * MAX(l->value_bytes, 1)), FEW_MISSED);
}

static void gap_answered(void *arg, const struct net_answer *a)
{
    struct view *v = arg;
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    uint64_t ledger;
    bool ok = json_u64(o, "Ledger", &ledger);
    json_object_put(o);
    if (!ok) {
        timer_start(v->loop, &v->watch_timer, RETRY_MS);
    } else if (ledger > v->at.v + most_missed(v)) {
        LOG_INFO("watch_behind", "revision=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
                 v->at.v, ledger);
        reload(v);
    } else {
        watch_send(v);
    }
}

static void watch_answered(void *arg, const struct net_answer *a)
{
    struct view *v = arg;
    if (a->status == 410) {
        LOG_INFO("watch_too_old", "revision=%" G_GUINT64_FORMAT, v->at.v);
        reload(v);
        return;
    }
    json_object *o = a->status == 200 ? json_read(a->body, a->len) : NULL;
    json_object *news = json_list(o, "News");
    uint64_t ledger;
    if (!news || !json_u64(o, "Ledger", &ledger)) {
        json_object_put(o);
        timer_start(v->loop, &v->watch_timer, RETRY_MS);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(news); i++) {
        json_object *x = json_object_array_get_idx(news, i), *value = NULL;
        const char *key;
        revision stamp;
        if (!json_u64(x, "Stamp", &stamp.v))
            continue;
        if (json_text(x, "Set", &key)) {
            json_object_object_get_ex(x, "V", &value);
            if (value)
                apply(v, key, value, stamp);
        } else if (json_text(x, "Remove", &key)) {
            apply(v, key, NULL, stamp);
        }
    }
    v->at.v = MAX(v->at.v, ledger);
    v->before = v->fresh;
    v->fresh = v->asked;
    json_object_put(o);
    publish(v);
    watch_go(v);
}

/* Each answer to a watch costs a request to open the next. Under many changes they are let gather
 * a little, so that three nodes' watches leave most of the budget to the writes. */
static void watch_go(void *arg)
{
    struct view *v = arg;
    if (!v->ready || v->reload_seen) {
        reload(v);
        return;
    }
    const struct store_limits *l = store_limits(v->store);
    mono_time now = loop_now(v->loop);
    double rate = l->rps * 0.5 / MAX(l->nodes, 1);
    v->watch_level = MIN(rate / 4, v->watch_level + rate * (double)(now.us - v->watch_at.us) / 1e6);
    v->watch_at = now;
    if (v->watch_level < 1) {
        timer_start(v->loop, &v->watch_timer, (int64_t)((1 - v->watch_level) / rate * 1000) + 1);
        return;
    }
    v->watch_level -= 1;
    if (time_ms_since(now, v->fresh) > PAUSE_MS)
        store_request(v->store, LANE_WATCH, "GET", "/keys?Starts=" KEY_MAP "&Page=1", NULL,
                      ANSWER_MS, 10000, 0, gap_answered, v);
    else
        watch_send(v);
}

static void watch_send(struct view *v)
{
    v->asked = loop_now(v->loop);
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 v->at.v, BLOCK_MS);
    store_request(v->store, LANE_WATCH, "GET", path, NULL, BLOCK_MS + 1500, 10000, 0,
                  watch_answered, v);
    g_free(path);
}
