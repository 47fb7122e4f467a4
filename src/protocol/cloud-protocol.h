/**
 * SECTION: cloud-protocol
 * @short_description: encodes requests to the cloud and decodes its responses
 *
 * The names of the cloud's routes and fields appear only in this module.
 */
#pragma once
#include "machine-type.h"

/** HzbCloudInstanceState: the state of a machine in the cloud's inventory. */
typedef enum
{
  HZB_CLOUD_INSTANCE_STARTING, /**< the machine is rented, its worker has not started yet; also any unknown state */
  HZB_CLOUD_INSTANCE_RUNNING,  /**< the machine has booted */
  HZB_CLOUD_INSTANCE_FAILED    /**< the machine stopped by itself; listed, but not charged, until it is returned */
} HzbCloudInstanceState;

/**
 * HzbCloudInstance: a machine in the cloud's inventory. The inventory lags behind: it describes the machines at an
 * earlier time, the inventory time.
 */
typedef struct
{
  char *name;                  /**< unique name; names ascend in the order of creation (owned) */
  char *addr;                  /**< address of the worker, host:port (owned) (nullable); NULL: not listed */
  char *type;                  /**< name of its machine type (owned) (nullable) */
  char *zone;                  /**< zone of the machine (owned) (nullable) */
  gboolean spot;               /**< whether it is a spot machine, which the cloud may reclaim at any time */
  HzbCloudInstanceState state; /**< state of the machine at the inventory time */
  double age_s;                /**< seconds between the request to rent the machine and the inventory time */
} HzbCloudInstance;

/**
 * Frees an instance.
 * @param instance (transfer full) the instance
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
 * @return (transfer full) (element-type HzbMachineType) (nullable): the types; NULL if the body is not a list of
 * machine types
 */
GPtrArray *hzb_machine_types_decode (const char *body);

/**
 * Encodes a request to rent machines.
 * @param request_id unique id, which makes the request idempotent: only a repetition of the same request may have it
 * @param type name of the machine type
 * @param zone where the machines are rented
 * @param spot whether to rent spot machines
 * @param count number of machines, at most 50
 * @return (transfer full): the request's body
 */
char *hzb_cloud_rent_encode (const char *request_id, const char *type, const char *zone, gboolean spot, guint count);

/**
 * Decodes the response to a request to rent machines.
 * @param body (nullable) the response's body
 * @return (transfer full) (element-type utf8) (nullable): names of the rented machines; NULL if the body is not a
 * response to such a request
 */
GPtrArray *hzb_cloud_rent_decode (const char *body);

/**
 * Encodes a request to return machines.
 * @param names (element-type utf8) names of at most 100 machines
 * @return (transfer full): the request's body
 */
char *hzb_cloud_return_encode (const GPtrArray *names);

/**
 * Makes the path of a page of the inventory (GET).
 * @param after (nullable) the page begins after the machine with this name; NULL: the first page
 * @param limit maximum number of machines on the page, at most 500
 * @return (transfer full): the path
 */
char *hzb_cloud_list_path (const char *after, guint limit);

/**
 * Decodes a page of the inventory. Entries without a name are left out.
 * @param body (nullable) the response's body
 * @param more (out) whether another page follows; set only if the body is a page of the inventory
 * @return (transfer full) (element-type HzbCloudInstance) (nullable): the machines; NULL if the body is not a page of
 * the inventory
 */
GPtrArray *hzb_cloud_list_decode (const char *body, gboolean *more);
