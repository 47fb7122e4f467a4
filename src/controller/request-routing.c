/* Passes each request of a user, a worker, an operator or another controller to the module that answers it. */
#include "controller-private.h"
#include "path-pattern.h"
#include "user-protocol.h"
#include "worker-protocol.h"

static void
on_responded (HzbHttpRequest *http_request, guint status, gpointer user)
{
  HzbController *controller = user;
  hzb_metrics_record_response (controller->metrics, (HzbMetricKind) http_request->kind, status,
                               hzb_time_between (http_request->received_at, hzb_clock_now (controller->clock)));
}

static HzbMetricKind
metric_kind_of (const HzbHttpRequest *http_request)
{
  if (g_str_equal (http_request->path, hzb_path_worker_heartbeat))
    return HZB_METRIC_HEARTBEAT;
  if (!g_str_has_prefix (http_request->path, hzb_path_jobs))
    return HZB_METRIC_OTHER;
  if (hzb_path_matches (http_request->path, hzb_path_job_cancel))
    return HZB_METRIC_CANCEL;
  return g_str_equal (http_request->method, "POST") ? HZB_METRIC_SUBMIT : HZB_METRIC_STATUS;
}

static void
route_worker_heartbeat (HzbController *controller, HzbHttpRequest *http_request)
{
  if (g_str_equal (http_request->method, "POST"))
    hzb_worker_api_heartbeat (controller->worker_api, http_request);
  else
    hzb_http_request_respond (http_request, 405, hzb_error_response_encode ("POST a report here"), 0);
}

static void
respond_ready (HzbController *controller, HzbHttpRequest *http_request)
{
  if (!g_str_equal (http_request->method, "GET"))
    hzb_http_request_respond (http_request, 405, hzb_error_response_encode ("GET here"), 0);
  else if (hzb_controller_is_ready (controller))
    hzb_http_request_respond (http_request, 200, g_strdup ("{\"ready\":true}"), 0);
  else
    hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("not ready"), 1);
}

void
hzb_controller_handle_request (HzbHttpRequest *http_request, gpointer data)
{
  HzbController *controller = data;

  http_request->received_at = hzb_clock_now (controller->clock);
  http_request->kind = metric_kind_of (http_request);
  http_request->on_response = on_responded;
  http_request->on_response_data = controller;

  if (g_str_equal (http_request->path, hzb_path_worker_heartbeat))
    route_worker_heartbeat (controller, http_request);
  else if (g_str_equal (http_request->path, hzb_path_ready))
    respond_ready (controller, http_request);
  else if (!hzb_admin_request (controller->admin, http_request))
    hzb_user_api_request (controller->user_api, http_request);
}

void
hzb_controller_handle_peer_request (HzbHttpRequest *http_request, gpointer data)
{
  HzbController *controller = data;
  hzb_peers_handle_request (controller->peers, http_request);
}
