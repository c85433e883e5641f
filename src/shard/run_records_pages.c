/* This node's pages: which of them a machine's records are on, and how much room they have. */
#include "run_records_internal.h"

enum {
    VALUE_BYTES = 32,   /* of a page's value besides its texts */
    MOST_INDEX = 99999, /* a task's number, as long as it may get in a text */
};

gsize shard_text_bytes(const struct shard *shard)
{
    return store_limits(shard->store)->value_bytes - VALUE_BYTES;
}

bool shard_page_long(const struct shard *shard, const struct page *page)
{
    return page->bytes > shard_text_bytes(shard);
}

bool shard_plain(const struct shard *shard)
{
    return !membership_all_understand(shard->members, NODE_VERSION_PIPELINES);
}

void shard_page_free(gpointer q)
{
    struct own_page *page = q;
    g_array_unref(page->leftover);
    g_free(page);
}

struct own_page *shard_own_page(struct shard *shard, int number)
{
    while ((int)shard->pages->len <= number) {
        struct own_page *page = g_new0(struct own_page, 1);
        page->leftover = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
        g_ptr_array_add(shard->pages, page);
    }
    return shard->pages->pdata[number];
}

struct page *shard_page_seen(struct shard *shard, int number)
{
    char *key = key_page(shard->settings->label, number);
    struct page *page = g_hash_table_lookup(shard->view->pages, key);
    g_free(key);
    return page;
}

bool shard_own_page_long(struct shard *shard, int number)
{
    struct page *page = shard_page_seen(shard, number);
    return page && shard_page_long(shard, page);
}

bool shard_own_page_empty(struct shard *shard, int number)
{
    return !shard_own_page(shard, number)->bytes && !shard_page_seen(shard, number) &&
           !shard_own_page_long(shard, number);
}

int shard_page_of_host(const struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        if (run->phase != RUN_GONE && run->record.page >= 0)
            return run->record.page;
    }
    return -1;
}

const char *shard_host_about(struct host *host)
{
    if (host->stamp.v || host->described || host->inventory >= 0)
        return NULL;
    if (!host->about)
        host->about = machine_about(host->addr, host->type_name, host->zone, host->spot);
    return host->about;
}

struct page_rec shard_record_of(struct host *host, const struct run *run)
{
    return (struct page_rec){host->id, run->job, run->attempt, run->index, shard_host_about(host)};
}

bool shard_record_has_room(struct shard *shard, struct host *host, job_id job)
{
    if (!shard_plain(shard))
        return true;
    for (guint i = 0; i < host->runs->len; i++)
        if (((struct run *)host->runs->pdata[i])->record.foreign)
            return false;
    int page = shard_page_of_host(host);
    if (page < 0)
        return true;
    struct page_rec record = {host->id, job, {UINT64_MAX}, MOST_INDEX, shard_host_about(host)};
    return !shard_own_page_long(shard, page) &&
           shard_own_page(shard, page)->bytes + page_cost(&record, false, false) <=
               shard_text_bytes(shard);
}

void shard_record_new(struct shard *shard, struct host *host, job_id job)
{
    int page = shard_page_of_host(host);
    struct page_rec record = {host->id, job, {UINT64_MAX}, MOST_INDEX, shard_host_about(host)};
    if (page >= 0)
        shard_own_page(shard, page)->bytes += page_cost(&record, false, false);
    shard_dirty(shard);
}

void shard_page_keep(struct shard *shard, int number, gsize bytes)
{
    shard_own_page(shard, number)->bytes += bytes;
}

gsize shard_page_room(struct shard *shard, int number)
{
    gsize most = shard_text_bytes(shard),
          used = shard_own_page(shard, number)->bytes + shard_marks_growth(shard, number);
    return shard_own_page_long(shard, number) || used > most ? 0 : most - used;
}
