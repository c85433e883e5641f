/** RPC between the nodes of this service: JSON (cJSON) over HTTP on the settings' `back` address. A
 * call to the own node takes the same way, without the socket.
 *
 * Request paths and field names are what older nodes know; they stand in the codecs of the packages
 * that exchange the messages, and here for what all messages have in common. */
#ifndef LL_NODE_RPC_H
#define LL_NODE_RPC_H

#include "http.h"
#include "settings.h"
#include "types.h"

#include <cjson/cJSON.h>

struct node_rpc;

/** The response to a call. `status` is HTTP_STATUS_OK with an answer, which may be NULL and is
 * valid for the call only; or another status; or HTTP_NO_RESPONSE, HTTP_NOT_SENT. */
typedef void (*node_rpc_callback)(void *arg, int status, const cJSON *response);
/** Handles a message from the node with the label `from`, and returns the status. `*answer`, if it
 * is set, goes back with it and is then freed. */
typedef int (*node_rpc_handler)(void *context, const char *from, const cJSON *message,
                                cJSON **response);

struct node_rpc *node_rpc_new(struct loop *loop, struct http_client *http_client,
                              const struct settings *settings);
void node_rpc_free(struct node_rpc *rpc);
/** Sets the handler of a kind of message. */
void node_rpc_register(struct node_rpc *rpc, const char *kind, node_rpc_handler handler,
                       void *context);
/** Sends a message to the node with the label `to`. Takes the message. */
void node_rpc_call(struct node_rpc *rpc, const char *to, const char *kind, cJSON *message,
                   int timeout_ms, node_rpc_callback callback, void *callback_arg);
/** Forwards a request of a user or an agent to another node; its response comes back unchanged. */
void node_rpc_forward(struct node_rpc *rpc, const char *to, const struct http_request *request,
                      int timeout_ms, http_response_callback callback, void *callback_arg);
/** Sets who serves the requests that other nodes forward. */
void node_rpc_set_forward_handler(struct node_rpc *rpc, http_handler handler, void *context);
/** Serves other nodes' messages; an http_handler for the server on the `back` address. `context` is
 * the struct node_rpc. */
void node_rpc_serve(void *context, struct http_responder *responder, connection_ref from,
                    const struct http_request *request);

/** 64-bit numbers are texts in messages: cJSON's numbers are doubles, which round above 2^53. */
void node_rpc_put_u64(cJSON *object, const char *field, uint64_t value);
/** False: the field is missing, or no such number. */
bool node_rpc_get_u64(const cJSON *object, const char *field, uint64_t *out);
/** The same for an array's item. */
bool node_rpc_parse_u64(const cJSON *item, uint64_t *out);
/** NULL: the field is missing, or no text. The message owns the text. */
const char *node_rpc_get_string(const cJSON *object, const char *field);

/** One attempt of a task, as messages name it; more fields may be added. */
cJSON *node_rpc_encode_task_attempt(job_id job, uint32_t index, attempt_no attempt);
/** False: malformed. */
bool node_rpc_decode_task_attempt(const cJSON *object, job_id *job, uint32_t *index,
                                  attempt_no *attempt);

#endif
