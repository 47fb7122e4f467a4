/**
 * SECTION: http-client
 * @short_description: the transport that sends requests over HTTP
 */
#pragma once
#include "transport.h"

/**
 * Makes a client. It keeps connections open for later requests.
 * @return (transfer full): the client, to be freed with hzb_http_client_free()
 */
HzbTransport *hzb_http_client_new (void);

/**
 * Frees a client. Pending requests end with status 0.
 * @param transport (transfer full) the client, made by hzb_http_client_new()
 */
void hzb_http_client_free (HzbTransport *transport);
