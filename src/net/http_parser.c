#include "http.h"

#include <stdlib.h>

enum { HEAD_LIMIT = 8192 };

static bool digits(const char *p, const char *end, int64_t *out)
{
    if (p == end || end - p > 15)
        return false;
    int64_t v = 0;
    for (; p < end; p++) {
        if (!g_ascii_isdigit(*p))
            return false;
        v = v * 10 + (*p - '0');
    }
    *out = v;
    return true;
}

static bool token_copy(char *out, size_t size, const char *p, const char *end)
{
    if (p >= end || (size_t)(end - p) >= size)
        return false;
    for (size_t i = 0; i < (size_t)(end - p); i++) {
        if ((unsigned char)p[i] <= ' ' || (unsigned char)p[i] >= 127)
            return false;
        out[i] = p[i];
    }
    out[end - p] = 0;
    return true;
}

static enum http_parsed request_line(const char *p, const char *end, struct http_head *head)
{
    const char *sp1 = memchr(p, ' ', end - p);
    const char *sp2 = sp1 ? memchr(sp1 + 1, ' ', end - sp1 - 1) : NULL;
    if (!sp2 || !token_copy(head->method, sizeof head->method, p, sp1))
        return HTTP_BAD;
    if ((size_t)(sp2 - sp1) >= sizeof head->target)
        return HTTP_TOO_LARGE;
    if (!token_copy(head->target, sizeof head->target, sp1 + 1, sp2) || head->target[0] != '/')
        return HTTP_BAD;
    if (end - sp2 != 9 || memcmp(sp2 + 1, "HTTP/1.", 7) != 0 || (sp2[8] != '0' && sp2[8] != '1'))
        return HTTP_BAD;
    head->close = sp2[8] == '0';
    return HTTP_DONE;
}

static enum http_parsed status_line(const char *p, const char *end, struct http_head *head)
{
    int64_t status;
    if (end - p < 12 || memcmp(p, "HTTP/1.", 7) != 0 || p[8] != ' ' ||
        !digits(p + 9, p + 12, &status) || (end - p > 12 && p[12] != ' '))
        return HTTP_BAD;
    head->close = p[7] == '0';
    head->status = (int)status;
    return HTTP_DONE;
}

static bool is_name(const char *p, const char *end, const char *name)
{
    return (size_t)(end - p) == strlen(name) && g_ascii_strncasecmp(p, name, end - p) == 0;
}

static bool has_word(const char *p, const char *end, const char *word)
{
    size_t n = strlen(word);
    for (; p + n <= end; p++)
        if (g_ascii_strncasecmp(p, word, n) == 0)
            return true;
    return false;
}

static bool header_field(const char *p, const char *end, struct http_head *head)
{
    const char *colon = memchr(p, ':', end - p);
    if (!colon || colon == p)
        return false;
    for (const char *c = p; c < colon; c++)
        if ((unsigned char)*c <= ' ' || (unsigned char)*c >= 127)
            return false;
    const char *v = colon + 1;
    while (v < end && (*v == ' ' || *v == '\t'))
        v++;
    while (end > v && (end[-1] == ' ' || end[-1] == '\t'))
        end--;
    int64_t n;
    if (is_name(p, colon, "content-length")) {
        /* Two lengths that differ are how requests get smuggled past one another. */
        if (!digits(v, end, &n) || (head->content_length >= 0 && head->content_length != n))
            return false;
        head->content_length = n;
    } else if (is_name(p, colon, "transfer-encoding")) {
        if (!is_name(v, end, "chunked"))
            return false;
        head->chunked = true;
    } else if (is_name(p, colon, "connection")) {
        if (has_word(v, end, "close"))
            head->close = true;
        else if (has_word(v, end, "keep-alive"))
            head->close = false;
    } else if (is_name(p, colon, "retry-after")) {
        if (digits(v, end, &n) && n < 86400)
            head->retry_after_s = (int)n;
    }
    return true;
}

enum http_parsed http_parse_head(const char *data, size_t len, bool response,
                                 struct http_head *head)
{
    const char *stop = g_strstr_len(data, MIN(len, (size_t)HEAD_LIMIT), "\r\n\r\n");
    if (!stop) {
        /* A peer that does not speak HTTP should not have to send 8 KiB to be told so. */
        if (len > 0 && !g_ascii_isupper(data[0]))
            return HTTP_BAD;
        return len >= HEAD_LIMIT ? HTTP_TOO_LARGE : HTTP_MORE;
    }
    memset(head, 0, sizeof *head);
    head->content_length = -1;
    head->size = stop + 4 - data;
    const char *p = data, *eol = g_strstr_len(p, head->size, "\r\n");
    enum http_parsed r = response ? status_line(p, eol, head) : request_line(p, eol, head);
    if (r != HTTP_DONE)
        return r;
    while (eol < stop) {
        p = eol + 2;
        eol = g_strstr_len(p, stop + 2 - p, "\r\n");
        if (!header_field(p, eol, head))
            return HTTP_BAD;
    }
    if (head->chunked && head->content_length >= 0)
        return HTTP_BAD;
    return HTTP_DONE;
}

enum http_parsed http_parse_chunks(const char *data, size_t len, size_t limit, GString *out,
                                   size_t *used)
{
    size_t at = 0;
    g_string_truncate(out, 0);
    for (;;) {
        const char *eol = g_strstr_len(data + at, len - at, "\r\n");
        if (!eol)
            return len - at > 64 ? HTTP_BAD : HTTP_MORE;
        if (!g_ascii_isxdigit(data[at]) || eol - (data + at) > 12)
            return HTTP_BAD;
        uint64_t size = g_ascii_strtoull(data + at, NULL, 16);
        at = eol + 2 - data;
        if (out->len + size > limit)
            return HTTP_TOO_LARGE;
        if (size == 0)
            break;
        if (len - at < size + 2)
            return HTTP_MORE;
        if (memcmp(data + at + size, "\r\n", 2) != 0)
            return HTTP_BAD;
        g_string_append_len(out, data + at, size);
        at += size + 2;
    }
    /* Trailing fields, if any, end with a blank line. */
    for (;;) {
        const char *eol = g_strstr_len(data + at, len - at, "\r\n");
        if (!eol)
            return len - at > HEAD_LIMIT ? HTTP_BAD : HTTP_MORE;
        bool blank = eol == data + at;
        at = eol + 2 - data;
        if (blank) {
            *used = at;
            return HTTP_DONE;
        }
    }
}

const char *http_status_text(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}
