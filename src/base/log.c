#include "log.h"

static gboolean debug_enabled = TRUE;

void
hzb_log_set_debug_enabled (gboolean enabled)
{
  debug_enabled = enabled;
}

gboolean
hzb_log_is_debug_enabled (void)
{
  return debug_enabled;
}
