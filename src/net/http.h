/** HTTP/1.1: a parser, a server, and a client with a connection pool. */
#ifndef LL_HTTP_H
#define LL_HTTP_H

#include "event_loop.h"

/** The statuses that this program answers with or tells apart. */
enum http_status {
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_CREATED = 201,
    HTTP_STATUS_BAD_REQUEST = 400,
    HTTP_STATUS_NOT_FOUND = 404,
    HTTP_STATUS_METHOD_NOT_ALLOWED = 405,
    HTTP_STATUS_REQUEST_TIMEOUT = 408,
    HTTP_STATUS_CONFLICT = 409,
    HTTP_STATUS_GONE = 410,
    HTTP_STATUS_CONTENT_TOO_LARGE = 413,
    HTTP_STATUS_MISDIRECTED = 421,
    HTTP_STATUS_UNPROCESSABLE = 422,
    HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    HTTP_STATUS_HEADER_TOO_LARGE = 431,
    HTTP_STATUS_UNAVAILABLE = 503,
};

/* ---- parser ---- */

enum http_parse_result {
    /** More bytes are needed. */
    HTTP_PARSE_INCOMPLETE,
    HTTP_PARSE_DONE,
    HTTP_PARSE_MALFORMED,
    HTTP_PARSE_TOO_LARGE
};

/** The head of a request or a response. */
struct http_head {
    char method[12];
    char target[1024];
    /** Of a response. */
    int status;
    /** -1: not given. */
    int64_t content_length;
    bool is_chunked;
    /** The connection is closed afterwards. */
    bool closes_connection;
    int retry_after_s;
    /** The length of the head itself. */
    size_t head_bytes;
};

/** Parses the first line and the fields of a request or a response, up to the blank line. */
enum http_parse_result http_parse_head(const char *data, size_t length, bool is_response,
                                       struct http_head *head);
/** Parses a chunked body into a text; consumed_bytes is set once it is whole. */
enum http_parse_result http_parse_chunks(const char *data, size_t length, size_t limit,
                                         GString *out, size_t *consumed_bytes);

/* ---- server ---- */

/** Names a connection that waits for its response. It may be closed meanwhile, which is harmless.
 */
typedef struct {
    uint64_t value;
} connection_ref;

/** A request; valid for the call of the handler. */
struct http_request {
    const char *method;
    /** Without the query. */
    const char *path;
    /** "": there is none. */
    const char *query;
    const char *body;
    size_t body_bytes;
    /** Label of the node that has forwarded it; NULL: it came directly. */
    const char *forwarded_by;
};

/** Where responses go: the server, or a stand-in in tests. */
struct http_responder {
    /** fields: further header lines, each with its line end; NULL: none. */
    void (*respond)(struct http_responder *self, connection_ref to, int status, const char *fields,
                    const char *body, size_t body_bytes);
};

typedef void (*http_handler)(void *ctx, struct http_responder *responder, connection_ref from,
                             const struct http_request *request);

struct http_server_limits {
    int max_connections;
    size_t max_body_bytes;
    int idle_timeout_ms, request_timeout_ms;
};

struct http_server;
/** Listens on HOST:PORT. NULL, with a message in error, when that is not possible. */
struct http_server *http_server_new(struct loop *loop, const char *address,
                                    struct http_server_limits limits, http_handler handler,
                                    void *ctx, char **error);
void http_server_free(struct http_server *server);

/* ---- client ---- */

/** In place of a status. */
enum {
    /** The request may have been carried out, or may still be. */
    HTTP_NO_RESPONSE = 0,
    /** The request was not carried out, and will not be. */
    HTTP_NOT_SENT = -1,
};

/** A response; valid for the callback. */
struct http_response {
    /** An HTTP status, HTTP_NO_RESPONSE or HTTP_NOT_SENT. */
    int status;
    const char *body;
    size_t body_bytes;
    int retry_after_s;
};

typedef void (*http_response_callback)(void *arg, const struct http_response *response);

struct http_client_request {
    const char *address, *method, *path;
    /** NULL: none. */
    const char *body;
    size_t body_bytes;
    int timeout_ms;
};

/** Sends requests of this process; tests have a stand-in. */
struct http_client {
    /** Copies the request. The callback is called exactly once, perhaps before this returns. */
    void (*request)(struct http_client *self, const struct http_client_request *request,
                    http_response_callback callback, void *arg);
};

struct http_client_limits {
    int max_connections;
    int max_connections_per_address;
    /** Requests that wait for a connection, for all addresses. */
    int max_queued_requests;
    size_t max_response_bytes;
    int connect_timeout_ms, idle_timeout_ms;
};

/** A client with a pool of connections. */
struct http_client *http_client_new(struct loop *loop, struct http_client_limits limits);
/** Only for clients of http_client_new. Requests under way are not called back. */
void http_client_free(struct http_client *http_client);
/**
 * Exempts an address from the limits on all connections and queued requests, so that addresses on
 * which everything depends are reached even when many machines do not answer.
 */
void http_client_exempt_address(struct http_client *http_client, const char *address);

/** The reason phrase of a status. */
const char *http_status_text(int status);

#endif
