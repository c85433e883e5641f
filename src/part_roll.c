/* What machines are, many in one value: until a machine is on such a list each page that names it
 * has to say so, which takes more room there than its tasks do. */
#include "part_state.h"

#include "log.h"

enum {
    ROLL_MS = 4000,  /* machines that come meanwhile go on the list together */
    LOST_MS = 12000, /* those that are gone are taken off */
    VALUE_BYTES = 32,
};

struct rolling {
    struct part *part;
    uint64_t generation;
    int number;
};

static struct own_roll *roll_at(struct part *p, int number)
{
    while ((int)p->rolls->len <= number)
        g_ptr_array_add(p->rolls, g_new0(struct own_roll, 1));
    return p->rolls->pdata[number];
}

/* Makes what we hold of our lists agree with the view. */
void part_rolls_sync(struct part *p)
{
    GHashTableIter it;
    struct roll *r;
    struct host *h;
    for (guint i = 0; i < p->rolls->len; i++)
        *roll_at(p, (int)i) = (struct own_roll){0};
    g_hash_table_iter_init(&it, p->view->rolls);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&r)) {
        if (strcmp(r->label, p->settings->label) != 0)
            continue;
        struct own_roll *own = roll_at(p, r->number);
        own->stamp = r->stamp;
        for (guint i = 0; i < r->hosts->len; i++) {
            struct host_record *rec = r->hosts->pdata[i];
            own->dirty = own->dirty || !part_host_get(p, rec->id.s);
        }
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        struct host_record *rec = view_host(p->view, h->id.s);
        bool own = rec && rec->roll && strcmp(rec->roll->label, p->settings->label) == 0;
        h->roll = own ? rec->roll->number : -1;
        h->on_roll = false;
    }
}

void part_roll_lost(struct part *p, const struct host *h)
{
    if (h->roll >= 0)
        roll_at(p, h->roll)->dirty = true;
}

static bool to_be_listed(const struct host *h)
{
    return h->roll < 0 && !h->stamp.v && !h->gone && h->addr[0] && part_host_has_run(h);
}

bool part_roll_due(struct part *p)
{
    if (part_plain(p) || time_ms_since(loop_now(p->loop), p->rolled_at) < ROLL_MS)
        return false;
    int64_t lost = time_ms_since(loop_now(p->loop), p->rolled_at) - LOST_MS;
    for (guint i = 0; lost >= 0 && i < p->rolls->len; i++)
        if (roll_at(p, (int)i)->dirty)
            return true;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (to_be_listed(h))
            return true;
    return false;
}

static gsize list_host(struct host *h, GString *text)
{
    char *about = machine_about(h->addr, h->build, h->yard, h->loaners);
    gsize before = text->len;
    if (about)
        page_write_about(text, h->id, about);
    g_free(about);
    return text->len - before;
}

static void roll_over(void *arg, bool ok)
{
    struct rolling *x = arg;
    part_write_over(x->part, x->generation, ok);
    g_free(x);
}

static void roll_answered(void *arg, const struct txn_outcome *o)
{
    struct rolling *x = arg;
    struct part *p = x->part;
    if (o->result == TXN_CONFLICT) {
        view_await(p->view, o->at, roll_over, x);
    } else if (o->result == TXN_UNKNOWN) {
        view_barrier(p->view, roll_over, x);
    } else if (o->result == TXN_DONE && x->generation == p->generation) {
        GHashTableIter it;
        struct host *h;
        g_hash_table_iter_init(&it, p->hosts);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
            if (h->on_roll)
                h->roll = x->number;
            h->on_roll = false;
        }
        roll_at(p, x->number)->stamp = o->at;
        p->txn_out = false;
        part_flush_soon(p);
        g_free(x);
    } else {
        roll_over(x, false);
    }
}

/* The list to be written: one that names machines that are no longer ours, else the last one, which
 * may be new. */
static int choose(struct part *p)
{
    for (guint i = 0; i < p->rolls->len; i++)
        if (roll_at(p, (int)i)->dirty)
            return (int)i;
    return p->rolls->len ? (int)p->rolls->len - 1 : 0;
}

/* What stays on a list, and what may be added. */
static void compose(struct part *p, int number, GString *text)
{
    gsize most = store_limits(p->store)->value_bytes - VALUE_BYTES;
    GHashTableIter it;
    struct host *h;
    for (int added = 0; added < 2; added++) {
        g_hash_table_iter_init(&it, p->hosts);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
            if (added ? !to_be_listed(h) : h->roll != number || h->gone || h->stamp.v)
                continue;
            gsize before = text->len;
            h->on_roll = list_host(h, text) > 0;
            if (text->len <= most)
                continue;
            g_string_truncate(text, before);
            h->on_roll = false;
            if (number == (int)p->rolls->len - 1)
                roll_at(p, number + 1); /* the rest goes on another one */
            return;
        }
    }
}

void part_roll(struct part *p)
{
    int number = choose(p);
    struct own_roll *own = roll_at(p, number);
    GString *text = g_string_new(NULL);
    compose(p, number, text);
    own->dirty = false;
    p->rolled_at = loop_now(p->loop);
    char *key = key_roll(p->settings->label, number);
    json_object *value = json_object_new_object();
    json_put_text(value, "a", text->str);
    struct txn *t = part_txn(p);
    txn_when(t, key, own->stamp);
    txn_set(t, key, value, (lease_id){0});
    g_free(key);
    g_string_free(text, TRUE);
    struct rolling *x = g_new(struct rolling, 1);
    *x = (struct rolling){p, p->generation, number};
    p->write_level -= 1;
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, t, roll_answered, x);
}
