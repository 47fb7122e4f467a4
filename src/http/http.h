/* HTTP both ways, behind two small faces so that tests can put fakes in their place. */
#pragma once
#include <glib.h>
#include <time.h>

/* status 0: no answer, the request may or may not have been carried out */
typedef void (*HzbReplyFunc) (guint status, const char *body, gsize length, gpointer user);

typedef struct _HzbTransport HzbTransport;
struct _HzbTransport
{
  void (*send) (HzbTransport *self, const char *method, const char *addr, const char *path, char *body,
                guint timeout_ms, HzbReplyFunc done, gpointer user); /* takes body */
};

static inline void
hzb_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body, guint timeout_ms,
          HzbReplyFunc done, gpointer user)
{
  transport->send (transport, method, addr, path, body, timeout_ms, done, user);
}

HzbTransport *hzb_http_client_new (void);
void hzb_http_client_free (HzbTransport *transport);

/* One request that waits for its answer. hzb_http_request_respond() must be called once; it ends the exchange. */
typedef struct _HzbHttpRequest HzbHttpRequest;
struct _HzbHttpRequest
{
  char *method, *path;
  char *body;
  gsize length;
  void (*reply) (HzbHttpRequest *self, guint status, const char *body, guint retry_after_s);
  gpointer impl, server;
  struct timespec began;
  guint kind;
  void (*done) (HzbHttpRequest *self, guint status, gpointer user); /* called as it is answered; may be NULL */
  gpointer done_user;
  gboolean *answered; /* set while its handler runs */
};

void
hzb_http_request_respond (HzbHttpRequest *http_request, guint status, char *body, guint retry_after_s); /* takes body */

typedef void (*HzbHandler) (HzbHttpRequest *http_request, gpointer user);

typedef struct _HzbHttpServer HzbHttpServer;
HzbHttpServer *hzb_http_server_new (const char *addr, guint sockets, HzbHandler handler, gpointer user, GError **error);
void hzb_http_server_free (HzbHttpServer *server);
guint hzb_http_server_connections (HzbHttpServer *server); /* open ones */

/** hzb_http_server_too_large: how many requests were refused since the start for bodies over 64 KiB. */
guint64 hzb_http_server_too_large (HzbHttpServer *server);
