#include "path-pattern.h"

GStrv
hzb_path_parse (const char *path, const char *pattern)
{
  g_auto (GStrv) segments = g_strsplit (path, "/", -1);
  g_auto (GStrv) expected = g_strsplit (pattern, "/", -1);
  g_autoptr (GStrvBuilder) parameters = g_strv_builder_new ();

  if (g_strv_length (segments) != g_strv_length (expected))
    return NULL;
  for (guint i = 0; expected[i]; i++)
    {
      gboolean is_parameter = g_str_equal (expected[i], HZB_PATH_PARAMETER);
      if (is_parameter ? !*segments[i] : !g_str_equal (segments[i], expected[i]))
        return NULL;
      if (is_parameter)
        g_strv_builder_add (parameters, segments[i]);
    }
  return g_strv_builder_end (parameters);
}

gboolean
hzb_path_matches (const char *path, const char *pattern)
{
  g_auto (GStrv) parameters = hzb_path_parse (path, pattern);
  return parameters != NULL;
}
