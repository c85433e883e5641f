/* Messages between the service's own nodes, in cJSON over HTTP. A message to the own node takes the
 * same way, without the socket. */
#ifndef LL_BUS_H
#define LL_BUS_H

#include "http.h"
#include "settings.h"
#include "types.h"

#include <cjson/cJSON.h>

struct bus;

/* status 200: heard, with an answer that may be NULL; else as in net_answer. */
typedef void (*bus_done)(void *arg, int status, const cJSON *answer);
/* Handles a message; *answer, if set, goes back with the status. */
typedef int (*bus_handler)(void *ctx, const char *from, const cJSON *message, cJSON **answer);

struct bus *bus_new(struct loop *loop, struct net *net, const struct settings *settings);
void bus_free(struct bus *bus);
void bus_handle(struct bus *bus, const char *kind, bus_handler handler, void *ctx);
/* Takes the message. */
void bus_send(struct bus *bus, const char *to, const char *kind, cJSON *message, int timeout_ms,
              bus_done done, void *arg);
/* Hands a request of a user or a worker on to another node, whose answer comes back as it is. */
void bus_relay(struct bus *bus, const char *to, const struct http_request *r, int timeout_ms,
               net_done done, void *arg);
/* Who serves requests that other nodes hand on. */
void bus_on_relay(struct bus *bus, http_handler serve, void *ctx);
/* For the server on the back address. */
void bus_serve(void *bus, struct http_replier *replier, conn_ref from,
               const struct http_request *request);

/* Counts and versions as texts: cJSON's numbers are doubles, which round above 2^53. */
void bus_put_u64(cJSON *object, const char *field, uint64_t value);
bool bus_u64(const cJSON *object, const char *field, uint64_t *out);
bool bus_item_u64(const cJSON *item, uint64_t *out);
const char *bus_text(const cJSON *object, const char *field);
/* One start of a task, as messages name it; more fields may be added. */
cJSON *bus_task(job_id job, uint32_t index, attempt_no attempt);
bool bus_task_read(const cJSON *object, job_id *job, uint32_t *index, attempt_no *attempt);

#endif
