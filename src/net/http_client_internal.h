/** What the modules of the HTTP client share. */
#ifndef LL_HTTP_CLIENT_INTERNAL_H
#define LL_HTTP_CLIENT_INTERNAL_H

#include "http.h"
#include "idle_list.h"

struct connection_pool;
struct http_endpoint;

/** A request and its response to come. */
struct http_exchange {
    struct connection_pool *pool;
    struct http_endpoint *endpoint;
    /** The request as it is sent. */
    char *request_text;
    size_t request_bytes;
    http_response_callback callback;
    void *callback_arg;
    /** The response is overdue. */
    struct timer timer;
    /** NULL: it waits for a connection. */
    struct client_connection *connection;
};

struct client_connection {
    struct loop_io io; /**< first, so that its callback finds the connection */
    struct connection_pool *pool;
    struct http_endpoint *endpoint;
    bool is_connecting, is_watching_writable;
    /** What it carries; NULL: it is idle. */
    struct http_exchange *exchange;
    /** Of the request. */
    size_t sent_bytes;
    GByteArray *input;
    /** Connecting, or being idle, takes too long. */
    struct timer timer;
    struct idle_entry idle_entry;
};

/** An address, with the requests and connections to it. */
struct http_endpoint {
    char *address;
    GQueue queued_exchanges;         /**< struct http_exchange */
    GPtrArray *connections;          /**< struct client_connection */
    bool is_exempt_from_pool_limits; /**< see http_client_exempt_from_pool_limits */
    bool is_starved;                 /**< listed in the pool's starved_endpoints */
};

/** The client itself; callers know it as its interface. */
struct connection_pool {
    struct http_client interface;
    struct loop *loop;
    struct http_client_limits limits;
    GHashTable *endpoints; /**< address -> struct http_endpoint */
    /** Unused endpoints are removed once there are so many in all. */
    guint endpoint_sweep_threshold;
    GQueue idle_connections; /**< struct client_connection */
    /** struct http_endpoint that may open no connection until others are closed or idle. */
    GQueue starved_endpoints;
    struct timer starved_timer;
    int connection_count, queued_count;
};

/* ---- http_client.c ---- */

/** Calls back with the response, and frees the exchange. */
void http_exchange_finish(struct connection_pool *pool, struct http_exchange *exchange,
                          const struct http_response *response);
/** Serves the endpoints that wait for a connection of others to end, once the present event has
 * been handled. */
void http_pool_schedule_starved_endpoints(struct connection_pool *pool);
/** Sends what waits at the endpoint, as far as connections may be used or opened. */
void http_endpoint_send_queued(struct connection_pool *pool, struct http_endpoint *endpoint);

/* ---- client_connection.c ---- */

/** Opens a connection that will carry the exchange. False: no socket, or no valid address. */
bool client_connection_open(struct connection_pool *pool, struct http_endpoint *endpoint,
                            struct http_exchange *exchange);
/** Sends an exchange on a connection that carries none. */
void client_connection_start_exchange(struct client_connection *connection,
                                      struct http_exchange *exchange);
/** Closes and frees a connection that carries no exchange any more. */
void client_connection_close(struct client_connection *connection);
/** Closes the connection and finishes its exchange without a response. */
void client_connection_fail(struct client_connection *connection);

#endif
