/**
 * The DAG of jobs and their dependencies: which jobs may start, which are cancelled because one
 * they depend on is, and the priority and deadline that jobs inherit from their dependents.
 *
 * Pure logic: the caller reports jobs and what became of them, and an observer learns whose state
 * has changed. Only jobs that depend on an unfinished job, or on which such a job depends, are
 * held. Done and cancelled are final states, so their edges are removed.
 */
#ifndef LL_JOB_DAG_H
#define LL_JOB_DAG_H

#include "types.h"

#define NO_DEADLINE ((wall_time){INT64_MAX})

/** A job's own properties. */
struct job_dag_attributes {
    /** The lower the number, the higher the priority. */
    int priority;
    wall_time deadline;
    /** Estimated run time of one of its tasks. */
    int64_t expected_run_ms;
};

/** What follows for a job from the jobs around it. */
struct job_dag_state {
    /** Dependencies that are not known to be done. */
    guint pending_dependencies;
    /** When the last of the other dependencies was done; 0: there were none. */
    wall_time dependencies_done_at;
    /** A job that it depends on, directly or not, is cancelled. */
    bool upstream_cancelled;
    revision upstream_cancel_revision;
    /** The highest priority of its own and those of all jobs that depend on it. */
    int inherited_priority;
    /** By when it must be done so that all jobs that depend on it can meet their deadlines. */
    wall_time inherited_deadline;
};

struct job_dag;

/** Called whenever the state of a known job has changed. */
typedef void (*job_dag_observer)(void *context, const char *id,
                                 const struct job_dag_state *dag_state);

struct job_dag *job_dag_new(job_dag_observer observer, void *context);
void job_dag_free(struct job_dag *dag);

/**
 * Adds an unfinished job. Dependencies that are not known yet count as not done; the caller then
 * reports what it knows of them. A job without dependencies is held only if others depend on it.
 */
void job_dag_add_job(struct job_dag *dag, job_id id, const struct job_dag_attributes *attributes,
                     const job_id *dependencies, guint dependency_count);
void job_dag_mark_done(struct job_dag *dag, job_id id, wall_time ended_at);
/** Marks a job as cancelled, and with it all that depend on it, directly or not. */
void job_dag_mark_cancelled(struct job_dag *dag, job_id id, revision cancel_revision);

typedef void (*job_dag_missing_callback)(void *context, job_id id);
/** Calls back for each job that others depend on and that was not reported yet, in any order. */
void job_dag_foreach_missing(struct job_dag *dag, job_dag_missing_callback callback, void *context);

/** The number of jobs held. */
guint job_dag_size(const struct job_dag *dag);

#endif
