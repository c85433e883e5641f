/**
 * @file
 * Encodes and decodes the messages that nodes exchange about their health.
 */
#include "peer_messages.h"

#include "node_rpc.h"

/** Field names on the wire. */
static const char FIELD_REQUEST_NUMBER[] = "q";
static const char FIELD_REPLICA_REVISION[] = "at";
static const char FIELD_JOB[] = "j";
static const char FIELD_COMMITTED_REVISION[] = "r";
static const char FIELD_HAS_KV_ACCESS[] = "served";
static const char FIELD_NEWEST_COMMITTED_REVISION[] = "told";
static const char FIELD_UPTIME_MS[] = "up_ms";
static const char FIELD_CANCELS[] = "cancelled";
static const char FIELD_HAS_ALL_CANCELS[] = "all";
static const char FIELD_RENEWAL_AGE_MS[] = "ago_ms";

/** Indices in the two-element array that encodes a cancellation in a health report. */
enum cancel_pair_index { CANCEL_PAIR_JOB, CANCEL_PAIR_REVISION };

cJSON *peer_request_encode(const struct peer_request *request)
{
    cJSON *message = cJSON_CreateObject();
    node_rpc_put_u64(message, FIELD_REQUEST_NUMBER, request->number);
    node_rpc_put_u64(message, FIELD_REPLICA_REVISION, request->replica_revision.value);
    return message;
}

struct peer_request peer_request_decode(const cJSON *message)
{
    struct peer_request request = {0};
    node_rpc_get_u64(message, FIELD_REPLICA_REVISION, &request.replica_revision.value);
    node_rpc_get_u64(message, FIELD_REQUEST_NUMBER, &request.number);
    return request;
}

cJSON *cancel_notice_encode(const struct cancel_notice *notice)
{
    cJSON *message = cJSON_CreateObject();
    cJSON_AddStringToObject(message, FIELD_JOB, notice->job.text);
    node_rpc_put_u64(message, FIELD_COMMITTED_REVISION, notice->committed_revision.value);
    return message;
}

bool cancel_notice_decode(const cJSON *message, struct cancel_notice *notice)
{
    const char *job_string = node_rpc_get_string(message, FIELD_JOB);
    return job_string && job_id_parse(&notice->job, job_string) &&
           node_rpc_get_u64(message, FIELD_COMMITTED_REVISION, &notice->committed_revision.value);
}

static cJSON *encode_cancel_pair(const struct cancel_notice *notice)
{
    cJSON *pair = cJSON_CreateArray();
    char revision_string[24];
    g_snprintf(revision_string, sizeof revision_string, "%" G_GUINT64_FORMAT,
               notice->committed_revision.value);
    cJSON_AddItemToArray(pair, cJSON_CreateString(notice->job.text));
    cJSON_AddItemToArray(pair, cJSON_CreateString(revision_string));
    return pair;
}

static bool decode_cancel_pair(const cJSON *pair, struct cancel_notice *notice)
{
    const cJSON *job_item = cJSON_GetArrayItem(pair, CANCEL_PAIR_JOB);
    const cJSON *revision_item = cJSON_GetArrayItem(pair, CANCEL_PAIR_REVISION);
    return cJSON_IsString(job_item) && job_id_parse(&notice->job, job_item->valuestring) &&
           node_rpc_parse_u64(revision_item, &notice->committed_revision.value);
}

cJSON *health_report_encode(const struct health_report *report)
{
    cJSON *message = cJSON_CreateObject();
    cJSON_AddBoolToObject(message, FIELD_HAS_KV_ACCESS, report->has_kv_access);
    node_rpc_put_u64(message, FIELD_REQUEST_NUMBER, report->request_number);
    node_rpc_put_u64(message, FIELD_NEWEST_COMMITTED_REVISION,
                     report->newest_committed_revision.value);
    cJSON_AddNumberToObject(message, FIELD_UPTIME_MS, (double)report->uptime_ms);
    cJSON *cancels = cJSON_AddArrayToObject(message, FIELD_CANCELS);
    for (guint i = 0; i < report->cancels->len; i++)
        cJSON_AddItemToArray(
            cancels, encode_cancel_pair(&g_array_index(report->cancels, struct cancel_notice, i)));
    cJSON_AddBoolToObject(message, FIELD_HAS_ALL_CANCELS, report->has_all_cancels);
    return message;
}

/** Decodes a list of cancellations. Returns whether it is well-formed and marked as complete. */
static bool decode_cancels(const cJSON *message, GArray *cancels)
{
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(message, FIELD_CANCELS);
    const cJSON *pair;
    if (!cJSON_IsArray(list))
        return false;
    cJSON_ArrayForEach(pair, list)
    {
        struct cancel_notice notice;
        if (!decode_cancel_pair(pair, &notice))
            return false;
        g_array_append_val(cancels, notice);
    }
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(message, FIELD_HAS_ALL_CANCELS));
}

bool health_report_decode(const cJSON *message, struct health_report *report)
{
    const cJSON *kv_access_item = cJSON_GetObjectItemCaseSensitive(message, FIELD_HAS_KV_ACCESS);
    const cJSON *uptime_item = cJSON_GetObjectItemCaseSensitive(message, FIELD_UPTIME_MS);
    if (!cJSON_IsBool(kv_access_item) || !cJSON_IsNumber(uptime_item))
        return false;
    *report = (struct health_report){.has_kv_access = cJSON_IsTrue(kv_access_item),
                                     .uptime_ms = (int64_t)uptime_item->valuedouble};
    if (!node_rpc_get_u64(message, FIELD_REQUEST_NUMBER, &report->request_number))
        report->request_number = 0;
    node_rpc_get_u64(message, FIELD_NEWEST_COMMITTED_REVISION,
                     &report->newest_committed_revision.value);
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
    const cJSON *age_item = cJSON_GetObjectItemCaseSensitive(message, FIELD_RENEWAL_AGE_MS);
    if (!cJSON_IsNumber(age_item))
        return false;
    report->last_renewal_age_ms = age_item->valuedouble;
    return true;
}
