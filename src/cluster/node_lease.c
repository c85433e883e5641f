/**
 * @file
 * Obtains and renews the lease to which this process's keys are attached.
 */
#include "node_lease.h"

#include "kv_codec.h"
#include "log.h"
#include "retry_backoff.h"

enum {
    LEASE_TTL_MS = 4000,
    RENEW_INTERVAL_MS = 1000,
    /** Delay before a renewal that failed is sent again. */
    RENEW_RETRY_MIN_DELAY_MS = 200,
    RENEW_RETRY_MAX_DELAY_MS = 400,
    /** Delay before a lease is requested after a request failed or the lease was lost. */
    GRANT_RETRY_MIN_DELAY_MS = 20,
    GRANT_RETRY_MAX_DELAY_MS = 200,
    GRANT_TIMEOUT_MS = 1500,
    RENEW_TIMEOUT_MS = 1000,
    /** This node's clock may be slower than the store's by 0.1%. */
    CLOCK_MARGIN_MS = LEASE_TTL_MS / 1000 + 1,
};

struct node_lease {
    struct node_lease_setup setup;
    /** 0 if there is no lease. */
    lease_id id;
    /** The time until which the lease is certain not to expire. */
    mono_time valid_until;
    mono_time request_sent_at;
    bool request_in_flight;
    /** Requests for a lease that failed since the process last obtained one. */
    unsigned failed_requests;
    struct timer renew_timer;
    struct retry_backoff renew_backoff;
    /** Runs while a lease must not be requested again yet. */
    struct timer grant_timer;
    /** Counts failed requests and lost leases since a lease was last renewed. */
    struct retry_backoff grant_backoff;
};

static void on_renew_timer(void *arg);
static void on_grant_timer(void *arg);

struct node_lease *node_lease_new(const struct node_lease_setup *setup)
{
    struct node_lease *lease = g_new0(struct node_lease, 1);
    lease->setup = *setup;
    timer_init(&lease->renew_timer, on_renew_timer, lease);
    timer_init(&lease->grant_timer, on_grant_timer, lease);
    lease->renew_backoff = retry_backoff_make(RENEW_RETRY_MIN_DELAY_MS, RENEW_RETRY_MAX_DELAY_MS);
    lease->grant_backoff = retry_backoff_make(GRANT_RETRY_MIN_DELAY_MS, GRANT_RETRY_MAX_DELAY_MS);
    return lease;
}

void node_lease_free(struct node_lease *lease)
{
    timer_stop(lease->setup.loop, &lease->renew_timer);
    timer_stop(lease->setup.loop, &lease->grant_timer);
    g_free(lease);
}

lease_id node_lease_get_id(const struct node_lease *lease)
{
    return lease->id;
}

bool node_lease_is_valid(const struct node_lease *lease)
{
    return time_before(loop_now(lease->setup.loop), lease->valid_until);
}

/** Returns the name of a reason in the log. */
static const char *lease_loss_name(enum lease_loss_reason reason)
{
    switch (reason) {
    case LEASE_EXPIRED:
        return "ended";
    case LEASE_REFUSED:
        return "refused";
    case LEASE_KEY_LOST:
        return "key gone";
    }
    return "unknown";
}

/** Delays the next request for a lease. */
static void delay_next_request(struct node_lease *lease)
{
    int64_t delay_ms = retry_backoff_next_ms(&lease->grant_backoff, lease->setup.loop);
    timer_start(lease->setup.loop, &lease->grant_timer, delay_ms);
}

void node_lease_drop(struct node_lease *lease, enum lease_loss_reason reason)
{
    if (!lease->id.value)
        return;
    LOG_INFO("lease_lost", "lease=%" G_GUINT64_FORMAT " why=%s", lease->id.value,
             lease_loss_name(reason));
    lease->id.value = 0;
    lease->valid_until = (mono_time){0};
    timer_stop(lease->setup.loop, &lease->renew_timer);
    delay_next_request(lease);
    lease->setup.on_lost(lease->setup.ctx);
}

/**
 * Extends the validity of the lease after a successful request. The store counts the TTL from when
 * it received the request, which is no earlier than when the request was sent.
 */
static void extend_validity(struct node_lease *lease)
{
    lease->valid_until = time_add_ms(lease->request_sent_at, LEASE_TTL_MS - CLOCK_MARGIN_MS);
}

static void mark_request_sent(struct node_lease *lease)
{
    lease->request_in_flight = true;
    lease->request_sent_at = loop_now(lease->setup.loop);
}

/** Counts a failed request for a lease. Logs it if the count is a power of two, so that the log
 * shows how fast requests fail without a line for each. */
static void count_failed_request(struct node_lease *lease, int status)
{
    lease->failed_requests++;
    if ((lease->failed_requests & (lease->failed_requests - 1)) == 0)
        LOG_INFO("lease_request_failed", "status=%d failures=%u", status, lease->failed_requests);
}

static void on_granted(void *arg, const struct http_response *response)
{
    struct node_lease *lease = arg;
    lease->request_in_flight = false;
    json_object *body = kv_parse_response(response);
    if (kv_decode_lease(body, &lease->id)) {
        extend_validity(lease);
        lease->failed_requests = 0;
        timer_start(lease->setup.loop, &lease->renew_timer, RENEW_INTERVAL_MS);
    } else {
        count_failed_request(lease, response->status);
        delay_next_request(lease);
    }
    json_object_put(body);
    lease->setup.on_change(lease->setup.ctx);
}

void node_lease_request(struct node_lease *lease)
{
    if (lease->request_in_flight || lease->id.value || lease->grant_timer.queue_position)
        return;
    mark_request_sent(lease);
    kv_client_grant_lease(lease->setup.kv, LEASE_TTL_MS, GRANT_TIMEOUT_MS, on_granted, lease);
}

static void on_grant_timer(void *arg)
{
    node_lease_request(arg);
}

/** Starts the timer of the next renewal. */
static void schedule_renewal(struct node_lease *lease, bool is_renewed)
{
    int64_t delay_ms = RENEW_INTERVAL_MS;
    if (is_renewed)
        retry_backoff_reset(&lease->renew_backoff);
    else
        delay_ms = retry_backoff_next_ms(&lease->renew_backoff, lease->setup.loop);
    timer_start(lease->setup.loop, &lease->renew_timer, delay_ms);
}

static void on_renewed(void *arg, const struct http_response *response)
{
    struct node_lease *lease = arg;
    lease->request_in_flight = false;
    if (!lease->id.value)
        return;
    if (response->status == HTTP_STATUS_NOT_FOUND) {
        node_lease_drop(lease, LEASE_EXPIRED);
        lease->setup.on_change(lease->setup.ctx);
        return;
    }
    bool is_renewed = response->status == HTTP_STATUS_OK;
    if (is_renewed) {
        extend_validity(lease);
        retry_backoff_reset(&lease->grant_backoff);
    }
    schedule_renewal(lease, is_renewed);
}

static void on_renew_timer(void *arg)
{
    struct node_lease *lease = arg;
    if (lease->request_in_flight || !lease->id.value)
        return;
    mark_request_sent(lease);
    kv_client_renew_lease(lease->setup.kv, lease->id, RENEW_TIMEOUT_MS, on_renewed, lease);
}
