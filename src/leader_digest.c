#include "leader_digest.h"

#include "images.h"
#include "leader_health.h"
#include "leader_ledger.h"

enum {
    AVOID_MS = 1500,       /* a machine to which a task could not be given */
    RAISE_AFTER_MS = 5000, /* the epoch is raised no sooner after it began */
};

/* How a task ended on a machine: the time it took, or the cause of its failure. */
static void on_event(struct leader *leader, const cJSON *n)
{
    const char *host = bus_text(n, "h"), *job = bus_text(n, "j");
    const cJSON *cause = cJSON_GetObjectItemCaseSensitive(n, "c");
    const cJSON *took = cJSON_GetObjectItemCaseSensitive(n, "took");
    struct leader_job *j = job ? leader_job_get(leader, job) : NULL;
    struct leader_host *h = host ? leader_host_get(leader, host) : NULL;
    if (job && h && cJSON_IsNumber(took))
        leader_learn_run_time(leader, job, h, took->valuedouble);
    if (j && h && cJSON_IsNumber(cause))
        leader_task_failed(leader, j, h, (enum cause)cause->valuedouble);
}

/* What a machine is, and what it has fetched if that has changed. */
static void on_host(struct leader *leader, const char *from, const cJSON *x)
{
    const cJSON *id = cJSON_GetArrayItem(x, 0), *type_name = cJSON_GetArrayItem(x, 1);
    const cJSON *zone = cJSON_GetArrayItem(x, 2), *spot = cJSON_GetArrayItem(x, 3);
    const cJSON *flags = cJSON_GetArrayItem(x, 4);
    host_id hid;
    if (!cJSON_IsString(id) || !host_id_from(&hid, id->valuestring) || !cJSON_IsString(type_name) ||
        !cJSON_IsString(zone) || !cJSON_IsBool(spot) || !cJSON_IsNumber(flags))
        return;
    struct leader_host *host = leader_host_make(leader, hid, type_name->valuestring,
                                                zone->valuestring, cJSON_IsTrue(spot));
    g_free(host->owner);
    host->owner = g_strdup(from);
    host->flags = (int)flags->valuedouble;
    host->told = true;
    const cJSON *images = cJSON_GetArrayItem(x, 5), *image;
    if (!images)
        return;
    g_ptr_array_set_size(host->images, 0);
    cJSON_ArrayForEach(image, images)
    {
        if (cJSON_IsString(image))
            images_add(host->images, image->valuestring);
    }
}

/* A deal that its shard could not place. */
static void on_back(struct leader *leader, const cJSON *x)
{
    job_id job;
    uint32_t i;
    attempt_no attempt;
    struct leader_job *j =
        bus_task_read(x, &job, &i, &attempt) ? leader_job_get(leader, job.s) : NULL;
    if (!j)
        return;
    struct deal *deal = g_hash_table_lookup(j->deals, leader_key_of(i));
    /* A gang's task may be dealt again under the same attempt: an answer that is said again must
     * not take back the later deal. */
    uint64_t number = 0;
    if (!deal || deal->attempt.v != attempt.v ||
        (bus_u64(x, "n", &number) && number != deal->number))
        return;
    if (deal->host)
        deal->host->avoid_until = time_add_ms(loop_now(leader->loop), AVOID_MS);
    leader_deal_drop(leader, j, i);
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
static void take_lists(struct leader *leader, const char *from, const cJSON *m, bool whole)
{
    const cJSON *x;
    if (whole)
        clear_told(leader, from);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "hosts")) on_host(leader, from, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "back")) on_back(leader, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "news")) on_event(leader, x);
    if (whole)
        forget_untold(leader, from);
}

/* Whether the digest is for this leader in its present epoch. */
static bool epoch_matches(const struct leader *leader, uint64_t epoch)
{
    return membership_leads(leader->members) && leader->leading && epoch == leader->epoch.v &&
           epoch == leader->view->epoch.v;
}

int leader_on_digest(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    struct leader *leader = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(m, "e", &epoch) || !bus_u64(m, "s", &seq))
        return 400;
    if (!epoch_matches(leader, epoch))
        return 409;
    struct leader_shard *shard = leader_shard_get(leader, from);
    bool whole = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(m, "whole"));
    if (seq <= shard->digest_seq || (!whole && !shard->digested))
        return 409; /* after which the next one is whole */
    shard->digest_seq = seq;
    take_lists(leader, from, m, whole);
    if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(m, "raise")) &&
        time_ms_since(loop_now(leader->loop), leader->epoch_at) > RAISE_AFTER_MS)
        membership_raise(leader->members, "a command may still be on its way");
    *answer = shut_hosts(leader, from);
    shard->digested = shard->digested || whole;
    leader_pass_soon(leader);
    return 200;
}
