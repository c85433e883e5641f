#include "kv_codec.h"
#include "replica_internal.h"

enum {
    SEEK_MS = 1000,       /* between two rounds of reads */
    MOST_SOUGHT = 16,     /* reads at once */
    ANSWER_MS = 2500,     /* for an answer */
    LANE_WAIT_MS = 10000, /* for a request's turn within the budget */
};

struct seek {
    struct view *view;
    job_id job;
};

static void sought(void *arg, const struct net_answer *answer)
{
    struct seek *seek = arg;
    struct view *view = seek->view;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL,
                *value = NULL;
    revision stamp;
    view->sought--;
    if (codec_state_read_key(object, &value, &stamp)) {
        char *key = key_job(seek->job);
        view_apply(view, key, value, stamp);
        view_publish(view);
        g_free(key);
    }
    json_object_put(object);
    g_free(seek);
}

static void seek_one(void *ctx, job_id id)
{
    struct view *view = ctx;
    if (view->sought >= MOST_SOUGHT)
        return;
    struct seek *seek = g_new(struct seek, 1);
    *seek = (struct seek){view, id};
    view->sought++;
    char *key = key_job(id);
    store_read(view->store, LANE_NORMAL, key, ANSWER_MS, LANE_WAIT_MS, sought, seek);
    g_free(key);
}

/* A job that another one needs may have been over for so long that it was not kept. */
void view_seek_unknown(struct view *view)
{
    mono_time now = loop_now(view->loop);
    if (!view->ready || view->reload_seen || view->sought ||
        time_ms_since(now, view->sought_at) < SEEK_MS)
        return;
    view->sought_at = now;
    pipeline_each_unknown(view->pipeline, seek_one, view);
}
