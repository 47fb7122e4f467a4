/* What the parts of the simulated cluster share. Tests include sim-cluster.h only. */
#pragma once
#include "sim-cluster.h"
#include "sim-trace.h"

#define SIM_KV_ADDRESS "10.9.0.1:1"
#define SIM_CLOUD_ADDRESS "10.9.0.2:1"

/* Something that happens at a time. Of two events at the same time the one with the lower number happens first. */
typedef struct
{
  double at;
  guint64 number;
  void (*run) (Sim *sim, gpointer data);
  gpointer data;
} SimEvent;

/* A request of a controller to another host, and its response. */
typedef struct
{
  guint node, incarnation;
  char *method, *addr, *path, *body;
  HzbReplyFunc done;
  gpointer user;
  gboolean over;
  guint refs;
  guint status;
  char *reply;
} SimCall;

/* Records that a rule of the protocol was violated, as a text in Sim.violations. */
void sim_violation (Sim *sim, const char *rule, const char *format, ...) G_GNUC_PRINTF (3, 4);
gboolean sim_chance (Sim *sim, double p);
SimJob *sim_find_job (Sim *sim, const char *uid);
/* Of a message in the network, in seconds. */
double sim_latency (Sim *sim);
/* The value of a query parameter of a path; NULL if it has none. */
char *sim_query (const char *path, const char *name);
/* Sends the response of a call. Takes the body and the reference to the call. */
void sim_respond (Sim *sim, SimCall *call, guint status, char *body);
void sim_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
               guint timeout_ms, HzbReplyFunc done, gpointer user);
/* Defers the event while the node's process is paused. Returns: TRUE if it is. */
gboolean sim_node_paused (SimNode *node, void (*run) (Sim *sim, gpointer data), gpointer data);
/* Delivers a request of a user or a worker to a controller. */
void sim_client_request (Sim *sim, guint node, HzbHttpRequest *http_request);
void sim_kv_store_request (Sim *sim, SimCall *call);
void sim_kv_store_free (Sim *sim);
void sim_kv_store_init (Sim *sim);
void sim_cloud_request (Sim *sim, SimCall *call);
void sim_machine_tick (Sim *sim, gpointer data); /* data: SimMachine */
