#include "codec.h"
#include "json_fields.h"

#include <stdlib.h>

static const char *const state_words[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const cause_words[] = {"done",  "halted",  "peers", "incomplete",
                                          "error", "no_room", "busy",  "no_such"};
static const char *const verb_words[] = {"run", "halt", "clear"};

void report_clear(struct report *report)
{
    if (report->tasks)
        g_array_unref(report->tasks);
    report->tasks = NULL;
}

bool task_name_read(const char *text, job_id *job, uint32_t *index)
{
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || slash - text >= (int)sizeof job->s || !g_ascii_isdigit(slash[1]))
        return false;
    char name[sizeof job->s];
    memcpy(name, text, slash - text);
    name[slash - text] = 0;
    char *end;
    unsigned long v = strtoul(slash + 1, &end, 10);
    if (*end || v > 100000)
        return false;
    *index = (uint32_t)v;
    return job_id_from(job, name);
}

static bool report_task_read(json_object *object, struct report_task *task)
{
    const char *name, *state, *cause = NULL;
    if (!json_text(object, "Piece", &name) || !task_name_read(name, &task->job, &task->index) ||
        !json_u64(object, "Try", &task->attempt.v) || !json_text(object, "Stage", &state))
        return false;
    int st = CODEC_WORD(state_words, state);
    if (st < 0)
        return false;
    task->state = st;
    task->cause = CAUSE_UNKNOWN;
    if (st == TASK_EXITED && json_text(object, "Cause", &cause)) {
        int c = CODEC_WORD(cause_words, cause);
        if (c >= 0)
            task->cause = c;
    }
    task->stored = false;
    json_flag(object, "Stored", &task->stored);
    return true;
}

bool codec_report_read(json_object *object, struct report *report)
{
    memset(report, 0, sizeof *report);
    char host[48];
    report->reclaim_notice_s = -1;
    if (!json_copy_text(object, "Mast", host, sizeof host) || !host_id_from(&report->host, host) ||
        !json_copy_text(object, "Address", report->addr, sizeof report->addr) ||
        !json_copy_text(object, "Build", report->type_name, sizeof report->type_name) ||
        !json_copy_text(object, "Yard", report->zone, sizeof report->zone) ||
        !json_flag(object, "Loaners", &report->spot) ||
        !json_u64(object, "Shift", &report->session) ||
        !json_u64(object, "Tally", &report->sequence) || !json_u64(object, "Helm", &report->token))
        return false;
    if (!json_is_null(object, "RecallS") &&
        !json_number(object, "RecallS", &report->reclaim_notice_s))
        return false;
    json_object *list = json_list(object, "Pieces");
    if (!list && !json_is_null(object, "Pieces"))
        return false;
    report->tasks = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        struct report_task task;
        if (!report_task_read(json_object_array_get_idx(list, i), &task)) {
            report_clear(report);
            return false;
        }
        g_array_append_val(report->tasks, task);
    }
    return true;
}

char *codec_commands_write(epoch_no token, uint64_t session, const struct command *commands,
                           guint n)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(o, "Helm", token.v);
    if (session)
        json_put_u64(o, "Shift", session);
    for (guint i = 0; i < n; i++) {
        json_object *x = json_object_new_object();
        char name[64];
        g_snprintf(name, sizeof name, "%s/%u", commands[i].job.s, commands[i].index);
        json_put_text(x, "Verb", verb_words[commands[i].verb]);
        json_put_text(x, "Piece", name);
        json_put_u64(x, "Try", commands[i].attempt.v);
        if (commands[i].verb == COMMAND_HALT)
            json_put_number(x, "WindDownS", commands[i].grace_s);
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Orders", list);
    return json_finish(o);
}

char *codec_redirect_write(const char *label)
{
    json_object *object = json_object_new_object();
    if (label)
        json_put_text(object, "Harbour", label);
    return json_finish(object);
}
