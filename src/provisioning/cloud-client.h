/**
 * SECTION: cloud-client
 * @short_description: requests to the cloud, within its limit of requests and the most urgent first
 *
 * The client keeps to the request rate in the settings with a token bucket. What exceeds the rate waits in one queue
 * for each priority. Requests are not retried here: the caller sees each status and decides.
 */
#pragma once
#include "clock.h"
#include "cloud-protocol.h"
#include "settings.h"
#include "transport.h"

/** HzbCloudPriority: in this order waiting requests are sent. */
typedef enum
{
  HZB_CLOUD_PRIORITY_SCALE_IN,  /**< returns of machines, which stop costing money */
  HZB_CLOUD_PRIORITY_SCALE_OUT, /**< rentals of machines */
  HZB_CLOUD_PRIORITY_READ,      /**< machine types and the inventory */
  HZB_CLOUD_N_PRIORITIES        /**< how many priorities there are */
} HzbCloudPriority;

/** HzbCloudClient: the client and its queues. */
typedef struct _HzbCloudClient HzbCloudClient;

/**
 * hzb_cloud_client_new:
 * `transport`: (transfer none): has to outlive the client, as do the clock and the settings
 *
 * Returns: (transfer full): a client without waiting requests
 */
HzbCloudClient *hzb_cloud_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);

/** hzb_cloud_client_free: drops waiting requests; their callbacks are not called. */
void hzb_cloud_client_free (HzbCloudClient *cloud);

/** hzb_cloud_client_pump: sends as many waiting requests as the rate allows; called with each tick of the controller. */
void hzb_cloud_client_pump (HzbCloudClient *cloud);

/** hzb_cloud_client_list_types: asks for the machine types. `done` is called once with the response. */
void hzb_cloud_client_list_types (HzbCloudClient *cloud, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_list_instances:
 * `after`: (nullable): the name of the last instance of the page before; %NULL asks for the first page
 *
 * Asks for a page of the cloud's inventory. `done` is called once with the response.
 */
void hzb_cloud_client_list_instances (HzbCloudClient *cloud, const char *after, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_scale_out:
 * `request`: makes the request idempotent: the cloud answers a repetition under the same name without renting again
 * `count`: how many machines
 *
 * Rents machines. `done` is called once with the response.
 */
void hzb_cloud_client_scale_out (HzbCloudClient *cloud, const char *request, const char *type, const char *zone,
                                 gboolean spot, guint count, HzbReplyFunc done, gpointer user);

/**
 * hzb_cloud_client_scale_in:
 * `names`: (transfer none) (element-type utf8): of the machines
 *
 * Returns machines to the cloud. `done` is called once with the response.
 */
void hzb_cloud_client_scale_in (HzbCloudClient *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user);
