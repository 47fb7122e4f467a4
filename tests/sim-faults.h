/* What several tests do to the simulated cluster, and what they expect of it. */
#pragma once
#include "sim-cluster.h"

extern char last_body[400]; /* of the last answer that keep_status() or ask() got */

void expect_no_fault (Sim *sim, const char *what, guint32 seed);
void expect_all_over (Sim *sim, const char *what, guint32 seed);
void crash_one (Sim *sim, gpointer data);
void start_all (Sim *sim, gpointer data);
void crash_all (Sim *sim, gpointer data);
void flip_outage (Sim *sim, gpointer data);
void cut_leader (Sim *sim, gpointer data);
void heal (Sim *sim, gpointer data);
void hurt_machine (Sim *sim, gpointer data);
void some_work (Sim *sim, guint jobs);
SimMachine *run_until (Sim *sim, HzbMachineState state);
SimMachine *machine_with_tasks (Sim *sim);
void keep_status (HzbHttpRequest *http_request, guint status, const char *body, guint retry);
/* A report that the machine did not send itself, to one node, or to the leader. Returns: the status of the answer. */
guint
report_to (Sim *sim, guint node, SimMachine *machine, guint64 agent_epoch, guint64 sequence, const char *task_statuses);
guint report_again (Sim *sim, SimMachine *machine, guint64 agent_epoch, guint64 sequence, const char *task_statuses);
/* A service spread over zones, on ordinary machines, whose user cancels it from then on. */
SimJob *add_service (Sim *sim, double at, const char *team, guint n, double cpus, double cancel_at);
/* A user's request to one node; the cluster runs on for 3 s. retry: its Retry-After, or NULL. */
guint ask (Sim *sim, guint node, const char *method, const char *path, const char *body, guint *retry);
guint submit_service (Sim *sim, guint node, guint uid, const char *team, guint n, double cpus, const char *expect,
                      guint *retry);
/* A service of two replicas with one field changed; value NULL: without the field. */
guint submit_changed (Sim *sim, guint node, guint uid, const char *field, const char *value);
/* So many arrays of 10 to 59 tasks, of all teams of sim_size_large in turn, submitted within over_s. */
void many_jobs (Sim *sim, guint n, double over_s, double run_s);
/* So many machines of sim_size_large, at work for some 15 s. */
Sim *large_fleet (guint32 seed, guint machines, guint jobs, double run_s);
guint tasks_running (const Sim *sim);
void cancel_all (Sim *sim); /* every user wants to cancel from now on */
