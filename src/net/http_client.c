#include "address.h"
#include "http.h"
#include "idle_list.h"
#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { MIN_ENDPOINT_SWEEP_THRESHOLD = 2000 };

struct connection_pool;
struct http_endpoint;

struct http_exchange {
    struct connection_pool *pool;
    char *request_text; /* the request as it goes out */
    size_t request_bytes;
    http_response_callback callback;
    void *callback_arg;
    struct http_endpoint *endpoint;
    struct timer timer;
    struct client_connection *connection; /* NULL: waits for a connection */
};

/* One connection. */
struct client_connection {
    struct loop_io io;
    struct connection_pool *pool;
    struct http_endpoint *endpoint;
    bool is_connecting, is_watching_writable;
    struct http_exchange *exchange;
    size_t sent_bytes;
    GByteArray *input;
    struct timer timer; /* connecting, or idle */
    struct idle_entry idle_entry;
};

/* One address. */
struct http_endpoint {
    char *address;
    GQueue queued_exchanges; /* struct http_exchange */
    GPtrArray *connections;
    bool is_exempt;  /* see http_client_exempt_address */
    bool is_starved; /* in the client's list of those that wait for a connection of others to end */
};

struct connection_pool {
    struct http_client interface;
    struct loop *loop;
    struct http_client_limits limits;
    GHashTable *endpoints;
    guint endpoint_sweep_threshold; /* so many are looked through for some to forget */
    GQueue idle_connections;        /* struct client_connection */
    GQueue starved_endpoints;       /* struct http_endpoint */
    struct timer starved_timer;
    int connection_count, queued_count;
};

static void endpoint_send_queued(struct connection_pool *pool, struct http_endpoint *endpoint);

static void exchange_finish(struct connection_pool *pool, struct http_exchange *exchange,
                            const struct http_response *response)
{
    timer_stop(pool->loop, &exchange->timer);
    if (!exchange->connection && g_queue_remove(&exchange->endpoint->queued_exchanges, exchange))
        pool->queued_count--;
    http_response_callback callback = exchange->callback;
    void *callback_arg = exchange->callback_arg;
    g_free(exchange->request_text);
    loop_defer_free(pool->loop, exchange);
    callback(callback_arg, response);
}

static void schedule_starved_endpoints(struct connection_pool *pool)
{
    if (pool->starved_endpoints.head && !pool->starved_timer.queue_position)
        timer_start(pool->loop, &pool->starved_timer, 0);
}

static void connection_close(struct client_connection *connection)
{
    struct connection_pool *pool = connection->pool;
    idle_list_update(&connection->pool->idle_connections, &connection->idle_entry, false);
    schedule_starved_endpoints(pool);
    timer_stop(pool->loop, &connection->timer);
    loop_remove_io(pool->loop, &connection->io);
    close(connection->io.fd);
    g_byte_array_unref(connection->input);
    g_ptr_array_remove_fast(connection->endpoint->connections, connection);
    pool->connection_count--;
    loop_defer_free(pool->loop, connection);
}

static void endpoint_free(struct http_endpoint *endpoint)
{
    g_ptr_array_unref(endpoint->connections);
    g_free(endpoint->address);
    g_free(endpoint);
}

/* Machines come and go: addresses that nothing is sent to any more are forgotten each time their
 * number has doubled. */
static void sweep_unused_endpoints(struct connection_pool *pool)
{
    if (g_hash_table_size(pool->endpoints) < pool->endpoint_sweep_threshold)
        return;
    GHashTableIter it;
    struct http_endpoint *endpoint;
    g_hash_table_iter_init(&it, pool->endpoints);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&endpoint)) {
        if (endpoint->connections->len || endpoint->queued_exchanges.head || endpoint->is_exempt ||
            endpoint->is_starved)
            continue;
        g_hash_table_iter_remove(&it);
        endpoint_free(endpoint);
    }
    pool->endpoint_sweep_threshold =
        MAX(2 * g_hash_table_size(pool->endpoints), MIN_ENDPOINT_SWEEP_THRESHOLD);
}

/* Ends the connection and, with it, what it was carrying. */
static void connection_fail(struct client_connection *connection)
{
    struct connection_pool *pool = connection->pool;
    struct http_endpoint *endpoint = connection->endpoint;
    struct http_exchange *exchange = connection->exchange;
    bool was_sent = connection->sent_bytes > 0;
    connection_close(connection);
    if (exchange) {
        exchange->connection = NULL;
        exchange_finish(
            pool, exchange,
            &(struct http_response){.status = was_sent ? HTTP_NO_RESPONSE : HTTP_NOT_SENT});
    }
    endpoint_send_queued(pool, endpoint);
}

static void connection_write(struct client_connection *connection)
{
    struct http_exchange *exchange = connection->exchange;
    while (exchange && connection->sent_bytes < exchange->request_bytes) {
        ssize_t written_bytes =
            send(connection->io.fd, exchange->request_text + connection->sent_bytes,
                 exchange->request_bytes - connection->sent_bytes, MSG_NOSIGNAL);
        if (written_bytes < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (written_bytes < 0) {
            connection_fail(connection);
            return;
        }
        connection->sent_bytes += written_bytes;
    }
    bool wants_write = exchange && connection->sent_bytes < exchange->request_bytes;
    if (wants_write != connection->is_watching_writable) {
        connection->is_watching_writable = wants_write;
        loop_modify_io(connection->pool->loop, &connection->io,
                       wants_write ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

static void connection_start_exchange(struct client_connection *connection,
                                      struct http_exchange *exchange)
{
    idle_list_update(&connection->pool->idle_connections, &connection->idle_entry, false);
    connection->exchange = exchange;
    connection->sent_bytes = 0;
    exchange->connection = connection;
    if (!connection->is_connecting) {
        timer_stop(connection->pool->loop, &connection->timer);
        connection_write(connection);
    }
}

static void connection_become_idle(struct client_connection *connection)
{
    idle_list_update(&connection->pool->idle_connections, &connection->idle_entry,
                     !connection->endpoint->is_exempt);
    schedule_starved_endpoints(connection->pool);
    timer_start(connection->pool->loop, &connection->timer,
                connection->pool->limits.idle_timeout_ms);
}

static void connection_finish_exchange(struct client_connection *connection, struct http_head *head,
                                       const char *body, size_t body_bytes, size_t consumed_bytes)
{
    struct connection_pool *pool = connection->pool;
    struct http_endpoint *endpoint = connection->endpoint;
    struct http_exchange *exchange = connection->exchange;
    char *body_copy = g_strndup(body, body_bytes);
    struct http_response response = {head->status, body_copy, body_bytes, head->retry_after_s};
    bool must_close = head->closes_connection || connection->input->len > consumed_bytes ||
                      connection->sent_bytes < exchange->request_bytes;
    connection->exchange = NULL;
    exchange->connection = NULL;
    if (must_close) {
        connection_close(connection);
    } else {
        g_byte_array_set_size(connection->input, 0);
        connection_become_idle(connection);
    }
    exchange_finish(pool, exchange, &response);
    g_free(body_copy);
    endpoint_send_queued(pool, endpoint);
}

static void connection_parse_response(struct client_connection *connection)
{
    struct http_head head;
    const char *data = (const char *)connection->input->data;
    size_t limit = connection->pool->limits.max_response_bytes;
    enum http_parse_result result = http_parse_head(data, connection->input->len, true, &head);
    if (result == HTTP_PARSE_INCOMPLETE)
        return;
    if (result != HTTP_PARSE_DONE) {
        connection_fail(connection);
        return;
    }
    const char *body = data + head.head_bytes;
    if (head.is_chunked) {
        if (memcmp(data + connection->input->len - 4, "\r\n\r\n", 4) != 0)
            return; /* long ones are not gone through again and again */
        GString *decoded_body = g_string_new(NULL);
        size_t consumed_bytes;
        result = http_parse_chunks(body, connection->input->len - head.head_bytes, limit,
                                   decoded_body, &consumed_bytes);
        if (result == HTTP_PARSE_DONE)
            connection_finish_exchange(connection, &head, decoded_body->str, decoded_body->len,
                                       head.head_bytes + consumed_bytes);
        else if (result != HTTP_PARSE_INCOMPLETE)
            connection_fail(connection);
        g_string_free(decoded_body, TRUE);
        return;
    }
    size_t body_bytes = head.content_length < 0 ? 0 : (size_t)head.content_length;
    if (body_bytes > limit) {
        LOG_ERROR("answer_too_large", "addr=%s bytes=%zu", connection->endpoint->address,
                  body_bytes);
        connection_fail(connection);
        return;
    }
    if (connection->input->len - head.head_bytes >= body_bytes)
        connection_finish_exchange(connection, &head, body, body_bytes,
                                   head.head_bytes + body_bytes);
}

static void connection_on_io(struct loop_io *io, uint32_t events)
{
    struct client_connection *connection = (struct client_connection *)io;
    if (connection->is_connecting) {
        int socket_error = 0;
        socklen_t size = sizeof socket_error;
        getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &socket_error, &size);
        if (socket_error || (events & (EPOLLERR | EPOLLHUP))) {
            connection_fail(connection);
            return;
        }
        connection->is_connecting = false;
        connection->is_watching_writable = true; /* that is how it is being watched */
        timer_stop(connection->pool->loop, &connection->timer);
        if (!connection->exchange)
            connection_become_idle(connection);
        connection_write(connection);
        return;
    }
    if (events & EPOLLOUT) {
        connection_write(connection);
        if (!io->ready)
            return;
    }
    if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
        return;
    char buffer[32768];
    ssize_t size = recv(io->fd, buffer, sizeof buffer, 0);
    loop_refresh(connection->pool->loop);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (size <= 0 || !connection->exchange) {
        connection_fail(connection);
        return;
    }
    g_byte_array_append(connection->input, (guint8 *)buffer, size);
    connection_parse_response(connection);
}

static void connection_on_timeout(void *arg)
{
    connection_fail(arg);
}

static bool connection_open(struct connection_pool *pool, struct http_endpoint *endpoint,
                            struct http_exchange *exchange)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    uint16_t port;
    if (!address_parse(endpoint->address, &socket_address.sin_addr.s_addr, &port))
        return false;
    socket_address.sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), enabled = 1;
    if (fd < 0)
        return false;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (connect(fd, (struct sockaddr *)&socket_address, sizeof socket_address) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    struct client_connection *connection = g_new0(struct client_connection, 1);
    connection->io.fd = fd;
    connection->io.ready = connection_on_io;
    connection->pool = pool;
    connection->endpoint = endpoint;
    connection->is_connecting = true;
    connection->input = g_byte_array_new();
    connection->idle_entry.link.data = connection;
    timer_init(&connection->timer, connection_on_timeout, connection);
    timer_start(pool->loop, &connection->timer, pool->limits.connect_timeout_ms);
    g_ptr_array_add(endpoint->connections, connection);
    pool->connection_count++;
    loop_add_io(pool->loop, &connection->io, EPOLLOUT);
    connection_start_exchange(connection, exchange);
    return true;
}

static struct client_connection *find_idle_connection(struct http_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->connections->len; i++) {
        struct client_connection *connection = endpoint->connections->pdata[i];
        if (!connection->exchange && !connection->is_connecting)
            return connection;
    }
    return NULL;
}

/* Closes the connection that nobody has used for longest, to any address. */
static bool close_longest_idle_connection(struct connection_pool *pool)
{
    if (!pool->idle_connections.head)
        return false;
    connection_close(pool->idle_connections.head->data);
    return true;
}

static void endpoint_send_queued(struct connection_pool *pool, struct http_endpoint *endpoint)
{
    while (endpoint->queued_exchanges.head) {
        /* One that is free is used before room is made, which could close that very one. */
        struct client_connection *connection = find_idle_connection(endpoint);
        if (!connection &&
            (int)endpoint->connections->len >= pool->limits.max_connections_per_address)
            return;
        if (!connection && !endpoint->is_exempt &&
            pool->connection_count >= pool->limits.max_connections &&
            !close_longest_idle_connection(pool)) {
            if (!endpoint->is_starved)
                g_queue_push_tail(&pool->starved_endpoints, endpoint);
            endpoint->is_starved = true;
            return;
        }
        struct http_exchange *exchange = g_queue_pop_head(&endpoint->queued_exchanges);
        pool->queued_count--;
        if (connection) {
            connection_start_exchange(connection, exchange);
        } else if (!connection_open(pool, endpoint, exchange)) {
            exchange->connection = NULL;
            exchange_finish(pool, exchange, &(struct http_response){.status = HTTP_NOT_SENT});
        }
    }
}

/* There may be room for those that found none. */
static void serve_starved_endpoints(void *arg)
{
    struct connection_pool *pool = arg;
    for (guint n = pool->starved_endpoints.length; n > 0; n--) {
        struct http_endpoint *endpoint = g_queue_pop_head(&pool->starved_endpoints);
        endpoint->is_starved = false;
        endpoint_send_queued(pool, endpoint);
        if (endpoint->is_starved)
            return;
    }
}

static void exchange_on_timeout(void *arg)
{
    struct http_exchange *exchange = arg;
    if (exchange->connection)
        connection_fail(exchange->connection);
    else
        exchange_finish(exchange->pool, exchange, &(struct http_response){.status = HTTP_NOT_SENT});
}

static struct http_endpoint *endpoint_get_or_create(struct connection_pool *pool,
                                                    const char *address)
{
    struct http_endpoint *endpoint = g_hash_table_lookup(pool->endpoints, address);
    if (endpoint)
        return endpoint;
    sweep_unused_endpoints(pool);
    endpoint = g_new0(struct http_endpoint, 1);
    endpoint->address = g_strdup(address);
    g_queue_init(&endpoint->queued_exchanges);
    endpoint->connections = g_ptr_array_new();
    g_hash_table_insert(pool->endpoints, endpoint->address, endpoint);
    return endpoint;
}

void http_client_exempt_address(struct http_client *http_client, const char *address)
{
    endpoint_get_or_create((struct connection_pool *)http_client, address)->is_exempt = true;
}

static void pool_request(struct http_client *http_client, const struct http_client_request *request,
                         http_response_callback callback, void *callback_arg)
{
    struct connection_pool *pool = (struct connection_pool *)http_client;
    struct http_endpoint *endpoint = endpoint_get_or_create(pool, request->address);
    if (pool->queued_count >= pool->limits.max_queued_requests && !endpoint->is_exempt) {
        callback(callback_arg, &(struct http_response){.status = HTTP_NOT_SENT});
        return;
    }
    GString *request_text = g_string_sized_new(request->body_bytes + 160);
    g_string_printf(request_text, "%s %s HTTP/1.1\r\nHost: %s\r\n", request->method, request->path,
                    request->address);
    if (request->body)
        g_string_append_printf(request_text,
                               "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               request->body_bytes);
    g_string_append(request_text, "\r\n");
    if (request->body)
        g_string_append_len(request_text, request->body, request->body_bytes);
    struct http_exchange *exchange = g_new0(struct http_exchange, 1);
    exchange->pool = pool;
    exchange->request_bytes = request_text->len;
    exchange->request_text = g_string_free(request_text, FALSE);
    exchange->callback = callback;
    exchange->callback_arg = callback_arg;
    exchange->endpoint = endpoint;
    timer_init(&exchange->timer, exchange_on_timeout, exchange);
    timer_start(pool->loop, &exchange->timer, request->timeout_ms);
    g_queue_push_tail(&endpoint->queued_exchanges, exchange);
    pool->queued_count++;
    endpoint_send_queued(pool, endpoint);
}

struct http_client *http_client_new(struct loop *loop, struct http_client_limits limits)
{
    struct connection_pool *pool = g_new0(struct connection_pool, 1);
    pool->interface.request = pool_request;
    pool->loop = loop;
    pool->limits = limits;
    pool->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    pool->endpoint_sweep_threshold = MIN_ENDPOINT_SWEEP_THRESHOLD;
    g_queue_init(&pool->idle_connections);
    g_queue_init(&pool->starved_endpoints);
    timer_init(&pool->starved_timer, serve_starved_endpoints, pool);
    return &pool->interface;
}

void http_client_free(struct http_client *http_client)
{
    struct connection_pool *pool = (struct connection_pool *)http_client;
    timer_stop(pool->loop, &pool->starved_timer);
    g_queue_clear(&pool->starved_endpoints);
    GHashTableIter it;
    struct http_endpoint *endpoint;
    g_hash_table_iter_init(&it, pool->endpoints);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&endpoint)) {
        struct http_exchange *exchange;
        while ((exchange = g_queue_pop_head(&endpoint->queued_exchanges))) {
            timer_stop(pool->loop, &exchange->timer);
            g_free(exchange->request_text);
            g_free(exchange);
        }
        while (endpoint->connections->len) {
            struct client_connection *connection = endpoint->connections->pdata[0];
            if (connection->exchange) {
                timer_stop(pool->loop, &connection->exchange->timer);
                g_free(connection->exchange->request_text);
                g_free(connection->exchange);
            }
            connection_close(connection);
        }
        endpoint_free(endpoint);
    }
    g_hash_table_unref(pool->endpoints);
    g_free(pool);
}
