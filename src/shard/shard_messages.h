/**
 * @file
 * The messages between the leader and the shards, with their encoders and decoders.
 *
 * The leader sends each shard its dispatches; each shard sends the leader its status. Both are
 * numbered within an epoch of the shard map. Fields may be added; what is not understood is
 * ignored, as nodes of several versions work together. Decoders leave malformed items out.
 */
#ifndef LL_SHARD_MESSAGES_H
#define LL_SHARD_MESSAGES_H

#include "node_rpc.h"

/** Kinds of messages, see node_rpc_register(). */
#define SHARD_MESSAGE_DISPATCH "deal"
#define SHARD_MESSAGE_STATUS "digest"

/** One attempt of a task. */
struct task_attempt {
    job_id job;
    uint32_t index;
    attempt_no attempt;
};

/* ---- from the leader to a shard ---- */

/** A task to be placed. */
struct dispatch_item {
    struct task_attempt task;
    /** Counted by the leader. */
    uint64_t number;
    /** Where it has to run, and on which machine; NULL or "": anywhere. Borrowed. */
    const char *zone, *bound_machine;
};

/** A run to be stopped. */
struct stop_item {
    struct task_attempt task;
    /** Borrowed. */
    const char *machine;
    /** How long the task may take to save its state. */
    double grace_s;
};

/** Encodes an item of the list DISPATCH_MESSAGE_DISPATCHES. The caller owns it. */
cJSON *dispatch_item_encode(const struct dispatch_item *item);
/** Encodes an item of the list DISPATCH_MESSAGE_STOPS. The caller owns it. */
cJSON *stop_item_encode(const struct stop_item *item);

/** Names of the lists of a dispatch message. An empty list is left out. */
#define DISPATCH_MESSAGE_DISPATCHES "deal"
#define DISPATCH_MESSAGE_STOPS "halt"
#define DISPATCH_MESSAGE_RETURNED "gone"
#define DISPATCH_MESSAGE_TO_CORDON "close"

/** An empty dispatch message, to which lists of items are added. */
cJSON *dispatch_message_new(epoch_no epoch, uint64_t sequence);

/** A dispatch message as it was received. It borrows from the JSON. */
struct dispatch_message {
    epoch_no epoch;
    uint64_t sequence;
    /** struct dispatch_item */
    GArray *dispatches;
    /** struct stop_item */
    GArray *stops;
    /** Names of machines that were returned to the cloud. */
    GPtrArray *returned;
    /** Names of machines that are going to be returned; NULL: the message has no such list, and its
     * answer has none. */
    GPtrArray *to_cordon;
};

/** Sets the epoch and the sequence number, and no lists. Returns false if they are malformed. */
bool dispatch_message_decode_header(const cJSON *json, struct dispatch_message *out);
/** Sets the lists; the caller clears the message. Logs malformed dispatches, so it is to be called
 * only for a message that is accepted. */
void dispatch_message_decode_lists(const cJSON *json, struct dispatch_message *out);
/** Frees the lists of a decoded message. */
void dispatch_message_clear(struct dispatch_message *message);
/** The answer: names of the machines on which nothing can be placed any more. */
cJSON *dispatch_response_encode(const GPtrArray *cordoned);
/** Its names; free the array. */
GPtrArray *dispatch_response_decode(const cJSON *json);

/* ---- from a shard to the leader ---- */

/** What a status says of a machine. */
struct machine_status {
    machine_id id;
    /** Borrowed. */
    const char *type_name, *zone;
    bool is_spot;
    /** enum machine_flag */
    int flags;
    /** Names of the images in its cache; NULL: unchanged since the last status. Borrowed strings.
     */
    GPtrArray *images;
};

/** A dispatch that the shard could not place. */
struct rejected_dispatch {
    struct task_attempt task;
    /** The leader's number of the dispatch; shards of version 0 do not send it. */
    uint64_t number;
    bool has_number;
};

/** What happened to a task. */
enum task_event_kind {
    /** It failed: by its cause (enum exit_cause). */
    TASK_EVENT_FAILED,
    /** It completed: after how many seconds. */
    TASK_EVENT_COMPLETED,
};

/** How a run ended, for the leader's statistics of machines and jobs. */
struct task_event {
    enum task_event_kind kind;
    machine_id machine;
    job_id job;
    /** The cause, or the seconds. */
    double value;
};

/** The status of a shard. */
struct status_message {
    epoch_no epoch;
    uint64_t sequence;
    /** It lists all machines, not only those that have changed. */
    bool is_full;
    /** The shard asks for a new epoch: only that can prove the end of some run. */
    bool wants_epoch_raise;
    /** struct machine_status */
    GArray *machines;
    /** struct rejected_dispatch */
    GArray *rejected;
    /** struct task_event */
    GArray *events;
};

/** Empty lists. */
void status_message_init(struct status_message *message);
/** Encodes a status. The caller owns it. */
cJSON *status_message_encode(const struct status_message *message);
/** Whether it has a number; false: malformed, and there is nothing to clear. The strings borrow
 * from the JSON. */
bool status_message_decode(const cJSON *json, struct status_message *out);
/** Frees the lists of a status. */
void status_message_clear(struct status_message *message);
/** The answer: an empty list of machines on which nothing more may be placed, to which
 * status_response_add() adds. */
cJSON *status_response_new(void);
/** Adds a machine to an answer. */
void status_response_add(cJSON *response, const char *machine_name);
/** Its names; free the array. */
GPtrArray *status_response_decode(const cJSON *json);

#endif
