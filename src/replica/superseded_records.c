/**
 * @file
 * Tasks that have several run records, of different attempts. The record of the newest attempt is
 * the one of the task (job_get_run_record); the others are superseded until it is removed.
 */
#include "invariant.h"
#include "replica_internal.h"

/** The key of a task in job->run_records. */
static gpointer task_key(uint32_t task_index)
{
    return GUINT_TO_POINTER(task_index + 1);
}

static bool is_record_of_task(const struct run_record *run_record, const struct job *job,
                              uint32_t task_index)
{
    return run_record->job == job && run_record->task_index == task_index;
}

/** Makes a record the one of its task. */
static void set_record_of_task(struct run_record *run_record)
{
    struct job *job = run_record->job;
    if (!job->run_records)
        job->run_records = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(job->run_records, task_key(run_record->task_index), run_record);
}

void replica_add_record_to_task(struct replica *replica, struct run_record *run_record)
{
    struct run_record *present = job_get_run_record(run_record->job, run_record->task_index);
    bool is_newest = !present || present->attempt.value <= run_record->attempt.value;
    struct run_record *superseded = is_newest ? present : run_record;
    if (superseded)
        g_hash_table_add(replica->internal->superseded_records, superseded);
    if (is_newest)
        set_record_of_task(run_record);
}

/** Returns the superseded record of the task with the highest attempt, or NULL. */
static struct run_record *find_newest_superseded(const struct replica *replica,
                                                 const struct job *job, uint32_t task_index)
{
    struct run_record *newest = NULL, *superseded;
    GHashTableIter iterator;
    g_hash_table_iter_init(&iterator, replica->internal->superseded_records);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&superseded, NULL))
        if (is_record_of_task(superseded, job, task_index) &&
            (!newest || newest->attempt.value < superseded->attempt.value))
            newest = superseded;
    return newest;
}

void replica_remove_record_from_task(struct replica *replica, struct run_record *run_record)
{
    struct job *job = run_record->job;
    if (g_hash_table_remove(replica->internal->superseded_records, run_record) ||
        job_get_run_record(job, run_record->task_index) != run_record)
        return;
    struct run_record *remaining = find_newest_superseded(replica, job, run_record->task_index);
    if (remaining) {
        g_hash_table_remove(replica->internal->superseded_records, remaining);
        set_record_of_task(remaining);
        return;
    }
    g_hash_table_remove(job->run_records, task_key(run_record->task_index));
    if (g_hash_table_size(job->run_records) == 0)
        g_clear_pointer(&job->run_records, g_hash_table_unref);
}

static bool is_record_of_run(const struct run_record *run_record, machine_id machine,
                             attempt_no attempt)
{
    return run_record->attempt.value == attempt.value &&
           machine_id_equal(run_record->machine->id, machine);
}

struct run_record *replica_find_run_record(const struct replica *replica, const struct job *job,
                                           uint32_t task_index, attempt_no attempt,
                                           machine_id machine)
{
    struct run_record *run_record = job_get_run_record(job, task_index);
    if (run_record && is_record_of_run(run_record, machine, attempt))
        return run_record;
    GHashTableIter iterator;
    g_hash_table_iter_init(&iterator, replica->internal->superseded_records);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&run_record, NULL))
        if (is_record_of_task(run_record, job, task_index) &&
            is_record_of_run(run_record, machine, attempt))
            return run_record;
    return NULL;
}

bool replica_has_conflicting_records(const struct replica *replica, job_id job, uint32_t task_index)
{
    const struct job *job_record = g_hash_table_lookup(replica->jobs, job.text);
    return job_record && find_newest_superseded(replica, job_record, task_index);
}

bool replica_has_superseded_records(const struct replica *replica)
{
    return g_hash_table_size(replica->internal->superseded_records) > 0;
}

bool replica_is_superseded(const struct replica *replica, const struct run_record *run_record)
{
    return g_hash_table_contains(replica->internal->superseded_records, run_record);
}

void replica_check_run_records(const struct replica *replica)
{
    GHashTableIter iterator;
    const struct run_record *superseded;
    g_hash_table_iter_init(&iterator, replica->internal->superseded_records);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&superseded, NULL))
        invariant_check(INVARIANT_ONE_MACHINE, false,
                        "job=%s task=%u machine=%s attempt=%" G_GUINT64_FORMAT,
                        superseded->job->id.text, superseded->task_index,
                        superseded->machine->id.text, superseded->attempt.value);
}
