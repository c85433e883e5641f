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

static void place_go(struct client *client, struct place *place);

static void request_end(struct client *client, struct exchange *exchange,
                        const struct net_answer *answer)
{
    timer_stop(client->loop, &exchange->timer);
    if (!exchange->link && g_queue_remove(&exchange->place->waiting, exchange))
        client->waiting--;
    net_done done = exchange->done;
    void *arg = exchange->arg;
    g_free(exchange->bytes);
    loop_free_later(client->loop, exchange);
    done(arg, answer);
}

static void wake_soon(struct client *client)
{
    if (client->hungry.head && !client->wake.place)
        timer_start(client->loop, &client->wake, 0);
}

static void link_close(struct link *l)
{
    struct client *client = l->client;
    idle_set(&l->client->idle, &l->idle, false);
    wake_soon(client);
    timer_stop(client->loop, &l->timer);
    loop_unwatch(client->loop, &l->io);
    close(l->io.fd);
    g_byte_array_unref(l->in);
    g_ptr_array_remove_fast(l->place->links, l);
    client->links--;
    loop_free_later(client->loop, l);
}

static void place_free(struct place *place)
{
    g_ptr_array_unref(place->links);
    g_free(place->addr);
    g_free(place);
}

/* Machines come and go: addresses that nothing is sent to any more are forgotten each time their
 * number has doubled. */
static void forget_places(struct client *client)
{
    if (g_hash_table_size(client->places) < client->many_places)
        return;
    GHashTableIter it;
    struct place *place;
    g_hash_table_iter_init(&it, client->places);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&place)) {
        if (place->links->len || place->waiting.head || place->kept || place->hungry)
            continue;
        g_hash_table_iter_remove(&it);
        place_free(place);
    }
    client->many_places = MAX(2 * g_hash_table_size(client->places), FEW_PLACES);
}

/* Ends the connection and, with it, what it was carrying. */
static void link_fail(struct link *l)
{
    struct client *client = l->client;
    struct place *place = l->place;
    struct exchange *exchange = l->now;
    bool sent = l->sent > 0;
    link_close(l);
    if (exchange) {
        exchange->link = NULL;
        request_end(client, exchange,
                    &(struct net_answer){.status = sent ? NET_NO_ANSWER : NET_NOT_SENT});
    }
    place_go(client, place);
}

static void link_write(struct link *l)
{
    struct exchange *exchange = l->now;
    while (exchange && l->sent < exchange->len) {
        ssize_t n =
            send(l->io.fd, exchange->bytes + l->sent, exchange->len - l->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (n < 0) {
            link_fail(l);
            return;
        }
        l->sent += n;
    }
    bool want = exchange && l->sent < exchange->len;
    if (want != l->want_write) {
        l->want_write = want;
        loop_rewatch(l->client->loop, &l->io, want ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

static void link_take(struct link *l, struct exchange *exchange)
{
    idle_set(&l->client->idle, &l->idle, false);
    l->now = exchange;
    l->sent = 0;
    exchange->link = l;
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

static void link_answered(struct link *l, struct http_head *head, const char *body, size_t len,
                          size_t used)
{
    struct client *client = l->client;
    struct place *place = l->place;
    struct exchange *exchange = l->now;
    char *copy = g_strndup(body, len);
    struct net_answer answer = {head->status, copy, len, head->retry_after_s};
    bool close_it = head->close || l->in->len > used || l->sent < exchange->len;
    l->now = NULL;
    exchange->link = NULL;
    if (close_it) {
        link_close(l);
    } else {
        g_byte_array_set_size(l->in, 0);
        link_rests(l);
    }
    request_end(client, exchange, &answer);
    g_free(copy);
    place_go(client, place);
}

static void link_parse(struct link *l)
{
    struct http_head head;
    const char *data = (const char *)l->in->data;
    size_t limit = l->client->limits.answer_size;
    enum http_parsed r = http_parse_head(data, l->in->len, true, &head);
    if (r == HTTP_MORE)
        return;
    if (r != HTTP_DONE) {
        link_fail(l);
        return;
    }
    const char *body = data + head.size;
    if (head.chunked) {
        if (memcmp(data + l->in->len - 4, "\r\n\r\n", 4) != 0)
            return; /* long ones are not gone through again and again */
        GString *s = g_string_new(NULL);
        size_t used;
        r = http_parse_chunks(body, l->in->len - head.size, limit, s, &used);
        if (r == HTTP_DONE)
            link_answered(l, &head, s->str, s->len, head.size + used);
        else if (r != HTTP_MORE)
            link_fail(l);
        g_string_free(s, TRUE);
        return;
    }
    size_t len = head.content_length < 0 ? 0 : (size_t)head.content_length;
    if (len > limit) {
        LOG_ERROR("answer_too_large", "addr=%s bytes=%zu", l->place->addr, len);
        link_fail(l);
        return;
    }
    if (l->in->len - head.size >= len)
        link_answered(l, &head, body, len, head.size + len);
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

static bool link_open(struct client *client, struct place *place, struct exchange *exchange)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    uint16_t port;
    if (!address_split(place->addr, &sa.sin_addr.s_addr, &port))
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
    l->client = client;
    l->place = place;
    l->connecting = true;
    l->in = g_byte_array_new();
    l->idle.place.data = l;
    timer_init(&l->timer, link_timeout, l);
    timer_start(client->loop, &l->timer, client->limits.connect_ms);
    g_ptr_array_add(place->links, l);
    client->links++;
    loop_watch(client->loop, &l->io, EPOLLOUT);
    link_take(l, exchange);
    return true;
}

static struct link *free_link(struct place *place)
{
    for (guint i = 0; i < place->links->len; i++) {
        struct link *l = place->links->pdata[i];
        if (!l->now && !l->connecting)
            return l;
    }
    return NULL;
}

/* Closes the connection that nobody has used for longest, to any address. */
static bool make_room(struct client *client)
{
    if (!client->idle.head)
        return false;
    link_close(client->idle.head->data);
    return true;
}

static void place_go(struct client *client, struct place *place)
{
    while (place->waiting.head) {
        /* One that is free is used before room is made, which could close that very one. */
        struct link *l = free_link(place);
        if (!l && (int)place->links->len >= client->limits.per_address)
            return;
        if (!l && !place->kept && client->links >= client->limits.connections &&
            !make_room(client)) {
            if (!place->hungry)
                g_queue_push_tail(&client->hungry, place);
            place->hungry = true;
            return;
        }
        struct exchange *exchange = g_queue_pop_head(&place->waiting);
        client->waiting--;
        if (l) {
            link_take(l, exchange);
        } else if (!link_open(client, place, exchange)) {
            exchange->link = NULL;
            request_end(client, exchange, &(struct net_answer){.status = NET_NOT_SENT});
        }
    }
}

/* There may be room for those that found none. */
static void wake(void *arg)
{
    struct client *client = arg;
    for (guint n = client->hungry.length; n > 0; n--) {
        struct place *place = g_queue_pop_head(&client->hungry);
        place->hungry = false;
        place_go(client, place);
        if (place->hungry)
            return;
    }
}

static void request_timeout(void *arg)
{
    struct exchange *exchange = arg;
    if (exchange->link)
        link_fail(exchange->link);
    else
        request_end(exchange->client, exchange, &(struct net_answer){.status = NET_NOT_SENT});
}

static struct place *place_make(struct client *client, const char *addr)
{
    struct place *place = g_hash_table_lookup(client->places, addr);
    if (place)
        return place;
    forget_places(client);
    place = g_new0(struct place, 1);
    place->addr = g_strdup(addr);
    g_queue_init(&place->waiting);
    place->links = g_ptr_array_new();
    g_hash_table_insert(client->places, place->addr, place);
    return place;
}

void http_client_keep(struct net *net, const char *addr)
{
    place_make((struct client *)net, addr)->kept = true;
}

static void client_request(struct net *net, const struct net_request *request, net_done done,
                           void *arg)
{
    struct client *client = (struct client *)net;
    struct place *place = place_make(client, request->addr);
    if (client->waiting >= client->limits.queue && !place->kept) {
        done(arg, &(struct net_answer){.status = NET_NOT_SENT});
        return;
    }
    GString *s = g_string_sized_new(request->len + 160);
    g_string_printf(s, "%s %s HTTP/1.1\r\nHost: %s\r\n", request->method, request->path,
                    request->addr);
    if (request->body)
        g_string_append_printf(s, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               request->len);
    g_string_append(s, "\r\n");
    if (request->body)
        g_string_append_len(s, request->body, request->len);
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->client = client;
    exchange->len = s->len;
    exchange->bytes = g_string_free(s, FALSE);
    exchange->done = done;
    exchange->arg = arg;
    exchange->place = place;
    timer_init(&exchange->timer, request_timeout, exchange);
    timer_start(client->loop, &exchange->timer, request->timeout_ms);
    g_queue_push_tail(&place->waiting, exchange);
    client->waiting++;
    place_go(client, place);
}

struct net *http_client_new(struct loop *loop, struct http_client_limits limits)
{
    struct client *client = g_new0(struct client, 1);
    client->net.request = client_request;
    client->loop = loop;
    client->limits = limits;
    client->places = g_hash_table_new(g_str_hash, g_str_equal);
    client->many_places = FEW_PLACES;
    g_queue_init(&client->idle);
    g_queue_init(&client->hungry);
    timer_init(&client->wake, wake, client);
    return &client->net;
}

void http_client_free(struct net *net)
{
    struct client *client = (struct client *)net;
    timer_stop(client->loop, &client->wake);
    g_queue_clear(&client->hungry);
    GHashTableIter it;
    struct place *place;
    g_hash_table_iter_init(&it, client->places);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&place)) {
        struct exchange *exchange;
        while ((exchange = g_queue_pop_head(&place->waiting))) {
            timer_stop(client->loop, &exchange->timer);
            g_free(exchange->bytes);
            g_free(exchange);
        }
        while (place->links->len) {
            struct link *l = place->links->pdata[0];
            if (l->now) {
                timer_stop(client->loop, &l->now->timer);
                g_free(l->now->bytes);
                g_free(l->now);
            }
            link_close(l);
        }
        place_free(place);
    }
    g_hash_table_unref(client->places);
    g_free(client);
}
