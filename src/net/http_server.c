#define _GNU_SOURCE /* accept4 */
#include "http.h"
#include "idle_list.h"
#include "log.h"
#include "settings.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum conn_state { CONN_READING, CONN_WAITING, CONN_WRITING };

struct conn {
    struct loop_io io;
    struct http_server *server;
    conn_ref ref;
    enum conn_state state;
    GByteArray *in;
    GString *out;
    size_t out_at;
    bool close_after, want_write;
    struct timer timer;
    struct idle_place idle;
};

struct http_server {
    struct http_replier replier;
    struct loop *loop;
    struct loop_io io;
    struct http_limits limits;
    http_handler handler;
    void *ctx;
    GHashTable *conns; /* ref -> struct conn */
    GQueue idle;
    uint64_t next_ref;
};

static void conn_read(struct conn *conn);

static void conn_close(struct conn *conn)
{
    struct http_server *server = conn->server;
    idle_set(&conn->server->idle, &conn->idle, false);
    timer_stop(server->loop, &conn->timer);
    loop_unwatch(server->loop, &conn->io);
    close(conn->io.fd);
    g_byte_array_unref(conn->in);
    g_string_free(conn->out, TRUE);
    g_hash_table_remove(server->conns, &conn->ref.v);
    loop_free_later(server->loop, conn);
}

/* What is read next is a new request, or the rest of one. */
static void conn_await_request(struct conn *conn)
{
    conn->state = CONN_READING;
    idle_set(&conn->server->idle, &conn->idle, conn->in->len == 0);
    timer_start(conn->server->loop, &conn->timer,
                conn->in->len ? conn->server->limits.request_ms : conn->server->limits.idle_ms);
}

static void conn_write(struct conn *conn)
{
    while (conn->out_at < conn->out->len) {
        ssize_t n = send(conn->io.fd, conn->out->str + conn->out_at, conn->out->len - conn->out_at,
                         MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!conn->want_write) {
                conn->want_write = true;
                loop_rewatch(conn->server->loop, &conn->io, EPOLLIN | EPOLLOUT);
            }
            return;
        }
        if (n < 0) {
            conn_close(conn);
            return;
        }
        conn->out_at += n;
    }
    if (conn->close_after) {
        conn_close(conn);
        return;
    }
    if (conn->want_write) {
        conn->want_write = false;
        loop_rewatch(conn->server->loop, &conn->io, EPOLLIN);
    }
    g_string_truncate(conn->out, 0);
    conn->out_at = 0;
    conn_await_request(conn);
    if (conn->in->len)
        conn_read(conn);
}

static void conn_answer(struct conn *conn, int status, const char *fields, const char *body,
                        size_t len)
{
    g_string_printf(conn->out,
                    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n",
                    status, http_status_text(status), len);
    if (fields)
        g_string_append(conn->out, fields);
    if (conn->close_after)
        g_string_append(conn->out, "Connection: close\r\n");
    g_string_append(conn->out, "\r\n");
    g_string_append_len(conn->out, body, len);
    conn->state = CONN_WRITING;
    timer_start(conn->server->loop, &conn->timer, conn->server->limits.request_ms);
    conn_write(conn);
}

static void conn_refuse(struct conn *conn, int status)
{
    conn->close_after = true;
    conn_answer(conn, status, NULL, "{}", 2);
}

/* Hands over the request at the front of the buffer, once it is whole. */
static void conn_parse(struct conn *conn)
{
    struct http_server *server = conn->server;
    struct http_head head;
    const char *data = (const char *)conn->in->data;
    switch (http_parse_head(data, conn->in->len, false, &head)) {
    case HTTP_MORE:
        return;
    case HTTP_BAD:
        conn_refuse(conn, 400);
        return;
    case HTTP_TOO_LARGE:
        conn_refuse(conn, 431);
        return;
    case HTTP_DONE:
        break;
    }
    GString *unchunked = NULL;
    const char *body = data + head.size;
    size_t body_len = 0, used = 0;
    if (head.chunked) {
        unchunked = g_string_new(NULL);
        enum http_parsed r = http_parse_chunks(body, conn->in->len - head.size, server->limits.body,
                                               unchunked, &used);
        if (r != HTTP_DONE) {
            g_string_free(unchunked, TRUE);
            if (r == HTTP_TOO_LARGE || conn->in->len > head.size + server->limits.body * 2)
                conn_refuse(conn, 413);
            else if (r == HTTP_BAD)
                conn_refuse(conn, 400);
            return;
        }
        body = unchunked->str;
        body_len = unchunked->len;
    } else if (head.content_length > 0) {
        if ((uint64_t)head.content_length > server->limits.body) {
            conn_refuse(conn, 413);
            return;
        }
        if (conn->in->len - head.size < (size_t)head.content_length)
            return;
        body_len = used = head.content_length;
    }
    char *text = g_strndup(body, body_len);
    g_byte_array_remove_range(conn->in, 0, head.size + used);
    if (unchunked)
        g_string_free(unchunked, TRUE);
    conn->close_after = head.close;
    conn->state = CONN_WAITING;
    idle_set(&conn->server->idle, &conn->idle, false);
    timer_stop(server->loop, &conn->timer);
    char *query = strchr(head.target, '?');
    if (query)
        *query++ = 0;
    struct http_request request = {head.method, head.target, query ? query : "",
                                   text,        body_len,    NULL};
    server->handler(server->ctx, &server->replier, conn->ref, &request);
    g_free(text);
}

static void conn_read(struct conn *conn)
{
    size_t before = conn->in->len;
    if (conn->state != CONN_READING)
        return;
    if (before) {
        idle_set(&conn->server->idle, &conn->idle, false);
        conn_parse(conn);
    }
}

static void conn_ready(struct loop_io *io, uint32_t events)
{
    struct conn *conn = (struct conn *)io;
    if (events & EPOLLOUT) {
        conn_write(conn);
        return;
    }
    char buf[16384];
    ssize_t n = recv(io->fd, buf, sizeof buf, 0);
    loop_refresh(conn->server->loop);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(conn);
        return;
    }
    /* There is no pipelining: whoever sends on while an answer is due gets no more room. */
    if (conn->state != CONN_READING && conn->in->len + n > 16384) {
        conn_close(conn);
        return;
    }
    bool first = conn->in->len == 0;
    g_byte_array_append(conn->in, (guint8 *)buf, n);
    if (conn->state != CONN_READING)
        return;
    if (first)
        timer_start(conn->server->loop, &conn->timer, conn->server->limits.request_ms);
    conn_read(conn);
}

static void conn_timeout(void *arg)
{
    struct conn *conn = arg;
    if (conn->state == CONN_READING && conn->in->len) {
        conn_refuse(conn, 408);
        return;
    }
    conn_close(conn);
}

static void server_reply(struct http_replier *replier, conn_ref to, int status, const char *fields,
                         const char *body, size_t len)
{
    struct http_server *server = (struct http_server *)replier;
    struct conn *conn = g_hash_table_lookup(server->conns, &to.v);
    if (conn && conn->state == CONN_WAITING)
        conn_answer(conn, status, fields, body, len);
}

static void server_accept(struct loop_io *io, uint32_t events)
{
    (void)events;
    struct http_server *server =
        (struct http_server *)((char *)io - offsetof(struct http_server, io));
    for (int i = 0; i < 16; i++) {
        int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            /* No socket left: make room by dropping the connection that has idled longest. */
            if ((errno == EMFILE || errno == ENFILE) && server->idle.head)
                conn_close(server->idle.head->data);
            return;
        }
        if ((int)g_hash_table_size(server->conns) >= server->limits.connections) {
            if (!server->idle.head) {
                close(fd);
                continue;
            }
            conn_close(server->idle.head->data);
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        struct conn *conn = g_new0(struct conn, 1);
        conn->io.fd = fd;
        conn->io.ready = conn_ready;
        conn->server = server;
        conn->ref.v = ++server->next_ref;
        conn->in = g_byte_array_new();
        conn->out = g_string_new(NULL);
        conn->idle.place.data = conn;
        timer_init(&conn->timer, conn_timeout, conn);
        g_hash_table_insert(server->conns, &conn->ref.v, conn);
        loop_watch(server->loop, &conn->io, EPOLLIN);
        conn_await_request(conn);
    }
}

struct http_server *http_server_new(struct loop *loop, const char *addr, struct http_limits limits,
                                    http_handler handler, void *ctx, char **error)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    uint16_t port;
    if (!address_split(addr, &sa.sin_addr.s_addr, &port)) {
        *error = g_strdup_printf("%s: not an address", addr);
        return NULL;
    }
    sa.sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof sa) < 0 || listen(fd, SOMAXCONN) < 0) {
        *error = g_strdup_printf("%s: %s", addr, g_strerror(errno));
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    struct http_server *server = g_new0(struct http_server, 1);
    server->replier.reply = server_reply;
    server->loop = loop;
    server->limits = limits;
    server->handler = handler;
    server->ctx = ctx;
    server->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&server->idle);
    server->io.fd = fd;
    server->io.ready = server_accept;
    loop_watch(loop, &server->io, EPOLLIN);
    return server;
}

void http_server_free(struct http_server *server)
{
    GList *all = g_hash_table_get_values(server->conns);
    for (GList *l = all; l; l = l->next)
        conn_close(l->data);
    g_list_free(all);
    loop_unwatch(server->loop, &server->io);
    close(server->io.fd);
    g_hash_table_unref(server->conns);
    g_free(server);
}
