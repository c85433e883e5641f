#include "job_dag.h"

enum { LOWEST_PRIORITY = 1000 };

struct node {
    job_id id;
    bool known;
    struct job_dag_attributes own;
    struct job_dag_state facts;
    GPtrArray *needs, *after; /* struct node: what it needs, what needs it */
};

struct job_dag {
    GHashTable *nodes; /* id -> struct node */
    job_dag_observer observer;
    void *context;
};

static void node_free(gpointer q)
{
    struct node *node = q;
    g_ptr_array_unref(node->needs);
    g_ptr_array_unref(node->after);
    g_free(node);
}

struct job_dag *job_dag_new(job_dag_observer observer, void *context)
{
    struct job_dag *dag = g_new0(struct job_dag, 1);
    dag->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
    dag->observer = observer;
    dag->context = context;
    return dag;
}

void job_dag_free(struct job_dag *dag)
{
    g_hash_table_unref(dag->nodes);
    g_free(dag);
}

guint job_dag_size(const struct job_dag *dag)
{
    return g_hash_table_size(dag->nodes);
}

static struct node *find_node(struct job_dag *dag, job_id id)
{
    return g_hash_table_lookup(dag->nodes, id.text);
}

static struct node *get_or_create_node(struct job_dag *dag, job_id id)
{
    struct node *node = find_node(dag, id);
    if (node)
        return node;
    node = g_new0(struct node, 1);
    node->id = id;
    node->own = (struct job_dag_attributes){LOWEST_PRIORITY, NO_DEADLINE, 0};
    node->facts.inherited_priority = LOWEST_PRIORITY;
    node->facts.inherited_deadline = NO_DEADLINE;
    node->needs = g_ptr_array_new();
    node->after = g_ptr_array_new();
    g_hash_table_insert(dag->nodes, node->id.text, node);
    return node;
}

static void notify_observer(struct job_dag *dag, struct node *node)
{
    if (node->known)
        dag->observer(dag->context, node->id.text, &node->facts);
}

/* Works out what is lent to a job and, where that has changed, to those that it needs. A chain may
 * be long, so this is no recursion. */
static void propagate_inherited(struct job_dag *dag, struct node *first)
{
    GQueue pending = G_QUEUE_INIT;
    g_queue_push_tail(&pending, first);
    struct node *node;
    while ((node = g_queue_pop_head(&pending))) {
        int priority = node->own.priority;
        wall_time deadline = node->own.deadline;
        for (guint i = 0; i < node->after->len; i++) {
            const struct node *dependent = node->after->pdata[i];
            priority = MIN(priority, dependent->facts.inherited_priority);
            if (dependent->facts.inherited_deadline.ms != NO_DEADLINE.ms)
                deadline.ms = MIN(deadline.ms, dependent->facts.inherited_deadline.ms -
                                                   dependent->own.expected_run_ms);
        }
        if (priority == node->facts.inherited_priority &&
            deadline.ms == node->facts.inherited_deadline.ms)
            continue;
        node->facts.inherited_priority = priority;
        node->facts.inherited_deadline = deadline;
        notify_observer(dag, node);
        for (guint i = 0; i < node->needs->len; i++)
            g_queue_push_tail(&pending, node->needs->pdata[i]);
    }
}

/* A job without links is nothing to be kept here. */
static void remove_unlinked_node(struct job_dag *dag, struct node *node)
{
    if (!node->needs->len && !node->after->len)
        g_hash_table_remove(dag->nodes, node->id.text);
}

/* Cuts what a job needs off it: that lends nothing to them any more. */
static void unlink_dependencies(struct job_dag *dag, struct node *node)
{
    GPtrArray *dependencies = node->needs;
    node->needs = g_ptr_array_new();
    for (guint i = 0; i < dependencies->len; i++) {
        struct node *dependency = dependencies->pdata[i];
        g_ptr_array_remove_fast(dependency->after, node);
        propagate_inherited(dag, dependency);
        remove_unlinked_node(dag, dependency);
    }
    g_ptr_array_unref(dependencies);
}

void job_dag_add_job(struct job_dag *dag, job_id id, const struct job_dag_attributes *attributes,
                     const job_id *dependencies, guint dependency_count)
{
    struct node *node = find_node(dag, id);
    if ((!node && !dependency_count) || (node && node->known))
        return;
    node = get_or_create_node(dag, id);
    node->known = true;
    node->own = *attributes;
    for (guint i = 0; i < dependency_count; i++) {
        struct node *dependency = get_or_create_node(dag, dependencies[i]);
        g_ptr_array_add(node->needs, dependency);
        g_ptr_array_add(dependency->after, node);
    }
    node->facts.pending_dependencies = dependency_count;
    node->facts.inherited_priority = LOWEST_PRIORITY; /* so that it is worked out and told */
    node->facts.inherited_deadline = NO_DEADLINE;
    propagate_inherited(dag, node);
    notify_observer(dag, node);
}

void job_dag_mark_done(struct job_dag *dag, job_id id, wall_time ended_at)
{
    struct node *node = find_node(dag, id);
    if (!node)
        return;
    unlink_dependencies(dag, node);
    GPtrArray *dependents = node->after;
    node->after = g_ptr_array_new();
    for (guint i = 0; i < dependents->len; i++) {
        struct node *dependent = dependents->pdata[i];
        g_ptr_array_remove_fast(dependent->needs, node);
        dependent->facts.pending_dependencies = dependent->needs->len;
        dependent->facts.dependencies_done_at.ms =
            MAX(dependent->facts.dependencies_done_at.ms, ended_at.ms);
        notify_observer(dag, dependent);
        remove_unlinked_node(dag, dependent);
    }
    g_ptr_array_unref(dependents);
    remove_unlinked_node(dag, node);
}

void job_dag_mark_cancelled(struct job_dag *dag, job_id id, revision cancelled_at)
{
    struct node *node = find_node(dag, id);
    if (!node)
        return;
    /* Their ids, as one that is still to come may be let go meanwhile, with its last link. */
    GQueue pending_ids = G_QUEUE_INIT;
    g_queue_push_tail(&pending_ids, g_memdup2(&id, sizeof id));
    job_id *next_id;
    while ((next_id = g_queue_pop_head(&pending_ids))) {
        node = find_node(dag, *next_id);
        g_free(next_id);
        if (!node)
            continue;
        for (guint i = 0; i < node->after->len; i++) {
            struct node *dependent = node->after->pdata[i];
            if (dependent->facts.upstream_cancelled)
                continue;
            dependent->facts.upstream_cancelled = true;
            dependent->facts.upstream_cancelled_at = cancelled_at;
            notify_observer(dag, dependent);
            g_queue_push_tail(&pending_ids, g_memdup2(&dependent->id, sizeof dependent->id));
        }
        while (node->after->len) {
            struct node *dependent = node->after->pdata[node->after->len - 1];
            g_ptr_array_remove_fast(dependent->needs, node);
            g_ptr_array_set_size(node->after, (gint)node->after->len - 1);
        }
        unlink_dependencies(dag, node);
        remove_unlinked_node(dag, node);
    }
}

void job_dag_foreach_unknown(struct job_dag *dag, job_dag_unknown_callback callback, void *context)
{
    GHashTableIter it;
    struct node *node;
    g_hash_table_iter_init(&it, dag->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node))
        if (!node->known)
            callback(context, node->id);
}
