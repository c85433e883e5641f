/** HTTP/1.1: a parser, a server and a client with a pool of connections. */
#ifndef LL_HTTP_H
#define LL_HTTP_H

#include "event_loop.h"

/** The statuses that this service sends, and those that it tells apart. */
enum http_status {
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_CREATED = 201,
    HTTP_STATUS_BAD_REQUEST = 400,
    HTTP_STATUS_NOT_FOUND = 404,
    HTTP_STATUS_METHOD_NOT_ALLOWED = 405,
    HTTP_STATUS_REQUEST_TIMEOUT = 408,
    HTTP_STATUS_CONFLICT = 409,
    HTTP_STATUS_GONE = 410,
    HTTP_STATUS_BODY_TOO_LARGE = 413,
    HTTP_STATUS_MISDIRECTED = 421,
    HTTP_STATUS_UNPROCESSABLE = 422,
    HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    HTTP_STATUS_HEAD_TOO_LARGE = 431,
    HTTP_STATUS_UNAVAILABLE = 503,
};

/** The reason phrase of a status; "Status" for one that this service does not send. */
const char *http_status_text(int status);

/* ---- parser ---- */

enum http_parse_result {
    HTTP_PARSE_INCOMPLETE, /**< more input is needed */
    HTTP_PARSE_DONE,
    HTTP_PARSE_MALFORMED,
    HTTP_PARSE_TOO_LARGE,
};

/** The start line and those header fields that matter here. */
struct http_head {
    char method[12];        /**< of a request */
    char target[1024];      /**< of a request: path and query */
    int status;             /**< of a response */
    int64_t content_length; /**< in bytes; -1: not given */
    bool is_chunked, closes_connection;
    int retry_after_s;
    size_t head_bytes; /**< up to and with the blank line */
};

/** Parses the head of a request or a response. `head` is set once the head is whole. */
enum http_parse_result http_parse_head(const char *data, size_t length, bool is_response,
                                       struct http_head *head);
/** Parses a chunked body into `out`. `consumed_bytes` is set once the body is whole.
 * @param limit the largest body, in bytes */
enum http_parse_result http_parse_chunks(const char *data, size_t length, size_t max_body_bytes,
                                         GString *out, size_t *consumed_bytes);

/* ---- server ---- */

/** Identifies a connection that waits for its response. The connection may have been closed by
 * then; the response is dropped in that case. */
typedef struct {
    uint64_t value;
} connection_ref;

/** A request. Its texts are valid for the call of the handler only. */
struct http_request {
    const char *method;
    const char *path;  /**< without the query */
    const char *query; /**< "" when there is none */
    const char *body;
    size_t body_bytes;
    const char *forwarded_by; /**< the node that has forwarded it; NULL: it came directly */
};

/** Where responses go. The server is one; tests have their own. */
struct http_responder {
    /** Sends the response to a request, now or later. `header_lines` are whole header lines, or
     * NULL. */
    void (*respond)(struct http_responder *self, connection_ref to, int status,
                    const char *header_lines, const char *body, size_t body_bytes);
};

/** Handles a request; the response goes to the responder, within the call or later. */
typedef void (*http_handler)(void *context, struct http_responder *responder, connection_ref from,
                             const struct http_request *request);

/** What a server takes, and for how long it waits. */
struct http_server_limits {
    int max_connections;
    size_t max_body_bytes;
    int idle_timeout_ms, request_timeout_ms;
};

struct http_server;

/** Listens on an address. NULL if that is not possible, with a message that the caller frees. */
struct http_server *http_server_new(struct loop *loop, const char *address,
                                    struct http_server_limits limits, http_handler handler,
                                    void *context, char **error);
void http_server_free(struct http_server *server);

/* ---- client ---- */

/** In place of a status. */
enum {
    HTTP_NO_RESPONSE = 0, /**< the request may have been carried out, or may be later */
    HTTP_NOT_SENT = -1,   /**< the request was surely not carried out */
};

/** A response. Its body is valid for the call only. */
struct http_response {
    int status; /**< or HTTP_NO_RESPONSE, HTTP_NOT_SENT */
    const char *body;
    size_t body_bytes;
    int retry_after_s;
};

typedef void (*http_response_callback)(void *arg, const struct http_response *response);

/** A request to send; it is copied. */
struct http_client_request {
    const char *address, *method, *path;
    const char *body; /**< NULL: none */
    size_t body_bytes;
    int timeout_ms;
};

/** The way out of this process. Tests script the other side. */
struct http_client {
    /** Sends a request. The callback is called once, with HTTP_NOT_SENT also within this call. */
    void (*request)(struct http_client *self, const struct http_client_request *request,
                    http_response_callback callback, void *callback_arg);
};

/** What a client may use, and for how long it waits. */
struct http_client_limits {
    int max_connections;             /**< in all */
    int max_connections_per_address; /**< at once to one address */
    int max_queued_requests;         /**< that wait for a connection, in all */
    size_t max_response_bytes;       /**< of one response */
    int connect_timeout_ms, idle_timeout_ms;
};

struct http_client *http_client_new(struct loop *loop, struct http_client_limits limits);
void http_client_free(struct http_client *http_client);
/** Lifts the limit on connections for one address: connections to many machines that do not respond
 * must not block those to the key-value store. */
void http_client_exempt_from_pool_limits(struct http_client *http_client, const char *address);

#endif
