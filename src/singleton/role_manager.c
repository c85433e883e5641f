/**
 * @file
 * The singleton roles of one node: claims, releases, hand-overs, and whether it may act.
 */
#include "role_manager.h"

#include "log.h"

/** Between two claims, and before the outcome of a transaction is awaited again. */
enum { RETRY_DELAY_MS = 150 };

/** The relation of this process to a role. */
enum role_phase {
    ROLE_NOT_HELD,
    /** The transaction of a claim is under way. */
    ROLE_CLAIMING,
    ROLE_HELD,
    /** The transaction of a release or of a hand-over is under way. */
    ROLE_RELEASING,
};

/** One role, as this process sees it. */
struct role_state {
    struct role_manager *manager;
    enum singleton_role role;
    enum role_phase phase;
    /** It is to be claimed, and kept. */
    bool is_wanted;
    /** Set while the phase is ROLE_HELD or ROLE_RELEASING. */
    fencing_token token;
    /** The role is not claimed again before then. */
    mono_time next_claim_at;
    /** The replica shows there what became of the latest transaction; 0: at the newest revision. */
    revision settle_revision;
    /** The replica was not there in time, and is to be awaited again. */
    bool settle_timed_out;
};

struct role_manager {
    struct role_manager_config config;
    struct role_state states[ROLE_COUNT];
    /** struct actor. */
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

struct role_manager *role_manager_new(const struct role_manager_config *config)
{
    struct role_manager *manager = g_new0(struct role_manager, 1);
    manager->config = *config;
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

static void notify_listeners(const struct role_state *state, bool is_gained)
{
    const struct role_manager *manager = state->manager;
    struct role_change change = {state->role, is_gained, state->token};
    const char *role_name = singleton_role_name(state->role);
    if (is_gained)
        LOG_INFO("role_gained", "role=%s token=%" G_GUINT64_FORMAT, role_name, state->token.value);
    else
        LOG_INFO("role_lost", "role=%s token=%" G_GUINT64_FORMAT, role_name, state->token.value);
    for (guint i = 0; i < manager->listeners->len; i++)
        actor_send(manager->config.loop, manager->listeners->pdata[i], MSG_ROLE_CHANGE,
                   g_memdup2(&change, sizeof change), g_free);
}

/* ---- the records ---- */

static lease_id get_own_lease(const struct role_manager *manager)
{
    return manager->config.get_lease(manager->config.ctx);
}

static const struct role_record *get_record(const struct role_state *state)
{
    return role_records_get(state->manager->config.records, state->role);
}

/** Whether the record names this process as the holder. */
static bool record_is_own(const struct role_state *state)
{
    const struct role_record *record = get_record(state);
    lease_id lease = get_own_lease(state->manager);
    return record->token.value && lease.value && record->holder.incarnation.value == lease.value &&
           strcmp(record->holder.label, state->manager->config.label) == 0;
}

/** Whether the record is that of the current holding, and not of an earlier or later one. */
static bool record_is_current(const struct role_state *state)
{
    return record_is_own(state) && get_record(state)->token.value == state->token.value;
}

/* ---- transactions ---- */

static void schedule_retry(struct role_manager *manager)
{
    if (!manager->retry_timer.queue_position)
        timer_start(manager->config.loop, &manager->retry_timer, RETRY_DELAY_MS);
}

/**
 * The replica shows what became of the transaction of a claim, a release or a hand-over, so the
 * records tell who holds the role. A transaction whose outcome is unknown may still be committed
 * later; the record then changes once more.
 */
static void on_settled(void *arg, bool ok)
{
    struct role_state *state = arg;
    state->settle_timed_out = !ok;
    if (!ok) {
        schedule_retry(state->manager);
        return;
    }
    state->phase = ROLE_NOT_HELD;
    state->next_claim_at = time_add_ms(loop_now(state->manager->config.loop), RETRY_DELAY_MS);
    role_manager_reconcile(state->manager);
}

static void await_settled(struct role_state *state)
{
    const struct role_manager_config *config = &state->manager->config;
    state->settle_timed_out = false;
    config->await_revision(config->ctx, state->settle_revision, on_settled, state);
}

static void on_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct role_state *state = arg;
    bool is_known = outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT;
    state->settle_revision = is_known ? outcome->at_revision : (revision){0};
    await_settled(state);
}

/** A transaction that fails if the record is not of the state's token. */
static struct txn *new_guarded_txn(const struct role_state *state)
{
    struct txn *txn = txn_new();
    role_manager_add_guard(state->manager, state->role, txn);
    return txn;
}

/**
 * Sends the transaction, which writes the record last.
 *
 * @param holder  NULL: the record is deleted. The record is put on the holder's lease: if that has
 *                ended the transaction is refused.
 */
static void send_txn(struct role_state *state, struct txn *txn, const struct role_holder *holder)
{
    char *key = key_role(state->role);
    if (holder)
        txn_put(txn, key, role_holder_encode(holder), holder->incarnation);
    else
        txn_delete(txn, key);
    g_free(key);
    kv_client_commit(state->manager->config.kv, KV_LANE_URGENT, txn, on_txn_done, state);
}

static void send_claim(struct role_state *state)
{
    const struct role_manager_config *config = &state->manager->config;
    struct role_holder self = {.incarnation = get_own_lease(state->manager)};
    g_strlcpy(self.label, config->label, sizeof self.label);
    state->phase = ROLE_CLAIMING;
    state->token.value = 0;
    struct txn *txn = new_guarded_txn(state);
    if (config->add_claim_compares)
        config->add_claim_compares(config->ctx, state->role, txn);
    send_txn(state, txn, &self);
}

/**
 * Gives the role up, to `successor` or, if that is NULL, to nobody. Listeners stop acting at once,
 * before the record changes.
 */
static void send_release(struct role_state *state, const struct role_holder *successor)
{
    state->phase = ROLE_RELEASING;
    notify_listeners(state, false);
    send_txn(state, new_guarded_txn(state), successor);
}

/* ---- phases ---- */

static void mark_lost(struct role_state *state)
{
    state->phase = ROLE_NOT_HELD;
    notify_listeners(state, false);
    state->token.value = 0;
}

/**
 * The record names this process: by its claim, by a claim whose outcome was unknown, or by another
 * node's hand-over. The replica then has all that earlier holders recorded, as the compares of
 * their writes fail from now on.
 */
static void mark_gained(struct role_state *state)
{
    state->phase = ROLE_HELD;
    state->token = get_record(state)->token;
    notify_listeners(state, true);
}

static void claim_if_vacant(struct role_state *state)
{
    struct role_manager *manager = state->manager;
    bool is_vacant = state->phase == ROLE_NOT_HELD && !get_record(state)->token.value;
    if (!state->is_wanted || !is_vacant || !manager->config.lease_is_valid(manager->config.ctx))
        return;
    if (time_before(loop_now(manager->config.loop), state->next_claim_at))
        schedule_retry(manager);
    else
        send_claim(state);
}

static void reconcile_role(struct role_state *state)
{
    if (state->phase == ROLE_HELD && !record_is_current(state))
        mark_lost(state);
    if (state->phase == ROLE_NOT_HELD && record_is_own(state))
        mark_gained(state);
    if (state->phase == ROLE_HELD && !state->is_wanted)
        send_release(state, NULL);
    claim_if_vacant(state);
}

void role_manager_reconcile(struct role_manager *manager)
{
    for (int i = 0; i < ROLE_COUNT; i++)
        reconcile_role(&manager->states[i]);
}

/* ---- what the node asks ---- */

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
    send_release(state, successor);
    return true;
}

bool role_manager_holds(const struct role_manager *manager, enum singleton_role role)
{
    const struct role_state *state = &manager->states[role];
    return state->phase == ROLE_HELD && record_is_current(state);
}

bool role_manager_may_act(struct role_manager *manager, enum singleton_role role)
{
    loop_update_time(manager->config.loop);
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
    txn_compare(txn, key, (revision){manager->states[role].token.value});
    g_free(key);
}
