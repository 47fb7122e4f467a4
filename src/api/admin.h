/**
 * SECTION: admin
 * @short_description: the administration API and the operators' settings
 */
#pragma once
#include "http-request.h"
#include <cjson/cJSON.h>

typedef struct _HzbController HzbController;

/** hzb_admin_apply_settings: the operators' settings, as recorded at this version. */
void hzb_admin_apply_settings (HzbController *controller, const cJSON *value, guint64 version);

/** hzb_admin_request: Returns: FALSE if the path is not one of the administration API's. */
gboolean hzb_admin_request (HzbController *controller, HzbHttpRequest *http_request);
