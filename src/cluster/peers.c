/* Messages between controllers: a heartbeat once a second, and the polls of leaseholders.
 *
 * Copies of old messages may come late, also from a process that has ended since. So each says which process sent it,
 * when that began, and counts: what is not the newest of its kind is refused, whoever it is from. */
#include "controller-private.h"
#include "json.h"
#include "peer-heartbeat.h"
#include "user-protocol.h"
#include "watermarks.h"

#include <string.h>

#define MOST_RETIRED 64u
/* Jobs whose counts go with a heartbeat, some 35 bytes each. Of more the next ones tell, in turn. */
#define MOST_SHOWN 1000u
#define SHOWN_FOR_S 30.0 /* counts that were not told anew for so long are of jobs that are over */
#define HEARTBEAT_TIMEOUT_MS 1500u
#define CONFIRM_EVERY_S 2.5 /* each asks each by itself so often, whoever else asks: see hzb_peers_current_as_of() */
/* The longest time in which a controller that learns of nothing may still answer a worker, and the worker take the answer:
 * what it knows may be so old, workers drop answers after 4 s, and clocks drift apart a little. */
#define WITHHELD_AFTER_S (HZB_CANCELLATIONS_KNOWN_S + 4.0 + 1.0)
#define REDIRECTS_S 3.0
#define LOST_WORKERS_S 120.0
#define BORN_SLACK_MS 1000u /* times of day differ a little */

typedef struct
{
  const HzbPeer *peer;
  gboolean asking;
  struct timespec confirmed; /* when the last heartbeat was sent there that it has answered */
  struct timespec last_heartbeat;
  double kv_unresponsive_s;
  guint64 term;
  gboolean leads;
  gboolean sends_workers; /* to the leader, lately */
  gboolean lost_workers;  /* and gave way for that, not long ago */
  gboolean logged_old_schema;
  guint schema_version;                      /* of records and messages, as it last said */
  guint64 known_revision;                    /* it knows all cancellations up to here; 0: a version that does not say */
  gboolean lists_cancellations, self_fenced; /* see HzbPeerHeartbeat */
  /* What others have said of it, while this process has not heard it itself. */
  guint64 relayed_born, relayed_known;
  gboolean relayed_self_fenced;
  /* by what it sent of its own accord */
  char *incarnation;
  guint64 born, number[HZB_PEER_N_KINDS];
} View;

/* What the owner has told of a job's tasks. */
typedef struct
{
  guint done, running;
  struct timespec told;
} Shown;

struct _HzbPeers
{
  HzbController *controller;
  GArray *views;              /* View */
  GHashTable *retired;        /* incarnations that others have followed */
  guint64 highest_known_term; /* the highest that a peer knew of */
  GHashTable *display;        /* uid -> Shown, by the owner's heartbeats */
  guint next_shown;           /* of the jobs whose counts are told in turn */
  guint64 born, number;
  struct timespec next;
  struct timespec current_as_of; /* see hzb_peers_current_as_of() */
  HzbWatermarks watermarks;
};

HzbPeers *
hzb_peers_new (HzbController *controller)
{
  HzbPeers *peers = g_new0 (HzbPeers, 1);
  struct timespec wall = hzb_clock_wall (controller->clock);
  peers->controller = controller;
  peers->born = (guint64) wall.tv_sec * 1000 + (guint64) wall.tv_nsec / 1000000;
  peers->display = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peers->retired = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peers->views = g_array_new (FALSE, TRUE, sizeof (View));
  hzb_watermarks_init (&peers->watermarks, WITHHELD_AFTER_S);
  for (guint i = 0; i < controller->settings->peers->len; i++)
    {
      View view = { .peer = controller->settings->peers->pdata[i], .kv_unresponsive_s = 1e6 };
      g_array_append_val (peers->views, view);
    }
  return peers;
}

void
hzb_peers_free (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    g_free (g_array_index (peers->views, View, i).incarnation);
  g_array_unref (peers->views);
  hzb_watermarks_clear (&peers->watermarks);
  g_hash_table_unref (peers->display);
  g_hash_table_unref (peers->retired);
  g_free (peers);
}

static double
silence (HzbPeers *peers, const View *view)
{
  return hzb_time_is_set (view->last_heartbeat)
             ? hzb_time_between (view->last_heartbeat, hzb_clock_now (peers->controller->clock))
             : 1e9;
}

gboolean
hzb_peers_any_reaches_kv (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      if (silence (peers, view) < 3 && view->kv_unresponsive_s < 2.5)
        return TRUE;
    }
  return FALSE;
}

static gboolean
lost_workers (const HzbController *controller)
{
  return hzb_time_is_set (controller->node->workers_lost_at)
         && hzb_time_between (controller->node->workers_lost_at, hzb_clock_now (controller->clock)) < LOST_WORKERS_S;
}

gboolean
hzb_peers_any_lost_workers (HzbPeers *peers)
{
  gboolean any = lost_workers (peers->controller);
  for (guint i = 0; i < peers->views->len && !any; i++)
    any = g_array_index (peers->views, View, i).lost_workers;
  return any;
}

gboolean
hzb_peers_any_sends_workers (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      if (silence (peers, view) < 3 && view->sends_workers)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_any_reachable (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    if (silence (peers, &g_array_index (peers->views, View, i)) < 5)
      return TRUE;
  return peers->views->len == 0;
}

static View *
view_of (HzbPeers *peers, const char *node)
{
  for (guint i = 0; node && i < peers->views->len; i++)
    if (g_str_equal (g_array_index (peers->views, View, i).peer->node, node))
      return &g_array_index (peers->views, View, i);
  return NULL;
}

gboolean
hzb_peers_unreachable (HzbPeers *peers, const char *node)
{
  const View *view = view_of (peers, node);
  return !view || silence (peers, view) > 3;
}

const char *
hzb_peers_incarnation (HzbPeers *peers, const char *node)
{
  return hzb_peers_unreachable (peers, node) ? NULL : view_of (peers, node)->incarnation;
}

guint
hzb_peers_schema_version (HzbPeers *peers, const char *node)
{
  return hzb_peers_unreachable (peers, node) ? 1 : view_of (peers, node)->schema_version;
}

gboolean
hzb_peers_all_support_schema (HzbPeers *peers, guint schema_version)
{
  for (guint i = 0; i < peers->views->len; i++)
    if (hzb_peers_schema_version (peers, g_array_index (peers->views, View, i).peer->node) < schema_version)
      return FALSE;
  return TRUE;
}

gboolean
hzb_peers_any_older_schema (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      if (silence (peers, view) < 3 && view->schema_version < peers->controller->node->schema_version)
        return TRUE;
    }
  return FALSE;
}

/* A process never knows less than it did, and one that follows it reads the records before it owns anything. */
static guint64
known_revision_of (const View *view)
{
  return view->incarnation ? view->known_revision : view->relayed_known;
}

static gboolean
is_self_fenced (const View *view)
{
  return view->incarnation ? view->self_fenced : view->relayed_self_fenced;
}

gboolean
hzb_peers_all_know_cancellations (HzbPeers *peers, guint64 revision)
{
  if (peers->views->len + 1 < peers->controller->settings->size)
    return FALSE; /* the settings name fewer than there are */
  for (guint i = 0; i < peers->views->len; i++)
    if (known_revision_of (&g_array_index (peers->views, View, i)) < revision)
      return FALSE;
  return TRUE;
}

gboolean
hzb_peers_any_lists_no_cancellations (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      if (hzb_time_is_set (view->last_heartbeat) && !view->lists_cancellations)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_all_list_cancellations (HzbPeers *peers)
{
  for (guint i = 0; i < peers->views->len; i++)
    if (!g_array_index (peers->views, View, i).lists_cancellations)
      return FALSE;
  return TRUE;
}

struct timespec
hzb_peers_current_as_of (HzbPeers *peers)
{
  return peers->current_as_of;
}

guint64
hzb_peers_fenced_revision (HzbPeers *peers)
{
  return peers->watermarks.fenced_revision;
}

/* The highest revision up to which all controllers but one know all cancellations, if that one has fenced itself once it
 * could have missed any; 0: there is none. */
static guint64
revision_known_but_to_one (HzbPeers *peers)
{
  guint64 lowest = G_MAXUINT64, second = G_MAXUINT64;
  gboolean self_fenced = FALSE;

  if (peers->views->len + 1 < peers->controller->settings->size)
    return 0; /* the settings name fewer than there are */
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      guint64 known = known_revision_of (view);
      if (known < lowest)
        {
          second = lowest;
          lowest = known;
          self_fenced = is_self_fenced (view);
        }
      else
        second = MIN (second, known);
    }
  return self_fenced ? MIN (second, hzb_kv_replica_revision (peers->controller->kv_replica)) : 0;
}

static void
note_known_revisions (HzbPeers *peers, struct timespec now)
{
  hzb_watermarks_add (&peers->watermarks, now, revision_known_but_to_one (peers));
  hzb_watermarks_advance (&peers->watermarks, now);
}

gboolean
hzb_peers_last_kv_contact (HzbPeers *peers, const char *node, struct timespec *at)
{
  const View *view = view_of (peers, node);
  if (!view || !hzb_time_is_set (view->last_heartbeat) || view->kv_unresponsive_s > 1e5)
    return FALSE;
  *at = hzb_time_plus (view->last_heartbeat, -view->kv_unresponsive_s);
  return TRUE;
}

void
hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running)
{
  const Shown *shown = g_hash_table_lookup (peers->display, uid);
  *done = shown ? shown->done : 0;
  *running = shown ? shown->running : 0;
}

cJSON *
hzb_peers_message (HzbPeers *peers, HzbPeerKind kind)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "node", peers->controller->settings->node);
  cJSON_AddStringToObject (root, "incarnation", peers->controller->node->incarnation);
  hzb_json_add_u64 (root, "born", peers->born);
  hzb_json_add_u64 (root, "number", ++peers->number);
  cJSON_AddNumberToObject (root, "format", peers->controller->node->schema_version);
  return root;
}

/* NULL: unknown, of an earlier process, or not the newest of its kind. */
static View *
sender (HzbPeers *peers, HzbPeerKind kind, const cJSON *root)
{
  const char *node = hzb_json_text (root, "node"), *incarnation = hzb_json_text (root, "incarnation");
  guint64 born = hzb_json_u64 (root, "born"), number = hzb_json_u64 (root, "number");
  View *view = view_of (peers, node);

  if (!view || !incarnation || !*incarnation)
    {
      g_message ("a peer's message is refused: %s", view ? "it names no process" : "nobody of that name is known");
      return NULL;
    }
  /* Guards against a return to version 1: it would misread what has been recorded since all read format 2. */
  if (hzb_election_schema_version (peers->controller->election) >= 2 && hzb_json_number (root, "format", 1) < 2)
    {
      if (!view->logged_old_schema)
        g_warning ("a message of %s is refused: it is of version 1, which is not served any more", node);
      view->logged_old_schema = TRUE;
      return NULL;
    }
  if (g_strcmp0 (view->incarnation, incarnation) != 0)
    {
      if (g_hash_table_contains (peers->retired, incarnation) || born + BORN_SLACK_MS < view->born)
        {
          g_message ("a message of %s is refused: it is of an earlier process", node);
          return NULL;
        }
      if (g_hash_table_size (peers->retired) >= MOST_RETIRED)
        g_hash_table_remove_all (peers->retired); /* by now their age tells them */
      if (view->incarnation)
        g_hash_table_add (peers->retired, view->incarnation);
      view->incarnation = g_strdup (incarnation);
      view->born = MAX (born, view->born);
      view->schema_version = 1; /* until it says another */
      view->known_revision = 0;
      view->lists_cancellations = view->self_fenced = FALSE;
      memset (view->number, 0, sizeof view->number);
    }
  if (number <= view->number[kind])
    {
      g_message ("a message of %s is refused: it comes late", node);
      return NULL;
    }
  view->number[kind] = number;
  return view;
}

/* ---- heartbeats ---- */

/* What a leader says of its jobs; others say nothing. What is not named in a partial list stays as it was, so there those are
 * named too of which nothing runs. */
static void
add_counts (HzbPeers *peers, HzbPeerHeartbeat *heartbeat)
{
  const GPtrArray *jobs = peers->controller->jobs->active;
  guint first = jobs->len > MOST_SHOWN ? peers->next_shown % jobs->len : 0;

  heartbeat->partial_counts = jobs->len > MOST_SHOWN;
  for (guint i = 0; i < MIN (jobs->len, MOST_SHOWN); i++)
    {
      const HzbJob *job = jobs->pdata[(first + i) % jobs->len];
      guint done = job->done + job->finished, running = job->running + job->delegated_running;
      if (done || running || heartbeat->partial_counts)
        hzb_peer_heartbeat_add_counts (heartbeat, job->uid, done, running);
    }
}

/* What this controller has of others, for those that have begun anew since. */
static void
add_relayed_state (HzbPeers *peers, HzbPeerHeartbeat *heartbeat, struct timespec now)
{
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      guint64 born = view->incarnation ? view->born : view->relayed_born;
      if (born)
        hzb_peer_heartbeat_add_peer_state (heartbeat, view->peer->node, born, known_revision_of (view),
                                           is_self_fenced (view));
    }
  for (GList *l = peers->watermarks.marks.head; l; l = l->next)
    {
      const HzbWatermark *mark = l->data;
      HzbWatermarkAge said = { mark->revision, hzb_time_between (mark->since, now) };
      g_array_append_val (heartbeat->watermarks, said);
    }
  heartbeat->fenced_revision = peers->watermarks.fenced_revision;
}

/* Of a process that this one has heard itself nobody else has to tell. */
static void
take_peer_state (HzbPeers *peers, const HzbPeerState *state)
{
  View *view = view_of (peers, state->node);
  if (!view || view->incarnation || state->born < view->relayed_born)
    return;
  view->relayed_known = state->born > view->relayed_born ? state->cancellations_known
                                                         : MAX (view->relayed_known, state->cancellations_known);
  view->relayed_born = state->born;
  view->relayed_self_fenced = state->self_fenced;
}

/* All of it stays true, whoever says it and however late it comes. */
static void
apply_relayed_state (HzbPeers *peers, const HzbPeerHeartbeat *heartbeat)
{
  struct timespec now = hzb_clock_now (peers->controller->clock);

  for (guint i = 0; i < heartbeat->peer_states->len; i++)
    take_peer_state (peers, &g_array_index (heartbeat->peer_states, HzbPeerState, i));
  hzb_watermarks_raise (&peers->watermarks, heartbeat->fenced_revision);
  for (guint i = 0; i < heartbeat->watermarks->len; i++)
    {
      const HzbWatermarkAge *mark = &g_array_index (heartbeat->watermarks, HzbWatermarkAge, i);
      hzb_watermarks_add (&peers->watermarks, hzb_time_plus (now, -mark->age_s), mark->revision);
    }
}

/* What this controller has to say now. */
static HzbPeerHeartbeat *
heartbeat_of_now (HzbPeers *peers)
{
  HzbController *controller = peers->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  HzbPeerHeartbeat *heartbeat = hzb_peer_heartbeat_new ();

  heartbeat->schema_version = controller->node->schema_version;
  heartbeat->leads = hzb_election_leading (controller->election);
  /* Also what others told: an owner may reach only nodes that the key-value store does not reach either. */
  heartbeat->term = MAX (hzb_election_leader_term (controller->election), peers->highest_known_term);
  heartbeat->sends_workers = hzb_time_is_set (controller->node->redirected_at)
                             && hzb_time_between (controller->node->redirected_at, now) < REDIRECTS_S;
  heartbeat->lost_workers = lost_workers (controller);
  heartbeat->kv_unresponsive_s = hzb_kv_client_unresponsive_s (controller->kv);
  heartbeat->replicated_revision = hzb_kv_replica_revision (controller->kv_replica);
  heartbeat->cancellations_known = hzb_cancellations_known_revision (controller->cancellations);
  heartbeat->self_fenced = hzb_cancellations_self_fenced (controller->cancellations);
  add_relayed_state (peers, heartbeat, now);
  if (hzb_ownership_state (controller->ownership) >= HZB_OWNERSHIP_RECOVERING)
    add_counts (peers, heartbeat);
  return heartbeat;
}

static gboolean
is_outdated (gpointer uid, gpointer shown, gpointer now)
{
  return hzb_time_between (((Shown *) shown)->told, *(struct timespec *) now) > SHOWN_FOR_S;
}

static void
take_counts (HzbPeers *peers, const HzbPeerHeartbeat *heartbeat)
{
  struct timespec now = hzb_clock_now (peers->controller->clock);

  if (heartbeat->partial_counts)
    g_hash_table_foreach_remove (peers->display, is_outdated, &now);
  else
    g_hash_table_remove_all (peers->display);
  for (guint i = 0; i < heartbeat->counts->len; i++)
    {
      const HzbTaskCounts *counts = &g_array_index (heartbeat->counts, HzbTaskCounts, i);
      Shown *shown = g_new0 (Shown, 1);
      shown->done = counts->done;
      shown->running = counts->running;
      shown->told = now;
      g_hash_table_replace (peers->display, g_strdup (counts->uid), shown);
    }
}

static void
apply_heartbeat (HzbPeers *peers, View *view, const HzbPeerHeartbeat *heartbeat)
{
  HzbController *controller = peers->controller;

  view->last_heartbeat = hzb_clock_now (controller->clock);
  view->kv_unresponsive_s = heartbeat->kv_unresponsive_s;
  view->term = heartbeat->term;
  view->sends_workers = heartbeat->sends_workers;
  view->lost_workers = heartbeat->lost_workers;
  view->schema_version = heartbeat->schema_version;
  view->known_revision =
      MAX (view->known_revision, MAX (heartbeat->replicated_revision, heartbeat->cancellations_known));
  view->lists_cancellations = heartbeat->lists_cancellations;
  view->self_fenced = heartbeat->self_fenced;
  view->leads = heartbeat->leads;
  apply_relayed_state (peers, heartbeat);
  if (view->leads)
    take_counts (peers, heartbeat);
  peers->highest_known_term = MAX (peers->highest_known_term, view->term);
  /* A owner that the key-value store does not reach learns here that it has been replaced. */
  if (view->term > hzb_election_term (controller->election))
    hzb_election_step_down (controller->election, "a peer knows a newer term");
}

typedef struct
{
  HzbPeers *peers;
  guint at;
  struct timespec sent;
} Call;

/* Guards against a peer whose own replica of the records is behind what it lists, or that could not list all: it proves nothing. */
static void
learn_cancellations (HzbPeers *peers, const HzbPeerHeartbeat *reply, struct timespec sent)
{
  if (!reply->cancellations_up_to)
    return;
  hzb_cancellations_learn (peers->controller->cancellations, reply->cancellations, reply->cancellations_up_to);
  if (reply->cancellations_up_to >= reply->replicated_revision
      && hzb_cancellations_known_revision (peers->controller->cancellations) >= reply->cancellations_up_to
      && hzb_time_before (peers->current_as_of, sent))
    peers->current_as_of = sent;
}

static void
on_heartbeat (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree Call *call = user;
  View *view = &g_array_index (call->peers->views, View, call->at);
  cJSON *root = status == 200 ? cJSON_ParseWithLength (body, length) : NULL;

  view->asking = FALSE;
  if (root)
    {
      g_autoptr (HzbPeerHeartbeat) heartbeat = hzb_peer_heartbeat_decode (root);
      apply_heartbeat (call->peers, view, heartbeat);
      learn_cancellations (call->peers, heartbeat, call->sent);
      view->confirmed = call->sent;
    }
  cJSON_Delete (root);
}

static void
send_heartbeat (HzbPeers *peers, guint at)
{
  View *view = &g_array_index (peers->views, View, at);
  g_autoptr (HzbPeerHeartbeat) heartbeat = heartbeat_of_now (peers);
  Call *call = g_new0 (Call, 1);
  cJSON *root = hzb_peers_message (peers, HZB_PEER_HEARTBEAT);

  view->asking = TRUE;
  call->peers = peers;
  call->at = at;
  call->sent = hzb_clock_now (peers->controller->clock);
  hzb_peer_heartbeat_encode (heartbeat, root);
  hzb_send (peers->controller->transport, "POST", view->peer->address, "/peer/v1/word", cJSON_PrintUnformatted (root),
            HEARTBEAT_TIMEOUT_MS, on_heartbeat, call);
  cJSON_Delete (root);
}

void
hzb_peers_tick (HzbPeers *peers, struct timespec now)
{
  if (hzb_time_before (now, peers->next))
    return;
  peers->next = hzb_time_plus (now, 1);
  note_known_revisions (peers, now);
  peers->next_shown += MOST_SHOWN; /* to each peer the same, once a second */
  for (guint i = 0; i < peers->views->len; i++)
    {
      const View *view = &g_array_index (peers->views, View, i);
      /* Whoever asks tells as much as the answer does, but for what only an answer can prove. */
      if (view->asking
          || (silence (peers, view) < 0.9 && hzb_time_is_set (view->confirmed)
              && hzb_time_between (view->confirmed, now) < CONFIRM_EVERY_S))
        continue;
      send_heartbeat (peers, i);
    }
}

static void
reply_heartbeat (HzbPeers *peers, HzbHttpRequest *http_request, const HzbPeerHeartbeat *theirs)
{
  g_autoptr (HzbPeerHeartbeat) heartbeat = heartbeat_of_now (peers);
  cJSON *reply = cJSON_CreateObject ();

  if (theirs->lists_cancellations)
    heartbeat->cancellations_up_to = hzb_cancellations_since (peers->controller->cancellations,
                                                              theirs->cancellations_known, heartbeat->cancellations);
  hzb_peer_heartbeat_encode (heartbeat, reply);
  hzb_http_request_respond (http_request, 200, cJSON_PrintUnformatted (reply), 0);
  cJSON_Delete (reply);
}

void
hzb_peers_handle_request (HzbPeers *peers, HzbHttpRequest *http_request)
{
  HzbController *controller = peers->controller;
  gboolean shard = g_str_equal (http_request->path, "/peer/v1/block");
  cJSON *root = cJSON_ParseWithLength (http_request->body, http_request->length);
  View *view = sender (peers, shard ? HZB_PEER_SHARD_POLL : HZB_PEER_HEARTBEAT, root);

  if (!view)
    hzb_http_request_respond (http_request, 400, hzb_error_response_encode ("not a message of a peer, or an old one"),
                              0);
  else if (shard)
    hzb_shard_leases_request (controller->shard_leases, http_request, root);
  else
    {
      g_autoptr (HzbPeerHeartbeat) theirs = hzb_peer_heartbeat_decode (root);
      apply_heartbeat (peers, view, theirs);
      reply_heartbeat (peers, http_request, theirs);
    }
  cJSON_Delete (root);
}
