/* Jobs that need others: which may start, which are cancelled with what they need, and the urgency
 * and the time that those after them lend them. Pure logic: it is told what jobs are and what
 * becomes of them, and tells whose facts have changed. It holds only jobs that need one that is not
 * over, or that such a job needs; what is done or cancelled stays so, and takes its links with it.
 */
#ifndef LL_PIPELINE_H
#define LL_PIPELINE_H

#include "types.h"

/* What a job is by itself. */
struct pipe_own {
    int urgency;    /* the lower the more urgent */
    wall_time due;  /* NEVER: no deadline */
    int64_t run_ms; /* that one of its tasks takes, by its owner's estimate */
};

#define NEVER ((wall_time){INT64_MAX})

struct pipe_facts {
    guint open;              /* jobs that it needs and that are not known to be done */
    wall_time ready;         /* when the last of the others was done; 0: there was none */
    bool upstream_cancelled; /* one that it needs, directly or not, is cancelled */
    revision upstream_cancelled_at;
    int urgency;   /* the highest of its own and of those of all that need it */
    wall_time due; /* when it has to be done so that all that need it can be in time */
};

struct pipeline;

/* id's facts are others now. */
typedef void (*pipeline_observer)(void *ctx, const char *id, const struct pipe_facts *facts);

struct pipeline *pipeline_new(pipeline_observer observer, void *ctx);
void pipeline_free(struct pipeline *pipeline);

/* A job that is not over, and what it needs; jobs that are not known yet count as not done. The
 * caller then says what is known of these. Of a job that nobody needs and that needs nothing
 * nothing is kept. */
void pipeline_add(struct pipeline *pipeline, job_id id, const struct pipe_own *own,
                  const job_id *needs, guint n);
void pipeline_done(struct pipeline *pipeline, job_id id, wall_time end);
/* Said of each job that a user has cancelled, or that is doomed itself. */
void pipeline_cancelled(struct pipeline *pipeline, job_id id, revision at);

/* Calls back for each job that is needed and of which nothing was said yet. */
typedef void (*pipeline_unknown)(void *ctx, job_id id);
void pipeline_each_unknown(struct pipeline *pipeline, pipeline_unknown take, void *ctx);
guint pipeline_size(const struct pipeline *pipeline);

#endif
