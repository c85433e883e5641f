/** Codec of the protocol of the cloud: machine types, rented machines, scale-out and scale-in. */
#ifndef LL_CLOUD_CODEC_H
#define LL_CLOUD_CODEC_H

#include "json_fields.h"

/** GET returns the list of machine types. */
#define CLOUD_PATH_MACHINE_TYPES "/machine_types"
/** GET returns the list of rented machines; POST requests a scale-out. */
#define CLOUD_PATH_MACHINES "/rentals"
/** POST requests a scale-in. */
#define CLOUD_PATH_SCALE_IN "/rentals/return"

/** A machine type that the cloud offers. */
struct machine_type {
    char name[48];
    amount cpus, gpus, memory;
    /** Size of the image cache, and rate at which images are fetched. */
    double image_cache_gb, fetch_gb_per_s;
    /** Price of an on-demand machine, and price of a spot machine. */
    double price, spot_price;
    double boot_time_s;
    /** Names of the zones that offer the type, NULL-terminated. */
    char **zones;
};

/** Decodes a list of machine types into a new array of struct machine_type. Returns NULL if the
 * list is malformed. */
GArray *machine_types_decode(json_object *object);
/** Encodes a list of machine types in the format of the cloud. The caller owns the object. */
json_object *machine_types_encode(const GArray *types);

/** The lifecycle stage of a rented machine, as reported by the cloud. */
enum cloud_machine_stage { CLOUD_MACHINE_BOOTING, CLOUD_MACHINE_RUNNING, CLOUD_MACHINE_FAILED };

/** A rented machine, as listed by the cloud. */
struct listed_machine {
    machine_id id;
    /** Empty until the machine has an address. */
    char address[24];
    char machine_type_name[48], zone[48];
    bool is_spot;
    enum cloud_machine_stage stage;
    double age_s;
};

/** Returns the path of a page of the list of machines as a new string. `after_id` is the id of the
 * last machine on the previous page, or NULL for the first page. */
char *cloud_machines_path(const char *after_id, int max_machines);
/** Decodes a page of the list of machines into a new array of struct listed_machine. Sets
 * `has_more` to whether further pages follow. Returns NULL if the page is malformed. */
GArray *cloud_machines_decode(json_object *object, bool *has_more);

/** Encodes a scale-out request into a new string. request_id is its idempotency key, so that the
 * request may be retried. */
char *scale_out_request_encode(const char *request_id, const char *type_name, const char *zone,
                               bool is_spot, int machine_count);
/** Decodes the response to a scale-out into a new array of the machine_id of each new machine.
 * Returns NULL if the response is malformed. */
GArray *scale_out_response_decode(json_object *object);
/** Returns whether the body of a response with status 503 states that the cloud has no capacity
 * left for the requested machines. */
bool scale_out_response_is_no_capacity(json_object *object);
/** Encodes a scale-in request into a new string. */
char *scale_in_request_encode(const machine_id *machines, guint machine_count);

#endif
