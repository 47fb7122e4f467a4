/**
 * SECTION: controller
 * @short_description: one controller of the cluster: all modules that run on a node
 *
 * The caller calls hzb_controller_tick() every HZB_TICK_MS milliseconds. It passes requests of users, workers and
 * operators to hzb_controller_handle_request(), and those of other controllers to hzb_controller_handle_peer_request().
 */
#pragma once
#include "clock.h"
#include "http-server.h"
#include "settings.h"
#include "transport.h"

/** HZB_TICK_MS: interval between calls of hzb_controller_tick(), in milliseconds. */
#define HZB_TICK_MS 50

/** HzbController: one controller; opaque. */
typedef struct _HzbController HzbController;

/**
 * hzb_controller_new:
 * `settings`: (transfer none): must outlive the controller
 * `clock`: (transfer none): must outlive the controller
 * `transport`: (transfer none): sends the controller's requests; must outlive the controller
 * `seed`: the seed of the controller's random numbers
 *
 * Returns: (transfer full): a controller that does not lead; free it with hzb_controller_free()
 */
HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);

/** hzb_controller_free: frees the controller. No request that the controller has sent may be in flight. */
void hzb_controller_free (HzbController *controller);

/**
 * hzb_controller_set_http_servers: sets the servers whose connections and refused requests the admin API shows.
 * `api_server`: (transfer none): receives requests of users, workers and operators
 * `peer_server`: (transfer none): receives requests of other controllers
 */
void hzb_controller_set_http_servers (HzbController *controller, HzbHttpServer *api_server, HzbHttpServer *peer_server);

/** hzb_controller_tick: does all periodic work that is due. */
void hzb_controller_tick (HzbController *controller);

/**
 * hzb_controller_handle_request: the HzbHttpHandler for requests of users, workers and operators.
 * `http_request`: (transfer full)
 * `data`: the #HzbController
 */
void hzb_controller_handle_request (HzbHttpRequest *http_request, gpointer data);

/**
 * hzb_controller_handle_peer_request: the HzbHttpHandler for requests of other controllers.
 * `http_request`: (transfer full)
 * `data`: the #HzbController
 */
void hzb_controller_handle_peer_request (HzbHttpRequest *http_request, gpointer data);

/**
 * hzb_controller_is_ready:
 *
 * Returns: whether this node serves users as well as any other node does; the answer to GET /ready
 */
gboolean hzb_controller_is_ready (HzbController *controller);
