/**
 * SECTION: user-api
 * @short_description: submissions, questions and cancellations of users, on every node
 */
#pragma once
#include "http-request.h"

typedef struct _HzbController HzbController;
typedef struct _HzbUserApi HzbUserApi;

HzbUserApi *hzb_user_api_new (HzbController *controller);
void hzb_user_api_free (HzbUserApi *api);
void hzb_user_api_tick (HzbUserApi *api);

/** hzb_user_api_request: answers the exchange now or later, never without an answer. */
void hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request);
