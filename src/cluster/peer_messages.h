/**
 * @file
 * The messages that nodes exchange about their health, as typed structs with an encoder and a
 * decoder each.
 *
 * The kinds and field names are part of the protocol between nodes: nodes of an earlier version
 * serve beside new ones, so none of them may change.
 */
#ifndef LL_PEER_MESSAGES_H
#define LL_PEER_MESSAGES_H

#include "types.h"

#include <cjson/cJSON.h>

/** Asks for a struct health_report. */
#define RPC_KIND_HEALTH "health"
/** Asks for a struct proxy_report. */
#define RPC_KIND_PROXY_REPORT "kept"
/** Announces one struct cancel_notice; has no response body. */
#define RPC_KIND_CANCELLED "cancelled"

/** A question to another node. */
struct peer_request {
    /** Never 0. A response repeats it, so that a late copy answers no later question. */
    uint64_t number;
    /** Up to which revision the asking node's replica holds every change. */
    revision replica_revision;
};

/** A job that is, or may be, cancelled. */
struct cancel_notice {
    job_id job;
    /** The revision that cancelled the job; 0: a transaction that may still commit would. */
    revision committed_revision;
};

/** The response to RPC_KIND_HEALTH. */
struct health_report {
    /** Whether the key-value store serves the responding node. */
    bool has_kv_access;
    /** Of the question; 0: the response names none. */
    uint64_t request_number;
    /** The newest cancellation that the node confirmed to a user; read by earlier versions only. */
    revision newest_committed_revision;
    /** Time since the node's process started. */
    int64_t uptime_ms;
    /** struct cancel_notice: cancellations which the asking node's replica may not hold. */
    GArray *cancels;
    /** Whether `cancels` lacks nothing. False also if part of the response was malformed. */
    bool has_all_cancels;
};

/** The response to RPC_KIND_PROXY_REPORT. */
struct proxy_report {
    /** Time since a process of the node can last have renewed a lease for another node. */
    double last_renewal_age_ms;
};

/** Returns a new message. */
cJSON *peer_request_encode(const struct peer_request *request);
/** Fields that an earlier version does not send are zero. */
struct peer_request peer_request_decode(const cJSON *message);

/** Returns a new message. */
cJSON *cancel_notice_encode(const struct cancel_notice *notice);
/** Returns false if the message is malformed. */
bool cancel_notice_decode(const cJSON *message, struct cancel_notice *notice);

/** Returns a new message. */
cJSON *health_report_encode(const struct health_report *report);
/**
 * Returns false if the message is malformed; `report` then needs no clearing. A malformed list of
 * cancellations is read up to the first bad entry, and marked as incomplete.
 */
bool health_report_decode(const cJSON *message, struct health_report *report);
/** Frees what the struct refers to. */
void health_report_clear(struct health_report *report);

/** Returns a new message. */
cJSON *proxy_report_encode(const struct proxy_report *report);
/** Returns false if the message is malformed. */
bool proxy_report_decode(const cJSON *message, struct proxy_report *report);

#endif
