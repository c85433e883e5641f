/**
 * @file
 * The messages between the leader and the shards, and their encoders and decoders.
 *
 * The leader sends dispatch messages to each shard, and each shard sends status messages to the
 * leader. Both have sequence numbers within an epoch of the shard map. New fields may be added, and
 * unknown fields are ignored, as nodes of different versions work together. Decoders skip malformed
 * items.
 */
#ifndef LL_SHARD_MESSAGES_H
#define LL_SHARD_MESSAGES_H

#include "node_rpc.h"

/** Message kinds, see node_rpc_register(). */
#define SHARD_MESSAGE_DISPATCH "deal"
#define SHARD_MESSAGE_STATUS "digest"

/** Identifies one attempt of a task. */
struct task_attempt {
    job_id job;
    uint32_t index;
    attempt_no attempt;
};

/* ---- from the leader to a shard ---- */

/** A task to be placed. */
struct dispatch_item {
    struct task_attempt task;
    /** Number of the dispatch, assigned by the leader. */
    uint64_t number;
    /** Zone and machine on which the task has to run; NULL or empty: any. Borrowed strings. */
    const char *zone, *bound_machine;
};

/** A run to be stopped. */
struct stop_item {
    struct task_attempt task;
    /** Name of the machine that the run is on. Borrowed string. */
    const char *machine;
    /** Grace period in which the task may save its state, in seconds. */
    double grace_s;
};

/** Encodes an item of the list DISPATCH_MESSAGE_DISPATCHES. The caller owns the result. */
cJSON *dispatch_item_encode(const struct dispatch_item *item);
/** Encodes an item of the list DISPATCH_MESSAGE_STOPS. The caller owns the result. */
cJSON *stop_item_encode(const struct stop_item *item);

/** Names of the lists in a dispatch message. Empty lists are omitted. */
#define DISPATCH_MESSAGE_DISPATCHES "deal"
#define DISPATCH_MESSAGE_STOPS "halt"
#define DISPATCH_MESSAGE_RETURNED "gone"
#define DISPATCH_MESSAGE_TO_CORDON "close"

/** Returns a dispatch message without lists; the caller adds lists of items. */
cJSON *dispatch_message_new(epoch_no epoch, uint64_t sequence);

/** A decoded dispatch message. Its strings are borrowed from the JSON. */
struct dispatch_message {
    epoch_no epoch;
    uint64_t sequence;
    /** Tasks to be placed (struct dispatch_item). */
    GArray *dispatches;
    /** Runs to be stopped (struct stop_item). */
    GArray *stops;
    /** Names of machines that were returned to the cloud. */
    GPtrArray *returned;
    /** Names of machines that are about to be returned; NULL: the message has no such list, and its
     * response has none either. */
    GPtrArray *to_cordon;
};

/** Decodes the epoch and the sequence number only. Returns false if they are malformed. */
bool dispatch_message_decode_header(const cJSON *json, struct dispatch_message *out);
/** Decodes the lists; the caller clears the message afterwards. Logs malformed dispatches, so it
 * must be called only for messages that are accepted. */
void dispatch_message_decode_lists(const cJSON *json, struct dispatch_message *out);
/** Frees the lists of a decoded message. */
void dispatch_message_clear(struct dispatch_message *message);
/** Encodes the response to a dispatch message: the machines on which no task can be placed any
 * more. */
cJSON *dispatch_response_encode(const GPtrArray *cordoned);
/** Returns the machine names in a response to a dispatch message. The caller frees the array. */
GPtrArray *dispatch_response_decode(const cJSON *json);

/* ---- from a shard to the leader ---- */

/** The state of a machine in a status message. */
struct machine_status {
    machine_id id;
    /** Borrowed strings. */
    const char *type_name, *zone;
    bool is_spot;
    /** Combination of enum machine_flag. */
    int flags;
    /** Names of the images in the machine's cache; NULL: unchanged since the last status message.
     * Borrowed strings. */
    GPtrArray *images;
};

/** A dispatch that the shard could not place. */
struct rejected_dispatch {
    struct task_attempt task;
    /** The leader's number of the dispatch. Shards of version 0 do not send it. */
    uint64_t number;
    bool has_number;
};

/** What a task event reports. */
enum task_event_kind {
    /** The task failed; the value is the cause (enum exit_cause). */
    TASK_EVENT_FAILED,
    /** The task completed; the value is its run time in seconds. */
    TASK_EVENT_COMPLETED,
};

/** The end of a run, for the leader's statistics of machines and jobs. */
struct task_event {
    enum task_event_kind kind;
    machine_id machine;
    job_id job;
    /** Cause or run time, depending on the kind. */
    double value;
};

/** A shard's status message. */
struct status_message {
    epoch_no epoch;
    uint64_t sequence;
    /** The message lists all machines, not only those that have changed. */
    bool is_full;
    /** The shard requests a new epoch, as only that can prove the end of some run. */
    bool wants_epoch_raise;
    /** Machines to report (struct machine_status). */
    GArray *machines;
    /** Dispatches that could not be placed (struct rejected_dispatch). */
    GArray *rejected;
    /** Events for the leader (struct task_event). */
    GArray *events;
};

/** Initializes a status message with empty lists. */
void status_message_init(struct status_message *message);
/** Encodes a status message. The caller owns the result. */
cJSON *status_message_encode(const struct status_message *message);
/** Decodes a status message. Returns false if its epoch or sequence number is malformed; there is
 * nothing to clear then. The strings are borrowed from the JSON. */
bool status_message_decode(const cJSON *json, struct status_message *out);
/** Frees the lists of a status message. */
void status_message_clear(struct status_message *message);
/** Returns a response to a status message, with an empty list of machines on which no more tasks
 * may be placed. Machines are added by status_response_add(). */
cJSON *status_response_new(void);
/** Adds a machine to a response. */
void status_response_add(cJSON *response, const char *machine_name);
/** Returns the machine names in a response to a status message. The caller frees the array. */
GPtrArray *status_response_decode(const cJSON *json);

#endif
