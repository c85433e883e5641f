#define _GNU_SOURCE /* accept4 */
#include "http.h"
#include "idle.h"
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

static void conn_read(struct conn *c);

static void conn_close(struct conn *c)
{
    struct http_server *s = c->server;
    idle_set(&c->server->idle, &c->idle, false);
    timer_stop(s->loop, &c->timer);
    loop_unwatch(s->loop, &c->io);
    close(c->io.fd);
    g_byte_array_unref(c->in);
    g_string_free(c->out, TRUE);
    g_hash_table_remove(s->conns, &c->ref.v);
    loop_free_later(s->loop, c);
}

/* What is read next is a new request, or the rest of one. */
static void conn_await_request(struct conn *c)
{
    c->state = CONN_READING;
    idle_set(&c->server->idle, &c->idle, c->in->len == 0);
    timer_start(c->server->loop, &c->timer,
                c->in->len ? c->server->limits.request_ms : c->server->limits.idle_ms);
}

static void conn_write(struct conn *c)
{
    while (c->out_at < c->out->len) {
        ssize_t n = send(c->io.fd, c->out->str + c->out_at, c->out->len - c->out_at, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!c->want_write) {
                c->want_write = true;
                loop_rewatch(c->server->loop, &c->io, EPOLLIN | EPOLLOUT);
            }
            return;
        }
        if (n < 0) {
            conn_close(c);
            return;
        }
        c->out_at += n;
    }
    if (c->close_after) {
        conn_close(c);
        return;
    }
    if (c->want_write) {
        c->want_write = false;
        loop_rewatch(c->server->loop, &c->io, EPOLLIN);
    }
    g_string_truncate(c->out, 0);
    c->out_at = 0;
    conn_await_request(c);
    if (c->in->len)
        conn_read(c);
}

static void conn_answer(struct conn *c, int status, const char *fields, const char *body,
                        size_t len)
{
    g_string_printf(c->out,
                    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n",
                    status, http_status_text(status), len);
    if (fields)
        g_string_append(c->out, fields);
    if (c->close_after)
        g_string_append(c->out, "Connection: close\r\n");
    g_string_append(c->out, "\r\n");
    g_string_append_len(c->out, body, len);
    c->state = CONN_WRITING;
    timer_start(c->server->loop, &c->timer, c->server->limits.request_ms);
    conn_write(c);
}

static void conn_refuse(struct conn *c, int status)
{
    c->close_after = true;
    conn_answer(c, status, NULL, "{}", 2);
}

/* Hands over the request at the front of the buffer, once it is whole. */
static void conn_parse(struct conn *c)
{
    struct http_server *s = c->server;
    struct http_head h;
    const char *data = (const char *)c->in->data;
    switch (http_parse_head(data, c->in->len, false, &h)) {
    case HTTP_MORE:
        return;
    case HTTP_BAD:
        conn_refuse(c, 400);
        return;
    case HTTP_TOO_LARGE:
        conn_refuse(c, 431);
        return;
    case HTTP_DONE:
        break;
    }
    GString *unchunked = NULL;
    const char *body = data + h.size;
    size_t body_len = 0, used = 0;
    if (h.chunked) {
        unchunked = g_string_new(NULL);
        enum http_parsed r =
            http_parse_chunks(body, c->in->len - h.size, s->limits.body, unchunked, &used);
        if (r != HTTP_DONE) {
            g_string_free(unchunked, TRUE);
            if (r == HTTP_TOO_LARGE || c->in->len > h.size + s->limits.body * 2)
                conn_refuse(c, 413);
            else if (r == HTTP_BAD)
                conn_refuse(c, 400);
            return;
        }
        body = unchunked->str;
        body_len = unchunked->len;
    } else if (h.content_length > 0) {
        if ((uint64_t)h.content_length > s->limits.body) {
            conn_refuse(c, 413);
            return;
        }
        if (c->in->len - h.size < (size_t)h.content_length)
            return;
        body_len = used = h.content_length;
    }
    char *text = g_strndup(body, body_len);
    g_byte_array_remove_range(c->in, 0, h.size + used);
    if (unchunked)
        g_string_free(unchunked, TRUE);
    c->close_after = h.close;
    c->state = CONN_WAITING;
    idle_set(&c->server->idle, &c->idle, false);
    timer_stop(s->loop, &c->timer);
    char *query = strchr(h.target, '?');
    if (query)
        *query++ = 0;
    struct http_request request = {h.method, h.target, query ? query : "", text, body_len, NULL};
    s->handler(s->ctx, &s->replier, c->ref, &request);
    g_free(text);
}

static void conn_read(struct conn *c)
{
    size_t before = c->in->len;
    if (c->state != CONN_READING)
        return;
    if (before) {
        idle_set(&c->server->idle, &c->idle, false);
        conn_parse(c);
    }
}

static void conn_ready(struct loop_io *io, uint32_t events)
{
    struct conn *c = (struct conn *)io;
    if (events & EPOLLOUT) {
        conn_write(c);
        return;
    }
    char buf[16384];
    ssize_t n = recv(io->fd, buf, sizeof buf, 0);
    loop_refresh(c->server->loop);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(c);
        return;
    }
    /* There is no pipelining: whoever sends on while an answer is due gets no more room. */
    if (c->state != CONN_READING && c->in->len + n > 16384) {
        conn_close(c);
        return;
    }
    bool first = c->in->len == 0;
    g_byte_array_append(c->in, (guint8 *)buf, n);
    if (c->state != CONN_READING)
        return;
    if (first)
        timer_start(c->server->loop, &c->timer, c->server->limits.request_ms);
    conn_read(c);
}

static void conn_timeout(void *arg)
{
    struct conn *c = arg;
    if (c->state == CONN_READING && c->in->len) {
        conn_refuse(c, 408);
        return;
    }
    conn_close(c);
}

static void server_reply(struct http_replier *r, conn_ref to, int status, const char *fields,
                         const char *body, size_t len)
{
    struct http_server *s = (struct http_server *)r;
    struct conn *c = g_hash_table_lookup(s->conns, &to.v);
    if (c && c->state == CONN_WAITING)
        conn_answer(c, status, fields, body, len);
}

static void server_accept(struct loop_io *io, uint32_t events)
{
    (void)events;
    struct http_server *s = (struct http_server *)((char *)io - offsetof(struct http_server, io));
    for (int i = 0; i < 16; i++) {
        int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            /* No socket left: make room by dropping the connection that has idled longest. */
            if ((errno == EMFILE || errno == ENFILE) && s->idle.head)
                conn_close(s->idle.head->data);
            return;
        }
        if ((int)g_hash_table_size(s->conns) >= s->limits.connections) {
            if (!s->idle.head) {
                close(fd);
                continue;
            }
            conn_close(s->idle.head->data);
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        struct conn *c = g_new0(struct conn, 1);
        c->io.fd = fd;
        c->io.ready = conn_ready;
        c->server = s;
        c->ref.v = ++s->next_ref;
        c->in = g_byte_array_new();
        c->out = g_string_new(NULL);
        c->idle.place.data = c;
        timer_init(&c->timer, conn_timeout, c);
        g_hash_table_insert(s->conns, &c->ref.v, c);
        loop_watch(s->loop, &c->io, EPOLLIN);
        conn_await_request(c);
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
    struct http_server *s = g_new0(struct http_server, 1);
    s->replier.reply = server_reply;
    s->loop = loop;
    s->limits = limits;
    s->handler = handler;
    s->ctx = ctx;
    s->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&s->idle);
    s->io.fd = fd;
    s->io.ready = server_accept;
    loop_watch(loop, &s->io, EPOLLIN);
    return s;
}

void http_server_free(struct http_server *s)
{
    GList *all = g_hash_table_get_values(s->conns);
    for (GList *l = all; l; l = l->next)
        conn_close(l->data);
    g_list_free(all);
    loop_unwatch(s->loop, &s->io);
    close(s->io.fd);
    g_hash_table_unref(s->conns);
    g_free(s);
}
