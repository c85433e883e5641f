/**
 * @file
 * Unit tests of the cluster package: the wire format of its messages, the owners in the shard map,
 * and the limits on the cancellations that a node remembers.
 *
 * The expected messages and owners are those of version 0.4.0 (commit 2e591e3). Nodes of different
 * versions run in one cluster, so a change to either would break a rolling upgrade.
 */
#include "json_messages.h"
#include "world.h"

#include <stdlib.h>

static struct cancel_notice make_notice(const char *job_text, uint64_t committed_at)
{
    struct cancel_notice notice = {.committed_revision = {committed_at}};
    assert_true(job_id_parse(&notice.job, job_text));
    return notice;
}

/* ---- wire format ---- */

static void peer_requests_keep_their_wire_format(void **state)
{
    (void)state;
    const struct peer_request request = {.number = 7, .replica_revision = {15}};
    assert_json_message(peer_request_encode(&request), "{\"q\":\"7\",\"at\":\"15\"}");
    cJSON *message = json_message_parse("{\"q\":\"7\",\"at\":\"15\",\"from\":\"mast-0\"}");
    struct peer_request decoded = peer_request_decode(message);
    assert_int_equal(decoded.number, 7);
    assert_int_equal(decoded.replica_revision.value, 15);
    cJSON_Delete(message);
    message = json_message_parse("{\"from\":\"mast-0\"}"); /* from a version without these fields */
    decoded = peer_request_decode(message);
    assert_int_equal(decoded.number, 0);
    assert_int_equal(decoded.replica_revision.value, 0);
    cJSON_Delete(message);
}

static void cancel_notices_keep_their_wire_format(void **state)
{
    (void)state;
    const struct cancel_notice notice = make_notice("wk-1", 16);
    assert_json_message(cancel_notice_encode(&notice), "{\"j\":\"wk-1\",\"r\":\"16\"}");
    struct cancel_notice decoded;
    cJSON *message = json_message_parse("{\"j\":\"wk-1\",\"r\":\"16\",\"from\":\"mast-0\"}");
    assert_true(cancel_notice_decode(message, &decoded));
    assert_string_equal(decoded.job.text, "wk-1");
    assert_int_equal(decoded.committed_revision.value, 16);
    cJSON_Delete(message);
    static const char *const malformed[] = {"{}", "{\"j\":\"wk-1\"}", "{\"j\":1,\"r\":\"16\"}",
                                            "{\"j\":\"wk-1\",\"r\":16}", "{\"r\":\"16\"}"};
    for (guint i = 0; i < G_N_ELEMENTS(malformed); i++) {
        message = json_message_parse(malformed[i]);
        if (cancel_notice_decode(message, &decoded))
            fail_msg("accepted: %s", malformed[i]);
        cJSON_Delete(message);
    }
}

static void health_reports_keep_their_wire_format(void **state)
{
    (void)state;
    static const char text[] = "{\"served\":false,\"q\":\"5\",\"told\":\"16\",\"up_ms\":16253,"
                               "\"cancelled\":[[\"wk-1\",\"16\"],[\"wk-2\",\"0\"]],\"all\":true}";
    struct health_report report = {.request_number = 5,
                                   .newest_committed_revision = {16},
                                   .uptime_ms = 16253,
                                   .cancels =
                                       g_array_new(FALSE, FALSE, sizeof(struct cancel_notice)),
                                   .has_all_cancels = true};
    const struct cancel_notice notices[] = {make_notice("wk-1", 16), make_notice("wk-2", 0)};
    g_array_append_vals(report.cancels, notices, G_N_ELEMENTS(notices));
    assert_json_message(health_report_encode(&report), text);
    health_report_clear(&report);
    cJSON *message = json_message_parse(text);
    assert_true(health_report_decode(message, &report));
    assert_false(report.has_kv_access);
    assert_int_equal(report.request_number, 5);
    assert_int_equal(report.newest_committed_revision.value, 16);
    assert_int_equal(report.uptime_ms, 16253);
    assert_true(report.has_all_cancels);
    assert_int_equal(report.cancels->len, 2);
    for (guint i = 0; i < G_N_ELEMENTS(notices); i++) {
        const struct cancel_notice *decoded =
            &g_array_index(report.cancels, struct cancel_notice, i);
        assert_string_equal(decoded->job.text, notices[i].job.text);
        assert_int_equal(decoded->committed_revision.value, notices[i].committed_revision.value);
    }
    health_report_clear(&report);
    cJSON_Delete(message);
}

static void malformed_health_reports_are_rejected(void **state)
{
    (void)state;
    static const char *const malformed[] = {"{}", "{\"served\":true}", "{\"up_ms\":5}",
                                            "{\"served\":1,\"up_ms\":5}",
                                            "{\"served\":true,\"up_ms\":\"5\"}"};
    struct health_report report;
    for (guint i = 0; i < G_N_ELEMENTS(malformed); i++) {
        cJSON *message = json_message_parse(malformed[i]);
        if (health_report_decode(message, &report))
            fail_msg("accepted: %s", malformed[i]);
        cJSON_Delete(message);
    }
    assert_false(health_report_decode(NULL, &report));
}

static void incomplete_cancellation_lists_are_marked_as_incomplete(void **state)
{
    (void)state;
    static const struct {
        const char *fields;
        guint cancel_count;
    } cases[] = {
        {"", 0},
        {",\"all\":true", 0},
        {",\"cancelled\":{},\"all\":true", 0},
        {",\"cancelled\":[[\"wk-1\",\"16\"]]", 1},
        {",\"cancelled\":[[\"wk-1\",\"16\"]],\"all\":false", 1},
        {",\"cancelled\":[[\"wk-1\",\"16\"],[\"wk-2\",17],[\"wk-3\",\"18\"]],\"all\":true", 1},
        {",\"cancelled\":[[\"wk-1\",\"16\"],[2,\"17\"]],\"all\":true", 1},
    };
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf("{\"served\":false,\"up_ms\":5%s}", cases[i].fields);
        cJSON *message = json_message_parse(text);
        struct health_report report;
        assert_true(health_report_decode(message, &report));
        assert_int_equal(report.request_number, 0); /* missing; no request has number 0 */
        assert_false(report.has_all_cancels);
        assert_int_equal(report.cancels->len, cases[i].cancel_count);
        health_report_clear(&report);
        cJSON_Delete(message);
        g_free(text);
    }
}

static void proxy_reports_keep_their_wire_format(void **state)
{
    (void)state;
    struct proxy_report report = {24753};
    assert_json_message(proxy_report_encode(&report), "{\"ago_ms\":24753}");
    cJSON *message = json_message_parse("{\"ago_ms\":25753}");
    assert_true(proxy_report_decode(message, &report));
    assert_true(report.last_renewal_age_ms == 25753);
    cJSON_Delete(message);
    message = json_message_parse("{\"ago_ms\":\"25753\"}");
    assert_false(proxy_report_decode(message, &report));
    cJSON_Delete(message);
    assert_false(proxy_report_decode(NULL, &report));
}

/* ---- the shard map ---- */

static void machines_keep_their_shard_owners(void **state)
{
    struct world *world = *state;
    const struct replica *replica = world->nodes[0]->replica;
    static const struct {
        const char *machine, *owner;
    } expected[] = {
        {"host-000001", "mast-1"}, {"host-000002", "mast-1"}, {"host-000003", "mast-2"},
        {"host-000004", "mast-1"}, {"host-000005", "mast-2"}, {"host-000006", "mast-1"},
        {"host-000007", "mast-2"}, {"host-000008", "mast-2"},
    };
    assert_int_equal(replica->shard_map->len, 3);
    for (guint i = 0; i < G_N_ELEMENTS(expected); i++)
        assert_string_equal(shard_map_get_owner(replica, expected[i].machine), expected[i].owner);
}

/* ---- remembered cancellations ---- */

/** Confirms the cancellation of `count` jobs: wk-N at revision N, from 1 on. */
static void confirm_cancellations(struct cancel_broadcast *broadcast, int count)
{
    for (int i = 1; i <= count; i++) {
        char job_text[32];
        g_snprintf(job_text, sizeof job_text, "wk-%d", i);
        struct cancel_notice notice = make_notice(job_text, (uint64_t)i);
        cancel_broadcast_confirm(broadcast, notice.job, notice.committed_revision);
    }
}

/**
 * Collects the notices for a peer whose replica is at `replica_revision` and checks their number.
 * Returns whether they include every cancellation that the peer may lack.
 */
static bool collects_all_notices(struct cancel_broadcast *broadcast, uint64_t replica_revision,
                                 guint expected_count)
{
    GArray *notices = g_array_new(FALSE, FALSE, sizeof(struct cancel_notice));
    bool is_complete =
        cancel_broadcast_collect_notices(broadcast, (revision){replica_revision}, notices);
    assert_int_equal(notices->len, expected_count);
    g_array_unref(notices);
    return is_complete;
}

static void long_cancellation_lists_are_sent_in_part(void **state)
{
    struct world *world = *state;
    struct cancel_broadcast *broadcast = world->nodes[0]->cancel_broadcast;
    confirm_cancellations(broadcast, 1000);
    assert_true(collects_all_notices(broadcast, 0, 1000));
    confirm_cancellations(broadcast, 1001);
    assert_false(collects_all_notices(broadcast, 0, 1001));
    confirm_cancellations(broadcast, 1500);
    assert_false(collects_all_notices(broadcast, 0, 1001));
    assert_true(collects_all_notices(broadcast, 500, 1000));
    assert_true(collects_all_notices(broadcast, 1499, 1));
    assert_true(collects_all_notices(broadcast, 1500, 0));
}

static void evicted_cancellations_make_older_lists_incomplete(void **state)
{
    struct world *world = *state;
    struct cancel_broadcast *broadcast = world->nodes[0]->cancel_broadcast;
    confirm_cancellations(broadcast, 4010); /* the ten oldest are evicted */
    assert_int_equal(cancel_broadcast_get_status(broadcast, make_notice("wk-10", 0).job),
                     CANCEL_NONE);
    assert_int_equal(cancel_broadcast_get_status(broadcast, make_notice("wk-11", 0).job),
                     CANCEL_COMMITTED);
    assert_int_equal(cancel_broadcast_get_newest_revision(broadcast).value, 4010);
    assert_false(collects_all_notices(broadcast, 9, 1001));
    assert_true(collects_all_notices(broadcast, 3500, 510));
}

static void evicted_possible_cancellation_makes_every_list_incomplete(void **state)
{
    struct world *world = *state;
    struct cancel_broadcast *broadcast = world->nodes[0]->cancel_broadcast;
    job_id possible = make_notice("wk-possible", 0).job;
    cancel_broadcast_begin_txn(broadcast, possible);
    cancel_broadcast_finish_txn(broadcast, possible, &(struct txn_outcome){.status = TXN_UNKNOWN});
    assert_int_equal(cancel_broadcast_get_status(broadcast, possible), CANCEL_POSSIBLE);
    confirm_cancellations(broadcast, 3999);
    assert_true(collects_all_notices(broadcast, 3999, 1)); /* not evicted yet */
    confirm_cancellations(broadcast, 4000);
    assert_int_equal(cancel_broadcast_get_status(broadcast, possible), CANCEL_NONE);
    assert_false(collects_all_notices(broadcast, 4000, 0));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(peer_requests_keep_their_wire_format),
        cmocka_unit_test(cancel_notices_keep_their_wire_format),
        cmocka_unit_test(health_reports_keep_their_wire_format),
        cmocka_unit_test(malformed_health_reports_are_rejected),
        cmocka_unit_test(incomplete_cancellation_lists_are_marked_as_incomplete),
        cmocka_unit_test(proxy_reports_keep_their_wire_format),
        WORLD_TEST(machines_keep_their_shard_owners),
        WORLD_TEST(long_cancellation_lists_are_sent_in_part),
        WORLD_TEST(evicted_cancellations_make_older_lists_incomplete),
        WORLD_TEST(evicted_possible_cancellation_makes_every_list_incomplete),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
