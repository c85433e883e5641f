#include "role_manager.h"

#include "log.h"

enum { CLAIM_RETRY_MS = 150 };

enum role_phase {
    ROLE_NOT_HELD, /* not held by this process */
    ROLE_CLAIMING, /* a claim is on its way */
    ROLE_HELD,
    ROLE_RELEASING, /* a release or a hand-over is on its way */
};

/* One duty, as this node sees it. */
struct role_state {
    struct role_manager *manager;
    enum singleton_role role;
    enum role_phase phase;
    bool is_wanted;
    fencing_token token;      /* with ROLE_HELD and ROLE_RELEASING */
    mono_time next_claim_at;  /* the next claim */
    revision settle_revision; /* the replica has to be there to tell what became of a transaction */
    bool settle_timed_out;    /* it was not within the time allowed, and is waited for again */
};

struct role_manager {
    struct role_manager_config config;
    struct role_state states[ROLE_COUNT];
    GPtrArray *listeners;
    struct timer retry_timer;
};

static void await_settled(struct role_state *state);

static void on_retry_timer(void *arg)
{
    struct role_manager *manager = arg;
    for (int i = 0; i < ROLE_COUNT; i++)
        if (manager->states[i].settle_timed_out)
            await_settled(&manager->states[i]);
    role_manager_reconcile(manager);
}

struct role_manager *role_manager_new(const struct role_manager_config *setup)
{
    struct role_manager *manager = g_new0(struct role_manager, 1);
    manager->config = *setup;
    manager->listeners = g_ptr_array_new();
    for (int i = 0; i < ROLE_COUNT; i++)
        manager->states[i] =
            (struct role_state){.manager = manager, .role = (enum singleton_role)i};
    timer_init(&manager->retry_timer, on_retry_timer, manager);
    return manager;
}

void role_manager_free(struct role_manager *manager)
{
    timer_stop(manager->config.loop, &manager->retry_timer);
    g_ptr_array_unref(manager->listeners);
    g_free(manager);
}

void role_manager_add_listener(struct role_manager *manager, struct actor *listener)
{
    g_ptr_array_add(manager->listeners, listener);
}

static void notify_listeners(const struct role_state *state, bool gained)
{
    const struct role_manager *manager = state->manager;
    struct role_change change = {state->role, gained, state->token};
    LOG_INFO(gained ? "duty_gained" : "duty_lost", "duty=%s token=%" G_GUINT64_FORMAT,
             singleton_role_name(state->role), state->token.v);
    for (guint i = 0; i < manager->listeners->len; i++)
        actor_send(manager->config.loop, manager->listeners->pdata[i], MSG_ROLE_CHANGE,
                   g_memdup2(&change, sizeof change), g_free);
}

static lease_id get_own_lease(const struct role_manager *manager)
{
    return manager->config.get_lease(manager->config.ctx);
}

/* Whether the record names this process. */
static bool record_is_own(const struct role_manager *manager, enum singleton_role role)
{
    const struct role_record *record = role_records_get(manager->config.records, role);
    lease_id lease = get_own_lease(manager);
    return record->token.v && lease.value && record->holder.incarnation.value == lease.value &&
           strcmp(record->holder.label, manager->config.label) == 0;
}

static void schedule_retry(struct role_manager *manager)
{
    if (!manager->retry_timer.queue_position)
        timer_start(manager->config.loop, &manager->retry_timer, CLAIM_RETRY_MS);
}

/* The transaction of a claim, a release or a hand-over is settled: the records tell what holds.
 * One whose answer was lost may still be carried out later; then the record changes once more. */
static void on_settled(void *arg, bool ok)
{
    struct role_state *state = arg;
    state->settle_timed_out = !ok;
    if (!ok) {
        schedule_retry(state->manager);
        return;
    }
    state->phase = ROLE_NOT_HELD;
    state->next_claim_at = time_add_ms(loop_now(state->manager->config.loop), CLAIM_RETRY_MS);
    role_manager_reconcile(state->manager);
}

static void await_settled(struct role_state *state)
{
    const struct role_manager_config *setup = &state->manager->config;
    state->settle_timed_out = false;
    setup->await_revision(setup->ctx, state->settle_revision, on_settled, state);
}

static void on_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct role_state *state = arg;
    bool known = outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT;
    state->settle_revision = known ? outcome->at_revision : (revision){0};
    await_settled(state);
}

static struct txn *new_guarded_txn(const struct role_state *state)
{
    struct txn *txn = txn_new();
    char *key = key_role(state->role);
    txn_compare(txn, key, (revision){state->token.v});
    g_free(key);
    return txn;
}

static void send_txn(struct role_state *state, struct txn *txn)
{
    kv_client_commit(state->manager->config.kv, KV_LANE_URGENT, txn, on_txn_done, state);
}

static void send_claim(struct role_state *state)
{
    const struct role_manager_config *setup = &state->manager->config;
    struct role_holder self = {.incarnation = get_own_lease(state->manager)};
    g_strlcpy(self.label, setup->label, sizeof self.label);
    state->phase = ROLE_CLAIMING;
    state->token.v = 0;
    struct txn *txn = new_guarded_txn(state);
    if (setup->add_claim_compares)
        setup->add_claim_compares(setup->ctx, state->role, txn);
    char *key = key_role(state->role);
    txn_put(txn, key, role_holder_encode(&self), self.incarnation);
    g_free(key);
    send_txn(state, txn);
}

/* The duty is given up at once; the record follows. */
static void begin_release(struct role_state *state)
{
    state->phase = ROLE_RELEASING;
    notify_listeners(state, false);
}

static void send_release(struct role_state *state)
{
    begin_release(state);
    struct txn *txn = new_guarded_txn(state);
    char *key = key_role(state->role);
    txn_delete(txn, key);
    g_free(key);
    send_txn(state, txn);
}

static void mark_lost(struct role_state *state)
{
    state->phase = ROLE_NOT_HELD;
    notify_listeners(state, false);
    state->token.v = 0;
}

/* The record says that this process holds it: by its claim, by one whose answer was lost, or by
 * another's hand-over. The replica then holds all that earlier holders recorded, as their writes
 * were conditioned on their tokens. */
static void mark_gained(struct role_state *state)
{
    state->phase = ROLE_HELD;
    state->token = role_records_get(state->manager->config.records, state->role)->token;
    notify_listeners(state, true);
}

static void reconcile_role(struct role_state *state)
{
    struct role_manager *manager = state->manager;
    const struct role_record *record = role_records_get(manager->config.records, state->role);
    bool own = record_is_own(manager, state->role);
    if (state->phase == ROLE_HELD && (!own || record->token.v != state->token.v))
        mark_lost(state);
    if (state->phase == ROLE_NOT_HELD && own)
        mark_gained(state);
    if (state->phase == ROLE_HELD && !state->is_wanted)
        send_release(state);
    if (state->phase != ROLE_NOT_HELD || !state->is_wanted || record->token.v)
        return;
    if (!manager->config.lease_is_valid(manager->config.ctx))
        return;
    if (time_before(loop_now(manager->config.loop), state->next_claim_at))
        schedule_retry(manager);
    else
        send_claim(state);
}

void role_manager_reconcile(struct role_manager *manager)
{
    for (int i = 0; i < ROLE_COUNT; i++)
        reconcile_role(&manager->states[i]);
}

void role_manager_claim(struct role_manager *manager, enum singleton_role role)
{
    struct role_state *state = &manager->states[role];
    if (state->is_wanted && state->phase != ROLE_NOT_HELD)
        return;
    state->is_wanted = true;
    reconcile_role(state);
}

void role_manager_release(struct role_manager *manager, enum singleton_role role)
{
    struct role_state *state = &manager->states[role];
    if (!state->is_wanted && state->phase == ROLE_NOT_HELD)
        return;
    state->is_wanted = false;
    reconcile_role(state);
}

bool role_manager_hand_over(struct role_manager *manager, enum singleton_role role,
                            const struct role_holder *successor)
{
    struct role_state *state = &manager->states[role];
    if (state->phase != ROLE_HELD)
        return false;
    state->is_wanted = false;
    begin_release(state);
    struct txn *txn = new_guarded_txn(state);
    char *key = key_role(role);
    /* On the successor's lease: if that is over, the transaction is refused. */
    txn_put(txn, key, role_holder_encode(successor), successor->incarnation);
    g_free(key);
    send_txn(state, txn);
    return true;
}

bool role_manager_holds(const struct role_manager *manager, enum singleton_role role)
{
    const struct role_state *state = &manager->states[role];
    return state->phase == ROLE_HELD && record_is_own(manager, role) &&
           role_records_get(manager->config.records, role)->token.v == state->token.v;
}

bool role_manager_may_act(struct role_manager *manager, enum singleton_role role)
{
    loop_refresh(manager->config.loop);
    return role_manager_holds(manager, role) && manager->config.lease_is_valid(manager->config.ctx);
}

fencing_token role_manager_get_token(const struct role_manager *manager, enum singleton_role role)
{
    return manager->states[role].token;
}

void role_manager_add_guard(const struct role_manager *manager, enum singleton_role role,
                            struct txn *txn)
{
    char *key = key_role(role);
    txn_compare(txn, key, (revision){role_manager_get_token(manager, role).v});
    g_free(key);
}
