/**
 * SECTION: admin-private
 * @short_description: declarations shared by the source files of the administration API
 */
#pragma once
#include "admin.h"
#include "operator-settings-codec.h"

/** _HzbAdmin: shows the state of the modules it depends on, and applies the operators' settings to them. */
struct _HzbAdmin
{
  HzbAdminDependencies dependencies; /**< the modules that operators inspect and change */
  HzbAdminCallbacks callbacks;       /**< functions of the controller */
  gpointer callbacks_user;           /**< (not owned) (nullable): user data passed to the callbacks */
  HzbHttpServer *api_server;         /**< (not owned) (nullable): NULL in tests */
  HzbHttpServer *peer_server;        /**< (not owned) (nullable): NULL in tests */
  guint64 settings_version;          /**< revision of the operators' settings in use; 0: no settings were recorded */
};

/** hzb_admin_reply: responds with 200 and this body. Takes ownership of the body. */
void hzb_admin_reply (HzbHttpRequest *http_request, char *body);

/** hzb_admin_refuse: responds with this error status and text; a 503 response has a Retry-After header of 1 s. */
void hzb_admin_refuse (HzbHttpRequest *http_request, guint status, const char *format, ...) G_GNUC_PRINTF (3, 4);

/** hzb_admin_settings_encode: Returns: (transfer full): the response body that shows the operators' settings */
char *hzb_admin_settings_encode (HzbAdmin *admin);

/**
 * hzb_admin_settings_change: decodes a change of the operators' settings from the request's body, records the change in
 * the key-value store, and applies it once it is recorded. Responds to an invalid change at once, and to a valid one
 * after the key-value store has answered.
 */
void hzb_admin_settings_change (HzbAdmin *admin, HzbHttpRequest *http_request);
