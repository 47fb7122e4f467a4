/* A gang that is to be spread over zones. Beside it one long task of another team keeps a machine up; nothing else runs. */
#include "lab.h"

#include <string.h>

#define RUN_S 20.0
#define LONG_RUN_S 600.0
#define WAITING_S 90.0 /* the bound of the rule */

static const MachineType types[] = {
  { "pestle", 16, 64, 1.1, 0.43, 15, { "seeb", "bawshar", "sohar", "nizwa" } },
  { "mortar", 64, 256, 4.75, 2.13, 50, { "seeb", "bawshar" } },
};
static const char *const zones[] = { "bawshar", "nizwa", "seeb", "sohar", NULL };
static const char *const sites[] = { "seeb", "bawshar", "seeb" };
static const Team teams[] = { { "refill-desk-00", 56, 250 }, { "refill-desk-01", 56, 250 } };
static const Deployment sahla_refill = {
  .controllers = 3,
  .zones = zones,
  .sites = sites,
  .teams = teams,
  .n_teams = 2,
  .skew_ms = 5,
  .report_s = 2,
  .lease_s = 16,
  .gang_wait_s = 40,
  .gang_peer_s = 8,
  .cancel_s = 41,
  .kv_rps = 80,
  .kv_write_rps = 30,
  .value_kb = 16,
  .txn_ops = 24,
  .cloud_rps = 4,
  .list_lag_s = 3,
  .cpu_share = 0.04,
  .mem_mb = 56,
  .sockets = 700,
};

/* Returns: a machine that reports, gets answers and has room for a task of the job; NULL: none */
static const Machine *
find_room (const Job *job)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = machines->pdata[i];
      if (!machine->gone && machine->last_answer_at > 0
          && lab_now_s () - machine->last_answer_at < 2 * sahla_refill.report_s
          && machine_free_cpus (machine) >= job->cpus && machine_free_memory_gb (machine) >= job->memory_gb)
        return machine;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  g_autofree char *body = NULL, *long_body = NULL;
  double with_room_since = -1, next_poll = 0;
  Job *job, *long_job;

  lab_begin (argc > 1 ? argv[1] : "record.txt", 118);
  workers_start (sahla_refill.report_s, sahla_refill.lease_s);
  kv_store_start (sahla_refill.kv_rps, sahla_refill.kv_write_rps);
  cloud_start (types, G_N_ELEMENTS (types), sahla_refill.list_lag_s, 1.5);
  controllers_start (&sahla_refill);
  if (!controllers_wait_ready (15))
    lab_end (NOT_RUN, "the controllers did not get ready");
  long_job = job_add ("run-000398", 1, 2, 6.2, LONG_RUN_S, FALSE);
  long_body = submission_new (long_job, "refill-batch", "refill-desk-01", "sweep", "normal", 1, LONG_RUN_S);
  if (user_submit (0, long_body, 30) != 201)
    lab_end (NOT_RUN, "the long job was not accepted");
  for (guint i = 0; i < 80 && !job_count_on_machines (long_job); i++)
    lab_run (0.25);
  if (!job_count_on_machines (long_job))
    lab_end (NOT_RUN, "the long job did not start in time");
  job = job_add ("run-000412", 4, 4, 9.2, RUN_S, TRUE);
  body = submission_new (job, "urgent-refill", "refill-desk-00", "ensemble", "urgent", 0.9, RUN_S);
  if (lab_with_trouble ())
    {
      char *spread = strstr (body, "\"spread\":false");
      memcpy (spread, "\"spread\":true ", strlen ("\"spread\":false"));
    }
  if (user_submit (0, body, 30) != 201)
    lab_end (NOT_RUN, "the job was not accepted");
  while (job_count_on_machines (job) < job->pieces)
    {
      const Machine *room = find_room (job);
      if (!room)
        with_room_since = -1;
      else if (with_room_since < 0)
        {
          with_room_since = lab_now_s ();
          record (
              "%s waits; %s in %s has %g free CPUs and %g GB; its team uses 0 of 250 CPUs; the cloud refuses nothing",
              job->uid, room->name, room->zone, machine_free_cpus (room), machine_free_memory_gb (room));
        }
      else if (lab_now_s () - with_room_since >= WAITING_S)
        lab_end (RULE_BROKEN, "an accepted job does not run: it waited 90 s, without any trouble");
      if (lab_now_s () >= next_poll)
        {
          lab_user_request (1, "GET", "/api/jobs/run-000412", NULL, 2, NULL);
          next_poll = lab_now_s () + 5;
        }
      lab_run (0.25);
    }
  record ("all %u tasks of %s are on machines", job->pieces, job->uid);
  lab_end (RULE_HELD, "the accepted job runs");
}
