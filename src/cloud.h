/* Client of the cloud: a budget of calls, urgent ones first. */
#pragma once
#include "clock.h"
#include "http.h"
#include "settings.h"
#include "wire.h"

typedef enum
{
  HZB_CLOUD_RETURN,
  HZB_CLOUD_RENT,
  HZB_CLOUD_READ,
  HZB_CLOUD_N_PRIORITIES
} HzbCloudPriority;

typedef struct _HzbCloud HzbCloud;

HzbCloud *hzb_cloud_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);
void hzb_cloud_free (HzbCloud *cloud);
void hzb_cloud_pump (HzbCloud *cloud);
void hzb_cloud_types (HzbCloud *cloud, HzbReplyFunc done, gpointer user);
void hzb_cloud_list (HzbCloud *cloud, const char *after, HzbReplyFunc done, gpointer user);
void hzb_cloud_rent (HzbCloud *cloud, const char *request, const char *type, const char *zone, gboolean spot,
                     guint count, HzbReplyFunc done, gpointer user);
void hzb_cloud_return (HzbCloud *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user);
