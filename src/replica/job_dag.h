/**
 * The DAG of jobs and their dependencies. It determines which jobs may start, which are cancelled
 * because a job that they depend on is cancelled, and the priority and deadline that jobs inherit
 * from their dependents.
 *
 * The DAG does no I/O: the caller reports jobs and their final states, and an observer is notified
 * of changes. The DAG contains only jobs that depend on a job not known to be finished, and these
 * dependencies. Done and cancelled are final states, so the edges of such jobs are removed.
 */
#ifndef LL_JOB_DAG_H
#define LL_JOB_DAG_H

#include "types.h"

/** The deadline of a job that has none; later than any other. */
#define NO_DEADLINE ((wall_time){INT64_MAX})

/** A job's own properties. */
struct job_dag_attributes {
    /** A lower number is a higher priority. */
    int priority;
    wall_time deadline;
    /** The estimated run time of one task. */
    int64_t expected_run_ms;
};

/** The state of a job that follows from its dependencies and its dependents. */
struct job_dag_state {
    /** The number of dependencies that are not known to be done. */
    guint pending_dependencies;
    /** The time at which the last of the other dependencies was done; 0 if there were none. */
    wall_time dependencies_done_at;
    /** A direct or indirect dependency is cancelled. */
    bool upstream_cancelled;
    revision upstream_cancel_revision;
    /** The highest of its own priority and those of its direct and indirect dependents. */
    int inherited_priority;
    /** The time by which the job must be done for it and its dependents to meet their deadlines. */
    wall_time inherited_deadline;
};

/** A DAG of jobs. */
struct job_dag;

/** Called whenever the state of a job that was added has changed. */
typedef void (*job_dag_observer)(void *context, const char *id,
                                 const struct job_dag_state *dag_state);

/** Creates an empty DAG whose observer is called with the context. */
struct job_dag *job_dag_new(job_dag_observer observer, void *context);
/** Frees the DAG. */
void job_dag_free(struct job_dag *dag);

/**
 * Adds an active job. All its dependencies count as pending until the caller reports them as done
 * or cancelled. A job without dependencies is added only if other jobs depend on it.
 */
void job_dag_add_job(struct job_dag *dag, job_id id, const struct job_dag_attributes *attributes,
                     const job_id *dependencies, guint dependency_count);
/** Marks a job as done and updates its dependents. */
void job_dag_mark_done(struct job_dag *dag, job_id id, wall_time ended_at);
/** Marks a job and all its direct and indirect dependents as cancelled. */
void job_dag_mark_cancelled(struct job_dag *dag, job_id id, revision cancel_revision);

/** Receives the id of a job that was not added yet. */
typedef void (*job_dag_missing_callback)(void *context, job_id id);
/** Calls back, in any order, for each job that others depend on and that was not added yet. */
void job_dag_foreach_missing(struct job_dag *dag, job_dag_missing_callback callback, void *context);

/** Returns the number of jobs in the DAG. */
guint job_dag_size(const struct job_dag *dag);

#endif
