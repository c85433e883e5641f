/* Marks: the tasks that this node saw done, and the pages that say so. They only add up: a view
 * joins what all pages say. */
#include "run_records_internal.h"

#include "log.h"

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

static char *unit_key(job_id job, uint32_t unit_number)
{
    return g_strdup_printf("%s %u", job.text, unit_number);
}

static GPtrArray *find_units(struct shard *shard, job_id job, uint32_t unit_number)
{
    char *key = unit_key(job, unit_number);
    GPtrArray *units = g_hash_table_lookup(shard->records.completion_units, key);
    g_free(key);
    return units;
}

/* The bytes of a unit's bits when all its tasks are done. */
guint shard_completion_unit_bytes(const struct job *job, uint32_t unit_number)
{
    return MIN((guint)COMPLETION_UNIT_TASKS,
               job->task_count - unit_number * COMPLETION_UNIT_TASKS) /
               8 +
           1;
}

/* Room on its page that it may still come to take. */
static gsize unit_reserved_bytes(const struct completion_unit *unit, const struct job *job)
{
    guint max_bytes = shard_completion_unit_bytes(job, unit->number);
    return !unit->is_moving && max_bytes > unit->bits->len
               ? 2 * (gsize)(max_bytes - unit->bits->len)
               : 0;
}

static struct completion_unit *find_unit(struct shard *shard, job_id job, uint32_t unit_number,
                                         int page_number)
{
    GPtrArray *units = find_units(shard, job, unit_number);
    for (guint i = 0; units && i < units->len; i++) {
        struct completion_unit *unit = units->pdata[i];
        if (unit->page == page_number)
            return unit;
    }
    return NULL;
}

static struct completion_unit *get_or_add_unit(struct shard *shard, job_id job,
                                               uint32_t unit_number, int page_number)
{
    struct completion_unit *unit = find_unit(shard, job, unit_number, page_number);
    if (unit)
        return unit;
    GPtrArray *units = find_units(shard, job, unit_number);
    if (!units) {
        units = g_ptr_array_new_with_free_func(unit_free);
        g_hash_table_insert(shard->records.completion_units, unit_key(job, unit_number), units);
    }
    unit = g_new0(struct completion_unit, 1);
    unit->job = job;
    unit->number = unit_number;
    unit->bits = g_byte_array_new();
    unit->page = page_number;
    g_ptr_array_add(units, unit);
    return unit;
}

/* It says nothing any more. */
static void unit_clear(struct completion_unit *unit)
{
    g_byte_array_set_size(unit->bits, 0);
    unit->is_unwritten = unit->is_moving = false;
}

typedef void (*unit_callback)(struct shard *shard, struct completion_unit *unit, void *ctx);

static void for_each_unit(struct shard *shard, unit_callback callback, void *ctx)
{
    GHashTableIter iter;
    GPtrArray *units;
    g_hash_table_iter_init(&iter, shard->records.completion_units);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&units))
        for (guint i = 0; i < units->len; i++)
            callback(shard, units->pdata[i], ctx);
}

static bool unit_has_bit(const struct completion_unit *unit, uint32_t bit)
{
    return bit / 8 < unit->bits->len && (unit->bits->data[bit / 8] >> (bit % 8) & 1);
}

/* A mark far within a long job takes a long word while nodes of version 0 may read it; if that is
 * too long the task stays on record until they cannot. */
bool shard_can_record_completion(struct shard *shard, const struct task_run *run)
{
    gsize cost = completions_max_bytes(run->job, run->index / COMPLETION_UNIT_TASKS,
                                       COMPLETION_UNIT_BYTES, true);
    return cost <= shard_max_page_bytes(shard) / 2 || !shard_uses_legacy_format(shard);
}

static gsize unit_cost(struct shard *shard, const struct job *job, uint32_t unit_number)
{
    return completions_max_bytes(job->id, unit_number,
                                 shard_completion_unit_bytes(job, unit_number),
                                 shard_uses_legacy_format(shard));
}

/* The mark goes on the page that loses the task's record, if there is room: one write does both. */
void shard_add_completion(struct shard *shard, struct task_run *run)
{
    struct job *job = shard_find_live_job(shard, run->job);
    if (!job)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t unit_number = run->index / COMPLETION_UNIT_TASKS,
             bit = run->index % COMPLETION_UNIT_TASKS;
    int page_number = run->record.page;
    struct completion_unit *existing =
        page_number >= 0 ? find_unit(shard, job->id, unit_number, page_number) : NULL;
    if (existing && existing->is_moving) {
        page_number = -1;
    } else if (page_number >= 0 && !existing) {
        gsize cost = unit_cost(shard, job, unit_number);
        if (shard_page_free_bytes(shard, page_number) < cost)
            page_number = -1;
        else
            shard_page_reserve(shard, page_number, cost);
    }
    struct completion_unit *unit = get_or_add_unit(shard, job->id, unit_number, page_number);
    bitmap_grow(unit->bits, bit / 8 + 1);
    unit->bits->data[bit / 8] |= (guint8)(1 << (bit % 8));
    unit->is_unwritten = unit->changed_in_txn = true;
    shard->records.is_dirty = true;
}

struct settings_reader {
    struct shard *shard;
    int page;
};

/* What an earlier process of this label wrote stays on its page. */
static void read_unit(void *ctx, job_id job, uint32_t unit_number, const GByteArray *bits)
{
    struct settings_reader *reader = ctx;
    struct job *live_job = shard_find_live_job(reader->shard, job);
    if (!live_job || unit_number * COMPLETION_UNIT_TASKS >= live_job->task_count)
        return;
    struct completion_unit *unit =
        get_or_add_unit(reader->shard, live_job->id, unit_number, reader->page);
    bitmap_merge(unit->bits, bits);
}

void shard_completions_read(struct shard *shard, const char *text, int page_number)
{
    struct settings_reader reader = {shard, page_number};
    completions_decode(text, read_unit, &reader);
}

/* Whether other pages say for good all that this one does. */
static bool is_covered_elsewhere(struct shard *shard, const struct completion_unit *unit)
{
    GPtrArray *units = find_units(shard, unit->job, unit->number);
    for (uint32_t bit = 0; bit < unit->bits->len * 8; bit++) {
        bool covered = !unit_has_bit(unit, bit);
        for (guint i = 0; i < units->len && !covered; i++) {
            const struct completion_unit *other = units->pdata[i];
            covered = other != unit && !other->is_unwritten && !other->is_moving &&
                      other->page >= 0 && unit_has_bit(other, bit);
        }
        if (!covered)
            return false;
    }
    return true;
}

struct unit_writer {
    struct page_completions *out;
    int page;
    bool legacy_format;
};

static void write_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct unit_writer *writer = ctx;
    struct job *job = unit->page == writer->page ? shard_find_live_job(shard, unit->job) : NULL;
    if (!job || (unit->is_moving && is_covered_elsewhere(shard, unit)))
        return;
    completions_encode(writer->out->text, unit->job, unit->number, unit->bits,
                       writer->legacy_format);
    writer->out->has_unwritten = writer->out->has_unwritten || unit->is_unwritten;
    writer->out->reserved_bytes += unit_reserved_bytes(unit, job);
}

void shard_completions_write(struct shard *shard, int page_number, bool legacy_format,
                             struct page_completions *out)
{
    g_string_truncate(out->text, 0);
    out->reserved_bytes = 0;
    out->has_unwritten = false;
    struct unit_writer writer = {out, page_number, legacy_format};
    for_each_unit(shard, write_unit, &writer);
}

/* Marks that are too much for their page go to others. They stay on the first until these say so.
 */
static void move_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    int *page_number = ctx;
    if (unit->page != *page_number || unit->is_moving)
        return;
    LOG_INFO("marks_move", "page=%d job=%s", unit->page, unit->job.text);
    unit->is_moving = true;
    *page_number = -2; /* one at a time */
    struct completion_unit *other = get_or_add_unit(shard, unit->job, unit->number, -1);
    bitmap_merge(other->bits, unit->bits);
    other->is_unwritten = true;
}

struct reserved_total {
    int page;
    gsize bytes;
};

static void add_reserved_bytes(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct reserved_total *total = ctx;
    struct job *job = unit->page == total->page ? shard_find_live_job(shard, unit->job) : NULL;
    if (job)
        total->bytes += unit_reserved_bytes(unit, job);
}

/* Room that marks on a page may still take. */
gsize shard_completions_reserved_bytes(struct shard *shard, int page_number)
{
    struct reserved_total total = {page_number, 0};
    for_each_unit(shard, add_reserved_bytes, &total);
    return total.bytes;
}

void shard_completions_move(struct shard *shard, int page_number)
{
    for_each_unit(shard, move_unit, &page_number);
}

struct unit_placement {
    const int *pages;
    guint page_count;
    bool has_unplaced;
};

static void place_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct unit_placement *placement = ctx;
    struct job *job = shard_find_live_job(shard, unit->job);
    if (unit->page >= 0 || !unit->is_unwritten || !job)
        return;
    gsize cost = unit_cost(shard, job, unit->number);
    for (guint i = 0; i < placement->page_count; i++) {
        int page_number = placement->pages[i];
        struct completion_unit *existing = find_unit(shard, unit->job, unit->number, page_number);
        if (existing ? existing->is_moving : shard_page_free_bytes(shard, page_number) < cost)
            continue;
        if (existing) {
            bitmap_merge(existing->bits, unit->bits);
            existing->is_unwritten = true;
            unit_clear(unit);
        } else {
            shard_page_reserve(shard, page_number, cost);
            unit->page = page_number;
        }
        return;
    }
    placement->has_unplaced = true;
}

bool shard_completions_place(struct shard *shard, const int *pages, guint page_count)
{
    struct unit_placement placement = {pages, page_count, false};
    for_each_unit(shard, place_unit, &placement);
    return !placement.has_unplaced;
}

bool shard_completion_is_written(struct shard *shard, const struct task_run *run,
                                 page_predicate is_written, const void *ctx)
{
    if (run->end.proof != RUN_END_COMPLETED || !shard_find_live_job(shard, run->job))
        return true;
    GPtrArray *units = find_units(shard, run->job, run->index / COMPLETION_UNIT_TASKS);
    for (guint i = 0; units && i < units->len; i++) {
        struct completion_unit *unit = units->pdata[i];
        if (unit_has_bit(unit, run->index % COMPLETION_UNIT_TASKS) && !unit->is_moving &&
            (!unit->is_unwritten || (unit->page >= 0 && is_written(ctx, unit->page))))
            return true;
    }
    return false;
}

struct durability_check {
    page_predicate written;
    const void *ctx;
};

static void mark_unit_durable(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct durability_check *check = ctx;
    if (unit->page < 0 || !check->written(check->ctx, unit->page))
        return;
    if (unit->is_moving && is_covered_elsewhere(shard, unit))
        unit_clear(unit);
    else if (!unit->changed_in_txn)
        unit->is_unwritten = false;
}

void shard_completions_mark_durable(struct shard *shard, page_predicate is_written, const void *ctx)
{
    struct durability_check check = {is_written, ctx};
    for_each_unit(shard, mark_unit_durable, &check);
}

bool shard_completions_add_demand(struct shard *shard, double *page_weights, double weight)
{
    bool has_unplaced = false;
    GHashTableIter iter;
    GPtrArray *units;
    g_hash_table_iter_init(&iter, shard->records.completion_units);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&units)) {
        if (!shard_find_live_job(shard, ((struct completion_unit *)units->pdata[0])->job)) {
            g_hash_table_iter_remove(&iter); /* over: it goes with the next write of its page */
            continue;
        }
        for (guint i = 0; i < units->len; i++) {
            struct completion_unit *unit = units->pdata[i];
            unit->changed_in_txn = false;
            if (unit->is_unwritten && unit->page >= 0)
                page_weights[unit->page] += weight;
            has_unplaced = has_unplaced || (unit->is_unwritten && unit->page < 0);
        }
    }
    return has_unplaced;
}
