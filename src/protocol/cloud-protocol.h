/**
 * SECTION: cloud-protocol
 * @short_description: requests to the cloud and its answers
 *
 * The one place that knows the names that the cloud uses.
 */
#pragma once
#include "machine-type.h"

/** HzbCloudInstance: a machine in the cloud's inventory. */
typedef struct
{
  char *name, *addr, *type, *zone;
  gboolean spot;
  enum
  {
    HZB_CLOUD_INSTANCE_STARTING,
    HZB_CLOUD_INSTANCE_RUNNING,
    HZB_CLOUD_INSTANCE_FAILED
  } state;
  double age_s;
} HzbCloudInstance;

void hzb_cloud_instance_free (HzbCloudInstance *instance);

extern const char hzb_path_types[], hzb_path_rent[], hzb_path_return[];

/** hzb_machine_types_decode: Returns: (transfer full) (element-type HzbMachineType) (nullable) */
GPtrArray *hzb_machine_types_decode (const char *body);

/** hzb_cloud_rent_encode: @request: a name that makes the request idempotent. Returns: (transfer full) */
char *hzb_cloud_rent_encode (const char *request, const char *type, const char *zone, gboolean spot, guint count);

/** hzb_cloud_names_decode: Returns: (transfer full) (element-type utf8) (nullable): the machines that an answer names */
GPtrArray *hzb_cloud_names_decode (const char *body);

/** hzb_cloud_return_encode: Returns: (transfer full) */
char *hzb_cloud_return_encode (const GPtrArray *names);

/** hzb_cloud_list_path: of a page of the inventory, of the machines after @after (nullable). Returns: (transfer full) */
char *hzb_cloud_list_path (const char *after, guint limit);

/** hzb_cloud_list_decode: Returns: (transfer full) (element-type HzbCloudInstance) (nullable); @more: whether pages follow */
GPtrArray *hzb_cloud_list_decode (const char *body, gboolean *more);
