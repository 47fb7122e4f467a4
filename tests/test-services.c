/* Services: jobs whose replicas run until the job is cancelled, on other machines if theirs fail or are reclaimed. */
#include "sim-faults.h"

#include <string.h>

/* Guards against services that lose replicas or are taken for done: replicas have to be restarted until their job is
 * cancelled, after crashes of machines, after reclaim notices and when they end by themselves. */
static void
test_replicas_restart_until_cancelled (void)
{
  for (guint32 seed = 400; seed < 406; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *steady_service = add_service (sim, 3, "red", 4, 1, 120),
             *restarting_service = add_service (sim, 4, "blue", 3, 1, 120);
      SimMachine *machine;
      restarting_service->run_s = 9;
      for (guint i = 0; i < 6; i++)
        sim_add_job (sim, 1 + i, i % 2 ? "red" : "blue", 5, 2, 12);
      sim_run (sim, 50);
      g_assert_cmpfloat (steady_service->replica_unserved_s, <, 0.1 * steady_service->replica_requested_s);
      g_assert_cmpfloat (restarting_service->replica_unserved_s, <, 0.6 * restarting_service->replica_requested_s);
      machine = find_machine_with_tasks (sim);
      if (seed % 2)
        {
          machine->crashed = TRUE;
          g_ptr_array_set_size (machine->tasks, 0);
        }
      else
        machine->reclaim_at = sim->now + 8;
      sim->faults_over_at = sim->now + 15;
      sim_run (sim, 118);
      g_assert_false (steady_service->confirmed_done || restarting_service->confirmed_done);
      g_assert_cmpfloat (steady_service->replica_unserved_s, <, 0.4 * steady_service->replica_requested_s);
      sim_run (sim, 300);
      g_assert_true (steady_service->confirmed_cancelled && restarting_service->confirmed_cancelled);
      expect_all_finished (sim, "replicas restart until cancelled", seed);
      sim_free (sim);
    }
}

/* Guards against a production service that waits on a full fleet: it has to preempt lower classes at once, and also
 * work of its own team if the team is at its limit. */
static void
test_service_preempts_lower_classes (void)
{
  Sim *sim = sim_new (410);
  SimJob *service;
  for (guint i = 0; i < 8; i++)
    sim_add_job (sim, 1 + 0.1 * i, i % 2 ? "red" : "blue", 6, 4, 200);
  sim_run (sim, 40);
  service = add_service (sim, 40, "red", 4, 2, 120);
  sim_run (sim, 110);
  g_assert_cmpfloat (service->replica_requested_s, >, 200);
  g_assert_cmpfloat (service->replica_unserved_s, <, 0.3 * service->replica_requested_s);
  sim_free (sim);
}

/* Guards against work that waits without end because capacity is kept free as headroom for replicas: the headroom has
 * to be given up while other work has waited for long. */
static void
test_headroom_yields_to_waiting_work (void)
{
  Sim *sim = sim_new (412);
  add_service (sim, 2, "red", 2, 1, 260);
  for (guint i = 0; i < 10; i++)
    {
      SimJob *job = sim_add_job (sim, 8 + 0.1 * i, i % 2 ? "red" : "blue", 8, 2, 60);
      job->spot = FALSE;
      job->type = "big";
    }
  sim->config.machines = 3;
  sim->faults_over_at = 20;
  sim_run (sim, 900);
  expect_all_finished (sim, "headroom yields to waiting work", 412);
  sim_free (sim);
}

/* Guards against a service that waits because the only eligible machines are leased to other controllers and full of
 * long work: the leader has to recall them, and the work on them has to be preempted. */
static void
test_leased_machine_recalled_for_service (void)
{
  for (guint32 seed = 413; seed < 417; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *service;
      guint n_leased = 0;
      HzbController *controller;
      for (guint i = 0; i < 8; i++)
        {
          SimJob *job = sim_add_job (sim, 1 + 0.1 * i, i % 2 ? "red" : "blue", 6, 2, 300);
          job->spot = FALSE;
          job->zone = i % 4 < 2 ? "za" : "zb";
        }
      sim_run (sim, 30);
      controller = sim->nodes[sim_leader (sim)].controller;
      for (guint i = 0; i < controller->machines->all->len; i++)
        n_leased += ((HzbMachine *) controller->machines->all->pdata[i])->state == HZB_MACHINE_LEASED;
      g_assert_cmpuint (n_leased, >, 0);
      sim->config.machines = 0; /* the cloud has no capacity left */
      service = add_service (sim, 30, "red", 4, 1, 120);
      sim_run (sim, 110);
      g_assert_cmpfloat (service->replica_unserved_s, <, 0.05 * service->replica_requested_s);
      expect_no_violation (sim, "leased machine recalled for service", seed);
      sim_free (sim);
    }
}

/* Submits each invalid service to this node, under ids from uid on. Each has to get its documented status, and must not
 * be accepted. */
static void
expect_invalid_services_refused (Sim *sim, guint node, guint uid)
{
  static const struct
  {
    const char *field, *value;
    guint status;
  } invalid_fields[] = {
    { "expectS", "5", 400 },
    { "expectS", NULL, 400 },
    { "pieces", "0", 400 },
    { "pieces", "1.5", 400 },
    { "shape", "\"standin\"", 400 },
    { "urgency", NULL, 400 },
    { "spread", "1", 400 },
    { "flavors", "7", 400 },
    { "flavors", "[\"huge\"]", 422 },
    { "yard", "\"nowhere\"", 422 },
    { "owner", "\"nobody\"", 422 },
    { "pieces", "25", 422 },
    { "cpus", "9", 422 },
    { "gpus", "1", 422 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (invalid_fields); i++, uid++)
    {
      g_autofree char *path = g_strdup_printf ("/api/jobs/run-%06u", uid);
      g_assert_cmpuint (submit_service_with (sim, node, uid, invalid_fields[i].field, invalid_fields[i].value), ==,
                        invalid_fields[i].status);
      g_assert_nonnull (strstr (last_response_body, "\"error\""));
      g_assert_cmpuint (user_request (sim, (node + 1) % SIM_NODES, "GET", path, "", NULL), ==, 404);
    }
}

/* Guards against invalid requests that a node accepts, or answers with another status than the documented one. */
static void
test_invalid_requests (void)
{
  Sim *sim = sim_new (411);
  SimJob *job = sim_add_job (sim, 1, "red", 4, 2, 8);
  guint retry_after_s = 0;
  g_autofree char *path = NULL;
  /* A controller that has just started can refuse malformed requests only. */
  g_assert_cmpuint (submit_service (sim, 0, 1, "red", 0, 1, "0", NULL), ==, 400);
  sim_run (sim, 25);
  for (guint node = 0; node < SIM_NODES; node++)
    {
      guint uid = 10 * (node + 1);
      expect_invalid_services_refused (sim, node, 200 + 100 * node);
      g_assert_cmpuint (submit_service (sim, node, uid, "red", 30, 1, "0", NULL), ==,
                        422); /* the replicas together exceed the team's limit of 24 CPUs */
      g_assert_cmpuint (submit_service (sim, node, uid + 1, "red", 2, 20, "0", NULL), ==,
                        422); /* no machine type has 20 CPUs */
      g_assert_cmpuint (submit_service (sim, node, uid + 2, "nobody", 2, 1, "0", NULL), ==, 422);
      g_assert_cmpuint (submit_service (sim, node, uid + 3, "red", 2, 1, "\"long\"", NULL), ==, 400);
      g_assert_cmpuint (submit_service (sim, node, uid + 4, "red", 2, 1, "-1", NULL), ==, 400);
      g_assert_cmpuint (user_request (sim, node, "GET", "/api/jobs/run-000010", "", NULL), ==, 404);
      g_assert_cmpuint (submit_service (sim, node, uid + 5, "red", 2, 1, "0", NULL), ==, 201);
      g_assert_cmpuint (submit_service (sim, (node + 1) % SIM_NODES, uid + 5, "red", 2, 1, "0", NULL), ==,
                        200); /* a repeated submission */
    }
  sim_run (sim, sim->now + 20);
  g_assert_true (job->confirmed_done);
  path = g_strdup_printf ("/api/jobs/%s/cancel", job->uid);
  g_assert_cmpuint (user_request (sim, 1, "POST", path, "", NULL), ==, 200);
  sim->kv_outage = TRUE;
  sim_run (sim, sim->now + 6);
  for (guint node = 0; node < SIM_NODES; node++)
    {
      g_assert_cmpuint (submit_service (sim, node, 90, "red", 30, 1, "0", &retry_after_s), ==, 503);
      g_assert_cmpuint (retry_after_s, >, 0);
      g_assert_cmpuint (submit_service (sim, node, 91, "red", 2, 1, "0", &retry_after_s), ==, 503);
      g_assert_cmpuint (user_request (sim, node, "POST", path, "", NULL), ==,
                        200); /* the job is done, as its user was told before */
    }
  sim_free (sim);
}

static gboolean
is_alive (const SimMachine *machine)
{
  return !machine->terminated && !machine->crashed;
}

static double
cpus_rented (Sim *sim)
{
  double total = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    total += is_alive (sim->machines->pdata[i]) ? ((SimMachine *) sim->machines->pdata[i])->cpus : 0;
  return total;
}

/* Only services run. Guards against surplus machines: replicas and their headroom have to get the machines that they
 * need, and no more. Guards also against progress records that still name services after their end. */
static void
test_services_only (void)
{
  for (guint32 seed = 470; seed < 474; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *services[3];
      for (guint i = 0; i < 3; i++)
        services[i] = add_service (sim, 2 + 10 * i, i % 2 ? "red" : "blue", 2 + i, 1, 150);
      sim_run (sim, 60);
      for (guint t = 60; t < 150; t += 10)
        {
          sim_run (sim, t);
          /* 9 replicas of 1 CPU, headroom of 5 CPUs in each of two zones, and one partly used machine in each */
          g_assert_cmpfloat (cpus_rented (sim), <=, 9 + 2 * 5 + 2 * 8);
        }
      for (guint i = 0; i < 3; i++)
        g_assert_cmpfloat (services[i]->replica_unserved_s, <, 0.05 * services[i]->replica_requested_s);
      sim->faults_over_at = 30;
      sim_run (sim, 400);
      expect_all_finished (sim, "services only", seed);
      g_assert_cmpfloat (cpus_rented (sim), ==, 0);
      g_assert_cmpuint (sim_largest_record (sim, "hzb/x/progress/"), ==, 0);
      sim_free (sim);
    }
}

/* Guards against unused capacity and starved jobs when there are more services than the fleet can hold: those that fit
 * have to run, and a cancelled one has to make room for others. */
static void
test_more_services_than_capacity (void)
{
  for (guint32 seed = 480; seed < 484; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *first, *second, *batch = sim_add_job (sim, 1, "blue", 4, 1, 30);
      double cpus_in_use;
      sim->config.machines = 3;
      first = add_service (sim, 3, "red", 10, 2, 120);
      second = add_service (sim, 4, "blue", 10, 2, 260);
      first->spread = second->spread = FALSE;
      sim_run (sim, 110);
      cpus_in_use = 2 * (sim_count_running_tasks (sim, first, NULL) + sim_count_running_tasks (sim, second, NULL));
      g_assert_cmpfloat (cpus_in_use, >=, cpus_rented (sim) - 2);
      sim_run (sim, 160);
      g_assert_true (first->confirmed_cancelled);
      g_assert_cmpuint (2 * sim_count_running_tasks (sim, second, NULL), >=, MIN (20, cpus_rented (sim) - 2));
      sim_run (sim, 255);
      g_assert_cmpuint (user_request (sim, 0, "GET", "/api/jobs/run-100002", "", NULL), ==, 200);
      sim->faults_over_at = 300;
      sim_run (sim, 450);
      g_assert_true (batch->confirmed_done);
      expect_all_finished (sim, "more services than capacity", seed);
      sim_free (sim);
    }
}

/* Guards against records that grow with the number of completed services. Many services are submitted and cancelled, as
 * over months: completed ones have to move from the replicated records to the archive, every node has to answer status
 * queries about them, and the leader's pages of progress must not name any of them. */
static void
test_months_of_services (void)
{
  SimConfig config = sim_config_small;
  Sim *sim;
  guint n_replicated = 0;
  config.max_replicated_completed = 4;
  sim = sim_new_with_config (490, &config);
  for (guint i = 0; i < 80; i++)
    {
      double at = 1 + 2 * i;
      add_service (sim, at, i % 2 ? "red" : "blue", 1, 1, at + 6);
    }
  sim_schedule (sim, 70, crash_all_controllers, NULL);
  sim_run (sim, 400);
  for (guint node = 0; node < SIM_NODES; node++)
    {
      n_replicated = g_hash_table_size (sim->nodes[node].controller->jobs->by_uid);
      g_assert_cmpuint (n_replicated, ==, config.max_replicated_completed);
    }
  for (guint i = 0; i < sim->jobs->len; i += 7)
    {
      g_autofree char *path = g_strdup_printf ("/api/jobs/%s", ((SimJob *) sim->jobs->pdata[i])->uid);
      g_assert_cmpuint (user_request (sim, i % SIM_NODES, "GET", path, "", NULL), ==, 200);
      g_assert_nonnull (strstr (last_response_body, "cancelled"));
    }
  g_assert_cmpuint (sim_largest_record (sim, "hzb/x/progress/"), ==, 0);
  expect_all_finished (sim, "months of services", 490);
  sim_free (sim);
}

/* Guards against replicas that run on after the cancellation of their service: the service is cancelled while one of
 * its replicas moves to another machine, or while one of its machines hangs and resumes later. In some runs a
 * controller crashes as well. */
static void
test_cancelled_while_replica_moves (void)
{
  for (guint32 seed = 500; seed < 512; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *service = add_service (sim, 2, "red", 4, 2, 60);
      SimMachine *machine;
      add_service (sim, 4, "blue", 2, 1, 200);
      sim_run (sim, 60 - g_rand_double_range (sim->rand, 0, 3));
      machine = find_machine_with_tasks (sim);
      if (seed % 2)
        machine->reclaim_at = sim->now + 5;
      else
        machine->hung = TRUE;
      if (seed % 3 == 0)
        sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 0, 3), crash_random_controller, NULL);
      sim_run (sim, 60 + g_rand_double_range (sim->rand, 2, 14));
      machine->hung = FALSE; /* the worker resumes, before or after its lease has expired */
      start_all_controllers (sim, NULL);
      sim_run (sim, 120);
      g_assert_true (service->confirmed_cancelled);
      g_assert_cmpuint (sim_count_running_tasks (sim, service, NULL), ==, 0);
      sim->faults_over_at = 130;
      sim_run (sim, 330);
      expect_all_finished (sim, "cancelled while replica moves", seed);
      sim_free (sim);
    }
}

/* One of two zones is lost. Guards against interrupted replicas in the other zone, and against replicas that move
 * there although the job is spread: half of the replicas have to run on, and the others have to wait until the
 * zone is back. */
static void
test_zone_loss (void)
{
  for (guint32 seed = 520; seed < 524; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *service = add_service (sim, 2, "red", 4, 2, 200);
      sim_run (sim, 40);
      g_assert_cmpuint (sim_count_running_tasks (sim, service, "za"), ==, 2);
      g_assert_cmpuint (sim_count_running_tasks (sim, service, "zb"), ==, 2);
      sim->zone_without_capacity = "za";
      for (guint i = 0; i < sim->machines->len; i++)
        {
          SimMachine *machine = sim->machines->pdata[i];
          if (!g_str_equal (machine->zone, "za"))
            continue;
          machine->crashed = TRUE;
          g_ptr_array_set_size (machine->tasks, 0);
        }
      for (guint t = 41; t < 120; t++)
        {
          sim_run (sim, t);
          g_assert_cmpuint (sim_count_running_tasks (sim, service, "zb"), ==, 2);
        }
      sim->zone_without_capacity = NULL;
      sim_run (sim, 190);
      g_assert_cmpuint (sim_count_running_tasks (sim, service, "za"), ==, 2);
      sim->faults_over_at = 190;
      sim_run (sim, 330);
      expect_all_finished (sim, "zone loss", seed);
      sim_free (sim);
    }
}

/* Guards against a service that is split between zones, or that can't restart, although its replicas have to be in
 * one zone: a replica whose machine crashed restarts in the zone of the others; if all crashed, they restart in
 * any zone. */
static void
test_same_zone_service (void)
{
  for (guint32 seed = 530; seed < 536; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *service = add_service (sim, 2, "red", 6, 2, 200);
      SimMachine *machine;
      service->spread = FALSE;
      service->same_zone = TRUE;
      sim_run (sim, 40);
      g_assert_cmpuint (
          MAX (sim_count_running_tasks (sim, service, "za"), sim_count_running_tasks (sim, service, "zb")), ==, 6);
      machine = find_machine_with_tasks (sim);
      for (guint i = 0; i < sim->machines->len; i++)
        {
          SimMachine *other = sim->machines->pdata[i];
          if (seed % 2 ? other != machine : !g_str_equal (other->zone, machine->zone))
            continue;
          other->crashed = TRUE;
          g_ptr_array_set_size (other->tasks, 0);
        }
      if (seed % 2 == 0)
        sim->zone_without_capacity = machine->zone;
      sim_run (sim, 120);
      g_assert_cmpuint (
          MAX (sim_count_running_tasks (sim, service, "za"), sim_count_running_tasks (sim, service, "zb")), ==, 6);
      sim->faults_over_at = 120;
      sim_run (sim, 330);
      expect_all_finished (sim, "same zone service", seed);
      sim_free (sim);
    }
}

/* Guards against a tight loop of restarts: replicas that end or fail as soon as they start have to be restarted with an
 * increasing back-off. No machine may be returned because of them, other work has to go on, and the service has to stay
 * known so that it can be cancelled. */
static void
test_crash_looping_replicas (void)
{
  for (guint32 seed = 540; seed < 544; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *restarting_service = add_service (sim, 3, "red", 3, 1, 150),
             *healthy_service = add_service (sim, 4, "blue", 3, 1, 150);
      guint started_before;
      restarting_service->run_s = seed % 2 ? 0.01 : 1e9;
      restarting_service->always_fails = seed % 2 == 0;
      for (guint i = 0; i < 6; i++)
        sim_add_job (sim, 5 + 4 * i, i % 2 ? "red" : "blue", 4, 1, 10);
      sim_run (sim, 60);
      started_before = sim->tasks_started;
      sim_run (sim, 120);
      g_test_message ("seed %u: %u task starts within 60 s", seed, sim->tasks_started - started_before);
      g_assert_cmpuint (sim->tasks_started - started_before, <=, 3 * 60 / 8);
      sim_run (sim, 148);
      g_assert_cmpuint (sim->tasks_started - started_before, >=, 1);
      g_assert_cmpfloat (healthy_service->replica_unserved_s, <, 0.05 * healthy_service->replica_requested_s);
      sim_run (sim, 300);
      expect_all_finished (sim, "crash looping replicas", seed);
      sim_free (sim);
    }
}

/* Guards against a next leader that starts nothing until all machines have sent heartbeats. The leader crashes just
 * after it has released the replicas of a service, and spot machines are partitioned from then on. The service may not
 * run on spot machines, so the next leader has to start it as soon as the on-demand machines have sent heartbeats; a
 * job that may run on spot machines waits for them. */
static void
test_failover_waits_for_eligible_machines_only (void)
{
  for (guint32 seed = 550; seed < 558; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *service, *batch = sim_add_job (sim, 1, "blue", 10, 1, 200);
      HzbController *controller;
      HzbJob *controller_job = NULL;
      guint leader;
      double loaded_at;
      add_service (sim, 2, "red", 3, 1, 400); /* makes the leader rent on-demand machines */
      sim_run (sim, 40);
      service = add_service (sim, 40, "red", 4, 1, 400);
      leader = (guint) sim_leader (sim);
      controller = sim->nodes[leader].controller;
      while (!controller_job || !controller_job->released)
        {
          sim_run (sim, sim->now + 0.05);
          controller_job = hzb_jobs_find (controller->jobs, service->uid);
        }
      sim_crash (sim, leader);
      for (guint i = 0; i < sim->machines->len; i++)
        {
          SimMachine *machine = sim->machines->pdata[i];
          machine->partitioned = machine->spot;
        }
      while (sim_leader (sim) < 0
             || !hzb_ownership_is_loaded_leader (sim->nodes[sim_leader (sim)].controller->ownership))
        sim_run (sim, sim->now + 0.1);
      loaded_at = sim->now;
      sim_run (sim,
               loaded_at + 8); /* a worker's heartbeat times out after 4 s; the worker then tries another controller */
      g_assert_cmpuint (sim_count_running_tasks (sim, service, NULL), ==, 4);
      controller = sim->nodes[sim_leader (sim)].controller;
      g_assert_cmpint (hzb_ownership_state (controller->ownership), ==, HZB_OWNERSHIP_RECOVERING);
      g_assert_cmpuint (hzb_jobs_find (controller->jobs, batch->uid)->unconfirmed, >, 0);
      sim_start (sim, leader);
      sim_run (sim, sim->now + 5);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
      sim_run (sim, 600);
      expect_all_finished (sim, "failover waits for eligible machines only", seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/services/replicas-restart-until-cancelled", test_replicas_restart_until_cancelled);
  g_test_add_func ("/services/service-preempts-lower-classes", test_service_preempts_lower_classes);
  g_test_add_func ("/services/headroom-yields-to-waiting-work", test_headroom_yields_to_waiting_work);
  g_test_add_func ("/services/leased-machine-recalled-for-service", test_leased_machine_recalled_for_service);
  g_test_add_func ("/services/invalid-requests", test_invalid_requests);
  g_test_add_func ("/services/services-only", test_services_only);
  g_test_add_func ("/services/more-services-than-capacity", test_more_services_than_capacity);
  g_test_add_func ("/services/months-of-services", test_months_of_services);
  g_test_add_func ("/services/cancelled-while-replica-moves", test_cancelled_while_replica_moves);
  g_test_add_func ("/services/zone-loss", test_zone_loss);
  g_test_add_func ("/services/same-zone-service", test_same_zone_service);
  g_test_add_func ("/services/crash-looping-replicas", test_crash_looping_replicas);
  g_test_add_func ("/services/failover-waits-for-eligible-machines-only",
                   test_failover_waits_for_eligible_machines_only);
  return g_test_run ();
}
