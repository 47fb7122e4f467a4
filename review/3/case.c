/* A gang that its own team's limit does not allow to start, while another team submits work within its guarantee. */
#include "lab.h"

#define LONG_RUN_S 600.0
#define WAITING_S 90.0 /* the bound of the rule */
#define GANG_WAITS_S 6.0

static const MachineType types[] = {
  { "defter", 4, 32, 0.3, 0.11, 15, { "osmangazi", "nilufer", "yildirim" } },
  { "kasa", 8, 32, 0.52, 0.21, 25, { "osmangazi", "yildirim" } },
};
static const char *const zones[] = { "osmangazi", "nilufer", "yildirim", NULL };
static const char *const sites[] = { "osmangazi", "nilufer", "yildirim" };
static const Team teams[] = { { "bordro-ekibi-00", 24, 64 }, { "bordro-ekibi-01", 24, 64 } };
static const Deployment kaya_bordro = {
  .controllers = 3,
  .zones = zones,
  .sites = sites,
  .teams = teams,
  .n_teams = 2,
  .skew_ms = 25,
  .report_s = 1.5,
  .lease_s = 10,
  .gang_wait_s = 35,
  .gang_peer_s = 5,
  .cancel_s = 30,
  .kv_rps = 250,
  .kv_write_rps = 20,
  .value_kb = 16,
  .txn_ops = 16,
  .cloud_rps = 8,
  .list_lag_s = 8,
  .cpu_share = 0.12,
  .mem_mb = 72,
  .sockets = 1200,
};

/* Returns: a machine that reports, gets answers and has room for a task of the job; NULL: none */
static const Machine *
find_room (const Job *job)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = machines->pdata[i];
      if (!machine->gone && lab_now_s () - machine->last_answer_at < 2 * kaya_bordro.report_s
          && machine->last_answer_at > 0 && machine_free_cpus (machine) >= job->cpus
          && machine_free_memory_gb (machine) >= job->memory_gb)
        return machine;
    }
  return NULL;
}

static Job *
submit (const char *uid, const char *lane, const char *owner, const char *shape, const char *urgency, guint pieces,
        double cpus, double memory_gb, double run_s)
{
  Job *job = job_add (uid, pieces, cpus, memory_gb, run_s, g_str_equal (shape, "ensemble"));
  g_autofree char *body = submission_new (job, lane, owner, shape, urgency, 0.4, run_s);
  if (user_submit (0, body, 30) != 201)
    lab_end (NOT_RUN, "a job was not accepted");
  return job;
}

int
main (int argc, char **argv)
{
  Job *filling, *waiting;
  double with_room_since = -1, next_poll = 0;

  lab_begin (argc > 1 ? argv[1] : "record.txt", 118);
  workers_start (kaya_bordro.report_s, kaya_bordro.lease_s);
  kv_store_start (kaya_bordro.kv_rps, kaya_bordro.kv_write_rps);
  cloud_start (types, G_N_ELEMENTS (types), kaya_bordro.list_lag_s, 1.5);
  controllers_start (&kaya_bordro);
  if (!controllers_wait_ready (15))
    lab_end (NOT_RUN, "the controllers did not get ready");
  /* 15 tasks of 4 CPUs: 60 of the 64 CPUs that the team may use. */
  filling = submit ("run-000001", "arsiv-tarama", "bordro-ekibi-00", "ensemble", "normal", 15, 4, 4.2, LONG_RUN_S);
  for (guint i = 0; i < 60 && job_count_on_machines (filling) < filling->pieces; i++)
    lab_run (0.25);
  if (job_count_on_machines (filling) < filling->pieces)
    lab_end (NOT_RUN, "the first job did not start in time");
  record ("%s runs: team bordro-ekibi-00 uses 60 of its 64 CPUs", filling->uid);
  if (lab_with_trouble ())
    submit ("run-000002", "acil-bordro", "bordro-ekibi-00", "ensemble", "urgent", 2, 3, 3.3, 25);
  lab_run (GANG_WAITS_S);
  waiting = submit ("run-000003", "maas-hesap", "bordro-ekibi-01", "sweep", "normal", 4, 1, 2.7, 10);
  while (!waiting->started)
    {
      const Machine *room = find_room (waiting);
      if (!room)
        with_room_since = -1;
      else if (with_room_since < 0)
        {
          with_room_since = lab_now_s ();
          record ("%s waits; %s has %g free CPUs and %g GB; team bordro-ekibi-01 uses 0 of its 24 guaranteed CPUs",
                  waiting->uid, room->name, machine_free_cpus (room), machine_free_memory_gb (room));
        }
      else if (lab_now_s () - with_room_since >= WAITING_S)
        lab_end (RULE_BROKEN, "a job within its team's guarantee waited 90 s while a machine that fits had room");
      if (lab_now_s () >= next_poll)
        {
          lab_user_request (1, "GET", "/api/jobs/run-000003", NULL, 2, NULL);
          next_poll = lab_now_s () + 5;
        }
      lab_run (0.25);
    }
  record ("a task of %s is started", waiting->uid);
  lab_end (RULE_HELD, "the job within its team's guarantee started");
}
