/** The tables of policy settings and inputs, which docs/operations.md documents for operators. */
#include "policy_schema.h"

#include <string.h>

#define INPUT_BIT(input) (1U << (input))

/** Sets of inputs, which describe a job, the load of the cluster, a machine, and the backlog. */
enum {
    JOB_INPUTS = INPUT_BIT(INPUT_TEAM) | INPUT_BIT(INPUT_CLASS) | INPUT_BIT(INPUT_PRIORITY),
    LOAD_INPUTS = INPUT_BIT(INPUT_USED_CPUS) | INPUT_BIT(INPUT_PEAK_CPUS),
    MACHINE_INPUTS = INPUT_BIT(INPUT_TYPE) | INPUT_BIT(INPUT_ZONE) | INPUT_BIT(INPUT_SPOT) |
                     INPUT_BIT(INPUT_CPUS),
    BACKLOG_INPUTS = INPUT_BIT(INPUT_BACKLOG_S) | INPUT_BIT(INPUT_PATIENCE_S),
};

static const double MAX_SPARE_CPUS = 1e6;
static const double MAX_SERVICE_SPARE = 100;
static const double MIN_IDLE_S = 1;
static const double MAX_IDLE_S = 86400;

static const char *const type_names[] = {
    [POLICY_TYPE_NUMBER] = "a number",
    [POLICY_TYPE_STRING] = "a string",
    [POLICY_TYPE_BOOLEAN] = "a boolean",
};

static const struct policy_input_definition inputs[POLICY_INPUT_COUNT] = {
    [INPUT_TEAM] = {"team", POLICY_TYPE_STRING},
    [INPUT_CLASS] = {"class", POLICY_TYPE_STRING},
    [INPUT_PRIORITY] = {"priority", POLICY_TYPE_STRING},
    [INPUT_TYPE] = {"type", POLICY_TYPE_STRING},
    [INPUT_ZONE] = {"zone", POLICY_TYPE_STRING},
    [INPUT_SPOT] = {"spot", POLICY_TYPE_BOOLEAN},
    [INPUT_CPUS] = {"cpus", POLICY_TYPE_NUMBER},
    [INPUT_USED_CPUS] = {"used_cpus", POLICY_TYPE_NUMBER},
    [INPUT_PEAK_CPUS] = {"peak_cpus", POLICY_TYPE_NUMBER},
    [INPUT_BACKLOG_S] = {"backlog_s", POLICY_TYPE_NUMBER},
    [INPUT_PATIENCE_S] = {"patience_s", POLICY_TYPE_NUMBER},
};

static const struct policy_setting_definition settings[POLICY_SETTING_COUNT] = {
    [POLICY_SPARE_CPUS] = {.name = "spare_cpus",
                           .default_expression = "0.12 * peak_cpus",
                           .type = POLICY_TYPE_NUMBER,
                           .input_mask = LOAD_INPUTS,
                           .min = 0,
                           .max = MAX_SPARE_CPUS},
    [POLICY_SERVICE_SPARE] = {.name = "service_spare",
                              .default_expression = "1.0",
                              .type = POLICY_TYPE_NUMBER,
                              .input_mask = LOAD_INPUTS,
                              .min = 0,
                              .max = MAX_SERVICE_SPARE},
    [POLICY_IDLE_S] = {.name = "idle_s",
                       .default_expression = "if spot then 40 else 15",
                       .type = POLICY_TYPE_NUMBER,
                       .input_mask = LOAD_INPUTS | MACHINE_INPUTS,
                       .min = MIN_IDLE_S,
                       .max = MAX_IDLE_S},
    [POLICY_RENT_ON_DEMAND] = {.name = "rent_ordinary",
                               .default_expression = "backlog_s > 1.5 * patience_s",
                               .type = POLICY_TYPE_BOOLEAN,
                               .input_mask = JOB_INPUTS | LOAD_INPUTS | BACKLOG_INPUTS},
    [POLICY_PREEMPT] = {.name = "preempt",
                        .default_expression = "priority == \"prod\" or priority == \"high\"",
                        .type = POLICY_TYPE_BOOLEAN,
                        .input_mask = JOB_INPUTS | LOAD_INPUTS},
};

const char *policy_type_name(enum policy_type type)
{
    return type_names[type];
}

const struct policy_input_definition *policy_schema_get_input(enum policy_input input)
{
    return &inputs[input];
}

const struct policy_setting_definition *policy_schema_get_setting(enum policy_setting setting)
{
    return &settings[setting];
}

bool policy_setting_allows_input(const struct policy_setting_definition *setting,
                                 enum policy_input input)
{
    return (setting->input_mask & INPUT_BIT(input)) != 0;
}

static bool name_equals(const char *known_name, const char *name, size_t length)
{
    return strlen(known_name) == length && strncmp(known_name, name, length) == 0;
}

bool policy_schema_find_input(const char *name, size_t length, enum policy_input *input)
{
    for (int i = 0; i < POLICY_INPUT_COUNT; i++) {
        if (name_equals(inputs[i].name, name, length)) {
            *input = (enum policy_input)i;
            return true;
        }
    }
    return false;
}

bool policy_schema_find_setting(const char *name, size_t length, enum policy_setting *setting)
{
    for (int i = 0; i < POLICY_SETTING_COUNT; i++) {
        if (name_equals(settings[i].name, name, length)) {
            *setting = (enum policy_setting)i;
            return true;
        }
    }
    return false;
}
