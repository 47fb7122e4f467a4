/**
 * SECTION: worker-api
 * @short_description: reports of workers in, commands out
 */
#pragma once
#include "http-request.h"

typedef struct _HzbController HzbController;

/** hzb_worker_api_heartbeat: answers one report; the only place from which commands are sent. */
void hzb_worker_api_heartbeat (HzbController *controller, HzbHttpRequest *http_request);
