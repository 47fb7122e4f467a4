/* A transport that keeps what is sent until a test answers it. */
#pragma once
#include "clock.h"
#include "kv-client.h"
#include "transport.h"

#define LONGER_THAN_ANY_CALL_S 60.0

typedef struct
{
  char *method, *path, *body;
  struct timespec sent, deadline;
  HzbReplyFunc done;
  gpointer user;
} FakeCall;

typedef struct
{
  HzbTransport parent;
  HzbClock *clock;
  GQueue calls; /* FakeCall, not answered yet, in the order of sending */
  guint sent;
} FakeTransport;

static inline void
fake_call_free (FakeCall *call)
{
  g_free (call->method);
  g_free (call->path);
  g_free (call->body);
  g_free (call);
}

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

static inline void
fake_transport_init (FakeTransport *fake, HzbClock *clock)
{
  *fake = (FakeTransport){ .parent = { fake_send }, .clock = clock };
  g_queue_init (&fake->calls);
}

/* Answers a call; status 0: none came in its time. */
static inline void
fake_answer (FakeTransport *fake, FakeCall *call, guint status, const char *body)
{
  g_queue_remove (&fake->calls, call);
  call->done (status, body, strlen (body), call->user);
  fake_call_free (call);
}

/* Ends what is on its way and what waits to be sent, so that each caller gets a result and frees what it keeps. */
static inline void
fake_transport_end (FakeTransport *fake, HzbKvClient *kv)
{
  FakeCall *call;
  while ((call = g_queue_peek_head (&fake->calls)))
    fake_answer (fake, call, 0, "");
  hzb_clock_advance (fake->clock, LONGER_THAN_ANY_CALL_S);
  hzb_kv_client_pump (kv);
  while ((call = g_queue_peek_head (&fake->calls)))
    fake_answer (fake, call, 0, "");
}
