/* Blocks that the leader leases to the other controllers: machines, and the unstarted tasks that they have room for.
 *
 * A lessee asks the leader twice a second; the answer renews its lease and brings, in numbered batches that are
 * repeated until they are acknowledged, machines, tasks and news of what has become durable. The question brings
 * events, numbered and repeated likewise: tasks finished, tasks given back, machines given back.
 *
 * Safety does not rest on the lease's time. A delegated task counts as running until the lessee gives it back or has
 * finished it. A block that is taken back leaves its machines unverified, under a higher token, and its tasks unknown:
 * they start elsewhere only once every machine that might hold them has answered under that token or is gone. The
 * lessee starts what it was delegated on the block's machines only, so there is nothing that this wait does not cover.
 * A lessee frees a task only by a newer report under its own token; of an unreachable machine it concludes nothing and
 * gives it back.
 *
 * This file is the leader's part; lessee.c is the other side. */
#include "controller.h"
#include "levels.h"
#include "outbox.h"

#include <string.h>

#define LEASE_S 10.0          /* as the design page starts with */
#define MISSED_S 4.0          /* the leader takes a block back when its lessee has not polled for so long */
#define STEADY_S 3.0          /* and leases to it again once it has asked for so long */
#define MOST_PER_ANSWER 640u  /* tasks: what thousands of machines start between two polls */
#define MOST_HANDED_OVER 400u /* tasks on a machine that changes hands: they have to fit a message when it comes back */
#define UNLEVEL 0.7           /* a block this much smaller than the leader's gets machines that work */
#define HAND_OVER_EVERY_S 0.25 /* each costs its machine a second or so; of a large fleet more often: */
#define HAND_OVER_ALL_S 10.0   /* as many machines as there are in so long */
#define COUNT_EVERY_S 0.2
#define LATE_S 0.015 /* only a leader whose timers are so late on average hands working machines over */

/* The leader's view of one lessee. */
typedef struct
{
  HzbLeases *leases;
  guint8 id; /* 1 and up, the peer's place in the settings */
  const HzbPeer *peer;
  char *incarnation;
  guint64 token; /* 0: holds no block */
  struct timespec requests, steady_since;
  HzbOutbox out;
  guint64 acknowledged; /* it has taken the messages up to this number */
  guint64 in_number;
  GHashTable *running, *leaving; /* uid -> count, as it last said */
  double ran_s;                  /* of the task that the event at hand is about */
  gboolean holds;
} Lessee;

struct _HzbLeases
{
  HzbController *controller;
  GArray *lessees; /* Lessee */
  guint tokens;    /* numbers used in this term */
  struct timespec next_hand_over;
  double *cpus; /* of each block, the leader's own first; counted anew now and then, see count_blocks() */
  struct timespec counted;
};

HzbLeases *
hzb_leases_new (HzbController *controller)
{
  HzbLeases *leases = g_new0 (HzbLeases, 1);
  leases->controller = controller;
  leases->lessees = g_array_new (FALSE, TRUE, sizeof (Lessee));
  leases->cpus = g_new0 (double, controller->settings->peers->len + 1);
  for (guint i = 0; i < controller->settings->peers->len; i++)
    {
      Lessee lessee = { .leases = leases, .id = (guint8) (i + 1), .peer = controller->settings->peers->pdata[i] };
      lessee.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      lessee.leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_array_append_val (leases->lessees, lessee);
    }
  return leases;
}

void
hzb_leases_reset (HzbLeases *leases)
{
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      hzb_outbox_clear (&lessee->out);
      g_clear_pointer (&lessee->incarnation, g_free);
      g_hash_table_remove_all (lessee->running);
      g_hash_table_remove_all (lessee->leaving);
      lessee->token = lessee->in_number = lessee->acknowledged = 0;
      lessee->holds = FALSE;
      lessee->requests = lessee->steady_since = (struct timespec){ 0 };
    }
  leases->tokens = 0;
  leases->counted = (struct timespec){ 0 };
}

void
hzb_leases_free (HzbLeases *leases)
{
  hzb_leases_reset (leases);
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      g_hash_table_unref (g_array_index (leases->lessees, Lessee, i).running);
      g_hash_table_unref (g_array_index (leases->lessees, Lessee, i).leaving);
    }
  g_array_unref (leases->lessees);
  g_free (leases->cpus);
  g_free (leases);
}

guint64
hzb_leases_next_token (HzbLeases *leases)
{
  return hzb_token (hzb_election_term (leases->controller->election), ++leases->tokens);
}

static Lessee *
lessee_of (HzbLeases *leases, guint8 id)
{
  return id ? &g_array_index (leases->lessees, Lessee, id - 1) : NULL;
}

const char *
hzb_leases_lessee_name (HzbLeases *leases, const HzbMachine *machine)
{
  return machine->lessee ? lessee_of (leases, machine->lessee)->peer->node : NULL;
}

/* A job's count of this lessee is no more part of the sum. */
static void
subtract_count (HzbLeases *leases, glong member, const char *uid, guint count)
{
  HzbJob *job = hzb_jobs_find (leases->controller->jobs, uid);
  if (job && G_STRUCT_MEMBER (guint, job, member) >= count)
    G_STRUCT_MEMBER (guint, job, member) -= count;
}

static void
clear_counts (HzbLeases *leases, GHashTable *counts, glong member)
{
  GHashTableIter iter;
  gpointer uid, count;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    subtract_count (leases, member, uid, GPOINTER_TO_UINT (count));
  g_hash_table_remove_all (counts);
}

/* What a lessee says of its tasks, by job, beside what the others say: a member of the job has the sum. What a partial message
 * does not name stays as it was. */
static void
set_counts (HzbLeases *leases, GHashTable *counts, glong member, const cJSON *said, gboolean partial)
{
  const cJSON *item;

  if (!partial)
    clear_counts (leases, counts, member);
  cJSON_ArrayForEach (item, said)
    {
      HzbJob *job = hzb_jobs_find (leases->controller->jobs, item->string);
      if (!cJSON_IsNumber (item) || item->valueint < 0 || !job || !job->tasks)
        continue;
      subtract_count (leases, member, item->string, GPOINTER_TO_UINT (g_hash_table_lookup (counts, item->string)));
      G_STRUCT_MEMBER (guint, job, member) += (guint) item->valueint;
      g_hash_table_insert (counts, g_strdup (item->string), GUINT_TO_POINTER ((guint) item->valueint));
    }
}

/* poll: NULL, nothing of it runs or leaves any more. */
static void
set_running (HzbLeases *leases, Lessee *lessee, const cJSON *poll)
{
  gboolean partial = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (poll, "partial"));
  set_counts (leases, lessee->running, G_STRUCT_OFFSET (HzbJob, delegated_running),
              cJSON_GetObjectItemCaseSensitive (poll, "running"), partial);
  set_counts (leases, lessee->leaving, G_STRUCT_OFFSET (HzbJob, delegated_leaving),
              cJSON_GetObjectItemCaseSensitive (poll, "leaving"), partial);
}

static void
reclaim_block (HzbLeases *leases, Lessee *lessee, const char *why)
{
  HzbController *controller = leases->controller;
  guint64 token = hzb_leases_next_token (leases);
  guint machines = 0, tasks = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state != HZB_MACHINE_LEASED || machine->lessee != lessee->id)
        continue;
      hzb_machine_unverify (controller->machines, machine, token, why);
      machine->unknown_tasks_of = lessee->id;
      machines++;
    }
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_DELEGATED && job->tasks[k].lessee == lessee->id)
          {
            hzb_task_set_state (controller->jobs, &job->tasks[k], HZB_TASK_UNKNOWN, NULL);
            tasks++;
          }
    }
  set_running (leases, lessee, NULL);
  g_message ("block of %s is taken back with %u machines and %u tasks: %s", lessee->peer->node, machines, tasks, why);
  hzb_outbox_clear (&lessee->out);
  lessee->token = lessee->in_number = lessee->acknowledged = 0;
  lessee->holds = FALSE;
  lessee->steady_since = hzb_clock_now (controller->clock);
}

static gboolean
gang_waits (HzbController *controller)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->gang && !job->finished)
        return TRUE;
    }
  return FALSE;
}

/* Not at every report: it looks at every machine. */
static void
count_blocks (HzbLeases *leases, struct timespec now)
{
  HzbController *controller = leases->controller;
  if (hzb_time_is_set (leases->counted) && hzb_time_between (leases->counted, now) < COUNT_EVERY_S)
    return;
  leases->counted = now;
  memset (leases->cpus, 0, (leases->lessees->len + 1) * sizeof *leases->cpus);
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->type && machine->state == HZB_MACHINE_LEASED)
        leases->cpus[machine->lessee] += machine->type->cpus;
      else if (machine->type && machine->state == HZB_MACHINE_ACTIVE)
        leases->cpus[0] += machine->type->cpus;
    }
}

/* The lessee whose block has the fewest CPUs, if fewer than the leader would then have times so much; or NULL. */
static Lessee *
smallest_lessee (HzbLeases *leases, const HzbMachine *machine, double part, struct timespec now)
{
  const double *cpus = leases->cpus;
  double own, least;
  Lessee *best = NULL;

  count_blocks (leases, now);
  own = cpus[0];
  /* One that works here already is leased only where that makes the blocks more level. */
  least = part * (machine->state == HZB_MACHINE_ACTIVE ? own - machine->type->cpus : own);
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      if (!hzb_time_is_set (lessee->requests) || hzb_time_between (lessee->requests, now) > 1.5
          || hzb_time_between (lessee->steady_since, now) < STEADY_S)
        continue;
      if (cpus[lessee->id] < least)
        {
          least = cpus[lessee->id];
          best = lessee;
        }
    }
  return best;
}

/* Such a job may run in any block. Where all tasks have to be looked at together, or none may wait, the leader's it is. */
static gboolean
is_delegable (const HzbJob *job)
{
  const HzbSpec *spec = job->spec;
  return job->state == HZB_JOB_ACCEPTED && !spec->gang && !spec->service && !spec->same_zone && !spec->spread;
}

/* Guards against machines that stand idle in other blocks while the only work that waits is bound to the leader's. */
static gboolean
only_leader_work_waits (HzbController *controller)
{
  gboolean any = FALSE;
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->listed))
        continue;
      if (is_delegable (job))
        return FALSE;
      any = TRUE;
    }
  return any;
}

static gboolean
may_lease (HzbController *controller, const HzbMachine *machine)
{
  return controller->lease_blocks && machine->type && !machine->to_be_returned && !machine->spare && !machine->reserved
         && !machine->unreachable && machine->known_to_cloud && controller->ownership >= HZB_OWNERSHIP_RECOVERING
         && !gang_waits (controller) && !only_leader_work_waits (controller);
}

static void
lease_to (HzbLeases *leases, Lessee *lessee, HzbMachine *machine)
{
  if (!lessee->token || machine->token >= lessee->token)
    lessee->token = hzb_leases_next_token (leases);
  if (machine->state == HZB_MACHINE_ACTIVE)
    leases->cpus[0] -= machine->type->cpus;
  leases->cpus[lessee->id] += machine->type->cpus;
  machine->lessee = lessee->id;
  machine->lease_sent = FALSE;
  hzb_machine_set_state (leases->controller->machines, machine, HZB_MACHINE_LEASED, lessee->peer->node);
}

/* Blocks are kept level: the leader feeds each with work as it has room, so waiting work is level as well. */
const char *
hzb_leases_lease_idle (HzbLeases *leases, HzbMachine *machine)
{
  HzbController *controller = leases->controller;
  Lessee *best;

  if ((machine->state != HZB_MACHINE_BOOTING && machine->state != HZB_MACHINE_ACTIVE) || machine->tasks->len
      || hzb_machine_listed (machine) || !may_lease (controller, machine))
    return NULL;
  best = smallest_lessee (leases, machine, 1, hzb_clock_now (controller->clock));
  if (!best)
    return NULL;
  lease_to (leases, best, machine);
  return best->peer->node;
}

static cJSON *
pack_machine (const HzbMachine *machine)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "machine", machine->name);
  cJSON_AddStringToObject (body, "addr", machine->addr ? machine->addr : "");
  cJSON_AddStringToObject (body, "type", machine->type_name);
  cJSON_AddStringToObject (body, "zone", machine->zone);
  cJSON_AddBoolToObject (body, "spot", machine->spot);
  hzb_json_add_u64 (body, "session", machine->session);
  hzb_json_add_u64 (body, "seq", machine->seq);
  return body;
}

/* After a takeover the leader has every machine, and under load hardly one is ever without tasks. Such a machine goes
 * to a lessee with the names of all tasks that may be on it, those asked for in the last answer included; they count
 * as delegated. The lessee concludes nothing until the machine has reported under the block's token. */
const char *
hzb_leases_hand_over (HzbLeases *leases, HzbMachine *machine)
{
  HzbController *controller = leases->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  Lessee *best;
  cJSON *body, *holds;

  /* Nothing waits for the takeover to be over: this machine has just shown all that is on it. */
  if (controller->dispatch->lag_s < LATE_S || hzb_time_before (now, leases->next_hand_over)
      || machine->tasks->len > MOST_HANDED_OVER || machine->state != HZB_MACHINE_ACTIVE || !machine->verified
      || !machine->recorded || machine->ignored_answers || !may_lease (controller, machine)
      || !hzb_election_lease_valid (controller->election))
    return NULL;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->stopping || task->state == HZB_TASK_BOOKED || task->state == HZB_TASK_SAVING || task->job->spec->gang
          || task->job->spec->service || task->job->spec->same_zone || task->job->spec->spread
          || task->job->state != HZB_JOB_ACCEPTED)
        return NULL;
    }
  best = smallest_lessee (leases, machine, UNLEVEL, now);
  /* A higher token for the block would have all its machines wait for their next reports. */
  if (!best || (best->token && machine->token >= best->token))
    return NULL;
  leases->next_hand_over =
      hzb_time_plus (now, MIN (HAND_OVER_EVERY_S, HAND_OVER_ALL_S / controller->machines->all->len));
  hzb_machine_empty_lists (controller->jobs, machine);
  body = pack_machine (machine);
  holds = cJSON_AddArrayToObject (body, "holds");
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      cJSON_AddItemToArray (holds, hzb_task_pack (task));
      task->lessee = best->id;
      hzb_task_set_state (controller->jobs, task, HZB_TASK_DELEGATED, NULL);
      g_return_val_if_fail (machine->tasks->len < before, NULL);
    }
  lease_to (leases, best, machine);
  machine->lease_sent = TRUE;
  hzb_outbox_push (&best->out, body);
  return best->peer->node;
}

/* A lessee may start tasks on a machine as soon as it knows of it, so the machine is on record before. */
static void
send_leased (HzbLeases *leases)
{
  HzbController *controller = leases->controller;
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      Lessee *lessee = machine->state == HZB_MACHINE_LEASED ? lessee_of (leases, machine->lessee) : NULL;
      if (!lessee || machine->lease_sent || !machine->recorded)
        continue;
      machine->lease_sent = TRUE;
      hzb_outbox_push (&lessee->out, pack_machine (machine));
    }
}

void
hzb_leases_announce_durable (HzbLeases *leases, HzbTask *task)
{
  Lessee *lessee = lessee_of (leases, task->lessee);
  cJSON *body;

  task->lessee = 0;
  if (!lessee || !lessee->token)
    return;
  body = hzb_outbox_unsent (&lessee->out, "durable");
  if (!body)
    {
      body = cJSON_CreateObject ();
      cJSON_AddObjectToObject (body, "durable");
      hzb_outbox_push (&lessee->out, body);
    }
  hzb_tasks_add (cJSON_GetObjectItemCaseSensitive (body, "durable"), task);
}

/* A lessee's own mirror may be behind, or cut off. */
void
hzb_leases_announce_cancellation (HzbLeases *leases, HzbJob *job)
{
  if (job->announced_to_lessees)
    return;
  job->announced_to_lessees = TRUE;
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      cJSON *body;
      if (!lessee->token)
        continue;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, "cancelled", job->uid);
      hzb_outbox_push (&lessee->out, body);
    }
}

gboolean
hzb_leases_all_acknowledged (HzbLeases *leases, const HzbJob *job)
{
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      const Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      if (!hzb_outbox_holds (&lessee->out, "cancelled", job->uid))
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_DELEGATED && job->tasks[k].lessee == lessee->id)
          return FALSE;
    }
  return TRUE;
}

/* Some machine of the block may hold such a task. */
static gboolean
block_accepts (HzbController *controller, const Lessee *lessee, const HzbSpec *spec)
{
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state == HZB_MACHINE_LEASED && machine->lessee == lessee->id && !machine->recall_requested
          && hzb_machine_allowed (machine, spec))
        return TRUE;
    }
  return FALSE;
}

/* What waits for a list first, then what is in one; *at: how far those in lists have been looked for. */
static HzbTask *
next_to_delegate (HzbController *controller, HzbJob *job, guint *at, struct timespec now)
{
  HzbTask *task = job->pending ? hzb_job_next_pending (job, now) : NULL;
  for (; !task && job->listed && *at < job->n_tasks; (*at)++)
    if (job->tasks[*at].state == HZB_TASK_LISTED && !hzb_time_before (now, job->tasks[*at].not_before))
      {
        task = &job->tasks[*at];
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
        g_queue_pop_tail (&job->retry); /* where it was just put */
      }
  return task;
}

/* A lessee with room is as an idle machine is to a list: unstarted tasks move there. */
static void
delegate_tasks (HzbLeases *leases, Lessee *lessee, double room, struct timespec now)
{
  HzbController *controller = leases->controller;
  g_autoptr (GPtrArray) order = g_ptr_array_new ();
  cJSON *groups = NULL;
  guint n = 0;

  if (room <= 0 || !hzb_election_lease_valid (controller->election))
    return;
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (is_delegable (job) && (job->pending || job->listed) && !job->failures
          && !hzb_time_before (now, job->not_before))
        g_ptr_array_add (order, job);
    }
  g_ptr_array_sort (order, hzb_levels_compare);
  for (guint i = 0; i < order->len && room > 0 && n < MOST_PER_ANSWER; i++)
    {
      HzbJob *job = order->pdata[i];
      guint at = 0;
      gboolean holds =
          block_accepts (controller, lessee, job->spec) && !(job->start_overdue && (job->listed || job->placed));
      if (holds && job->cursor >= job->released)
        job->release_requested = TRUE;
      while (holds && n < MOST_PER_ANSWER && job->spec->cpus <= room
             && hzb_dispatch_team_may_use (controller->dispatch, job))
        {
          HzbTask *task = next_to_delegate (controller, job, &at, now);
          if (!task)
            break;
          if (!hzb_task_set_state (controller->jobs, task, HZB_TASK_DELEGATED, NULL))
            continue;
          task->lessee = lessee->id;
          hzb_dispatch_note_started (controller->dispatch, job);
          room -= MAX (job->spec->cpus, 0.01);
          n++;
          if (job->start_overdue)
            holds = FALSE; /* only its first task goes before others */
          if (!groups)
            groups = cJSON_CreateObject ();
          hzb_tasks_add (groups, task);
        }
    }
  if (groups)
    {
      cJSON *body = cJSON_CreateObject ();
      cJSON_AddItemToObject (body, "tasks", groups);
      hzb_outbox_push (&lessee->out, body);
    }
}

static void
task_finished (HzbTask *task, gpointer user)
{
  Lessee *lessee = user;
  HzbLeases *leases = lessee->leases;
  HzbController *controller = leases->controller;
  if (task->state == HZB_TASK_DONE)
    {
      task->lessee = lessee->id; /* said again after a takeover: it may be reaped */
      hzb_leases_announce_durable (leases, task);
    }
  else if (task->state == HZB_TASK_FINISHED)
    task->lessee = lessee->id; /* of a machine that was handed over with its result */
  if (task->state != HZB_TASK_DELEGATED || task->lessee != lessee->id)
    return;
  task->job->did_well = TRUE;
  hzb_jobs_record_run_time (controller->jobs, task->job, lessee->ran_s);
  hzb_task_set_state (controller->jobs, task, HZB_TASK_FINISHED, NULL);
  task->job->dirty = TRUE;
  if (task->job->finished + task->job->done == task->job->n_tasks)
    hzb_controller_record_completion (controller, task->job);
  else
    hzb_records_flush_soon (controller->records);
}

static void
task_returned (HzbTask *task, gpointer user)
{
  Lessee *lessee = user;
  if (task->state == HZB_TASK_DELEGATED && task->lessee == lessee->id)
    {
      hzb_task_set_state (lessee->leases->controller->jobs, task, HZB_TASK_PENDING, NULL);
      task->lessee = 0;
    }
}

/* A machine that comes back with tasks: they are on it or nowhere, so nothing but its next report, or its end, is
 * waited for. */
static void
accept_returned_machine (HzbLeases *leases, Lessee *lessee, HzbMachine *machine, const cJSON *event)
{
  HzbController *controller = leases->controller;
  const cJSON *item;

  hzb_machine_unverify (controller->machines, machine, hzb_leases_next_token (leases), hzb_json_text (event, "why"));
  machine->unknown_tasks_of = HZB_UNKNOWN_TASKS_OF_NOBODY;
  machine->idle_since = hzb_clock_now (controller->clock);
  if (cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (event, "sick")))
    machine->to_be_returned = TRUE;
  /* The lessee's reports were newer than any copy of one that may still come here. */
  if (hzb_json_u64 (event, "session") >= machine->session)
    {
      machine->seq = hzb_json_u64 (event, "session") > machine->session
                         ? hzb_json_u64 (event, "seq")
                         : MAX (machine->seq, hzb_json_u64 (event, "seq"));
      machine->session = hzb_json_u64 (event, "session");
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (event, "lost"))
    {
      HzbTask *task =
          hzb_tasks_find (controller->jobs, hzb_json_text (item, "job"), (int) hzb_json_number (item, "task", -1));
      if (!task || task->state != HZB_TASK_DELEGATED || task->lessee != lessee->id)
        continue;
      task->attempt = hzb_json_u64 (item, "attempt");
      task->lessee = 0;
      hzb_task_set_state (controller->jobs, task, HZB_TASK_STARTING, machine);
    }
}

static void
handle_event (HzbLeases *leases, Lessee *lessee, const cJSON *event)
{
  HzbController *controller = leases->controller;
  const char *name = hzb_json_text (event, "machine");

  lessee->ran_s = hzb_json_number (event, "ranS", 0);
  hzb_tasks_each (leases->controller->jobs, cJSON_GetObjectItemCaseSensitive (event, "finished"), task_finished,
                  lessee);
  hzb_tasks_each (leases->controller->jobs, cJSON_GetObjectItemCaseSensitive (event, "returned"), task_returned,
                  lessee);
  if (name)
    {
      HzbMachine *machine = hzb_machines_find (controller->machines, name);
      if (machine && machine->state == HZB_MACHINE_LEASED && machine->lessee == lessee->id)
        accept_returned_machine (leases, lessee, machine, event);
    }
}

/* Tasks of the team that could be stopped for a replica: on the leader's machines (0), or delegated to this lessee. */
static gboolean
team_has_lower_work (const HzbController *controller, int team, guint8 lessee)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->team != team || job->spec->service || job->spec->gang || job->state != HZB_JOB_ACCEPTED)
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        {
          const HzbTask *task = &job->tasks[k];
          if (lessee ? task->state == HZB_TASK_DELEGATED && task->lessee == lessee : hzb_task_on_machine (task))
            return TRUE;
        }
    }
  return FALSE;
}

/* Guards against a service whose team is at its limit with all of its other work delegated: the leader can stop only what
 * runs in its own block, so the service would wait until that work ends. */
static gboolean
service_waits_for_delegated_work (const HzbController *controller, const Lessee *lessee)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->service && (job->pending || job->listed)
          && !hzb_block_fits (controller->block, job->team, job->spec->cpus, job->spec->gpus)
          && !team_has_lower_work (controller, job->team, 0) && team_has_lower_work (controller, job->team, lessee->id))
        return TRUE;
    }
  return FALSE;
}

/* One machine at a time comes back with its tasks; which of them hold the team's the leader does not know. */
static void
recall_for_service (HzbLeases *leases, const Lessee *lessee)
{
  const HzbController *controller = leases->controller;
  HzbMachine *next = NULL;

  if (!service_waits_for_delegated_work (controller, lessee))
    return;
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state != HZB_MACHINE_LEASED || machine->lessee != lessee->id || !machine->lease_sent)
        continue;
      if (machine->recall_at_once)
        return; /* it is on its way */
      next = next ? next : machine;
    }
  if (next)
    next->recall_at_once = TRUE;
}

/* Machines that are spare are asked back, and left where they are when there is work for them after all. */
static void
recall_machines (HzbLeases *leases, Lessee *lessee, gboolean all)
{
  HzbController *controller = leases->controller;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      gboolean back = all || machine->spare || machine->to_be_returned || machine->reserved || machine->recall_at_once;
      cJSON *body;
      if (machine->state != HZB_MACHINE_LEASED || machine->lessee != lessee->id || machine->recall_requested == back
          || !machine->lease_sent)
        continue;
      machine->recall_requested = back;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, back ? "back" : "keep", machine->name);
      /* Replicas wait for its room: what runs there comes along, and can be stopped here. */
      if (back && (machine->reserved || machine->recall_at_once))
        cJSON_AddTrueToObject (body, "now");
      hzb_outbox_push (&lessee->out, body);
    }
}

void
hzb_leases_request (HzbLeases *leases, HzbExchange *exchange, const cJSON *root)
{
  HzbController *controller = leases->controller;
  const char *node = hzb_json_text (root, "node"), *incarnation = hzb_json_text (root, "incarnation");
  struct timespec now = hzb_clock_now (controller->clock);
  Lessee *lessee = NULL;
  const cJSON *event;
  cJSON *reply;
  guint64 token = hzb_json_u64 (root, "token");

  if (hzb_election_leading (controller->election))
    send_leased (leases);
  for (guint i = 0; node && i < leases->lessees->len; i++)
    if (g_str_equal (g_array_index (leases->lessees, Lessee, i).peer->node, node))
      lessee = &g_array_index (leases->lessees, Lessee, i);
  if (!lessee || !incarnation || !hzb_election_leading (controller->election)
      || controller->ownership < HZB_OWNERSHIP_RECOVERING)
    {
      hzb_exchange_reply (exchange, 503, hzb_wire_error ("no blocks to lease here"), 0);
      return;
    }
  if (g_strcmp0 (lessee->incarnation, incarnation) != 0)
    {
      if (lessee->token)
        reclaim_block (leases, lessee, "its controller has started anew");
      g_free (lessee->incarnation);
      lessee->incarnation = g_strdup (incarnation);
      lessee->steady_since = now;
    }
  if (hzb_time_is_set (lessee->requests) && hzb_time_between (lessee->requests, now) > MISSED_S)
    lessee->steady_since = now;
  lessee->requests = now;
  if (token == lessee->token && token)
    lessee->holds = TRUE;
  else if (!token && lessee->holds)
    reclaim_block (leases, lessee, "it has let go");
  /* Guards against a lessee that holds the block anew without what it was sent before (those of earlier versions could):
   * nothing in it would ever be heard of again. */
  if (token && token == lessee->token && hzb_json_u64 (root, "have") < lessee->acknowledged)
    reclaim_block (leases, lessee, "it has lost what it held");
  reply = cJSON_CreateObject ();
  hzb_json_add_u64 (reply, "term", hzb_election_term (controller->election));
  if (cJSON_HasObjectItem (root, "cancelled"))
    cJSON_AddItemToObject (reply, "heard",
                           hzb_cancellations_handle_request (controller->cancellations,
                                                             cJSON_GetObjectItemCaseSensitive (root, "cancelled")));
  if (token && (!lessee->token || hzb_token_leader (token) != hzb_election_term (controller->election)))
    cJSON_AddTrueToObject (reply, "end"); /* what it holds was taken back */
  else
    {
      if (token)
        {
          /* An answer to an older question may have been lost: what it brought comes again. */
          lessee->acknowledged = MAX (lessee->acknowledged, hzb_json_u64 (root, "have"));
          hzb_outbox_acknowledged (&lessee->out, lessee->acknowledged);
          cJSON_ArrayForEach (event, cJSON_GetObjectItemCaseSensitive (root, "events"))
            if (hzb_json_u64 (event, "n") == lessee->in_number + 1)
              {
                lessee->in_number++;
                handle_event (leases, lessee, event);
              }
          set_running (leases, lessee, root);
          recall_for_service (leases, lessee);
          recall_machines (leases, lessee, gang_waits (controller) || !controller->lease_blocks);
          /* Only once it has all that was sent before, or its room would be filled twice. */
          if (!lessee->out.waiting.length)
            delegate_tasks (leases, lessee, hzb_json_number (root, "room", 0), now);
        }
      hzb_json_add_u64 (reply, "token", lessee->token);
      hzb_json_add_u64 (reply, "have", lessee->in_number);
      cJSON_AddNumberToObject (reply, "leaseS", LEASE_S);
      cJSON_AddItemToObject (reply, "batches", hzb_outbox_pack (&lessee->out, G_MAXSIZE));
    }
  {
    char *text = cJSON_PrintUnformatted (reply);
    cJSON_Delete (reply);
    hzb_exchange_reply (exchange, 200, text, 0);
  }
}

cJSON *
hzb_leases_pack (HzbLeases *leases)
{
  HzbController *controller = leases->controller;
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "blocks");

  for (guint i = 0; i <= leases->lessees->len; i++)
    {
      const Lessee *lessee = i ? &g_array_index (leases->lessees, Lessee, i - 1) : NULL;
      cJSON *block = cJSON_CreateObject ();
      guint n = 0, delegated = 0;
      double cpus = 0;
      for (guint k = 0; k < controller->machines->all->len; k++)
        {
          const HzbMachine *machine = controller->machines->all->pdata[k];
          if (machine->type
              && (lessee ? machine->state == HZB_MACHINE_LEASED && machine->lessee == lessee->id
                         : machine->state == HZB_MACHINE_ACTIVE))
            {
              n++;
              cpus += machine->type->cpus;
            }
        }
      for (guint k = 0; lessee && k < controller->jobs->active->len; k++)
        {
          const HzbJob *job = controller->jobs->active->pdata[k];
          for (guint t = 0; job->placed && t < job->n_tasks; t++)
            delegated += job->tasks[t].state == HZB_TASK_DELEGATED && job->tasks[t].lessee == lessee->id;
        }
      cJSON_AddStringToObject (block, "holder", lessee ? lessee->peer->node : controller->settings->node);
      hzb_json_add_u64 (block, "token", lessee ? lessee->token : controller->block->token);
      cJSON_AddNumberToObject (block, "machines", n);
      cJSON_AddNumberToObject (block, "cpus", cpus);
      if (lessee)
        cJSON_AddNumberToObject (block, "tasksGranted", delegated);
      cJSON_AddItemToArray (list, block);
    }
  return root;
}

void
hzb_leases_tick (HzbLeases *leases, struct timespec now)
{
  HzbController *controller = leases->controller;

  for (guint i = 0; i < leases->lessees->len && controller->ownership >= HZB_OWNERSHIP_RECOVERING; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      if (lessee->token && hzb_time_between (lessee->requests, now) > MISSED_S)
        reclaim_block (leases, lessee, "its controller is silent");
    }
}
