/** Conversion of TOML to JSON.
 *
 * It is in C++ for the library toml++; the rest of the program reads JSON with json-c. */
#ifndef LL_TOML_READER_H
#define LL_TOML_READER_H

#ifdef __cplusplus
extern "C" {
#endif

/** Returns JSON text, to be freed with free(). If the text is not TOML, returns NULL and writes a
 * message that names line and column to `error`, cut off to `error_size` bytes with its NUL. */
char *toml_read_json(const char *toml, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
