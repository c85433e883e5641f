#include "role_manager.h"

#include "log.h"

enum { CLAIM_RETRY_MS = 150 };

enum duty_phase {
    PHASE_FREE,     /* not held by this process */
    PHASE_CLAIMING, /* a claim is on its way */
    PHASE_HELD,
    PHASE_LEAVING, /* a release or a hand-over is on its way */
};

/* One duty, as this node sees it. */
struct standing {
    struct duties *duties;
    enum duty duty;
    enum duty_phase phase;
    bool wanted;
    duty_token token;     /* with PHASE_HELD and PHASE_LEAVING */
    mono_time not_before; /* the next claim */
    revision settled_at;  /* the replica has to be there to tell what became of a transaction */
    bool unsettled;       /* it was not within the time allowed, and is waited for again */
};

struct duties {
    struct duties_setup setup;
    struct standing standings[DUTIES];
    GPtrArray *listeners;
    struct timer retry;
};

static void await_settled(struct standing *standing);

static void retry(void *arg)
{
    struct duties *duties = arg;
    for (int i = 0; i < DUTIES; i++)
        if (duties->standings[i].unsettled)
            await_settled(&duties->standings[i]);
    duties_consider(duties);
}

struct duties *duties_new(const struct duties_setup *setup)
{
    struct duties *duties = g_new0(struct duties, 1);
    duties->setup = *setup;
    duties->listeners = g_ptr_array_new();
    for (int i = 0; i < DUTIES; i++)
        duties->standings[i] = (struct standing){.duties = duties, .duty = (enum duty)i};
    timer_init(&duties->retry, retry, duties);
    return duties;
}

void duties_free(struct duties *duties)
{
    timer_stop(duties->setup.loop, &duties->retry);
    g_ptr_array_unref(duties->listeners);
    g_free(duties);
}

void duties_listen(struct duties *duties, struct actor *listener)
{
    g_ptr_array_add(duties->listeners, listener);
}

static void tell(const struct standing *standing, bool gained)
{
    const struct duties *duties = standing->duties;
    struct duty_change change = {standing->duty, gained, standing->token};
    LOG_INFO(gained ? "duty_gained" : "duty_lost", "duty=%s token=%" G_GUINT64_FORMAT,
             duty_name(standing->duty), standing->token.v);
    for (guint i = 0; i < duties->listeners->len; i++)
        actor_send(duties->setup.loop, duties->listeners->pdata[i], MSG_DUTY,
                   g_memdup2(&change, sizeof change), g_free);
}

static lease_id own_lease(const struct duties *duties)
{
    return duties->setup.lease(duties->setup.ctx);
}

/* Whether the record names this process. */
static bool record_is_own(const struct duties *duties, enum duty duty)
{
    const struct duty_record *record = duty_table_record(duties->setup.table, duty);
    lease_id lease = own_lease(duties);
    return record->token.v && lease.v && record->holder.incarnation.v == lease.v &&
           strcmp(record->holder.label, duties->setup.label) == 0;
}

static void schedule(struct duties *duties)
{
    if (!duties->retry.place)
        timer_start(duties->setup.loop, &duties->retry, CLAIM_RETRY_MS);
}

/* The transaction of a claim, a release or a hand-over is settled: the records tell what holds.
 * One whose answer was lost may still be carried out later; then the record changes once more. */
static void settled(void *arg, bool ok)
{
    struct standing *standing = arg;
    standing->unsettled = !ok;
    if (!ok) {
        schedule(standing->duties);
        return;
    }
    standing->phase = PHASE_FREE;
    standing->not_before = time_add_ms(loop_now(standing->duties->setup.loop), CLAIM_RETRY_MS);
    duties_consider(standing->duties);
}

static void await_settled(struct standing *standing)
{
    const struct duties_setup *setup = &standing->duties->setup;
    standing->unsettled = false;
    setup->await(setup->ctx, standing->settled_at, settled, standing);
}

static void txn_answered(void *arg, const struct txn_outcome *outcome)
{
    struct standing *standing = arg;
    bool known = outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT;
    standing->settled_at = known ? outcome->at : (revision){0};
    await_settled(standing);
}

static struct txn *guarded(const struct standing *standing)
{
    struct txn *txn = txn_new();
    char *key = key_duty(standing->duty);
    txn_when(txn, key, (revision){standing->token.v});
    g_free(key);
    return txn;
}

static void send(struct standing *standing, struct txn *txn)
{
    store_txn(standing->duties->setup.store, LANE_URGENT, txn, txn_answered, standing);
}

static void claim(struct standing *standing)
{
    const struct duties_setup *setup = &standing->duties->setup;
    struct duty_holder self = {.incarnation = own_lease(standing->duties)};
    g_strlcpy(self.label, setup->label, sizeof self.label);
    standing->phase = PHASE_CLAIMING;
    standing->token.v = 0;
    struct txn *txn = guarded(standing);
    if (setup->claim_conditions)
        setup->claim_conditions(setup->ctx, standing->duty, txn);
    char *key = key_duty(standing->duty);
    txn_set(txn, key, duty_holder_write(&self), self.incarnation);
    g_free(key);
    send(standing, txn);
}

/* The duty is given up at once; the record follows. */
static void leave(struct standing *standing)
{
    standing->phase = PHASE_LEAVING;
    tell(standing, false);
}

static void give_up(struct standing *standing)
{
    leave(standing);
    struct txn *txn = guarded(standing);
    char *key = key_duty(standing->duty);
    txn_remove(txn, key);
    g_free(key);
    send(standing, txn);
}

static void lose(struct standing *standing)
{
    standing->phase = PHASE_FREE;
    tell(standing, false);
    standing->token.v = 0;
}

/* The record says that this process holds it: by its claim, by one whose answer was lost, or by
 * another's hand-over. The replica then holds all that earlier holders recorded, as their writes
 * were conditioned on their tokens. */
static void gain(struct standing *standing)
{
    standing->phase = PHASE_HELD;
    standing->token = duty_table_record(standing->duties->setup.table, standing->duty)->token;
    tell(standing, true);
}

static void consider_one(struct standing *standing)
{
    struct duties *duties = standing->duties;
    const struct duty_record *record = duty_table_record(duties->setup.table, standing->duty);
    bool own = record_is_own(duties, standing->duty);
    if (standing->phase == PHASE_HELD && (!own || record->token.v != standing->token.v))
        lose(standing);
    if (standing->phase == PHASE_FREE && own)
        gain(standing);
    if (standing->phase == PHASE_HELD && !standing->wanted)
        give_up(standing);
    if (standing->phase != PHASE_FREE || !standing->wanted || record->token.v)
        return;
    if (!duties->setup.lease_holds(duties->setup.ctx))
        return;
    if (time_before(loop_now(duties->setup.loop), standing->not_before))
        schedule(duties);
    else
        claim(standing);
}

void duties_consider(struct duties *duties)
{
    for (int i = 0; i < DUTIES; i++)
        consider_one(&duties->standings[i]);
}

void duties_claim(struct duties *duties, enum duty duty)
{
    struct standing *standing = &duties->standings[duty];
    if (standing->wanted && standing->phase != PHASE_FREE)
        return;
    standing->wanted = true;
    consider_one(standing);
}

void duties_release(struct duties *duties, enum duty duty)
{
    struct standing *standing = &duties->standings[duty];
    if (!standing->wanted && standing->phase == PHASE_FREE)
        return;
    standing->wanted = false;
    consider_one(standing);
}

bool duties_hand_over(struct duties *duties, enum duty duty, const struct duty_holder *successor)
{
    struct standing *standing = &duties->standings[duty];
    if (standing->phase != PHASE_HELD)
        return false;
    standing->wanted = false;
    leave(standing);
    struct txn *txn = guarded(standing);
    char *key = key_duty(duty);
    /* On the successor's lease: if that is over, the transaction is refused. */
    txn_set(txn, key, duty_holder_write(successor), successor->incarnation);
    g_free(key);
    send(standing, txn);
    return true;
}

bool duties_holds(const struct duties *duties, enum duty duty)
{
    const struct standing *standing = &duties->standings[duty];
    return standing->phase == PHASE_HELD && record_is_own(duties, duty) &&
           duty_table_record(duties->setup.table, duty)->token.v == standing->token.v;
}

bool duties_may_act(struct duties *duties, enum duty duty)
{
    loop_refresh(duties->setup.loop);
    return duties_holds(duties, duty) && duties->setup.lease_holds(duties->setup.ctx);
}

duty_token duties_token(const struct duties *duties, enum duty duty)
{
    return duties->standings[duty].token;
}

void duties_guard(const struct duties *duties, enum duty duty, struct txn *txn)
{
    char *key = key_duty(duty);
    txn_when(txn, key, (revision){duties_token(duties, duty).v});
    g_free(key);
}
