/** RPC between the nodes of this service: JSON (cJSON) over HTTP, on the `back` address in the
 * settings. A call to the local node goes through the same interface, without a socket.
 *
 * Request paths and field names must stay compatible with older nodes. The codecs of the packages
 * that exchange the messages define them; node_rpc.c defines those that all messages share. */
#ifndef LL_NODE_RPC_H
#define LL_NODE_RPC_H

#include "http.h"
#include "settings.h"
#include "types.h"

#include <cjson/cJSON.h>

/** The RPC client and server of the local node. */
struct node_rpc;

/** Receives the response to a call. `status` is an HTTP status, HTTP_NO_RESPONSE or HTTP_NOT_SENT.
 * `response` may be NULL even if the status is HTTP_STATUS_OK, and is valid only during the
 * callback. */
typedef void (*node_rpc_callback)(void *arg, int status, const cJSON *response);
/** Handles a message from the node with the label `from` and returns the HTTP status. If the
 * handler sets `*response`, the response is sent with the status and then freed. */
typedef int (*node_rpc_handler)(void *context, const char *from, const cJSON *message,
                                cJSON **response);

/** Creates the RPC of the local node, without handlers. */
struct node_rpc *node_rpc_new(struct loop *loop, struct http_client *http_client,
                              const struct settings *settings);
/** Frees the RPC and its handlers. */
void node_rpc_free(struct node_rpc *rpc);
/** Sets the handler for one kind of message. */
void node_rpc_register(struct node_rpc *rpc, const char *kind, node_rpc_handler handler,
                       void *context);
/** Sends a message to the node with the label `to`, and takes ownership of the message. */
void node_rpc_call(struct node_rpc *rpc, const char *to, const char *kind, cJSON *message,
                   int timeout_ms, node_rpc_callback callback, void *callback_arg);
/** Forwards a request of a user or an agent to another node. The callback receives the unchanged
 * response of that node. */
void node_rpc_forward(struct node_rpc *rpc, const char *to, const struct http_request *request,
                      int timeout_ms, http_response_callback callback, void *callback_arg);
/** Sets the handler of requests that other nodes forward. */
void node_rpc_set_forward_handler(struct node_rpc *rpc, http_handler handler, void *context);
/** Serves messages from other nodes: the http_handler of the server on the `back` address, whose
 * `context` is the struct node_rpc. */
void node_rpc_serve(void *context, struct http_responder *responder, connection_ref from,
                    const struct http_request *request);

/** Writes a 64-bit number as a string, because the numbers of cJSON are doubles, which are inexact
 * above 2^53. */
void node_rpc_put_u64(cJSON *object, const char *field, uint64_t value);
/** Reads a number that node_rpc_put_u64 wrote. Returns false if the field is missing or malformed.
 */
bool node_rpc_get_u64(const cJSON *object, const char *field, uint64_t *out);
/** Reads such a number from an item, such as one of an array. */
bool node_rpc_parse_u64(const cJSON *item, uint64_t *out);
/** Returns the string in a field, or NULL if the field is missing or not a string. The message owns
 * the string. */
const char *node_rpc_get_string(const cJSON *object, const char *field);

/** Encodes the identification of a task attempt for messages. The caller may add fields. */
cJSON *node_rpc_encode_task_attempt(job_id job, uint32_t index, attempt_no attempt);
/** Decodes the identification of a task attempt. Returns false if it is malformed. */
bool node_rpc_decode_task_attempt(const cJSON *object, job_id *job, uint32_t *index,
                                  attempt_no *attempt);

#endif
