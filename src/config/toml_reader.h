/** TOML to JSON text, by toml++, as Debian has no C library for TOML. */
#ifndef LL_TOML_READER_H
#define LL_TOML_READER_H

#ifdef __cplusplus
extern "C" {
#endif

/** A JSON text to be freed with free(), or NULL with a message in error. */
char *toml_read_json(const char *text, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
