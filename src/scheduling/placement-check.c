#include "placement-check.h"

#include "demand.h"
#include "job-waiting.h"
#include "placement-trial.h"

/* Rooms that one pass examines at most, so that the cost of a run does not grow with machines times jobs. */
#define MAX_ROOMS_PER_PASS 20000u

/* Leased machines are recalled for a gang, and get tasks of a waiting array. Those without room are not told apart, so they
 * count only while the job has waited for less than this many seconds. */
#define LEASED_COUNT_FOR_S 30.0

/* Shapes of arrays that one run tells apart at most; arrays of further shapes are tried one by one. */
#define MAX_SHAPES 64u

void
hzb_placement_check_init (HzbPlacementCheck *check, HzbAutoscaler *autoscaler, const GArray *kinds, GArray *requests,
                          struct timespec now)
{
  const GPtrArray *machines = autoscaler->machines->all;
  const HzbJobs *jobs = autoscaler->jobs;
  guint n_teams = autoscaler->settings->teams->len;

  *check = (HzbPlacementCheck){ .autoscaler = autoscaler, .now = now, .kinds = kinds, .requests = requests };
  for (guint view = 0; view < HZB_N_ROOM_VIEWS; view++)
    check->arrays_tried[view] = g_ptr_array_new ();
  check->cpus = g_new0 (double, n_teams);
  check->gpus = g_new0 (double, n_teams);
  for (guint i = 0; i < machines->len; i++)
    ((HzbMachine *) machines->pdata[i])->held_for_waiting_job = FALSE;
  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec)
        hzb_job_update_waiting (job, jobs->shard, now);
    }
}

void
hzb_placement_check_clear (HzbPlacementCheck *check)
{
  g_clear_pointer (&check->rooms, hzb_rooms_free);
  for (guint view = 0; view < HZB_N_ROOM_VIEWS; view++)
    g_clear_pointer (&check->arrays_tried[view], g_ptr_array_unref);
  g_clear_pointer (&check->cpus, g_free);
  g_clear_pointer (&check->gpus, g_free);
}

/* ---- which jobs are tried ---- */

static HzbPlacementPass
pass_of (const HzbJobSpec *spec)
{
  return spec->kind != HZB_JOB_SERVICE && (spec->same_zone || (spec->spread && spec->kind == HZB_JOB_GANG))
             ? HZB_PLACEMENT_PASS_ZONES
             : HZB_PLACEMENT_PASS_OTHERS;
}

/* Whether tasks of the job wait and no back-off, verdict or unconfirmed task keeps them from starting. */
static gboolean
may_start_tasks (const HzbJob *job, struct timespec now)
{
  if (job->state != HZB_JOB_ACCEPTED || job->awaits_verdict || !(job->pending || job->queued)
      || hzb_time_before (now, job->not_before) || (job->unconfirmed && job->spec->same_zone))
    return FALSE;
  if (job->spec->kind == HZB_JOB_GANG)
    return job->pending == job->n_tasks;
  /* A job that has failed, and of which no task has succeeded or run for a while, runs one task at a time. */
  return !(job->failures && !job->proven_runnable && job->placed + job->queued);
}

static gboolean
team_limit_allows (const HzbPlacementCheck *check, const HzbJob *job, guint n_tasks)
{
  const HzbJobSpec *spec = job->spec;

  return hzb_shard_fits (check->autoscaler->jobs->shard, job->team, check->cpus[job->team] + n_tasks * spec->cpus,
                         check->gpus[job->team] + n_tasks * spec->gpus);
}

/* Returns: the number of tasks that need room at the same time so that the job goes on */
static guint
count_required (const HzbPlacementCheck *check, const HzbJob *job)
{
  guint n_tasks = 1;

  if (job->spec->kind == HZB_JOB_GANG)
    n_tasks = job->n_tasks;
  else if (job->spec->kind == HZB_JOB_SERVICE)
    n_tasks = job->pending + job->queued;
  if (team_limit_allows (check, job, n_tasks))
    return n_tasks;
  /* The replicas of a service start one by one. */
  return job->spec->kind == HZB_JOB_SERVICE && n_tasks && team_limit_allows (check, job, 1) ? 1 : 0;
}

static gboolean
same_shape (const HzbJobSpec *a, const HzbJobSpec *b)
{
  return a->cpus == b->cpus && a->gpus == b->gpus && a->memory_gb == b->memory_gb && a->spot == b->spot
         && g_strcmp0 (a->zone, b->zone) == 0
         && (a->types && b->types ? g_strv_equal ((const char *const *) a->types, (const char *const *) b->types)
                                  : a->types == b->types);
}

/* Returns: the view of the room that counts for the job: the longer it has waited, the less it relies on machines whose tasks
 * are not known. A gang or a service that has waited for long relies on no tasks that are expected to end either, since
 * it needs the room of all of them at the same time. */
static HzbRoomView
view_for (const HzbPlacementCheck *check, const HzbJob *job)
{
  double waited = hzb_job_waiting_s (job, check->now);

  if (waited >= HZB_ROOM_SOON_S && job->spec->kind != HZB_JOB_ARRAY)
    return HZB_ROOM_NOW;
  if (job->spec->kind == HZB_JOB_SERVICE)
    return HZB_ROOM_FOR_REPLICAS;
  return waited < LEASED_COUNT_FOR_S && !hzb_job_was_returned (job) ? HZB_ROOM_SOON_LEASED : HZB_ROOM_SOON;
}

/* Whether an array of the same shape was tried in this view. If not, the spec is noted as tried. */
static gboolean
was_tried (HzbPlacementCheck *check, const HzbJobSpec *spec, HzbRoomView view)
{
  GPtrArray *tried = check->arrays_tried[view];

  if (spec->kind != HZB_JOB_ARRAY || spec->same_zone || spec->spread)
    return FALSE;
  for (guint i = 0; i < tried->len; i++)
    if (same_shape (tried->pdata[i], spec))
      return TRUE;
  if (tried->len < MAX_SHAPES)
    g_ptr_array_add (tried, (gpointer) spec);
  return FALSE;
}

/* ---- the run ---- */

/* Returns: FALSE if the run may make no more requests */
static gboolean
append_requests (HzbPlacementTrial *trial, const GArray *requests)
{
  HzbPlacementCheck *check = trial->check;

  for (guint i = 0; i < requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (requests, HzbScaleOutRequest, i);
      if (check->requests->len >= HZB_MAX_SCALE_OUT_REQUESTS)
        return FALSE;
      g_message ("job %s: the machines cannot hold %u of the tasks that have to start; %u machines of type %s%s are "
                 "requested in zone %s",
                 trial->job->uid, hzb_placement_trial_missing (trial), request->count, request->kind.type->name,
                 request->kind.spot ? " (spot)" : "", request->kind.zone);
      g_array_append_val (check->requests, *request);
      hzb_rooms_add (check->rooms, &request->kind, request->count);
      check->requests_counted++;
    }
  return TRUE;
}

/* Returns: FALSE if the machines cannot hold the job, and nothing that could be requested would hold it */
static gboolean
try_with (HzbPlacementCheck *check, HzbJob *job, HzbRoomView view, guint required, gboolean uses_candidates)
{
  guint n_zones = check->rooms->zones->len;
  g_autofree guint *allowed = g_new0 (guint, n_zones + 1), *found = g_new0 (guint, n_zones + 1);
  HzbPlacementTrial trial = { check, job, view, uses_candidates, required, required, allowed, found };
  g_autoptr (GArray) requests = NULL;

  /* The zone of an array with `samePlace` is chosen for all of its tasks. */
  if (job->spec->same_zone)
    trial.wanted = MAX (required, job->pending + job->queued);
  hzb_placement_trial_begin (&trial);
  requests = hzb_placement_trial_plan_requests (&trial);
  if (requests && append_requests (&trial, requests))
    hzb_placement_trial_take_room (&trial);
  return requests != NULL;
}

/* A gang or a service gets scale-in candidates before machines are rented. For an array this depends on prices, by which
 * the demands are met (demand.h), so an array gets them here only if the cloud refuses whatever would hold it. */
static void
try_job (HzbPlacementCheck *check, HzbJob *job, HzbRoomView view, guint required)
{
  gboolean is_array = job->spec->kind == HZB_JOB_ARRAY;

  if (!try_with (check, job, view, required, !is_array) && is_array)
    try_with (check, job, view, required, TRUE);
}

/* Tries the job, if a task of it may start now within its team's limit. */
static void
examine_job (HzbPlacementCheck *check, HzbJob *job)
{
  HzbRoomView view = view_for (check, job);
  guint required = may_start_tasks (job, check->now) ? count_required (check, job) : 0;

  if (!required || was_tried (check, job->spec, view))
    return;
  try_job (check, job, view, required);
  check->cpus[job->team] += required * job->spec->cpus;
  check->gpus[job->team] += required * job->spec->gpus;
}

/* Lists the rooms when the first job needs them, and adds the machines that were requested since. */
static void
update_rooms (HzbPlacementCheck *check)
{
  if (!check->rooms)
    check->rooms = hzb_rooms_new (check->autoscaler->machines, check->now);
  for (; check->requests_counted < check->requests->len; check->requests_counted++)
    {
      const HzbScaleOutRequest *request = &g_array_index (check->requests, HzbScaleOutRequest, check->requests_counted);
      hzb_rooms_add (check->rooms, &request->kind, request->count);
    }
}

void
hzb_placement_check_run (HzbPlacementCheck *check, HzbPlacementPass pass)
{
  const GPtrArray *jobs = check->autoscaler->jobs->active;
  guint *first = &check->autoscaler->first_job_to_try[pass], i;

  check->rooms_left = MAX_ROOMS_PER_PASS;
  for (i = 0; i < jobs->len && check->rooms_left; i++)
    {
      HzbJob *job = jobs->pdata[(*first + i) % jobs->len];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->queued) || pass_of (job->spec) != pass)
        continue;
      update_rooms (check);
      examine_job (check, job);
    }
  *first = i < jobs->len ? (*first + i) % jobs->len : 0;
}
