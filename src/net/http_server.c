/** The HTTP server. Connections are kept alive, and each handles one request at a time. */
#define _GNU_SOURCE /* accept4 */
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

enum {
    /* Size of one read, and limit for input that arrives before the response is sent. */
    READ_BYTES = 16384,
    /* Keeps many new connections from starving other events. */
    MAX_ACCEPTS_PER_WAKEUP = 16,
};

/* A connection goes through the states in this order, for each request again. */
enum connection_state {
    /* Reading a request, or idle. */
    CONNECTION_READING,
    /* Waiting for the response from the handler. */
    CONNECTION_HANDLING,
    /* Sending the response. */
    CONNECTION_WRITING
};

struct server_connection {
    struct loop_io io; /* must be first: its callback casts it to the connection */
    struct http_server *server;
    connection_ref ref;
    enum connection_state state;
    GByteArray *input;
    GString *output;
    size_t output_sent_bytes;
    bool closes_after_response, is_watching_writable;
    struct timer timer; /* limits the time of being idle, reading a request, and writing */
    struct idle_entry idle_entry;
};

struct http_server {
    struct http_responder responder;
    struct loop *loop;
    struct loop_io io;
    struct http_server_limits limits;
    http_handler handler;
    void *context;           /* argument of the handler */
    GHashTable *connections; /* ref -> struct server_connection */
    GQueue idle_connections;
    uint64_t next_ref;
};

static void connection_process_input(struct server_connection *connection);

static void connection_close(struct server_connection *connection)
{
    struct http_server *server = connection->server;
    idle_list_update(&connection->server->idle_connections, &connection->idle_entry, false);
    timer_stop(server->loop, &connection->timer);
    loop_remove_io(server->loop, &connection->io);
    close(connection->io.fd);
    g_byte_array_unref(connection->input);
    g_string_free(connection->output, TRUE);
    g_hash_table_remove(server->connections, &connection->ref.value);
    loop_defer_free(server->loop, connection);
}

/* Waits for a new request, or for the rest of one that has been received in part. */
static void connection_await_request(struct server_connection *connection)
{
    connection->state = CONNECTION_READING;
    idle_list_update(&connection->server->idle_connections, &connection->idle_entry,
                     connection->input->len == 0);
    timer_start(connection->server->loop, &connection->timer,
                connection->input->len ? connection->server->limits.request_timeout_ms
                                       : connection->server->limits.idle_timeout_ms);
}

static void connection_write(struct server_connection *connection)
{
    while (connection->output_sent_bytes < connection->output->len) {
        ssize_t sent_bytes =
            send(connection->io.fd, connection->output->str + connection->output_sent_bytes,
                 connection->output->len - connection->output_sent_bytes, MSG_NOSIGNAL);
        if (sent_bytes < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!connection->is_watching_writable) {
                connection->is_watching_writable = true;
                loop_modify_io(connection->server->loop, &connection->io, EPOLLIN | EPOLLOUT);
            }
            return;
        }
        if (sent_bytes < 0) {
            connection_close(connection);
            return;
        }
        connection->output_sent_bytes += sent_bytes;
    }
    if (connection->closes_after_response) {
        connection_close(connection);
        return;
    }
    if (connection->is_watching_writable) {
        connection->is_watching_writable = false;
        loop_modify_io(connection->server->loop, &connection->io, EPOLLIN);
    }
    g_string_truncate(connection->output, 0);
    connection->output_sent_bytes = 0;
    connection_await_request(connection);
    if (connection->input->len)
        connection_process_input(connection);
}

static void connection_respond(struct server_connection *connection, int status,
                               const char *header_lines, const char *body, size_t body_bytes)
{
    g_string_printf(connection->output,
                    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n",
                    status, http_status_text(status), body_bytes);
    if (header_lines)
        g_string_append(connection->output, header_lines);
    if (connection->closes_after_response)
        g_string_append(connection->output, "Connection: close\r\n");
    g_string_append(connection->output, "\r\n");
    g_string_append_len(connection->output, body, body_bytes);
    connection->state = CONNECTION_WRITING;
    timer_start(connection->server->loop, &connection->timer,
                connection->server->limits.request_timeout_ms);
    connection_write(connection);
}

static void connection_respond_error(struct server_connection *connection, int status)
{
    connection->closes_after_response = true;
    connection_respond(connection, status, NULL, "{}", 2);
}

/* The body of a request. `data` points into the input of the connection or into `decoded`. */
struct request_body {
    GString *decoded; /* the decoded body if it was chunked, otherwise NULL; owned */
    const char *data;
    size_t length_bytes;
    size_t consumed_bytes; /* size of the encoded body in the input */
};

static enum http_parse_result read_chunked_body(const struct server_connection *connection,
                                                const struct http_head *head,
                                                struct request_body *body)
{
    size_t max_bytes = connection->server->limits.max_body_bytes;
    size_t received_bytes = connection->input->len - head->head_bytes;
    body->decoded = g_string_new(NULL);
    enum http_parse_result result = http_parse_chunks(body->data, received_bytes, max_bytes,
                                                      body->decoded, &body->consumed_bytes);
    if (result != HTTP_PARSE_DONE) {
        /* Chunk sizes and extensions may take up to as many bytes as the body itself. */
        bool is_too_large = received_bytes > max_bytes * 2;
        return is_too_large ? HTTP_PARSE_TOO_LARGE : result;
    }
    body->data = body->decoded->str;
    body->length_bytes = body->decoded->len;
    return HTTP_PARSE_DONE;
}

static enum http_parse_result read_body(const struct server_connection *connection,
                                        const struct http_head *head, struct request_body *body)
{
    body->data = (const char *)connection->input->data + head->head_bytes;
    if (head->is_chunked)
        return read_chunked_body(connection, head, body);
    if (head->content_length <= 0)
        return HTTP_PARSE_DONE;
    size_t length_bytes = (size_t)head->content_length;
    if (length_bytes > connection->server->limits.max_body_bytes)
        return HTTP_PARSE_TOO_LARGE;
    if (connection->input->len - head->head_bytes < length_bytes)
        return HTTP_PARSE_INCOMPLETE;
    body->length_bytes = body->consumed_bytes = length_bytes;
    return HTTP_PARSE_DONE;
}

/* Removes a complete request from the input and passes it to the handler. */
static void connection_handle_request(struct server_connection *connection, struct http_head *head,
                                      const struct request_body *body)
{
    struct http_server *server = connection->server;
    g_autofree char *body_copy = g_strndup(body->data, body->length_bytes);
    g_byte_array_remove_range(connection->input, 0, head->head_bytes + body->consumed_bytes);
    connection->closes_after_response = head->closes_connection;
    connection->state = CONNECTION_HANDLING;
    idle_list_update(&server->idle_connections, &connection->idle_entry, false);
    timer_stop(server->loop, &connection->timer);
    char *query = strchr(head->target, '?');
    if (query)
        *query++ = 0;
    struct http_request request = {.method = head->method,
                                   .path = head->target,
                                   .query = query ? query : "",
                                   .body = body_copy,
                                   .body_bytes = body->length_bytes};
    server->handler(server->context, &server->responder, connection->ref, &request);
}

/* Handles the request at the start of the input if it is complete or malformed. */
static void connection_parse_request(struct server_connection *connection)
{
    struct http_head head;
    enum http_parse_result result = http_parse_head((const char *)connection->input->data,
                                                    connection->input->len, false, &head);
    if (result == HTTP_PARSE_TOO_LARGE) {
        connection_respond_error(connection, HTTP_STATUS_HEAD_TOO_LARGE);
        return;
    }
    struct request_body body = {0};
    if (result == HTTP_PARSE_DONE)
        result = read_body(connection, &head, &body);
    if (result == HTTP_PARSE_DONE)
        connection_handle_request(connection, &head, &body);
    else if (result == HTTP_PARSE_MALFORMED)
        connection_respond_error(connection, HTTP_STATUS_BAD_REQUEST);
    else if (result == HTTP_PARSE_TOO_LARGE)
        connection_respond_error(connection, HTTP_STATUS_BODY_TOO_LARGE);
    if (body.decoded)
        g_string_free(body.decoded, TRUE);
}

static void connection_process_input(struct server_connection *connection)
{
    if (connection->state != CONNECTION_READING || !connection->input->len)
        return;
    idle_list_update(&connection->server->idle_connections, &connection->idle_entry, false);
    connection_parse_request(connection);
}

static void connection_on_io(struct loop_io *io, uint32_t events)
{
    struct server_connection *connection = (struct server_connection *)io;
    if (events & EPOLLOUT) {
        connection_write(connection);
        return;
    }
    char buffer[READ_BYTES];
    ssize_t received_bytes = recv(io->fd, buffer, sizeof buffer, 0);
    loop_update_time(connection->server->loop);
    if (received_bytes < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (received_bytes <= 0) {
        connection_close(connection);
        return;
    }
    /* Pipelining is not supported: a connection is closed if its peer sends more than READ_BYTES
     * before the response. */
    if (connection->state != CONNECTION_READING &&
        connection->input->len + received_bytes > READ_BYTES) {
        connection_close(connection);
        return;
    }
    bool is_first_input = connection->input->len == 0;
    g_byte_array_append(connection->input, (guint8 *)buffer, received_bytes);
    if (connection->state != CONNECTION_READING)
        return;
    if (is_first_input)
        timer_start(connection->server->loop, &connection->timer,
                    connection->server->limits.request_timeout_ms);
    connection_process_input(connection);
}

static void connection_on_timeout(void *arg)
{
    struct server_connection *connection = arg;
    if (connection->state == CONNECTION_READING && connection->input->len) {
        connection_respond_error(connection, HTTP_STATUS_REQUEST_TIMEOUT);
        return;
    }
    connection_close(connection);
}

static void server_respond(struct http_responder *responder, connection_ref to, int status,
                           const char *header_lines, const char *body, size_t body_bytes)
{
    struct http_server *server = (struct http_server *)responder;
    struct server_connection *connection = g_hash_table_lookup(server->connections, &to.value);
    if (connection && connection->state == CONNECTION_HANDLING)
        connection_respond(connection, status, header_lines, body, body_bytes);
}

static void server_on_accept(struct loop_io *io, uint32_t events)
{
    (void)events;
    struct http_server *server =
        (struct http_server *)((char *)io - offsetof(struct http_server, io));
    for (int i = 0; i < MAX_ACCEPTS_PER_WAKEUP; i++) {
        int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            /* No file descriptor is left: close the connection that has been idle for the longest
             * time. */
            if ((errno == EMFILE || errno == ENFILE) && server->idle_connections.head)
                connection_close(server->idle_connections.head->data);
            return;
        }
        if ((int)g_hash_table_size(server->connections) >= server->limits.max_connections) {
            if (!server->idle_connections.head) {
                close(fd);
                continue;
            }
            connection_close(server->idle_connections.head->data);
        }
        int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        struct server_connection *connection = g_new0(struct server_connection, 1);
        connection->io.fd = fd;
        connection->io.ready = connection_on_io;
        connection->server = server;
        connection->ref.value = ++server->next_ref;
        connection->input = g_byte_array_new();
        connection->output = g_string_new(NULL);
        connection->idle_entry.link.data = connection;
        timer_init(&connection->timer, connection_on_timeout, connection);
        g_hash_table_insert(server->connections, &connection->ref.value, connection);
        loop_add_io(server->loop, &connection->io, EPOLLIN);
        connection_await_request(connection);
    }
}

struct http_server *http_server_new(struct loop *loop, const char *address,
                                    struct http_server_limits limits, http_handler handler,
                                    void *context, char **error)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    uint16_t port;
    if (!address_parse(address, &socket_address.sin_addr.s_addr, &port)) {
        *error = g_strdup_printf("%s: not an address", address);
        return NULL;
    }
    socket_address.sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (fd < 0 || bind(fd, (struct sockaddr *)&socket_address, sizeof socket_address) < 0 ||
        listen(fd, SOMAXCONN) < 0) {
        *error = g_strdup_printf("%s: %s", address, g_strerror(errno));
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    struct http_server *server = g_new0(struct http_server, 1);
    server->responder.respond = server_respond;
    server->loop = loop;
    server->limits = limits;
    server->handler = handler;
    server->context = context;
    server->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&server->idle_connections);
    server->io.fd = fd;
    server->io.ready = server_on_accept;
    loop_add_io(loop, &server->io, EPOLLIN);
    return server;
}

void http_server_free(struct http_server *server)
{
    GList *connections = g_hash_table_get_values(server->connections);
    for (GList *item = connections; item; item = item->next)
        connection_close(item->data);
    g_list_free(connections);
    loop_remove_io(server->loop, &server->io);
    close(server->io.fd);
    g_hash_table_unref(server->connections);
    g_free(server);
}
