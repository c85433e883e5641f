/**
 * @file
 * Tests of the messages between the leader and the shards: their wire format, which nodes of older
 * versions read and write too, and the handling of malformed messages and items.
 */
#include "json_messages.h"
#include "shard_messages.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static struct task_attempt make_task_attempt(uint32_t index)
{
    struct task_attempt task = {.index = index, .attempt = {7}};
    assert_true(job_id_parse(&task.job, "render-1"));
    return task;
}

static void dispatch_items_keep_their_wire_format(void **state)
{
    (void)state;
    struct dispatch_item anywhere = {.task = make_task_attempt(3), .number = 12};
    assert_json_message(dispatch_item_encode(&anywhere),
                        "{\"j\":\"render-1\",\"i\":3,\"a\":\"7\",\"n\":\"12\"}");
    struct dispatch_item bound = {
        .task = make_task_attempt(3), .number = 12, .zone = "z1", .bound_machine = "m-1"};
    assert_json_message(
        dispatch_item_encode(&bound),
        "{\"j\":\"render-1\",\"i\":3,\"a\":\"7\",\"n\":\"12\",\"y\":\"z1\",\"h\":\"m-1\"}");
    struct stop_item stop = {.task = make_task_attempt(4), .machine = "m-2", .grace_s = 1.5};
    assert_json_message(stop_item_encode(&stop),
                        "{\"j\":\"render-1\",\"i\":4,\"a\":\"7\",\"h\":\"m-2\",\"g\":1.5}");
    assert_json_message(dispatch_message_new((epoch_no){5}, 9), "{\"e\":\"5\",\"s\":\"9\"}");
}

static void malformed_items_of_dispatch_messages_are_skipped(void **state)
{
    (void)state;
    cJSON *json = json_message_parse(
        "{\"e\":\"5\",\"s\":\"9\",\"deal\":[{\"j\":\"render-1\",\"i\":3,\"a\":\"7\","
        "\"y\":\"z1\"},{\"j\":\"render-1\"},4],\"halt\":[{\"j\":\"render-1\",\"i\":4,"
        "\"a\":\"7\",\"h\":\"m-2\"},{\"j\":\"render-1\",\"i\":5,\"a\":\"7\"}],"
        "\"gone\":[\"m-3\",1],\"close\":[]}");
    struct dispatch_message message;
    assert_true(dispatch_message_decode_header(json, &message));
    dispatch_message_decode_lists(json, &message);
    assert_int_equal(message.epoch.value, 5);
    assert_int_equal(message.sequence, 9);
    assert_int_equal(message.dispatches->len, 1);
    const struct dispatch_item *item = &g_array_index(message.dispatches, struct dispatch_item, 0);
    assert_int_equal(item->task.index, 3);
    assert_int_equal(item->task.attempt.value, 7);
    assert_int_equal(item->number, 0);
    assert_string_equal(item->zone, "z1");
    assert_null(item->bound_machine);
    assert_int_equal(message.stops->len, 1);
    const struct stop_item *stop = &g_array_index(message.stops, struct stop_item, 0);
    assert_string_equal(stop->machine, "m-2");
    assert_true(stop->grace_s == 0);
    assert_int_equal(message.returned->len, 1);
    assert_string_equal(message.returned->pdata[0], "m-3");
    assert_non_null(message.to_cordon); /* an empty list is still a request, which is answered */
    assert_int_equal(message.to_cordon->len, 0);
    dispatch_message_clear(&message);
    cJSON_Delete(json);
}

static void messages_without_a_sequence_number_are_rejected(void **state)
{
    (void)state;
    struct dispatch_message dispatches;
    struct status_message status;
    cJSON *json = json_message_parse("{\"e\":\"5\"}");
    assert_false(dispatch_message_decode_header(json, &dispatches));
    assert_false(status_message_decode(json, &status));
    cJSON_Delete(json);
    json = json_message_parse("{\"e\":\"5\",\"s\":\"1\"}");
    assert_true(dispatch_message_decode_header(json, &dispatches));
    dispatch_message_decode_lists(json, &dispatches);
    assert_null(dispatches.to_cordon);
    dispatch_message_clear(&dispatches);
    assert_true(status_message_decode(json, &status));
    assert_false(status.is_full || status.wants_epoch_raise);
    status_message_clear(&status);
    cJSON_Delete(json);
}

static void status_messages_keep_their_wire_format(void **state)
{
    (void)state;
    struct status_message message;
    status_message_init(&message);
    message.epoch.value = 5;
    message.sequence = 2;
    message.is_full = message.wants_epoch_raise = true;
    struct machine_status machine = {.type_name = "c8", .zone = "z1", .is_spot = true, .flags = 9};
    assert_true(machine_id_parse(&machine.id, "m-1"));
    g_array_append_val(message.machines, machine);
    machine.images = g_ptr_array_new();
    g_ptr_array_add(machine.images, "img");
    g_array_append_val(message.machines, machine);
    struct rejected_dispatch rejected = {
        .task = make_task_attempt(3), .number = 12, .has_number = true};
    g_array_append_val(message.rejected, rejected);
    struct task_event event = {TASK_EVENT_FAILED, machine.id, make_task_attempt(0).job, 4};
    g_array_append_val(message.events, event);
    event = (struct task_event){TASK_EVENT_COMPLETED, machine.id, make_task_attempt(0).job, 2.25};
    g_array_append_val(message.events, event);
    assert_json_message(status_message_encode(&message),
                        "{\"e\":\"5\",\"s\":\"2\",\"hosts\":[[\"m-1\",\"c8\",\"z1\",true,9],"
                        "[\"m-1\",\"c8\",\"z1\",true,9,[\"img\"]]],\"whole\":true,"
                        "\"back\":[{\"j\":\"render-1\",\"i\":3,\"a\":\"7\",\"n\":\"12\"}],"
                        "\"news\":[{\"h\":\"m-1\",\"j\":\"render-1\",\"c\":4},"
                        "{\"h\":\"m-1\",\"j\":\"render-1\",\"took\":2.25}],\"raise\":true}");
    status_message_clear(&message);
}

static void malformed_items_of_status_messages_are_skipped(void **state)
{
    (void)state;
    cJSON *json = json_message_parse(
        "{\"e\":\"5\",\"s\":\"2\",\"hosts\":[[\"m-1\",\"c8\",\"z1\",false,1],[\"m-"
        "2\",\"c8\",\"z1\",true,"
        "16,[\"img\",2]],[\"m-3\"],7],\"back\":[{\"j\":\"render-1\",\"i\":3,\"a\":"
        "\"7\"},{\"i\":3}],"
        "\"news\":[{\"h\":\"m-1\",\"j\":\"render-1\",\"took\":2.25},{\"h\":\"m-"
        "1\",\"j\":\"render-1\"},"
        "{\"j\":\"render-1\",\"c\":4}]}");
    struct status_message message;
    assert_true(status_message_decode(json, &message));
    assert_int_equal(message.machines->len, 2);
    const struct machine_status *machine =
        &g_array_index(message.machines, struct machine_status, 0);
    assert_null(machine->images);
    machine = &g_array_index(message.machines, struct machine_status, 1);
    assert_int_equal(machine->flags, 16);
    assert_int_equal(machine->images->len, 1);
    assert_int_equal(message.rejected->len, 1);
    assert_false(g_array_index(message.rejected, struct rejected_dispatch, 0).has_number);
    assert_int_equal(message.events->len, 1);
    const struct task_event *event = &g_array_index(message.events, struct task_event, 0);
    assert_int_equal(event->kind, TASK_EVENT_COMPLETED);
    assert_true(event->value == 2.25);
    status_message_clear(&message);
    cJSON_Delete(json);
}

static void item_with_run_time_and_cause_is_two_events(void **state)
{
    (void)state;
    cJSON *json =
        json_message_parse("{\"e\":\"5\",\"s\":\"2\",\"news\":[{\"h\":\"m-1\",\"j\":\"render-1\","
                           "\"c\":4,\"took\":2.25}]}");
    struct status_message message;
    assert_true(status_message_decode(json, &message));
    assert_int_equal(message.events->len, 2);
    const struct task_event *event = &g_array_index(message.events, struct task_event, 0);
    assert_int_equal(event->kind, TASK_EVENT_COMPLETED);
    assert_true(event->value == 2.25);
    event = &g_array_index(message.events, struct task_event, 1);
    assert_int_equal(event->kind, TASK_EVENT_FAILED);
    assert_true(event->value == 4);
    status_message_clear(&message);
    cJSON_Delete(json);
}

static void responses_list_machines(void **state)
{
    (void)state;
    cJSON *status_response = status_response_new();
    status_response_add(status_response, "m-1");
    GPtrArray *names = status_response_decode(status_response);
    assert_int_equal(names->len, 1);
    assert_string_equal(names->pdata[0], "m-1");
    cJSON *dispatch_response = dispatch_response_encode(names);
    g_ptr_array_unref(names);
    names = dispatch_response_decode(dispatch_response);
    assert_string_equal(names->pdata[0], "m-1");
    g_ptr_array_unref(names);
    assert_json_message(dispatch_response, "{\"closed\":[\"m-1\"]}");
    assert_json_message(status_response, "{\"shut\":[\"m-1\"]}");
    names = dispatch_response_decode(NULL);
    assert_int_equal(names->len, 0);
    g_ptr_array_unref(names);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(dispatch_items_keep_their_wire_format),
        cmocka_unit_test(malformed_items_of_dispatch_messages_are_skipped),
        cmocka_unit_test(messages_without_a_sequence_number_are_rejected),
        cmocka_unit_test(status_messages_keep_their_wire_format),
        cmocka_unit_test(malformed_items_of_status_messages_are_skipped),
        cmocka_unit_test(item_with_run_time_and_cause_is_two_events),
        cmocka_unit_test(responses_list_machines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
