/** Codec of the messages of the agents on machines: heartbeats and commands. */
#ifndef LL_AGENT_CODEC_H
#define LL_AGENT_CODEC_H

#include "json_fields.h"

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
    /** A word that is not known, or none. */
    CAUSE_UNKNOWN
};

/** A task in a heartbeat. */
struct heartbeat_task {
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    enum task_state state;
    /** Of an exited task. */
    enum exit_cause cause;
    bool has_saved_state;
};

/** An agent's report of its machine, its epoch and its tasks. */
struct heartbeat {
    machine_id machine;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    /** Counts starts of the agent. */
    uint64_t agent_epoch;
    /** Counts heartbeats within the agent's epoch. */
    uint64_t sequence;
    /** The highest that the agent has seen. */
    uint64_t fencing_token;
    /** Seconds until the cloud reclaims the machine; negative: no notice. */
    double reclaim_notice_s;
    /** Array of struct heartbeat_task. */
    GArray *tasks;
};

/** Frees what it holds. */
void heartbeat_clear(struct heartbeat *heartbeat);
/** Decodes a heartbeat; false: malformed, and there is nothing to clear. */
bool heartbeat_decode(json_object *object, struct heartbeat *heartbeat);

enum agent_command_verb {
    COMMAND_RUN,
    /** Stop, with a grace period in which the task may save its state. */
    COMMAND_STOP,
    /** Forget a task that has exited. */
    COMMAND_CLEAR,
};

/** A command to an agent about one attempt of a task. */
struct agent_command {
    enum agent_command_verb verb;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    /** Of COMMAND_STOP. */
    double grace_period_s;
};

/**
 * Encodes commands, a new text. agent_epoch 0: they are the response to a heartbeat, which carries
 * no epoch.
 */
char *agent_commands_encode(epoch_no fencing_token, uint64_t agent_epoch,
                            const struct agent_command *commands, guint command_count);
/** Sends an agent to the node that owns its machine; NULL: the owner is not known. A new text. */
char *agent_redirect_encode(const char *owner_label);

#endif
