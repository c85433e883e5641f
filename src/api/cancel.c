#include "api_internal.h"

/* What a cancelled job's tasks take has to stay known until they are gone, but no more than that:
 * of a job that was stored when more was allowed the rest is left out, as nothing of it starts
 * again.
 */
void api_request_write_cancel(struct api_request *request, struct job *job)
{
    json_object *spec = job_spec_encode(job->spec);
    json_object *value = api_encode_live_job(spec, job->submitted_at.ms, true);
    json_object_put(spec);
    if (kv_value_size_bytes(value) > kv_client_limits(request->api->kv)->max_value_bytes) {
        struct job_spec s = *job->spec;
        s.job_class = s.image = "-";
        s.machine_type_names = NULL;
        s.zone = NULL;
        s.dependency_count = 0;
        json_object_put(value);
        spec = job_spec_encode(&s);
        value = api_encode_live_job(spec, job->submitted_at.ms, true);
        json_object_put(spec);
    }
    cancel_broadcast_begin(request->api->cancel_broadcast, request->job);
    api_request_write_job(request, job->mod_revision, value);
}
