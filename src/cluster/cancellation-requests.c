/* Requests for the leader's acknowledgement of cancellations: sent by controllers that do not lead, answered by the
 * leader. */
#include "cancellations-private.h"
#include "kv-protocol.h"
#include "record-keys.h"

#define MAX_REQUESTS_PER_MESSAGE 64u
#define REQUEST_LIFETIME_S 10.0       /* a user that still waits for the confirmation repeats the query sooner */
#define EVIDENCE_CHECK_INTERVAL_S 1.0 /* see hzb_cancellations_tick() */
#define SCHEMA_1_WATCH_RENEWAL_S 4.5  /* a leader of schema version 1 renews its watch within 4 s */

typedef struct
{
  char *uid;                       /* of the cancelled job (owned) */
  struct timespec expires;         /* the request is dropped after this time */
  struct timespec first_requested; /* when this controller was first asked about the job */
} PendingRequest;

static void
pending_request_free (gpointer data)
{
  g_free (((PendingRequest *) data)->uid);
  g_free (data);
}

void
hzb_cancellations_clear_requests (HzbCancellations *cancellations)
{
  g_queue_clear_full (&cancellations->requests, pending_request_free);
}

/* ---- a controller that does not lead: requests ---- */

static PendingRequest *
find_request (const HzbCancellations *cancellations, const char *uid)
{
  for (GList *l = cancellations->requests.head; l; l = l->next)
    if (g_str_equal (((PendingRequest *) l->data)->uid, uid))
      return l->data;
  return NULL;
}

static PendingRequest *
add_request (HzbCancellations *cancellations, const char *uid, struct timespec now)
{
  PendingRequest *request = g_new0 (PendingRequest, 1);
  request->uid = g_strdup (uid);
  request->first_requested = now;
  g_queue_push_head (&cancellations->requests, request); /* at the head, because the request was never sent */
  return request;
}

gboolean
hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job)
{
  const HzbCancellationsDependencies *deps = &cancellations->dependencies;
  struct timespec now = hzb_clock_now (deps->node->clock);
  PendingRequest *request;

  if (hzb_election_is_leader (deps->election))
    return hzb_ownership_is_loaded_leader (deps->ownership);
  request = find_request (cancellations, job->uid);
  if (!request)
    request = add_request (cancellations, job->uid, now);
  request->expires = hzb_time_plus (now, REQUEST_LIFETIME_S);
  cancellations->callbacks.poll_leader_soon (cancellations->user);
  return hzb_election_leader (deps->election)
         && !hzb_peers_is_unreachable (deps->peers, hzb_election_leader (deps->election));
}

/* The selected requests move to the end of the queue, so that requests that the leader can't acknowledge for a long
 * time do not delay later ones. */
GArray *
hzb_cancellations_next_requests (HzbCancellations *cancellations)
{
  struct timespec now = hzb_clock_now (cancellations->dependencies.node->clock);
  GArray *requested = hzb_cancellations_array_new ();

  for (guint remaining = cancellations->requests.length; remaining && requested->len < MAX_REQUESTS_PER_MESSAGE;
       remaining--)
    {
      PendingRequest *request = g_queue_pop_head (&cancellations->requests);
      const HzbJob *job = hzb_jobs_find (cancellations->dependencies.jobs, request->uid);
      if (!job || job->cancel_acknowledged || hzb_time_before (request->expires, now))
        {
          pending_request_free (request);
          continue;
        }
      g_queue_push_tail (&cancellations->requests, request);
      if (hzb_cancellations_is_replicated (cancellations, job))
        hzb_cancellations_array_add (requested, job->uid, job->version, job->n_tasks);
    }
  return requested;
}

/* ---- the leader: responses ---- */

/* If the leader knows no completion record of the job yet, it applies the cancellation from the request: the leader's
 * replica of the records may lag, or the key-value store may refuse the leader. */
static HzbJob *
find_or_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation)
{
  HzbJob *job = hzb_jobs_find (cancellations->dependencies.jobs, cancellation->uid);
  return job && job->version ? job : hzb_cancellations_apply (cancellations, cancellation);
}

char **
hzb_cancellations_acknowledge (HzbCancellations *cancellations, const GArray *requested)
{
  g_autoptr (GStrvBuilder) acknowledged_uids = g_strv_builder_new ();

  for (guint i = 0; i < requested->len; i++)
    {
      HzbJob *job = find_or_apply (cancellations, &g_array_index (requested, HzbCancellation, i));
      if (job && hzb_cancellations_leader_acknowledges (cancellations, job))
        g_strv_builder_add (acknowledged_uids, job->uid);
    }
  return g_strv_builder_end (acknowledged_uids);
}

/* ---- a controller that does not lead: acknowledgements that it receives or reads ---- */

static void
set_acknowledged (HzbCancellations *cancellations, const char *uid)
{
  HzbJob *job = hzb_jobs_find (cancellations->dependencies.jobs, uid);
  if (job && job->state == HZB_JOB_CANCELLED && hzb_cancellations_is_replicated (cancellations, job))
    job->cancel_acknowledged = TRUE;
}

/* An acknowledgement from the leader of `term` is valid only if there is no later leader. A controller that leads
 * needs no acknowledgement from another controller. */
static gboolean
is_from_current_leader (const HzbCancellations *cancellations, guint64 term)
{
  HzbElection *election = cancellations->dependencies.election;
  return !hzb_election_is_leader (election) && term >= hzb_election_leader_term (election);
}

void
hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, char *const *acknowledged_uids)
{
  if (!is_from_current_leader (cancellations, term))
    return;
  for (char *const *uid = acknowledged_uids; *uid; uid++)
    set_acknowledged (cancellations, *uid);
}

static void
apply_flush_record (HzbCancellations *cancellations, const cJSON *flush_record)
{
  HzbFlushedCancellations flushed = hzb_flushed_cancellations_decode (flush_record);

  if (!flushed.term || !is_from_current_leader (cancellations, flushed.term))
    return;
  for (GList *l = cancellations->requests.head; l; l = l->next)
    {
      const PendingRequest *request = l->data;
      const HzbJob *job = hzb_jobs_find (cancellations->dependencies.jobs, request->uid);
      if (job && job->version <= flushed.acknowledged_revision)
        set_acknowledged (cancellations, request->uid);
    }
}

static void
on_flush_record_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbCancellations *cancellations = user;
  HzbKvEntry entry = { 0 };

  cancellations->reading_flush_record = FALSE;
  if (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &entry))
    return;
  apply_flush_record (cancellations, entry.value);
  hzb_kv_entry_clear (&entry);
}

/* If the leader is unreachable, reads its acknowledgements from its flush record in the key-value store. */
static void
read_flush_record (HzbCancellations *cancellations)
{
  const HzbCancellationsDependencies *deps = &cancellations->dependencies;
  const char *leader = hzb_election_leader (deps->election);

  if (cancellations->reading_flush_record || !leader || !hzb_peers_is_unreachable (deps->peers, leader)
      || hzb_kv_replica_store_unresponsive (deps->kv_replica))
    return;
  cancellations->reading_flush_record = TRUE;
  hzb_kv_client_get (deps->kv, HZB_KV_READ, HZB_KEY_FLUSH, on_flush_record_read, cancellations);
}

/* A leader of schema version 1 sends no acknowledgements. If the key-value store served that leader more than
 * SCHEMA_1_WATCH_RENEWAL_S after this controller was first asked about the job, then the leader has renewed its watch
 * since and has received the cancellation with it. */
static void
check_schema_1_leader (HzbCancellations *cancellations)
{
  const HzbCancellationsDependencies *deps = &cancellations->dependencies;
  const char *leader = hzb_election_leader (deps->election);
  struct timespec served;

  if (!leader || hzb_peers_is_unreachable (deps->peers, leader)
      || hzb_peers_schema_version (deps->peers, leader) > HZB_SCHEMA_VERSION_1
      || !hzb_peers_last_kv_contact (deps->peers, leader, &served))
    return;
  for (GList *l = cancellations->requests.head; l; l = l->next)
    {
      const PendingRequest *request = l->data;
      if (hzb_time_between (request->first_requested, served) > SCHEMA_1_WATCH_RENEWAL_S)
        set_acknowledged (cancellations, request->uid);
    }
}

void
hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now)
{
  if (!cancellations->requests.length || hzb_election_is_leader (cancellations->dependencies.election)
      || hzb_time_before (now, cancellations->next_evidence_check))
    return;
  cancellations->next_evidence_check = hzb_time_plus (now, EVIDENCE_CHECK_INTERVAL_S);
  check_schema_1_leader (cancellations);
  read_flush_record (cancellations);
}
