/** Checks of the responses to users' requests. */
#include "rules_internal.h"

#include <string.h>

/* Returns a copy of the id of the job that a request is about, or NULL if there is none. */
static char *copy_job_id(const char *method, const char *path, const char *body)
{
    if (strcmp(path, "/work") == 0) {
        json_object *object = strcmp(method, "POST") == 0 && body ? rules_parse_object(body) : NULL;
        char *id = rules_copy_json_string(object, "Id");
        json_object_put(object);
        return id;
    }
    if (!g_str_has_prefix(path, "/work/"))
        return NULL;
    const char *at = path + strlen("/work/");
    return g_strndup(at, strcspn(at, "/"));
}

static bool is_cancel_request(const char *method, const char *path)
{
    return strcmp(method, "POST") == 0 && g_str_has_suffix(path, "/abort");
}

void rules_user_request_sent(struct rules *rules, mono_time now, const char *method,
                             const char *path, const char *body)
{
    char *id = copy_job_id(method, path, body);
    if (!id)
        return;
    struct observed_job *observed = observed_job_get(rules, id);
    g_free(id);
    if (is_cancel_request(method, path))
        observed->cancel_requested = true;
    if (strcmp(path, "/work") != 0)
        return;
    if (observed->open_submissions++ == 0)
        observed->submitted_at = now;
    if (observed->accepted)
        return;
    json_object *object = rules_parse_object(body);
    struct submission *submission = submission_parse(object);
    json_object_put(object);
    if (submission->invalid_field && observed->submission) {
        submission_free(submission);
        return;
    }
    submission_free(observed->submission);
    observed->submission = submission;
}

/* Checks a response that reports the stage of a job. */
static void check_reported_stage(struct rules *rules, struct observed_job *observed, mono_time now,
                                 mono_time sent_at, const char *stage)
{
    if (!observed->accepted && observed->open_submissions <= 0)
        rules_report_violation(
            rules, "invented",
            "%s, which was not submitted or was refused, is reported as %s at %.3f s", observed->id,
            stage, rules_seconds(now));
    if (!observed->accepted) {
        observed->accepted = true;
        observed->accepted_at = now;
    }
    bool cancelled = strcmp(stage, "cancelled") == 0, done = strcmp(stage, "done") == 0;
    if (observed->cancelled && !cancelled &&
        (done || !time_before(sent_at, observed->cancelled_at)))
        rules_report_violation(rules, "went_back",
                               "%s was cancelled and is reported as %s at %.3f s", observed->id,
                               stage, rules_seconds(now));
    if (observed->done && !done && (cancelled || !time_before(sent_at, observed->done_at)))
        rules_report_violation(rules, "went_back", "%s was done and is reported as %s at %.3f s",
                               observed->id, stage, rules_seconds(now));
    if (cancelled && !observed->cancelled) {
        observed->cancelled = true;
        observed->cancelled_at = now;
        if (!observed_job_may_be_cancelled(rules, observed, 0))
            rules_report_violation(
                rules, "went_back",
                "%s is reported as cancelled at %.3f s, but no user cancelled it", observed->id,
                rules_seconds(now));
    }
    if (done && !observed->done) {
        observed->done = true;
        observed->done_at = now;
        if (!observed_job_is_done(observed))
            rules_report_violation(
                rules, "not_done", "%s is reported as done at %.3f s, with only %d tasks completed",
                observed->id, rules_seconds(now), (int)observed->completed_count);
    }
}

static void check_submission_response(struct rules *rules, struct observed_job *observed,
                                      mono_time now, mono_time sent_at, const char *body,
                                      int status, const char *stage)
{
    json_object *object = rules_parse_object(body);
    struct submission *submission = submission_parse(object);
    json_object_put(object);
    if (status == 200 || status == 201) {
        if (status == 201 || !observed->accepted)
            submission_check_accepted(rules, observed->id, submission);
        if (!observed->accepted && !submission->invalid_field) {
            submission_free(observed->submission);
            observed->submission = submission;
            submission = NULL;
        }
        check_reported_stage(rules, observed, now, sent_at, stage);
    } else if (status == 400 || status == 422) {
        observed->open_submissions--;
        if (observed->accepted && !submission->invalid_field &&
            !time_before(sent_at, observed->accepted_at))
            rules_report_violation(rules, "forgotten",
                                   "%s was accepted and is refused with %d at %.3f s", observed->id,
                                   status, rules_seconds(now));
    }
    submission_free(submission);
}

void rules_user_request_answered(struct rules *rules, mono_time now, mono_time sent_at,
                                 const char *method, const char *path, const char *body, int status,
                                 const char *response_body)
{
    char *id = copy_job_id(method, path, body);
    if (!id)
        return;
    struct observed_job *observed = observed_job_get(rules, id);
    g_free(id);
    json_object *object = rules_parse_object(response_body);
    char *stage = rules_copy_json_string(object, "Stage");
    json_object_put(object);
    const char *reported_stage = stage ? stage : "nothing";
    if (strcmp(path, "/work") == 0)
        check_submission_response(rules, observed, now, sent_at, body, status, reported_stage);
    else if (status == 200)
        check_reported_stage(rules, observed, now, sent_at, reported_stage);
    else if (status == 404 && observed->accepted && !time_before(sent_at, observed->accepted_at))
        rules_report_violation(rules, "forgotten", "%s was accepted and gets 404 at %.3f s",
                               observed->id, rules_seconds(now));
    g_free(stage);
}
