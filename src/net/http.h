/* HTTP/1.1: a parser, a server and a client pool. */
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
    HTTP_STATUS_CONFLICT = 409,
    HTTP_STATUS_GONE = 410,
    HTTP_STATUS_MISDIRECTED = 421,
    HTTP_STATUS_UNPROCESSABLE = 422,
    HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    HTTP_STATUS_UNAVAILABLE = 503,
};

/* ---- parser ---- */

enum http_parse_result {
    HTTP_PARSE_INCOMPLETE,
    HTTP_PARSE_DONE,
    HTTP_PARSE_MALFORMED,
    HTTP_PARSE_TOO_LARGE
};

struct http_head {
    char method[12];
    char target[1024];
    int status;             /* of a response */
    int64_t content_length; /* -1: not given */
    bool is_chunked, closes_connection;
    int retry_after_s;
    size_t head_bytes; /* bytes of the head */
};

/* The first line and the fields of a request or a response, up to the blank line. */
enum http_parse_result http_parse_head(const char *data, size_t length, bool is_response,
                                       struct http_head *out);
/* A chunked body. *used is set once it is whole. */
enum http_parse_result http_parse_chunks(const char *data, size_t length, size_t limit,
                                         GString *out, size_t *consumed_bytes);

/* ---- server ---- */

/* Names a connection that waits for its answer. It may be gone by then, which does no harm. */
typedef struct {
    uint64_t value;
} connection_ref;

struct http_request {
    const char *method;
    const char *path;  /* without the query */
    const char *query; /* "" when there is none */
    const char *body;
    size_t body_bytes;
    const char *forwarded_by; /* the node that has handed it on; NULL: it came directly */
};

/* Where answers go. The server is one; tests have their own. */
struct http_responder {
    void (*respond)(struct http_responder *self, connection_ref to, int status, const char *fields,
                    const char *body, size_t len);
};

typedef void (*http_handler)(void *ctx, struct http_responder *responder, connection_ref from,
                             const struct http_request *request);

struct http_server_limits {
    int max_connections;
    size_t max_body_bytes;
    int idle_timeout_ms, request_timeout_ms;
};

struct http_server;
/* NULL with a message when the address cannot be listened on. */
struct http_server *http_server_new(struct loop *loop, const char *address,
                                    struct http_server_limits limits, http_handler handler,
                                    void *ctx, char **error);
void http_server_free(struct http_server *server);

/* ---- client ---- */

enum {
    HTTP_NO_RESPONSE = 0, /* it may have been carried out, or may be later */
    HTTP_NOT_SENT = -1,   /* surely not carried out */
};

struct http_response {
    int status; /* or one of the above */
    const char *body;
    size_t body_bytes;
    int retry_after_s;
};

typedef void (*http_response_callback)(void *arg, const struct http_response *response);

struct http_client_request {
    const char *address, *method, *path, *body; /* body NULL: none */
    size_t body_bytes;
    int timeout_ms;
};

/* The way out of this process. Tests script the other side. */
struct http_client {
    void (*request)(struct http_client *self, const struct http_client_request *request,
                    http_response_callback done, void *arg);
};

struct http_client_limits {
    int max_connections;             /* in all */
    int max_connections_per_address; /* at once to one address */
    int max_queued_requests;         /* requests waiting for a connection, in all */
    size_t max_response_bytes;       /* of one answer */
    int connect_timeout_ms, idle_timeout_ms;
};

/* The client reaches this address whatever the limit on connections: those to others, such as many
 * machines that do not answer, must not stand in the way of those that everything hangs on. */
void http_client_exempt_address(struct http_client *http_client, const char *address);
struct http_client *http_client_new(struct loop *loop, struct http_client_limits limits);
void http_client_free(struct http_client *http_client);

const char *http_status_text(int status);

#endif
