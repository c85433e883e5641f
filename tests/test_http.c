/* The HTTP parser and the codecs at their edges. */
#include "codec.h"
#include "http.h"
#include "node_rpc.h"
#include "settings.h"

#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

static enum http_parse_result request(const char *text, struct http_head *head)
{
    return http_parse_head(text, strlen(text), false, head);
}

static void heads_are_read_whole_or_not_at_all(void **state)
{
    (void)state;
    struct http_head head;
    const char *text =
        "POST /work?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nConnection: Close\r\n\r\nbody";
    assert_int_equal(request(text, &head), HTTP_PARSE_DONE);
    assert_string_equal(head.method, "POST");
    assert_string_equal(head.target, "/work?x=1");
    assert_int_equal(head.content_length, 12);
    assert_true(head.closes_connection);
    assert_int_equal(head.head_bytes, strlen(text) - 4);
    /* Cut anywhere, it asks for more. */
    for (size_t n = 0; n < head.head_bytes; n++) {
        struct http_head shard;
        assert_int_equal(http_parse_head(text, n, false, &shard), HTTP_PARSE_INCOMPLETE);
    }
    assert_int_equal(request("GET / HTTP/1.0\r\n\r\n", &head), HTTP_PARSE_DONE);
    assert_true(head.closes_connection);
    assert_int_equal(head.content_length, -1);
}

static void heads_that_are_no_http_are_refused(void **state)
{
    (void)state;
    struct http_head head;
    const char *bad[] = {
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
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        if (request(bad[i], &head) != HTTP_PARSE_MALFORMED)
            fail_msg("taken: %s", bad[i]);
    char *big = g_malloc(9001);
    memset(big, 'A', 9000);
    big[9000] = 0;
    assert_int_equal(request(big, &head), HTTP_PARSE_TOO_LARGE);
    g_free(big);
}

static void answers_are_read(void **state)
{
    (void)state;
    struct http_head head;
    const char *text = "HTTP/1.1 429 Too Many\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
    assert_int_equal(http_parse_head(text, strlen(text), true, &head), HTTP_PARSE_DONE);
    assert_int_equal(head.status, 429);
    assert_int_equal(head.retry_after_s, 7);
    assert_int_equal(http_parse_head("HTTP/1.1 x\r\n\r\n", 14, true, &head), HTTP_PARSE_MALFORMED);
}

static void chunks_are_put_together(void **state)
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

static json_object *parse(const char *text)
{
    return json_parse(text, strlen(text));
}

static void json_is_read_strictly(void **state)
{
    (void)state;
    const char *bad[] = {"",       "{", "{} x", "{\"a\":1,}", "nul", "[1 2]", "{\"a\":\"\xff\"}",
                         "{'a':1}"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        if (parse(bad[i]))
            fail_msg("taken: %s", bad[i]);
    json_object *object =
        parse(" {\"a\":18446744073709551615,\"b\":-1,\"c\":1.5,\"d\":9007199254740993} \n");
    uint64_t v = 0;
    assert_true(json_get_u64(object, "a", &v));
    assert_true(v == UINT64_MAX); /* counts reach 2^64 */
    assert_true(json_get_u64(object, "d", &v) && v == 9007199254740993ULL);
    assert_false(json_get_u64(object, "b", &v) || json_get_u64(object, "c", &v) ||
                 json_get_u64(object, "e", &v));
    json_object_put(object);
    /* Between our own processes, where numbers are doubles, they go as texts. */
    cJSON *message = cJSON_CreateObject();
    node_rpc_put_u64(message, "a", UINT64_MAX);
    assert_true(node_rpc_get_u64(message, "a", &v) && v == UINT64_MAX);
    assert_false(node_rpc_get_u64(message, "b", &v));
    cJSON_Delete(message);
}

static const char report_text[] =
    "{\"Mast\":\"host-1\",\"Address\":\"10.1.0.2:9000\",\"Build\":\"g8\",\"Yard\":\"a\","
    "\"Loaners\":true,"
    "\"Shift\":1,\"Tally\":18446744073709551615,\"Helm\":41,\"RecallS\":null,\"More\":{},"
    "\"Pieces\":[{\"Piece\":\"wk-1/3\",\"Try\":18446744073709551614,\"Stage\":\"running\"},"
    "{\"Piece\":\"wk-2/0\",\"Try\":1,\"Stage\":\"exited\",\"Cause\":\"done\"},"
    "{\"Piece\":\"wk-3/0\",\"Try\":1,\"Stage\":\"exited\",\"Cause\":\"eaten\"}]}";

static void reports_are_read_to_the_last_bit(void **state)
{
    (void)state;
    struct heartbeat heartbeat;
    json_object *object = parse(report_text);
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
    const char *bad[] = {"{}", "[]", "{\"Mast\":\"host 1\"}"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        object = parse(bad[i]);
        assert_false(heartbeat_decode(object, &heartbeat));
        json_object_put(object);
    }
}

static void tasks_are_named_job_slash_number(void **state)
{
    (void)state;
    job_id job;
    uint32_t i;
    assert_true(task_name_parse("wk-000412/3", &job, &i) && i == 3 &&
                strcmp(job.text, "wk-000412") == 0);
    const char *bad[] = {"",     "wk-1", "/3", "wk-1/", "wk-1/x", "wk-1/-1", "wk-1/99999999999",
                         "a b/1"};
    for (size_t k = 0; k < G_N_ELEMENTS(bad); k++)
        if (task_name_parse(bad[k], &job, &i))
            fail_msg("taken: %s", bad[k]);
}

static char *job_text(const char *from, const char *to)
{
    const char *text =
        "{\"Id\":\"wk-1\",\"Lot\":\"l\",\"Crew\":\"c\",\"Form\":\"sweep\",\"Urgency\":\"high\","
        "\"Pieces\":16,"
        "\"Vcpus\":8.0,\"Cards\":1.0,\"MemoryGb\":64.0,\"Mould\":\"i\",\"ImageGb\":6.2,\"Builds\":["
        "\"g8\"],"
        "\"Yard\":null,\"OneZone\":true,\"Apart\":false,\"Loaners\":true,\"ExpectedS\":240.0,"
        "\"MarkEveryS\":30.0,\"StowS\":4.0,\"DueS\":900.0}";
    char **shards = g_strsplit(text, from, 2), *out = g_strjoinv(to, shards);
    g_strfreev(shards);
    return out;
}

/* What is kept in the state service reads back the same. */
static void expect_reads_back(const struct job_spec *s)
{
    json_object *again = job_spec_encode(s);
    struct job_spec t;
    assert_true(job_spec_decode(again, &t));
    assert_true(t.task_count == s->task_count && t.cpus.milli == 8000 &&
                t.deadline_s == s->deadline_s);
    job_spec_clear(&t);
    json_object_put(again);
}

/* Whether the job is accepted with one text in place of another. */
static void expect_decoded(const char *from, const char *to, bool ok)
{
    char *text = job_text(from, to);
    json_object *object = parse(text);
    struct job_spec s;
    if (job_spec_decode(object, &s) != ok)
        fail_msg("%s -> %s", from, to);
    if (ok) {
        expect_reads_back(&s);
        job_spec_clear(&s);
    }
    json_object_put(object);
    g_free(text);
}

static void a_job_is_taken_whole_or_refused(void **state)
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
        expect_decoded(cases[i].from, cases[i].to, cases[i].ok);
}

static void settings_name_the_field_that_is_wrong(void **state)
{
    (void)state;
    static const struct {
        const char *text, *why;
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
        if (!strstr(error->message, cases[i].why))
            fail_msg("'%s' does not say '%s'", error->message, cases[i].why);
        g_error_free(error);
    }
}

/* Limits to come are read like those of now, and each may be missing. */
static void limits_to_come_are_checked(void **state)
{
    (void)state;
    static const char now[] = "[deployment.state]\nrps = 100\nwrite_rps = 25\nvalue_kb = 8\n"
                              "txn_ops = 16\n";
    static const struct {
        const char *next, *why; /* NULL: nothing is wrong there */
    } cases[] = {
        {"[deployment.state.next]\nvalue_kb = 0.5\n", "deployment.state.next.value_kb: must be"},
        {"[deployment.state.next]\ntxn_ops = 5.5\n", "deployment.state.next.txn_ops: must be"},
        {"[deployment.state.next]\nwrite_rps = \"few\"\n", "deployment.state.next.write_rps"},
        {"next = 3\n", "deployment.state.next: must be a table"},
        {"[deployment.state.next]\nvalue_kb = 2.0\n", NULL},
        {"", NULL},
    };
    static const char rest[] =
        "label = \"a\"\ndomain = \"z\"\napi_addr = \"10.0.0.1:80\"\nback = \"10.0.0.1:81\"\n"
        "[outside]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[deployment]\nsize = 1\n"
        "zones = [\"z\"]\nclock_error_ms = 25\n[[deployment.teams]]\nname = \"t\"\ncpus = 1\n"
        "cpus_max = 2\ngpus = 0\ngpus_max = 0\n[deployment.workers]\nreport_s = 1\nlease_s = 10\n"
        "gang_wait_s = 1\ngang_peer_s = 1\ncancel_s = 30\n[deployment.cloud]\nrps = 1\n"
        "list_lag_s = 1\n[deployment.machine_limits]\ncore_share = 0.1\nram_mb = 64\n"
        "fd_limit = 800\n";
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strconcat(rest, now, cases[i].next, NULL);
        GError *error = NULL;
        struct settings *settings = settings_parse(text, &error);
        if (cases[i].why && (settings || !strstr(error->message, cases[i].why)))
            fail_msg("'%s' does not say '%s'", error ? error->message : "", cases[i].why);
        if (!cases[i].why) {
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

/* ---- the client, over loopback ---- */

struct talk {
    struct loop *loop;
    struct http_client *net;
    char addr[24];
    int left, good;
};

static void hello(void *ctx, struct http_responder *responder, connection_ref from,
                  const struct http_request *request)
{
    (void)ctx;
    (void)request;
    responder->respond(responder, from, 200, NULL, "{}", 2);
}

static void ask_on(struct talk *talk);

static void told(void *arg, const struct http_response *response)
{
    struct talk *talk = arg;
    talk->good += response->status == 200;
    if (--talk->left > 0)
        ask_on(talk);
    else
        loop_stop(talk->loop);
}

static void ask_on(struct talk *talk)
{
    struct http_client_request request = {talk->addr, "GET", "/ready", NULL, 0, 5000};
    talk->net->request(talk->net, &request, told, talk);
}

static int free_port(void)
{
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof sa;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &n), 0);
    close(fd);
    return ntohs(sa.sin_port);
}

/* At its limit the client closes a connection that idles to make room for another: never the one
 * that it is about to use. Seen on a fleet of 1,357 machines, where it ended the process. */
static void a_client_at_its_limit_uses_what_it_has(void **state)
{
    (void)state;
    struct talk talk = {.loop = loop_new(), .left = 5};
    struct http_client_limits limits = {.max_connections = 1,
                                        .max_connections_per_address = 2,
                                        .max_queued_requests = 10,
                                        .max_response_bytes = 1000,
                                        .connect_timeout_ms = 5000,
                                        .idle_timeout_ms = 5000};
    talk.net = http_client_new(talk.loop, limits);
    g_snprintf(talk.addr, sizeof talk.addr, "127.0.0.1:%d", free_port());
    struct http_server_limits served = {10, 1000, 5000, 5000};
    char *error = NULL;
    struct http_server *server = http_server_new(talk.loop, talk.addr, served, hello, NULL, &error);
    assert_non_null(server);
    ask_on(&talk);
    loop_run(talk.loop);
    assert_int_equal(talk.good, 5);
    http_client_free(talk.net);
    http_server_free(server);
    loop_free(talk.loop);
}

static void given_up(void *arg, const struct http_response *response)
{
    (void)arg;
    (void)response;
}

/* A peer that takes connections and never answers holds all that the client may have. What
 * everything hangs on is reached all the same. */
static void silent_peers_do_not_shut_out_the_state_service(void **state)
{
    (void)state;
    struct talk talk = {.loop = loop_new(), .left = 1};
    struct http_client_limits limits = {.max_connections = 2,
                                        .max_connections_per_address = 2,
                                        .max_queued_requests = 2,
                                        .max_response_bytes = 1000,
                                        .connect_timeout_ms = 30000,
                                        .idle_timeout_ms = 30000};
    talk.net = http_client_new(talk.loop, limits);
    char silent[24];
    g_snprintf(silent, sizeof silent, "127.0.0.1:%d", free_port());
    g_snprintf(talk.addr, sizeof talk.addr, "127.0.0.1:%d", free_port());
    struct http_server_limits served = {10, 1000, 30000, 30000}, none = {0, 1000, 30000, 30000};
    char *error = NULL;
    struct loop *other = loop_new(); /* which nobody runs */
    struct http_server *server = http_server_new(talk.loop, talk.addr, served, hello, NULL, &error);
    struct http_server *deaf = http_server_new(other, silent, none, hello, NULL, &error);
    assert_true(server && deaf);
    struct http_client_request request = {silent, "GET", "/status", NULL, 0, 30000};
    for (int i = 0; i < 4; i++)
        talk.net->request(talk.net, &request, given_up, NULL);
    http_client_exempt_from_pool_limits(talk.net, talk.addr);
    ask_on(&talk);
    loop_run(talk.loop);
    assert_int_equal(talk.good, 1);
    http_client_free(talk.net);
    http_server_free(server);
    http_server_free(deaf);
    loop_free(talk.loop);
    loop_free(other);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(heads_are_read_whole_or_not_at_all),
        cmocka_unit_test(heads_that_are_no_http_are_refused),
        cmocka_unit_test(answers_are_read),
        cmocka_unit_test(chunks_are_put_together),
        cmocka_unit_test(json_is_read_strictly),
        cmocka_unit_test(reports_are_read_to_the_last_bit),
        cmocka_unit_test(tasks_are_named_job_slash_number),
        cmocka_unit_test(a_job_is_taken_whole_or_refused),
        cmocka_unit_test(settings_name_the_field_that_is_wrong),
        cmocka_unit_test(limits_to_come_are_checked),
        cmocka_unit_test(a_client_at_its_limit_uses_what_it_has),
        cmocka_unit_test(silent_peers_do_not_shut_out_the_state_service),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
