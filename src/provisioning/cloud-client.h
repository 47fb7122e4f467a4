/* Client of the cloud: a budget of calls, urgent ones first. */
#pragma once
#include "clock.h"
#include "cloud-protocol.h"
#include "settings.h"
#include "transport.h"

typedef enum
{
  HZB_CLOUD_CLIENT_RETURN,
  HZB_CLOUD_CLIENT_RENT,
  HZB_CLOUD_CLIENT_READ,
  HZB_CLOUD_CLIENT_N_PRIORITIES
} HzbCloudPriority;

typedef struct _HzbCloudClient HzbCloudClient;

HzbCloudClient *hzb_cloud_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);
void hzb_cloud_client_free (HzbCloudClient *cloud);
void hzb_cloud_client_pump (HzbCloudClient *cloud);
void hzb_cloud_client_types (HzbCloudClient *cloud, HzbReplyFunc done, gpointer user);
void hzb_cloud_client_list (HzbCloudClient *cloud, const char *after, HzbReplyFunc done, gpointer user);
void hzb_cloud_client_rent (HzbCloudClient *cloud, const char *request, const char *type, const char *zone,
                            gboolean spot, guint count, HzbReplyFunc done, gpointer user);
void hzb_cloud_client_return (HzbCloudClient *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user);
