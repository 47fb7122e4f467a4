#include "http-request.h"

void
hzb_http_request_respond (HzbHttpRequest *http_request, guint status, char *body, guint retry_after_s)
{
  /* on_response gets the status just before reply sends the response. */
  if (http_request->on_response)
    http_request->on_response (http_request, status, http_request->on_response_data);
  http_request->reply (http_request, status, body, retry_after_s);
  g_free (body);
  g_free (http_request->method);
  g_free (http_request->path);
  g_free (http_request->body);
  g_free (http_request);
}
