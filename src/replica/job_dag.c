#include "job_dag.h"

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
    pipeline_observer observer;
    void *ctx;
};

static void node_free(gpointer q)
{
    struct node *node = q;
    g_ptr_array_unref(node->needs);
    g_ptr_array_unref(node->after);
    g_free(node);
}

struct pipeline *pipeline_new(pipeline_observer observer, void *ctx)
{
    struct pipeline *pipeline = g_new0(struct pipeline, 1);
    pipeline->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    pipeline->observer = observer;
    pipeline->ctx = ctx;
    return pipeline;
}

void pipeline_free(struct pipeline *pipeline)
{
    g_hash_table_unref(pipeline->nodes);
    g_free(pipeline);
}

guint pipeline_size(const struct pipeline *pipeline)
{
    return g_hash_table_size(pipeline->nodes);
}

static struct node *node_get(struct pipeline *pipeline, job_id id)
{
    return g_hash_table_lookup(pipeline->nodes, id.s);
}

static struct node *node_make(struct pipeline *pipeline, job_id id)
{
    struct node *node = node_get(pipeline, id);
    if (node)
        return node;
    node = g_new0(struct node, 1);
    node->id = id;
    node->own = (struct pipe_own){LEAST_URGENT, NEVER, 0};
    node->facts.urgency = LEAST_URGENT;
    node->facts.due = NEVER;
    node->needs = g_ptr_array_new();
    node->after = g_ptr_array_new();
    g_hash_table_insert(pipeline->nodes, node->id.s, node);
    return node;
}

static void tell(struct pipeline *pipeline, struct node *node)
{
    if (node->known)
        pipeline->observer(pipeline->ctx, node->id.s, &node->facts);
}

/* Works out what is lent to a job and, where that has changed, to those that it needs. A chain may
 * be long, so this is no recursion. */
static void lend(struct pipeline *pipeline, struct node *first)
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
        tell(pipeline, n);
        for (guint i = 0; i < n->needs->len; i++)
            g_queue_push_tail(&todo, n->needs->pdata[i]);
    }
}

/* A job without links is nothing to be kept here. */
static void let_go(struct pipeline *pipeline, struct node *node)
{
    if (!node->needs->len && !node->after->len)
        g_hash_table_remove(pipeline->nodes, node->id.s);
}

/* Cuts what a job needs off it: that lends nothing to them any more. */
static void cut_needs(struct pipeline *pipeline, struct node *n)
{
    GPtrArray *needs = n->needs;
    n->needs = g_ptr_array_new();
    for (guint i = 0; i < needs->len; i++) {
        struct node *q = needs->pdata[i];
        g_ptr_array_remove_fast(q->after, n);
        lend(pipeline, q);
        let_go(pipeline, q);
    }
    g_ptr_array_unref(needs);
}

void pipeline_add(struct pipeline *pipeline, job_id id, const struct pipe_own *own,
                  const job_id *needs, guint n)
{
    struct node *x = node_get(pipeline, id);
    if ((!x && !n) || (x && x->known))
        return;
    x = node_make(pipeline, id);
    x->known = true;
    x->own = *own;
    for (guint i = 0; i < n; i++) {
        struct node *q = node_make(pipeline, needs[i]);
        g_ptr_array_add(x->needs, q);
        g_ptr_array_add(q->after, x);
    }
    x->facts.open = n;
    x->facts.urgency = LEAST_URGENT; /* so that it is worked out and told */
    x->facts.due = NEVER;
    lend(pipeline, x);
    tell(pipeline, x);
}

void pipeline_done(struct pipeline *pipeline, job_id id, wall_time end)
{
    struct node *n = node_get(pipeline, id);
    if (!n)
        return;
    cut_needs(pipeline, n);
    GPtrArray *after = n->after;
    n->after = g_ptr_array_new();
    for (guint i = 0; i < after->len; i++) {
        struct node *s = after->pdata[i];
        g_ptr_array_remove_fast(s->needs, n);
        s->facts.open = s->needs->len;
        s->facts.ready.ms = MAX(s->facts.ready.ms, end.ms);
        tell(pipeline, s);
        let_go(pipeline, s);
    }
    g_ptr_array_unref(after);
    let_go(pipeline, n);
}

void pipeline_cancelled(struct pipeline *pipeline, job_id id, revision at)
{
    struct node *n = node_get(pipeline, id);
    if (!n)
        return;
    /* Their ids, as one that is still to come may be let go meanwhile, with its last link. */
    GQueue todo = G_QUEUE_INIT;
    g_queue_push_tail(&todo, g_memdup2(&id, sizeof id));
    job_id *next;
    while ((next = g_queue_pop_head(&todo))) {
        n = node_get(pipeline, *next);
        g_free(next);
        if (!n)
            continue;
        for (guint i = 0; i < n->after->len; i++) {
            struct node *s = n->after->pdata[i];
            if (s->facts.upstream_cancelled)
                continue;
            s->facts.upstream_cancelled = true;
            s->facts.upstream_cancelled_at = at;
            tell(pipeline, s);
            g_queue_push_tail(&todo, g_memdup2(&s->id, sizeof s->id));
        }
        while (n->after->len) {
            struct node *s = n->after->pdata[n->after->len - 1];
            g_ptr_array_remove_fast(s->needs, n);
            g_ptr_array_set_size(n->after, (gint)n->after->len - 1);
        }
        cut_needs(pipeline, n);
        let_go(pipeline, n);
    }
}

void pipeline_each_unknown(struct pipeline *pipeline, pipeline_unknown take, void *ctx)
{
    GHashTableIter it;
    struct node *node;
    g_hash_table_iter_init(&it, pipeline->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node))
        if (!node->known)
            take(ctx, node->id);
}
