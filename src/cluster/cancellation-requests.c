/* Requests for the leader's acknowledgement of cancellations: how a controller that does not lead asks, and how the
 * leader answers. */
#include "cancellations-private.h"
#include "kv-protocol.h"
#include "record-keys.h"

#define MAX_REQUESTS_PER_MESSAGE 64u
#define REQUEST_KEPT_S 10.0 /* a user that waits for the confirmation repeats the question by then */
#define ATTEMPT_INTERVAL_S 1.0
#define SCHEMA_1_WATCH_S 4.5 /* a leader of schema version 1 renews its watch within 4 s */

typedef struct
{
  char *uid;             /* of the cancelled job */
  struct timespec until; /* the leader is asked until then */
  struct timespec known; /* when this controller was first asked about the job */
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

/* ---- asking ---- */

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
  request->known = now;
  g_queue_push_head (&cancellations->requests, request); /* first: it was never sent */
  return request;
}

gboolean
hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job)
{
  const HzbCancellationsDependencies *uses = &cancellations->uses;
  struct timespec now = hzb_clock_now (uses->node->clock);
  PendingRequest *request;

  if (hzb_election_leading (uses->election))
    return hzb_ownership_leader_loaded (uses->ownership);
  request = find_request (cancellations, job->uid);
  if (!request)
    request = add_request (cancellations, job->uid, now);
  request->until = hzb_time_plus (now, REQUEST_KEPT_S);
  cancellations->callbacks.poll_leader_soon (cancellations->user);
  return hzb_election_leader (uses->election)
         && !hzb_peers_unreachable (uses->peers, hzb_election_leader (uses->election));
}

/* What goes with this poll moves to the end of the queue, so that requests that the leader can't acknowledge for long
 * do not keep later ones from being sent. */
GArray *
hzb_cancellations_next_requests (HzbCancellations *cancellations)
{
  struct timespec now = hzb_clock_now (cancellations->uses.node->clock);
  GArray *requested = hzb_cancellations_array_new ();

  for (guint left = cancellations->requests.length; left && requested->len < MAX_REQUESTS_PER_MESSAGE; left--)
    {
      PendingRequest *request = g_queue_pop_head (&cancellations->requests);
      const HzbJob *job = hzb_jobs_find (cancellations->uses.jobs, request->uid);
      if (!job || job->cancel_acknowledged || hzb_time_before (request->until, now))
        {
          pending_request_free (request);
          continue;
        }
      g_queue_push_tail (&cancellations->requests, request);
      if (hzb_cancellations_replica_has (cancellations, job))
        hzb_cancellations_array_add (requested, job->uid, job->version, job->n_tasks);
    }
  return requested;
}

/* ---- answering ---- */

/* The leader's own replica of the records may be refused or behind, and then it does not show the cancellation yet. */
static HzbJob *
find_or_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation)
{
  HzbJob *job = hzb_jobs_find (cancellations->uses.jobs, cancellation->uid);
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

/* ---- taking acknowledgements ---- */

static void
set_acknowledged (HzbCancellations *cancellations, const char *uid)
{
  HzbJob *job = hzb_jobs_find (cancellations->uses.jobs, uid);
  if (job && job->state == HZB_JOB_CANCELLED && hzb_cancellations_replica_has (cancellations, job))
    job->cancel_acknowledged = TRUE;
}

/* An acknowledgement of this term counts only if there is no later leader, and none is needed where this controller
 * leads itself. */
static gboolean
is_of_current_leader (const HzbCancellations *cancellations, guint64 term)
{
  HzbElection *election = cancellations->uses.election;
  return !hzb_election_leading (election) && term >= hzb_election_leader_term (election);
}

void
hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, char *const *acknowledged_uids)
{
  if (!is_of_current_leader (cancellations, term))
    return;
  for (char *const *uid = acknowledged_uids; *uid; uid++)
    set_acknowledged (cancellations, *uid);
}

static void
apply_flush_record (HzbCancellations *cancellations, const cJSON *flush_record)
{
  HzbFlushedCancellations flushed = hzb_flushed_cancellations_decode (flush_record);

  if (!flushed.term || !is_of_current_leader (cancellations, flushed.term))
    return;
  for (GList *l = cancellations->requests.head; l; l = l->next)
    {
      const PendingRequest *request = l->data;
      const HzbJob *job = hzb_jobs_find (cancellations->uses.jobs, request->uid);
      if (job && job->version <= flushed.acknowledged_revision)
        set_acknowledged (cancellations, request->uid);
    }
}

static void
on_flush_record_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbCancellations *cancellations = user;
  HzbKvEntry entry = { 0 };

  cancellations->reading = FALSE;
  if (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &entry))
    return;
  apply_flush_record (cancellations, entry.value);
  hzb_kv_entry_clear (&entry);
}

/* The acknowledgements of a leader that this controller can't reach are in its flush record. */
static void
read_flush_record (HzbCancellations *cancellations)
{
  const HzbCancellationsDependencies *uses = &cancellations->uses;
  const char *leader = hzb_election_leader (uses->election);

  if (cancellations->reading || !leader || !hzb_peers_unreachable (uses->peers, leader)
      || hzb_kv_replica_store_unresponsive (uses->kv_replica))
    return;
  cancellations->reading = TRUE;
  hzb_kv_client_get (uses->kv, HZB_KV_READ, HZB_KEY_FLUSH, on_flush_record_read, cancellations);
}

/* A leader of schema version 1 acknowledges nothing. If the key-value store served that leader well after the record
 * came here, then one of the leader's watches has been renewed since and has brought it the cancellation. */
static void
check_schema_1_leader (HzbCancellations *cancellations)
{
  const HzbCancellationsDependencies *uses = &cancellations->uses;
  const char *leader = hzb_election_leader (uses->election);
  struct timespec served;

  if (!leader || hzb_peers_unreachable (uses->peers, leader)
      || hzb_peers_schema_version (uses->peers, leader) > HZB_SCHEMA_VERSION_1
      || !hzb_peers_last_kv_contact (uses->peers, leader, &served))
    return;
  for (GList *l = cancellations->requests.head; l; l = l->next)
    {
      const PendingRequest *request = l->data;
      if (hzb_time_between (request->known, served) > SCHEMA_1_WATCH_S)
        set_acknowledged (cancellations, request->uid);
    }
}

void
hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now)
{
  if (!cancellations->requests.length || hzb_election_leading (cancellations->uses.election)
      || hzb_time_before (now, cancellations->next_attempt))
    return;
  cancellations->next_attempt = hzb_time_plus (now, ATTEMPT_INTERVAL_S);
  check_schema_1_leader (cancellations);
  read_flush_record (cancellations);
}
