#include "cloud-client.h"

#define REQUEST_TIMEOUT_MS 6000
#define INSTANCES_PER_PAGE 500
/* The client uses this fraction of the cloud's request rate (HzbSettings.cloud_rps). The rest is left to a leader that
 * was replaced a moment ago. */
#define RATE_FRACTION 0.9

/* A request that waits until the rate allows to send it. */
typedef struct
{
  const char *method;
  char *path;
  char *body; /* NULL: the request has no body */
  HzbReplyFunc done;
  gpointer user;
} Request;

struct _HzbCloudClient
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_CLOUD_N_PRIORITIES]; /* (element-type Request), by HzbCloudPriority */
  double tokens;                          /* of the token bucket: each request takes one */
  struct timespec filled_at;              /* when tokens were last added to the bucket */
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
  cloud->filled_at = hzb_clock_now (clock);
  cloud->tokens = settings->cloud_rps;
  return cloud;
}

void
hzb_cloud_client_free (HzbCloudClient *cloud)
{
  for (guint i = 0; i < HZB_CLOUD_N_PRIORITIES; i++)
    g_queue_clear_full (&cloud->waiting[i], (GDestroyNotify) request_free);
  g_free (cloud);
}

void
hzb_cloud_client_pump (HzbCloudClient *cloud)
{
  struct timespec now = hzb_clock_now (cloud->clock);
  double rps = cloud->settings->cloud_rps * RATE_FRACTION;

  cloud->tokens = MIN (cloud->tokens + hzb_time_between (cloud->filled_at, now) * rps, MAX (1, rps));
  cloud->filled_at = now;
  for (guint i = 0; i < HZB_CLOUD_N_PRIORITIES; i++)
    while (cloud->tokens >= 1 && cloud->waiting[i].length)
      {
        Request *request = g_queue_pop_head (&cloud->waiting[i]);
        cloud->tokens -= 1;
        hzb_transport_send (cloud->transport, request->method, cloud->settings->cloud_addr, request->path,
                            g_steal_pointer (&request->body), REQUEST_TIMEOUT_MS, request->done, request->user);
        request_free (request);
      }
}

static void
enqueue (HzbCloudClient *cloud, HzbCloudPriority priority, const char *method, char *path, char *body,
         HzbReplyFunc done, gpointer user)
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
hzb_cloud_client_list_types (HzbCloudClient *cloud, HzbReplyFunc done, gpointer user)
{
  enqueue (cloud, HZB_CLOUD_PRIORITY_READ, "GET", g_strdup (hzb_path_types), NULL, done, user);
}

void
hzb_cloud_client_list_instances (HzbCloudClient *cloud, const char *after, HzbReplyFunc done, gpointer user)
{
  enqueue (cloud, HZB_CLOUD_PRIORITY_READ, "GET", hzb_cloud_list_path (after, INSTANCES_PER_PAGE), NULL, done, user);
}

void
hzb_cloud_client_scale_out (HzbCloudClient *cloud, const char *request_name, const char *type, const char *zone,
                            gboolean spot, guint count, HzbReplyFunc done, gpointer user)
{
  enqueue (cloud, HZB_CLOUD_PRIORITY_SCALE_OUT, "POST", g_strdup (hzb_path_rent),
           hzb_cloud_rent_encode (request_name, type, zone, spot, count), done, user);
}

void
hzb_cloud_client_scale_in (HzbCloudClient *cloud, const GPtrArray *names, HzbReplyFunc done, gpointer user)
{
  enqueue (cloud, HZB_CLOUD_PRIORITY_SCALE_IN, "POST", g_strdup (hzb_path_return), hzb_cloud_return_encode (names),
           done, user);
}
