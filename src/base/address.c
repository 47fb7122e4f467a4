#include "address.h"

#include <string.h>

gboolean
hzb_address_split (const char *addr, char **host, guint16 *port)
{
  const char *colon = strrchr (addr, ':');
  g_autofree char *front = NULL;
  guint64 number = 0;

  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  front = g_strndup (addr, (gsize) (colon - addr));
  if (!g_hostname_is_ip_address (front))
    return FALSE;
  if (host)
    *host = g_steal_pointer (&front);
  if (port)
    *port = (guint16) number;
  return TRUE;
}
