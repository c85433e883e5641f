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

enum { FEW_PLACES = 2000 };

struct client;
struct place;

struct exchange {
    struct client *client;
    char *bytes; /* the request as it goes out */
    size_t len;
    net_done done;
    void *arg;
    struct place *place;
    struct timer timer;
    struct link *link; /* NULL: waits for a connection */
};

/* One connection. */
struct link {
    struct loop_io io;
    struct client *client;
    struct place *place;
    bool connecting, want_write;
    struct exchange *now;
    size_t sent;
    GByteArray *in;
    struct timer timer; /* connecting, or idle */
    struct idle_place idle;
};

/* One address. */
struct place {
    char *addr;
    GQueue waiting; /* struct exchange */
    GPtrArray *links;
    bool kept;   /* see http_client_keep */
    bool hungry; /* in the client's list of those that wait for a connection of others to end */
};

struct client {
    struct net net;
    struct loop *loop;
    struct http_client_limits limits;
    GHashTable *places;
    guint many_places; /* so many are looked through for some to forget */
    GQueue idle;       /* struct link */
    GQueue hungry;     /* struct place */
    struct timer wake;
    int links, waiting;
};

static void place_go(struct client *c, struct place *p);

static void request_end(struct client *c, struct exchange *r, const struct net_answer *a)
{
    timer_stop(c->loop, &r->timer);
    if (!r->link && g_queue_remove(&r->place->waiting, r))
        c->waiting--;
    net_done done = r->done;
    void *arg = r->arg;
    g_free(r->bytes);
    loop_free_later(c->loop, r);
    done(arg, a);
}

static void wake_soon(struct client *c)
{
    if (c->hungry.head && !c->wake.place)
        timer_start(c->loop, &c->wake, 0);
}

static void link_close(struct link *l)
{
    struct client *c = l->client;
    idle_set(&l->client->idle, &l->idle, false);
    wake_soon(c);
    timer_stop(c->loop, &l->timer);
    loop_unwatch(c->loop, &l->io);
    close(l->io.fd);
    g_byte_array_unref(l->in);
    g_ptr_array_remove_fast(l->place->links, l);
    c->links--;
    loop_free_later(c->loop, l);
}

static void place_free(struct place *p)
{
    g_ptr_array_unref(p->links);
    g_free(p->addr);
    g_free(p);
}

/* Machines come and go: addresses that nothing is sent to any more are forgotten each time their
 * number has doubled. */
static void forget_places(struct client *c)
{
    if (g_hash_table_size(c->places) < c->many_places)
        return;
    GHashTableIter it;
    struct place *p;
    g_hash_table_iter_init(&it, c->places);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p)) {
        if (p->links->len || p->waiting.head || p->kept || p->hungry)
            continue;
        g_hash_table_iter_remove(&it);
        place_free(p);
    }
    c->many_places = MAX(2 * g_hash_table_size(c->places), FEW_PLACES);
}

/* Ends the connection and, with it, what it was carrying. */
static void link_fail(struct link *l)
{
    struct client *c = l->client;
    struct place *p = l->place;
    struct exchange *r = l->now;
    bool sent = l->sent > 0;
    link_close(l);
    if (r) {
        r->link = NULL;
        request_end(c, r, &(struct net_answer){.status = sent ? NET_NO_ANSWER : NET_NOT_SENT});
    }
    place_go(c, p);
}

static void link_write(struct link *l)
{
    struct exchange *r = l->now;
    while (r && l->sent < r->len) {
        ssize_t n = send(l->io.fd, r->bytes + l->sent, r->len - l->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (n < 0) {
            link_fail(l);
            return;
        }
        l->sent += n;
    }
    bool want = r && l->sent < r->len;
    if (want != l->want_write) {
        l->want_write = want;
        loop_rewatch(l->client->loop, &l->io, want ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

static void link_take(struct link *l, struct exchange *r)
{
    idle_set(&l->client->idle, &l->idle, false);
    l->now = r;
    l->sent = 0;
    r->link = l;
    if (!l->connecting) {
        timer_stop(l->client->loop, &l->timer);
        link_write(l);
    }
}

static void link_rests(struct link *l)
{
    idle_set(&l->client->idle, &l->idle, !l->place->kept);
    wake_soon(l->client);
    timer_start(l->client->loop, &l->timer, l->client->limits.idle_ms);
}

static void link_answered(struct link *l, struct http_head *h, const char *body, size_t len,
                          size_t used)
{
    struct client *c = l->client;
    struct place *p = l->place;
    struct exchange *r = l->now;
    char *copy = g_strndup(body, len);
    struct net_answer a = {h->status, copy, len, h->retry_after_s};
    bool close_it = h->close || l->in->len > used || l->sent < r->len;
    l->now = NULL;
    r->link = NULL;
    if (close_it) {
        link_close(l);
    } else {
        g_byte_array_set_size(l->in, 0);
        link_rests(l);
    }
    request_end(c, r, &a);
    g_free(copy);
    place_go(c, p);
}

static void link_parse(struct link *l)
{
    struct http_head h;
    const char *data = (const char *)l->in->data;
    size_t limit = l->client->limits.answer_size;
    enum http_parsed r = http_parse_head(data, l->in->len, true, &h);
    if (r == HTTP_MORE)
        return;
    if (r != HTTP_DONE) {
        link_fail(l);
        return;
    }
    const char *body = data + h.size;
    if (h.chunked) {
        if (memcmp(data + l->in->len - 4, "\r\n\r\n", 4) != 0)
            return; /* long ones are not gone through again and again */
        GString *s = g_string_new(NULL);
        size_t used;
        r = http_parse_chunks(body, l->in->len - h.size, limit, s, &used);
        if (r == HTTP_DONE)
            link_answered(l, &h, s->str, s->len, h.size + used);
        else if (r != HTTP_MORE)
            link_fail(l);
        g_string_free(s, TRUE);
        return;
    }
    size_t len = h.content_length < 0 ? 0 : (size_t)h.content_length;
    if (len > limit) {
        LOG_ERROR("answer_too_large", "addr=%s bytes=%zu", l->place->addr, len);
        link_fail(l);
        return;
    }
    if (l->in->len - h.size >= len)
        link_answered(l, &h, body, len, h.size + len);
}

static void link_ready(struct loop_io *io, uint32_t events)
{
    struct link *l = (struct link *)io;
    if (l->connecting) {
        int err = 0;
        socklen_t n = sizeof err;
        getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &err, &n);
        if (err || (events & (EPOLLERR | EPOLLHUP))) {
            link_fail(l);
            return;
        }
        l->connecting = false;
        l->want_write = true; /* that is how it is being watched */
        timer_stop(l->client->loop, &l->timer);
        if (!l->now)
            link_rests(l);
        link_write(l);
        return;
    }
    if (events & EPOLLOUT) {
        link_write(l);
        if (!io->ready)
            return;
    }
    if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
        return;
    char buf[32768];
    ssize_t n = recv(io->fd, buf, sizeof buf, 0);
    loop_refresh(l->client->loop);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0 || !l->now) {
        link_fail(l);
        return;
    }
    g_byte_array_append(l->in, (guint8 *)buf, n);
    link_parse(l);
}

static void link_timeout(void *arg)
{
    link_fail(arg);
}

static bool link_open(struct client *c, struct place *p, struct exchange *r)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    uint16_t port;
    if (!address_split(p->addr, &sa.sin_addr.s_addr, &port))
        return false;
    sa.sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
    if (fd < 0)
        return false;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&sa, sizeof sa) < 0 && errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    struct link *l = g_new0(struct link, 1);
    l->io.fd = fd;
    l->io.ready = link_ready;
    l->client = c;
    l->place = p;
    l->connecting = true;
    l->in = g_byte_array_new();
    l->idle.place.data = l;
    timer_init(&l->timer, link_timeout, l);
    timer_start(c->loop, &l->timer, c->limits.connect_ms);
    g_ptr_array_add(p->links, l);
    c->links++;
    loop_watch(c->loop, &l->io, EPOLLOUT);
    link_take(l, r);
    return true;
}

static struct link *free_link(struct place *p)
{
    for (guint i = 0; i < p->links->len; i++) {
        struct link *l = p->links->pdata[i];
        if (!l->now && !l->connecting)
            return l;
    }
    return NULL;
}

/* Closes the connection that nobody has used for longest, to any address. */
static bool make_room(struct client *c)
{
    if (!c->idle.head)
        return false;
    link_close(c->idle.head->data);
    return true;
}

static void place_go(struct client *c, struct place *p)
{
    while (p->waiting.head) {
        /* One that is free is used before room is made, which could close that very one. */
        struct link *l = free_link(p);
        if (!l && (int)p->links->len >= c->limits.per_address)
            return;
        if (!l && !p->kept && c->links >= c->limits.connections && !make_room(c)) {
            if (!p->hungry)
                g_queue_push_tail(&c->hungry, p);
            p->hungry = true;
            return;
        }
        struct exchange *r = g_queue_pop_head(&p->waiting);
        c->waiting--;
        if (l) {
            link_take(l, r);
        } else if (!link_open(c, p, r)) {
            r->link = NULL;
            request_end(c, r, &(struct net_answer){.status = NET_NOT_SENT});
        }
    }
}

/* There may be room for those that found none. */
static void wake(void *arg)
{
    struct client *c = arg;
    for (guint n = c->hungry.length; n > 0; n--) {
        struct place *p = g_queue_pop_head(&c->hungry);
        p->hungry = false;
        place_go(c, p);
        if (p->hungry)
            return;
    }
}

static void request_timeout(void *arg)
{
    struct exchange *r = arg;
    if (r->link)
        link_fail(r->link);
    else
        request_end(r->client, r, &(struct net_answer){.status = NET_NOT_SENT});
}

static struct place *place_make(struct client *c, const char *addr)
{
    struct place *p = g_hash_table_lookup(c->places, addr);
    if (p)
        return p;
    forget_places(c);
    p = g_new0(struct place, 1);
    p->addr = g_strdup(addr);
    g_queue_init(&p->waiting);
    p->links = g_ptr_array_new();
    g_hash_table_insert(c->places, p->addr, p);
    return p;
}

void http_client_keep(struct net *net, const char *addr)
{
    place_make((struct client *)net, addr)->kept = true;
}

static void client_request(struct net *net, const struct net_request *q, net_done done, void *arg)
{
    struct client *c = (struct client *)net;
    struct place *p = place_make(c, q->addr);
    if (c->waiting >= c->limits.queue && !p->kept) {
        done(arg, &(struct net_answer){.status = NET_NOT_SENT});
        return;
    }
    GString *s = g_string_sized_new(q->len + 160);
    g_string_printf(s, "%s %s HTTP/1.1\r\nHost: %s\r\n", q->method, q->path, q->addr);
    if (q->body)
        g_string_append_printf(s, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               q->len);
    g_string_append(s, "\r\n");
    if (q->body)
        g_string_append_len(s, q->body, q->len);
    struct exchange *r = g_new0(struct exchange, 1);
    r->client = c;
    r->len = s->len;
    r->bytes = g_string_free(s, FALSE);
    r->done = done;
    r->arg = arg;
    r->place = p;
    timer_init(&r->timer, request_timeout, r);
    timer_start(c->loop, &r->timer, q->timeout_ms);
    g_queue_push_tail(&p->waiting, r);
    c->waiting++;
    place_go(c, p);
}

struct net *http_client_new(struct loop *loop, struct http_client_limits limits)
{
    struct client *c = g_new0(struct client, 1);
    c->net.request = client_request;
    c->loop = loop;
    c->limits = limits;
    c->places = g_hash_table_new(g_str_hash, g_str_equal);
    c->many_places = FEW_PLACES;
    g_queue_init(&c->idle);
    g_queue_init(&c->hungry);
    timer_init(&c->wake, wake, c);
    return &c->net;
}

void http_client_free(struct net *net)
{
    struct client *c = (struct client *)net;
    timer_stop(c->loop, &c->wake);
    g_queue_clear(&c->hungry);
    GHashTableIter it;
    struct place *p;
    g_hash_table_iter_init(&it, c->places);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p)) {
        struct exchange *r;
        while ((r = g_queue_pop_head(&p->waiting))) {
            timer_stop(c->loop, &r->timer);
            g_free(r->bytes);
            g_free(r);
        }
        while (p->links->len) {
            struct link *l = p->links->pdata[0];
            if (l->now) {
                timer_stop(c->loop, &l->now->timer);
                g_free(l->now->bytes);
                g_free(l->now);
            }
            link_close(l);
        }
        place_free(p);
    }
    g_hash_table_unref(c->places);
    g_free(c);
}
