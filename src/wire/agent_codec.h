/** Codec of the protocol of the agents, which run on the machines: heartbeats and commands. */
#ifndef LL_AGENT_CODEC_H
#define LL_AGENT_CODEC_H

#include "agent_token.h"
#include "json_fields.h"

/** The state of a task on its machine. */
enum task_state { TASK_FETCHING, TASK_WAITING_FOR_GANG, TASK_RUNNING, TASK_SAVING, TASK_EXITED };

/** Why a task has exited. */
enum exit_cause {
    CAUSE_DONE,
    CAUSE_STOPPED,
    CAUSE_GANG_PEERS_LOST,
    CAUSE_INCOMPLETE,
    CAUSE_ERROR,
    CAUSE_INSUFFICIENT_RESOURCES,
    CAUSE_BUSY,
    CAUSE_NO_SUCH_TASK,
    /** The heartbeat has an unknown cause, or none. */
    CAUSE_UNKNOWN
};

/** A task in a heartbeat. */
struct heartbeat_task {
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    enum task_state state;
    /** CAUSE_UNKNOWN unless the task has exited. */
    enum exit_cause cause;
    bool has_saved_state;
};

/** The periodic report of an agent about its machine, its own state and its tasks. */
struct heartbeat {
    machine_id machine;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    /** Number of starts of the agent. */
    uint64_t agent_epoch;
    /** Sequence number of the heartbeat within the agent epoch. */
    uint64_t sequence;
    /** The highest fencing token that the agent has received. */
    agent_token token;
    /** Seconds until the cloud reclaims the machine; negative without a reclaim notice. */
    double reclaim_notice_s;
    /** Array of struct heartbeat_task. */
    GArray *tasks;
};

/** Frees the contents of a heartbeat. */
void heartbeat_clear(struct heartbeat *heartbeat);
/** Decodes a heartbeat. Returns false if it is malformed; then it needs no heartbeat_clear. */
bool heartbeat_decode(json_object *object, struct heartbeat *heartbeat);

/** What a command tells an agent to do. */
enum agent_command_verb {
    /** Start a task. */
    COMMAND_RUN,
    /** Stop a task, with a grace period in which it may save its state. */
    COMMAND_STOP,
    /** Delete the record of a task that has exited. */
    COMMAND_CLEAR,
};

/** A command to an agent about one attempt of a task. */
struct agent_command {
    enum agent_command_verb verb;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    /** Only used by COMMAND_STOP. */
    double grace_period_s;
};

/**
 * Encodes commands into a new string. An agent_epoch of 0 leaves the agent epoch out, as in the
 * response to a heartbeat.
 * @param encoded_token see agent_token_encode()
 */
char *agent_commands_encode(uint64_t encoded_token, uint64_t agent_epoch,
                            const struct agent_command *commands, guint command_count);
/** Encodes into a new string the response that redirects an agent to the node that owns its
 * machine. `owner_label` is NULL if the owner is unknown. */
char *agent_redirect_encode(const char *owner_label);

#endif
