/** A parser of HTTP/1.1 heads and chunked bodies. It accepts what the peers of this service send,
 * and rejects input that two parsers could interpret differently. */
#include "http.h"

#include <stdlib.h>

enum {
    MAX_HEAD_BYTES = 8192,
    MAX_CHUNK_LINE_BYTES = 64, /* the line with the size and extensions of a chunk */
    MAX_CHUNK_SIZE_DIGITS = 12,
    MAX_RETRY_AFTER_S = 86400,
};

static bool parse_decimal(const char *text, const char *end, int64_t *out)
{
    if (text == end || end - text > 15)
        return false;
    int64_t value = 0;
    for (; text < end; text++) {
        if (!g_ascii_isdigit(*text))
            return false;
        value = value * 10 + (*text - '0');
    }
    *out = value;
    return true;
}

static bool copy_token(char *out, size_t size, const char *text, const char *end)
{
    if (text >= end || (size_t)(end - text) >= size)
        return false;
    for (size_t i = 0; i < (size_t)(end - text); i++) {
        if ((unsigned char)text[i] <= ' ' || (unsigned char)text[i] >= 127)
            return false;
        out[i] = text[i];
    }
    out[end - text] = 0;
    return true;
}

static enum http_parse_result parse_request_line(const char *line, const char *end,
                                                 struct http_head *head)
{
    const char *first_space = memchr(line, ' ', end - line);
    const char *second_space =
        first_space ? memchr(first_space + 1, ' ', end - first_space - 1) : NULL;
    if (!second_space || !copy_token(head->method, sizeof head->method, line, first_space))
        return HTTP_PARSE_MALFORMED;
    if ((size_t)(second_space - first_space) >= sizeof head->target)
        return HTTP_PARSE_TOO_LARGE;
    if (!copy_token(head->target, sizeof head->target, first_space + 1, second_space) ||
        head->target[0] != '/')
        return HTTP_PARSE_MALFORMED;
    if (end - second_space != 9 || memcmp(second_space + 1, "HTTP/1.", 7) != 0 ||
        (second_space[8] != '0' && second_space[8] != '1'))
        return HTTP_PARSE_MALFORMED;
    head->closes_connection = second_space[8] == '0';
    return HTTP_PARSE_DONE;
}

static enum http_parse_result parse_status_line(const char *line, const char *end,
                                                struct http_head *head)
{
    int64_t status;
    if (end - line < 12 || memcmp(line, "HTTP/1.", 7) != 0 || line[8] != ' ' ||
        !parse_decimal(line + 9, line + 12, &status) || (end - line > 12 && line[12] != ' '))
        return HTTP_PARSE_MALFORMED;
    head->closes_connection = line[7] == '0';
    head->status = (int)status;
    return HTTP_PARSE_DONE;
}

static bool equals_ignore_case(const char *text, const char *end, const char *expected)
{
    return (size_t)(end - text) == strlen(expected) &&
           g_ascii_strncasecmp(text, expected, end - text) == 0;
}

static bool contains_ignore_case(const char *text, const char *end, const char *substring)
{
    size_t substring_length = strlen(substring);
    for (; text + substring_length <= end; text++)
        if (g_ascii_strncasecmp(text, substring, substring_length) == 0)
            return true;
    return false;
}

/* Returns whether the input is non-empty and has only printable ASCII characters except spaces. */
static bool is_token(const char *text, const char *end)
{
    if (text == end)
        return false;
    for (; text < end; text++)
        if ((unsigned char)*text <= ' ' || (unsigned char)*text >= 127)
            return false;
    return true;
}

/* Stores the value of a header field in `head`; unknown fields are ignored. Returns false if the
 * value is malformed. */
static bool apply_header_field(struct http_head *head, const char *name, const char *name_end,
                               const char *value, const char *end)
{
    int64_t number;
    if (equals_ignore_case(name, name_end, "content-length")) {
        /* Conflicting lengths are rejected because they allow request smuggling. */
        if (!parse_decimal(value, end, &number) ||
            (head->content_length >= 0 && head->content_length != number))
            return false;
        head->content_length = number;
    } else if (equals_ignore_case(name, name_end, "transfer-encoding")) {
        if (!equals_ignore_case(value, end, "chunked"))
            return false;
        head->is_chunked = true;
    } else if (equals_ignore_case(name, name_end, "connection")) {
        if (contains_ignore_case(value, end, "close"))
            head->closes_connection = true;
        else if (contains_ignore_case(value, end, "keep-alive"))
            head->closes_connection = false;
    } else if (equals_ignore_case(name, name_end, "retry-after")) {
        if (parse_decimal(value, end, &number) && number < MAX_RETRY_AFTER_S)
            head->retry_after_s = (int)number;
    }
    return true;
}

static bool parse_header_field(const char *line, const char *end, struct http_head *head)
{
    const char *colon = memchr(line, ':', end - line);
    if (!colon || !is_token(line, colon))
        return false;
    const char *value = colon + 1;
    while (value < end && (*value == ' ' || *value == '\t'))
        value++;
    while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
        end--;
    return apply_header_field(head, line, colon, value, end);
}

enum http_parse_result http_parse_head(const char *data, size_t length, bool is_response,
                                       struct http_head *head)
{
    const char *head_end = g_strstr_len(data, MIN(length, (size_t)MAX_HEAD_BYTES), "\r\n\r\n");
    if (!head_end) {
        /* Rejects a peer that does not speak HTTP before it has sent MAX_HEAD_BYTES (8 KiB). */
        if (length > 0 && !g_ascii_isupper(data[0]))
            return HTTP_PARSE_MALFORMED;
        return length >= MAX_HEAD_BYTES ? HTTP_PARSE_TOO_LARGE : HTTP_PARSE_INCOMPLETE;
    }
    memset(head, 0, sizeof *head);
    head->content_length = -1;
    head->head_bytes = head_end + 4 - data;
    const char *line = data, *line_end = g_strstr_len(line, head->head_bytes, "\r\n");
    enum http_parse_result result = is_response ? parse_status_line(line, line_end, head)
                                                : parse_request_line(line, line_end, head);
    if (result != HTTP_PARSE_DONE)
        return result;
    while (line_end < head_end) {
        line = line_end + 2;
        line_end = g_strstr_len(line, head_end + 2 - line, "\r\n");
        if (!parse_header_field(line, line_end, head))
            return HTTP_PARSE_MALFORMED;
    }
    if (head->is_chunked && head->content_length >= 0)
        return HTTP_PARSE_MALFORMED;
    return HTTP_PARSE_DONE;
}

enum http_parse_result http_parse_chunks(const char *data, size_t length, size_t max_body_bytes,
                                         GString *out, size_t *consumed_bytes)
{
    size_t offset = 0;
    g_string_truncate(out, 0);
    for (;;) {
        const char *line_end = g_strstr_len(data + offset, length - offset, "\r\n");
        if (!line_end)
            return length - offset > MAX_CHUNK_LINE_BYTES ? HTTP_PARSE_MALFORMED
                                                          : HTTP_PARSE_INCOMPLETE;
        if (!g_ascii_isxdigit(data[offset]) || line_end - (data + offset) > MAX_CHUNK_SIZE_DIGITS)
            return HTTP_PARSE_MALFORMED;
        uint64_t size = g_ascii_strtoull(data + offset, NULL, 16);
        offset = line_end + 2 - data;
        if (out->len + size > max_body_bytes)
            return HTTP_PARSE_TOO_LARGE;
        if (size == 0)
            break;
        if (length - offset < size + 2)
            return HTTP_PARSE_INCOMPLETE;
        if (memcmp(data + offset + size, "\r\n", 2) != 0)
            return HTTP_PARSE_MALFORMED;
        g_string_append_len(out, data + offset, size);
        offset += size + 2;
    }
    /* Skip the trailer fields, if any; a blank line ends them. */
    for (;;) {
        const char *line_end = g_strstr_len(data + offset, length - offset, "\r\n");
        if (!line_end)
            return length - offset > MAX_HEAD_BYTES ? HTTP_PARSE_MALFORMED : HTTP_PARSE_INCOMPLETE;
        bool is_blank_line = line_end == data + offset;
        offset = line_end + 2 - data;
        if (is_blank_line) {
            *consumed_bytes = offset;
            return HTTP_PARSE_DONE;
        }
    }
}

const char *http_status_text(int status)
{
    switch (status) {
    case HTTP_STATUS_OK:
        return "OK";
    case HTTP_STATUS_CREATED:
        return "Created";
    case HTTP_STATUS_BAD_REQUEST:
        return "Bad Request";
    case HTTP_STATUS_NOT_FOUND:
        return "Not Found";
    case HTTP_STATUS_METHOD_NOT_ALLOWED:
        return "Method Not Allowed";
    case HTTP_STATUS_REQUEST_TIMEOUT:
        return "Request Timeout";
    case HTTP_STATUS_CONFLICT:
        return "Conflict";
    case HTTP_STATUS_BODY_TOO_LARGE:
        return "Content Too Large";
    case HTTP_STATUS_MISDIRECTED:
        return "Misdirected Request";
    case HTTP_STATUS_UNPROCESSABLE:
        return "Unprocessable Content";
    case HTTP_STATUS_TOO_MANY_REQUESTS:
        return "Too Many Requests";
    case HTTP_STATUS_HEAD_TOO_LARGE:
        return "Request Header Fields Too Large";
    case HTTP_STATUS_UNAVAILABLE:
        return "Service Unavailable";
    default:
        return "Status";
    }
}
