/* Faults and workloads that several tests inject into the simulated cluster, and checks of the outcome. */
#include "sim-faults.h"

#include <string.h>

void
expect_no_violation (Sim *sim, const char *scenario, guint32 seed)
{
  for (guint i = 0; i < sim->violations->len && i < 5; i++)
    g_test_message ("%s", (char *) sim->violations->pdata[i]);
  if (sim->violations->len)
    g_error ("%s, seed %u: %s", scenario, seed, (char *) sim->violations->pdata[0]);
}

void
expect_all_finished (Sim *sim, const char *scenario, guint32 seed)
{
  sim_check_final_state (sim);
  expect_no_violation (sim, scenario, seed);
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const SimJob *job = sim->jobs->pdata[i];
      if (!job->confirmed_done && !job->confirmed_cancelled && !job->always_fails)
        g_error ("%s, seed %u: job %s is neither done nor cancelled", scenario, seed, job->uid);
    }
}

void
crash_random_controller (Sim *sim, gpointer data)
{
  int leader = sim_leader (sim);
  guint node_index =
      leader >= 0 && g_rand_boolean (sim->rand) ? (guint) leader : (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  sim_crash (sim, node_index);
  if (g_rand_boolean (sim->rand))
    sim_start (sim, node_index); /* the restart comes before the leadership lease can expire */
}

void
start_all_controllers (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (!sim->nodes[i].controller)
      sim_start (sim, i);
}

void
crash_all_controllers (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 0.2, 6), start_all_controllers, NULL);
}

void
toggle_kv_outage (Sim *sim, gpointer data)
{
  sim->kv_outage = !sim->kv_outage;
}

void
cut_off_leader_at_random (Sim *sim, gpointer data)
{
  int leader = sim_leader (sim);
  SimNode *node = &sim->nodes[MAX (leader, 0)];
  switch (g_rand_int_range (sim->rand, 0, 4))
    {
    case 0:
      node->cut_off_from_kv = TRUE;
      break;
    case 1:
      node->refused_by_kv = TRUE;
      break;
    case 2:
      node->cut_off_from_workers = TRUE;
      break;
    default:
      node->cut_off_from_kv = node->cut_off_from_peers = TRUE;
      break;
    }
}

void
heal_controllers (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    sim->nodes[i].cut_off_from_kv = sim->nodes[i].refused_by_kv = sim->nodes[i].cut_off_from_workers =
        sim->nodes[i].cut_off_from_peers = FALSE;
}

void
fail_random_machine (Sim *sim, gpointer data)
{
  SimMachine *machine;
  if (!sim->machines->len)
    return;
  machine = sim->machines->pdata[g_rand_int_range (sim->rand, 0, (gint32) sim->machines->len)];
  switch (g_rand_int_range (sim->rand, 0, 4))
    {
    case 0:
      machine->partitioned = !machine->partitioned;
      break;
    case 1:
      machine->hung = !machine->hung;
      break;
    case 2:
      machine->faulty = !machine->faulty;
      break;
    default:
      machine->crashed = TRUE; /* its tasks are lost */
      g_ptr_array_set_size (machine->tasks, 0);
      break;
    }
}

/* Returns: a machine that has tasks and that the leader has in that state; NULL if there is none. */
static SimMachine *
find_machine_in_state_with_tasks (Sim *sim, HzbMachineState state)
{
  HzbController *controller = sim->nodes[MAX (sim_leader (sim), 0)].controller;
  for (guint i = 0; controller && i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      const HzbMachine *machine_of_leader = hzb_machines_find (controller->machines, machine->name);
      if (machine->tasks->len && !machine->terminated && machine_of_leader && machine_of_leader->state == state)
        return machine;
    }
  return NULL;
}

void
add_arrays (Sim *sim, guint jobs)
{
  for (guint i = 0; i < jobs; i++)
    sim_add_job (sim, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 20)->type = "small";
}

SimMachine *
run_until_machine_is (Sim *sim, HzbMachineState state)
{
  SimMachine *machine = NULL;
  while (!machine && sim->now < 60)
    {
      sim_run (sim, sim->now + 0.5);
      machine = find_machine_in_state_with_tasks (sim, state);
    }
  g_assert_nonnull (machine);
  return machine;
}

SimMachine *
find_machine_with_tasks (Sim *sim)
{
  for (guint i = 0; i < sim->machines->len; i++)
    if (((SimMachine *) sim->machines->pdata[i])->tasks->len)
      return sim->machines->pdata[i];
  return NULL;
}

char last_response_body[400];

void
capture_status (HzbHttpRequest *http_request, guint status, const char *body, guint retry)
{
  guint *out = http_request->impl;
  *out = status;
  g_strlcpy (last_response_body, body ? body : "", sizeof last_response_body);
}

guint
send_heartbeat_to (Sim *sim, guint node, SimMachine *machine, guint64 agent_epoch, guint64 sequence,
                   const char *task_statuses)
{
  HzbHttpRequest *http_request = g_new0 (HzbHttpRequest, 1);
  guint status = 0;
  http_request->method = g_strdup ("POST");
  http_request->path = g_strdup ("/hello");
  http_request->body =
      g_strdup_printf ("{\"host\":\"%s\",\"addr\":\"10.1.0.1:1\",\"flavor\":\"%s\",\"yard\":\"%s\","
                       "\"loaners\":false,\"tenure\":%u,\"tick\":%u,\"baton\":%" G_GUINT64_FORMAT ",\"pieces\":[%s]}",
                       machine->name, machine->type, machine->zone, (guint) agent_epoch, (guint) sequence,
                       machine->fencing_token, task_statuses);
  http_request->length = strlen (http_request->body);
  http_request->reply = capture_status;
  http_request->impl = &status;
  hzb_controller_handle_request (http_request, sim->nodes[node].controller);
  return status;
}

guint
send_heartbeat_to_leader (Sim *sim, SimMachine *machine, guint64 agent_epoch, guint64 sequence,
                          const char *task_statuses)
{
  return send_heartbeat_to (sim, (guint) sim_leader (sim), machine, agent_epoch, sequence, task_statuses);
}

guint
count_running_tasks (const Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    {
      const SimMachine *machine = sim->machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len && !machine->terminated; k++)
        n += ((SimTask *) machine->tasks->pdata[k])->state == SIM_TASK_RUNNING;
    }
  return n;
}

SimJob *
add_service (Sim *sim, double at, const char *team, guint n, double cpus, double cancel_at)
{
  SimJob *job = sim_add_job (sim, at, team, n, cpus, 1e9);
  job->job_class = "service";
  job->service = job->spread = job->wants_cancel = TRUE;
  job->spot = FALSE;
  job->cancel_at = cancel_at;
  return job;
}

/* Reply function of a request: stores the status and the Retry-After in the two guints of HzbHttpRequest.impl. */
static void
capture_status_and_retry (HzbHttpRequest *http_request, guint status, const char *body, guint retry)
{
  guint *out = http_request->impl;
  out[0] = status;
  out[1] = retry;
  g_strlcpy (last_response_body, body ? body : "", sizeof last_response_body);
}

guint
user_request (Sim *sim, guint node, const char *method, const char *path, const char *body, guint *retry)
{
  HzbHttpRequest *http_request = g_new0 (HzbHttpRequest, 1);
  guint out[2] = { 0 };
  http_request->method = g_strdup (method);
  http_request->path = g_strdup (path);
  http_request->body = g_strdup (body);
  http_request->length = strlen (body);
  http_request->reply = capture_status_and_retry;
  http_request->impl = out;
  hzb_controller_handle_request (http_request, sim->nodes[node].controller);
  sim_run (sim, sim->now + 3);
  if (retry)
    *retry = out[1];
  return out[0];
}

static const char service_request_format[] =
    "{\"uid\":\"run-%06u\",\"lane\":\"web\",\"owner\":\"%s\",\"shape\":\"standing\",\"urgency\":\"production\",\"pieces\":%u,"
    "\"cpus\":%g,\"gpus\":0,\"ramGb\":1,\"bundle\":\"img\",\"sizeGb\":0.5,\"samePlace\":false,\"spread\":false,"
    "\"loaners\":true,\"expectS\":%s,\"snapshotEveryS\":0,\"snapshotS\":0}";

guint
submit_service (Sim *sim, guint node, guint uid, const char *team, guint n, double cpus, const char *expect,
                guint *retry)
{
  g_autofree char *body = g_strdup_printf (service_request_format, uid, team, n, cpus, expect);
  return user_request (sim, node, "POST", "/api/jobs", body, retry);
}

guint
submit_service_with (Sim *sim, guint node, guint uid, const char *field, const char *value)
{
  g_autofree char *body = g_strdup_printf (service_request_format, uid, "red", 2, 1.0, "0");
  g_autofree char *text = NULL;
  cJSON *root = cJSON_Parse (body);
  cJSON_DeleteItemFromObject (root, field);
  if (value)
    cJSON_AddRawToObject (root, field, value);
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return user_request (sim, node, "POST", "/api/jobs", text, NULL);
}

void
add_many_arrays (Sim *sim, guint n, double over_s, double run_s)
{
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *team = i % 8 < 2 ? g_strdup (i % 8 ? "blue" : "red") : g_strdup_printf ("team-%02u", i % 8);
      sim_add_job (sim, 1 + over_s * i / n, team, (guint) g_rand_int_range (sim->rand, 10, 60), 1,
                   g_rand_double_range (sim->rand, 0.5 * run_s, 1.5 * run_s))
          ->spot = TRUE;
    }
}

Sim *
start_large_fleet (guint32 seed, guint machines, guint jobs, double run_s)
{
  Sim *sim = sim_new_with_config (seed, &sim_config_large);
  for (guint i = 0; i < machines; i++)
    sim_add_machine (sim, i % 3 ? "small" : "big", i % 2 ? "za" : "zb", TRUE, g_rand_double_range (sim->rand, 1, 5));
  add_many_arrays (sim, jobs, 10, run_s);
  sim_run (sim, 25);
  expect_no_violation (sim, "a large fleet under load", seed);
  return sim;
}

void
cancel_all_jobs (Sim *sim)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      SimJob *job = sim->jobs->pdata[i];
      job->wants_cancel = TRUE;
      job->cancel_at = sim->now;
    }
}
