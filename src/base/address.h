/**
 * SECTION: address
 * @short_description: network addresses in the form in which the settings give them
 */
#pragma once
#include <glib.h>

/**
 * Splits an address, such as 10.0.0.1:8080, into the IP address and the port.
 * @param addr the address
 * @param host (out) (optional) (transfer full) the IP address; set only on success
 * @param port (out) (optional) the port; set only on success
 * @return FALSE if the text is not an IP address with a port from 1 to 65535
 */
gboolean hzb_address_split (const char *addr, char **host, guint16 *port);
