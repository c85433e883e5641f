/**
 * @file
 * Encoding and decoding of the messages between the leader and the shards.
 */
#include "shard_messages.h"

#include "log.h"

#define FIELD_EPOCH "e"
#define FIELD_SEQUENCE "s"
#define FIELD_NUMBER "n"
#define FIELD_ZONE "y"
#define FIELD_MACHINE "h"
#define FIELD_GRACE_S "g"
#define FIELD_JOB "j"
#define FIELD_CORDONED "closed"
#define FIELD_MACHINES "hosts"
#define FIELD_IS_FULL "whole"
#define FIELD_REJECTED "back"
#define FIELD_EVENTS "news"
#define FIELD_WANTS_EPOCH_RAISE "raise"
#define FIELD_CAUSE "c"
#define FIELD_RUN_TIME_S "took"
#define FIELD_CORDONED_BY_LEADER "shut"

/** Indexes into the array that describes a machine. */
enum machine_status_position {
    POSITION_ID,
    POSITION_TYPE,
    POSITION_ZONE,
    POSITION_SPOT,
    POSITION_FLAGS,
    /** Omitted if the images are unchanged. */
    POSITION_IMAGES,
};

/* ---- common parts ---- */

static const cJSON *get_field(const cJSON *object, const char *field)
{
    return cJSON_GetObjectItemCaseSensitive(object, field);
}

static cJSON *encode_task(const struct task_attempt *task)
{
    return node_rpc_encode_task_attempt(task->job, task->index, task->attempt);
}

static bool decode_task(const cJSON *json, struct task_attempt *out)
{
    return node_rpc_decode_task_attempt(json, &out->job, &out->index, &out->attempt);
}

/** Returns the strings of a JSON list, or NULL if the list is missing. */
static GPtrArray *decode_strings(const cJSON *list)
{
    if (!list)
        return NULL;
    GPtrArray *strings = g_ptr_array_new();
    const cJSON *item;
    cJSON_ArrayForEach(item, list)
    {
        if (cJSON_IsString(item))
            g_ptr_array_add(strings, item->valuestring);
    }
    return strings;
}

/** Returns the strings of a JSON list; an empty array if the list is missing. */
static GPtrArray *decode_optional_strings(const cJSON *list)
{
    return list ? decode_strings(list) : g_ptr_array_new();
}

static cJSON *encode_strings(const GPtrArray *strings)
{
    cJSON *list = cJSON_CreateArray();
    for (guint i = 0; i < strings->len; i++)
        cJSON_AddItemToArray(list, cJSON_CreateString(strings->pdata[i]));
    return list;
}

static bool decode_header(const cJSON *json, epoch_no *epoch, uint64_t *sequence)
{
    return node_rpc_get_u64(json, FIELD_EPOCH, &epoch->value) &&
           node_rpc_get_u64(json, FIELD_SEQUENCE, sequence);
}

static cJSON *encode_header(epoch_no epoch, uint64_t sequence)
{
    cJSON *json = cJSON_CreateObject();
    node_rpc_put_u64(json, FIELD_EPOCH, epoch.value);
    node_rpc_put_u64(json, FIELD_SEQUENCE, sequence);
    return json;
}

/* Each of the item decoders below appends its item to a list, unless the item is malformed. */

/* ---- dispatches ---- */

cJSON *dispatch_item_encode(const struct dispatch_item *item)
{
    cJSON *json = encode_task(&item->task);
    node_rpc_put_u64(json, FIELD_NUMBER, item->number);
    if (item->zone)
        cJSON_AddStringToObject(json, FIELD_ZONE, item->zone);
    if (item->bound_machine)
        cJSON_AddStringToObject(json, FIELD_MACHINE, item->bound_machine);
    return json;
}

static void dispatch_item_decode(const cJSON *json, GArray *dispatches)
{
    struct dispatch_item item = {
        .zone = node_rpc_get_string(json, FIELD_ZONE),
        .bound_machine = node_rpc_get_string(json, FIELD_MACHINE),
    };
    node_rpc_get_u64(json, FIELD_NUMBER, &item.number);
    if (decode_task(json, &item.task))
        g_array_append_val(dispatches, item);
    else
        LOG_ERROR("dispatch_malformed", "at=%s", item.bound_machine ? item.bound_machine : "");
}

cJSON *stop_item_encode(const struct stop_item *item)
{
    cJSON *json = encode_task(&item->task);
    cJSON_AddStringToObject(json, FIELD_MACHINE, item->machine);
    cJSON_AddNumberToObject(json, FIELD_GRACE_S, item->grace_s);
    return json;
}

static void stop_item_decode(const cJSON *json, GArray *stops)
{
    const cJSON *grace_s = get_field(json, FIELD_GRACE_S);
    struct stop_item item = {.machine = node_rpc_get_string(json, FIELD_MACHINE)};
    item.grace_s = cJSON_IsNumber(grace_s) ? grace_s->valuedouble : 0;
    if (item.machine && decode_task(json, &item.task))
        g_array_append_val(stops, item);
}

cJSON *dispatch_message_new(epoch_no epoch, uint64_t sequence)
{
    return encode_header(epoch, sequence);
}

bool dispatch_message_decode_header(const cJSON *json, struct dispatch_message *out)
{
    *out = (struct dispatch_message){0};
    return decode_header(json, &out->epoch, &out->sequence);
}

void dispatch_message_decode_lists(const cJSON *json, struct dispatch_message *out)
{
    out->dispatches = g_array_new(FALSE, FALSE, sizeof(struct dispatch_item));
    out->stops = g_array_new(FALSE, FALSE, sizeof(struct stop_item));
    out->returned = decode_optional_strings(get_field(json, DISPATCH_MESSAGE_RETURNED));
    out->to_cordon = decode_strings(get_field(json, DISPATCH_MESSAGE_TO_CORDON));
    const cJSON *item;
    cJSON_ArrayForEach(item, get_field(json, DISPATCH_MESSAGE_STOPS))
        stop_item_decode(item, out->stops);
    cJSON_ArrayForEach(item, get_field(json, DISPATCH_MESSAGE_DISPATCHES))
        dispatch_item_decode(item, out->dispatches);
}

void dispatch_message_clear(struct dispatch_message *message)
{
    g_array_unref(message->dispatches);
    g_array_unref(message->stops);
    g_ptr_array_unref(message->returned);
    g_clear_pointer(&message->to_cordon, g_ptr_array_unref);
}

cJSON *dispatch_response_encode(const GPtrArray *cordoned)
{
    cJSON *json = cJSON_CreateObject();
    cJSON_AddItemToObject(json, FIELD_CORDONED, encode_strings(cordoned));
    return json;
}

GPtrArray *dispatch_response_decode(const cJSON *json)
{
    return decode_optional_strings(get_field(json, FIELD_CORDONED));
}

/* ---- status ---- */

static cJSON *machine_status_encode(const struct machine_status *machine)
{
    cJSON *json = cJSON_CreateArray();
    cJSON_AddItemToArray(json, cJSON_CreateString(machine->id.text));
    cJSON_AddItemToArray(json, cJSON_CreateString(machine->type_name));
    cJSON_AddItemToArray(json, cJSON_CreateString(machine->zone));
    cJSON_AddItemToArray(json, cJSON_CreateBool(machine->is_spot));
    cJSON_AddItemToArray(json, cJSON_CreateNumber(machine->flags));
    if (machine->images)
        cJSON_AddItemToArray(json, encode_strings(machine->images));
    return json;
}

static void machine_status_decode(const cJSON *json, GArray *machines)
{
    const cJSON *id = cJSON_GetArrayItem(json, POSITION_ID);
    const cJSON *type_name = cJSON_GetArrayItem(json, POSITION_TYPE);
    const cJSON *zone = cJSON_GetArrayItem(json, POSITION_ZONE);
    const cJSON *spot = cJSON_GetArrayItem(json, POSITION_SPOT);
    const cJSON *flags = cJSON_GetArrayItem(json, POSITION_FLAGS);
    struct machine_status machine = {0};
    if (!cJSON_IsString(id) || !machine_id_parse(&machine.id, id->valuestring) ||
        !cJSON_IsString(type_name) || !cJSON_IsString(zone) || !cJSON_IsBool(spot) ||
        !cJSON_IsNumber(flags))
        return;
    machine.type_name = type_name->valuestring;
    machine.zone = zone->valuestring;
    machine.is_spot = cJSON_IsTrue(spot);
    machine.flags = (int)flags->valuedouble;
    machine.images = decode_strings(cJSON_GetArrayItem(json, POSITION_IMAGES));
    g_array_append_val(machines, machine);
}

static void machine_status_clear(gpointer data)
{
    struct machine_status *machine = data;
    g_clear_pointer(&machine->images, g_ptr_array_unref);
}

static cJSON *rejected_dispatch_encode(const struct rejected_dispatch *rejected)
{
    cJSON *json = encode_task(&rejected->task);
    node_rpc_put_u64(json, FIELD_NUMBER, rejected->number);
    return json;
}

static void rejected_dispatch_decode(const cJSON *json, GArray *rejected)
{
    struct rejected_dispatch item = {0};
    item.has_number = node_rpc_get_u64(json, FIELD_NUMBER, &item.number);
    if (decode_task(json, &item.task))
        g_array_append_val(rejected, item);
}

static cJSON *task_event_encode(const struct task_event *event)
{
    cJSON *json = cJSON_CreateObject();
    cJSON_AddStringToObject(json, FIELD_MACHINE, event->machine.text);
    cJSON_AddStringToObject(json, FIELD_JOB, event->job.text);
    cJSON_AddNumberToObject(json, event->kind == TASK_EVENT_FAILED ? FIELD_CAUSE : FIELD_RUN_TIME_S,
                            event->value);
    return json;
}

/** Decodes an item of the events list. An item with both a run time and a cause is decoded as two
 * events. */
static void task_event_decode(const cJSON *json, GArray *events)
{
    const char *machine = node_rpc_get_string(json, FIELD_MACHINE);
    const char *job = node_rpc_get_string(json, FIELD_JOB);
    const cJSON *run_time_s = get_field(json, FIELD_RUN_TIME_S);
    const cJSON *cause = get_field(json, FIELD_CAUSE);
    struct task_event event = {.kind = TASK_EVENT_COMPLETED};
    if (!machine || !machine_id_parse(&event.machine, machine) || !job ||
        !job_id_parse(&event.job, job))
        return;
    if (cJSON_IsNumber(run_time_s)) {
        event.value = run_time_s->valuedouble;
        g_array_append_val(events, event);
    }
    if (cJSON_IsNumber(cause)) {
        event.kind = TASK_EVENT_FAILED;
        event.value = cause->valuedouble;
        g_array_append_val(events, event);
    }
}

void status_message_init(struct status_message *message)
{
    *message = (struct status_message){0};
    message->machines = g_array_new(FALSE, FALSE, sizeof(struct machine_status));
    g_array_set_clear_func(message->machines, machine_status_clear);
    message->rejected = g_array_new(FALSE, FALSE, sizeof(struct rejected_dispatch));
    message->events = g_array_new(FALSE, FALSE, sizeof(struct task_event));
}

void status_message_clear(struct status_message *message)
{
    g_array_unref(message->machines);
    g_array_unref(message->rejected);
    g_array_unref(message->events);
}

cJSON *status_message_encode(const struct status_message *message)
{
    cJSON *json = encode_header(message->epoch, message->sequence);
    cJSON *machines = cJSON_AddArrayToObject(json, FIELD_MACHINES);
    if (message->is_full)
        cJSON_AddTrueToObject(json, FIELD_IS_FULL);
    for (guint i = 0; i < message->machines->len; i++)
        cJSON_AddItemToArray(machines, machine_status_encode(&g_array_index(
                                           message->machines, struct machine_status, i)));
    cJSON *rejected = cJSON_AddArrayToObject(json, FIELD_REJECTED);
    for (guint i = 0; i < message->rejected->len; i++)
        cJSON_AddItemToArray(rejected, rejected_dispatch_encode(&g_array_index(
                                           message->rejected, struct rejected_dispatch, i)));
    cJSON *events = cJSON_AddArrayToObject(json, FIELD_EVENTS);
    for (guint i = 0; i < message->events->len; i++)
        cJSON_AddItemToArray(
            events, task_event_encode(&g_array_index(message->events, struct task_event, i)));
    if (message->wants_epoch_raise)
        cJSON_AddBoolToObject(json, FIELD_WANTS_EPOCH_RAISE, true);
    return json;
}

bool status_message_decode(const cJSON *json, struct status_message *out)
{
    epoch_no epoch;
    uint64_t sequence;
    if (!decode_header(json, &epoch, &sequence))
        return false;
    status_message_init(out);
    out->epoch = epoch;
    out->sequence = sequence;
    out->is_full = cJSON_IsTrue(get_field(json, FIELD_IS_FULL));
    out->wants_epoch_raise = cJSON_IsTrue(get_field(json, FIELD_WANTS_EPOCH_RAISE));
    const cJSON *item;
    cJSON_ArrayForEach(item, get_field(json, FIELD_MACHINES))
        machine_status_decode(item, out->machines);
    cJSON_ArrayForEach(item, get_field(json, FIELD_REJECTED))
        rejected_dispatch_decode(item, out->rejected);
    cJSON_ArrayForEach(item, get_field(json, FIELD_EVENTS)) task_event_decode(item, out->events);
    return true;
}

cJSON *status_response_new(void)
{
    cJSON *json = cJSON_CreateObject();
    cJSON_AddArrayToObject(json, FIELD_CORDONED_BY_LEADER);
    return json;
}

void status_response_add(cJSON *response, const char *machine_name)
{
    cJSON *names = cJSON_GetObjectItemCaseSensitive(response, FIELD_CORDONED_BY_LEADER);
    cJSON_AddItemToArray(names, cJSON_CreateString(machine_name));
}

GPtrArray *status_response_decode(const cJSON *json)
{
    return decode_optional_strings(get_field(json, FIELD_CORDONED_BY_LEADER));
}
