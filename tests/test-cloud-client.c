/* The client of the cloud: its request rate and the priorities of requests. */
#include "support.h"

#include "cloud-client.h"
#include "fake-transport.h"

#define STEP_S 0.05

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  FakeTransport transport;
  HzbCloudClient *cloud;
  guint responses;
} Fixture;

static void
fixture_set_up (Fixture *fixture, double rps)
{
  *fixture = (Fixture){ 0 };
  fixture->settings = test_settings ();
  fixture->settings->cloud_rps = rps;
  fixture->clock = hzb_clock_new_manual ();
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->cloud = hzb_cloud_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
}

static void
fixture_tear_down (Fixture *fixture)
{
  FakeCall *call;
  while ((call = g_queue_peek_head (&fixture->transport.calls)))
    fake_answer (&fixture->transport, call, 0, "");
  if (fixture->cloud)
    hzb_cloud_client_free (fixture->cloud);
  hzb_clock_free (fixture->clock);
  hzb_settings_free (fixture->settings);
}

static void
pump_for (Fixture *fixture, double seconds)
{
  for (double at = 0; at < seconds; at += STEP_S)
    {
      hzb_clock_advance (fixture->clock, STEP_S);
      hzb_cloud_client_pump (fixture->cloud);
    }
}

static void
on_response (guint status, const char *body, gsize length, gpointer user)
{
  ((Fixture *) user)->responses++;
}

static const char *
nth_path (const Fixture *fixture, guint n)
{
  const FakeCall *call = g_queue_peek_nth ((GQueue *) &fixture->transport.calls, n);
  g_assert_nonnull (call);
  return call->path;
}

/* Waiting requests are sent by priority, not in the order of the calls. */
static void
test_urgent_first (void)
{
  Fixture fixture;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  fixture_set_up (&fixture, 1);
  g_ptr_array_add (names, (gpointer) "i-1");
  hzb_cloud_client_list_types (fixture.cloud, on_response, &fixture);
  /* The token bucket is full at first, so the first request does not wait. */
  g_assert_cmpuint (fixture.transport.sent, ==, 1);
  hzb_cloud_client_list_types (fixture.cloud, on_response, &fixture);
  hzb_cloud_client_scale_out (fixture.cloud, "r-1-1", "small", "za", FALSE, 2, on_response, &fixture);
  hzb_cloud_client_scale_in (fixture.cloud, names, on_response, &fixture);
  g_assert_cmpuint (fixture.transport.sent, ==, 1);
  pump_for (&fixture, 4);
  g_assert_cmpuint (fixture.transport.sent, ==, 4);
  g_assert_cmpstr (nth_path (&fixture, 1), ==, hzb_path_return);
  g_assert_cmpstr (nth_path (&fixture, 2), ==, hzb_path_rent);
  g_assert_cmpstr (nth_path (&fixture, 3), ==, hzb_path_types);
  fixture_tear_down (&fixture);
}

/* A tenth of the cloud's rate is left to the previous leader. A leader with enough requests uses all the rest. */
static void
test_rate (void)
{
  Fixture fixture;

  fixture_set_up (&fixture, 4);
  for (guint i = 0; i < 400; i++)
    hzb_cloud_client_list_types (fixture.cloud, on_response, &fixture);
  pump_for (&fixture, 60);
  g_assert_cmpuint (fixture.transport.sent, <=, 60 * 4 * 9 / 10 + 4);
  g_assert_cmpuint (fixture.transport.sent, >=, 60 * 4 * 9 / 10 - 1);
  fixture_tear_down (&fixture);
}

/* The token bucket of an idle client holds the requests of one second, not more. */
static void
test_burst (void)
{
  Fixture fixture;

  fixture_set_up (&fixture, 4);
  pump_for (&fixture, 60);
  for (guint i = 0; i < 100; i++)
    hzb_cloud_client_list_types (fixture.cloud, on_response, &fixture);
  g_assert_cmpuint (fixture.transport.sent, ==, 3);
  fixture_tear_down (&fixture);
}

/* A freed client does not call the callbacks of waiting requests. */
static void
test_freed (void)
{
  Fixture fixture;

  fixture_set_up (&fixture, 1);
  hzb_cloud_client_list_types (fixture.cloud, on_response, &fixture);
  hzb_cloud_client_list_instances (fixture.cloud, NULL, on_response, &fixture);
  hzb_cloud_client_free (g_steal_pointer (&fixture.cloud));
  g_assert_cmpuint (fixture.transport.sent, ==, 1);
  g_assert_cmpuint (fixture.responses, ==, 0);
  fixture_tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cloud-client/urgent-first", test_urgent_first);
  g_test_add_func ("/cloud-client/rate", test_rate);
  g_test_add_func ("/cloud-client/burst", test_burst);
  g_test_add_func ("/cloud-client/freed", test_freed);
  return g_test_run ();
}
