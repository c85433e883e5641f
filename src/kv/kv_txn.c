/** Construction of transactions: see kv_txn.h. */
#include "kv_txn.h"

#include "kv_codec.h"

enum {
    /** Upper limits of the JSON bytes of a compare, put or delete in addition to key and value. */
    COMPARE_OVERHEAD_BYTES = 40,
    PUT_OVERHEAD_BYTES = 50,
    DELETE_OVERHEAD_BYTES = 20,
};

/** The encoded compares and writes, and an upper estimate of their encoded size. */
struct txn {
    json_object *compares, *writes;
    size_t size_bytes;
};

struct txn *txn_new(void)
{
    struct txn *txn = g_new0(struct txn, 1);
    txn->compares = json_object_new_array();
    txn->writes = json_object_new_array();
    return txn;
}

void txn_free(struct txn *txn)
{
    json_object_put(txn->compares);
    json_object_put(txn->writes);
    g_free(txn);
}

void txn_compare(struct txn *txn, const char *key, revision mod_revision)
{
    json_object_array_add(txn->compares, kv_encode_compare(key, mod_revision));
    txn->size_bytes += strlen(key) + COMPARE_OVERHEAD_BYTES;
}

size_t kv_value_size_bytes(json_object *value)
{
    return strlen(json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
}

void txn_put(struct txn *txn, const char *key, json_object *value, lease_id lease)
{
    txn->size_bytes += kv_value_size_bytes(value) + strlen(key) + PUT_OVERHEAD_BYTES;
    json_object_array_add(txn->writes, kv_encode_put(key, value, lease));
}

void txn_delete(struct txn *txn, const char *key)
{
    json_object_array_add(txn->writes, kv_encode_delete(key));
    txn->size_bytes += strlen(key) + DELETE_OVERHEAD_BYTES;
}

guint txn_write_count(const struct txn *txn)
{
    return json_object_array_length(txn->writes);
}

guint txn_compare_count(const struct txn *txn)
{
    return json_object_array_length(txn->compares);
}

size_t txn_size_bytes(const struct txn *txn)
{
    return txn->size_bytes;
}

json_object *txn_encode(const struct txn *txn)
{
    return kv_encode_txn(txn->compares, txn->writes);
}
