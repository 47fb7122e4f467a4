#include "cloud-client.h"
#include "cloud-protocol.h"

#include <string.h>

#define CALL_MS 6000

typedef struct
{
  const char *method;
  char *path, *body;
  HzbReplyFunc done;
  gpointer user;
} Request;

struct _HzbCloudClient
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_CLOUD_CLIENT_N_PRIORITIES];
  double budget;
  struct timespec filled;
};

static void
request_free (Request *request)
{
  g_free (request->path);
  g_free (request->body);
  g_free (request);
}

HzbCloudClient *
hzb_cloud_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings)
{
  HzbCloudClient *cloud = g_new0 (HzbCloudClient, 1);
  cloud->transport = transport;
  cloud->clock = clock;
  cloud->settings = settings;
  cloud->filled = hzb_clock_now (clock);
  cloud->budget = settings->cloud_rps;
  return cloud;
}

void
hzb_cloud_client_free (HzbCloudClient *cloud)
{
  for (guint i = 0; i < HZB_CLOUD_CLIENT_N_PRIORITIES; i++)
    g_queue_clear_full (&cloud->waiting[i], (GDestroyNotify) request_free);
  g_free (cloud);
}

void
hzb_cloud_client_pump (HzbCloudClient *cloud)
{
  struct timespec now = hzb_clock_now (cloud->clock);
  /* A leader that was just replaced may still be calling: nine tenths leave room for that. */
  double rps = cloud->settings->cloud_rps * 0.9;

  cloud->budget = MIN (cloud->budget + hzb_time_between (cloud->filled, now) * rps, MAX (1, rps));
  cloud->filled = now;
  for (guint i = 0; i < HZB_CLOUD_CLIENT_N_PRIORITIES; i++)
    while (cloud->budget >= 1 && cloud->waiting[i].length)
      {
        Request *request = g_queue_pop_head (&cloud->waiting[i]);
        cloud->budget -= 1;
        hzb_send (cloud->transport, request->method, cloud->settings->cloud_addr, request->path,
                  g_steal_pointer (&request->body), CALL_MS, request->done, request->user);
        request_free (request);
      }
}

static void
add (HzbCloudClient *cloud, HzbCloudPriority priority, const char *method, char *path, char *body, HzbReplyFunc done,
     gpointer user)
{
  Request *request = g_new0 (Request, 1);
  request->method = method;
  request->path = path;
  request->body = body;
  request->done = done;
  request->user = user;
  g_queue_push_tail (&cloud->waiting[priority], request);
  hzb_cloud_client_pump (cloud);
}

void
hzb_cloud_client_types (HzbCloudClient *cloud, HzbReplyFunc done, gpointer user)
{
  add (cloud, HZB_CLOUD_CLIENT_READ, "GET", g_strdup (hzb_path_types), NULL, done, user);
}

void
hzb_cloud_client_list (HzbCloudClient *cloud, const char *after, HzbReplyFunc done, gpointer user)
{
  add (cloud, HZB_CLOUD_CLIENT_READ, "GET", hzb_cloud_list_path (after, 500), NULL, done, user);
}

void
hzb_cloud_client_rent (HzbCloudClient *cloud, const char *request, const char *type, const char *zone, gboolean spot,
                       guint count, HzbReplyFunc done, gpointer user)
{
  add (cloud, HZB_CLOUD_CLIENT_RENT, "POST", g_strdup (hzb_path_rent),
       hzb_cloud_rent_encode (request, type, zone, spot, count), done, user);
}

void
hzb_cloud_client_return (HzbCloudClient *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user)
{
  add (cloud, HZB_CLOUD_CLIENT_RETURN, "POST", g_strdup (hzb_path_return), hzb_cloud_return_encode (names), done, user);
}
