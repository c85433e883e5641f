/** Conversion of TOML to JSON.
 *
 * The implementation is in C++ because the toml++ library is. The rest of the program reads JSON
 * with json-c. */
#ifndef LL_TOML_READER_H
#define LL_TOML_READER_H

#ifdef __cplusplus
extern "C" {
#endif

/** Converts a TOML document to JSON, which the caller frees with free(). If the document is not
 * valid TOML, returns NULL and writes a message that names the line and column to `error`,
 * truncated to `error_size` bytes including the terminating NUL. */
char *toml_read_json(const char *toml, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
