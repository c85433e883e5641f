/** Conversion of TOML to JSON with the toml++ library. */
#include "toml_reader.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <toml++/toml.h>

extern "C" char *toml_read_json(const char *toml, char *error, unsigned error_size)
{
    try {
        toml::table table = toml::parse(std::string_view(toml));
        std::ostringstream json;
        json << toml::json_formatter(table);
        return strdup(json.str().c_str());
    } catch (const toml::parse_error &e) {
        (void)std::snprintf(error, error_size, "line %u, column %u: %s",
                            unsigned(e.source().begin.line), unsigned(e.source().begin.column),
                            std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        (void)std::snprintf(error, error_size, "%s", e.what());
    }
    return nullptr;
}
