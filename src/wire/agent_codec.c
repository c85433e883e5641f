#include "codec.h"
#include "json_fields.h"

#include <stdlib.h>

static const char *const state_words[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const cause_words[] = {"done",  "halted",  "peers", "incomplete",
                                          "error", "no_room", "busy",  "no_such"};
static const char *const verb_words[] = {"run", "halt", "clear"};

void heartbeat_clear(struct heartbeat *heartbeat)
{
    if (heartbeat->tasks)
        g_array_unref(heartbeat->tasks);
    heartbeat->tasks = NULL;
}

bool task_name_parse(const char *text, job_id *job, uint32_t *index)
{
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || slash - text >= (int)sizeof job->text ||
        !g_ascii_isdigit(slash[1]))
        return false;
    char name[sizeof job->text];
    memcpy(name, text, slash - text);
    name[slash - text] = 0;
    char *end;
    unsigned long number = strtoul(slash + 1, &end, 10);
    if (*end || number > 100000)
        return false;
    *index = (uint32_t)number;
    return job_id_parse(job, name);
}

static bool heartbeat_task_decode(json_object *object, struct heartbeat_task *task)
{
    const char *name, *state, *cause = NULL;
    if (!json_get_text(object, "Piece", &name) ||
        !task_name_parse(name, &task->job, &task->task_index) ||
        !json_get_u64(object, "Try", &task->attempt.value) ||
        !json_get_text(object, "Stage", &state))
        return false;
    int state_index = WORD_INDEX(state_words, state);
    if (state_index < 0)
        return false;
    task->state = state_index;
    task->cause = CAUSE_UNKNOWN;
    if (state_index == TASK_EXITED && json_get_text(object, "Cause", &cause)) {
        int cause_index = WORD_INDEX(cause_words, cause);
        if (cause_index >= 0)
            task->cause = cause_index;
    }
    task->has_saved_state = false;
    json_get_bool(object, "Stored", &task->has_saved_state);
    return true;
}

bool heartbeat_decode(json_object *object, struct heartbeat *heartbeat)
{
    memset(heartbeat, 0, sizeof *heartbeat);
    char machine_name[48];
    heartbeat->reclaim_notice_s = -1;
    if (!json_copy_text(object, "Mast", machine_name, sizeof machine_name) ||
        !machine_id_parse(&heartbeat->machine, machine_name) ||
        !json_copy_text(object, "Address", heartbeat->address, sizeof heartbeat->address) ||
        !json_copy_text(object, "Build", heartbeat->machine_type_name,
                        sizeof heartbeat->machine_type_name) ||
        !json_copy_text(object, "Yard", heartbeat->zone, sizeof heartbeat->zone) ||
        !json_get_bool(object, "Loaners", &heartbeat->is_spot) ||
        !json_get_u64(object, "Shift", &heartbeat->agent_epoch) ||
        !json_get_u64(object, "Tally", &heartbeat->sequence) ||
        !json_get_u64(object, "Helm", &heartbeat->fencing_token))
        return false;
    if (!json_is_absent(object, "RecallS") &&
        !json_get_number(object, "RecallS", &heartbeat->reclaim_notice_s))
        return false;
    json_object *list = json_get_array(object, "Pieces");
    if (!list && !json_is_absent(object, "Pieces"))
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

char *agent_commands_encode(epoch_no fencing_token, uint64_t agent_epoch,
                            const struct agent_command *commands, guint command_count)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(object, "Helm", fencing_token.value);
    if (agent_epoch)
        json_put_u64(object, "Shift", agent_epoch);
    for (guint i = 0; i < command_count; i++) {
        json_object *item = json_object_new_object();
        char name[64];
        g_snprintf(name, sizeof name, "%s/%u", commands[i].job.text, commands[i].task_index);
        json_put_text(item, "Verb", verb_words[commands[i].verb]);
        json_put_text(item, "Piece", name);
        json_put_u64(item, "Try", commands[i].attempt.value);
        if (commands[i].verb == COMMAND_STOP)
            json_put_number(item, "WindDownS", commands[i].grace_period_s);
        json_object_array_add(list, item);
    }
    json_object_object_add(object, "Orders", list);
    return json_to_text_and_free(object);
}

char *agent_redirect_encode(const char *label)
{
    json_object *object = json_object_new_object();
    if (label)
        json_put_text(object, "Harbour", label);
    return json_to_text_and_free(object);
}
