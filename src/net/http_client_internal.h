/** Internal declarations shared by the modules of the HTTP client. */
#ifndef LL_HTTP_CLIENT_INTERNAL_H
#define LL_HTTP_CLIENT_INTERNAL_H

#include "http.h"
#include "idle_list.h"

struct connection_pool;
struct http_endpoint;

/** A request for which no response has been received yet. */
struct http_exchange {
    struct connection_pool *pool;
    struct http_endpoint *endpoint;
    /** The serialized request. */
    char *request_text;
    size_t request_bytes;
    http_response_callback callback;
    void *callback_arg;
    /** Fires when the response is overdue. */
    struct timer timer;
    /** The connection that carries the exchange; NULL while it is queued. */
    struct client_connection *connection;
};

/** A connection to an endpoint. */
struct client_connection {
    struct loop_io io; /**< must be first: its callback casts it to the connection */
    struct connection_pool *pool;
    struct http_endpoint *endpoint;
    bool is_connecting, is_watching_writable;
    /** The exchange that the connection carries; NULL while it is idle. */
    struct http_exchange *exchange;
    /** Number of bytes of the request that have been sent. */
    size_t sent_bytes;
    /** The part of the response that has been received. */
    GByteArray *input;
    /** Limits the time of connecting and the time of being idle. */
    struct timer timer;
    struct idle_entry idle_entry;
};

/** An address, with its queued requests and its connections. */
struct http_endpoint {
    char *address;
    GQueue queued_exchanges;         /**< struct http_exchange */
    GPtrArray *connections;          /**< struct client_connection */
    bool is_exempt_from_pool_limits; /**< see http_client_exempt_from_pool_limits */
    bool is_starved;                 /**< is in the starved_endpoints of the pool */
};

/** The implementation of struct http_client. */
struct connection_pool {
    struct http_client interface;
    struct loop *loop;
    struct http_client_limits limits;
    GHashTable *endpoints; /**< address -> struct http_endpoint */
    /** The number of endpoints at which unused ones are removed. */
    guint endpoint_sweep_threshold;
    GQueue idle_connections; /**< struct client_connection, longest idle first */
    /** Each struct http_endpoint that could not open a connection because of the limit on all
     * connections. */
    GQueue starved_endpoints;
    /** Retries the starved endpoints after the current event. */
    struct timer starved_timer;
    int connection_count, queued_count;
};

/* ---- http_client.c ---- */

/** Finishes an exchange: calls its callback with the response and frees it. */
void http_exchange_finish(struct connection_pool *pool, struct http_exchange *exchange,
                          const struct http_response *response);
/** Schedules a retry of the starved endpoints after the current event has been handled. Call it
 * when a connection is closed or becomes idle. */
void http_pool_schedule_starved_endpoints(struct connection_pool *pool);
/** Sends the queued exchanges of an endpoint, as far as connections are idle or may be opened. */
void http_endpoint_send_queued(struct connection_pool *pool, struct http_endpoint *endpoint);

/* ---- client_connection.c ---- */

/** Opens a connection and sends the exchange once it is connected. Returns false if no socket could
 * be opened or the address is invalid. */
bool client_connection_open(struct connection_pool *pool, struct http_endpoint *endpoint,
                            struct http_exchange *exchange);
/** Sends an exchange on an idle connection, or on a new one once it is connected. */
void client_connection_start_exchange(struct client_connection *connection,
                                      struct http_exchange *exchange);
/** Closes and frees a connection. Its exchange, if any, must be finished or freed by the caller. */
void client_connection_close(struct client_connection *connection);
/** Closes a connection and finishes its exchange with HTTP_NO_RESPONSE or HTTP_NOT_SENT. */
void client_connection_fail(struct client_connection *connection);

#endif
