/** Codec of the agent protocol: see agent_codec.h. */
#include "agent_codec.h"
#include "job_codec.h"
#include "protocol_words.h"

/* Names in the protocol, indexed by the enumerations. */
static const char *const state_names[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const exit_cause_names[] = {"done",  "halted",  "peers", "incomplete",
                                               "error", "no_room", "busy",  "no_such"};
static const char *const verb_names[] = {"run", "halt", "clear"};

void heartbeat_clear(struct heartbeat *heartbeat)
{
    if (heartbeat->tasks)
        g_array_unref(heartbeat->tasks);
    heartbeat->tasks = NULL;
}

static bool heartbeat_task_decode(json_object *object, struct heartbeat_task *task)
{
    const char *name;
    int state, cause;
    if (!json_get_string(object, FIELD_TASK, &name) ||
        !task_name_parse(name, &task->job, &task->task_index) ||
        !json_get_u64(object, FIELD_ATTEMPT, &task->attempt.value) ||
        !JSON_GET_ENUM(object, FIELD_STAGE, state_names, &state))
        return false;
    task->state = state;
    task->cause = CAUSE_UNKNOWN;
    if (state == TASK_EXITED && JSON_GET_ENUM(object, FIELD_EXIT_CAUSE, exit_cause_names, &cause))
        task->cause = cause;
    task->has_saved_state = false;
    json_get_bool(object, FIELD_HAS_SAVED_STATE, &task->has_saved_state);
    return true;
}

/** Decodes the fields that describe the machine and the state of its agent. */
static bool decode_machine(json_object *object, struct heartbeat *heartbeat)
{
    char machine_name[sizeof heartbeat->machine.text];
    uint64_t token = 0;
    heartbeat->reclaim_notice_s = -1;
    bool is_valid =
        json_copy_string(object, FIELD_MACHINE, machine_name, sizeof machine_name) &&
        machine_id_parse(&heartbeat->machine, machine_name) &&
        json_copy_string(object, FIELD_ADDRESS, heartbeat->address, sizeof heartbeat->address) &&
        json_copy_string(object, FIELD_MACHINE_TYPE, heartbeat->machine_type_name,
                         sizeof heartbeat->machine_type_name) &&
        json_copy_string(object, FIELD_ZONE, heartbeat->zone, sizeof heartbeat->zone) &&
        json_get_bool(object, FIELD_SPOT, &heartbeat->is_spot) &&
        json_get_u64(object, FIELD_AGENT_EPOCH, &heartbeat->agent_epoch) &&
        json_get_u64(object, FIELD_SEQUENCE, &heartbeat->sequence) &&
        json_get_u64(object, FIELD_FENCING_TOKEN, &token) &&
        (json_is_absent(object, FIELD_RECLAIM_NOTICE_S) ||
         json_get_number(object, FIELD_RECLAIM_NOTICE_S, &heartbeat->reclaim_notice_s));
    heartbeat->token = agent_token_decode(token);
    return is_valid;
}

bool heartbeat_decode(json_object *object, struct heartbeat *heartbeat)
{
    memset(heartbeat, 0, sizeof *heartbeat);
    if (!decode_machine(object, heartbeat))
        return false;
    json_object *list = json_get_array(object, FIELD_TASKS);
    if (!list && !json_is_absent(object, FIELD_TASKS))
        return false;
    heartbeat->tasks = g_array_new(FALSE, FALSE, sizeof(struct heartbeat_task));
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        struct heartbeat_task task;
        if (!heartbeat_task_decode(json_object_array_get_idx(list, i), &task)) {
            heartbeat_clear(heartbeat);
            return false;
        }
        g_array_append_val(heartbeat->tasks, task);
    }
    return true;
}

static json_object *command_encode(const struct agent_command *command)
{
    json_object *object = json_object_new_object();
    char name[64];
    g_snprintf(name, sizeof name, "%s/%u", command->job.text, command->task_index);
    json_put_string(object, FIELD_VERB, verb_names[command->verb]);
    json_put_string(object, FIELD_TASK, name);
    json_put_u64(object, FIELD_ATTEMPT, command->attempt.value);
    if (command->verb == COMMAND_STOP)
        json_put_number(object, FIELD_GRACE_PERIOD_S, command->grace_period_s);
    return object;
}

char *agent_commands_encode(uint64_t encoded_token, uint64_t agent_epoch,
                            const struct agent_command *commands, guint command_count)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(object, FIELD_FENCING_TOKEN, encoded_token);
    if (agent_epoch)
        json_put_u64(object, FIELD_AGENT_EPOCH, agent_epoch);
    for (guint i = 0; i < command_count; i++)
        json_object_array_add(list, command_encode(&commands[i]));
    json_object_object_add(object, FIELD_COMMANDS, list);
    return json_to_string_and_free(object);
}

char *agent_redirect_encode(const char *owner_label)
{
    json_object *object = json_object_new_object();
    if (owner_label)
        json_put_string(object, FIELD_OWNER, owner_label);
    return json_to_string_and_free(object);
}
