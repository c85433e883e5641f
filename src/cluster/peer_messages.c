/**
 * @file
 * Encoders and decoders of the messages about the health of nodes.
 */
#include "peer_messages.h"

#include "node_rpc.h"

/** Field names on the wire. */
static const char FIELD_QUESTION[] = "q";
static const char FIELD_REPLICA_REVISION[] = "at";
static const char FIELD_JOB[] = "j";
static const char FIELD_REVISION[] = "r";
static const char FIELD_IS_SERVED[] = "served";
static const char FIELD_NEWEST_COMMITTED[] = "told";
static const char FIELD_UPTIME_MS[] = "up_ms";
static const char FIELD_CANCELS[] = "cancelled";
static const char FIELD_HAS_ALL_CANCELS[] = "all";
static const char FIELD_RENEWAL_AGE_MS[] = "ago_ms";

/** The elements of the array that encodes a cancellation in a health report. */
enum cancel_element { CANCEL_ELEMENT_JOB, CANCEL_ELEMENT_REVISION };

cJSON *peer_question_encode(const struct peer_question *question)
{
    cJSON *message = cJSON_CreateObject();
    node_rpc_put_u64(message, FIELD_QUESTION, question->number);
    node_rpc_put_u64(message, FIELD_REPLICA_REVISION, question->replica_revision.value);
    return message;
}

struct peer_question peer_question_decode(const cJSON *message)
{
    struct peer_question question = {0};
    node_rpc_get_u64(message, FIELD_REPLICA_REVISION, &question.replica_revision.value);
    node_rpc_get_u64(message, FIELD_QUESTION, &question.number);
    return question;
}

cJSON *cancel_notice_encode(const struct cancel_notice *notice)
{
    cJSON *message = cJSON_CreateObject();
    cJSON_AddStringToObject(message, FIELD_JOB, notice->job.text);
    node_rpc_put_u64(message, FIELD_REVISION, notice->committed_at.value);
    return message;
}

bool cancel_notice_decode(const cJSON *message, struct cancel_notice *notice)
{
    const char *job_text = node_rpc_get_string(message, FIELD_JOB);
    return job_text && job_id_parse(&notice->job, job_text) &&
           node_rpc_get_u64(message, FIELD_REVISION, &notice->committed_at.value);
}

static cJSON *encode_cancel_element(const struct cancel_notice *notice)
{
    cJSON *pair = cJSON_CreateArray();
    char revision_text[24];
    g_snprintf(revision_text, sizeof revision_text, "%" G_GUINT64_FORMAT,
               notice->committed_at.value);
    cJSON_AddItemToArray(pair, cJSON_CreateString(notice->job.text));
    cJSON_AddItemToArray(pair, cJSON_CreateString(revision_text));
    return pair;
}

static bool decode_cancel_element(const cJSON *pair, struct cancel_notice *notice)
{
    const cJSON *job_item = cJSON_GetArrayItem(pair, CANCEL_ELEMENT_JOB);
    const cJSON *revision_item = cJSON_GetArrayItem(pair, CANCEL_ELEMENT_REVISION);
    return cJSON_IsString(job_item) && job_id_parse(&notice->job, job_item->valuestring) &&
           node_rpc_parse_u64(revision_item, &notice->committed_at.value);
}

cJSON *health_report_encode(const struct health_report *report)
{
    cJSON *message = cJSON_CreateObject();
    cJSON_AddBoolToObject(message, FIELD_IS_SERVED, report->is_served);
    node_rpc_put_u64(message, FIELD_QUESTION, report->question_number);
    node_rpc_put_u64(message, FIELD_NEWEST_COMMITTED, report->newest_committed.value);
    cJSON_AddNumberToObject(message, FIELD_UPTIME_MS, (double)report->uptime_ms);
    cJSON *cancels = cJSON_AddArrayToObject(message, FIELD_CANCELS);
    for (guint i = 0; i < report->cancels->len; i++)
        cJSON_AddItemToArray(cancels, encode_cancel_element(&g_array_index(
                                          report->cancels, struct cancel_notice, i)));
    cJSON_AddBoolToObject(message, FIELD_HAS_ALL_CANCELS, report->has_all_cancels);
    return message;
}

/** Returns whether the list is well-formed and marked as complete. */
static bool decode_cancels(const cJSON *message, GArray *cancels)
{
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(message, FIELD_CANCELS);
    const cJSON *pair;
    if (!cJSON_IsArray(list))
        return false;
    cJSON_ArrayForEach(pair, list)
    {
        struct cancel_notice notice;
        if (!decode_cancel_element(pair, &notice))
            return false;
        g_array_append_val(cancels, notice);
    }
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(message, FIELD_HAS_ALL_CANCELS));
}

bool health_report_decode(const cJSON *message, struct health_report *report)
{
    const cJSON *is_served = cJSON_GetObjectItemCaseSensitive(message, FIELD_IS_SERVED);
    const cJSON *uptime = cJSON_GetObjectItemCaseSensitive(message, FIELD_UPTIME_MS);
    if (!cJSON_IsBool(is_served) || !cJSON_IsNumber(uptime))
        return false;
    *report = (struct health_report){.is_served = cJSON_IsTrue(is_served),
                                     .uptime_ms = (int64_t)uptime->valuedouble};
    if (!node_rpc_get_u64(message, FIELD_QUESTION, &report->question_number))
        report->question_number = 0;
    node_rpc_get_u64(message, FIELD_NEWEST_COMMITTED, &report->newest_committed.value);
    report->cancels = g_array_new(FALSE, FALSE, sizeof(struct cancel_notice));
    report->has_all_cancels = decode_cancels(message, report->cancels);
    return true;
}

void health_report_clear(struct health_report *report)
{
    g_clear_pointer(&report->cancels, g_array_unref);
}

cJSON *proxy_report_encode(const struct proxy_report *report)
{
    cJSON *message = cJSON_CreateObject();
    cJSON_AddNumberToObject(message, FIELD_RENEWAL_AGE_MS, report->last_renewal_age_ms);
    return message;
}

bool proxy_report_decode(const cJSON *message, struct proxy_report *report)
{
    const cJSON *age = cJSON_GetObjectItemCaseSensitive(message, FIELD_RENEWAL_AGE_MS);
    if (!cJSON_IsNumber(age))
        return false;
    report->last_renewal_age_ms = age->valuedouble;
    return true;
}
