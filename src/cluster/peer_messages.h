/**
 * @file
 * Defines the messages that nodes exchange about their health, each as a struct with an encoder and
 * a decoder.
 *
 * The message kinds and field names are part of the protocol between nodes. They must not change,
 * because nodes of an earlier version run in the same cluster as new ones.
 */
#ifndef LL_PEER_MESSAGES_H
#define LL_PEER_MESSAGES_H

#include "types.h"

#include <cjson/cJSON.h>

/** Requests a struct health_report. */
#define RPC_KIND_HEALTH "health"
/** Requests a struct proxy_report. */
#define RPC_KIND_PROXY_REPORT "kept"
/** Announces one struct cancel_notice; the response has no body. */
#define RPC_KIND_CANCELLED "cancelled"

/** A request to another node. */
struct peer_request {
    /**
     * Never 0. The response repeats it, so that a late copy of a response is not taken for the
     * response to a later request.
     */
    uint64_t number;
    /** The revision up to which the requesting node's replica contains every change. */
    revision replica_revision;
};

/** A job that is cancelled or may be. */
struct cancel_notice {
    job_id job;
    /** The revision at which the job was cancelled; 0 if the transaction may still commit. */
    revision committed_revision;
};

/** The response to RPC_KIND_HEALTH. */
struct health_report {
    /** Whether the key-value store serves the responding node. */
    bool has_kv_access;
    /** The number of the request; 0 if the response contains none. */
    uint64_t request_number;
    /** The newest cancellation that the node confirmed to a user; read by earlier versions only. */
    revision newest_committed_revision;
    /** Time since the node's process started. */
    int64_t uptime_ms;
    /** Array of struct cancel_notice: cancellations that the requesting node's replica may lack. */
    GArray *cancels;
    /** Whether `cancels` is complete. Also false if part of the response was malformed. */
    bool has_all_cancels;
};

/** The response to RPC_KIND_PROXY_REPORT. */
struct proxy_report {
    /** Time since the latest moment at which the node may have renewed a lease for another node. */
    double last_renewal_age_ms;
};

/** Encodes a request as a new message, which the caller frees. */
cJSON *peer_request_encode(const struct peer_request *request);
/** Decodes a request; fields that an earlier version does not send are zero. */
struct peer_request peer_request_decode(const cJSON *message);

/** Encodes a cancel notice as a new message, which the caller frees. */
cJSON *cancel_notice_encode(const struct cancel_notice *notice);
/** Decodes a cancel notice. Returns false if the message is malformed. */
bool cancel_notice_decode(const cJSON *message, struct cancel_notice *notice);

/** Encodes a health report as a new message, which the caller frees. */
cJSON *health_report_encode(const struct health_report *report);
/**
 * Decodes a health report. Returns false if the message is malformed; `report` then needs no
 * clearing. A malformed list of cancellations is decoded up to the first invalid entry and marked
 * as incomplete.
 */
bool health_report_decode(const cJSON *message, struct health_report *report);
/** Frees the memory that the report refers to, but not the struct itself. */
void health_report_clear(struct health_report *report);

/** Encodes a proxy report as a new message, which the caller frees. */
cJSON *proxy_report_encode(const struct proxy_report *report);
/** Decodes a proxy report. Returns false if the message is malformed. */
bool proxy_report_decode(const cJSON *message, struct proxy_report *report);

#endif
