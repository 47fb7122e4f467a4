/* Blocks that the leader leases to the other controllers: machines, and the unstarted tasks that they have room for.
 *
 * A lessee asks the leader twice a second; the answer renews its lease and brings, in numbered batches that are
 * repeated until they are acknowledged, machines, tasks and news of what has become durable. The question brings
 * events, numbered and repeated likewise: tasks finished, tasks given back, machines given back.
 *
 * Safety does not rest on the lease's time. A granted task counts as running until the lessee gives it back or has
 * finished it. A block that is taken back leaves its machines unheard, under a higher token, and its tasks unknown:
 * they start elsewhere only once every machine that might hold them has answered under that token or is gone. The
 * lessee starts what it was granted on the block's machines only, so there is nothing that this wait does not cover.
 * A lessee frees a task only by a newer report under its own token; of a silent machine it concludes nothing and
 * gives it back. */
#include "controller.h"

#include <string.h>

#define LEASE_S 10.0     /* as the design page starts with */
#define ASK_S 0.4
#define ASK_SOON_S 0.25  /* with news; a question costs both sides as much as a worker's report */
#define ASK_TIMEOUT_MS 1500
#define MISSED_S 4.0     /* the leader takes a block back when its lessee was silent for so long */
#define GIVE_UP_S 5.0    /* the lessee lets go when the leader has not answered for so long: it sits on no machines */
#define STEADY_S 3.0     /* and leases to it again once it has asked for so long */
#define AHEAD 0.12       /* of a block's CPUs: tasks granted beyond its room, so that no place waits for the next answer */
#define KEEP_S 6.0       /* an unstarted task goes back to the leader after this */
#define MOST_PER_ANSWER 160u

typedef struct
{
  guint64 number;
  cJSON *body;
} Message;

/* The leader's view of one lessee. */
typedef struct
{
  guint8 id; /* 1 and up, the peer's place in the settings */
  const HzbPeer *peer;
  char *incarnation;
  guint64 token; /* 0: holds no block */
  struct timespec asked, steady_since;
  GQueue out; /* Message, not acknowledged */
  guint64 out_number, in_number;
  GHashTable *running; /* uid -> count, as it last said */
  double ran_s; /* of the task that the event at hand is about */
  gboolean holds;
} Lessee;

struct _HzbLeases
{
  HzbController *c;
  GArray *lessees; /* Lessee, the leader's part */
  guint tokens;    /* numbers used in this term */

  /* the lessee's part */
  gboolean asking;
  guint64 token, in_number, out_number;
  GQueue out;
  char *leader;
  struct timespec asked, next_ask, answered, valid_until;
};

static void
message_free (gpointer data)
{
  cJSON_Delete (((Message *) data)->body);
  g_free (data);
}

static void
push (GQueue *queue, guint64 number, cJSON *body)
{
  Message *message = g_new0 (Message, 1);
  message->number = number;
  message->body = body;
  hzb_json_add_u64 (body, "n", number);
  g_queue_push_tail (queue, message);
}

static void
acknowledged (GQueue *queue, guint64 number)
{
  Message *message;
  while ((message = g_queue_peek_head (queue)) && message->number <= number)
    message_free (g_queue_pop_head (queue));
}

static cJSON *
all_of (const GQueue *queue)
{
  cJSON *list = cJSON_CreateArray ();
  guint n = 0;
  for (GList *l = queue->head; l && n < MOST_PER_ANSWER; l = l->next, n++)
    cJSON_AddItemToArray (list, cJSON_Duplicate (((Message *) l->data)->body, TRUE));
  return list;
}

HzbLeases *
hzb_leases_new (HzbController *c)
{
  HzbLeases *leases = g_new0 (HzbLeases, 1);
  leases->c = c;
  leases->lessees = g_array_new (FALSE, TRUE, sizeof (Lessee));
  for (guint i = 0; i < c->settings->peers->len; i++)
    {
      Lessee lessee = { .id = (guint8) (i + 1), .peer = c->settings->peers->pdata[i] };
      lessee.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
      g_queue_clear_full (&lessee->out, message_free);
      g_clear_pointer (&lessee->incarnation, g_free);
      g_hash_table_remove_all (lessee->running);
      lessee->token = lessee->out_number = lessee->in_number = 0;
      lessee->holds = FALSE;
      lessee->asked = lessee->steady_since = (struct timespec){ 0 };
    }
  leases->tokens = 0;
}

void
hzb_leases_free (HzbLeases *leases)
{
  hzb_leases_reset (leases);
  for (guint i = 0; i < leases->lessees->len; i++)
    g_hash_table_unref (g_array_index (leases->lessees, Lessee, i).running);
  g_array_unref (leases->lessees);
  g_queue_clear_full (&leases->out, message_free);
  g_free (leases->leader);
  g_free (leases);
}

/* ---- the leader ---- */

guint64
hzb_leases_next_token (HzbLeases *leases)
{
  return hzb_token (hzb_election_term (leases->c->election), ++leases->tokens);
}

static Lessee *
lessee_of (HzbLeases *leases, guint8 id)
{
  return id ? &g_array_index (leases->lessees, Lessee, id - 1) : NULL;
}

const char *
hzb_leases_lessee (HzbLeases *leases, const HzbMachine *machine)
{
  return machine->lessee ? lessee_of (leases, machine->lessee)->peer->node : NULL;
}

static void
set_running (HzbLeases *leases, Lessee *lessee, const cJSON *running)
{
  GHashTableIter iter;
  gpointer uid, count;
  const cJSON *item;
  HzbJob *job;

  g_hash_table_iter_init (&iter, lessee->running);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    if ((job = hzb_jobs_find (leases->c->jobs, uid)) && job->lent_running >= GPOINTER_TO_UINT (count))
      job->lent_running -= GPOINTER_TO_UINT (count);
  g_hash_table_remove_all (lessee->running);
  cJSON_ArrayForEach (item, running)
    if (cJSON_IsNumber (item) && (job = hzb_jobs_find (leases->c->jobs, item->string)) && job->tasks)
      {
        job->lent_running += (guint) item->valueint;
        g_hash_table_insert (lessee->running, g_strdup (item->string), GUINT_TO_POINTER ((guint) item->valueint));
      }
}

static void
take_back (HzbLeases *leases, Lessee *lessee, const char *why)
{
  HzbController *c = leases->c;
  guint64 token = hzb_leases_next_token (leases);
  guint machines = 0, tasks = 0;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      if (m->state != HZB_MACHINE_LENT || m->lessee != lessee->id)
        continue;
      hzb_machine_unhear (c->machines, m, token, why);
      m->suspect = lessee->id;
      machines++;
    }
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_GRANTED && job->tasks[k].lessee == lessee->id)
          {
            hzb_task_set_state (c->jobs, &job->tasks[k], HZB_TASK_UNKNOWN, NULL);
            tasks++;
          }
    }
  set_running (leases, lessee, NULL);
  g_message ("block of %s is taken back with %u machines and %u tasks: %s", lessee->peer->node, machines, tasks, why);
  g_queue_clear_full (&lessee->out, message_free);
  lessee->token = lessee->out_number = lessee->in_number = 0;
  lessee->holds = FALSE;
  lessee->steady_since = hzb_clock_now (c->clock);
}

static gboolean
gang_waits (HzbController *c)
{
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      const HzbJob *job = c->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->gang && !job->finished)
        return TRUE;
    }
  return FALSE;
}

/* Blocks are kept level: the leader feeds each with work as it has room, so waiting work is level as well. */
const char *
hzb_leases_offer (HzbLeases *leases, HzbMachine *machine)
{
  HzbController *c = leases->c;
  struct timespec now = hzb_clock_now (c->clock);
  double own = 0, least;
  g_autofree double *cpus = g_new0 (double, leases->lessees->len + 1);
  Lessee *best = NULL;

  if (!c->lease_blocks)
    return NULL;
  if ((machine->state != HZB_MACHINE_BOOTING && machine->state != HZB_MACHINE_ACTIVE) || machine->tasks->len
      || hzb_machine_listed (machine) || !machine->type || machine->wanted_back || machine->spare || machine->deaf || !machine->vouched
      || c->hold < HZB_HOLD_RECOVERING || gang_waits (c))
    return NULL;
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (m->type && m->state == HZB_MACHINE_LENT)
        cpus[m->lessee] += m->type->cpus;
      else if (m->type && m->state == HZB_MACHINE_ACTIVE)
        own += m->type->cpus;
    }
  /* One that works here already is lent only where that makes the blocks more level. */
  least = machine->state == HZB_MACHINE_ACTIVE ? own - machine->type->cpus : own;
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      if (!hzb_time_is_set (lessee->asked) || hzb_time_between (lessee->asked, now) > 1.5
          || hzb_time_between (lessee->steady_since, now) < STEADY_S)
        continue;
      if (cpus[lessee->id] < least)
        {
          least = cpus[lessee->id];
          best = lessee;
        }
    }
  if (!best)
    return NULL;
  if (!best->token || machine->token >= best->token)
    best->token = hzb_leases_next_token (leases);
  machine->lessee = best->id;
  machine->lend_sent = FALSE;
  hzb_machine_set_state (c->machines, machine, HZB_MACHINE_LENT, best->peer->node);
  return best->peer->node;
}

/* A lessee may start tasks on a machine as soon as it knows of it, so the machine is on record before. */
static void
send_lent (HzbLeases *leases)
{
  HzbController *c = leases->c;
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      Lessee *lessee = m->state == HZB_MACHINE_LENT ? lessee_of (leases, m->lessee) : NULL;
      cJSON *body;
      if (!lessee || m->lend_sent || !m->recorded)
        continue;
      m->lend_sent = TRUE;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, "machine", m->name);
      cJSON_AddStringToObject (body, "addr", m->addr ? m->addr : "");
      cJSON_AddStringToObject (body, "type", m->type_name);
      cJSON_AddStringToObject (body, "zone", m->zone);
      cJSON_AddBoolToObject (body, "spot", m->spot);
      hzb_json_add_u64 (body, "session", m->session);
      hzb_json_add_u64 (body, "seq", m->seq);
      push (&lessee->out, ++lessee->out_number, body);
    }
}

static void
add_task (cJSON *groups, const HzbTask *task)
{
  cJSON *list = cJSON_GetObjectItemCaseSensitive (groups, task->job->uid);
  if (!list)
    list = cJSON_AddArrayToObject (groups, task->job->uid);
  cJSON_AddItemToArray (list, cJSON_CreateNumber (task->index));
}

void
hzb_leases_durable (HzbLeases *leases, HzbTask *task)
{
  Lessee *lessee = lessee_of (leases, task->lessee);
  Message *last;
  cJSON *groups = NULL;

  task->lessee = 0;
  if (!lessee || !lessee->token)
    return;
  last = g_queue_peek_tail (&lessee->out);
  /* Joined to a batch that has not been sent, if the last is one. */
  if (last && last->number == lessee->out_number && cJSON_GetObjectItemCaseSensitive (last->body, "fresh"))
    groups = cJSON_GetObjectItemCaseSensitive (last->body, "durable");
  if (!groups)
    {
      cJSON *body = cJSON_CreateObject ();
      groups = cJSON_AddObjectToObject (body, "durable");
      cJSON_AddTrueToObject (body, "fresh");
      push (&lessee->out, ++lessee->out_number, body);
    }
  add_task (groups, task);
}

/* A lessee's own mirror may be behind, or cut off. */
void
hzb_leases_cancelled (HzbLeases *leases, HzbJob *job)
{
  if (job->told_lessees)
    return;
  job->told_lessees = TRUE;
  for (guint i = 0; i < leases->lessees->len; i++)
    {
      Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
      cJSON *body;
      if (!lessee->token)
        continue;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, "cancelled", job->uid);
      push (&lessee->out, ++lessee->out_number, body);
    }
}

/* Some machine of the block may hold such a task. */
static gboolean
block_holds (HzbController *c, const Lessee *lessee, const HzbSpec *spec)
{
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (m->state == HZB_MACHINE_LENT && m->lessee == lessee->id && !m->asked_back && hzb_machine_allowed (m, spec))
        return TRUE;
    }
  return FALSE;
}

/* A lessee with room is as an idle machine is to a list: unstarted tasks move there. */
static void
feed (HzbLeases *leases, Lessee *lessee, double room, struct timespec now)
{
  HzbController *c = leases->c;
  g_autoptr (GPtrArray) order = g_ptr_array_new ();
  cJSON *groups = NULL;
  guint n = 0;

  if (room <= 0 || !hzb_election_proven (c->election))
    return;
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && (job->pending || job->listed) && !job->failures && !job->spec->gang
          && !job->spec->same_zone && !job->spec->spread && !hzb_time_before (now, job->not_before))
        g_ptr_array_add (order, job);
    }
  g_ptr_array_sort (order, hzb_dispatch_order);
  for (guint i = 0; i < order->len && room > 0 && n < MOST_PER_ANSWER; i++)
    {
      HzbJob *job = order->pdata[i];
      gboolean holds = block_holds (c, lessee, job->spec) && !(job->begin_due && (job->listed || job->placed));
      if (holds && job->cursor >= job->released)
        job->wants_release = TRUE;
      for (guint k = 0; holds && (job->pending || job->listed) && k < job->released && n < MOST_PER_ANSWER; k++)
        {
          HzbTask *task = &job->tasks[k];
          if (job->spec->cpus > room || !hzb_dispatch_team_may_use (c->dispatch, job))
            break;
          if ((task->state != HZB_TASK_PENDING && task->state != HZB_TASK_LISTED) || hzb_time_before (now, task->not_before))
            continue;
          if (task->state == HZB_TASK_LISTED)
            hzb_task_set_state (c->jobs, task, HZB_TASK_PENDING, NULL);
          g_queue_remove (&job->retry, task);
          if (!hzb_task_set_state (c->jobs, task, HZB_TASK_GRANTED, NULL))
            continue;
          task->lessee = lessee->id;
          hzb_dispatch_started (c->dispatch, job);
          room -= MAX (job->spec->cpus, 0.01);
          n++;
          if (job->begin_due)
            holds = FALSE; /* only its first task goes before others */
          if (!groups)
            groups = cJSON_CreateObject ();
          add_task (groups, task);
        }
    }
  if (groups)
    {
      cJSON *body = cJSON_CreateObject ();
      cJSON_AddItemToObject (body, "tasks", groups);
      push (&lessee->out, ++lessee->out_number, body);
    }
}

static HzbTask *
find_task (HzbController *c, const char *uid, int index)
{
  HzbJob *job = uid ? hzb_jobs_find (c->jobs, uid) : NULL;
  return job && job->tasks && index >= 0 && (guint) index < job->n_tasks ? &job->tasks[index] : NULL;
}

typedef void (*TaskFunc) (HzbLeases *leases, HzbTask *task, gpointer user);

static void
each_task (HzbLeases *leases, const cJSON *groups, TaskFunc func, gpointer user)
{
  const cJSON *group, *item;
  cJSON_ArrayForEach (group, groups)
    cJSON_ArrayForEach (item, group)
      {
        HzbTask *task = cJSON_IsNumber (item) ? find_task (leases->c, group->string, item->valueint) : NULL;
        if (task)
          func (leases, task, user);
      }
}

static void
task_finished (HzbLeases *leases, HzbTask *task, gpointer user)
{
  HzbController *c = leases->c;
  Lessee *lessee = user;
  if (task->state == HZB_TASK_DONE)
    {
      task->lessee = lessee->id; /* said again after a takeover: it may be reaped */
      hzb_leases_durable (leases, task);
    }
  if (task->state != HZB_TASK_GRANTED || task->lessee != lessee->id)
    return;
  hzb_jobs_observe (c->jobs, task->job, lessee->ran_s);
  hzb_task_set_state (c->jobs, task, HZB_TASK_FINISHED, NULL);
  task->job->dirty = TRUE;
  if (task->job->finished + task->job->done == task->job->n_tasks)
    hzb_controller_end_job (c, task->job);
  else
    hzb_records_flush_soon (c->records);
}

static void
task_returned (HzbLeases *leases, HzbTask *task, gpointer user)
{
  Lessee *lessee = user;
  if (task->state == HZB_TASK_GRANTED && task->lessee == lessee->id)
    {
      hzb_task_set_state (leases->c->jobs, task, HZB_TASK_PENDING, NULL);
      task->lessee = 0;
    }
}

/* A machine that comes back with tasks: they are on it or nowhere, so nothing but its next report, or its end, is
 * waited for. */
static void
take_machine_back (HzbLeases *leases, Lessee *lessee, HzbMachine *m, const cJSON *event)
{
  HzbController *c = leases->c;
  const cJSON *item;

  hzb_machine_unhear (c->machines, m, hzb_leases_next_token (leases), hzb_json_text (event, "why"));
  m->suspect = HZB_SUSPECT_OF_OWN;
  m->idle_since = hzb_clock_now (c->clock);
  if (cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (event, "sick")))
    m->wanted_back = TRUE;
  /* The lessee's reports were newer than any copy of one that may still come here. */
  if (hzb_json_u64 (event, "session") >= m->session)
    {
      m->seq = hzb_json_u64 (event, "session") > m->session ? hzb_json_u64 (event, "seq") : MAX (m->seq, hzb_json_u64 (event, "seq"));
      m->session = hzb_json_u64 (event, "session");
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (event, "lost"))
    {
      HzbTask *task = find_task (c, hzb_json_text (item, "job"), (int) hzb_json_number (item, "task", -1));
      if (!task || task->state != HZB_TASK_GRANTED || task->lessee != lessee->id)
        continue;
      task->attempt = hzb_json_u64 (item, "attempt");
      task->lessee = 0;
      hzb_task_set_state (c->jobs, task, HZB_TASK_STARTING, m);
    }
}

static void
take_event (HzbLeases *leases, Lessee *lessee, const cJSON *event)
{
  HzbController *c = leases->c;
  const char *name = hzb_json_text (event, "machine");

  lessee->ran_s = hzb_json_number (event, "ranS", 0);
  each_task (leases, cJSON_GetObjectItemCaseSensitive (event, "finished"), task_finished, lessee);
  each_task (leases, cJSON_GetObjectItemCaseSensitive (event, "returned"), task_returned, lessee);
  if (name)
    {
      HzbMachine *m = hzb_machines_find (c->machines, name);
      if (m && m->state == HZB_MACHINE_LENT && m->lessee == lessee->id)
        take_machine_back (leases, lessee, m, event);
    }
}

static void
ask_back (HzbLeases *leases, Lessee *lessee, gboolean all)
{
  HzbController *c = leases->c;
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      cJSON *body;
      if (m->state != HZB_MACHINE_LENT || m->lessee != lessee->id || m->asked_back || !m->lend_sent || !(all || m->spare || m->wanted_back))
        continue;
      m->asked_back = TRUE;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, "back", m->name);
      push (&lessee->out, ++lessee->out_number, body);
    }
}

void
hzb_leases_request (HzbLeases *leases, HzbExchange *exchange, const cJSON *root)
{
  HzbController *c = leases->c;
  const char *node = hzb_json_text (root, "node"), *incarnation = hzb_json_text (root, "incarnation");
  struct timespec now = hzb_clock_now (c->clock);
  Lessee *lessee = NULL;
  const cJSON *event;
  cJSON *reply;
  guint64 token = hzb_json_u64 (root, "token");

  if (hzb_election_leading (c->election))
    send_lent (leases);
  for (guint i = 0; node && i < leases->lessees->len; i++)
    if (g_str_equal (g_array_index (leases->lessees, Lessee, i).peer->node, node))
      lessee = &g_array_index (leases->lessees, Lessee, i);
  if (!lessee || !incarnation || !hzb_election_leading (c->election) || c->hold < HZB_HOLD_RECOVERING)
    {
      hzb_exchange_reply (exchange, 503, hzb_wire_error ("no blocks to lease here"), 0);
      return;
    }
  if (g_strcmp0 (lessee->incarnation, incarnation) != 0)
    {
      if (lessee->token)
        take_back (leases, lessee, "its controller has started anew");
      g_free (lessee->incarnation);
      lessee->incarnation = g_strdup (incarnation);
      lessee->steady_since = now;
    }
  if (hzb_time_is_set (lessee->asked) && hzb_time_between (lessee->asked, now) > MISSED_S)
    lessee->steady_since = now;
  lessee->asked = now;
  if (token == lessee->token && token)
    lessee->holds = TRUE;
  else if (!token && lessee->holds)
    take_back (leases, lessee, "it has let go");
  reply = cJSON_CreateObject ();
  hzb_json_add_u64 (reply, "term", hzb_election_term (c->election));
  if (token && (!lessee->token || hzb_token_leader (token) != hzb_election_term (c->election)))
    cJSON_AddTrueToObject (reply, "end"); /* what it holds was taken back */
  else
    {
      if (token)
        {
          /* An answer to an older question may have been lost: what it brought comes again. */
          acknowledged (&lessee->out, hzb_json_u64 (root, "have"));
          cJSON_ArrayForEach (event, cJSON_GetObjectItemCaseSensitive (root, "events"))
            if (hzb_json_u64 (event, "n") == lessee->in_number + 1)
              {
                lessee->in_number++;
                take_event (leases, lessee, event);
              }
          set_running (leases, lessee, cJSON_GetObjectItemCaseSensitive (root, "running"));
          ask_back (leases, lessee, gang_waits (c) || !c->lease_blocks);
          /* Only once it has all that was sent before, or its room would be filled twice. */
          if (!lessee->out.length)
            feed (leases, lessee, hzb_json_number (root, "room", 0), now);
        }
      hzb_json_add_u64 (reply, "token", lessee->token);
      hzb_json_add_u64 (reply, "have", lessee->in_number);
      cJSON_AddNumberToObject (reply, "leaseS", LEASE_S);
      for (GList *l = lessee->out.head; l; l = l->next)
        cJSON_DeleteItemFromObject (((Message *) l->data)->body, "fresh");
      cJSON_AddItemToObject (reply, "batches", all_of (&lessee->out));
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
  HzbController *c = leases->c;
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "blocks");

  for (guint i = 0; i <= leases->lessees->len; i++)
    {
      const Lessee *lessee = i ? &g_array_index (leases->lessees, Lessee, i - 1) : NULL;
      cJSON *block = cJSON_CreateObject ();
      guint n = 0, granted = 0;
      double cpus = 0;
      for (guint k = 0; k < c->machines->all->len; k++)
        {
          const HzbMachine *m = c->machines->all->pdata[k];
          if (m->type && (lessee ? m->state == HZB_MACHINE_LENT && m->lessee == lessee->id : m->state == HZB_MACHINE_ACTIVE))
            {
              n++;
              cpus += m->type->cpus;
            }
        }
      for (guint k = 0; lessee && k < c->jobs->active->len; k++)
        {
          const HzbJob *job = c->jobs->active->pdata[k];
          for (guint t = 0; job->placed && t < job->n_tasks; t++)
            granted += job->tasks[t].state == HZB_TASK_GRANTED && job->tasks[t].lessee == lessee->id;
        }
      cJSON_AddStringToObject (block, "holder", lessee ? lessee->peer->node : c->settings->node);
      hzb_json_add_u64 (block, "token", lessee ? lessee->token : c->block->token);
      cJSON_AddNumberToObject (block, "machines", n);
      cJSON_AddNumberToObject (block, "cpus", cpus);
      if (lessee)
        cJSON_AddNumberToObject (block, "tasksGranted", granted);
      cJSON_AddItemToArray (list, block);
    }
  return root;
}

/* ---- the lessee ---- */

gboolean
hzb_leases_valid (HzbLeases *leases)
{
  return leases->c->hold == HZB_HOLD_LEASED && hzb_time_before (hzb_clock_now (leases->c->clock), leases->valid_until);
}

static void
ask_soon (HzbLeases *leases)
{
  struct timespec soon = hzb_time_plus (leases->asked, ASK_SOON_S);
  if (hzb_time_before (soon, leases->next_ask))
    leases->next_ask = soon;
}

void
hzb_leases_finished (HzbLeases *leases, const HzbTask *task, double ran_s)
{
  cJSON *body = cJSON_CreateObject ();
  add_task (cJSON_AddObjectToObject (body, "finished"), task);
  cJSON_AddNumberToObject (body, "ranS", ran_s);
  push (&leases->out, ++leases->out_number, body);
  ask_soon (leases);
}

void
hzb_leases_give_machine (HzbLeases *leases, HzbMachine *m, const char *why)
{
  HzbController *c = leases->c;
  cJSON *body = cJSON_CreateObject (), *lost;

  cJSON_AddStringToObject (body, "machine", m->name);
  cJSON_AddStringToObject (body, "why", why);
  cJSON_AddBoolToObject (body, "sick", m->wanted_back && !m->asked_back);
  hzb_json_add_u64 (body, "session", m->session);
  hzb_json_add_u64 (body, "seq", m->seq);
  lost = cJSON_AddArrayToObject (body, "lost");
  hzb_machine_empty_lists (c->jobs, m);
  while (m->tasks->len)
    {
      HzbTask *task = m->tasks->pdata[m->tasks->len - 1];
      guint before = m->tasks->len;
      if (task->state == HZB_TASK_BOOKED)
        hzb_task_set_state (c->jobs, task, HZB_TASK_PENDING, NULL);
      else
        {
          cJSON *item = cJSON_CreateObject ();
          cJSON_AddStringToObject (item, "job", task->job->uid);
          cJSON_AddNumberToObject (item, "task", task->index);
          hzb_json_add_u64 (item, "attempt", task->attempt);
          cJSON_AddItemToArray (lost, item);
          hzb_task_set_state (c->jobs, task, HZB_TASK_ELSEWHERE, NULL);
        }
      g_return_if_fail (m->tasks->len < before);
    }
  push (&leases->out, ++leases->out_number, body);
  hzb_machine_set_state (c->machines, m, HZB_MACHINE_RETURNING, why);
  hzb_machine_set_state (c->machines, m, HZB_MACHINE_GONE, "from this block, back to the leader");
  hzb_machines_remove (c->machines, m);
}

static void
task_granted (HzbLeases *leases, HzbTask *task, gpointer user)
{
  if (task->state == HZB_TASK_ELSEWHERE)
    hzb_task_set_state (leases->c->jobs, task, HZB_TASK_PENDING, NULL);
}

static void
task_durable (HzbLeases *leases, HzbTask *task, gpointer user)
{
  if (task->state == HZB_TASK_FINISHED)
    hzb_task_set_state (leases->c->jobs, task, HZB_TASK_DONE, NULL);
}

static void
take_batch (HzbLeases *leases, const cJSON *batch)
{
  HzbController *c = leases->c;
  const cJSON *tasks = cJSON_GetObjectItemCaseSensitive (batch, "tasks"), *group;
  const char *name = hzb_json_text (batch, "machine"), *back = hzb_json_text (batch, "back");
  HzbJob *cancelled = hzb_json_text (batch, "cancelled") ? hzb_jobs_find (c->jobs, hzb_json_text (batch, "cancelled")) : NULL;

  if (cancelled && cancelled->state == HZB_JOB_ACCEPTED)
    cancelled->state = HZB_JOB_CANCELLED; /* as its record is, which this node may not have seen yet */
  if (tasks)
    {
      cJSON *unknown = NULL;
      cJSON_ArrayForEach (group, tasks)
        {
          HzbJob *job = hzb_jobs_find (c->jobs, group->string);
          if (job && job->state == HZB_JOB_ACCEPTED)
            hzb_jobs_activate (c->jobs, job);
          if (!job || !job->tasks)
            {
              /* Not in this node's mirror yet, or over: back they go. */
              if (!unknown)
                unknown = cJSON_CreateObject ();
              cJSON_AddItemToObject (unknown, group->string, cJSON_Duplicate (group, TRUE));
            }
        }
      if (unknown)
        {
          cJSON *body = cJSON_CreateObject ();
          cJSON_AddItemToObject (body, "returned", unknown);
          push (&leases->out, ++leases->out_number, body);
        }
      each_task (leases, tasks, task_granted, NULL);
    }
  each_task (leases, cJSON_GetObjectItemCaseSensitive (batch, "durable"), task_durable, NULL);
  if (name && !hzb_machines_find (c->machines, name) && hzb_json_text (batch, "type") && hzb_json_text (batch, "zone"))
    {
      HzbMachine *m = hzb_machines_add (c->machines, name, hzb_json_text (batch, "addr"), hzb_json_text (batch, "type"),
                                        hzb_json_text (batch, "zone"),
                                        cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (batch, "spot")), HZB_MACHINE_BOOTING);
      m->recorded = m->vouched = TRUE;
      hzb_machine_set_token (m, leases->token);
      m->session = hzb_json_u64 (batch, "session");
      m->seq = hzb_json_u64 (batch, "seq");
      m->heard = hzb_clock_now (c->clock);
    }
  if (back)
    {
      HzbMachine *m = hzb_machines_find (c->machines, back);
      if (m)
        m->asked_back = m->spare = TRUE;
    }
}

/* The block's term was raised: nothing is concluded from its machines until they have reported under it. */
static void
raise_token (HzbLeases *leases, guint64 token)
{
  HzbController *c = leases->c;
  leases->token = c->block->token = token;
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      hzb_machine_set_token (m, token);
    }
}

static void
on_answer (guint status, const char *body, gsize length, gpointer user)
{
  HzbLeases *leases = user;
  HzbController *c = leases->c;
  cJSON *root = status == 200 ? cJSON_ParseWithLength (body, length) : NULL;
  guint64 term = hzb_json_u64 (root, "term"), token = hzb_json_u64 (root, "token");
  const cJSON *batch;

  leases->asking = FALSE;
  if (root && !hzb_election_leading (c->election) && term == hzb_election_leader_term (c->election))
    {
      if (cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "end")))
        hzb_controller_end_leased (c, "the leader took the block back");
      else if (token)
        {
          if (c->hold == HZB_HOLD_NONE)
            {
              leases->token = token;
              hzb_controller_begin_leased (c, token);
            }
          else if (c->hold == HZB_HOLD_LEASED && token > leases->token)
            raise_token (leases, token);
          leases->answered = hzb_clock_now (c->clock);
          leases->valid_until = hzb_time_plus (hzb_clock_now (c->clock), hzb_json_number (root, "leaseS", 0));
          acknowledged (&leases->out, hzb_json_u64 (root, "have"));
          cJSON_ArrayForEach (batch, cJSON_GetObjectItemCaseSensitive (root, "batches"))
            if (hzb_json_u64 (batch, "n") == leases->in_number + 1)
              {
                leases->in_number++;
                take_batch (leases, batch);
              }
          if (cJSON_GetArraySize (cJSON_GetObjectItemCaseSensitive (root, "batches")))
            {
              hzb_dispatch_run (c->dispatch, hzb_clock_now (c->clock));
              ask_soon (leases);
            }
        }
    }
  cJSON_Delete (root);
}

/* CPUs' worth of tasks that the block could start now, and a little beyond. */
static double
room (HzbController *c)
{
  double free = 0, all = 0, listed = 0;
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (!hzb_machine_usable (m))
        continue;
      free += MAX (0, m->type->cpus - m->cpus);
      all += m->type->cpus;
    }
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      const HzbJob *job = c->jobs->active->pdata[i];
      listed += (job->listed + job->pending) * job->spec->cpus;
    }
  return free + AHEAD * all - listed;
}

static void
ask (HzbLeases *leases, struct timespec now)
{
  HzbController *c = leases->c;
  const char *leader = hzb_election_leader (c->election), *addr = NULL;
  cJSON *root, *running;

  for (guint i = 0; leader && i < c->settings->peers->len; i++)
    if (g_str_equal (((HzbPeer *) c->settings->peers->pdata[i])->node, leader))
      addr = ((HzbPeer *) c->settings->peers->pdata[i])->address;
  if (!addr || c->mirror != HZB_MIRROR_FOLLOWING)
    return;
  leases->asking = TRUE;
  leases->asked = now;
  root = hzb_peers_message (c->peers, HZB_PEER_BLOCK);
  if (c->hold == HZB_HOLD_LEASED)
    {
      hzb_json_add_u64 (root, "token", leases->token);
      hzb_json_add_u64 (root, "have", leases->in_number);
      cJSON_AddItemToObject (root, "events", all_of (&leases->out));
      cJSON_AddNumberToObject (root, "room", hzb_leases_valid (leases) ? room (c) : 0);
      running = cJSON_AddObjectToObject (root, "running");
      for (guint i = 0; i < c->jobs->active->len; i++)
        {
          const HzbJob *job = c->jobs->active->pdata[i];
          if (job->running)
            cJSON_AddNumberToObject (running, job->uid, job->running);
        }
    }
  hzb_send (c->transport, "POST", addr, "/peer/v1/block", cJSON_PrintUnformatted (root), ASK_TIMEOUT_MS, on_answer, leases);
  cJSON_Delete (root);
}

/* Tasks that have not started for a while, and those of jobs that are over, go back. */
static void
give_tasks (HzbLeases *leases, struct timespec now)
{
  HzbController *c = leases->c;
  cJSON *groups = NULL;

  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      gboolean over = job->state != HZB_JOB_ACCEPTED;
      for (guint k = 0; (job->pending || job->listed) && k < job->n_tasks; k++)
        {
          HzbTask *task = &job->tasks[k];
          if (task->state != HZB_TASK_PENDING && task->state != HZB_TASK_LISTED)
            continue;
          if (!over && hzb_time_between (task->since, now) < KEEP_S)
            continue;
          if (task->state == HZB_TASK_LISTED)
            hzb_task_set_state (c->jobs, task, HZB_TASK_PENDING, NULL);
          g_queue_remove (&job->retry, task);
          hzb_task_set_state (c->jobs, task, HZB_TASK_ELSEWHERE, NULL);
          if (!groups)
            groups = cJSON_CreateObject ();
          add_task (groups, task);
        }
      if (over && !job->placed && !job->pending && !job->listed)
        {
          hzb_jobs_retire (c->jobs, job);
          i--;
        }
    }
  if (groups)
    {
      cJSON *body = cJSON_CreateObject ();
      cJSON_AddItemToObject (body, "returned", groups);
      push (&leases->out, ++leases->out_number, body);
    }
}

static void
tend_machines (HzbLeases *leases, struct timespec now)
{
  HzbController *c = leases->c;
  for (guint i = c->machines->all->len; i-- > 0;)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      double quiet = hzb_time_between (m->heard, now);
      if (quiet > 3 * c->settings->report_s)
        hzb_leases_give_machine (leases, m, "it is silent");
      else if (m->deaf)
        hzb_leases_give_machine (leases, m, "it does not seem to hear its answers");
      else if (m->wanted_back && m->tasks->len == 0)
        hzb_leases_give_machine (leases, m, "it fails what it starts");
      else if (m->state == HZB_MACHINE_DRAINING && m->tasks->len == 0)
        {
          m->wanted_back = TRUE;
          hzb_leases_give_machine (leases, m, "the cloud takes it back");
        }
      else if (m->asked_back && m->tasks->len == 0)
        hzb_leases_give_machine (leases, m, "the leader asked for it");
      else if (m->state == HZB_MACHINE_ACTIVE && m->tasks->len == 0 && hzb_machine_listed (m) == 0
               && hzb_time_between (m->idle_since, now) > LEASE_S)
        hzb_leases_give_machine (leases, m, "it has nothing to do");
    }
}

void
hzb_leases_tick (HzbLeases *leases, struct timespec now)
{
  HzbController *c = leases->c;
  const char *leader = hzb_election_leader (c->election);

  if (hzb_election_leading (c->election))
    {
      for (guint i = 0; i < leases->lessees->len && c->hold >= HZB_HOLD_RECOVERING; i++)
        {
          Lessee *lessee = &g_array_index (leases->lessees, Lessee, i);
          if (lessee->token && hzb_time_between (lessee->asked, now) > MISSED_S)
            take_back (leases, lessee, "its controller is silent");
        }
      return;
    }
  if (c->hold == HZB_HOLD_LEASED
      && (hzb_election_leader_term (c->election) != hzb_token_leader (leases->token)))
    hzb_controller_end_leased (c, "another leads");
  if (c->hold == HZB_HOLD_LEASED && !hzb_leases_valid (leases))
    hzb_controller_end_leased (c, "the lease is over");
  if (c->hold == HZB_HOLD_LEASED && hzb_time_between (leases->answered, now) > GIVE_UP_S)
    hzb_controller_end_leased (c, "the leader does not answer");
  if (c->hold == HZB_HOLD_LEASED)
    {
      tend_machines (leases, now);
      give_tasks (leases, now);
    }
  if (leader && !leases->asking && !hzb_time_before (now, leases->next_ask))
    {
      leases->next_ask = hzb_time_plus (now, ASK_S);
      ask (leases, now);
    }
}

/* Called when a leased holding begins or ends. */
void
hzb_leases_clear_own (HzbLeases *leases)
{
  g_queue_clear_full (&leases->out, message_free);
  leases->in_number = leases->out_number = 0;
}
