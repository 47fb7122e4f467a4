/* Codec of the operators' settings: the stored form, the response that shows the settings, and the changes that
 * operators request. */
#include "json.h"
#include "operator-settings-codec.h"

#include <string.h>

static const char stored_text[] =
    "{\"dispatchH\":0.25,\"dispatchSample\":16,\"dispatchListAheadS\":8,\"fleetIdleS\":40,"
    "\"fleetPatience\":0.6,\"leaseBlocks\":1}";
static const HzbOperatorSettings default_settings = { 0.5, 8, 8, 40, 0.6, 1 };

static void
assert_equal (const HzbOperatorSettings *a, const HzbOperatorSettings *b)
{
  g_assert_cmpfloat (a->dispatch_h, ==, b->dispatch_h);
  g_assert_cmpfloat (a->dispatch_sample, ==, b->dispatch_sample);
  g_assert_cmpfloat (a->dispatch_queue_ahead_s, ==, b->dispatch_queue_ahead_s);
  g_assert_cmpfloat (a->fleet_idle_s, ==, b->fleet_idle_s);
  g_assert_cmpfloat (a->fleet_slack_fraction, ==, b->fleet_slack_fraction);
  g_assert_cmpfloat (a->lease_shards, ==, b->lease_shards);
}

static void
test_stored (void)
{
  HzbOperatorSettings settings;
  cJSON *value = cJSON_Parse (stored_text);
  g_autofree char *text = NULL;

  hzb_operator_settings_decode (value, &settings);
  cJSON_Delete (value);
  g_assert_cmpfloat (settings.dispatch_h, ==, 0.25);
  g_assert_cmpfloat (settings.dispatch_sample, ==, 16);
  text = hzb_json_print (hzb_operator_settings_encode (&settings));
  g_assert_cmpstr (text, ==, stored_text);
}

/* A missing record, and a record of another version with invalid values and an unknown name, decode to the defaults. */
static void
test_fallback (void)
{
  HzbOperatorSettings settings;
  cJSON *value = cJSON_Parse ("{\"dispatchH\":2,\"fleetPatience\":\"much\",\"unheardOf\":1}");

  hzb_operator_settings_decode (NULL, &settings);
  assert_equal (&settings, &default_settings);
  hzb_operator_settings_decode (value, &settings);
  cJSON_Delete (value);
  assert_equal (&settings, &default_settings);
}

static void
test_answer (void)
{
  g_autofree char *text = hzb_operator_settings_encode_response (&default_settings, G_MAXUINT64);

  g_assert_true (g_str_has_prefix (text, "{\"version\":18446744073709551615,\"settings\":{\"dispatchH\":0.5,"));
  g_assert_nonnull (strstr (text,
                            "\"meaning\":{\"dispatchH\":\"weight of h/v in the dispatch rule, 0 for waiting to 1 for "
                            "sojourn; 0 to 1, usually 0.5\""));
}

static void
test_change (void)
{
  static const char text[] = "{\"version\":7,\"settings\":{\"leaseBlocks\":0,\"fleetIdleS\":60}}";
  HzbOperatorSettings expected = default_settings;
  HzbSettingsChange change;
  g_autoptr (GError) error = NULL;

  g_assert_true (hzb_settings_change_decode (text, strlen (text), &default_settings, &change, &error));
  g_assert_no_error (error);
  g_assert_cmpuint (change.version, ==, 7);
  expected.lease_shards = 0;
  expected.fleet_idle_s = 60;
  assert_equal (&change.settings, &expected);
}

static void
test_refused (void)
{
  static const struct
  {
    const char *text;
    HzbAdminError code;
    const char *message;
  } cases[] = {
    { "no JSON", HZB_ADMIN_ERROR_MALFORMED, "expected {\"version\": the one read, \"settings\": {…}}" },
    { "{\"settings\":{}}", HZB_ADMIN_ERROR_MALFORMED, "expected {\"version\": the one read, \"settings\": {…}}" },
    { "{\"version\":1,\"settings\":[]}", HZB_ADMIN_ERROR_MALFORMED,
      "expected {\"version\": the one read, \"settings\": {…}}" },
    { "{\"version\":1,\"settings\":{\"x\":1}}", HZB_ADMIN_ERROR_UNKNOWN_SETTING, "x: no such setting" },
    { "{\"version\":1,\"settings\":{\"fleetIdleS\":86401}}", HZB_ADMIN_ERROR_OUT_OF_RANGE,
      "fleetIdleS: expected a number from 0 to 86400" },
    { "{\"version\":1,\"settings\":{\"fleetIdleS\":\"1\"}}", HZB_ADMIN_ERROR_OUT_OF_RANGE,
      "fleetIdleS: expected a number from 0 to 86400" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      HzbSettingsChange change;
      g_assert_false (
          hzb_settings_change_decode (cases[i].text, strlen (cases[i].text), &default_settings, &change, &error));
      g_assert_error (error, HZB_ADMIN_ERROR, (int) cases[i].code);
      g_assert_cmpstr (error->message, ==, cases[i].message);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/operator-settings/stored", test_stored);
  g_test_add_func ("/operator-settings/fallback", test_fallback);
  g_test_add_func ("/operator-settings/answer", test_answer);
  g_test_add_func ("/operator-settings/change", test_change);
  g_test_add_func ("/operator-settings/refused", test_refused);
  return g_test_run ();
}
