/* Decodes the operator's features file. */
#include "json.h"
#include "settings-table-codec.h"

#define MAX_OPERATOR_TIMEOUT_S 86400.0
#define MAX_PACE_S 300.0 /* duration of the pacing */
#define MAX_STARTS 1e5   /* per second, and per response to a heartbeat */
#define MAX_ARCHIVES 24.0

static const HzbReconciliationSettings default_reconciliation = {
  .operator_timeout_s = 120, .pace_s = 60, .starts_per_heartbeat = 4, .max_archives = 8
};

static void
decode_reconciliation (HzbReconciliationSettings *reconciliation, const HzbSettingsTable *table)
{
  static const char *const known[] = { "enabled",      "barrier",           "operator_s", "pace_s",
                                       "starts_per_s", "starts_per_report", "keep",       NULL };
  const HzbReconciliationSettings *defaults = &default_reconciliation;

  hzb_settings_refuse_unknown_keys (table, known);
  reconciliation->enabled = hzb_settings_get_flag (table, "enabled");
  reconciliation->barrier = hzb_settings_get_flag (table, "barrier");
  reconciliation->operator_timeout_s =
      hzb_settings_get_bounded_number (table, "operator_s", MAX_OPERATOR_TIMEOUT_S, defaults->operator_timeout_s);
  reconciliation->pace_s = hzb_settings_get_bounded_number (table, "pace_s", MAX_PACE_S, defaults->pace_s);
  reconciliation->starts_per_s = hzb_settings_get_bounded_number (table, "starts_per_s", MAX_STARTS, 0);
  reconciliation->starts_per_heartbeat =
      (guint) hzb_settings_get_bounded_number (table, "starts_per_report", MAX_STARTS, defaults->starts_per_heartbeat);
  reconciliation->max_archives =
      (guint) hzb_settings_get_bounded_number (table, "keep", MAX_ARCHIVES, defaults->max_archives);
}

gboolean
hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error)
{
  static const char *const known[] = { "reconciliation", NULL };
  g_autoptr (cJSON) root = hzb_settings_file_parse (text, name, error);
  g_autoptr (GString) faults = g_string_new (NULL);
  HzbSettingsTable file = { .json = root, .dotted_key = "", .faults = faults }, table;

  if (!root)
    return FALSE;
  hzb_settings_refuse_unknown_keys (&file, known);
  if (cJSON_GetObjectItemCaseSensitive (root, "reconciliation")
      && hzb_settings_open_table (&file, "reconciliation", "reconciliation", &table))
    decode_reconciliation (&settings->reconciliation, &table);
  return hzb_settings_check_no_faults (faults, error);
}
