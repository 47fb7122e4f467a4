/* Faults and work that several tests bring into the simulated cluster, and what they expect of it. */
#pragma once
#include "sim-cluster.h"

extern char last_response_body[400]; /* of the last response that capture_status() or user_request() got */

void expect_no_violation (Sim *sim, const char *what, guint32 seed);
void expect_all_finished (Sim *sim, const char *what, guint32 seed);
void crash_random_controller (Sim *sim, gpointer data);
void start_all_controllers (Sim *sim, gpointer data);
void crash_all_controllers (Sim *sim, gpointer data);
void toggle_kv_outage (Sim *sim, gpointer data);
void cut_off_leader_at_random (Sim *sim, gpointer data);
void heal_controllers (Sim *sim, gpointer data);
void fail_random_machine (Sim *sim, gpointer data);
void add_arrays (Sim *sim, guint jobs);
SimMachine *run_until_machine_is (Sim *sim, HzbMachineState state);
SimMachine *machine_with_tasks (Sim *sim);
void capture_status (HzbHttpRequest *http_request, guint status, const char *body, guint retry);
/* A heartbeat that the machine's worker did not send itself, to one node, or to the leader. Returns: the response's status. */
guint heartbeat_to (Sim *sim, guint node, SimMachine *machine, guint64 agent_epoch, guint64 sequence,
                    const char *task_statuses);
guint
heartbeat_to_leader (Sim *sim, SimMachine *machine, guint64 agent_epoch, guint64 sequence, const char *task_statuses);
/* A service spread over zones, on on-demand machines, whose user cancels it at that time. */
SimJob *add_service (Sim *sim, double at, const char *team, guint n, double cpus, double cancel_at);
/* A user's request to one node; the cluster runs on for 3 s. retry: its Retry-After, or NULL. Returns: the status. */
guint user_request (Sim *sim, guint node, const char *method, const char *path, const char *body, guint *retry);
guint submit_service (Sim *sim, guint node, guint uid, const char *team, guint n, double cpus, const char *expect,
                      guint *retry);
/* Submits a service of two replicas with one field changed; value NULL: without the field. */
guint submit_service_with (Sim *sim, guint node, guint uid, const char *field, const char *value);
/* So many arrays of 10 to 59 tasks, of all teams of sim_config_large in turn, submitted within over_s. */
void add_many_arrays (Sim *sim, guint n, double over_s, double run_s);
/* So many machines of sim_config_large, at work for some 15 s. */
Sim *large_fleet (guint32 seed, guint machines, guint jobs, double run_s);
guint tasks_running (const Sim *sim);
void cancel_all (Sim *sim); /* every user wants to cancel from now on */
