/**
 * @file
 * Sends calls to the cloud, and keeps their rate below the cloud's limit with a token bucket.
 */
#include "cloud_provider_internal.h"

enum { CALL_TIMEOUT_MS = 4000 };

/** The share of the cloud's rate limit that this client uses. */
static const double RATE_LIMIT_SHARE = 0.9;

/** The capacity of the token bucket: BURST_S seconds of calls at the limit, plus part of a call. */
static const double BURST_S = 1.5, BURST_EXTRA_CALLS = 0.5;

void cloud_call_bucket_init(struct cloud_provider *cloud)
{
    double limit_per_s = cloud->settings->cloud_requests_per_s;
    cloud->call_bucket =
        token_bucket_make(limit_per_s * RATE_LIMIT_SHARE, limit_per_s * BURST_S + BURST_EXTRA_CALLS,
                          limit_per_s, loop_now(cloud->loop));
}

bool cloud_provider_may_call(struct cloud_provider *cloud)
{
    token_bucket_refill(&cloud->call_bucket, loop_now(cloud->loop));
    return token_bucket_has_token(&cloud->call_bucket);
}

struct cloud_call *cloud_call_new(struct cloud_provider *cloud)
{
    struct cloud_call *call = g_new0(struct cloud_call, 1);
    call->cloud = cloud;
    call->generation = cloud->generation;
    return call;
}

bool cloud_call_is_current(const struct cloud_call *call)
{
    return call->generation == call->cloud->generation;
}

void cloud_call_send(struct cloud_call *call, const char *method, const char *path,
                     const char *body, http_response_callback callback)
{
    struct cloud_provider *cloud = call->cloud;
    token_bucket_take(&cloud->call_bucket, 1);
    struct http_client_request request = {
        cloud->settings->cloud_address, method,         path, body,
        body ? strlen(body) : 0,        CALL_TIMEOUT_MS};
    cloud->http_client->request(cloud->http_client, &request, callback, call);
}

json_object *cloud_response_parse(const struct http_response *response)
{
    if (response->status != HTTP_STATUS_OK)
        return NULL;
    return json_parse(response->body, response->body_bytes);
}
