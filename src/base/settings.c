#include "settings.h"

GQuark
hzb_settings_error_quark (void)
{
  return g_quark_from_static_string ("hzb-settings-error");
}

HzbSettings *
hzb_settings_load (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  return hzb_settings_parse (text, path, error);
}

gboolean
hzb_settings_load_features (HzbSettings *settings, const char *path, GError **error)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (path, &text, NULL, error) && hzb_settings_parse_features (settings, text, path, error);
}

void
hzb_settings_free (HzbSettings *settings)
{
  if (!settings)
    return;
  g_free (settings->node);
  g_free (settings->zone);
  g_free (settings->api_addr);
  g_free (settings->peer_addr);
  g_free (settings->cloud_addr);
  g_free (settings->kv_addr);
  g_ptr_array_unref (settings->peers);
  g_ptr_array_unref (settings->zones);
  g_ptr_array_unref (settings->teams);
  g_ptr_array_unref (settings->objectives);
  g_free (settings);
}

int
hzb_settings_find_team (const HzbSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->teams->len; i++)
    if (g_str_equal (((HzbTeam *) settings->teams->pdata[i])->name, name))
      return (int) i;
  return -1;
}
