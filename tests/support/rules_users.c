/** What users ask and are answered. */
#include "rules_internal.h"

#include <string.h>

/* The job that a request is about; NULL: none. */
static char *job_of(const char *method, const char *path, const char *body)
{
    if (strcmp(path, "/work") == 0) {
        json_object *object = strcmp(method, "POST") == 0 && body ? rules_parse_object(body) : NULL;
        char *id = rules_json_text(object, "Id");
        json_object_put(object);
        return id;
    }
    if (!g_str_has_prefix(path, "/work/"))
        return NULL;
    const char *at = path + strlen("/work/");
    return g_strndup(at, strcspn(at, "/"));
}

static bool is_abort(const char *method, const char *path)
{
    return strcmp(method, "POST") == 0 && g_str_has_suffix(path, "/abort");
}

void rules_asked(struct rules *rules, mono_time now, const char *method, const char *path,
                 const char *body)
{
    char *id = job_of(method, path, body);
    if (!id)
        return;
    struct judged_job *judged = judged_job_get(rules, id);
    g_free(id);
    if (is_abort(method, path))
        judged->by_user = true;
    if (strcmp(path, "/work") != 0)
        return;
    if (judged->open++ == 0)
        judged->asked_at = now;
    if (judged->accepted)
        return;
    json_object *object = rules_parse_object(body);
    struct submission *submission = submission_parse(object);
    json_object_put(object);
    if (submission->lacks && judged->submission) {
        submission_free(submission);
        return;
    }
    submission_free(judged->submission);
    judged->submission = submission;
}

/* A user hears of a job that it is known. */
static void told(struct rules *rules, struct judged_job *judged, mono_time now, mono_time asked,
                 const char *stage)
{
    if (!judged->accepted && judged->open <= 0)
        rules_report_violation(rules, "invented", "%s is said to be %s at %.3f s", judged->id,
                               stage, rules_seconds(now));
    if (!judged->accepted) {
        judged->accepted = true;
        judged->accepted_at = now;
    }
    bool cancelled = strcmp(stage, "cancelled") == 0, done = strcmp(stage, "done") == 0;
    if (judged->cancelled && !cancelled && (done || !time_before(asked, judged->cancelled_at)))
        rules_report_violation(rules, "went_back",
                               "%s was cancelled and is said to be %s at %.3f s", judged->id, stage,
                               rules_seconds(now));
    if (judged->done && !done && (cancelled || !time_before(asked, judged->done_at)))
        rules_report_violation(rules, "went_back", "%s was done and is said to be %s at %.3f s",
                               judged->id, stage, rules_seconds(now));
    if (cancelled && !judged->cancelled) {
        judged->cancelled = true;
        judged->cancelled_at = now;
        if (!judged_job_may_be_cancelled(rules, judged, 0))
            rules_report_violation(rules, "went_back",
                                   "%s is said to be cancelled, by nobody, at %.3f s", judged->id,
                                   rules_seconds(now));
    }
    if (done && !judged->done) {
        judged->done = true;
        judged->done_at = now;
        if (!judged_job_is_done(judged))
            rules_report_violation(rules, "not_done",
                                   "%s is said to be done at %.3f s, with %d tasks done",
                                   judged->id, rules_seconds(now), (int)judged->n_done);
    }
}

static void submission_answered(struct rules *rules, struct judged_job *judged, mono_time now,
                                mono_time asked, const char *body, int status, const char *stage)
{
    json_object *object = rules_parse_object(body);
    struct submission *submission = submission_parse(object);
    json_object_put(object);
    if (status == 200 || status == 201) {
        if (status == 201 || !judged->accepted)
            submission_judge_accepted(rules, judged->id, submission);
        if (!judged->accepted && !submission->lacks) {
            submission_free(judged->submission);
            judged->submission = submission;
            submission = NULL;
        }
        told(rules, judged, now, asked, stage);
    } else if (status == 400 || status == 422) {
        judged->open--;
        if (judged->accepted && !submission->lacks && !time_before(asked, judged->accepted_at))
            rules_report_violation(rules, "forgotten",
                                   "%s was accepted and is refused with %d at %.3f s", judged->id,
                                   status, rules_seconds(now));
    }
    submission_free(submission);
}

void rules_answered(struct rules *rules, mono_time now, mono_time asked, const char *method,
                    const char *path, const char *body, int status, const char *answer)
{
    char *id = job_of(method, path, body);
    if (!id)
        return;
    struct judged_job *judged = judged_job_get(rules, id);
    g_free(id);
    json_object *object = rules_parse_object(answer);
    char *stage = rules_json_text(object, "Stage");
    json_object_put(object);
    const char *said = stage ? stage : "nothing";
    if (strcmp(path, "/work") == 0)
        submission_answered(rules, judged, now, asked, body, status, said);
    else if (status == 200)
        told(rules, judged, now, asked, said);
    else if (status == 404 && judged->accepted && !time_before(asked, judged->accepted_at))
        rules_report_violation(rules, "forgotten", "%s was accepted and gets 404 at %.3f s",
                               judged->id, rules_seconds(now));
    g_free(stage);
}
