#include "pipeline.h"

enum { LEAST_URGENT = 1000 };

struct node {
    job_id id;
    bool known;
    struct pipe_own own;
    struct pipe_facts facts;
    GPtrArray *needs, *after; /* struct node: what it needs, what needs it */
};

struct pipeline {
    GHashTable *nodes; /* id -> struct node */
    pipeline_news news;
    void *ctx;
};

static void node_free(gpointer q)
{
    struct node *n = q;
    g_ptr_array_unref(n->needs);
    g_ptr_array_unref(n->after);
    g_free(n);
}

struct pipeline *pipeline_new(pipeline_news news, void *ctx)
{
    struct pipeline *p = g_new0(struct pipeline, 1);
    p->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    p->news = news;
    p->ctx = ctx;
    return p;
}

void pipeline_free(struct pipeline *p)
{
    g_hash_table_unref(p->nodes);
    g_free(p);
}

guint pipeline_size(const struct pipeline *p)
{
    return g_hash_table_size(p->nodes);
}

static struct node *node_get(struct pipeline *p, job_id id)
{
    return g_hash_table_lookup(p->nodes, id.s);
}

static struct node *node_make(struct pipeline *p, job_id id)
{
    struct node *n = node_get(p, id);
    if (n)
        return n;
    n = g_new0(struct node, 1);
    n->id = id;
    n->own = (struct pipe_own){LEAST_URGENT, NEVER, 0};
    n->facts.urgency = LEAST_URGENT;
    n->facts.due = NEVER;
    n->needs = g_ptr_array_new();
    n->after = g_ptr_array_new();
    g_hash_table_insert(p->nodes, n->id.s, n);
    return n;
}

static void tell(struct pipeline *p, struct node *n)
{
    if (n->known)
        p->news(p->ctx, n->id.s, &n->facts);
}

/* Works out what is lent to a job and, where that has changed, to those that it needs. A chain may
 * be long, so this is no recursion. */
static void lend(struct pipeline *p, struct node *first)
{
    GQueue todo = G_QUEUE_INIT;
    g_queue_push_tail(&todo, first);
    struct node *n;
    while ((n = g_queue_pop_head(&todo))) {
        int urgency = n->own.urgency;
        wall_time due = n->own.due;
        for (guint i = 0; i < n->after->len; i++) {
            const struct node *s = n->after->pdata[i];
            urgency = MIN(urgency, s->facts.urgency);
            if (s->facts.due.ms != NEVER.ms)
                due.ms = MIN(due.ms, s->facts.due.ms - s->own.run_ms);
        }
        if (urgency == n->facts.urgency && due.ms == n->facts.due.ms)
            continue;
        n->facts.urgency = urgency;
        n->facts.due = due;
        tell(p, n);
        for (guint i = 0; i < n->needs->len; i++)
            g_queue_push_tail(&todo, n->needs->pdata[i]);
    }
}

/* A job without links is nothing to be kept here. */
static void let_go(struct pipeline *p, struct node *n)
{
    if (!n->needs->len && !n->after->len)
        g_hash_table_remove(p->nodes, n->id.s);
}

/* Cuts what a job needs off it: that lends nothing to them any more. */
static void cut_needs(struct pipeline *p, struct node *n)
{
    GPtrArray *needs = n->needs;
    n->needs = g_ptr_array_new();
    for (guint i = 0; i < needs->len; i++) {
        struct node *q = needs->pdata[i];
        g_ptr_array_remove_fast(q->after, n);
        lend(p, q);
        let_go(p, q);
    }
    g_ptr_array_unref(needs);
}

void pipeline_add(struct pipeline *p, job_id id, const struct pipe_own *own, const job_id *needs,
                  guint n)
{
    struct node *x = node_get(p, id);
    if ((!x && !n) || (x && x->known))
        return;
    x = node_make(p, id);
    x->known = true;
    x->own = *own;
    for (guint i = 0; i < n; i++) {
        struct node *q = node_make(p, needs[i]);
        g_ptr_array_add(x->needs, q);
        g_ptr_array_add(q->after, x);
    }
    x->facts.open = n;
    x->facts.urgency = LEAST_URGENT; /* so that it is worked out and told */
    x->facts.due = NEVER;
    lend(p, x);
    tell(p, x);
}

void pipeline_done(struct pipeline *p, job_id id, wall_time end)
{
    struct node *n = node_get(p, id);
    if (!n)
        return;
    cut_needs(p, n);
    GPtrArray *after = n->after;
    n->after = g_ptr_array_new();
    for (guint i = 0; i < after->len; i++) {
        struct node *s = after->pdata[i];
        g_ptr_array_remove_fast(s->needs, n);
        s->facts.open = s->needs->len;
        s->facts.ready.ms = MAX(s->facts.ready.ms, end.ms);
        tell(p, s);
        let_go(p, s);
    }
    g_ptr_array_unref(after);
    let_go(p, n);
}

void pipeline_cancelled(struct pipeline *p, job_id id, revision at)
{
    struct node *n = node_get(p, id);
    if (!n)
        return;
    /* Their ids, as one that is still to come may be let go meanwhile, with its last link. */
    GQueue todo = G_QUEUE_INIT;
    g_queue_push_tail(&todo, g_memdup2(&id, sizeof id));
    job_id *next;
    while ((next = g_queue_pop_head(&todo))) {
        n = node_get(p, *next);
        g_free(next);
        if (!n)
            continue;
        for (guint i = 0; i < n->after->len; i++) {
            struct node *s = n->after->pdata[i];
            if (s->facts.doomed)
                continue;
            s->facts.doomed = true;
            s->facts.doomed_at = at;
            tell(p, s);
            g_queue_push_tail(&todo, g_memdup2(&s->id, sizeof s->id));
        }
        while (n->after->len) {
            struct node *s = n->after->pdata[n->after->len - 1];
            g_ptr_array_remove_fast(s->needs, n);
            g_ptr_array_set_size(n->after, (gint)n->after->len - 1);
        }
        cut_needs(p, n);
        let_go(p, n);
    }
}

void pipeline_each_unknown(struct pipeline *p, pipeline_unknown take, void *ctx)
{
    GHashTableIter it;
    struct node *n;
    g_hash_table_iter_init(&it, p->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&n))
        if (!n->known)
            take(ctx, n->id);
}
