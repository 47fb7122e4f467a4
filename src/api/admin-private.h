/**
 * SECTION: admin-private
 * @short_description: what the files of the administration API share
 */
#pragma once
#include "admin.h"
#include "operator-settings-codec.h"

/** _HzbAdmin: shows the modules it depends on, and applies the operators' settings to them. */
struct _HzbAdmin
{
  HzbAdminDependencies with;   /**< the modules that operators look at and change */
  HzbAdminCallbacks callbacks; /**< the controller above */
  gpointer callbacks_user;     /**< passed to them */
  HzbHttpServer *api_server;   /**< (not owned) (nullable): NULL in tests */
  HzbHttpServer *peer_server;  /**< (not owned) (nullable): NULL in tests */
  guint64 settings_version;    /**< of the operators' settings that apply; 0: none were recorded */
};

/** hzb_admin_reply: 200. Takes the body. */
void hzb_admin_reply (HzbHttpRequest *http_request, char *body);

/** hzb_admin_refuse: an error with this text; 503 names a time after which to try again. */
void hzb_admin_refuse (HzbHttpRequest *http_request, guint status, const char *format, ...) G_GNUC_PRINTF (3, 4);

/** hzb_admin_settings_encode: Returns: (transfer full): the answer that shows the operators' settings */
char *hzb_admin_settings_encode (HzbAdmin *admin);

/** hzb_admin_settings_change: records and applies a change of the operators' settings; answers the request later. */
void hzb_admin_settings_change (HzbAdmin *admin, HzbHttpRequest *http_request);
