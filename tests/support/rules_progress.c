/**
 * Checks of progress: jobs that wait although they could run, and the share of jobs that start in
 * each class and team.
 */
#include "rules_internal.h"

#include <string.h>

static struct milli_resources find_machine_resources(json_object *types, const char *type_name)
{
    json_object *list = rules_json_field(types, "Builds");
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *t = json_object_array_get_idx(list, i);
        if (strcmp(json_object_get_string(rules_json_field(t, "Label")), type_name) == 0)
            return machine_type_resources(t);
    }
    return (struct milli_resources){0};
}

/* Returns whether one of the job's tasks, or for a gang all missing tasks, fit on the machines
 * now. */
static bool has_room_to_start(const struct observed_job *observed, int64_t missing,
                              const struct rules_machine *machines,
                              const struct milli_resources *free, guint n)
{
    const struct submission *submission = observed->submission;
    int64_t requested = submission->form == SUBMISSION_GANG ? missing : 1, all_zones = 0,
            best_zone = 0;
    for (guint i = 0; i < n; i++) { /* count each zone once, at its first machine */
        bool first = true;
        for (guint k = 0; k < i && first; k++)
            first = strcmp(machines[k].zone, machines[i].zone) != 0;
        int64_t zone_count = 0;
        for (guint k = i; k < n && first; k++)
            if (strcmp(machines[k].zone, machines[i].zone) == 0 &&
                submission_allows_machine(submission, &machines[k]))
                zone_count += count_tasks_that_fit(free[k], submission->per_task);
        zone_count = MIN(zone_count, observed_job_zone_capacity(observed, machines[i].zone));
        all_zones += first ? zone_count : 0;
        best_zone = MAX(best_zone, first ? zone_count : 0);
    }
    return (submission->one_zone ? best_zone : all_zones) >= requested;
}

/* Returns whether a job is missing tasks although its dependencies are done, its team is below its
 * limit, and there is room for them. */
static bool could_run_but_waits(struct rules *rules, struct observed_job *observed,
                                const struct rules_machine *machines,
                                const struct milli_resources *free, guint n)
{
    const struct submission *submission = observed->submission;
    if (!observed->accepted || observed->cancel_requested || observed->ended_by_test ||
        !submission || submission->invalid_field || observed->cancelled || observed->done)
        return false;
    int64_t missing = 0;
    for (uint32_t t = 0; t < submission->tasks; t++)
        missing += !task_set_contains(observed->completed_tasks, t) &&
                   !observed_job_is_on_machine(observed, t);
    int team = settings_find_team(rules->settings, submission->team_name);
    if (!missing || team < 0)
        return false;
    for (char **a = submission->dependencies; a && *a; a++)
        if (!observed_job_is_done(observed_job_get(rules, *a)))
            return false;
    return team_limit_allows(&g_array_index(rules->settings->teams, struct team, team),
                             rules->team_usage[team], submission->per_task,
                             submission->form == SUBMISSION_GANG ? missing : 1) &&
           has_room_to_start(observed, missing, machines, free, n);
}

void rules_check_waiting_jobs(struct rules *rules, mono_time now,
                              const struct rules_machine *machines, guint n)
{
    json_object *types = json_tokener_parse(rules->machine_types);
    struct milli_resources *free = g_new0(struct milli_resources, n + 1);
    GList *jobs = g_hash_table_get_values(rules->jobs);
    for (guint i = 0; i < n; i++) {
        free[i] = find_machine_resources(types, machines[i].type_name);
        for (GList *x = jobs; x; x = x->next) {
            struct observed_job *observed = x->data;
            for (guint k = 0; k < observed->placed_tasks->len; k++)
                if (observed->submission &&
                    strcmp(g_array_index(observed->placed_tasks, struct placed_task, k).machine,
                           machines[i].id) == 0)
                    milli_resources_add_times(&free[i], observed->submission->per_task, -1);
        }
    }
    for (GList *x = jobs; x; x = x->next) {
        struct observed_job *observed = x->data;
        bool is_waiting = could_run_but_waits(rules, observed, machines, free, n);
        if (is_waiting && !observed->is_waiting)
            observed->waiting_since = now;
        observed->is_waiting = is_waiting;
        if (is_waiting && time_ms_since(now, observed->waiting_since) >= RULES_MAX_WAIT_MS) {
            rules_report_violation(rules, "waits", "%s waits since %.3f s although it could run",
                                   observed->id, rules_seconds(observed->waiting_since));
            observed->waiting_since = now;
        }
    }
    g_list_free(jobs);
    g_free(free);
    json_object_put(types);
}

/* How many jobs of a class or team have started, and how many of the largest jobs of a class. */
struct start_share {
    int job_count, started_count, largest_job_count, largest_started_count;
    int64_t largest_task_count; /* number of tasks of the largest jobs */
};

static struct start_share *start_share_get(GHashTable *shares, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, " ", name, NULL);
    struct start_share *share = g_hash_table_lookup(shares, key);
    if (!share)
        g_hash_table_insert(shares, g_strdup(key), share = g_new0(struct start_share, 1));
    g_free(key);
    return share;
}

static bool is_counted(struct rules *rules, struct observed_job *observed)
{
    return observed->accepted && observed->submission && !observed->submission->invalid_field &&
           !observed_job_may_be_cancelled(rules, observed, 0);
}

void rules_check_start_shares(struct rules *rules)
{
    GHashTable *shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GList *jobs = g_hash_table_get_values(rules->jobs);
    for (GList *x = jobs; x; x = x->next) {
        struct observed_job *observed = x->data;
        if (!is_counted(rules, observed))
            continue;
        struct start_share *class =
            start_share_get(shares, "class", observed->submission->job_class),
                           *team = start_share_get(shares, "team", observed->submission->team_name);
        class->job_count++;
        team->job_count++;
        class->started_count += observed->all_tasks_started;
        team->started_count += observed->all_tasks_started;
        class->largest_task_count = MAX(class->largest_task_count, observed->submission->tasks);
    }
    for (GList *x = jobs; x; x = x->next) {
        struct observed_job *observed = x->data;
        struct start_share *class =
            is_counted(rules, observed)
                ? start_share_get(shares, "class", observed->submission->job_class)
                : NULL;
        if (!class || observed->submission->tasks < class->largest_task_count)
            continue;
        class->largest_job_count++;
        class->largest_started_count +=
            observed->all_tasks_started &&
            time_ms_since(observed->all_tasks_started_at, observed->submitted_at) <=
                RULES_START_LIMIT_MS;
    }
    GHashTableIter it;
    char *name;
    struct start_share *share;
    g_hash_table_iter_init(&it, shares);
    while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&share)) {
        if (2 * share->started_count < share->job_count)
            rules_report_violation(rules, "shares", "%s: only %d of %d jobs have started", name,
                                   share->started_count, share->job_count);
        if (2 * share->largest_started_count < share->largest_job_count)
            rules_report_violation(rules, "shares",
                                   "%s: only %d of the %d largest jobs have started in time", name,
                                   share->largest_started_count, share->largest_job_count);
    }
    g_list_free(jobs);
    g_hash_table_unref(shares);
}
