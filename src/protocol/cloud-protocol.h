/**
 * SECTION: cloud-protocol
 * @short_description: requests to the cloud and its responses
 *
 * The one place that knows the names that the cloud uses.
 */
#pragma once
#include "machine-type.h"

/** HzbCloudInstanceState: the state of a machine in the cloud's inventory. */
typedef enum
{
  HZB_CLOUD_INSTANCE_STARTING, /**< rented, its worker is not up yet; also any state that this version does not know */
  HZB_CLOUD_INSTANCE_RUNNING,  /**< booted */
  HZB_CLOUD_INSTANCE_FAILED    /**< stopped by itself; listed, but not charged, until it is returned */
} HzbCloudInstanceState;

/** HzbCloudInstance: a machine in the cloud's inventory. */
typedef struct
{
  char *name;                  /**< unique; names ascend in the order of creation (owned) */
  char *addr;                  /**< address of the worker (owned) (nullable) */
  char *type;                  /**< name of its machine type (owned) (nullable) */
  char *zone;                  /**< its zone (owned) (nullable) */
  gboolean spot;               /**< whether the cloud may take it back at any moment */
  HzbCloudInstanceState state; /**< as of the time that the list describes */
  double age_s;                /**< seconds since the request to rent it, as of the time that the list describes */
} HzbCloudInstance;

/**
 * Frees an instance.
 * @param instance (transfer full)
 */
void hzb_cloud_instance_free (HzbCloudInstance *instance);

/** Path of the list of machine types (GET). */
extern const char hzb_path_types[];
/** Path of a request to rent machines (POST). */
extern const char hzb_path_rent[];
/** Path of a request to return machines (POST). */
extern const char hzb_path_return[];

/**
 * Decodes the list of machine types. Entries without a name are left out.
 * @param body (nullable) the response's body
 * @return (transfer full) (element-type HzbMachineType) (nullable): NULL if it is no such list
 */
GPtrArray *hzb_machine_types_decode (const char *body);

/**
 * Encodes a request to rent machines.
 * @param request a name that makes the request idempotent: it is never used again, by no controller
 * @param type name of the machine type
 * @param zone where
 * @param spot whether spot machines are wanted
 * @param count at most 50
 * @return (transfer full): the request's body
 */
char *hzb_cloud_rent_encode (const char *request, const char *type, const char *zone, gboolean spot, guint count);

/**
 * Decodes the response to a request to rent machines.
 * @param body (nullable) the response's body
 * @return (transfer full) (element-type utf8) (nullable): names of the rented machines; NULL if it is no such response
 */
GPtrArray *hzb_cloud_names_decode (const char *body);

/**
 * Encodes a request to return machines.
 * @param names (element-type utf8) of at most 100 machines
 * @return (transfer full): the request's body
 */
char *hzb_cloud_return_encode (const GPtrArray *names);

/**
 * Makes the path of a page of the inventory (GET).
 * @param after (nullable) the page begins after the machine of this name; NULL: the first page
 * @param limit machines on the page, at most 500
 * @return (transfer full): the path
 */
char *hzb_cloud_list_path (const char *after, guint limit);

/**
 * Decodes a page of the inventory. Entries without a name are left out.
 * @param body (nullable) the response's body
 * @param more (out) whether further pages follow; set only if the body is such a page
 * @return (transfer full) (element-type HzbCloudInstance) (nullable): NULL if it is no such page
 */
GPtrArray *hzb_cloud_list_decode (const char *body, gboolean *more);
