/** The operators' policy: settings of the scheduler as expressions in a small typed language.
 *
 * A policy file holds lines `setting = expression`; `#` begins a comment. Expressions are checked
 * when the file is read, so their evaluation cannot fail. docs/operations.md describes the
 * language; policy_schema.c holds the settings and their inputs. */
#ifndef LL_POLICY_H
#define LL_POLICY_H

#include <glib.h>
#include <stdbool.h>

enum policy_setting {
    /** Number: CPUs kept free for jobs to come. */
    POLICY_SPARE_CPUS,
    /** Number: CPUs kept free for services, as a multiple of what arrives while a machine boots. */
    POLICY_SERVICE_SPARE,
    /** Number: seconds that a machine may be idle before it is scaled in. */
    POLICY_IDLE_S,
    /** Flag: whether ordinary machines are rented for jobs that spot machines could run. */
    POLICY_RENT_ON_DEMAND,
    /** Flag: whether a job that does not fit may preempt jobs of lower priority. */
    POLICY_PREEMPT,
    /** How many there are. */
    POLICY_SETTING_COUNT
};

/** What expressions can read. Which of them a setting allows is in policy_schema.c. */
enum policy_input {
    /** Texts that describe the job. */
    INPUT_TEAM,
    INPUT_CLASS,
    INPUT_PRIORITY,
    /** The machine: two texts, whether it is a spot machine, and its CPUs. */
    INPUT_TYPE,
    INPUT_ZONE,
    INPUT_SPOT,
    INPUT_CPUS,
    /** CPUs of the whole cluster: in use now, and at the recent peak. */
    INPUT_USED_CPUS,
    INPUT_PEAK_CPUS,
    /** Seconds: how long the work that waits will take, and how long this job can wait. */
    INPUT_BACKLOG_S,
    INPUT_PATIENCE_S,
    /** How many there are. */
    POLICY_INPUT_COUNT
};

/** The value of an input or of an expression. Only the member of its type has a meaning. */
struct policy_value {
    double number;
    /** Borrowed; NULL is read as the empty text. */
    const char *string;
    bool boolean;
};

/** The domain of errors in the text of a policy. Files that cannot be read are in G_FILE_ERROR. */
#define POLICY_ERROR policy_error_quark()
GQuark policy_error_quark(void);

enum policy_error {
    /** The text does not follow the grammar. */
    POLICY_ERROR_SYNTAX,
    /** An expression has a type that is not allowed in its place. */
    POLICY_ERROR_TYPE,
    /** A setting that does not exist, or an input that the setting does not have. */
    POLICY_ERROR_UNKNOWN_NAME,
    POLICY_ERROR_DUPLICATE_SETTING,
    /** An expression is nested too deeply. */
    POLICY_ERROR_NESTING,
    /** The file is too large. */
    POLICY_ERROR_SIZE,
};

struct policy;

/** Parses the text of a policy file. Settings that it does not hold have their defaults.
 *
 * Returns NULL with a POLICY_ERROR if the text is wrong; the message names line and column and
 * says what was expected. Free the policy with policy_free. */
struct policy *policy_parse(const char *text, GError **error);

/** The same for a file; the message begins with its path. */
struct policy *policy_load(const char *path, GError **error);

/** The policy that applies without a file. */
struct policy *policy_default(void);

void policy_free(struct policy *policy);

/** Evaluates a setting that is a number. `inputs` has POLICY_INPUT_COUNT entries. The result is
 * clamped to the setting's range; NaN, as of 0 / 0, becomes the lower bound. */
double policy_evaluate_number(const struct policy *policy, enum policy_setting setting,
                              const struct policy_value *inputs);

/** Evaluates a setting that is a flag. */
bool policy_evaluate_boolean(const struct policy *policy, enum policy_setting setting,
                             const struct policy_value *inputs);

#endif
