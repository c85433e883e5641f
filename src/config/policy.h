/* What operators may tune, in a small typed expression language with a checker. A policy file holds
 * lines `setting = expression`; `#` begins a comment. docs/operations.md describes it. */
#ifndef LL_POLICY_H
#define LL_POLICY_H

#include <glib.h>
#include <stdbool.h>

enum policy_setting {
    POLICY_SPARE_CPUS,    /* processors kept free for what comes next */
    POLICY_SERVICE_SPARE, /* room for services, in times what comes while a machine boots */
    POLICY_IDLE_S,        /* how long a machine idles before it is given back */
    POLICY_RENT_ORDINARY, /* whether ordinary machines are rented for work that spot ones could do
                           */
    POLICY_PREEMPT,       /* whether a job that finds no room may stop work of lower priority */
    POLICY_SETTINGS
};

enum policy_input {
    INPUT_TEAM,
    INPUT_CLASS,
    INPUT_PRIORITY,
    INPUT_TYPE,
    INPUT_ZONE,
    INPUT_SPOT,
    INPUT_CPUS,
    INPUT_USED_CPUS,
    INPUT_PEAK_CPUS,
    INPUT_BACKLOG_S,
    INPUT_PATIENCE_S,
    POLICY_INPUTS
};

/* Only the member of the input's type counts. */
struct policy_value {
    double number;
    const char *text;
    bool flag;
};

struct policy;

/* NULL with a message that names line and column and says what was expected. */
struct policy *policy_parse(const char *text, char **error);
struct policy *policy_load(const char *path, char **error);
struct policy *policy_default(void);
void policy_free(struct policy *policy);

/* Numbers are kept within the setting's range, whatever the expression comes to. */
double policy_number(const struct policy *policy, enum policy_setting s,
                     const struct policy_value *inputs);
bool policy_flag(const struct policy *policy, enum policy_setting s,
                 const struct policy_value *inputs);

#endif
