/**
 * Reads of evicted jobs: jobs that another job depends on, but that finished so long ago that they
 * are no longer in memory.
 */
#include "kv_codec.h"
#include "replica_internal.h"

enum {
    /** The minimum interval between two rounds of reads. */
    LOOKUP_INTERVAL_MS = 1000,
    MAX_LOOKUPS_IN_FLIGHT = 16,
};

/** A read of one job that is in flight. */
struct job_lookup {
    struct replica *replica;
    job_id job;
};

static void lookup_on_response(void *arg, const struct http_response *response)
{
    struct job_lookup *lookup = arg;
    struct replica *replica = lookup->replica;
    json_object *body = kv_parse_response(response), *value = NULL;
    revision mod_revision;
    replica->internal->lookup.in_flight--;
    if (kv_decode_value(body, &value, &mod_revision)) {
        char *key = key_job(lookup->job);
        if (replica_may_apply_early(replica, key, value)) {
            replica_apply(replica, key, value, mod_revision);
            replica_publish_events(replica);
        }
        g_free(key);
    }
    json_object_put(body);
    g_free(lookup);
}

/** job_dag_missing_callback: reads the job unless too many reads are in flight. */
static void lookup_job(void *context, job_id id)
{
    struct replica *replica = context;
    if (replica->internal->lookup.in_flight >= MAX_LOOKUPS_IN_FLIGHT)
        return;
    struct job_lookup *lookup = g_new(struct job_lookup, 1);
    *lookup = (struct job_lookup){replica, id};
    replica->internal->lookup.in_flight++;
    char *key = key_job(id);
    kv_client_get(replica->kv, KV_PRIORITY_NORMAL, key, RESPONSE_TIMEOUT_MS, QUEUE_TIMEOUT_MS,
                  lookup_on_response, lookup);
    g_free(key);
}

void replica_lookup_missing_jobs(struct replica *replica)
{
    struct replica_lookup *lookup = &replica->internal->lookup;
    mono_time now = loop_now(replica->loop);
    if (!replica->is_ready || replica_is_reloading(replica) || lookup->in_flight ||
        time_ms_since(now, lookup->started_at) < LOOKUP_INTERVAL_MS)
        return;
    lookup->started_at = now;
    job_dag_foreach_missing(replica->job_dag, lookup_job, replica);
}
