/* A cancelled job is called so only once no owner can act without its cancellation.
 *
 * The record alone does not do: a leader that the key-value store refuses takes it for an outage while the others are
 * still served, and an outage for all that begins a moment later keeps it from being replaced. It would go on renewing
 * the leases of tasks whose cancellation it can't see, for as long as the outage lasts. So whoever is to tell a user
 * asks the owner, with the question that a leaseholder asks anyway; that needs no key-value store. The owner takes the
 * cancellation from the question (its record is durable and never changes) and answers which of the jobs it has heard
 * of for good: nothing of them may be on a machine that has not answered under its fencing token, and each leaseholder that was
 * delegated a task of them has acknowledged it.
 *
 * The answer holds if no later owner exists: this node's replica must have come as far as the job's record, and the
 * owner's term must be the highest seen there. A later one reads the record before it holds anything.
 *
 * Where the owner can't be reached, how far it has come can be read beside its flush record, which it writes anyway.
 *
 * None of this rests on machines where every controller knows of the cancellation: each stops what it finds of the job, and
 * machines obey controllers only. Controllers tell each other what they lack, so that one that the key-value store refuses learns
 * of it too. And one that learns of nothing, since it stands still or reaches neither the key-value store nor a peer, does not
 * have to be waited for: it answers no worker once it could have missed a cancellation (may_answer_workers ()), so some
 * seconds after all others knew, nobody acts without it (hzb_peers_fenced_revision ()). */
#include "controller-private.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "user-protocol.h"

#define MAX_REQUESTS_PER_MESSAGE 64u
#define REQUEST_KEPT_S 10.0 /* its user comes back by then */
#define READ_EVERY_S 1.0
#define LOG_CAPACITY 4096u /* cancellations that peers can be told; who lacks more reads the records */
#define MOST_TOLD 500u     /* with a heartbeat: some 45 bytes each */
#define OLD_LEADER_S 4.5   /* a watch of version 1 is renewed within 4 s */

typedef struct
{
  char *uid;
  struct timespec until; /* asked for so long */
  struct timespec known; /* when it was first asked about here */
} PendingRequest;

struct _HzbCancellations
{
  HzbController *controller;
  GQueue requests; /* PendingRequest, the one that was asked longest ago first */
  HzbCancellationLog *log;
  guint64 learned_revision; /* peers have told of all up to here */
  gboolean self_fenced;     /* once set, for the rest of the process */
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
hzb_cancellations_new (HzbController *controller)
{
  HzbCancellations *cancellations = g_new0 (HzbCancellations, 1);
  cancellations->controller = controller;
  cancellations->log = hzb_cancellation_log_new (LOG_CAPACITY);
  return cancellations;
}

void
hzb_cancellations_free (HzbCancellations *cancellations)
{
  g_queue_clear_full (&cancellations->requests, pending_request_free);
  hzb_cancellation_log_free (cancellations->log);
  g_free (cancellations);
}

/* This node's replica has all that was before the job's record, the elections too. */
static gboolean
kv_replica_has (HzbController *controller, const HzbJob *job)
{
  return job->version && hzb_kv_replica_revision (controller->kv_replica) >= job->version;
}

/* Guards against a cancellation that nobody may be told of for as long as leaders change: each new one waits anew for the
 * machines that do not answer, and in a large fleet there always are some. A machine obeys controllers only, and each
 * of them knows of this cancellation: none starts anything of the job, and each answers a report that shows a task of it
 * with the command to stop. So it does not matter where the job's unconfirmed tasks are. One controller that is down, stands still
 * or is cut off does not count once it must have stopped answering workers. */
static gboolean
known_to_every_controller (HzbController *controller, const HzbJob *job)
{
  return job->state == HZB_JOB_CANCELLED && job->version
         && (hzb_peers_all_know_cancellations (controller->peers, job->version)
             || job->version <= hzb_peers_fenced_revision (controller->peers));
}

/* The owner's own view: nothing of the job can be where this cancellation is not known. */
static gboolean
acknowledged_by_all (HzbController *controller, HzbJob *job)
{
  if (known_to_every_controller (controller, job))
    return TRUE;
  if (!hzb_ownership_leader_loaded (controller->ownership) || job->state != HZB_JOB_CANCELLED)
    return FALSE;
  if (!job->tasks)
    return TRUE; /* nothing of it was ever released, or all of it is gone */
  hzb_shard_leases_announce_cancellation (controller->shard_leases, job);
  return !job->unconfirmed && hzb_shard_leases_all_acknowledged (controller->shard_leases, job);
}

gboolean
hzb_cancellations_acknowledged (HzbCancellations *cancellations, HzbJob *job)
{
  HzbController *controller = cancellations->controller;
  if (!job->cancel_acknowledged
      && (known_to_every_controller (controller, job)
          || (hzb_election_leading (controller->election) && kv_replica_has (controller, job)
              && acknowledged_by_all (controller, job))))
    job->cancel_acknowledged = TRUE;
  return job->cancel_acknowledged;
}

static PendingRequest *
find_request (const HzbCancellations *cancellations, const char *uid)
{
  for (GList *l = cancellations->requests.head; l; l = l->next)
    if (g_str_equal (((PendingRequest *) l->data)->uid, uid))
      return l->data;
  return NULL;
}

gboolean
hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job)
{
  HzbController *controller = cancellations->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  PendingRequest *request;

  if (hzb_election_leading (controller->election))
    return hzb_ownership_leader_loaded (controller->ownership);
  request = find_request (cancellations, job->uid);
  if (!request)
    {
      request = g_new0 (PendingRequest, 1);
      request->uid = g_strdup (job->uid);
      request->known = now;
      g_queue_push_head (&cancellations->requests, request); /* it was never asked */
    }
  request->until = hzb_time_plus (now, REQUEST_KEPT_S);
  hzb_leaseholder_poll_soon (controller->leaseholder);
  return hzb_election_leader (controller->election)
         && !hzb_peers_unreachable (controller->peers, hzb_election_leader (controller->election));
}

static cJSON *
pack_pending (const HzbJob *job)
{
  cJSON *item = cJSON_CreateObject ();
  hzb_json_add_u64 (item, "version", job->version);
  cJSON_AddNumberToObject (item, "n", job->n_tasks);
  return item;
}

/* Guards against requests that can't be acknowledged for long and keep all later ones from being sent: what goes with
 * this message is last with the next. */
cJSON *
hzb_cancellations_pack_request (HzbCancellations *cancellations)
{
  HzbController *controller = cancellations->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  cJSON *message = NULL;
  guint packed = 0;

  for (guint left = cancellations->requests.length; left && packed < MAX_REQUESTS_PER_MESSAGE; left--)
    {
      PendingRequest *request = g_queue_pop_head (&cancellations->requests);
      const HzbJob *job = hzb_jobs_find (controller->jobs, request->uid);
      if (!job || job->cancel_acknowledged || hzb_time_before (request->until, now))
        {
          pending_request_free (request);
          continue;
        }
      g_queue_push_tail (&cancellations->requests, request);
      if (!kv_replica_has (controller, job))
        continue;
      if (!message)
        message = cJSON_CreateObject ();
      cJSON_AddItemToObject (message, job->uid, pack_pending (job));
      packed++;
    }
  return message;
}

cJSON *
hzb_cancellations_handle_request (HzbCancellations *cancellations, const cJSON *request)
{
  HzbController *controller = cancellations->controller;
  cJSON *acknowledged = cJSON_CreateArray ();
  const cJSON *asked;

  cJSON_ArrayForEach (asked, request)
    {
      guint64 version = hzb_json_u64 (asked, "version");
      HzbJob *job;
      if (!version || !hzb_job_uid_is_valid (asked->string))
        continue;
      /* Perhaps before this node's own replica of the records shows it, which may be refused, or behind. */
      job = hzb_jobs_find (controller->jobs, asked->string);
      if (!job || !job->version)
        {
          cJSON *record = hzb_jobs_pack_final (HZB_JOB_CANCELLED, (guint) hzb_json_number (asked, "n", 0));
          job = hzb_jobs_apply (controller->jobs, asked->string, record, version);
          cJSON_Delete (record);
        }
      if (job && acknowledged_by_all (controller, job))
        cJSON_AddItemToArray (acknowledged, cJSON_CreateString (job->uid));
    }
  return acknowledged;
}

static void
set_acknowledged (HzbController *controller, const char *uid)
{
  HzbJob *job = uid ? hzb_jobs_find (controller->jobs, uid) : NULL;
  if (job && job->state == HZB_JOB_CANCELLED && kv_replica_has (controller, job))
    job->cancel_acknowledged = TRUE;
}

void
hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, const cJSON *acknowledged)
{
  HzbController *controller = cancellations->controller;
  const cJSON *uid;
  if (hzb_election_leading (controller->election) || term < hzb_election_leader_term (controller->election))
    return; /* there is a later owner */
  cJSON_ArrayForEach (uid, acknowledged)
    if (cJSON_IsString (uid))
      set_acknowledged (controller, uid->valuestring);
}

guint64
hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations)
{
  HzbController *controller = cancellations->controller;
  guint64 clear = hzb_kv_replica_revision (controller->kv_replica);

  if (!hzb_ownership_leader_loaded (controller->ownership))
    return 0;
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state != HZB_JOB_CANCELLED)
        continue;
      if (!job->version)
        return 0;
      if (!acknowledged_by_all (controller, job))
        clear = MIN (clear, job->version - 1);
    }
  return clear;
}

static void
on_flush_record_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbCancellations *cancellations = user;
  HzbController *controller = cancellations->controller;
  HzbKvEntry item = { 0 };

  cancellations->reading = FALSE;
  if (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &item))
    return;
  if (!hzb_election_leading (controller->election) && hzb_json_u64 (item.value, "term")
      && hzb_json_u64 (item.value, "term") >= hzb_election_leader_term (controller->election))
    for (GList *l = cancellations->requests.head; l; l = l->next)
      {
        HzbJob *job = hzb_jobs_find (controller->jobs, ((PendingRequest *) l->data)->uid);
        if (job && job->version <= hzb_json_u64 (item.value, "clear"))
          set_acknowledged (controller, job->uid);
      }
  hzb_kv_entry_clear (&item);
}

/* A leader of version 1 acknowledges nothing. That it was served by the key-value store well after the record came here
 * shows that one of its watches has been renewed since, and so has brought it. */
static void
check_old_leader (HzbCancellations *cancellations)
{
  HzbController *controller = cancellations->controller;
  const char *leader = hzb_election_leader (controller->election);
  struct timespec served;

  if (!leader || hzb_peers_unreachable (controller->peers, leader)
      || hzb_peers_schema_version (controller->peers, leader) > 1
      || !hzb_peers_last_kv_contact (controller->peers, leader, &served))
    return;
  for (GList *l = cancellations->requests.head; l; l = l->next)
    {
      const PendingRequest *request = l->data;
      if (hzb_time_between (request->known, served) > OLD_LEADER_S)
        set_acknowledged (controller, request->uid);
    }
}

void
hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now)
{
  HzbController *controller = cancellations->controller;
  const char *leader;

  if (!cancellations->requests.length || hzb_election_leading (controller->election)
      || hzb_time_before (now, cancellations->next_read))
    return;
  cancellations->next_read = hzb_time_plus (now, READ_EVERY_S);
  check_old_leader (cancellations);
  leader = hzb_election_leader (controller->election);
  if (cancellations->reading || !leader || !hzb_peers_unreachable (controller->peers, leader)
      || hzb_kv_replica_store_unresponsive (controller->kv_replica))
    return;
  cancellations->reading = TRUE;
  hzb_kv_client_get (controller->kv, HZB_KV_READ, HZB_KEY_FLUSH, on_flush_record_read, cancellations);
}

/* ---- what controllers tell each other ---- */

void
hzb_cancellations_note_record (HzbCancellations *cancellations, const HzbJob *job, guint64 revision)
{
  if (job->state == HZB_JOB_CANCELLED)
    hzb_cancellation_log_add (cancellations->log, job->uid, revision, job->n_tasks);
}

void
hzb_cancellations_note_reading (HzbCancellations *cancellations, guint64 revision)
{
  hzb_cancellation_log_restart (cancellations->log, revision);
}

guint64
hzb_cancellations_known_revision (HzbCancellations *cancellations)
{
  return MAX (hzb_kv_replica_revision (cancellations->controller->kv_replica), cancellations->learned_revision);
}

guint64
hzb_cancellations_since (HzbCancellations *cancellations, guint64 after, GArray *into)
{
  const HzbKvReplica *kv_replica = cancellations->controller->kv_replica;
  if (hzb_kv_replica_state (kv_replica) != HZB_KV_REPLICA_FOLLOWING)
    return 0;
  return hzb_cancellation_log_read (cancellations->log, after, hzb_kv_replica_revision (kv_replica), MOST_TOLD, into);
}

void
hzb_cancellations_learn (HzbCancellations *cancellations, const GArray *learned, guint64 up_to)
{
  HzbJobs *jobs = cancellations->controller->jobs;
  guint64 replicated_revision = hzb_kv_replica_revision (cancellations->controller->kv_replica);

  /* While all is read anew this node owns nothing, and what the reading does not show has moved to the old ends. */
  if (hzb_kv_replica_state (cancellations->controller->kv_replica) != HZB_KV_REPLICA_FOLLOWING)
    return;
  for (guint i = 0; i < learned->len; i++)
    {
      const HzbCancellation *cancellation = &g_array_index (learned, HzbCancellation, i);
      cJSON *record;
      /* What the replica of the records has shown by now may have moved to the old ends since. */
      if (cancellation->revision <= replicated_revision)
        continue;
      record = hzb_jobs_pack_final (HZB_JOB_CANCELLED, cancellation->n_tasks);
      hzb_jobs_apply (jobs, cancellation->uid, record, cancellation->revision);
      cJSON_Delete (record);
    }
  cancellations->learned_revision = MAX (cancellations->learned_revision, up_to);
}

gboolean
hzb_cancellations_self_fenced (HzbCancellations *cancellations)
{
  HzbController *controller = cancellations->controller;
  /* For good: others rely on it while they can't reach this process. Not before every peer can tell what it knows, or work
   * would be given up in an outage of the key-value store. */
  if (!cancellations->self_fenced && controller->settings->peers->len)
    cancellations->self_fenced = hzb_peers_all_list_cancellations (controller->peers);
  return cancellations->self_fenced;
}

gboolean
hzb_cancellations_may_answer_workers (HzbCancellations *cancellations)
{
  HzbController *controller = cancellations->controller;
  struct timespec kv_replica, peers;

  /* Also while nobody was heard yet: others may rely on what an earlier process of this node had said. */
  if (!hzb_cancellations_self_fenced (cancellations)
      && (!controller->settings->peers->len || hzb_peers_any_lists_no_cancellations (controller->peers)))
    return TRUE;
  kv_replica = hzb_kv_replica_current_as_of (controller->kv_replica);
  peers = hzb_peers_current_as_of (controller->peers);
  return hzb_time_between (hzb_time_before (kv_replica, peers) ? peers : kv_replica, hzb_clock_now (controller->clock))
         < HZB_CANCELLATIONS_KNOWN_S;
}
