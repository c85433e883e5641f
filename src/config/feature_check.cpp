/** Validation of a features file against its JSON Schema, with the valijson library. */
#include "feature_check.h"

#include "feature_schema.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace
{

/** Returns the path of the field that an error is about, as operators write it, such as
 * "duties.enabled". */
std::string field_path(const valijson::ValidationResults::Error &error)
{
    std::string field;
    for (std::string part : error.context) {
        if (part == "<root>")
            continue;
        if (part.size() > 2 && part.front() == '[')
            part = part.substr(1, part.size() - 2);
        field += field.empty() ? part : "." + part;
    }
    return field.empty() ? "the file" : field;
}

} // namespace

extern "C" bool feature_check(const char *json, char *error, unsigned error_size)
{
    try {
        const nlohmann::json schema_json = nlohmann::json::parse(FEATURE_SCHEMA);
        const nlohmann::json document = nlohmann::json::parse(json);
        valijson::Schema schema;
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
        valijson::Validator validator;
        valijson::ValidationResults results;
        valijson::adapters::NlohmannJsonAdapter target(document);
        if (validator.validate(schema, target, &results))
            return true;
        valijson::ValidationResults::Error first;
        results.popError(first);
        (void)std::snprintf(error, error_size, "%s: %s", field_path(first).c_str(),
                            first.description.c_str());
    } catch (const std::exception &e) {
        (void)std::snprintf(error, error_size, "%s", e.what());
    }
    return false;
}
