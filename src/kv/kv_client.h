/* The state service's client: transactions, requests within the budgets, and the read barrier. */
#ifndef LL_STORE_H
#define LL_STORE_H

#include "codec.h"
#include "http.h"

struct store;

/* What the state service may be asked for. Values and transactions keep within the tighter of the
 * limits of now and those to come; values that were stored before may be longer. */
struct store_limits {
    double rps, write_rps;
    double next_write_rps; /* it may allow no more than that one day, without notice */
    int txn_ops;
    size_t value_bytes;
    bool lowered; /* the state service has shown that it allows less by now */
    size_t answer_bytes;
    int nodes; /* that share the budgets */
};

struct store *store_new(struct loop *loop, struct net *net, const char *addr,
                        struct store_limits limits);
void store_free(struct store *store);
const struct store_limits *store_limits(const struct store *store);

/* Whether the state service has not answered this node for a moment, or refuses it. */
bool store_troubled(const struct store *store);

/* ---- plain requests ---- */

enum store_lane { LANE_LEASE, LANE_URGENT, LANE_WATCH, LANE_NORMAL, LANES };

/* Waits for its turn within the budget. After 429 it is sent again; status NET_NOT_SENT when that
 * took longer than wait_ms. */
void store_request(struct store *store, enum store_lane lane, const char *method, const char *path,
                   const char *body, int timeout_ms, int wait_ms, int writes, net_done done,
                   void *arg);

/* Reads one key. */
void store_read(struct store *store, enum store_lane lane, const char *key, int timeout_ms,
                int wait_ms, net_done done, void *arg);

/* ---- transactions ---- */

struct txn;

enum txn_result {
    TXN_DONE,
    TXN_CONFLICT, /* a condition did not hold */
    TXN_NO_LEASE,
    TXN_REFUSED, /* surely not carried out */
    TXN_UNKNOWN, /* it may have been carried out, or may be later */
};

struct txn_outcome {
    enum txn_result result;
    revision at;       /* with TXN_DONE and TXN_CONFLICT */
    GPtrArray *failed; /* keys, with TXN_CONFLICT */
};

typedef void (*txn_done)(void *arg, const struct txn_outcome *outcome);

struct txn *txn_new(void);
void txn_free(struct txn *txn);
void txn_when(struct txn *txn, const char *key, revision stamp);
/* Takes the value. lease 0: not attached. */
void txn_set(struct txn *txn, const char *key, json_object *value, lease_id lease);
void txn_remove(struct txn *txn, const char *key);
guint txn_writes(const struct txn *txn);
guint txn_conditions(const struct txn *txn);
size_t txn_bytes(const struct txn *txn);
/* What a value takes as it is sent. */
size_t value_size(json_object *value);
/* Takes the transaction. */
void store_txn(struct store *store, enum store_lane lane, struct txn *txn, txn_done done,
               void *arg);

/* ---- read barrier ---- */

typedef void (*barrier_done)(void *arg, bool ok, revision at);
/* Tells a revision that was the newest at some moment after this call. Calls that come together
 * share one transaction without writes. */
void store_barrier(struct store *store, barrier_done done, void *arg);

#endif
