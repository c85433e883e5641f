/** DAG of jobs: see job_dag.h. */
#include "job_dag.h"

/** Lower than the priority of any job; the initial value for jobs that were not added yet. */
enum { LOWEST_PRIORITY = 1000 };

/** A job that depends on a job not known to be finished, or such a dependency. */
struct job_dag_node {
    job_id id;
    /** job_dag_add_job was called for the job; until then only its dependents refer to it. */
    bool is_added;
    struct job_dag_attributes attributes;
    struct job_dag_state state;
    /** Arrays of struct job_dag_node. */
    GPtrArray *dependencies, *dependents;
};

/** The jobs by id, and the observer of their states. */
struct job_dag {
    /** Job id -> struct job_dag_node. */
    GHashTable *nodes;
    job_dag_observer observer;
    void *context;
};

static void node_free(gpointer pointer)
{
    struct job_dag_node *node = pointer;
    g_ptr_array_unref(node->dependencies);
    g_ptr_array_unref(node->dependents);
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

static struct job_dag_node *find_node(struct job_dag *dag, job_id id)
{
    return g_hash_table_lookup(dag->nodes, id.text);
}

static struct job_dag_node *get_or_create_node(struct job_dag *dag, job_id id)
{
    struct job_dag_node *node = find_node(dag, id);
    if (node)
        return node;
    node = g_new0(struct job_dag_node, 1);
    node->id = id;
    node->attributes = (struct job_dag_attributes){LOWEST_PRIORITY, NO_DEADLINE, 0};
    node->state.inherited_priority = LOWEST_PRIORITY;
    node->state.inherited_deadline = NO_DEADLINE;
    node->dependencies = g_ptr_array_new();
    node->dependents = g_ptr_array_new();
    g_hash_table_insert(dag->nodes, node->id.text, node);
    return node;
}

static void notify_observer(struct job_dag *dag, struct job_dag_node *node)
{
    if (node->is_added)
        dag->observer(dag->context, node->id.text, &node->state);
}

/**
 * Derives a job's inherited priority and deadline from its own and those of its dependents. A
 * dependent's deadline is brought forward by the run time that the dependent itself needs.
 */
static void derive_inherited(const struct job_dag_node *node, int *priority, wall_time *deadline)
{
    *priority = node->attributes.priority;
    *deadline = node->attributes.deadline;
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct job_dag_node *dependent = node->dependents->pdata[i];
        *priority = MIN(*priority, dependent->state.inherited_priority);
        if (dependent->state.inherited_deadline.ms != NO_DEADLINE.ms)
            deadline->ms = MIN(deadline->ms, dependent->state.inherited_deadline.ms -
                                                 dependent->attributes.expected_run_ms);
    }
}

/**
 * Updates the inherited values of a job and, if they have changed, those of its dependencies in
 * turn. Uses a queue instead of recursion because a chain of dependencies may be long.
 */
static void propagate_inherited(struct job_dag *dag, struct job_dag_node *first)
{
    GQueue pending = G_QUEUE_INIT;
    g_queue_push_tail(&pending, first);
    struct job_dag_node *node;
    while ((node = g_queue_pop_head(&pending))) {
        int priority;
        wall_time deadline;
        derive_inherited(node, &priority, &deadline);
        if (priority == node->state.inherited_priority &&
            deadline.ms == node->state.inherited_deadline.ms)
            continue;
        node->state.inherited_priority = priority;
        node->state.inherited_deadline = deadline;
        notify_observer(dag, node);
        for (guint i = 0; i < node->dependencies->len; i++)
            g_queue_push_tail(&pending, node->dependencies->pdata[i]);
    }
}

/** Removes a job if it has neither dependencies nor dependents. */
static void remove_unlinked_node(struct job_dag *dag, struct job_dag_node *node)
{
    if (!node->dependencies->len && !node->dependents->len)
        g_hash_table_remove(dag->nodes, node->id.text);
}

/** Removes the edges to a job's dependencies, which then no longer inherit from the job. */
static void unlink_dependencies(struct job_dag *dag, struct job_dag_node *node)
{
    GPtrArray *dependencies = node->dependencies;
    node->dependencies = g_ptr_array_new();
    for (guint i = 0; i < dependencies->len; i++) {
        struct job_dag_node *dependency = dependencies->pdata[i];
        g_ptr_array_remove_fast(dependency->dependents, node);
        propagate_inherited(dag, dependency);
        remove_unlinked_node(dag, dependency);
    }
    g_ptr_array_unref(dependencies);
}

void job_dag_add_job(struct job_dag *dag, job_id id, const struct job_dag_attributes *attributes,
                     const job_id *dependencies, guint dependency_count)
{
    struct job_dag_node *node = find_node(dag, id);
    if ((!node && !dependency_count) || (node && node->is_added))
        return;
    node = get_or_create_node(dag, id);
    node->is_added = true;
    node->attributes = *attributes;
    for (guint i = 0; i < dependency_count; i++) {
        struct job_dag_node *dependency = get_or_create_node(dag, dependencies[i]);
        g_ptr_array_add(node->dependencies, dependency);
        g_ptr_array_add(dependency->dependents, node);
    }
    node->state.pending_dependencies = dependency_count;
    /* These differ from the values of any job, so propagation detects a change. */
    node->state.inherited_priority = LOWEST_PRIORITY;
    node->state.inherited_deadline = NO_DEADLINE;
    propagate_inherited(dag, node);
    notify_observer(dag, node);
}

void job_dag_mark_done(struct job_dag *dag, job_id id, wall_time ended_at)
{
    struct job_dag_node *node = find_node(dag, id);
    if (!node)
        return;
    unlink_dependencies(dag, node);
    GPtrArray *dependents = node->dependents;
    node->dependents = g_ptr_array_new();
    for (guint i = 0; i < dependents->len; i++) {
        struct job_dag_node *dependent = dependents->pdata[i];
        g_ptr_array_remove_fast(dependent->dependencies, node);
        dependent->state.pending_dependencies = dependent->dependencies->len;
        dependent->state.dependencies_done_at.ms =
            MAX(dependent->state.dependencies_done_at.ms, ended_at.ms);
        notify_observer(dag, dependent);
        remove_unlinked_node(dag, dependent);
    }
    g_ptr_array_unref(dependents);
    remove_unlinked_node(dag, node);
}

/** Marks the direct dependents as cancelled and queues the ids of those newly cancelled. */
static void cancel_dependents(struct job_dag *dag, struct job_dag_node *node,
                              revision cancel_revision, GQueue *queued_ids)
{
    for (guint i = 0; i < node->dependents->len; i++) {
        struct job_dag_node *dependent = node->dependents->pdata[i];
        if (dependent->state.upstream_cancelled)
            continue;
        dependent->state.upstream_cancelled = true;
        dependent->state.upstream_cancel_revision = cancel_revision;
        notify_observer(dag, dependent);
        g_queue_push_tail(queued_ids, g_memdup2(&dependent->id, sizeof dependent->id));
    }
}

static void unlink_dependents(struct job_dag_node *node)
{
    while (node->dependents->len) {
        struct job_dag_node *dependent = node->dependents->pdata[node->dependents->len - 1];
        g_ptr_array_remove_fast(dependent->dependencies, node);
        g_ptr_array_set_size(node->dependents, (gint)node->dependents->len - 1);
    }
}

void job_dag_mark_cancelled(struct job_dag *dag, job_id id, revision cancel_revision)
{
    /* The queue contains ids, because a queued node may be freed when its last edge is removed. */
    GQueue queued_ids = G_QUEUE_INIT;
    if (find_node(dag, id))
        g_queue_push_tail(&queued_ids, g_memdup2(&id, sizeof id));
    job_id *next_id;
    while ((next_id = g_queue_pop_head(&queued_ids))) {
        struct job_dag_node *node = find_node(dag, *next_id);
        g_free(next_id);
        if (!node)
            continue;
        cancel_dependents(dag, node, cancel_revision, &queued_ids);
        unlink_dependents(node);
        unlink_dependencies(dag, node);
        remove_unlinked_node(dag, node);
    }
}

void job_dag_foreach_missing(struct job_dag *dag, job_dag_missing_callback callback, void *context)
{
    GHashTableIter iterator;
    struct job_dag_node *node;
    g_hash_table_iter_init(&iterator, dag->nodes);
    while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&node))
        if (!node->is_added)
            callback(context, node->id);
}
