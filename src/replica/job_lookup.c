#include "kv_codec.h"
#include "replica_internal.h"

enum {
    LOOKUP_INTERVAL_MS = 1000,  /* between two rounds of reads */
    MAX_LOOKUPS_IN_FLIGHT = 16, /* reads at once */
    ANSWER_MS = 2500,           /* for an answer */
    LANE_WAIT_MS = 10000,       /* for a request's turn within the budget */
};

struct job_lookup {
    struct replica *replica;
    job_id job;
};

static void lookup_on_response(void *arg, const struct http_response *response)
{
    struct job_lookup *lookup = arg;
    struct replica *replica = lookup->replica;
    json_object *object = response->status == 200 ? json_parse(response->body, response->body_bytes)
                                                  : NULL,
                *value = NULL;
    revision mod_revision;
    replica->lookups_in_flight--;
    if (kv_decode_value(object, &value, &mod_revision)) {
        char *key = key_job(lookup->job);
        replica_apply(replica, key, value, mod_revision);
        replica_publish_events(replica);
        g_free(key);
    }
    json_object_put(object);
    g_free(lookup);
}

static void lookup_job(void *context, job_id id)
{
    struct replica *replica = context;
    if (replica->lookups_in_flight >= MAX_LOOKUPS_IN_FLIGHT)
        return;
    struct job_lookup *lookup = g_new(struct job_lookup, 1);
    *lookup = (struct job_lookup){replica, id};
    replica->lookups_in_flight++;
    char *key = key_job(id);
    kv_client_get(replica->kv, KV_LANE_NORMAL, key, ANSWER_MS, LANE_WAIT_MS, lookup_on_response,
                  lookup);
    g_free(key);
}

/* A job that another one needs may have been over for so long that it was not kept. */
void replica_lookup_unknown_jobs(struct replica *replica)
{
    mono_time now = loop_now(replica->loop);
    if (!replica->is_ready || replica->reload_seen_keys || replica->lookups_in_flight ||
        time_ms_since(now, replica->lookup_started_at) < LOOKUP_INTERVAL_MS)
        return;
    replica->lookup_started_at = now;
    job_dag_foreach_unknown(replica->job_dag, lookup_job, replica);
}
