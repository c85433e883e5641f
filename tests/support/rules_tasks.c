/** Checks of tasks that start on machines and leave them. */
#include "rules_internal.h"

#include <string.h>

/* Adds an index to a set; returns whether it is new. */
static bool task_set_add(GByteArray *task_set, uint32_t index)
{
    guint before = task_set->len;
    if (index >= before) {
        g_byte_array_set_size(task_set, index + 1);
        memset(task_set->data + before, 0, index + 1 - before);
    }
    bool first = !task_set->data[index];
    task_set->data[index] = 1;
    return first;
}

bool task_set_contains(const GByteArray *task_set, uint32_t index)
{
    return index < task_set->len && task_set->data[index];
}

void milli_resources_add_times(struct milli_resources *sum, struct milli_resources added,
                               int64_t times)
{
    sum->cpus += times * added.cpus;
    sum->gpus += times * added.gpus;
    sum->memory += times * added.memory;
}

struct milli_resources *observed_job_team_usage(struct rules *rules,
                                                const struct observed_job *observed)
{
    int team = observed->submission && !observed->submission->invalid_field
                   ? settings_find_team(rules->settings, observed->submission->team_name)
                   : -1;
    return team < 0 ? NULL : &rules->team_usage[team];
}

bool submission_allows_machine(const struct submission *submission,
                               const struct rules_machine *machine)
{
    return (!submission->type_names ||
            string_list_contains(submission->type_names, machine->type_name)) &&
           (!submission->zone || strcmp(submission->zone, machine->zone) == 0) &&
           (submission->may_use_spot || !machine->spot);
}

int64_t observed_job_zone_capacity(const struct observed_job *observed, const char *zone)
{
    int64_t here = 0;
    for (guint i = 0; i < observed->placed_tasks->len; i++)
        here +=
            strcmp(g_array_index(observed->placed_tasks, struct placed_task, i).zone, zone) == 0;
    if (observed->submission->one_zone && here < observed->placed_tasks->len)
        return 0;
    return observed->submission->spread_over_zones
               ? MAX((observed->submission->tasks + 1) / 2 - here, 0)
               : observed->submission->tasks;
}

bool observed_job_is_on_machine(const struct observed_job *observed, uint32_t index)
{
    for (guint i = 0; i < observed->placed_tasks->len; i++)
        if (g_array_index(observed->placed_tasks, struct placed_task, i).task_index == index)
            return true;
    return false;
}

void observed_job_place_task(struct rules *rules, struct observed_job *observed, mono_time now,
                             const struct rules_machine *machine, uint32_t index)
{
    struct placed_task task = {.task_index = index};
    g_strlcpy(task.machine, machine->id, sizeof task.machine);
    g_strlcpy(task.zone, machine->zone, sizeof task.zone);
    g_array_append_val(observed->placed_tasks, task);
    if (observed_job_team_usage(rules, observed))
        milli_resources_add_times(observed_job_team_usage(rules, observed),
                                  observed->submission->per_task, 1);
    observed->started_count += task_set_add(observed->started_tasks, index);
    if (!observed->all_tasks_started && observed->submission &&
        observed->started_count >= observed->submission->tasks) {
        observed->all_tasks_started = true;
        observed->all_tasks_started_at = now;
    }
}

/* For users a job is cancelled from the moment a response reports it. From then on none of its
 * tasks may be started by a newer command, and none may be on a machine after cancel_timeout_s. */
static void check_start_after_cancel(struct rules *rules, const struct observed_job *observed,
                                     mono_time now, mono_time command_sent_at,
                                     const struct rules_machine *machine, uint32_t index)
{
    if (!observed->cancelled)
        return;
    if (time_before(observed->cancelled_at, command_sent_at))
        rules_report_violation(rules, "ran_cancelled",
                               "%s/%u starts on %s by a command of %.3f s, cancelled at %.3f s",
                               observed->id, index, machine->id, rules_seconds(command_sent_at),
                               rules_seconds(observed->cancelled_at));
    else if (time_ms_since(now, observed->cancelled_at) >
             (int64_t)(rules->settings->cancel_timeout_s * 1000))
        rules_report_violation(rules, "ran_cancelled",
                               "%s/%u starts on %s at %.3f s, cancelled at %.3f s", observed->id,
                               index, machine->id, rules_seconds(now),
                               rules_seconds(observed->cancelled_at));
}

void rules_task_started(struct rules *rules, mono_time now, mono_time command_sent_at,
                        const struct rules_machine *machine, const char *job, uint32_t index)
{
    struct observed_job *observed = observed_job_get(rules, job);
    const struct submission *submission = observed->submission;
    if (!submission || submission->invalid_field || index >= submission->tasks) {
        rules_report_violation(rules, "invented",
                               "%s/%u, which was not submitted, starts on %s at %.3f s", job, index,
                               machine->id, rules_seconds(now));
        return;
    }
    check_start_after_cancel(rules, observed, now, command_sent_at, machine, index);
    if (observed_job_is_on_machine(observed, index))
        rules_report_violation(rules, "ran_twice", "%s/%u starts on %s at %.3f s", job, index,
                               machine->id, rules_seconds(now));
    if (!submission_allows_machine(submission, machine) ||
        observed_job_zone_capacity(observed, machine->zone) <= 0)
        rules_report_violation(rules, "wrong_place", "%s/%u starts on %s (%s, %s%s) at %.3f s", job,
                               index, machine->id, machine->type_name, machine->zone,
                               machine->spot ? ", spot" : "", rules_seconds(now));
    for (char **a = submission->dependencies; a && *a; a++)
        if (!observed_job_is_done(observed_job_get(rules, *a)))
            rules_report_violation(rules, "too_early", "%s/%u starts at %.3f s, before %s is done",
                                   job, index, rules_seconds(now), *a);
    observed_job_place_task(rules, observed, now, machine, index);
    int team = settings_find_team(rules->settings, submission->team_name);
    if (team >= 0 && !team_limit_allows(&g_array_index(rules->settings->teams, struct team, team),
                                        rules->team_usage[team], (struct milli_resources){0}, 0))
        rules_report_violation(
            rules, "quota", "%s uses %.3f CPUs and %.3f GPUs with %s/%u at %.3f s",
            submission->team_name, (double)rules->team_usage[team].cpus / 1000,
            (double)rules->team_usage[team].gpus / 1000, job, index, rules_seconds(now));
}

static void check_presence_after_cancel(struct rules *rules, const struct observed_job *observed,
                                        mono_time now, const struct placed_task *task)
{
    if (observed->cancelled && time_ms_since(now, observed->cancelled_at) >
                                   (int64_t)(rules->settings->cancel_timeout_s * 1000))
        rules_report_violation(rules, "ran_cancelled",
                               "%s/%u was on %s until %.3f s, cancelled at %.3f s", observed->id,
                               task->task_index, task->machine, rules_seconds(now),
                               rules_seconds(observed->cancelled_at));
}

void rules_task_left(struct rules *rules, mono_time now, const char *machine, const char *job,
                     uint32_t index)
{
    struct observed_job *observed = observed_job_get(rules, job);
    for (guint i = 0; i < observed->placed_tasks->len; i++) {
        struct placed_task *task = &g_array_index(observed->placed_tasks, struct placed_task, i);
        if (task->task_index != index || strcmp(task->machine, machine) != 0)
            continue;
        check_presence_after_cancel(rules, observed, now, task);
        if (observed_job_team_usage(rules, observed))
            milli_resources_add_times(observed_job_team_usage(rules, observed),
                                      observed->submission->per_task, -1);
        g_array_remove_index_fast(observed->placed_tasks, i);
        return;
    }
}

void rules_task_completed(struct rules *rules, const char *job, uint32_t index)
{
    struct observed_job *observed = observed_job_get(rules, job);
    observed->completed_count += task_set_add(observed->completed_tasks, index);
}

const char *rules_finish(struct rules *rules, mono_time now)
{
    GHashTableIter it;
    struct observed_job *observed;
    g_hash_table_iter_init(&it, rules->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&observed))
        for (guint i = 0; i < observed->placed_tasks->len; i++)
            check_presence_after_cancel(
                rules, observed, now,
                &g_array_index(observed->placed_tasks, struct placed_task, i));
    return rules->violations->len ? rules->violations->str : NULL;
}
