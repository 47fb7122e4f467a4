/* A cancelled job is called so only once no owner can act without its cancellation.
 *
 * The record alone does not do: a leader that the state service refuses takes it for an outage while the others are
 * still served, and an outage for all that begins a moment later keeps it from being replaced. It would go on renewing
 * the leases of tasks whose cancellation it can't see, for as long as the outage lasts. So whoever is to tell a user
 * asks the owner, with the question that a lessee asks anyway; that needs no state service. The owner takes the
 * cancellation from the question (its record is durable and never changes) and answers which of the jobs it has heard
 * of for good: nothing of them may be on a machine that has not answered under its token, and each lessee that was
 * delegated a task of them has acknowledged it.
 *
 * The answer holds if no later owner exists: this node's mirror must have come as far as the job's record, and the
 * owner's term must be the highest seen there. A later one reads the record before it holds anything.
 *
 * Where the owner can't be reached, how far it has come can be read beside its flush record, which it writes anyway. */
#include "controller.h"

#define MAX_REQUESTS_PER_MESSAGE 64u
#define READ_EVERY_S 1.0
#define OLD_LEADER_S 4.5 /* a watch of version 1 is renewed within 4 s */

typedef struct
{
  char *uid;
  struct timespec until; /* asked for so long */
  struct timespec known; /* when it was first asked about here */
} PendingRequest;

struct _HzbCancellations
{
  HzbController *c;
  GQueue requests; /* Asked */
  gboolean reading;
  struct timespec next_read;
};

static void
pending_request_free (gpointer data)
{
  g_free (((PendingRequest *) data)->uid);
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
  g_queue_clear_full (&s->requests, pending_request_free);
  g_free (s);
}

/* This node's mirror has all that was before the job's record, the elections too. */
static gboolean
mirror_has (HzbController *c, const HzbJob *job)
{
  return job->version && c->revision >= job->version;
}

/* The owner's own view: nothing of the job can be where this cancellation is not known. */
static gboolean
acknowledged_by_all (HzbController *c, HzbJob *job)
{
  if (c->ownership < HZB_OWNERSHIP_RECOVERING || job->state != HZB_JOB_CANCELLED)
    return FALSE;
  if (!job->tasks)
    return TRUE; /* nothing of it was ever released, or all of it is gone */
  hzb_leases_announce_cancellation (c->leases, job);
  return !job->unknown && hzb_leases_all_acknowledged (c->leases, job);
}

gboolean
hzb_cancellations_acknowledged (HzbCancellations *s, HzbJob *job)
{
  HzbController *c = s->c;
  if (!job->cancel_acknowledged && hzb_election_leading (c->election) && mirror_has (c, job)
      && acknowledged_by_all (c, job))
    job->cancel_acknowledged = TRUE;
  return job->cancel_acknowledged;
}

gboolean
hzb_cancellations_request (HzbCancellations *s, HzbJob *job)
{
  HzbController *c = s->c;
  struct timespec now = hzb_clock_now (c->clock);
  PendingRequest *requests = NULL;

  if (hzb_election_leading (c->election))
    return c->ownership >= HZB_OWNERSHIP_RECOVERING;
  for (GList *l = s->requests.head; l && !requests; l = l->next)
    if (g_str_equal (((PendingRequest *) l->data)->uid, job->uid))
      requests = l->data;
  if (!requests)
    {
      requests = g_new0 (PendingRequest, 1);
      requests->uid = g_strdup (job->uid);
      requests->known = now;
      g_queue_push_tail (&s->requests, requests);
    }
  requests->until = hzb_time_plus (now, 10); /* its user comes back */
  hzb_lessee_poll_soon (c->lessee);
  return hzb_election_leader (c->election) && !hzb_peers_unreachable (c->peers, hzb_election_leader (c->election));
}

cJSON *
hzb_cancellations_pack_request (HzbCancellations *s)
{
  HzbController *c = s->c;
  struct timespec now = hzb_clock_now (c->clock);
  cJSON *question = NULL;
  guint n = 0;

  for (GList *l = s->requests.head; l;)
    {
      GList *next = l->next;
      PendingRequest *requests = l->data;
      HzbJob *job = hzb_jobs_find (c->jobs, requests->uid);
      if (!job || job->cancel_acknowledged || hzb_time_before (requests->until, now))
        {
          pending_request_free (requests);
          g_queue_delete_link (&s->requests, l);
        }
      else if (n < MAX_REQUESTS_PER_MESSAGE && mirror_has (c, job))
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
hzb_cancellations_handle_request (HzbCancellations *s, const cJSON *question)
{
  HzbController *c = s->c;
  cJSON *last_report = cJSON_CreateArray ();
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
    if (job && acknowledged_by_all (c, job))
      cJSON_AddItemToArray (last_report, cJSON_CreateString (job->uid));
  }
  return last_report;
}

static void
set_acknowledged (HzbController *c, const char *uid)
{
  HzbJob *job = uid ? hzb_jobs_find (c->jobs, uid) : NULL;
  if (job && job->state == HZB_JOB_CANCELLED && mirror_has (c, job))
    job->cancel_acknowledged = TRUE;
}

void
hzb_cancellations_handle_response (HzbCancellations *s, guint64 term, const cJSON *last_report)
{
  HzbController *c = s->c;
  const cJSON *uid;
  if (hzb_election_leading (c->election) || term < hzb_election_leader_term (c->election))
    return; /* there is a later owner */
  cJSON_ArrayForEach (uid, last_report) if (cJSON_IsString (uid)) set_acknowledged (c, uid->valuestring);
}

guint64
hzb_cancellations_acknowledged_revision (HzbCancellations *s)
{
  HzbController *c = s->c;
  guint64 clear = c->revision;

  if (c->ownership < HZB_OWNERSHIP_RECOVERING)
    return 0;
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      if (job->state != HZB_JOB_CANCELLED)
        continue;
      if (!job->version)
        return 0;
      if (!acknowledged_by_all (c, job))
        clear = MIN (clear, job->version - 1);
    }
  return clear;
}

static void
on_flush_record_read (HzbStoreResult result, const char *body, gpointer user)
{
  HzbCancellations *s = user;
  HzbController *c = s->c;
  HzbItem item = { 0 };

  s->reading = FALSE;
  if (result != HZB_STORE_OK || !hzb_wire_parse_item (body, &item))
    return;
  if (!hzb_election_leading (c->election) && hzb_json_u64 (item.value, "term")
      && hzb_json_u64 (item.value, "term") >= hzb_election_leader_term (c->election))
    for (GList *l = s->requests.head; l; l = l->next)
      {
        HzbJob *job = hzb_jobs_find (c->jobs, ((PendingRequest *) l->data)->uid);
        if (job && job->version <= hzb_json_u64 (item.value, "clear"))
          set_acknowledged (c, job->uid);
      }
  hzb_item_clear (&item);
}

/* A leader of version 1 acknowledges nothing. That it was served by the state service well after the record came here
 * shows that one of its watches has been renewed since, and so has brought it. */
static void
check_old_leader (HzbCancellations *s)
{
  HzbController *c = s->c;
  const char *leader = hzb_election_leader (c->election);
  struct timespec served;

  if (!leader || hzb_peers_unreachable (c->peers, leader) || hzb_peers_format (c->peers, leader) > 1
      || !hzb_peers_last_store_contact (c->peers, leader, &served))
    return;
  for (GList *l = s->requests.head; l; l = l->next)
    {
      const PendingRequest *requests = l->data;
      if (hzb_time_between (requests->known, served) > OLD_LEADER_S)
        set_acknowledged (c, requests->uid);
    }
}

void
hzb_cancellations_tick (HzbCancellations *s, struct timespec now)
{
  HzbController *c = s->c;
  const char *leader;

  if (!s->requests.length || hzb_election_leading (c->election) || hzb_time_before (now, s->next_read))
    return;
  s->next_read = hzb_time_plus (now, READ_EVERY_S);
  check_old_leader (s);
  leader = hzb_election_leader (c->election);
  if (s->reading || !leader || !hzb_peers_unreachable (c->peers, leader) || hzb_controller_store_silent (c))
    return;
  s->reading = TRUE;
  hzb_store_get (c->store, HZB_STORE_READ, HZB_KEY_FLUSH, on_flush_record_read, s);
}
