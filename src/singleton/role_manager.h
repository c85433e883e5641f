/* The duties of one node: claims, releases, hand-overs, and whether it may act.
 *
 * An act is safe if it is a transaction guarded by the token (duties_guard), or if it was recorded
 * as an intent by such a transaction before (intent_log.h): a replaced holder's transaction is
 * refused, and what it recorded its successor does anyway. duties_may_act keeps a holder from
 * beginning what would be refused; by itself it proves nothing, as a process may stand still
 * between the check and the act. */
#ifndef LL_DUTIES_H
#define LL_DUTIES_H

#include "event_loop.h"
#include "kv_client.h"
#include "role_records.h"

struct duties;

typedef void (*duty_seen)(void *arg, bool ok);

/* What the package needs of the node around it. */
struct duties_setup {
    struct loop *loop;
    struct store *store;
    const struct duty_table *table; /* the replica of the records */
    const char *label;              /* of this node */
    void *ctx;                      /* of the functions */
    /* The lease that this process's keys hang on; 0: it has none. */
    lease_id (*lease)(void *ctx);
    /* Whether that lease surely holds at this moment. */
    bool (*lease_holds)(void *ctx);
    /* Calls back once the replica is at a revision; {0}: at one that is the newest by now. */
    void (*await)(void *ctx, revision at, duty_seen done, void *arg);
    /* Adds what a claim of the duty is conditioned on besides; NULL: nothing. */
    void (*claim_conditions)(void *ctx, enum duty duty, struct txn *txn);
};

/* To listeners: a duty was gained or lost. */
enum { MSG_DUTY = 500 };

struct duty_change {
    enum duty duty;
    bool gained;
    duty_token token;
};

struct duties *duties_new(const struct duties_setup *setup);
void duties_free(struct duties *duties);
/* Sends MSG_DUTY with a struct duty_change. What the listener has queued for a lost duty it must
 * drop. */
void duties_listen(struct duties *duties, struct actor *listener);

/* From now on claims the duty whenever nobody holds it. */
void duties_claim(struct duties *duties, enum duty duty);
/* Claims it no more, and gives it up if it is held. */
void duties_release(struct duties *duties, enum duty duty);
/* Gives the duty to a living process. False: it is not held. Whether the successor took it is
 * known from the records; if it could not, this node holds on. */
bool duties_hand_over(struct duties *duties, enum duty duty, const struct duty_holder *successor);
/* The replica has changed, or the lease. */
void duties_consider(struct duties *duties);

/* Whether this process holds the duty, whether its lease surely holds or not. */
bool duties_holds(const struct duties *duties, enum duty duty);
/* Whether it surely holds it at this moment, by a clock that is read anew. */
bool duties_may_act(struct duties *duties, enum duty duty);
duty_token duties_token(const struct duties *duties, enum duty duty);
/* Conditions a transaction on the token: it is refused once there is another holder, or none. */
void duties_guard(const struct duties *duties, enum duty duty, struct txn *txn);

#endif
