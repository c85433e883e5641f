/** Progress: jobs that wait although there is room, and the shares of each class and team. */
#include "rules_internal.h"

#include <string.h>

static struct need machine_room(json_object *types, const char *type_name)
{
    json_object *list = rules_json_field(types, "Builds");
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *t = json_object_array_get_idx(list, i);
        if (strcmp(json_object_get_string(rules_json_field(t, "Label")), type_name) == 0)
            return type_resources(t);
    }
    return (struct need){0};
}

/* Whether one of the job's tasks, or of a gang all that are missing, could be started now. */
static bool could_start(const struct judged_job *judged, int64_t missing,
                        const struct rules_machine *machines, const struct need *free, guint n)
{
    const struct submission *submission = judged->submission;
    int64_t ask = submission->form == GANG ? missing : 1, sum = 0, best = 0;
    for (guint i = 0; i < n; i++) { /* each zone once: at its first machine */
        bool first = true;
        for (guint k = 0; k < i && first; k++)
            first = strcmp(machines[k].zone, machines[i].zone) != 0;
        int64_t zone = 0;
        for (guint k = i; k < n && first; k++)
            if (strcmp(machines[k].zone, machines[i].zone) == 0 &&
                submission_allows_machine(submission, &machines[k]))
                zone += count_tasks_that_fit(free[k], submission->each);
        zone = MIN(zone, judged_job_zone_capacity(judged, machines[i].zone));
        sum += first ? zone : 0;
        best = MAX(best, first ? zone : 0);
    }
    return (submission->one_zone ? best : sum) >= ask;
}

static bool waits_in_vain(struct rules *rules, struct judged_job *judged,
                          const struct rules_machine *machines, const struct need *free, guint n)
{
    const struct submission *submission = judged->submission;
    if (!judged->accepted || judged->by_user || judged->over_by_hand || !submission ||
        submission->lacks || judged->cancelled || judged->done)
        return false;
    int64_t missing = 0;
    for (uint32_t t = 0; t < submission->tasks; t++)
        missing += !task_set_contains(judged->done_once, t) && !judged_job_is_on_machine(judged, t);
    int team = settings_find_team(rules->settings, submission->team_name);
    if (!missing || team < 0)
        return false;
    for (char **a = submission->awaits; a && *a; a++)
        if (!judged_job_is_done(judged_job_get(rules, *a)))
            return false;
    return team_limit_allows(&g_array_index(rules->settings->teams, struct team, team),
                             rules->used[team], submission->each,
                             submission->form == GANG ? missing : 1) &&
           could_start(judged, missing, machines, free, n);
}

void rules_look(struct rules *rules, mono_time now, const struct rules_machine *machines, guint n)
{
    json_object *types = json_tokener_parse(rules->types);
    struct need *free = g_new0(struct need, n + 1);
    GList *jobs = g_hash_table_get_values(rules->jobs);
    for (guint i = 0; i < n; i++) {
        free[i] = machine_room(types, machines[i].type_name);
        for (GList *x = jobs; x; x = x->next) {
            struct judged_job *judged = x->data;
            for (guint k = 0; k < judged->on->len; k++)
                if (judged->submission &&
                    strcmp(g_array_index(judged->on, struct placed_task, k).machine,
                           machines[i].id) == 0)
                    need_add(&free[i], judged->submission->each, -1);
        }
    }
    for (GList *x = jobs; x; x = x->next) {
        struct judged_job *judged = x->data;
        bool waits = waits_in_vain(rules, judged, machines, free, n);
        if (waits && !judged->waits)
            judged->waits_from = now;
        judged->waits = waits;
        if (waits && time_ms_since(now, judged->waits_from) >= RULES_WAIT_MS) {
            rules_report_violation(rules, "waits", "%s since %.3f s, with room for it", judged->id,
                                   rules_seconds(judged->waits_from));
            judged->waits_from = now;
        }
    }
    g_list_free(jobs);
    g_free(free);
    json_object_put(types);
}

struct share {
    int all, served, largest, begun;
    int64_t most; /* tasks of the largest jobs */
};

static struct share *share_get(GHashTable *shares, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, " ", name, NULL);
    struct share *share = g_hash_table_lookup(shares, key);
    if (!share)
        g_hash_table_insert(shares, g_strdup(key), share = g_new0(struct share, 1));
    g_free(key);
    return share;
}

static bool counts(struct rules *rules, struct judged_job *judged)
{
    return judged->accepted && judged->submission && !judged->submission->lacks &&
           !judged_job_may_be_cancelled(rules, judged, 0);
}

void rules_shares(struct rules *rules)
{
    GHashTable *shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GList *jobs = g_hash_table_get_values(rules->jobs);
    for (GList *x = jobs; x; x = x->next) {
        struct judged_job *judged = x->data;
        if (!counts(rules, judged))
            continue;
        struct share *class = share_get(shares, "class", judged->submission->job_class),
                     *team = share_get(shares, "team", judged->submission->team_name);
        class->all++;
        team->all++;
        class->served += judged->begun;
        team->served += judged->begun;
        class->most = MAX(class->most, judged->submission->tasks);
    }
    for (GList *x = jobs; x; x = x->next) {
        struct judged_job *judged = x->data;
        struct share *class = counts(rules, judged)
                                  ? share_get(shares, "class", judged->submission->job_class)
                                  : NULL;
        if (!class || judged->submission->tasks < class->most)
            continue;
        class->largest++;
        class->begun +=
            judged->begun && time_ms_since(judged->begun_at, judged->asked_at) <= RULES_BEGIN_MS;
    }
    GHashTableIter it;
    char *name;
    struct share *share;
    g_hash_table_iter_init(&it, shares);
    while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&share)) {
        if (2 * share->served < share->all)
            rules_report_violation(rules, "shares", "%s: %d of %d served", name, share->served,
                                   share->all);
        if (2 * share->begun < share->largest)
            rules_report_violation(rules, "shares", "%s: %d of %d largest begun in time", name,
                                   share->begun, share->largest);
    }
    g_list_free(jobs);
    g_hash_table_unref(shares);
}
