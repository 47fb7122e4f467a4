/**
 * SECTION: controller
 * @short_description: one controller of the cluster: all modules of a node, tied together
 *
 * hzb_controller_tick() has to be called every HZB_TICK_MS. Requests come by hzb_controller_request() (users, workers,
 * operators) and hzb_controller_peer_request() (other controllers).
 */
#pragma once
#include "clock.h"
#include "http-server.h"
#include "settings.h"
#include "transport.h"

/** HZB_TICK_MS: how often hzb_controller_tick() is to be called. */
#define HZB_TICK_MS 50

/** HzbController: one controller; opaque. */
typedef struct _HzbController HzbController;

/**
 * hzb_controller_new:
 * `settings`: (transfer none): must outlive the controller, like `clock` and `transport`
 * `seed`: of its random numbers
 *
 * Returns: (transfer full): a controller that follows
 */
HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);

/** hzb_controller_free: must not be called while a request of the controller is in flight. */
void hzb_controller_free (HzbController *controller);

/** hzb_controller_set_http_servers: (not owned): their counts are shown to operators. */
void hzb_controller_set_http_servers (HzbController *controller, HzbHttpServer *api_server, HzbHttpServer *peer_server);

/** hzb_controller_tick: does what is due. */
void hzb_controller_tick (HzbController *controller);

/** hzb_controller_request: HzbHandler of the address that users, workers and operators use; `data`: the controller. */
void hzb_controller_request (HzbHttpRequest *http_request, gpointer data);

/** hzb_controller_peer_request: HzbHandler of the address that other controllers use; `data`: the controller. */
void hzb_controller_peer_request (HzbHttpRequest *http_request, gpointer data);

/** hzb_controller_ready: users are served here as well as at any other node, see GET /ready. */
gboolean hzb_controller_ready (HzbController *controller);
