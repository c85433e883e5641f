/** HTTP/1.1: a parser, a server, and a client with a connection pool. */
#ifndef LL_HTTP_H
#define LL_HTTP_H

#include "event_loop.h"

/** The status codes that this service sends or handles specially. */
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

/** Returns the reason phrase of a status code, or "Status" for a code that this service does not
 * send. */
const char *http_status_text(int status);

/* ---- parser ---- */

/** The result of parsing the input that has arrived so far. */
enum http_parse_result {
    HTTP_PARSE_INCOMPLETE, /**< more input is needed */
    HTTP_PARSE_DONE,
    HTTP_PARSE_MALFORMED,
    HTTP_PARSE_TOO_LARGE,
};

/** The start line, and the header fields that this service uses. */
struct http_head {
    char method[12];        /**< only of a request */
    char target[1024];      /**< only of a request: path and query */
    int status;             /**< only of a response */
    int64_t content_length; /**< in bytes; -1 if the field is absent */
    bool is_chunked, closes_connection;
    int retry_after_s;
    size_t head_bytes; /**< includes the blank line */
};

/** Parses the head of a request or a response. `head` is set when the head is complete. */
enum http_parse_result http_parse_head(const char *data, size_t length, bool is_response,
                                       struct http_head *head);
/** Decodes a chunked body into `out`. `consumed_bytes` is set when the body is complete.
 * @param max_body_bytes the maximum size of the decoded body */
enum http_parse_result http_parse_chunks(const char *data, size_t length, size_t max_body_bytes,
                                         GString *out, size_t *consumed_bytes);

/* ---- server ---- */

/** Identifies a server connection that waits for a response. If the connection has been closed
 * before the response is sent, the response is dropped. */
typedef struct {
    uint64_t value;
} connection_ref;

/** A received request. Its strings are valid only during the call of the handler. */
struct http_request {
    const char *method;
    const char *path;  /**< without the query */
    const char *query; /**< "" if there is none */
    const char *body;
    size_t body_bytes;
    const char *forwarded_by; /**< label of the node that forwarded it; NULL if none did */
};

/** The interface that takes responses. The server implements it, and tests have implementations of
 * their own. */
struct http_responder {
    /** Sends the response to a request; it may be called during the handler or later.
     * `header_lines` are complete header lines with their line ends, or NULL. */
    void (*respond)(struct http_responder *self, connection_ref to, int status,
                    const char *header_lines, const char *body, size_t body_bytes);
};

/** Handles a request. It passes the response to the responder, during the call or later. */
typedef void (*http_handler)(void *context, struct http_responder *responder, connection_ref from,
                             const struct http_request *request);

/** Resource limits and timeouts of a server. */
struct http_server_limits {
    int max_connections;
    size_t max_body_bytes;
    int idle_timeout_ms, request_timeout_ms;
};

/** A listening server with its connections. */
struct http_server;

/** Creates a server that listens on an address. On failure it returns NULL and sets `error` to a
 * message that the caller frees. */
struct http_server *http_server_new(struct loop *loop, const char *address,
                                    struct http_server_limits limits, http_handler handler,
                                    void *context, char **error);
/** Closes all connections and frees the server. */
void http_server_free(struct http_server *server);

/* ---- client ---- */

/** Values that http_response.status has instead of an HTTP status code. */
enum {
    HTTP_NO_RESPONSE = 0, /**< the request may have been executed, or may still be */
    HTTP_NOT_SENT = -1,   /**< the request was certainly not executed */
};

/** The outcome of a request. The body is valid only during the callback. */
struct http_response {
    int status; /**< or HTTP_NO_RESPONSE, HTTP_NOT_SENT */
    const char *body;
    size_t body_bytes;
    int retry_after_s;
};

/** Receives the outcome of a request. */
typedef void (*http_response_callback)(void *arg, const struct http_response *response);

/** A request to send. The client copies it. */
struct http_client_request {
    const char *address, *method, *path;
    const char *body; /**< NULL if the request has no body */
    size_t body_bytes;
    int timeout_ms;
};

/** The interface for outgoing requests. Tests replace it by scripted peers. */
struct http_client {
    /** Sends a request. The callback is called exactly once; with HTTP_NOT_SENT, it may be called
     * before this function returns. */
    void (*request)(struct http_client *self, const struct http_client_request *request,
                    http_response_callback callback, void *callback_arg);
};

/** Resource limits and timeouts of a client. */
struct http_client_limits {
    int max_connections;             /**< in total */
    int max_connections_per_address; /**< to one address at the same time */
    int max_queued_requests;         /**< waiting for a connection, in total */
    size_t max_response_bytes;       /**< of the body of one response */
    int connect_timeout_ms, idle_timeout_ms;
};

/** Creates a client with a pool of connections. */
struct http_client *http_client_new(struct loop *loop, struct http_client_limits limits);
/** Frees a client of http_client_new. Outstanding requests are dropped without a callback. */
void http_client_free(struct http_client *http_client);
/** Exempts one address from the limits on all connections and on all queued requests. Otherwise
 * connections to many unreachable machines could block those to the key-value store. */
void http_client_exempt_from_pool_limits(struct http_client *http_client, const char *address);

#endif
