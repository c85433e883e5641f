#include "api_internal.h"

/* What a cancelled job's tasks take has to stay known until they are gone, but no more than that:
 * of a job that was stored when more was allowed the rest is left out, as nothing of it starts
 * again.
 */
void request_write_cancel(struct ask *ask, struct job *job)
{
    json_object *spec = codec_spec_write(job->spec);
    json_object *value = request_job_value(spec, job->submitted.ms, true);
    json_object_put(spec);
    if (value_size(value) > store_limits(ask->frontend->store)->value_bytes) {
        struct spec s = *job->spec;
        s.job_class = s.image = "-";
        s.type_names = NULL;
        s.zone = NULL;
        s.n_awaits = 0;
        json_object_put(value);
        spec = codec_spec_write(&s);
        value = request_job_value(spec, job->submitted.ms, true);
        json_object_put(spec);
    }
    peers_cancel_sent(ask->frontend->peers, ask->job);
    request_write_job(ask, job->stamp, value);
}
