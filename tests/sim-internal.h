/* Declarations that the files of the simulated cluster share. Tests include sim-cluster.h only. */
#pragma once
#include "sim-cluster.h"
#include "sim-trace.h"

#define SIM_KV_ADDRESS "10.9.0.1:1"
#define SIM_CLOUD_ADDRESS "10.9.0.2:1"

/* An event at a simulated time. Of two events at the same time the one with the lower number runs first. */
typedef struct
{
  double at;
  guint64 number;
  void (*run) (Sim *sim, gpointer data);
  gpointer data;
} SimEvent;

/* A request of a controller to another host, and its response. Reference counted: the timeout holds one reference, and
 * the request or response in the network another one. */
typedef struct
{
  guint node, incarnation; /* of the process that sends the request */
  char *method, *addr, *path, *body;
  HzbReplyFunc done; /* called once, with the response or with status 0 after a timeout */
  gpointer user;     /* passed to @done */
  gboolean finished; /* the response or the timeout has been handled: a later response is dropped */
  guint refs;
  guint status;
  char *reply;
} SimCall;

/* Records that a rule of the protocol was violated, as a text in Sim.violations that begins with the rule's name. */
void sim_violation (Sim *sim, const char *rule, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Returns: TRUE with the probability @p. */
gboolean sim_chance (Sim *sim, double p);

/* Returns: (transfer none) (nullable): the job with this uid. */
SimJob *sim_find_job (Sim *sim, const char *uid);

/* Returns: a random latency of a message in the network, in seconds. */
double sim_latency (Sim *sim);

/* Returns: (transfer full) (nullable): the value of a query parameter of a path; NULL if the path lacks it. */
char *sim_query_parameter (const char *path, const char *name);

/* Sends the response of a call. Takes ownership of the body and of the reference to the call. @body: (nullable) */
void sim_respond (Sim *sim, SimCall *call, guint status, char *body);

/* Sends a request of a controller through the simulated network; the `send` function of SimTransport. */
void sim_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
               guint timeout_ms, HzbReplyFunc done, gpointer user);

/* Defers an event if the node's process is paused. Returns: TRUE if the event was deferred. */
gboolean sim_node_paused (SimNode *node, void (*run) (Sim *sim, gpointer data), gpointer data);

/* Delivers a request of a user or a worker to a controller. Takes ownership of the request. */
void sim_client_request (Sim *sim, guint node, HzbHttpRequest *http_request);

/* Handles a request to the key-value store. Takes the reference to the call. */
void sim_kv_store_request (Sim *sim, SimCall *call);
void sim_kv_store_free (Sim *sim);
void sim_kv_store_init (Sim *sim);

/* Handles a request to the cloud. Takes the reference to the call. */
void sim_cloud_request (Sim *sim, SimCall *call);

/* Advances a machine, its worker and its tasks, and schedules the next tick. @data: SimMachine */
void sim_machine_tick (Sim *sim, gpointer data);
