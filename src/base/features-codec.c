/* The operator's features file. */
#include "json.h"
#include "settings-table-codec.h"

#define LONGEST_OPERATOR_S 86400.0
#define LONGEST_PACE_S 300.0
#define MOST_STARTS 1e5
#define MOST_ARCHIVES 24.0

static const HzbReconciliationSettings usual_reconciliation = {
  .operator_s = 120, .pace_s = 60, .starts_per_heartbeat = 4, .keep = 8
};

static void
decode_reconciliation (HzbReconciliationSettings *reconciliation, const HzbSettingsTable *table)
{
  static const char *const known[] = { "enabled",      "barrier",           "operator_s", "pace_s",
                                       "starts_per_s", "starts_per_report", "keep",       NULL };
  const HzbReconciliationSettings *usual = &usual_reconciliation;

  hzb_settings_refuse_unknown_keys (table, known);
  reconciliation->enabled = hzb_settings_get_flag (table, "enabled");
  reconciliation->barrier = hzb_settings_get_flag (table, "barrier");
  reconciliation->operator_s = hzb_settings_get_bounded (table, "operator_s", LONGEST_OPERATOR_S, usual->operator_s);
  reconciliation->pace_s = hzb_settings_get_bounded (table, "pace_s", LONGEST_PACE_S, usual->pace_s);
  reconciliation->starts_per_s = hzb_settings_get_bounded (table, "starts_per_s", MOST_STARTS, 0);
  reconciliation->starts_per_heartbeat =
      (guint) hzb_settings_get_bounded (table, "starts_per_report", MOST_STARTS, usual->starts_per_heartbeat);
  reconciliation->keep = (guint) hzb_settings_get_bounded (table, "keep", MOST_ARCHIVES, usual->keep);
}

gboolean
hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error)
{
  static const char *const known[] = { "reconciliation", NULL };
  g_autoptr (cJSON) root = hzb_settings_file_parse (text, name, error);
  g_autoptr (GString) faults = g_string_new (NULL);
  HzbSettingsTable file = { .json = root, .path = "", .faults = faults }, table;

  if (!root)
    return FALSE;
  hzb_settings_refuse_unknown_keys (&file, known);
  if (cJSON_GetObjectItemCaseSensitive (root, "reconciliation")
      && hzb_settings_open_table (&file, "reconciliation", "reconciliation", &table))
    decode_reconciliation (&settings->reconciliation, &table);
  return hzb_settings_file_check (faults, error);
}
