/* Faults and workloads that several tests inject into the simulated cluster, and checks of the outcome. The functions
 * that take @data are events for sim_schedule() and ignore it. */
#pragma once
#include "sim-cluster.h"

extern char last_response_body[400]; /* of the last response that capture_status() or user_request() got */

/* Fails the test if a rule was violated. @scenario: names the scenario in the message */
void expect_no_violation (Sim *sim, const char *scenario, guint32 seed);

/* Fails the test unless every job is done or cancelled (except jobs that always fail), every user got a conclusive
 * response recently, and no team or class was starved. */
void expect_all_finished (Sim *sim, const char *scenario, guint32 seed);

/* Crashes the leader or a random controller, and restarts it at once in half of the cases. */
void crash_random_controller (Sim *sim, gpointer data);

/* Starts every controller that is down. */
void start_all_controllers (Sim *sim, gpointer data);

/* Crashes every controller, and starts them 0.2 to 6 s later. */
void crash_all_controllers (Sim *sim, gpointer data);

/* Begins an outage of the key-value store, or ends it. */
void toggle_kv_outage (Sim *sim, gpointer data);

/* Cuts the leader off from the key-value store, the workers or the other controllers, at random. */
void cut_off_leader_at_random (Sim *sim, gpointer data);

/* Ends every partition of controllers. */
void heal_controllers (Sim *sim, gpointer data);

/* Crashes a random machine, or toggles its partition, its hang or its fault. */
void fail_random_machine (Sim *sim, gpointer data);

/* Adds job arrays of 8 tasks that run on small machines. */
void add_arrays (Sim *sim, guint jobs);

/* Runs the cluster until the leader has a machine with tasks in that state, at most until 60 s; fails if there is none.
 * Returns: (transfer none): the machine */
SimMachine *run_until_machine_is (Sim *sim, HzbMachineState state);

/* Returns: (transfer none) (nullable): the first machine with a task. */
SimMachine *find_machine_with_tasks (Sim *sim);

/* Reply function of a request: stores the status in the guint that HzbHttpRequest.impl points to. */
void capture_status (HzbHttpRequest *http_request, guint status, const char *body, guint retry);

/* Sends a heartbeat in the name of a machine's worker to one controller. The fake of the worker neither knows of the
 * heartbeat nor gets the response. @task_statuses: the elements of the list of tasks, as JSON. Returns: the status of
 * the response; 0 if there is none yet */
guint send_heartbeat_to (Sim *sim, guint node, SimMachine *machine, guint64 agent_epoch, guint64 sequence,
                         const char *task_statuses);

/* The same as send_heartbeat_to(), to the leader. */
guint send_heartbeat_to_leader (Sim *sim, SimMachine *machine, guint64 agent_epoch, guint64 sequence,
                                const char *task_statuses);

/* Adds a service that is spread over zones, on on-demand machines, whose user cancels it at @cancel_at. */
SimJob *add_service (Sim *sim, double at, const char *team, guint n, double cpus, double cancel_at);

/* Sends a user's request to one controller, then runs the cluster for 3 s. @retry: (out) (nullable): the Retry-After of
 * the response. Returns: the status of the response; 0 if there is none */
guint user_request (Sim *sim, guint node, const char *method, const char *path, const char *body, guint *retry);

/* Submits a service of @n replicas. @expect: its expected duration, as JSON. Returns: as user_request() does */
guint submit_service (Sim *sim, guint node, guint uid, const char *team, guint n, double cpus, const char *expect,
                      guint *retry);

/* Submits a service of two replicas with one field replaced. @value: (nullable): the value as JSON; NULL omits the
 * field. Returns: as user_request() does */
guint submit_service_with (Sim *sim, guint node, guint uid, const char *field, const char *value);

/* Adds @n job arrays of 10 to 59 tasks, of the teams of sim_config_large by turns, submitted over @over_s seconds. */
void add_many_arrays (Sim *sim, guint n, double over_s, double run_s);

/* Creates a cluster of sim_config_large with @machines machines and @jobs job arrays, and runs it until 25 s. Returns:
 * (transfer full) */
Sim *start_large_fleet (guint32 seed, guint machines, guint jobs, double run_s);

/* Returns: the number of running tasks on all machines. */
guint count_running_tasks (const Sim *sim);

/* Makes the user of every job request its cancellation from now on. */
void cancel_all_jobs (Sim *sim);
