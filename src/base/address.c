#include "address.h"

#include <string.h>

gboolean
hzb_address_split (const char *addr, char **host, guint16 *port)
{
  const char *colon = strrchr (addr, ':');
  g_autofree char *ip_address = NULL;
  guint64 number = 0;

  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  ip_address = g_strndup (addr, (gsize) (colon - addr));
  if (!g_hostname_is_ip_address (ip_address))
    return FALSE;
  if (host)
    *host = g_steal_pointer (&ip_address);
  if (port)
    *port = (guint16) number;
  return TRUE;
}
