/* HTTP/1.1: a parser, a server and a client pool. */
#ifndef LL_HTTP_H
#define LL_HTTP_H

#include "event_loop.h"

/* ---- parser ---- */

enum http_parsed { HTTP_MORE, HTTP_DONE, HTTP_BAD, HTTP_TOO_LARGE };

struct http_head {
    char method[12];
    char target[1024];
    int status;             /* of a response */
    int64_t content_length; /* -1: not given */
    bool chunked, close;
    int retry_after_s;
    size_t size; /* bytes of the head */
};

/* The first line and the fields of a request or a response, up to the blank line. */
enum http_parsed http_parse_head(const char *data, size_t len, bool response,
                                 struct http_head *out);
/* A chunked body. *used is set once it is whole. */
enum http_parsed http_parse_chunks(const char *data, size_t len, size_t limit, GString *out,
                                   size_t *used);

/* ---- server ---- */

/* Names a connection that waits for its answer. It may be gone by then, which does no harm. */
typedef struct {
    uint64_t v;
} conn_ref;

struct http_request {
    const char *method;
    const char *path;  /* without the query */
    const char *query; /* "" when there is none */
    const char *body;
    size_t body_len;
    const char *via; /* the node that has handed it on; NULL: it came directly */
};

/* Where answers go. The server is one; tests have their own. */
struct http_replier {
    void (*reply)(struct http_replier *self, conn_ref to, int status, const char *fields,
                  const char *body, size_t len);
};

typedef void (*http_handler)(void *ctx, struct http_replier *replier, conn_ref from,
                             const struct http_request *request);

struct http_limits {
    int connections;
    size_t body;
    int idle_ms, request_ms;
};

struct http_server;
/* NULL with a message when the address cannot be listened on. */
struct http_server *http_server_new(struct loop *loop, const char *addr, struct http_limits limits,
                                    http_handler handler, void *ctx, char **error);
void http_server_free(struct http_server *server);

/* ---- client ---- */

enum {
    NET_NO_ANSWER = 0, /* it may have been carried out, or may be later */
    NET_NOT_SENT = -1, /* surely not carried out */
};

struct net_answer {
    int status; /* or one of the above */
    const char *body;
    size_t len;
    int retry_after_s;
};

typedef void (*net_done)(void *arg, const struct net_answer *answer);

struct net_request {
    const char *addr, *method, *path, *body; /* body NULL: none */
    size_t len;
    int timeout_ms;
};

/* The way out of this process. Tests script the other side. */
struct net {
    void (*request)(struct net *self, const struct net_request *request, net_done done, void *arg);
};

struct http_client_limits {
    int connections;    /* in all */
    int per_address;    /* at once to one address */
    int queue;          /* requests waiting for a connection, in all */
    size_t answer_size; /* of one answer */
    int connect_ms, idle_ms;
};

/* The client reaches this address whatever the limit on connections: those to others, such as many
 * machines that do not answer, must not stand in the way of those that everything hangs on. */
void http_client_keep(struct net *net, const char *addr);
struct net *http_client_new(struct loop *loop, struct http_client_limits limits);
void http_client_free(struct net *net);

const char *http_status_text(int status);

#endif
