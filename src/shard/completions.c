/**
 * @file
 * The completions of tasks on this node's machines: those that it saw, and those that its pages
 * stored before. completion_pages.c assigns them to pages.
 */
#include "completions_internal.h"
#include "run_records_internal.h"

/* ---- units ---- */

static void unit_free(gpointer data)
{
    struct completion_unit *unit = data;
    g_byte_array_unref(unit->bits);
    g_free(unit);
}

void shard_completion_units_free(gpointer data)
{
    g_ptr_array_unref(data);
}

char *completion_unit_key(job_id job, uint32_t unit_number)
{
    return g_strdup_printf("%s %u", job.text, unit_number);
}

GPtrArray *completion_units_find(struct shard *shard, job_id job, uint32_t unit_number)
{
    char *key = completion_unit_key(job, unit_number);
    GPtrArray *units = g_hash_table_lookup(shard->records.completion_units, key);
    g_free(key);
    return units;
}

struct completion_unit *completion_unit_find(struct shard *shard, job_id job, uint32_t unit_number,
                                             int page_number)
{
    GPtrArray *units = completion_units_find(shard, job, unit_number);
    for (guint i = 0; units && i < units->len; i++) {
        struct completion_unit *unit = units->pdata[i];
        if (unit->page == page_number)
            return unit;
    }
    return NULL;
}

static struct completion_unit *unit_new(job_id job, uint32_t unit_number, int page_number)
{
    struct completion_unit *unit = g_new0(struct completion_unit, 1);
    unit->job = job;
    unit->number = unit_number;
    unit->bits = g_byte_array_new();
    unit->page = page_number;
    return unit;
}

struct completion_unit *completion_unit_get(struct shard *shard, job_id job, uint32_t unit_number,
                                            int page_number)
{
    struct completion_unit *unit = completion_unit_find(shard, job, unit_number, page_number);
    if (unit)
        return unit;
    GPtrArray *units = completion_units_find(shard, job, unit_number);
    if (!units) {
        units = g_ptr_array_new_with_free_func(unit_free);
        g_hash_table_insert(shard->records.completion_units, completion_unit_key(job, unit_number),
                            units);
    }
    unit = unit_new(job, unit_number, page_number);
    g_ptr_array_add(units, unit);
    return unit;
}

void completion_units_for_each(struct shard *shard, completion_unit_callback callback, void *ctx)
{
    GHashTableIter iter;
    GPtrArray *units;
    g_hash_table_iter_init(&iter, shard->records.completion_units);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&units))
        for (guint i = 0; i < units->len; i++)
            callback(shard, units->pdata[i], ctx);
}

bool completion_unit_has_bit(const struct completion_unit *unit, uint32_t bit)
{
    return bit / 8 < unit->bits->len && (unit->bits->data[bit / 8] >> (bit % 8) & 1);
}

static void unit_set_bit(struct completion_unit *unit, uint32_t bit)
{
    bitmap_grow(unit->bits, bit / 8 + 1);
    unit->bits->data[bit / 8] |= (guint8)(1 << (bit % 8));
}

/* ---- sizes ---- */

guint shard_completion_unit_bytes(const struct job *job, uint32_t unit_number)
{
    guint later_tasks = job->task_count - unit_number * COMPLETION_UNIT_TASKS;
    return MIN((guint)COMPLETION_UNIT_TASKS, later_tasks) / 8 + 1;
}

gsize completion_unit_max_bytes(struct shard *shard, const struct job *job, uint32_t unit_number)
{
    return completions_max_bytes(job->id, unit_number,
                                 shard_completion_unit_bytes(job, unit_number),
                                 shard_uses_legacy_format(shard));
}

/** In the legacy format, the higher the index of a task, the longer its encoded completion. If it
 * might be too long for a page, the end of the task is not recorded until nodes of version 0 can no
 * longer read the pages. */
bool shard_can_record_completion(struct shard *shard, const struct task_run *run)
{
    gsize legacy_bytes = completions_max_bytes(run->job, run->index / COMPLETION_UNIT_TASKS,
                                               COMPLETION_UNIT_BYTES, true);
    return legacy_bytes <= shard_max_page_bytes(shard) / 2 || !shard_uses_legacy_format(shard);
}

/* ---- which tasks completed ---- */

/** Returns the page for a completion: the one with the run's record, so that one write both removes
 * the record and adds the completion. -1 if that page has too few free bytes, or the unit is being
 * moved off it. Reserves the bytes of a new unit on the page. */
static int choose_completion_page(struct shard *shard, const struct job *job, uint32_t unit_number,
                                  int record_page)
{
    if (record_page < 0)
        return -1;
    struct completion_unit *existing =
        completion_unit_find(shard, job->id, unit_number, record_page);
    if (existing)
        return existing->is_moving ? -1 : record_page;
    gsize unit_bytes = completion_unit_max_bytes(shard, job, unit_number);
    if (shard_page_free_bytes(shard, record_page) < unit_bytes)
        return -1;
    shard_page_reserve(shard, record_page, unit_bytes);
    return record_page;
}

void shard_add_completion(struct shard *shard, struct task_run *run)
{
    struct job *job = shard_find_active_job(shard, run->job);
    if (!job)
        return; /* cancelled: its completions are no longer needed */
    uint32_t unit_number = run->index / COMPLETION_UNIT_TASKS;
    int page_number = choose_completion_page(shard, job, unit_number, run->record.page);
    struct completion_unit *unit = completion_unit_get(shard, job->id, unit_number, page_number);
    unit_set_bit(unit, run->index % COMPLETION_UNIT_TASKS);
    unit->is_unwritten = true;
    unit->changed_since_txn = true;
    shard->records.is_dirty = true;
}

/** The page that is being read. */
struct completions_reader {
    struct shard *shard;
    int page_number;
};

/** Adds the bits of a unit that a page stores; a completions_callback. They stay on that page, even
 * if an earlier process of this node wrote them. */
static void read_unit(void *ctx, job_id job, uint32_t unit_number, const GByteArray *bits)
{
    struct completions_reader *reader = ctx;
    struct job *active_job = shard_find_active_job(reader->shard, job);
    if (!active_job || unit_number * COMPLETION_UNIT_TASKS >= active_job->task_count)
        return;
    struct completion_unit *unit =
        completion_unit_get(reader->shard, active_job->id, unit_number, reader->page_number);
    bitmap_merge(unit->bits, bits);
}

void shard_completions_read(struct shard *shard, const char *text, int page_number)
{
    struct completions_reader reader = {shard, page_number};
    completions_decode(text, read_unit, &reader);
}

/** Whether a unit's bits are durable, or will be once the pages of the predicate are written. */
static bool is_unit_written(const struct completion_unit *unit, page_predicate is_written,
                            const void *ctx)
{
    if (unit->is_moving)
        return false;
    return !unit->is_unwritten || (unit->page >= 0 && is_written(ctx, unit->page));
}

bool shard_completion_is_written(struct shard *shard, const struct task_run *run,
                                 page_predicate is_written, const void *ctx)
{
    if (run->end.proof != RUN_END_COMPLETED || !shard_find_active_job(shard, run->job))
        return true; /* there is no completion to record */
    GPtrArray *units = completion_units_find(shard, run->job, run->index / COMPLETION_UNIT_TASKS);
    for (guint i = 0; units && i < units->len; i++) {
        struct completion_unit *unit = units->pdata[i];
        if (completion_unit_has_bit(unit, run->index % COMPLETION_UNIT_TASKS) &&
            is_unit_written(unit, is_written, ctx))
            return true;
    }
    return false;
}
