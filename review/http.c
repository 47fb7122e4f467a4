/* HTTP servers and clients of the stand-ins. */
#include "lab.h"

#include <string.h>

SoupServer *
lab_serve (SoupServerCallback handler, gpointer data, guint *port)
{
  g_autoptr (GError) error = NULL;
  SoupServer *server = soup_server_new (NULL, NULL);
  GSList *uris;

  soup_server_add_handler (server, NULL, handler, data, NULL);
  if (!soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    lab_end (NOT_RUN, error->message);
  uris = soup_server_get_uris (server);
  *port = soup_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify) soup_uri_free);
  return server;
}

void
lab_respond (SoupMessage *message, guint status, cJSON *body)
{
  char *text = body ? cJSON_PrintUnformatted (body) : g_strdup ("{}");
  soup_message_set_status (message, status);
  soup_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text, strlen (text));
  free (text);
  cJSON_Delete (body);
}

typedef struct
{
  SoupMessage *message;
  guint timer;
  gboolean over; /* the caller was told */
  LabResponse done;
  gpointer data;
} Call;

static SoupSession *
session (void)
{
  static SoupSession *only;
  if (!only)
    only = soup_session_new_with_options (SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, 512,
                                          SOUP_SESSION_MAX_CONNS_PER_HOST, 128, NULL);
  return only;
}

static void
on_ended (SoupSession *soup, SoupMessage *message, gpointer data)
{
  Call *call = data;
  if (!call->over)
    {
      guint status = SOUP_STATUS_IS_TRANSPORT_ERROR (message->status_code) ? 0 : message->status_code;
      g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->response_body);
      call->over = TRUE;
      g_source_remove (call->timer);
      call->done (status, body->data, body->length, call->data);
    }
  g_free (call);
}

static gboolean
on_timeout (gpointer data)
{
  Call *call = data;
  SoupMessage *message = call->message;
  call->over = TRUE;
  call->done (0, "", 0, call->data);
  soup_session_cancel_message (session (), message, SOUP_STATUS_CANCELLED);
  return G_SOURCE_REMOVE;
}

void
lab_send (guint port, const char *method, const char *path, const char *body, double timeout_s, LabResponse done,
          gpointer data)
{
  g_autofree char *uri = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  Call *call = g_new0 (Call, 1);
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->data = data;
  if (body)
    soup_message_set_request (call->message, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  call->timer = g_timeout_add ((guint) (timeout_s * 1000), on_timeout, call);
  soup_session_queue_message (session (), call->message, on_ended, call);
}

typedef struct
{
  gboolean over;
  guint status;
  char *body;
} Answer;

static void
on_answer (guint status, const char *body, gsize length, gpointer data)
{
  Answer *answer = data;
  answer->over = TRUE;
  answer->status = status;
  answer->body = g_strndup (body, length);
}

guint
lab_user_request (guint controller, const char *method, const char *path, const char *body, double timeout_s,
                  cJSON **out)
{
  Answer answer = { 0 };
  lab_send (api_ports[controller], method, path, body, timeout_s, on_answer, &answer);
  while (!answer.over)
    g_main_context_iteration (NULL, TRUE);
  record ("user -> %s: %s %s %s", controller_names[controller], method, path, body ? body : "");
  if (answer.status)
    record ("user <- %s: %u %.300s", controller_names[controller], answer.status, answer.body);
  else
    record ("user <- %s: no response", controller_names[controller]);
  if (out)
    *out = cJSON_Parse (answer.body);
  g_free (answer.body);
  return answer.status;
}
