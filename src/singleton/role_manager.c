/**
 * @file
 * Manages the singleton roles of this node: claims, releases, handovers, and whether it may act.
 */
#include "role_manager.h"

#include "log.h"

/** Delay between claims, and before a transaction's outcome is awaited again. */
enum { RETRY_DELAY_MS = 150 };

/** Whether this process holds a role, or is acquiring or releasing it. */
enum role_phase {
    ROLE_NOT_HELD,
    /** The transaction of a claim is in flight. */
    ROLE_CLAIMING,
    ROLE_HELD,
    /** The transaction of a release or handover is in flight. */
    ROLE_RELEASING,
};

/** The state of one role in this process. */
struct role_state {
    struct role_manager *manager;
    enum singleton_role role;
    enum role_phase phase;
    /** Whether this process should claim the role and keep it. */
    bool should_hold;
    /** Set while the phase is ROLE_HELD or ROLE_RELEASING. */
    fencing_token token;
    /** The role is not claimed again before this time. */
    mono_time next_claim_at;
    /** The revision at which the replica shows a transaction's outcome; 0 for the newest one. */
    revision outcome_revision;
    /** Whether the replica did not reach that revision in time and must be awaited again. */
    bool outcome_timed_out;
};

struct role_manager {
    struct role_manager_config config;
    struct role_state states[ROLE_COUNT];
    /** Array of struct actor *. */
    GPtrArray *listeners;
    struct timer retry_timer;
};

static void await_outcome(struct role_state *state);

static void on_retry_timer(void *arg)
{
    struct role_manager *manager = arg;
    for (int i = 0; i < ROLE_COUNT; i++)
        if (manager->states[i].outcome_timed_out)
            await_outcome(&manager->states[i]);
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

/* ---- role records ---- */

static lease_id get_own_lease(const struct role_manager *manager)
{
    return manager->config.get_lease(manager->config.ctx);
}

static const struct role_record *get_record(const struct role_state *state)
{
    return role_records_get(state->manager->config.records, state->role);
}

/** Returns whether the record names this process as the holder. */
static bool record_is_own(const struct role_state *state)
{
    const struct role_record *record = get_record(state);
    lease_id lease = get_own_lease(state->manager);
    return record->token.value && lease.value && record->holder.incarnation.value == lease.value &&
           strcmp(record->holder.label, state->manager->config.label) == 0;
}

/** Returns whether the record has the token of this process's current tenure of the role. */
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
 * Ends a claim, release or handover once the replica shows the transaction's outcome, so that the
 * records tell who holds the role. A transaction of unknown outcome may still be committed later;
 * the record then changes once more.
 */
static void on_outcome_known(void *arg, bool ok)
{
    struct role_state *state = arg;
    state->outcome_timed_out = !ok;
    if (!ok) {
        schedule_retry(state->manager);
        return;
    }
    state->phase = ROLE_NOT_HELD;
    state->next_claim_at = time_add_ms(loop_now(state->manager->config.loop), RETRY_DELAY_MS);
    role_manager_reconcile(state->manager);
}

static void await_outcome(struct role_state *state)
{
    const struct role_manager_config *config = &state->manager->config;
    state->outcome_timed_out = false;
    config->await_revision(config->ctx, state->outcome_revision, on_outcome_known, state);
}

static void on_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct role_state *state = arg;
    bool has_revision = outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT;
    state->outcome_revision = has_revision ? outcome->at_revision : (revision){0};
    await_outcome(state);
}

/** Creates a transaction that fails if the role's record does not have the current token. */
static struct txn *new_guarded_txn(const struct role_state *state)
{
    struct txn *txn = txn_new();
    role_manager_add_guard(state->manager, state->role, txn);
    return txn;
}

/**
 * Adds the write of the role's record to the transaction and sends it.
 *
 * @param holder  the new holder; NULL to delete the record. The record is attached to the holder's
 *                lease, so the transaction is refused if that lease has expired.
 */
static void send_txn(struct role_state *state, struct txn *txn, const struct role_holder *holder)
{
    char *key = key_role(state->role);
    if (holder)
        txn_put(txn, key, role_holder_encode(holder), holder->incarnation);
    else
        txn_delete(txn, key);
    g_free(key);
    kv_client_commit(state->manager->config.kv, KV_PRIORITY_URGENT, txn, on_txn_done, state);
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
 * Releases the role, or hands it over to `successor` if that is not NULL. Listeners are notified
 * at once that they must stop acting, before the record changes.
 */
static void send_release(struct role_state *state, const struct role_holder *successor)
{
    state->phase = ROLE_RELEASING;
    notify_listeners(state, false);
    send_txn(state, new_guarded_txn(state), successor);
}

/* ---- phase changes ---- */

static void mark_lost(struct role_state *state)
{
    state->phase = ROLE_NOT_HELD;
    notify_listeners(state, false);
    state->token.value = 0;
}

/**
 * Marks the role as held, because the record names this process: by its claim, by a claim whose
 * outcome was unknown, or by another node's handover. The replica then contains all that earlier
 * holders recorded, because the compares of their writes fail from now on.
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
    if (!state->should_hold || !is_vacant || !manager->config.lease_is_valid(manager->config.ctx))
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
    if (state->phase == ROLE_HELD && !state->should_hold)
        send_release(state, NULL);
    claim_if_vacant(state);
}

void role_manager_reconcile(struct role_manager *manager)
{
    for (int i = 0; i < ROLE_COUNT; i++)
        reconcile_role(&manager->states[i]);
}

/* ---- operations of the node ---- */

void role_manager_claim(struct role_manager *manager, enum singleton_role role)
{
    struct role_state *state = &manager->states[role];
    if (state->should_hold && state->phase != ROLE_NOT_HELD)
        return;
    state->should_hold = true;
    reconcile_role(state);
}

void role_manager_release(struct role_manager *manager, enum singleton_role role)
{
    struct role_state *state = &manager->states[role];
    if (!state->should_hold && state->phase == ROLE_NOT_HELD)
        return;
    state->should_hold = false;
    reconcile_role(state);
}

bool role_manager_hand_over(struct role_manager *manager, enum singleton_role role,
                            const struct role_holder *successor)
{
    struct role_state *state = &manager->states[role];
    if (state->phase != ROLE_HELD)
        return false;
    state->should_hold = false;
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
