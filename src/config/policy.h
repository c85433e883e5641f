/** The operators' policy: scheduler settings that are expressions in a small typed language.
 *
 * A policy file contains lines of the form `setting = expression`; `#` begins a comment.
 * Expressions are type-checked when the file is parsed, so their evaluation cannot fail.
 * docs/operations.md describes the language; policy_schema.c defines the settings and their
 * inputs. */
#ifndef LL_POLICY_H
#define LL_POLICY_H

#include <glib.h>
#include <stdbool.h>

/** The settings that a policy file can set. */
enum policy_setting {
    /** Number: CPUs that are kept free for future jobs. */
    POLICY_SPARE_CPUS,
    /** Number: capacity that is kept free for services, as a multiple of the service tasks that
     * arrive while a machine boots. */
    POLICY_SERVICE_SPARE,
    /** Number: seconds that a machine may be idle before it is scaled in. */
    POLICY_IDLE_S,
    /** Boolean: whether on-demand machines are rented for jobs that spot machines could run. Its
     * name in policy files is rent_ordinary. */
    POLICY_RENT_ON_DEMAND,
    /** Boolean: whether a job that does not fit may preempt jobs of lower priority. */
    POLICY_PREEMPT,
    /** The number of settings. */
    POLICY_SETTING_COUNT
};

/** The inputs that expressions can read. policy_schema.c defines which ones each setting allows. */
enum policy_input {
    /** Strings that describe the job. */
    INPUT_TEAM,
    INPUT_CLASS,
    INPUT_PRIORITY,
    /** The machine: the strings type and zone, whether it is a spot machine, and its CPUs. */
    INPUT_TYPE,
    INPUT_ZONE,
    INPUT_SPOT,
    INPUT_CPUS,
    /** CPUs of the whole cluster that are in use: now, and at the recent peak. */
    INPUT_USED_CPUS,
    INPUT_PEAK_CPUS,
    /** Seconds: how long spot machines would need for the work that waits ahead of the job, and how
     * long the job can wait without missing its objectives. */
    INPUT_BACKLOG_S,
    INPUT_PATIENCE_S,
    /** The number of inputs. */
    POLICY_INPUT_COUNT
};

/** The value of an input or an expression. Only the member that matches its type is used. */
struct policy_value {
    double number;
    /** Not owned by this value. NULL is treated as the empty string. */
    const char *string;
    bool boolean;
};

/** The GError domain of errors in the contents of a policy file. A file that cannot be read is
 * reported in the domain G_FILE_ERROR. */
#define POLICY_ERROR policy_error_quark()
GQuark policy_error_quark(void);

/** The error codes of POLICY_ERROR. */
enum policy_error {
    /** The contents do not follow the grammar. */
    POLICY_ERROR_SYNTAX,
    /** An expression has a type that is not allowed where it stands. */
    POLICY_ERROR_TYPE,
    /** The name of a setting or input does not exist, or the setting does not allow the input. */
    POLICY_ERROR_UNKNOWN_NAME,
    /** A setting is set twice. */
    POLICY_ERROR_DUPLICATE_SETTING,
    /** An expression is nested too deeply. */
    POLICY_ERROR_NESTING,
    /** The file is oversized. */
    POLICY_ERROR_SIZE,
};

/** A parsed policy: one expression for each setting. */
struct policy;

/** Parses the contents of a policy file. Settings that it does not contain have their defaults.
 *
 * Returns NULL with a POLICY_ERROR if the contents are invalid. The message names the line and
 * column and says what was expected. The caller frees the policy with policy_free. */
struct policy *policy_parse(const char *text, GError **error);

/** Reads a policy file and parses it as policy_parse does. Error messages begin with the path. */
struct policy *policy_load(const char *path, GError **error);

/** Returns the policy that applies without a file. The caller frees it with policy_free. */
struct policy *policy_default(void);

/** Frees a policy and its expressions. */
void policy_free(struct policy *policy);

/** Evaluates a setting of type number. `inputs` has POLICY_INPUT_COUNT entries. The result is
 * clamped to the range of the setting; NaN, for example from 0 / 0, becomes the lower bound. */
double policy_evaluate_number(const struct policy *policy, enum policy_setting setting,
                              const struct policy_value *inputs);

/** Evaluates a setting of type boolean. `inputs` has POLICY_INPUT_COUNT entries. */
bool policy_evaluate_boolean(const struct policy *policy, enum policy_setting setting,
                             const struct policy_value *inputs);

#endif
