/** Codec of the cloud's messages: machine types, rented machines, scale-out and scale-in. */
#ifndef LL_CLOUD_CODEC_H
#define LL_CLOUD_CODEC_H

#include "json_fields.h"

#define CLOUD_PATH_MACHINE_TYPES "/machine_types"
/** GET: the list of machines; POST: a scale-out. */
#define CLOUD_PATH_MACHINES "/rentals"
#define CLOUD_PATH_SCALE_IN "/rentals/return"

/** A type of machine that can be rented. */
struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    double image_cache_gb, fetch_gb_per_s;
    /** Of an ordinary and of a spot machine. */
    double price, spot_price;
    double boot_time_s;
    /** Zones that offer it, NULL-terminated. */
    char **zones;
};

/** Decodes a list of types: a new array of struct machine_type; NULL: malformed. */
GArray *machine_types_decode(json_object *object);
/** Encodes a list of types in the cloud's form; the caller owns the object. */
json_object *machine_types_encode(const GArray *types);

enum cloud_machine_stage { CLOUD_MACHINE_BOOTING, CLOUD_MACHINE_RUNNING, CLOUD_MACHINE_FAILED };

/** A rented machine in the cloud's list. */
struct listed_machine {
    machine_id id;
    /** Empty until it has one. */
    char address[24];
    char machine_type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    double age_s;
};

/** The path of a page of the list, a new text. after_id is the last one of the page before, or
 * NULL. */
char *cloud_machines_path(const char *after_id, int max_machines);
/** Decodes a page of the list: a new array of struct listed_machine; NULL: malformed. */
GArray *cloud_machines_decode(json_object *object, bool *has_more);

/** Encodes a scale-out, a new text. request_id is its idempotency key: it may be sent again. */
char *scale_out_request_encode(const char *request_id, const char *type_name, const char *zone,
                               bool is_spot, int machine_count);
/** Decodes the machines of the response, a new array of machine_id; NULL: malformed. */
GArray *scale_out_response_decode(json_object *object);
/** Whether the body of a response with status 503 says that the cloud has no such machine left. */
bool scale_out_response_is_no_capacity(json_object *object);
/** Encodes a scale-in, a new text. */
char *scale_in_request_encode(const machine_id *machines, guint machine_count);

#endif
