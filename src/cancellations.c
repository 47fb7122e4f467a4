/* A cancelled job is called so only once no holder can act without its cancellation.
 *
 * The record alone does not do: a leader that the state service refuses takes it for an outage while the others are
 * still served, and an outage for all that begins a moment later keeps it from being replaced. It would go on renewing
 * the leases of tasks whose cancellation it can't see, for as long as the outage lasts. So whoever is to tell a user
 * asks the holder, with the question that a lessee asks anyway; that needs no state service. The holder takes the
 * cancellation from the question (its record is durable and never changes) and answers which of the jobs it has heard
 * of for good: nothing of them may be on a machine that has not answered under its token, and each lessee that was
 * granted a task of them has acknowledged it.
 *
 * The answer holds if no later holder exists: this node's mirror must have come as far as the job's record, and the
 * holder's term must be the highest seen there. A later one reads the record before it holds anything.
 *
 * Where the holder can't be reached, how far it has come can be read beside its flush record, which it writes anyway. */
#include "controller.h"

#define MOST_ASKED 64u
#define LOOK_EVERY_S 1.0
#define OLD_LEADER_S 4.5 /* a watch of version 1 is renewed within 4 s */

typedef struct
{
  char *uid;
  struct timespec until; /* asked for so long */
  struct timespec known; /* when it was first asked about here */
} Asked;

struct _HzbCancellations
{
  HzbController *c;
  GQueue asked; /* Asked */
  gboolean looking;
  struct timespec next_look;
};

static void
asked_free (gpointer data)
{
  g_free (((Asked *) data)->uid);
  g_free (data);
}

HzbCancellations *
hzb_cancellations_new (HzbController *c)
{
  HzbCancellations *s = g_new0 (HzbCancellations, 1);
  s->c = c;
  return s;
}

void
hzb_cancellations_free (HzbCancellations *s)
{
  g_queue_clear_full (&s->asked, asked_free);
  g_free (s);
}

/* This node's mirror has all that was before the job's record, the elections too. */
static gboolean
mirror_has (HzbController *c, const HzbJob *job)
{
  return job->version && c->revision >= job->version;
}

/* The holder's own view: nothing of the job can be where this cancellation is not known. */
static gboolean
heard_by_all (HzbController *c, HzbJob *job)
{
  if (c->hold < HZB_HOLD_RECOVERING || job->state != HZB_JOB_CANCELLED)
    return FALSE;
  if (!job->tasks)
    return TRUE; /* nothing of it was ever released, or all of it is gone */
  hzb_leases_cancelled (c->leases, job);
  return !job->unknown && hzb_leases_all_told (c->leases, job);
}

gboolean
hzb_cancellations_effective (HzbCancellations *s, HzbJob *job)
{
  HzbController *c = s->c;
  if (!job->effective && hzb_election_leading (c->election) && mirror_has (c, job) && heard_by_all (c, job))
    job->effective = TRUE;
  return job->effective;
}

gboolean
hzb_cancellations_ask (HzbCancellations *s, HzbJob *job)
{
  HzbController *c = s->c;
  struct timespec now = hzb_clock_now (c->clock);
  Asked *asked = NULL;

  if (hzb_election_leading (c->election))
    return c->hold >= HZB_HOLD_RECOVERING;
  for (GList *l = s->asked.head; l && !asked; l = l->next)
    if (g_str_equal (((Asked *) l->data)->uid, job->uid))
      asked = l->data;
  if (!asked)
    {
      asked = g_new0 (Asked, 1);
      asked->uid = g_strdup (job->uid);
      asked->known = now;
      g_queue_push_tail (&s->asked, asked);
    }
  asked->until = hzb_time_plus (now, 10); /* its user comes back */
  hzb_lessee_ask_soon (c->lessee);
  return hzb_election_leader (c->election) && !hzb_peers_silent (c->peers, hzb_election_leader (c->election));
}

cJSON *
hzb_cancellations_question (HzbCancellations *s)
{
  HzbController *c = s->c;
  struct timespec now = hzb_clock_now (c->clock);
  cJSON *question = NULL;
  guint n = 0;

  for (GList *l = s->asked.head; l;)
    {
      GList *next = l->next;
      Asked *asked = l->data;
      HzbJob *job = hzb_jobs_find (c->jobs, asked->uid);
      if (!job || job->effective || hzb_time_before (asked->until, now))
        {
          asked_free (asked);
          g_queue_delete_link (&s->asked, l);
        }
      else if (n < MOST_ASKED && mirror_has (c, job))
        {
          cJSON *of = cJSON_CreateObject ();
          hzb_json_add_u64 (of, "version", job->version);
          cJSON_AddNumberToObject (of, "n", job->n_tasks);
          if (!question)
            question = cJSON_CreateObject ();
          cJSON_AddItemToObject (question, job->uid, of);
          n++;
        }
      l = next;
    }
  return question;
}

cJSON *
hzb_cancellations_answer (HzbCancellations *s, const cJSON *question)
{
  HzbController *c = s->c;
  cJSON *heard = cJSON_CreateArray ();
  const cJSON *of;

  cJSON_ArrayForEach (of, question)
    {
      guint64 version = hzb_json_u64 (of, "version");
      HzbJob *job;
      if (!version || !hzb_wire_uid_ok (of->string))
        continue;
      /* Perhaps before this node's own mirror shows it, which may be refused, or behind. */
      job = hzb_jobs_find (c->jobs, of->string);
      if (!job || !job->version)
        {
          cJSON *record = hzb_jobs_pack_final (HZB_JOB_CANCELLED, (guint) hzb_json_number (of, "n", 0));
          job = hzb_jobs_apply (c->jobs, of->string, record, version);
          cJSON_Delete (record);
        }
      if (job && heard_by_all (c, job))
        cJSON_AddItemToArray (heard, cJSON_CreateString (job->uid));
    }
  return heard;
}

static void
set_effective (HzbController *c, const char *uid)
{
  HzbJob *job = uid ? hzb_jobs_find (c->jobs, uid) : NULL;
  if (job && job->state == HZB_JOB_CANCELLED && mirror_has (c, job))
    job->effective = TRUE;
}

void
hzb_cancellations_answered (HzbCancellations *s, guint64 term, const cJSON *heard)
{
  HzbController *c = s->c;
  const cJSON *uid;
  if (hzb_election_leading (c->election) || term < hzb_election_leader_term (c->election))
    return; /* there is a later holder */
  cJSON_ArrayForEach (uid, heard)
    if (cJSON_IsString (uid))
      set_effective (c, uid->valuestring);
}

guint64
hzb_cancellations_clear (HzbCancellations *s)
{
  HzbController *c = s->c;
  guint64 clear = c->revision;

  if (c->hold < HZB_HOLD_RECOVERING)
    return 0;
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      if (job->state != HZB_JOB_CANCELLED)
        continue;
      if (!job->version)
        return 0;
      if (!heard_by_all (c, job))
        clear = MIN (clear, job->version - 1);
    }
  return clear;
}

static void
on_looked (HzbStoreResult result, const char *body, gpointer user)
{
  HzbCancellations *s = user;
  HzbController *c = s->c;
  HzbItem item = { 0 };

  s->looking = FALSE;
  if (result != HZB_STORE_OK || !hzb_wire_parse_item (body, &item))
    return;
  if (!hzb_election_leading (c->election) && hzb_json_u64 (item.value, "term")
      && hzb_json_u64 (item.value, "term") >= hzb_election_leader_term (c->election))
    for (GList *l = s->asked.head; l; l = l->next)
      {
        HzbJob *job = hzb_jobs_find (c->jobs, ((Asked *) l->data)->uid);
        if (job && job->version <= hzb_json_u64 (item.value, "clear"))
          set_effective (c, job->uid);
      }
  hzb_item_clear (&item);
}

/* A leader of version 1 acknowledges nothing. That it was served by the state service well after the record came here
 * shows that one of its watches has been renewed since, and so has brought it. */
static void
look_at_old_leader (HzbCancellations *s)
{
  HzbController *c = s->c;
  const char *leader = hzb_election_leader (c->election);
  struct timespec served;

  if (!leader || hzb_peers_silent (c->peers, leader) || hzb_peers_format (c->peers, leader) > 1
      || !hzb_peers_served_at (c->peers, leader, &served))
    return;
  for (GList *l = s->asked.head; l; l = l->next)
    {
      const Asked *asked = l->data;
      if (hzb_time_between (asked->known, served) > OLD_LEADER_S)
        set_effective (c, asked->uid);
    }
}

void
hzb_cancellations_tick (HzbCancellations *s, struct timespec now)
{
  HzbController *c = s->c;
  const char *leader;

  if (!s->asked.length || hzb_election_leading (c->election) || hzb_time_before (now, s->next_look))
    return;
  s->next_look = hzb_time_plus (now, LOOK_EVERY_S);
  look_at_old_leader (s);
  leader = hzb_election_leader (c->election);
  if (s->looking || !leader || !hzb_peers_silent (c->peers, leader) || hzb_controller_store_silent (c))
    return;
  s->looking = TRUE;
  hzb_store_get (c->store, HZB_STORE_READ, HZB_KEY_FLUSH, on_looked, s);
}
