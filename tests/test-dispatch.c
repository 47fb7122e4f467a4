#include "autoscaler.h"
#include "support.h"
#include "worker-protocol.h"

#include <math.h>

/* A plain model of the rule: examines every machine and remembers nothing. */
static HzbMachine *
plain_choose (Bench *b, HzbJob *job, double *least)
{
  HzbMachine *best = NULL;
  const HzbJobSpec *spec = job->spec;
  *least = INFINITY;
  for (guint i = 0; i < b->machines->all->len; i++)
    {
      HzbMachine *machine = b->machines->all->pdata[i];
      HzbEstimate *e = &machine->estimates[job->scheduling_class];
      double u = 0, v = floor (machine->type->cpus / spec->cpus + 1e-9);
      if (machine->state != HZB_MACHINE_ACTIVE || (spec->zone && strcmp (spec->zone, machine->zone) != 0)
          || (machine->spot && !spec->spot))
        continue;
      v = MIN (v, floor (machine->type->memory_gb / spec->memory_gb + 1e-9));
      if (v < 1)
        continue;
      for (guint k = 0; k < e->length; k++)
        u += (double) k * e->mass[k];
      u += b->dispatch->h * spec->estimate_s / v;
      if (u < *least)
        {
          *least = u;
          best = machine;
        }
    }
  return best;
}

static void
test_rule (void)
{
  for (guint32 seed = 1; seed <= 30; seed++)
    {
      Bench b;
      guint n;
      bench_up (&b, seed);
      n = (guint) g_rand_int_range (b.rand, 1, 12);
      for (guint i = 0; i < n; i++)
        bench_machine (&b, g_rand_boolean (b.rand) ? "big" : "small", g_rand_boolean (b.rand) ? "za" : "zb",
                       g_rand_boolean (b.rand));
      for (guint i = 0; i < 30; i++)
        {
          HzbJob *job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 1, g_rand_int_range (b.rand, 1, 6),
                                   g_rand_double_range (b.rand, 1, 30));
          HzbMachine *machine, *plain;
          double least;
          if (g_rand_boolean (b.rand))
            job->spec->zone = g_strdup ("za");
          machine = hzb_dispatch_choose (b.dispatch, job, hzb_clock_now (b.clock));
          plain = plain_choose (&b, job, &least);
          g_assert_true ((machine == NULL) == (plain == NULL));
          if (machine)
            {
              /* Rounding may make a difference between equal offers: what counts is that no machine is better. */
              double v = hzb_machine_type_speed (machine->type, job->spec);
              g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&machine->estimates[job->scheduling_class])
                                                  + b.dispatch->h * job->spec->estimate_s / v,
                                              least, 1e-3);
              hzb_task_set_state (b.jobs, hzb_job_take_pending (job, hzb_clock_now (b.clock)), HZB_TASK_QUEUED,
                                  machine);
              for (guint c = 0; c <= job->scheduling_class; c++)
                hzb_estimate_send (&machine->estimates[c], job->spec->estimate_s / v);
            }
          hzb_clock_advance (b.clock, g_rand_int_range (b.rand, 0, 4));
        }
      bench_down (&b);
    }
}

/* While the controller is lagging only a sample of machines is examined, and a machine is still found. */
static void
test_sampling (void)
{
  Bench b;
  guint found = 0;
  bench_up (&b, 7);
  for (guint i = 0; i < 60; i++)
    bench_machine (&b, "big", "za", FALSE);
  b.dispatch->lagging = TRUE;
  for (guint i = 0; i < 50; i++)
    found +=
        hzb_dispatch_choose (b.dispatch, bench_job (&b, "red", HZB_PRIORITY_NORMAL, 1, 1, 5), hzb_clock_now (b.clock))
        != NULL;
  g_assert_cmpuint (found, ==, 50);
  bench_down (&b);
}

/* Where most machines are leased, samples are taken of the others: otherwise few would find a machine. */
static void
test_sample_of_usable (void)
{
  Bench b;
  HzbJob *job;
  bench_up (&b, 5);
  for (guint i = 0; i < 400; i++)
    {
      HzbMachine *machine = bench_machine (&b, "small", "za", FALSE);
      if (i % 100)
        hzb_machine_set_state (b.machines, machine, HZB_MACHINE_LEASED, "test");
    }
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 1, 1, 5);
  b.dispatch->lagging = TRUE;
  for (guint i = 0; i < 50; i++)
    g_assert_nonnull (hzb_dispatch_choose (b.dispatch, job, hzb_clock_now (b.clock)));
  bench_down (&b);
}

/* Sampling begins after a second or so of late timers, not at the first one, and ends once they are on time again. */
static void
test_lag (void)
{
  Bench b;
  bench_up (&b, 7);
  hzb_dispatch_note_lag (b.dispatch, 1);
  g_assert_false (b.dispatch->lagging);
  for (guint i = 0; i < 8; i++)
    hzb_dispatch_note_lag (b.dispatch, 0.8);
  g_assert_true (b.dispatch->lagging);
  for (guint i = 0; i < 4; i++)
    hzb_dispatch_note_lag (b.dispatch, 0);
  g_assert_true (b.dispatch->lagging);
  for (guint i = 0; i < 40; i++)
    hzb_dispatch_note_lag (b.dispatch, 0);
  g_assert_false (b.dispatch->lagging);
  bench_down (&b);
}

static guint
count_orders (const GArray *commands, HzbCommandKind kind)
{
  guint n = 0;
  for (guint i = 0; i < commands->len; i++)
    n += g_array_index (commands, HzbCommand, i).kind == kind;
  return n;
}

/* The largest job begins within four minutes, also while small jobs keep coming to full machines. */
static void
test_largest_begins (void)
{
  Bench b;
  HzbJob *large;
  guint began = 0, small = 0;
  bench_up (&b, 11);
  for (guint i = 0; i < 2; i++)
    bench_machine (&b, "small", "za", FALSE);
  for (guint i = 0; i < 4; i++)
    bench_job (&b, "blue", HZB_PRIORITY_NORMAL, 3, 2, 5);
  large = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 500, 2, 30);
  for (guint second = 1; second <= 300 && !began; second++)
    {
      struct timespec now;
      hzb_clock_advance (b.clock, 1);
      now = hzb_clock_now (b.clock);
      bench_job (&b, "blue", HZB_PRIORITY_NORMAL, 3, 2, 5)->since = now;
      hzb_dispatch_run (b.dispatch, now);
      for (guint i = 0; i < b.machines->all->len; i++)
        {
          HzbMachine *machine = b.machines->all->pdata[i];
          g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
          for (guint k = machine->tasks->len; k-- > 0;)
            {
              HzbTask *task = machine->tasks->pdata[k];
              if (hzb_time_between (task->since, now) < 5)
                continue;
              hzb_task_set_state (b.jobs, task, HZB_TASK_FINISHED, NULL);
              small++;
            }
          hzb_dispatch_reset_estimates (b.dispatch, machine, now);
          hzb_dispatch_start_tasks (b.dispatch, machine, now, commands);
        }
      if (large->placed)
        began = second;
    }
  g_assert_cmpuint (began, >, 100); /* so the largest job did wait for smaller ones */
  g_assert_cmpuint (began, <, 240);
  g_assert_cmpuint (large->placed, ==, 1);
  g_assert_cmpuint (small, >, 50);
  bench_down (&b);
}

/* A job of a high class that no machine could take keeps none of its team's limit from the team's other jobs. Otherwise
 * these would wait for it for ever, and the job for a machine that is rented only within what the limit leaves. */
static void
test_unplaceable_keeps_nothing (void)
{
  Bench b;
  HzbJob *elsewhere, *job;
  bench_up (&b, 12);
  bench_machine (&b, "big", "za", FALSE);
  elsewhere = bench_job (&b, "red", HZB_PRIORITY_HIGH, 30, 2, 30);
  elsewhere->spec->zone = g_strdup ("zb");
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 4, 2, 30);
  for (guint round = 0; round < 2; round++)
    {
      g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
      hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
      hzb_dispatch_start_tasks (b.dispatch, b.machines->all->pdata[0], hzb_clock_now (b.clock), commands);
      bench_machine (&b, "big", "zb", FALSE);
    }
  g_assert_cmpuint (job->placed, ==, 4);
  g_assert_cmpuint (elsewhere->queued, >, 0);
  bench_down (&b);
}

/* A half-empty scale-in candidate is emptied of tasks that can save a checkpoint, where other machines have room. Tasks
 * that cannot, or that are nearly done, stay, and none moves where other tasks already wait for the room. */
static void
test_consolidate (void)
{
  Bench b;
  HzbMachine *going, *staying, *busy;
  HzbJob *saves, *loses;
  struct timespec now;
  bench_up (&b, 13);
  going = bench_machine (&b, "big", "za", FALSE);
  busy = bench_machine (&b, "big", "za", FALSE);
  staying = bench_machine (&b, "small", "za", FALSE);
  saves = bench_job (&b, "red", HZB_PRIORITY_IDLE, 3, 2, 200);
  loses = bench_job (&b, "red", HZB_PRIORITY_IDLE, 1, 2, 200);
  saves->spec->checkpoint_interval_s = 20;
  hzb_task_set_state (b.jobs, &saves->tasks[0], HZB_TASK_RUNNING, going);
  hzb_task_set_state (b.jobs, &saves->tasks[1], HZB_TASK_RUNNING, busy);
  hzb_task_set_state (b.jobs, &loses->tasks[0], HZB_TASK_RUNNING, busy);
  hzb_task_set_state (b.jobs, &saves->tasks[2], HZB_TASK_RUNNING, staying);
  going->scale_in_candidate = busy->scale_in_candidate = TRUE;
  hzb_clock_advance (b.clock, 30);
  now = hzb_clock_now (b.clock);
  hzb_dispatch_consolidate (b.dispatch, now);
  g_assert_true (saves->tasks[0].stopping);
  g_assert_false (saves->tasks[1].stopping); /* stopping it would not empty its machine */
  g_assert_false (saves->tasks[2].stopping);
  saves->tasks[0].stopping = FALSE;
  bench_job (&b, "blue", HZB_PRIORITY_NORMAL, 2, 2, 30); /* this job waits for the same room */
  hzb_dispatch_consolidate (b.dispatch, now);
  g_assert_false (saves->tasks[0].stopping);
  bench_down (&b);
}

/* In no order of heartbeats do more tasks start than the team's limit allows. */
static void
test_limit (void)
{
  Bench b;
  guint started = 0;
  bench_up (&b, 3);
  bench_job (&b, "red", HZB_PRIORITY_NORMAL, 100, 2, 10);
  for (guint i = 0; i < 8; i++)
    bench_machine (&b, "big", "za", FALSE);
  for (guint round = 0; round < 3; round++)
    {
      hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
      for (guint i = 0; i < 8; i++)
        {
          g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
          hzb_dispatch_start_tasks (b.dispatch, b.machines->all->pdata[i], hzb_clock_now (b.clock), commands);
          started += count_orders (commands, HZB_COMMAND_START);
        }
    }
  g_assert_cmpuint (started, ==, 20); /* the limit is 40 CPUs */
  g_assert_cmpfloat (b.shard->cpus[0], ==, 40);
  bench_down (&b);
}

static void
test_move_to_idle (void)
{
  Bench b;
  HzbJob *job;
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  HzbMachine *first, *second;
  bench_up (&b, 3);
  first = bench_machine (&b, "small", "za", FALSE);
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 8, 2, 10);
  hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
  /* Run queues are filled only a little ahead: more pressing work can still overtake the other tasks. */
  g_assert_cmpuint (hzb_machine_queued_tasks (first), ==, 2);
  second = bench_machine (&b, "small", "zb", FALSE);
  hzb_dispatch_start_tasks (b.dispatch, second, hzb_clock_now (b.clock), commands);
  g_assert_cmpuint (commands->len, ==, 2);
  g_assert_cmpuint (second->tasks->len, ==, 2);
  g_assert_cmpuint (hzb_machine_queued_tasks (first), ==, 0); /* it moved, before tasks that wait for a run queue */
  g_assert_cmpuint (job->pending, ==, 6);
  /* A task whose start was sent stays where it is until a heartbeat shows that it is gone. */
  hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
  g_assert_cmpint (job->tasks[0].state, ==, HZB_TASK_STARTING);
  bench_down (&b);
}

/* A queued replica is not moved to a machine that sends its heartbeat first but would have to fetch the image; a task
 * of an array is. A replica is queued only where it fits beside other replicas, and at most half of a service that is
 * to be spread in one zone. */
static void
test_replica_stays (void)
{
  for (guint service = 0; service < 2; service++)
    {
      Bench b;
      HzbMachine *with, *without;
      HzbJob *job;
      g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
      struct timespec now;
      bench_up (&b, 5);
      now = hzb_clock_now (b.clock);
      with = bench_machine (&b, "small", "za", FALSE);
      job = bench_job (&b, "red", HZB_PRIORITY_PRODUCTION, 1, 1, 10);
      job->spec->kind = service ? HZB_JOB_SERVICE : HZB_JOB_ARRAY;
      job->spec->image_gb = 5;
      g_hash_table_add (with->images, g_ref_string_acquire (job->spec->image));
      hzb_dispatch_run (b.dispatch, now);
      g_assert_cmpint (job->tasks[0].state, ==, HZB_TASK_QUEUED);
      without = bench_machine (&b, "small", "za", FALSE);
      hzb_dispatch_run (b.dispatch, now);
      hzb_dispatch_start_tasks (b.dispatch, without, now, commands);
      g_assert_cmpuint (commands->len, ==, service ? 0 : 1);
      hzb_clock_advance (b.clock, 5); /* a replica does not wait for its image for ever */
      hzb_dispatch_start_tasks (b.dispatch, without, hzb_clock_now (b.clock), commands);
      g_assert_cmpuint (commands->len, ==, 1);
      bench_down (&b);
    }
  {
    Bench b;
    HzbMachine *machine[4];
    HzbJob *job;
    guint in_za = 0, queued = 0;
    bench_up (&b, 6);
    for (guint i = 0; i < 4; i++)
      machine[i] = bench_machine (&b, "small", i < 3 ? "za" : "zb", FALSE); /* 4 CPUs each */
    job = bench_job (&b, "red", HZB_PRIORITY_PRODUCTION, 7, 2, 10);
    job->spec->kind = HZB_JOB_SERVICE;
    job->spec->spread = TRUE;
    hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
    for (guint i = 0; i < 7; i++)
      if (job->tasks[i].state == HZB_TASK_QUEUED)
        {
          queued++;
          in_za += g_str_equal (job->tasks[i].machine->zone, "za");
        }
    g_assert_cmpuint (in_za, ==, 4);
    g_assert_cmpuint (queued, ==, 6); /* two tasks fit in zb */
    for (guint i = 0; i < 4; i++)
      g_assert_cmpfloat (machine[i]->queued_service_cpus, <=, 4);
    bench_down (&b);
  }
}

/* An urgent task preempts work of lower priority, but none of its own priority. */
static void
test_preemption (void)
{
  for (guint same = 0; same < 2; same++)
    {
      Bench b;
      HzbMachine *machine;
      HzbJob *low;
      g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
      bench_up (&b, 3);
      machine = bench_machine (&b, "small", "za", FALSE);
      low = bench_job (&b, "red", same ? HZB_PRIORITY_HIGH : HZB_PRIORITY_IDLE, 10, 4, 100);
      hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
      hzb_dispatch_start_tasks (b.dispatch, machine, hzb_clock_now (b.clock), commands);
      g_assert_cmpuint (count_orders (commands, HZB_COMMAND_START), ==, 1);
      hzb_task_set_state (b.jobs, &low->tasks[0], HZB_TASK_RUNNING, machine);
      bench_job (&b, "red", HZB_PRIORITY_HIGH, 1, 4, 10);
      hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
      hzb_clock_advance (b.clock, 30);
      g_array_set_size (commands, 0);
      hzb_dispatch_start_tasks (b.dispatch, machine, hzb_clock_now (b.clock), commands);
      g_assert_cmpuint (count_orders (commands, HZB_COMMAND_STOP), ==, same ? 0 : 1);
      g_assert_cmpuint (count_orders (commands, HZB_COMMAND_START), ==, 0);
      bench_down (&b);
    }
}

static void
test_gang (void)
{
  Bench b;
  HzbJob *job;
  guint zb = 0;
  bench_up (&b, 3);
  bench_machine (&b, "small", "za", FALSE);
  bench_machine (&b, "small", "zb", FALSE);
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 4, 2, 10);
  job->spec->kind = HZB_JOB_GANG;
  job->spec->same_zone = TRUE;
  hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
  g_assert_cmpuint (job->placed, ==, 0); /* there is room for four tasks, but not in one zone */
  bench_machine (&b, "small", "zb", FALSE);
  hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
  g_assert_cmpuint (job->placed, ==, 4);
  for (guint i = 0; i < 4; i++)
    {
      zb += g_str_equal (job->tasks[i].machine->zone, "zb");
      g_assert_cmpuint (job->tasks[i].attempt, ==, job->tasks[0].attempt);
    }
  g_assert_cmpuint (zb, ==, 4);
  bench_down (&b);
}

/* A gang that has reservations is cancelled before its machines send a heartbeat: none of its tasks starts. */
static void
test_cancelled_gang (void)
{
  Bench b;
  HzbJob *job;
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  bench_up (&b, 3);
  bench_machine (&b, "small", "za", FALSE);
  bench_machine (&b, "small", "zb", FALSE);
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 4, 2, 10);
  job->spec->kind = HZB_JOB_GANG;
  hzb_dispatch_run (b.dispatch, hzb_clock_now (b.clock));
  g_assert_cmpuint (job->placed, ==, 4);
  job->state = HZB_JOB_CANCELLED;
  for (guint i = 0; i < b.machines->all->len; i++)
    hzb_dispatch_start_tasks (b.dispatch, b.machines->all->pdata[i], hzb_clock_now (b.clock), commands);
  g_assert_cmpuint (count_orders (commands, HZB_COMMAND_START), ==, 0);
  bench_down (&b);
}

static void
test_rentals (void)
{
  Bench b;
  HzbAutoscaler *fleet;
  g_autoptr (GArray) rentals = NULL;
  g_autoptr (GArray) again = NULL;
  HzbJob *job;
  bench_up (&b, 3);
  fleet = hzb_autoscaler_new (b.jobs, b.machines, b.settings);
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 10, 2, 40);
  job->spec->spot = FALSE;
  job->spec->zone = g_strdup ("zb");
  rentals = hzb_autoscaler_scale_out (fleet, hzb_clock_now (b.clock));
  g_assert_cmpuint (rentals->len, >=, 1);
  for (guint i = 0; i < rentals->len; i++)
    {
      const HzbScaleOutRequest *r = &g_array_index (rentals, HzbScaleOutRequest, i);
      g_assert_false (r->spot);
      g_assert_cmpstr (r->zone, ==, "zb");
      hzb_autoscaler_note_refused (fleet, r, hzb_clock_now (b.clock));
    }
  again = hzb_autoscaler_scale_out (fleet, hzb_clock_now (b.clock));
  for (guint i = 0; i < again->len; i++) /* a kind that was refused is not requested again at once */
    g_assert_true (g_array_index (again, HzbScaleOutRequest, i).type
                   != g_array_index (rentals, HzbScaleOutRequest, 0).type);
  hzb_autoscaler_free (fleet);
  bench_down (&b);
}

/* Two faults once made work wait for ever: so little work that it counted as worth no part of a machine, and a large
 * task that counted as served by machines which are too small for it. */
static void
test_rentals_for_little (void)
{
  Bench b;
  HzbAutoscaler *fleet;
  g_autoptr (GArray) rentals = NULL;
  gboolean big = FALSE;
  bench_up (&b, 3);
  fleet = hzb_autoscaler_new (b.jobs, b.machines, b.settings);
  bench_job (&b, "red", HZB_PRIORITY_IDLE, 1, 0.5, 0.2);
  rentals = hzb_autoscaler_scale_out (fleet, hzb_clock_now (b.clock));
  g_assert_cmpuint (rentals->len, ==, 1);
  bench_machine (&b, "small", "za", TRUE);
  bench_job (&b, "red", HZB_PRIORITY_IDLE, 1, 12, 1);
  g_array_unref (g_steal_pointer (&rentals));
  rentals = hzb_autoscaler_scale_out (fleet, hzb_clock_now (b.clock));
  for (guint i = 0; i < rentals->len; i++)
    big = big || g_str_equal (g_array_index (rentals, HzbScaleOutRequest, i).type->name, "big");
  g_assert_true (big);
  hzb_autoscaler_free (fleet);
  bench_down (&b);
}

/* Twenty machines are half full and no task waits: once a machine takes no new tasks, the tasks that end on it need no
 * room elsewhere. (When these were counted, twelve machines stayed until the last task was done.) For new work,
 * machines stop being scale-in candidates before any is rented. */
static void
test_leaving (void)
{
  Bench b;
  HzbAutoscaler *fleet;
  HzbJob *job;
  guint scale_in_candidate = 0, kept = 0;
  g_autoptr (GArray) rentals = NULL;

  bench_up (&b, 3);
  fleet = hzb_autoscaler_new (b.jobs, b.machines, b.settings);
  job = bench_job (&b, "red", HZB_PRIORITY_NORMAL, 40, 1, 300);
  for (guint i = 0; i < 40; i++)
    {
      HzbMachine *machine = i % 2 ? b.machines->all->pdata[i / 2] : bench_machine (&b, "small", "za", TRUE);
      HzbTask *task = hzb_job_take_pending (job, hzb_clock_now (b.clock));
      hzb_task_set_state (b.jobs, task, HZB_TASK_QUEUED, machine);
      hzb_task_set_state (b.jobs, task, HZB_TASK_STARTING, machine);
      hzb_task_set_state (b.jobs, task, HZB_TASK_RUNNING, machine);
    }
  for (guint t = 0; t < 90; t++)
    {
      g_autoptr (GPtrArray) back = hzb_autoscaler_scale_in (fleet, hzb_clock_now (b.clock));
      g_assert_cmpuint (back->len, ==, 0); /* no machine is returned while tasks are on it */
      hzb_clock_advance (b.clock, 1);
    }
  for (guint i = 0; i < b.machines->all->len; i++)
    scale_in_candidate += ((HzbMachine *) b.machines->all->pdata[i])->scale_in_candidate;
  g_assert_cmpuint (scale_in_candidate, >=, 16);
  bench_job (&b, "blue", HZB_PRIORITY_HIGH, 24, 1, 30);
  rentals = hzb_autoscaler_scale_out (fleet, hzb_clock_now (b.clock));
  for (guint i = 0; i < b.machines->all->len; i++)
    kept += !((HzbMachine *) b.machines->all->pdata[i])->scale_in_candidate;
  g_assert_cmpuint (rentals->len, ==, 0);
  g_assert_cmpuint (kept, >, 20 - scale_in_candidate);
  hzb_autoscaler_free (fleet);
  bench_down (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/dispatch/rule-plain-model", test_rule);
  g_test_add_func ("/dispatch/sampling", test_sampling);
  g_test_add_func ("/dispatch/sample-of-usable", test_sample_of_usable);
  g_test_add_func ("/dispatch/lag", test_lag);
  g_test_add_func ("/dispatch/limit", test_limit);
  g_test_add_func ("/dispatch/unplaceable-keeps-nothing", test_unplaceable_keeps_nothing);
  g_test_add_func ("/dispatch/consolidate", test_consolidate);
  g_test_add_func ("/dispatch/largest-begins", test_largest_begins);
  g_test_add_func ("/dispatch/move-to-idle", test_move_to_idle);
  g_test_add_func ("/dispatch/replica-stays", test_replica_stays);
  g_test_add_func ("/dispatch/preemption", test_preemption);
  g_test_add_func ("/dispatch/gang", test_gang);
  g_test_add_func ("/dispatch/cancelled-gang", test_cancelled_gang);
  g_test_add_func ("/fleet/rentals", test_rentals);
  g_test_add_func ("/fleet/rentals-for-little", test_rentals_for_little);
  g_test_add_func ("/fleet/leaving", test_leaving);
  return g_test_run ();
}
