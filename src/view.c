#include "view.h"

#include "log.h"

#include <stdio.h>
#include <stdlib.h>

enum { BLOCK_MS = 2000, ANSWER_MS = 2500, RETRY_MS = 250, AWAIT_MS = 1800, PAGE = 500 };

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
    return g_strconcat("ll/m/", id.s, NULL);
}

char *key_node(const char *label)
{
    return g_strconcat("ll/n/", label, NULL);
}

char *key_done(job_id id, uint32_t chunk, const char *label)
{
    return g_strdup_printf("ll/d/%s/%u/%s", id.s, chunk, label);
}

static void job_free(gpointer p)
{
    struct job *j = p;
    if (j->spec) {
        spec_clear(j->spec);
        g_free(j->spec);
    }
    g_free(j->done);
    if (j->placed)
        g_hash_table_unref(j->placed);
    if (j->marks)
        g_hash_table_unref(j->marks);
    g_free(j);
}

static void host_free(gpointer p)
{
    struct host_record *h = p;
    g_ptr_array_unref(h->tasks);
    g_strfreev(h->images);
    g_free(h);
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

struct view *view_new(struct loop *loop, struct store *store)
{
    struct view *v = g_new0(struct view, 1);
    v->loop = loop;
    v->store = store;
    v->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    v->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    v->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    v->map = g_array_new(FALSE, FALSE, sizeof(struct map_entry));
    g_array_set_clear_func(v->map, clear_entry);
    v->stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    v->listeners = g_ptr_array_new();
    v->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    v->waiters = g_array_new(FALSE, FALSE, sizeof(struct view_waiter));
    v->watch_at = loop_now(loop);
    timer_init(&v->watch_timer, watch_go, v);
    timer_init(&v->expire_timer, expire, v);
    return v;
}

void view_free(struct view *v)
{
    timer_stop(v->loop, &v->watch_timer);
    timer_stop(v->loop, &v->expire_timer);
    g_hash_table_unref(v->hosts);
    g_hash_table_unref(v->jobs);
    g_hash_table_unref(v->nodes);
    g_array_unref(v->map);
    if (v->types)
        g_array_unref(v->types);
    g_hash_table_unref(v->stamps);
    if (v->reload_seen)
        g_hash_table_unref(v->reload_seen);
    g_free(v->reload_from);
    g_ptr_array_unref(v->listeners);
    g_array_unref(v->changes);
    g_array_unref(v->waiters);
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
    return j->done && index < j->tasks && (j->done[index / 8] >> (index % 8) & 1);
}

static void note(struct view *v, struct change c)
{
    g_array_append_val(v->changes, c);
}

static void unref_changes(gpointer p)
{
    g_array_unref(p);
}

/* Tells the listeners what changed, and those who wait for a revision that it is here. */
static void publish(struct view *v)
{
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
    g_free(j->done);
    j->done = NULL;
}

static void count_done(struct job *j)
{
    j->n_done = 0;
    for (uint32_t i = 0; j->done && i < (j->tasks + 7) / 8; i++)
        j->n_done += __builtin_popcount(j->done[i]);
}

static void apply_job(struct view *v, const char *id, json_object *value, revision stamp)
{
    struct job *j = job_make(v, id);
    if (!j)
        return;
    const char *final;
    uint64_t n = 0, submitted = 0;
    bool cancelled = false;
    if (json_text(value, "f", &final)) {
        j->state = strcmp(final, "done") == 0 ? JOB_DONE : JOB_CANCELLED;
        json_u64(value, "n", &n);
        j->tasks = (uint32_t)n;
        job_drop_spec(j);
        j->n_done = j->state == JOB_DONE ? j->tasks : 0;
    } else if (value) {
        json_flag(value, "c", &cancelled);
        json_u64(value, "t", &submitted);
        j->state = cancelled ? JOB_CANCELLED : JOB_LIVE;
        j->submitted.ms = (int64_t)submitted;
        if (!j->spec) {
            struct spec s;
            json_object *w = NULL;
            json_object_object_get_ex(value, "w", &w);
            if (!codec_spec_read(w, &s)) {
                LOG_ERROR("job_unreadable", "job=%s", id);
                return;
            }
            j->spec = g_memdup2(&s, sizeof s);
            j->tasks = s.tasks;
            if (j->done) /* marks that were read before the job itself */
                count_done(j);
        }
    }
    j->known = value != NULL;
    j->stamp = stamp;
    note(v, (struct change){.kind = CHANGE_JOB, .job = j->id});
}

static void placed_add(struct view *v, struct host_record *h, struct job *j, uint32_t index,
                       attempt_no attempt)
{
    struct placed *p = g_new(struct placed, 1);
    *p = (struct placed){j, index, attempt, h};
    g_ptr_array_add(h->tasks, p);
    if (!j->placed)
        j->placed = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(j->placed, GUINT_TO_POINTER(index + 1), p);
    note(v, (struct change){CHANGE_PLACED, j->id, index, attempt, h->id});
}

static void placed_remove(struct view *v, struct host_record *h, guint at)
{
    struct placed *p = h->tasks->pdata[at];
    struct job *j = p->job;
    if (job_placed(j, p->index) == p)
        g_hash_table_remove(j->placed, GUINT_TO_POINTER(p->index + 1));
    if (j->placed && g_hash_table_size(j->placed) == 0) {
        g_hash_table_unref(j->placed);
        j->placed = NULL;
    }
    note(v, (struct change){CHANGE_FREED, j->id, p->index, p->attempt, h->id});
    g_ptr_array_remove_index_fast(h->tasks, at); /* frees p */
}

static void host_copy(json_object *value, const char *field, char *out, size_t size)
{
    const char *s;
    if (json_text(value, field, &s))
        g_strlcpy(out, s, size);
}

static void host_images(struct host_record *h, json_object *value)
{
    g_strfreev(h->images);
    h->images = NULL;
    json_object *list = json_list(value, "i");
    size_t n = list ? json_object_array_length(list) : 0;
    if (!n)
        return;
    h->images = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        h->images[i] = g_strdup(json_object_get_string(json_object_array_get_idx(list, i)));
}

static bool listed(json_object *pairs, const struct placed *p)
{
    size_t n = pairs ? json_object_array_length(pairs) : 0;
    for (size_t i = 0; i + 1 < n; i += 2)
        if (json_object_get_uint64(json_object_array_get_idx(pairs, i)) == p->index &&
            json_object_get_uint64(json_object_array_get_idx(pairs, i + 1)) == p->attempt.v)
            return true;
    return false;
}

static bool on_host(const struct host_record *h, const struct job *j, uint32_t index,
                    uint64_t attempt)
{
    const struct placed *p = job_placed(j, index);
    return p && p->host == h && p->attempt.v == attempt;
}

/* {"a":ADDRESS,"b":TYPE,"y":ZONE,"l":SPOT,"i":[IMAGE...],"t":{JOB:[INDEX,ATTEMPT,...]}} */
static void apply_host(struct view *v, const char *id, json_object *value, revision stamp)
{
    struct host_record *h = view_host(v, id);
    if (!h && !value)
        return;
    if (!h) {
        h = g_new0(struct host_record, 1);
        if (!host_id_from(&h->id, id)) {
            g_free(h);
            return;
        }
        h->tasks = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(v->hosts, h->id.s, h);
    }
    json_object *jobs = NULL;
    if (value)
        json_object_object_get_ex(value, "t", &jobs);
    for (guint i = 0; i < h->tasks->len;) {
        struct placed *p = h->tasks->pdata[i];
        if (listed(json_list(jobs, p->job->id.s), p))
            i++;
        else
            placed_remove(v, h, i);
    }
    note(v, (struct change){.kind = CHANGE_HOST, .host = h->id});
    if (!value) {
        g_hash_table_remove(v->hosts, id);
        return;
    }
    h->stamp = stamp;
    host_copy(value, "a", h->addr, sizeof h->addr);
    host_copy(value, "b", h->build, sizeof h->build);
    host_copy(value, "y", h->yard, sizeof h->yard);
    json_flag(value, "l", &h->loaners);
    host_images(h, value);
    if (!json_object_is_type(jobs, json_type_object))
        return;
    json_object_object_foreach(jobs, name, pairs)
    {
        struct job *j = job_make(v, name);
        size_t n =
            j && json_object_is_type(pairs, json_type_array) ? json_object_array_length(pairs) : 0;
        for (size_t i = 0; i + 1 < n; i += 2) {
            uint32_t index = (uint32_t)json_object_get_uint64(json_object_array_get_idx(pairs, i));
            uint64_t attempt = json_object_get_uint64(json_object_array_get_idx(pairs, i + 1));
            if (!on_host(h, j, index, attempt))
                placed_add(v, h, j, index, (attempt_no){attempt});
        }
    }
}

/* A value is the bits of a chunk in hexadecimal, eight tasks to two digits, the first task in the
 * lowest bit; zeros at the end are left out. */
static void apply_done(struct view *v, const char *rest, const char *key, json_object *value)
{
    char **parts = g_strsplit(rest, "/", 3);
    struct job *j = g_strv_length(parts) == 3 ? job_make(v, parts[0]) : NULL;
    const char *bits;
    if (j && value && json_text(value, "d", &bits) && j->state != JOB_DONE) {
        uint32_t chunk = (uint32_t)strtoul(parts[1], NULL, 10);
        size_t total = (100000 + 7) / 8, base = (size_t)chunk * DONE_CHUNK / 8;
        if (j->known)
            total = (j->tasks + 7) / 8;
        if (!j->done)
            j->done = g_malloc0(j->known ? total : (100000 + 7) / 8);
        for (size_t i = 0; bits[2 * i] && bits[2 * i + 1] && base + i < total; i++)
            j->done[base + i] |= (uint8_t)(g_ascii_xdigit_value(bits[2 * i]) << 4 |
                                           g_ascii_xdigit_value(bits[2 * i + 1]));
        if (j->known)
            count_done(j);
    }
    if (j && value) {
        if (!j->marks)
            j->marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_add(j->marks, g_strdup(key));
    } else if (j && j->marks) {
        g_hash_table_remove(j->marks, key);
        if (g_hash_table_size(j->marks) == 0) {
            g_hash_table_unref(j->marks);
            j->marks = NULL;
        }
    }
    if (j)
        note(v, (struct change){.kind = CHANGE_JOB, .job = j->id});
    g_strfreev(parts);
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
        g_hash_table_replace(v->nodes, n->label, n);
    }
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
    else if (g_str_has_prefix(key, "ll/m/"))
        apply_host(v, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/d/"))
        apply_done(v, key + 5, key, value);
    else if (g_str_has_prefix(key, "ll/n/"))
        apply_node(v, key + 5, value, stamp);
    else if (strcmp(key, KEY_LEADER) == 0)
        apply_leader(v, value, stamp);
    else if (strcmp(key, KEY_MAP) == 0)
        apply_map(v, value, stamp);
    else if (strcmp(key, KEY_TYPES) == 0) {
        GArray *types = codec_types_read(value);
        if (types) {
            if (v->types)
                g_array_unref(v->types);
            v->types = types;
            v->types_stamp = stamp;
            note(v, (struct change){.kind = CHANGE_TYPES});
        }
    }
}

/* ---- reading everything ---- */

static void reload_page(struct view *v);

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
        g_hash_table_add(v->reload_seen, g_strdup(key));
        apply(v, key, value, stamp);
    }
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
        if (!g_hash_table_contains(v->reload_seen, old))
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
    v->fresh = v->asked;
    v->ready = true;
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
    v->asked = now;
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 v->at.v, BLOCK_MS);
    store_request(v->store, LANE_WATCH, "GET", path, NULL, BLOCK_MS + 1500, 10000, 0,
                  watch_answered, v);
    g_free(path);
}
