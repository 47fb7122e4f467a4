/* A fake transport: it keeps each call that is sent until the test answers it. */
#pragma once
#include "clock.h"
#include "kv-client.h"
#include "transport.h"

/* Longer than any call waits in a queue or for its response. */
#define MAX_CALL_LIFETIME_S 60.0

/* A call without a response. */
typedef struct
{
  char *method, *path, *body;
  struct timespec sent, deadline;
  HzbReplyFunc done;
  gpointer user;
} FakeCall;

/* The fake transport. */
typedef struct
{
  HzbTransport parent;
  HzbClock *clock;
  GQueue calls; /* FakeCall; the calls without a response, in the order of sending */
  guint sent;   /* number of calls so far */
} FakeTransport;

static inline void
fake_call_free (FakeCall *call)
{
  g_free (call->method);
  g_free (call->path);
  g_free (call->body);
  g_free (call);
}

/* The `send` function of the transport. */
static inline void
fake_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
           guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  FakeTransport *fake = (FakeTransport *) transport;
  FakeCall *call = g_new0 (FakeCall, 1);
  call->method = g_strdup (method);
  call->path = g_strdup (path);
  call->body = body;
  call->sent = hzb_clock_now (fake->clock);
  call->deadline = hzb_time_plus (call->sent, timeout_ms / 1000.0);
  call->done = done;
  call->user = user;
  fake->sent++;
  g_queue_push_tail (&fake->calls, call);
}

/* Initialises the transport with no calls. */
static inline void
fake_transport_init (FakeTransport *fake, HzbClock *clock)
{
  *fake = (FakeTransport){ .parent = { fake_send }, .clock = clock };
  g_queue_init (&fake->calls);
}

/* Answers a call and frees it. @status: 0 stands for a timeout */
static inline void
fake_answer (FakeTransport *fake, FakeCall *call, guint status, const char *body)
{
  g_queue_remove (&fake->calls, call);
  call->done (status, body, strlen (body), call->user);
  fake_call_free (call);
}

/* Fails every call with a timeout, first the calls without a response and then those that @kv still queues, so that
 * each caller gets a result and frees its data. */
static inline void
fake_transport_fail_calls (FakeTransport *fake, HzbKvClient *kv)
{
  FakeCall *call;
  while ((call = g_queue_peek_head (&fake->calls)))
    fake_answer (fake, call, 0, "");
  hzb_clock_advance (fake->clock, MAX_CALL_LIFETIME_S);
  hzb_kv_client_pump (kv);
  while ((call = g_queue_peek_head (&fake->calls)))
    fake_answer (fake, call, 0, "");
}
