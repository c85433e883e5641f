/** A connection of the HTTP client. It carries one exchange at a time and is kept alive between
 * exchanges. */
#include "address.h"
#include "http_client_internal.h"
#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { READ_BYTES = 32768 };

void client_connection_close(struct client_connection *connection)
{
    struct connection_pool *pool = connection->pool;
    idle_list_update(&connection->pool->idle_connections, &connection->idle_entry, false);
    http_pool_schedule_starved_endpoints(pool);
    timer_stop(pool->loop, &connection->timer);
    loop_remove_io(pool->loop, &connection->io);
    close(connection->io.fd);
    g_byte_array_unref(connection->input);
    g_ptr_array_remove_fast(connection->endpoint->connections, connection);
    pool->connection_count--;
    loop_defer_free(pool->loop, connection);
}

void client_connection_fail(struct client_connection *connection)
{
    struct connection_pool *pool = connection->pool;
    struct http_endpoint *endpoint = connection->endpoint;
    struct http_exchange *exchange = connection->exchange;
    bool was_sent = connection->sent_bytes > 0;
    client_connection_close(connection);
    if (exchange) {
        exchange->connection = NULL;
        http_exchange_finish(
            pool, exchange,
            &(struct http_response){.status = was_sent ? HTTP_NO_RESPONSE : HTTP_NOT_SENT});
    }
    http_endpoint_send_queued(pool, endpoint);
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
            client_connection_fail(connection);
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

void client_connection_start_exchange(struct client_connection *connection,
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
                     !connection->endpoint->is_exempt_from_pool_limits);
    http_pool_schedule_starved_endpoints(connection->pool);
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
        client_connection_close(connection);
    } else {
        g_byte_array_set_size(connection->input, 0);
        connection_become_idle(connection);
    }
    http_exchange_finish(pool, exchange, &response);
    g_free(body_copy);
    http_endpoint_send_queued(pool, endpoint);
}

static void connection_parse_response(struct client_connection *connection)
{
    struct http_head head;
    const char *data = (const char *)connection->input->data;
    size_t max_body_bytes = connection->pool->limits.max_response_bytes;
    enum http_parse_result result = http_parse_head(data, connection->input->len, true, &head);
    if (result == HTTP_PARSE_INCOMPLETE)
        return;
    if (result != HTTP_PARSE_DONE) {
        client_connection_fail(connection);
        return;
    }
    const char *body = data + head.head_bytes;
    if (head.is_chunked) {
        if (memcmp(data + connection->input->len - 4, "\r\n\r\n", 4) != 0)
            return; /* incomplete; parsing a long body again after each read would be costly */
        GString *decoded_body = g_string_new(NULL);
        size_t consumed_bytes;
        result = http_parse_chunks(body, connection->input->len - head.head_bytes, max_body_bytes,
                                   decoded_body, &consumed_bytes);
        if (result == HTTP_PARSE_DONE)
            connection_finish_exchange(connection, &head, decoded_body->str, decoded_body->len,
                                       head.head_bytes + consumed_bytes);
        else if (result != HTTP_PARSE_INCOMPLETE)
            client_connection_fail(connection);
        g_string_free(decoded_body, TRUE);
        return;
    }
    size_t body_bytes = head.content_length < 0 ? 0 : (size_t)head.content_length;
    if (body_bytes > max_body_bytes) {
        LOG_ERROR("response_too_large", "address=%s bytes=%zu", connection->endpoint->address,
                  body_bytes);
        client_connection_fail(connection);
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
            client_connection_fail(connection);
            return;
        }
        connection->is_connecting = false;
        connection->is_watching_writable = true; /* set by client_connection_open */
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
    char buffer[READ_BYTES];
    ssize_t size = recv(io->fd, buffer, sizeof buffer, 0);
    loop_update_time(connection->pool->loop);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (size <= 0 || !connection->exchange) {
        client_connection_fail(connection);
        return;
    }
    g_byte_array_append(connection->input, (guint8 *)buffer, size);
    connection_parse_response(connection);
}

static void connection_on_timeout(void *arg)
{
    client_connection_fail(arg);
}

bool client_connection_open(struct connection_pool *pool, struct http_endpoint *endpoint,
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
    client_connection_start_exchange(connection, exchange);
    return true;
}
