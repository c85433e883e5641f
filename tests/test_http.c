/**
 * @file
 * Tests of the HTTP parser, of the JSON codecs and of the HTTP client: incomplete, malformed and
 * oversized input, numbers at the end of their range, and the client's connection limits.
 */
#include "codec.h"
#include "http.h"
#include "node_rpc.h"
#include "settings.h"
#include "test_ports.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static enum http_parse_result parse_request_head(const char *text, struct http_head *head)
{
    return http_parse_head(text, strlen(text), false, head);
}

static void request_heads_are_parsed_only_when_complete(void **state)
{
    (void)state;
    struct http_head head;
    const char *text =
        "POST /work?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nConnection: Close\r\n\r\nbody";
    assert_int_equal(parse_request_head(text, &head), HTTP_PARSE_DONE);
    assert_string_equal(head.method, "POST");
    assert_string_equal(head.target, "/work?x=1");
    assert_int_equal(head.content_length, 12);
    assert_true(head.closes_connection);
    assert_int_equal(head.head_bytes, strlen(text) - 4);
    /* A head truncated at any byte is incomplete. */
    for (size_t n = 0; n < head.head_bytes; n++) {
        struct http_head partial;
        assert_int_equal(http_parse_head(text, n, false, &partial), HTTP_PARSE_INCOMPLETE);
    }
    assert_int_equal(parse_request_head("GET / HTTP/1.0\r\n\r\n", &head), HTTP_PARSE_DONE);
    assert_true(head.closes_connection);
    assert_int_equal(head.content_length, -1);
}

static void malformed_request_heads_are_rejected(void **state)
{
    (void)state;
    struct http_head head;
    const char *malformed[] = {
        "GET /\r\n\r\n",
        "GET nowhere HTTP/1.1\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
        "GET / HTTP/1.1\r\nbroken\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "\x16\x03\x01 binary"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        if (parse_request_head(malformed[i], &head) != HTTP_PARSE_MALFORMED)
            fail_msg("accepted: %s", malformed[i]);
    char *oversized = g_malloc(9001);
    memset(oversized, 'A', 9000);
    oversized[9000] = 0;
    assert_int_equal(parse_request_head(oversized, &head), HTTP_PARSE_TOO_LARGE);
    g_free(oversized);
}

static void response_heads_are_parsed(void **state)
{
    (void)state;
    struct http_head head;
    const char *text = "HTTP/1.1 429 Too Many\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
    assert_int_equal(http_parse_head(text, strlen(text), true, &head), HTTP_PARSE_DONE);
    assert_int_equal(head.status, 429);
    assert_int_equal(head.retry_after_s, 7);
    assert_int_equal(http_parse_head("HTTP/1.1 x\r\n\r\n", 14, true, &head), HTTP_PARSE_MALFORMED);
}

static void chunked_bodies_are_decoded(void **state)
{
    (void)state;
    GString *out = g_string_new(NULL);
    size_t used = 0;
    const char *text = "4\r\nWiki\r\n5;x=y\r\npedia\r\n0\r\n\r\n";
    size_t n = strlen(text);
    for (size_t i = 0; i < n; i++)
        assert_int_equal(http_parse_chunks(text, i, 100, out, &used), HTTP_PARSE_INCOMPLETE);
    assert_int_equal(http_parse_chunks(text, n, 100, out, &used), HTTP_PARSE_DONE);
    assert_string_equal(out->str, "Wikipedia");
    assert_int_equal(used, n);
    assert_int_equal(http_parse_chunks(text, n, 8, out, &used), HTTP_PARSE_TOO_LARGE);
    assert_int_equal(http_parse_chunks("zz\r\n", 4, 100, out, &used), HTTP_PARSE_MALFORMED);
    g_string_free(out, TRUE);
}

static json_object *parse_json(const char *text)
{
    return json_parse(text, strlen(text));
}

static void json_is_parsed_strictly(void **state)
{
    (void)state;
    const char *malformed[] = {
        "", "{", "{} x", "{\"a\":1,}", "nul", "[1 2]", "{\"a\":\"\xff\"}", "{'a':1}"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        if (parse_json(malformed[i]))
            fail_msg("accepted: %s", malformed[i]);
    json_object *object =
        parse_json(" {\"a\":18446744073709551615,\"b\":-1,\"c\":1.5,\"d\":9007199254740993} \n");
    uint64_t value = 0;
    assert_true(json_get_u64(object, "a", &value));
    assert_true(value == UINT64_MAX); /* 64-bit counters use the whole range */
    assert_true(json_get_u64(object, "d", &value) && value == 9007199254740993ULL);
    assert_false(json_get_u64(object, "b", &value) || json_get_u64(object, "c", &value) ||
                 json_get_u64(object, "e", &value));
    json_object_put(object);
    /* Messages between nodes carry 64-bit numbers as strings, as cJSON numbers are doubles. */
    cJSON *message = cJSON_CreateObject();
    node_rpc_put_u64(message, "a", UINT64_MAX);
    assert_true(node_rpc_get_u64(message, "a", &value) && value == UINT64_MAX);
    assert_false(node_rpc_get_u64(message, "b", &value));
    cJSON_Delete(message);
}

static const char heartbeat_json[] =
    "{\"Mast\":\"host-1\",\"Address\":\"10.1.0.2:9000\",\"Build\":\"g8\",\"Yard\":\"a\","
    "\"Loaners\":true,"
    "\"Shift\":1,\"Tally\":18446744073709551615,\"Helm\":41,\"RecallS\":null,\"More\":{},"
    "\"Pieces\":[{\"Piece\":\"wk-1/3\",\"Try\":18446744073709551614,\"Stage\":\"running\"},"
    "{\"Piece\":\"wk-2/0\",\"Try\":1,\"Stage\":\"exited\",\"Cause\":\"done\"},"
    "{\"Piece\":\"wk-3/0\",\"Try\":1,\"Stage\":\"exited\",\"Cause\":\"eaten\"}]}";

static void heartbeats_keep_64_bit_numbers(void **state)
{
    (void)state;
    struct heartbeat heartbeat;
    json_object *object = parse_json(heartbeat_json);
    assert_true(heartbeat_decode(object, &heartbeat));
    assert_true(heartbeat.sequence == UINT64_MAX && heartbeat.reclaim_notice_s < 0 &&
                heartbeat.tasks->len == 3);
    struct heartbeat_task *task = &g_array_index(heartbeat.tasks, struct heartbeat_task, 0);
    assert_true(task->attempt.value == UINT64_MAX - 1 && task->task_index == 3 &&
                task->state == TASK_RUNNING);
    assert_int_equal(g_array_index(heartbeat.tasks, struct heartbeat_task, 1).cause, CAUSE_DONE);
    assert_int_equal(g_array_index(heartbeat.tasks, struct heartbeat_task, 2).cause, CAUSE_UNKNOWN);
    heartbeat_clear(&heartbeat);
    json_object_put(object);
    const char *malformed[] = {"{}", "[]", "{\"Mast\":\"host 1\"}"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        object = parse_json(malformed[i]);
        assert_false(heartbeat_decode(object, &heartbeat));
        json_object_put(object);
    }
}

static void task_names_are_parsed_as_job_and_index(void **state)
{
    (void)state;
    job_id job;
    uint32_t task_index;
    assert_true(task_name_parse("wk-000412/3", &job, &task_index) && task_index == 3 &&
                strcmp(job.text, "wk-000412") == 0);
    const char *malformed[] = {
        "", "wk-1", "/3", "wk-1/", "wk-1/x", "wk-1/-1", "wk-1/99999999999", "a b/1"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        if (task_name_parse(malformed[i], &job, &task_index))
            fail_msg("accepted: %s", malformed[i]);
}

/** A valid job as JSON, with the first occurrence of `from` replaced by `to`. */
static char *format_job_with(const char *from, const char *to)
{
    const char *text =
        "{\"Id\":\"wk-1\",\"Lot\":\"l\",\"Crew\":\"c\",\"Form\":\"sweep\",\"Urgency\":\"high\","
        "\"Pieces\":16,"
        "\"Vcpus\":8.0,\"Cards\":1.0,\"MemoryGb\":64.0,\"Mould\":\"i\",\"ImageGb\":6.2,\"Builds\":["
        "\"g8\"],"
        "\"Yard\":null,\"OneZone\":true,\"Apart\":false,\"Loaners\":true,\"ExpectedS\":240.0,"
        "\"MarkEveryS\":30.0,\"StowS\":4.0,\"DueS\":900.0}";
    char **parts = g_strsplit(text, from, 2), *out = g_strjoinv(to, parts);
    g_strfreev(parts);
    return out;
}

/** Checks that a job survives encoding, as for the state service, and decoding. */
static void expect_round_trip(const struct job_spec *spec)
{
    json_object *encoded = job_spec_encode(spec);
    struct job_spec decoded;
    assert_true(job_spec_decode(encoded, &decoded));
    assert_true(decoded.task_count == spec->task_count && decoded.cpus.milli == 8000 &&
                decoded.deadline_s == spec->deadline_s);
    job_spec_clear(&decoded);
    json_object_put(encoded);
}

/** Checks whether the job with `from` replaced by `to` is accepted. */
static void expect_job_decoding(const char *from, const char *to, bool is_valid)
{
    char *text = format_job_with(from, to);
    json_object *object = parse_json(text);
    struct job_spec spec;
    if (job_spec_decode(object, &spec) != is_valid)
        fail_msg("%s -> %s", from, to);
    if (is_valid) {
        expect_round_trip(&spec);
        job_spec_clear(&spec);
    }
    json_object_put(object);
    g_free(text);
}

static void jobs_with_any_invalid_field_are_rejected(void **state)
{
    (void)state;
    static const struct {
        const char *from, *to;
        bool ok;
    } cases[] = {
        {"16", "16", true},
        {"\"Yard\":null,", "", true},
        {"\"Builds\":[\"g8\"],", "\"New\":1,", true},
        {"16", "100000", true},
        {"16", "100001", false},
        {"16", "0", false},
        {"16", "1.5", false},
        {"8.0", "8", true},
        {"8.0", "-8.0", false},
        {"8.0", "\"8\"", false},
        {"wk-1", "job-1", false},
        {"wk-1", "wk-1/2", false},
        {"sweep", "swap", false},
        {"\"OneZone\":true,", "", false},
        {"\"OneZone\":true", "\"OneZone\":1", false},
        {"\"DueS\":900.0", "\"DueS\":null", true},
        {"[\"g8\"]", "[8]", false},
        {"[\"g8\"]", "\"g8\"", false},
        {"\"l\"", "\"\"", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        expect_job_decoding(cases[i].from, cases[i].to, cases[i].ok);
}

static void settings_errors_name_the_invalid_field(void **state)
{
    (void)state;
    static const struct {
        const char *text, *message_part;
    } cases[] = {
        {"label = ", "line 1"},
        {"", "label: is required but missing"},
        {"label = 3", "label: must be a non-empty string"},
        {"label = \"a\"\ndomain = \"z\"\napi_addr = \"here\"", "api_addr: must be an address"},
        {"label = \"a\"\ndomain = \"z\"\napi_addr = \"10.0.0.1:80800\"",
         "api_addr: must be an address"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        assert_null(settings_parse(cases[i].text, &error));
        if (!strstr(error->message, cases[i].message_part))
            fail_msg("'%s' does not say '%s'", error->message, cases[i].message_part);
        g_error_free(error);
    }
}

/* Upcoming limits are validated like the current ones, which they default to. */
static void upcoming_state_service_limits_are_validated(void **state)
{
    (void)state;
    static const char current_limits[] =
        "[deployment.state]\nrps = 100\nwrite_rps = 25\nvalue_kb = 8\n"
        "txn_ops = 16\n";
    static const struct {
        const char *next, *message_part; /* NULL: the settings are valid */
    } cases[] = {
        {"[deployment.state.next]\nvalue_kb = 0.5\n", "deployment.state.next.value_kb: must be"},
        {"[deployment.state.next]\ntxn_ops = 5.5\n", "deployment.state.next.txn_ops: must be"},
        {"[deployment.state.next]\nwrite_rps = \"few\"\n", "deployment.state.next.write_rps"},
        {"next = 3\n", "deployment.state.next: must be a table"},
        {"[deployment.state.next]\nvalue_kb = 2.0\n", NULL},
        {"", NULL},
    };
    static const char other_settings[] =
        "label = \"a\"\ndomain = \"z\"\napi_addr = \"10.0.0.1:80\"\nback = \"10.0.0.1:81\"\n"
        "[outside]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[deployment]\nsize = 1\n"
        "zones = [\"z\"]\nclock_error_ms = 25\n[[deployment.teams]]\nname = \"t\"\ncpus = 1\n"
        "cpus_max = 2\ngpus = 0\ngpus_max = 0\n[deployment.workers]\nreport_s = 1\nlease_s = 10\n"
        "gang_wait_s = 1\ngang_peer_s = 1\ncancel_s = 30\n[deployment.cloud]\nrps = 1\n"
        "list_lag_s = 1\n[deployment.machine_limits]\ncore_share = 0.1\nram_mb = 64\n"
        "fd_limit = 800\n";
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strconcat(other_settings, current_limits, cases[i].next, NULL);
        GError *error = NULL;
        struct settings *settings = settings_parse(text, &error);
        if (cases[i].message_part && (settings || !strstr(error->message, cases[i].message_part)))
            fail_msg("'%s' does not say '%s'", error ? error->message : "", cases[i].message_part);
        if (!cases[i].message_part) {
            if (error)
                fail_msg("%s", error->message);
            assert_true(settings->kv_limits_next.writes_per_s == 25 &&
                        settings->kv_limits_next.max_txn_operations == 16);
            assert_true(settings->kv_limits_next.max_value_kb == (*cases[i].next ? 2 : 8));
            settings_free(settings);
        }
        g_clear_error(&error);
        g_free(text);
    }
}

/* ---- HTTP client over loopback ---- */

/** A client that sends a series of requests, each once the previous one is answered. */
struct client_test {
    struct loop *loop;
    struct http_client *client;
    char address[24];
    int remaining_requests, successful_requests;
};

static void respond_ok(void *ctx, struct http_responder *responder, connection_ref from,
                       const struct http_request *request)
{
    (void)ctx;
    (void)request;
    responder->respond(responder, from, 200, NULL, "{}", 2);
}

static void send_next_request(struct client_test *test);

static void handle_response(void *arg, const struct http_response *response)
{
    struct client_test *test = arg;
    test->successful_requests += response->status == 200;
    if (--test->remaining_requests > 0)
        send_next_request(test);
    else
        loop_stop(test->loop);
}

static void send_next_request(struct client_test *test)
{
    struct http_client_request request = {test->address, "GET", "/ready", NULL, 0, 5000};
    test->client->request(test->client, &request, handle_response, test);
}

/* At its connection limit the client closes an idle connection to make room for another. It must
 * not close the one that it is about to use: with 1,357 machines that terminated the process. */
static void client_at_its_connection_limit_reuses_its_connection(void **state)
{
    (void)state;
    struct client_test test = {.loop = loop_new(), .remaining_requests = 5};
    struct http_client_limits limits = {.max_connections = 1,
                                        .max_connections_per_address = 2,
                                        .max_queued_requests = 10,
                                        .max_response_bytes = 1000,
                                        .connect_timeout_ms = 5000,
                                        .idle_timeout_ms = 5000};
    test.client = http_client_new(test.loop, limits);
    g_snprintf(test.address, sizeof test.address, "127.0.0.1:%d", test_ports_take());
    struct http_server_limits server_limits = {10, 1000, 5000, 5000};
    char *error = NULL;
    struct http_server *server =
        http_server_new(test.loop, test.address, server_limits, respond_ok, NULL, &error);
    assert_non_null(server);
    send_next_request(&test);
    loop_run(test.loop);
    assert_int_equal(test.successful_requests, 5);
    http_client_free(test.client);
    http_server_free(server);
    loop_free(test.loop);
}

static void ignore_response(void *arg, const struct http_response *response)
{
    (void)arg;
    (void)response;
}

/* A peer that accepts connections and never answers uses up the client's connections and queue. The
 * state service is exempt from these limits and must still be reached. */
static void unresponsive_peers_do_not_block_the_state_service(void **state)
{
    (void)state;
    struct client_test test = {.loop = loop_new(), .remaining_requests = 1};
    struct http_client_limits limits = {.max_connections = 2,
                                        .max_connections_per_address = 2,
                                        .max_queued_requests = 2,
                                        .max_response_bytes = 1000,
                                        .connect_timeout_ms = 30000,
                                        .idle_timeout_ms = 30000};
    test.client = http_client_new(test.loop, limits);
    char unresponsive_address[24];
    g_snprintf(unresponsive_address, sizeof unresponsive_address, "127.0.0.1:%d",
               test_ports_take());
    g_snprintf(test.address, sizeof test.address, "127.0.0.1:%d", test_ports_take());
    struct http_server_limits server_limits = {10, 1000, 30000, 30000},
                              no_connections = {0, 1000, 30000, 30000};
    char *error = NULL;
    struct loop *stopped_loop = loop_new(); /* never run, so its server answers nothing */
    struct http_server *server =
        http_server_new(test.loop, test.address, server_limits, respond_ok, NULL, &error);
    struct http_server *unresponsive_server = http_server_new(
        stopped_loop, unresponsive_address, no_connections, respond_ok, NULL, &error);
    assert_true(server && unresponsive_server);
    struct http_client_request request = {unresponsive_address, "GET", "/status", NULL, 0, 30000};
    for (int i = 0; i < 4; i++)
        test.client->request(test.client, &request, ignore_response, NULL);
    http_client_exempt_from_pool_limits(test.client, test.address);
    send_next_request(&test);
    loop_run(test.loop);
    assert_int_equal(test.successful_requests, 1);
    http_client_free(test.client);
    http_server_free(server);
    http_server_free(unresponsive_server);
    loop_free(test.loop);
    loop_free(stopped_loop);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(request_heads_are_parsed_only_when_complete),
        cmocka_unit_test(malformed_request_heads_are_rejected),
        cmocka_unit_test(response_heads_are_parsed),
        cmocka_unit_test(chunked_bodies_are_decoded),
        cmocka_unit_test(json_is_parsed_strictly),
        cmocka_unit_test(heartbeats_keep_64_bit_numbers),
        cmocka_unit_test(task_names_are_parsed_as_job_and_index),
        cmocka_unit_test(jobs_with_any_invalid_field_are_rejected),
        cmocka_unit_test(settings_errors_name_the_invalid_field),
        cmocka_unit_test(upcoming_state_service_limits_are_validated),
        cmocka_unit_test(client_at_its_connection_limit_reuses_its_connection),
        cmocka_unit_test(unresponsive_peers_do_not_block_the_state_service),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
