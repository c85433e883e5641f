/* Jobs that need others: which may start, which are cancelled with what they need, and the urgency
 * and the time that those after them lend them. Pure logic: it is told what jobs are and what
 * becomes of them, and tells whose facts have changed. It holds only jobs that need one that is not
 * over, or that such a job needs; what is done or cancelled stays so, and takes its links with it.
 */
#ifndef LL_PIPELINE_H
#define LL_PIPELINE_H

#include "types.h"

/* What a job is by itself. */
struct job_dag_attributes {
    int priority;            /* the lower the more urgent */
    wall_time deadline;      /* NEVER: no deadline */
    int64_t expected_run_ms; /* that one of its tasks takes, by its owner's estimate */
};

#define NO_DEADLINE ((wall_time){INT64_MAX})

struct job_dag_state {
    guint pending_dependencies;     /* jobs that it needs and that are not known to be done */
    wall_time dependencies_done_at; /* when the last of the others was done; 0: there was none */
    bool upstream_cancelled;        /* one that it needs, directly or not, is cancelled */
    revision upstream_cancelled_at;
    int inherited_priority; /* the highest of its own and of those of all that need it */
    wall_time
        inherited_deadline; /* when it has to be done so that all that need it can be in time */
};

struct job_dag;

/* id's facts are others now. */
typedef void (*job_dag_observer)(void *ctx, const char *id, const struct job_dag_state *dag_state);

struct job_dag *job_dag_new(job_dag_observer observer, void *context);
void job_dag_free(struct job_dag *dag);

/* A job that is not over, and what it needs; jobs that are not known yet count as not done. The
 * caller then says what is known of these. Of a job that nobody needs and that needs nothing
 * nothing is kept. */
void job_dag_add_job(struct job_dag *dag, job_id id, const struct job_dag_attributes *attributes,
                     const job_id *dependencies, guint dependency_count);
void job_dag_mark_done(struct job_dag *dag, job_id id, wall_time ended_at);
/* Said of each job that a user has cancelled, or that is doomed itself. */
void job_dag_mark_cancelled(struct job_dag *dag, job_id id, revision cancelled_at);

/* Calls back for each job that is needed and of which nothing was said yet. */
typedef void (*job_dag_unknown_callback)(void *ctx, job_id id);
void job_dag_foreach_unknown(struct job_dag *dag, job_dag_unknown_callback callback, void *context);
guint job_dag_size(const struct job_dag *dag);

#endif
