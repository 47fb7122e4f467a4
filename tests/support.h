/* Settings, machine types, machines and jobs that tests of single modules begin with. */
#pragma once
#include "dispatch.h"
#include "scheduling-class.h"

#include <string.h>

static inline HzbSettings *
test_settings (void)
{
  g_autoptr (GError) error = NULL;
  HzbSettings *s = hzb_settings_parse (
      "node = \"n0\"\nsite = \"za\"\napi_addr = \"10.0.0.1:80\"\ncluster_listen = \"10.0.0.1:81\"\n"
      "unheard_of = 5\n[external]\ncloud = \"10.0.0.2:1\"\nstate = \"10.0.0.3:1\"\n"
      "[cluster]\nsize = 1\nzones = [\"za\", \"zb\"]\n"
      "[[cluster.teams]]\nname = \"red\"\ncpus = 8\ncpus_max = 40\ngpus_max = 4\n"
      "[[cluster.teams]]\nname = \"blue\"\ncpus = 8\ncpus_max = 40\n"
      "[cluster.workers]\nreport_s = 2\nlease_s = 16\ncancel_s = 41\n"
      "[cluster.state]\nrps = 80\nwrite_rps = 30\nvalue_kb = 16\ntxn_ops = 24\n[cluster.cloud]\nrps = 4\n",
      "test", &error);
  g_assert_no_error (error);
  return s;
}

static inline HzbMachineType *
test_type (const char *name, double cpus, double memory)
{
  HzbMachineType *type = g_new0 (HzbMachineType, 1);
  type->name = g_strdup (name);
  type->cpus = cpus;
  type->memory_gb = memory;
  type->fetch_gb_per_s = 1;
  type->price = cpus * 0.1;
  type->spot_price = cpus * 0.04;
  type->boot_s = 10;
  type->zones = g_strsplit ("za,zb", ",", 0);
  return type;
}

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  HzbJobs *jobs;
  HzbMachines *machines;
  HzbShard *shard;
  HzbDispatch *dispatch;
  GRand *rand;
  guint made;
} Bench;

static inline void
bench_up (Bench *b, guint32 seed)
{
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);
  memset (b, 0, sizeof *b);
  g_ptr_array_add (types, test_type ("big", 16, 64));
  g_ptr_array_add (types, test_type ("small", 4, 16));
  b->settings = test_settings ();
  b->clock = hzb_clock_new_manual ();
  b->rand = g_rand_new_with_seed (seed);
  b->jobs = hzb_jobs_new (b->clock, b->settings);
  b->machines = hzb_machines_new (b->clock, b->settings);
  hzb_machines_set_types (b->machines, types);
  b->shard = hzb_shard_new (b->settings, 3);
  b->dispatch = hzb_dispatch_new (b->jobs, b->machines, b->settings, b->rand);
  hzb_jobs_begin_ownership (b->jobs, b->shard);
}

static inline void
bench_down (Bench *b)
{
  hzb_jobs_end_ownership (b->jobs);
  hzb_machines_clear (b->machines);
  hzb_dispatch_free (b->dispatch);
  hzb_jobs_free (b->jobs);
  hzb_machines_free (b->machines);
  hzb_shard_free (b->shard);
  hzb_settings_free (b->settings);
  hzb_clock_free (b->clock);
  g_rand_free (b->rand);
}

/* The record of an accepted job. */
static inline cJSON *
bench_record (Bench *b, const char *uid, const char *team, HzbPriority priority, guint tasks, double cpus,
              double estimate)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  spec->uid = g_strdup (uid);
  spec->job_class = g_strdup ("lane");
  spec->team = g_strdup (team);
  spec->priority = priority;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->memory_gb = 1;
  spec->image = g_ref_string_new_intern ("img");
  spec->image_gb = 0;
  spec->spot = TRUE;
  spec->estimate_s = estimate;
  return hzb_job_acceptance_encode (spec, hzb_clock_now (b->clock));
}

static inline HzbJob *
bench_job (Bench *b, const char *team, HzbPriority priority, guint tasks, double cpus, double estimate)
{
  g_autofree char *uid = g_strdup_printf ("run-%06u", 1000 + b->made);
  cJSON *value = bench_record (b, uid, team, priority, tasks, cpus, estimate);
  HzbJob *job = hzb_jobs_apply (b->jobs, uid, value, 0);
  b->made++;
  cJSON_Delete (value);
  job->released = job->releasing = tasks;
  hzb_scheduling_classes_update (b->dispatch->jobs, b->dispatch->settings, hzb_clock_now (b->clock));
  return job;
}

static inline HzbMachine *
bench_machine (Bench *b, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *name = g_strdup_printf ("i-%03u", b->machines->all->len);
  HzbMachine *machine = hzb_machines_add (b->machines, name, "10.1.0.1:1", type, zone, spot, HZB_MACHINE_BOOTING);
  hzb_machine_set_state (b->machines, machine, HZB_MACHINE_ACTIVE, "test");
  machine->recorded = machine->known_to_cloud = machine->verified = TRUE;
  hzb_dispatch_reset_estimates (b->dispatch, machine, hzb_clock_now (b->clock));
  return machine;
}
