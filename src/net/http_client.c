/** The HTTP client. Requests are queued by endpoint until a connection is available; the number of
 * connections is limited in total and for each address. client_connection.c implements the
 * connections. */
#include "http_client_internal.h"

/* Minimum number of endpoints at which unused ones are removed. */
enum { MIN_ENDPOINT_SWEEP_THRESHOLD = 2000 };

void http_exchange_finish(struct connection_pool *pool, struct http_exchange *exchange,
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

void http_pool_schedule_starved_endpoints(struct connection_pool *pool)
{
    if (pool->starved_endpoints.head && !pool->starved_timer.queue_position)
        timer_start(pool->loop, &pool->starved_timer, 0);
}

static void endpoint_free(struct http_endpoint *endpoint)
{
    g_ptr_array_unref(endpoint->connections);
    g_free(endpoint->address);
    g_free(endpoint);
}

/* Removes unused endpoints each time the number of endpoints has doubled, because the machines that
 * they belong to come and go. */
static void sweep_unused_endpoints(struct connection_pool *pool)
{
    if (g_hash_table_size(pool->endpoints) < pool->endpoint_sweep_threshold)
        return;
    GHashTableIter it;
    struct http_endpoint *endpoint;
    g_hash_table_iter_init(&it, pool->endpoints);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&endpoint)) {
        if (endpoint->connections->len || endpoint->queued_exchanges.head ||
            endpoint->is_exempt_from_pool_limits || endpoint->is_starved)
            continue;
        g_hash_table_iter_remove(&it);
        endpoint_free(endpoint);
    }
    pool->endpoint_sweep_threshold =
        MAX(2 * g_hash_table_size(pool->endpoints), MIN_ENDPOINT_SWEEP_THRESHOLD);
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

/* Closes the connection that has been idle for the longest time, to whichever address. Returns
 * false if none is idle. */
static bool close_longest_idle_connection(struct connection_pool *pool)
{
    if (!pool->idle_connections.head)
        return false;
    client_connection_close(pool->idle_connections.head->data);
    return true;
}

void http_endpoint_send_queued(struct connection_pool *pool, struct http_endpoint *endpoint)
{
    while (endpoint->queued_exchanges.head) {
        /* Look for an idle connection to this endpoint first: closing the longest idle connection
         * to make room for a new one could close exactly that one. */
        struct client_connection *connection = find_idle_connection(endpoint);
        if (!connection &&
            (int)endpoint->connections->len >= pool->limits.max_connections_per_address)
            return;
        if (!connection && !endpoint->is_exempt_from_pool_limits &&
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
            client_connection_start_exchange(connection, exchange);
        } else if (!client_connection_open(pool, endpoint, exchange)) {
            exchange->connection = NULL;
            http_exchange_finish(pool, exchange, &(struct http_response){.status = HTTP_NOT_SENT});
        }
    }
}

/* Timer callback: retries the endpoints that could not open a connection. */
static void serve_starved_endpoints(void *arg)
{
    struct connection_pool *pool = arg;
    for (guint n = pool->starved_endpoints.length; n > 0; n--) {
        struct http_endpoint *endpoint = g_queue_pop_head(&pool->starved_endpoints);
        endpoint->is_starved = false;
        http_endpoint_send_queued(pool, endpoint);
        if (endpoint->is_starved)
            return;
    }
}

static void exchange_on_timeout(void *arg)
{
    struct http_exchange *exchange = arg;
    if (exchange->connection)
        client_connection_fail(exchange->connection);
    else
        http_exchange_finish(exchange->pool, exchange,
                             &(struct http_response){.status = HTTP_NOT_SENT});
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

void http_client_exempt_from_pool_limits(struct http_client *http_client, const char *address)
{
    endpoint_get_or_create((struct connection_pool *)http_client, address)
        ->is_exempt_from_pool_limits = true;
}

static void pool_request(struct http_client *http_client, const struct http_client_request *request,
                         http_response_callback callback, void *callback_arg)
{
    struct connection_pool *pool = (struct connection_pool *)http_client;
    struct http_endpoint *endpoint = endpoint_get_or_create(pool, request->address);
    if (pool->queued_count >= pool->limits.max_queued_requests &&
        !endpoint->is_exempt_from_pool_limits) {
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
    http_endpoint_send_queued(pool, endpoint);
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
            client_connection_close(connection);
        }
        endpoint_free(endpoint);
    }
    g_hash_table_unref(pool->endpoints);
    g_free(pool);
}
