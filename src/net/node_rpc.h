/* Messages between the service's own nodes, in cJSON over HTTP. A message to the own node takes the
 * same way, without the socket. */
#ifndef LL_BUS_H
#define LL_BUS_H

#include "http.h"
#include "settings.h"
#include "types.h"

#include <cjson/cJSON.h>

struct node_rpc;

/* status 200: heard, with an answer that may be NULL; else as in http_response. */
typedef void (*node_rpc_callback)(void *arg, int status, const cJSON *answer);
/* Handles a message; *answer, if set, goes back with the status. */
typedef int (*node_rpc_handler)(void *ctx, const char *from, const cJSON *message, cJSON **answer);

struct node_rpc *node_rpc_new(struct loop *loop, struct http_client *http_client,
                              const struct settings *settings);
void node_rpc_free(struct node_rpc *rpc);
void node_rpc_register(struct node_rpc *rpc, const char *kind, node_rpc_handler handler, void *ctx);
/* Takes the message. */
void node_rpc_call(struct node_rpc *rpc, const char *to, const char *kind, cJSON *message,
                   int timeout_ms, node_rpc_callback done, void *arg);
/* Hands a request of a user or a worker on to another node, whose answer comes back as it is. */
void node_rpc_forward(struct node_rpc *rpc, const char *to, const struct http_request *request,
                      int timeout_ms, http_response_callback done, void *arg);
/* Who serves requests that other nodes hand on. */
void node_rpc_set_forward_handler(struct node_rpc *rpc, http_handler serve, void *ctx);
/* For the server on the back address. */
void node_rpc_serve(void *bus, struct http_responder *responder, connection_ref from,
                    const struct http_request *request);

/* Counts and versions as texts: cJSON's numbers are doubles, which round above 2^53. */
void node_rpc_put_u64(cJSON *object, const char *field, uint64_t value);
bool node_rpc_get_u64(const cJSON *object, const char *field, uint64_t *out);
bool node_rpc_item_u64(const cJSON *item, uint64_t *out);
const char *node_rpc_get_text(const cJSON *object, const char *field);
/* One start of a task, as messages name it; more fields may be added. */
cJSON *node_rpc_encode_task(job_id job, uint32_t index, attempt_no attempt);
bool node_rpc_decode_task(const cJSON *object, job_id *job, uint32_t *index, attempt_no *attempt);

#endif
