/** Tasks that start on machines and leave them. */
#include "rules_internal.h"

#include <string.h>

/* Notes a task once; true the first time. */
static bool task_set_add(GByteArray *seen, uint32_t index)
{
    guint before = seen->len;
    if (index >= before) {
        g_byte_array_set_size(seen, index + 1);
        memset(seen->data + before, 0, index + 1 - before);
    }
    bool first = !seen->data[index];
    seen->data[index] = 1;
    return first;
}

bool task_set_contains(const GByteArray *seen, uint32_t index)
{
    return index < seen->len && seen->data[index];
}

void need_add(struct need *a, struct need b, int64_t times)
{
    a->cpus += times * b.cpus;
    a->gpus += times * b.gpus;
    a->memory += times * b.memory;
}

struct need *judged_job_team_use(struct rules *rules, const struct judged_job *judged)
{
    int team = judged->submission && !judged->submission->lacks
                   ? settings_find_team(rules->settings, judged->submission->team_name)
                   : -1;
    return team < 0 ? NULL : &rules->used[team];
}

bool submission_allows_machine(const struct submission *submission,
                               const struct rules_machine *machine)
{
    return (!submission->type_names ||
            text_list_contains(submission->type_names, machine->type_name)) &&
           (!submission->zone || strcmp(submission->zone, machine->zone) == 0) &&
           (submission->spot || !machine->spot);
}

int64_t judged_job_zone_capacity(const struct judged_job *judged, const char *zone)
{
    int64_t here = 0;
    for (guint i = 0; i < judged->on->len; i++)
        here += strcmp(g_array_index(judged->on, struct placed_task, i).zone, zone) == 0;
    if (judged->submission->one_zone && here < judged->on->len)
        return 0;
    return judged->submission->apart ? MAX((judged->submission->tasks + 1) / 2 - here, 0)
                                     : judged->submission->tasks;
}

bool judged_job_is_on_machine(const struct judged_job *judged, uint32_t index)
{
    for (guint i = 0; i < judged->on->len; i++)
        if (g_array_index(judged->on, struct placed_task, i).task_index == index)
            return true;
    return false;
}

void judged_job_place(struct rules *rules, struct judged_job *judged, mono_time now,
                      const struct rules_machine *machine, uint32_t index)
{
    struct placed_task task = {.task_index = index};
    g_strlcpy(task.machine, machine->id, sizeof task.machine);
    g_strlcpy(task.zone, machine->zone, sizeof task.zone);
    g_array_append_val(judged->on, task);
    if (judged_job_team_use(rules, judged))
        need_add(judged_job_team_use(rules, judged), judged->submission->each, 1);
    judged->n_started += task_set_add(judged->started_once, index);
    if (!judged->begun && judged->submission && judged->n_started >= judged->submission->tasks) {
        judged->begun = true;
        judged->begun_at = now;
    }
}

/* A job is cancelled for its user from the moment that he is told; of its tasks none may start by
 * a later command, and none may be there when cancel_timeout_s are over. */
static void judge_cancelled(struct rules *rules, const struct judged_job *judged, mono_time now,
                            mono_time sent, const struct rules_machine *machine, uint32_t index)
{
    if (!judged->cancelled)
        return;
    if (time_before(judged->cancelled_at, sent))
        rules_report_violation(rules, "ran_cancelled",
                               "%s/%u starts on %s by a command of %.3f s, cancelled at %.3f s",
                               judged->id, index, machine->id, rules_seconds(sent),
                               rules_seconds(judged->cancelled_at));
    else if (time_ms_since(now, judged->cancelled_at) >
             (int64_t)(rules->settings->cancel_timeout_s * 1000))
        rules_report_violation(
            rules, "ran_cancelled", "%s/%u starts on %s at %.3f s, cancelled at %.3f s", judged->id,
            index, machine->id, rules_seconds(now), rules_seconds(judged->cancelled_at));
}

void rules_started(struct rules *rules, mono_time now, mono_time sent,
                   const struct rules_machine *machine, const char *job, uint32_t index)
{
    struct judged_job *judged = judged_job_get(rules, job);
    const struct submission *submission = judged->submission;
    if (!submission || submission->lacks || index >= submission->tasks) {
        rules_report_violation(rules, "invented",
                               "%s/%u, which nobody submitted, starts on %s at %.3f s", job, index,
                               machine->id, rules_seconds(now));
        return;
    }
    judge_cancelled(rules, judged, now, sent, machine, index);
    if (judged_job_is_on_machine(judged, index))
        rules_report_violation(rules, "ran_twice", "%s/%u starts on %s at %.3f s", job, index,
                               machine->id, rules_seconds(now));
    if (!submission_allows_machine(submission, machine) ||
        judged_job_zone_capacity(judged, machine->zone) <= 0)
        rules_report_violation(rules, "wrong_place", "%s/%u starts on %s (%s, %s%s) at %.3f s", job,
                               index, machine->id, machine->type_name, machine->zone,
                               machine->spot ? ", spot" : "", rules_seconds(now));
    for (char **a = submission->awaits; a && *a; a++)
        if (!judged_job_is_done(judged_job_get(rules, *a)))
            rules_report_violation(rules, "too_early", "%s/%u starts at %.3f s, before %s is done",
                                   job, index, rules_seconds(now), *a);
    judged_job_place(rules, judged, now, machine, index);
    int team = settings_find_team(rules->settings, submission->team_name);
    if (team >= 0 && !team_limit_allows(&g_array_index(rules->settings->teams, struct team, team),
                                        rules->used[team], (struct need){0}, 0))
        rules_report_violation(
            rules, "quota", "%s uses %.3f processors and %.3f cards with %s/%u at %.3f s",
            submission->team_name, (double)rules->used[team].cpus / 1000,
            (double)rules->used[team].gpus / 1000, job, index, rules_seconds(now));
}

static void judge_stays(struct rules *rules, const struct judged_job *judged, mono_time now,
                        const struct placed_task *task)
{
    if (judged->cancelled && time_ms_since(now, judged->cancelled_at) >
                                 (int64_t)(rules->settings->cancel_timeout_s * 1000))
        rules_report_violation(rules, "ran_cancelled",
                               "%s/%u was on %s until %.3f s, cancelled at %.3f s", judged->id,
                               task->task_index, task->machine, rules_seconds(now),
                               rules_seconds(judged->cancelled_at));
}

void rules_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                uint32_t index)
{
    struct judged_job *judged = judged_job_get(rules, job);
    for (guint i = 0; i < judged->on->len; i++) {
        struct placed_task *task = &g_array_index(judged->on, struct placed_task, i);
        if (task->task_index != index || strcmp(task->machine, machine) != 0)
            continue;
        judge_stays(rules, judged, now, task);
        if (judged_job_team_use(rules, judged))
            need_add(judged_job_team_use(rules, judged), judged->submission->each, -1);
        g_array_remove_index_fast(judged->on, i);
        return;
    }
}

void rules_done(struct rules *rules, const char *job, uint32_t index)
{
    struct judged_job *judged = judged_job_get(rules, job);
    judged->n_done += task_set_add(judged->done_once, index);
}

const char *rules_end(struct rules *rules, mono_time now)
{
    GHashTableIter it;
    struct judged_job *judged;
    g_hash_table_iter_init(&it, rules->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&judged))
        for (guint i = 0; i < judged->on->len; i++)
            judge_stays(rules, judged, now, &g_array_index(judged->on, struct placed_task, i));
    return rules->broken->len ? rules->broken->str : NULL;
}
