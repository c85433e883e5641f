/** Sends transactions and decodes their outcomes. */
#include "kv_client_internal.h"

#include "kv_codec.h"
#include "log.h"

enum {
    TXN_RESPONSE_TIMEOUT_MS = 2500,
    TXN_QUEUE_TIMEOUT_MS = 2500,
    /** Responses are truncated to this length in the log. */
    MAX_LOGGED_RESPONSE_BYTES = 200,
};

/** A transaction that was passed to the client, with its callback. */
struct txn_call {
    struct kv_client *kv;
    txn_callback callback;
    void *callback_arg;
};

static struct txn_outcome decode_outcome(const struct http_response *response, json_object *body)
{
    struct txn_outcome outcome = {.status = TXN_UNKNOWN};
    switch (response->status) {
    case HTTP_STATUS_OK:
        if (kv_decode_revision(body, &outcome.at_revision))
            outcome.status = TXN_COMMITTED;
        break;
    case HTTP_STATUS_CONFLICT:
        if (kv_decode_revision(body, &outcome.at_revision)) {
            outcome.status = TXN_CONFLICT;
            outcome.failed_keys = kv_decode_failed_keys(body);
        }
        break;
    case HTTP_STATUS_BAD_REQUEST:
        outcome.status = kv_is_lease_expired(body) ? TXN_LEASE_EXPIRED : TXN_REJECTED;
        break;
    case HTTP_STATUS_UNAVAILABLE:
    case HTTP_NOT_SENT:
        outcome.status = TXN_REJECTED;
        break;
    default:
        break;
    }
    return outcome;
}

static void txn_on_response(void *arg, const struct http_response *response)
{
    struct txn_call *call = arg;
    json_object *body =
        response->status > 0 ? json_parse(response->body, response->body_bytes) : NULL;
    struct txn_outcome outcome = decode_outcome(response, body);
    if (outcome.status == TXN_REJECTED && response->status == HTTP_STATUS_BAD_REQUEST) {
        LOG_ERROR("kv_txn_rejected", "response=%.*s",
                  (int)MIN(response->body_bytes, MAX_LOGGED_RESPONSE_BYTES), response->body);
        /* It may have been too large, so further transactions observe the limits announced for
         * later, which are lower. */
        call->kv->limits.is_lowered = true;
    }
    call->callback(call->callback_arg, &outcome);
    if (outcome.failed_keys)
        g_ptr_array_unref(outcome.failed_keys);
    json_object_put(body);
    g_free(call);
}

void kv_client_commit(struct kv_client *kv, enum kv_priority priority, struct txn *txn,
                      txn_callback callback, void *callback_arg)
{
    struct txn_call *call = g_new(struct txn_call, 1);
    *call = (struct txn_call){kv, callback, callback_arg};
    json_object *body = txn_encode(txn);
    struct kv_request request = {
        .priority = priority,
        .method = "POST",
        .path = "/txn",
        .body = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN),
        .response_timeout_ms = TXN_RESPONSE_TIMEOUT_MS,
        .queue_timeout_ms = TXN_QUEUE_TIMEOUT_MS,
        .write_count = (int)txn_write_count(txn),
    };
    kv_client_send(kv, &request, txn_on_response, call);
    json_object_put(body);
    txn_free(txn);
}
