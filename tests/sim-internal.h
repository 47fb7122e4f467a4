/* What the parts of the simulated cluster share. Tests include sim-cluster.h only. */
#pragma once
#include "sim-cluster.h"
#include "sim-trace.h"

#define SIM_KV_ADDRESS "10.9.0.1:1"
#define SIM_CLOUD_ADDRESS "10.9.0.2:1"

/* Something that happens at a time; of equal times the earlier number goes first. */
typedef struct
{
  double at;
  guint64 number;
  void (*run) (Sim *sim, gpointer data);
  gpointer data;
} SimEvent;

/* A call of a node to another host. */
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

/* A rule is broken: kept as a text in Sim.broken. */
void sim_violation (Sim *sim, const char *rule, const char *format, ...) G_GNUC_PRINTF (3, 4);
gboolean sim_chance (Sim *sim, double p);
SimJob *sim_find_job (Sim *sim, const char *uid);
/* Of a message in the network, in seconds. */
double sim_latency (Sim *sim);
/* The value of a query parameter of a path; NULL if it has none. */
char *sim_query (const char *path, const char *name);
/* Takes the body, and the call's part of the way back. */
void sim_respond (Sim *sim, SimCall *call, guint status, char *body);
void sim_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
               guint timeout_ms, HzbReplyFunc done, gpointer user);
/* TRUE: the node's process stands still; the event is kept until it wakes. */
gboolean sim_node_paused (SimNode *node, void (*run) (Sim *sim, gpointer data), gpointer data);
/* A request of a user or a worker goes to a controller. */
void sim_client_request (Sim *sim, guint node, HzbHttpRequest *http_request);
void sim_kv_store_request (Sim *sim, SimCall *call);
void sim_kv_store_free (Sim *sim);
void sim_kv_store_init (Sim *sim);
void sim_cloud_request (Sim *sim, SimCall *call);
void sim_machine_tick (Sim *sim, gpointer data); /* data: SimMachine */
