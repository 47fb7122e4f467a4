/**
 * SECTION: address
 * @short_description: network addresses as the settings give them
 */
#pragma once
#include <glib.h>

/**
 * Splits an address such as 10.0.0.1:8080.
 * @param addr the address
 * @param host (out) (optional) (transfer full) the IP address
 * @param port (out) (optional) the port
 * @return FALSE, and nothing is set, if it is no IP address with a port from 1 to 65535
 */
gboolean hzb_split_addr (const char *addr, char **host, guint16 *port);
