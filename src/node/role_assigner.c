#include "role_assigner.h"

enum { TICK_MS = 200 };

struct duty_keeper {
    struct actor actor;
    struct loop *loop;
    struct view *view;
    struct membership *members;
    const struct settings *settings;
    struct duties *duties;
    struct timer tick;
};

static lease_id own_lease(void *ctx)
{
    return membership_incarnation(((struct duty_keeper *)ctx)->members);
}

static bool lease_holds(void *ctx)
{
    return membership_valid(((struct duty_keeper *)ctx)->members);
}

static void await_view(void *ctx, revision at, duty_seen done, void *arg)
{
    struct duty_keeper *keeper = ctx;
    if (at.v)
        view_await(keeper->view, at, done, arg);
    else
        view_barrier(keeper->view, done, arg);
}

/* A claim counts only while duties are on; that of the fleet only while its node leads. */
static void claim_conditions(void *ctx, enum duty duty, struct txn *txn)
{
    struct duty_keeper *keeper = ctx;
    txn_when(txn, KEY_FEATURES, keeper->view->features_stamp);
    if (duty == DUTY_FLEET)
        txn_when(txn, KEY_LEADER, keeper->view->leader_stamp);
}

/* The node that has the clean-up: the first on the map that lives and does not lead, or else the
 * leader; NULL: there is neither. */
static const char *cleanup_node(const struct duty_keeper *keeper)
{
    const struct view *view = keeper->view;
    for (guint i = 0; i < view->map->len; i++) {
        const char *label = g_array_index(view->map, struct map_entry, i).label;
        bool leads = view->leader && strcmp(label, view->leader) == 0;
        if (!leads && g_hash_table_contains(view->nodes, label))
            return label;
    }
    return view->leader;
}

static void keep_fleet(struct duty_keeper *keeper)
{
    if (membership_holds_lead(keeper->members))
        duties_claim(keeper->duties, DUTY_FLEET);
    else
        duties_release(keeper->duties, DUTY_FLEET);
}

static void hand_cleanup_to(struct duty_keeper *keeper, const char *label)
{
    const struct node_record *node = g_hash_table_lookup(keeper->view->nodes, label);
    struct duty_holder successor = {.incarnation = node->incarnation};
    g_strlcpy(successor.label, label, sizeof successor.label);
    duties_hand_over(keeper->duties, DUTY_CLEANUP, &successor);
}

static void keep_cleanup(struct duty_keeper *keeper)
{
    const char *chosen = cleanup_node(keeper);
    if (chosen && strcmp(chosen, keeper->settings->label) == 0)
        duties_claim(keeper->duties, DUTY_CLEANUP);
    else if (chosen && g_hash_table_contains(keeper->view->nodes, chosen) &&
             duties_holds(keeper->duties, DUTY_CLEANUP))
        hand_cleanup_to(keeper, chosen);
    else
        duties_release(keeper->duties, DUTY_CLEANUP);
}

static void consider(struct duty_keeper *keeper)
{
    if (keeper->view->ready)
        duties_consider(keeper->duties);
    if (!keeper->view->duties_on) {
        for (int i = 0; i < DUTIES; i++)
            duties_release(keeper->duties, (enum duty)i);
    } else if (membership_seen(keeper->members)) {
        keep_fleet(keeper);
        keep_cleanup(keeper);
    }
}

static void receive(struct actor *self, const struct message *message)
{
    if (message->kind == MSG_VIEW)
        consider((struct duty_keeper *)self);
}

static void tick(void *arg)
{
    struct duty_keeper *keeper = arg;
    timer_start(keeper->loop, &keeper->tick, TICK_MS);
    consider(keeper);
}

struct duty_keeper *duty_keeper_new(struct loop *loop, struct store *store, struct view *view,
                                    struct membership *members, const struct settings *settings)
{
    struct duty_keeper *keeper = g_new0(struct duty_keeper, 1);
    keeper->actor = (struct actor){"duty_keeper", receive};
    keeper->loop = loop;
    keeper->view = view;
    keeper->members = members;
    keeper->settings = settings;
    const struct duties_setup setup = {.loop = loop,
                                       .store = store,
                                       .table = view->duties,
                                       .label = settings->label,
                                       .ctx = keeper,
                                       .lease = own_lease,
                                       .lease_holds = lease_holds,
                                       .await = await_view,
                                       .claim_conditions = claim_conditions};
    keeper->duties = duties_new(&setup);
    timer_init(&keeper->tick, tick, keeper);
    view_listen(view, &keeper->actor);
    return keeper;
}

void duty_keeper_free(struct duty_keeper *keeper)
{
    timer_stop(keeper->loop, &keeper->tick);
    duties_free(keeper->duties);
    g_free(keeper);
}

void duty_keeper_start(struct duty_keeper *keeper)
{
    tick(keeper);
}

struct duties *duty_keeper_duties(struct duty_keeper *keeper)
{
    return keeper->duties;
}
