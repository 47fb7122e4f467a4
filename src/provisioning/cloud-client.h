/**
 * SECTION: cloud-client
 * @short_description: sends requests to the cloud, limited in rate and ordered by priority
 *
 * A token bucket keeps the client within the cloud's request rate (HzbSettings.cloud_rps, in requests per second).
 * Requests that exceed the rate wait in one queue for each priority. The client does not retry requests: the caller
 * gets the status of each response and decides.
 *
 * All requests are asynchronous. Their callbacks are called exactly once, see HzbReplyFunc, unless the client is freed
 * while the request waits. Strings and arrays that are passed to a request are (transfer none).
 */
#pragma once
#include "clock.h"
#include "cloud-protocol.h"
#include "settings.h"
#include "transport.h"

/** HzbCloudPriority: priorities of requests, highest first. A waiting request of a higher priority is sent first. */
typedef enum
{
  HZB_CLOUD_PRIORITY_SCALE_IN,  /**< requests to return machines, which cost money until they are returned */
  HZB_CLOUD_PRIORITY_SCALE_OUT, /**< requests to rent machines */
  HZB_CLOUD_PRIORITY_READ,      /**< requests for machine types and for the inventory */
  HZB_CLOUD_N_PRIORITIES        /**< number of priorities */
} HzbCloudPriority;

/** HzbCloudClient: a client of the cloud; opaque. */
typedef struct _HzbCloudClient HzbCloudClient;

/**
 * hzb_cloud_client_new:
 * `transport`: (transfer none): must outlive the client
 * `clock`: (transfer none): must outlive the client
 * `settings`: (transfer none): must outlive the client; the cloud's address and request rate are read from them
 * whenever a request is sent
 *
 * Returns: (transfer full): a client without waiting requests; free it with hzb_cloud_client_free()
 */
HzbCloudClient *hzb_cloud_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);

/** hzb_cloud_client_free: frees the client and its waiting requests, whose callbacks are not called. */
void hzb_cloud_client_free (HzbCloudClient *cloud);

/** hzb_cloud_client_pump: sends as many waiting requests as the rate allows. The controller calls it at each tick. */
void hzb_cloud_client_pump (HzbCloudClient *cloud);

/**
 * hzb_cloud_client_list_types: requests the list of machine types.
 * `done`: gets the response, see hzb_machine_types_decode()
 * `user`: (nullable): passed to `done`
 */
void hzb_cloud_client_list_types (HzbCloudClient *cloud, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_list_instances: requests a page of the cloud's inventory.
 * `after`: (nullable): name of the last instance on the previous page; %NULL: requests the first page
 * `done`: gets the response, see hzb_cloud_list_decode()
 * `user`: (nullable): passed to `done`
 */
void hzb_cloud_client_list_instances (HzbCloudClient *cloud, const char *after, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_scale_out: requests to rent machines.
 * `request_name`: makes the request idempotent: the cloud answers a repeated request of the same name without renting
 * more machines
 * `type`: name of the machine type
 * `zone`: name of the zone
 * `spot`: whether to rent spot instances
 * `count`: number of machines, at most 50
 * `done`: gets the response, see hzb_cloud_rent_decode()
 * `user`: (nullable): passed to `done`
 */
void hzb_cloud_client_scale_out (HzbCloudClient *cloud, const char *request_name, const char *type, const char *zone,
                                 gboolean spot, guint count, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_scale_in: requests to return machines to the cloud.
 * `names`: (transfer none) (element-type utf8): names of the machines, at most 100
 * `done`: gets the response; status 200: the cloud has confirmed that the machines are gone
 * `user`: (nullable): passed to `done`
 */
void hzb_cloud_client_scale_in (HzbCloudClient *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user);
