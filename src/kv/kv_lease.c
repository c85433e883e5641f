/** Requests and renewals of leases. */
#include "kv_client_internal.h"

#include "kv_codec.h"

static void send_lease_request(struct kv_client *kv, const char *path, const char *body,
                               int timeout_ms, http_response_callback callback, void *callback_arg)
{
    struct kv_request request = {
        .priority = KV_PRIORITY_LEASE,
        .method = "POST",
        .path = path,
        .body = body,
        .response_timeout_ms = timeout_ms,
        .queue_timeout_ms = timeout_ms,
    };
    kv_client_send(kv, &request, callback, callback_arg);
}

void kv_client_grant_lease(struct kv_client *kv, int ttl_ms, int timeout_ms,
                           http_response_callback callback, void *callback_arg)
{
    char *body = kv_encode_lease_request(ttl_ms);
    send_lease_request(kv, "/grants", body, timeout_ms, callback, callback_arg);
    g_free(body);
}

void kv_client_renew_lease(struct kv_client *kv, lease_id lease, int timeout_ms,
                           http_response_callback callback, void *callback_arg)
{
    char *path = g_strdup_printf("/grants/%" G_GUINT64_FORMAT "/renew", lease.value);
    send_lease_request(kv, path, "{}", timeout_ms, callback, callback_arg);
    g_free(path);
}
