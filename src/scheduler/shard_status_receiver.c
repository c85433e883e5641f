#include "shard_status_receiver.h"

#include "image_cache.h"
#include "machine_health.h"
#include "quota_ledger.h"

enum {
    AVOID_MS = 1500,       /* a machine to which a task could not be given */
    RAISE_AFTER_MS = 5000, /* the epoch is raised no sooner after it began */
};

/* How a task ended on a machine: the time it took, or the cause of its failure. */
static void on_event(struct leader *leader, const cJSON *event)
{
    const char *host_name = bus_text(event, "h"), *job_name = bus_text(event, "j");
    const cJSON *cause = cJSON_GetObjectItemCaseSensitive(event, "c");
    const cJSON *took = cJSON_GetObjectItemCaseSensitive(event, "took");
    struct leader_job *job = job_name ? leader_job_get(leader, job_name) : NULL;
    struct leader_host *host = host_name ? leader_host_get(leader, host_name) : NULL;
    if (job_name && host && cJSON_IsNumber(took))
        leader_learn_run_time(leader, job_name, host, took->valuedouble);
    if (job && host && cJSON_IsNumber(cause))
        leader_task_failed(leader, job, host, (enum cause)cause->valuedouble);
}

/* What a digest says of a machine: an array with these fields. */
enum host_field {
    FIELD_ID,
    FIELD_TYPE,
    FIELD_ZONE,
    FIELD_SPOT,
    FIELD_FLAGS,
    FIELD_IMAGES, /* only if they have changed */
};

/* The same, read. */
struct host_report {
    host_id id;
    const char *type_name, *zone;
    bool spot;
    int flags;
    const cJSON *images; /* NULL: as before */
};

/* False if it is malformed. */
static bool read_host(const cJSON *item, struct host_report *report)
{
    const cJSON *id = cJSON_GetArrayItem(item, FIELD_ID);
    const cJSON *type_name = cJSON_GetArrayItem(item, FIELD_TYPE);
    const cJSON *zone = cJSON_GetArrayItem(item, FIELD_ZONE);
    const cJSON *spot = cJSON_GetArrayItem(item, FIELD_SPOT);
    const cJSON *flags = cJSON_GetArrayItem(item, FIELD_FLAGS);
    if (!cJSON_IsString(id) || !host_id_from(&report->id, id->valuestring) ||
        !cJSON_IsString(type_name) || !cJSON_IsString(zone) || !cJSON_IsBool(spot) ||
        !cJSON_IsNumber(flags))
        return false;
    report->type_name = type_name->valuestring;
    report->zone = zone->valuestring;
    report->spot = cJSON_IsTrue(spot);
    report->flags = (int)flags->valuedouble;
    report->images = cJSON_GetArrayItem(item, FIELD_IMAGES);
    return true;
}

static void take_images(struct leader_host *host, const cJSON *images)
{
    const cJSON *image;
    g_ptr_array_set_size(host->images, 0);
    cJSON_ArrayForEach(image, images)
    {
        if (cJSON_IsString(image))
            images_add(host->images, image->valuestring);
    }
}

/* What a machine is, and what it has fetched if that has changed. */
static void on_host(struct leader *leader, const char *from, const cJSON *item)
{
    struct host_report report;
    if (!read_host(item, &report))
        return;
    struct leader_host *host =
        leader_host_make(leader, report.id, report.type_name, report.zone, report.spot);
    g_free(host->owner);
    host->owner = g_strdup(from);
    host->flags = report.flags;
    host->told = true;
    if (report.images)
        take_images(host, report.images);
}

/* A deal that its shard could not place. */
static void on_back(struct leader *leader, const cJSON *item)
{
    job_id id;
    uint32_t index;
    attempt_no attempt;
    struct leader_job *job =
        bus_task_read(item, &id, &index, &attempt) ? leader_job_get(leader, id.s) : NULL;
    if (!job)
        return;
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    /* A gang's task may be dealt again under the same attempt: an answer that is said again must
     * not take back the later deal. */
    uint64_t number = 0;
    if (!deal || deal->attempt.v != attempt.v ||
        (bus_u64(item, "n", &number) && number != deal->number))
        return;
    if (deal->host)
        deal->host->avoid_until = time_add_ms(loop_now(leader->loop), AVOID_MS);
    leader_deal_drop(leader, job, index);
}

static bool owned_by(const struct leader_host *host, const char *owner)
{
    return host->owner && strcmp(host->owner, owner) == 0;
}

/* What a shard is told of its machines: those that are to get nothing more. */
static cJSON *shut_hosts(struct leader *leader, const char *owner)
{
    cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "shut");
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (owned_by(host, owner) &&
            (leader_host_slow(leader, host) || time_before(now, host->sick_until)))
            cJSON_AddItemToArray(list, cJSON_CreateString(host->id.s));
    return object;
}

/* A whole digest begins: none of the shard's machines has been told of yet. */
static void clear_told(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (owned_by(host, owner))
            host->told = false;
}

/* Machines that nobody tells of any more, and that hold nothing, are forgotten. */
static void forget_untold(struct leader *leader, const char *owner)
{
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (!host->told && owned_by(host, owner) && leader_host_idle(host) &&
            !view_host(leader->view, host->id.s))
            g_hash_table_iter_remove(&it);
}

/* Takes over what a digest lists. whole: it lists all machines of the shard, not only changes. */
static void take_lists(struct leader *leader, const char *from, const cJSON *digest, bool whole)
{
    const cJSON *hosts = cJSON_GetObjectItemCaseSensitive(digest, "hosts");
    const cJSON *back = cJSON_GetObjectItemCaseSensitive(digest, "back");
    const cJSON *news = cJSON_GetObjectItemCaseSensitive(digest, "news");
    const cJSON *item;
    if (whole)
        clear_told(leader, from);
    cJSON_ArrayForEach(item, hosts) on_host(leader, from, item);
    cJSON_ArrayForEach(item, back) on_back(leader, item);
    cJSON_ArrayForEach(item, news) on_event(leader, item);
    if (whole)
        forget_untold(leader, from);
}

/* Whether the digest is for this leader in its present epoch. */
static bool epoch_matches(const struct leader *leader, uint64_t epoch)
{
    return membership_leads(leader->members) && leader->leading && epoch == leader->epoch.v &&
           epoch == leader->view->epoch.v;
}

int leader_on_digest(void *ctx, const char *from, const cJSON *digest, cJSON **answer)
{
    struct leader *leader = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(digest, "e", &epoch) || !bus_u64(digest, "s", &seq))
        return 400;
    if (!epoch_matches(leader, epoch))
        return 409;
    struct leader_shard *shard = leader_shard_get(leader, from);
    bool whole = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(digest, "whole"));
    if (seq <= shard->digest_seq || (!whole && !shard->digested))
        return 409; /* after which the next one is whole */
    shard->digest_seq = seq;
    take_lists(leader, from, digest, whole);
    if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(digest, "raise")) &&
        time_ms_since(loop_now(leader->loop), leader->epoch_at) > RAISE_AFTER_MS)
        membership_raise(leader->members, "a command may still be on its way");
    *answer = shut_hosts(leader, from);
    shard->digested = shard->digested || whole;
    leader_pass_soon(leader);
    return 200;
}
