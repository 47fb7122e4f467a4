/* Sends and receives the messages between controllers. */
#include "json.h"
#include "path-pattern.h"
#include "peers-private.h"
#include "user-protocol.h"

#define HEARTBEAT_PATH "/peer/v1/word"
#define SHARD_POLL_PATH "/peer/v1/block"
#define HEARTBEAT_INTERVAL_S 1.0
#define HEARTBEAT_TIMEOUT_MS 1500u
/* A controller skips its heartbeat to a peer if it received one from that peer less than RECENT_HEARTBEAT_S ago. But
 * hzb_peers_current_as_of() counts only replies to this controller's own heartbeats. So each controller sends a
 * heartbeat if the last one that the peer answered is older than CONFIRM_INTERVAL_S. */
#define RECENT_HEARTBEAT_S 0.9
#define CONFIRM_INTERVAL_S 2.5
#define RECENT_REDIRECT_S 3.0

/* Returns: milliseconds since the Unix epoch */
static guint64
wall_clock_ms (HzbClock *clock)
{
  struct timespec wall = hzb_clock_wall (clock);
  return (guint64) wall.tv_sec * 1000 + (guint64) wall.tv_nsec / 1000000;
}

HzbPeers *
hzb_peers_new (const HzbPeersDependencies *dependencies, const HzbPeersCallbacks *callbacks, gpointer user)
{
  HzbPeers *peers = g_new0 (HzbPeers, 1);
  peers->dependencies = *dependencies;
  peers->callbacks = *callbacks;
  peers->user = user;
  peers->started_ms = wall_clock_ms (dependencies->node->clock);
  peers->task_counts = hzb_task_count_table_new ();
  hzb_peer_table_init (&peers->table, dependencies->node);
  hzb_peer_senders_init (&peers->senders);
  hzb_peer_knowledge_init (&peers->knowledge, &peers->table);
  return peers;
}

void
hzb_peers_free (HzbPeers *peers)
{
  hzb_peer_knowledge_clear (&peers->knowledge);
  hzb_peer_senders_clear (&peers->senders);
  hzb_peer_table_clear (&peers->table);
  hzb_task_count_table_free (peers->task_counts);
  g_free (peers);
}

static struct timespec
current_time (const HzbPeers *peers)
{
  return hzb_clock_now (peers->dependencies.node->clock);
}

/* ---- heartbeats ---- */

cJSON *
hzb_peers_new_message (HzbPeers *peers, HzbPeerMessageKind kind)
{
  const HzbNode *node = peers->dependencies.node;
  const HzbPeerEnvelope envelope = { .node = node->settings->node,
                                     .incarnation = node->incarnation,
                                     .started_ms = peers->started_ms,
                                     .number = ++peers->last_message_number,
                                     .schema_version = node->schema_version };
  return hzb_peer_envelope_encode (&envelope);
}

/* Returns: (transfer full): a heartbeat with the current state of this controller */
static HzbPeerHeartbeat *
new_heartbeat (HzbPeers *peers)
{
  const HzbPeersDependencies *deps = &peers->dependencies;
  HzbPeerHeartbeat *heartbeat = hzb_peer_heartbeat_new ();

  heartbeat->schema_version = deps->node->schema_version;
  heartbeat->leads = hzb_election_is_leader (deps->election);
  /* The highest term of the peers is relayed, because a replaced leader may reach only controllers that can't reach the
   * key-value store either. */
  heartbeat->term = MAX (hzb_election_leader_term (deps->election), peers->highest_known_term);
  heartbeat->redirects_workers = hzb_peers_is_recent (peers, deps->node->redirected_at, RECENT_REDIRECT_S);
  heartbeat->lost_workers = hzb_peers_this_node_lost_workers (peers);
  heartbeat->kv_unresponsive_s = hzb_kv_client_unresponsive_s (deps->kv);
  heartbeat->replicated_revision = hzb_kv_replica_revision (deps->kv_replica);
  peers->callbacks.fill_heartbeat (heartbeat, peers->user);
  hzb_peer_knowledge_fill_heartbeat (&peers->knowledge, heartbeat, current_time (peers));
  if (hzb_ownership_is_loaded_leader (deps->ownership))
    hzb_task_count_table_fill_heartbeat (peers->task_counts, deps->jobs, heartbeat);
  return heartbeat;
}

static void
update_entry (HzbPeerEntry *entry, const HzbPeerHeartbeat *heartbeat, struct timespec now)
{
  entry->last_heartbeat = now;
  entry->kv_unresponsive_s = heartbeat->kv_unresponsive_s;
  entry->redirects_workers = heartbeat->redirects_workers;
  entry->lost_workers = heartbeat->lost_workers;
  entry->schema_version = heartbeat->schema_version;
  entry->known_revision =
      MAX (entry->known_revision, MAX (heartbeat->replicated_revision, heartbeat->known_cancellations_revision));
  entry->lists_cancellations = heartbeat->lists_cancellations;
  entry->self_fenced = heartbeat->self_fenced;
}

/* Applies a heartbeat of the entry's peer, or the peer's reply to a heartbeat of this controller. */
static void
apply_heartbeat (HzbPeers *peers, HzbPeerEntry *entry, const HzbPeerHeartbeat *heartbeat)
{
  struct timespec now = current_time (peers);

  update_entry (entry, heartbeat, now);
  hzb_peer_knowledge_apply_heartbeat (&peers->knowledge, heartbeat, now);
  if (heartbeat->leads)
    hzb_task_count_table_apply_heartbeat (peers->task_counts, heartbeat, now);
  peers->highest_known_term = MAX (peers->highest_known_term, heartbeat->term);
  /* This is how a leader that can't reach the key-value store learns that another leader has replaced it. */
  if (heartbeat->term > hzb_election_term (peers->dependencies.election))
    hzb_election_step_down (peers->dependencies.election, "a peer knows a newer term");
}

/* A heartbeat in flight. */
typedef struct
{
  HzbPeers *peers;
  HzbPeerEntry *receiver;
  struct timespec sent;
} HeartbeatCall;

/* Applies the cancellations in the reply to a heartbeat that was sent at `sent`. This controller then knows all
 * cancellations as of that time only if the list is complete up to the revision of the peer's own replica of the
 * records, and this controller could apply the whole list. */
static void
apply_listed_cancellations (HzbPeers *peers, const HzbPeerHeartbeat *reply, struct timespec sent)
{
  gboolean knows_all_listed = peers->callbacks.apply_reply (reply, peers->user);

  if (knows_all_listed && reply->cancellations_up_to >= reply->replicated_revision
      && hzb_time_before (peers->current_as_of, sent))
    peers->current_as_of = sent;
}

static void
on_heartbeat_reply (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HeartbeatCall *call = user;
  cJSON *message = status == 200 ? hzb_json_parse (body, length) : NULL;

  call->receiver->awaiting_reply = FALSE;
  if (message)
    {
      g_autoptr (HzbPeerHeartbeat) reply = hzb_peer_heartbeat_decode (message);
      apply_heartbeat (call->peers, call->receiver, reply);
      apply_listed_cancellations (call->peers, reply, call->sent);
      call->receiver->confirmed_sent = call->sent;
    }
  cJSON_Delete (message);
}

static void
send_heartbeat (HzbPeers *peers, HzbPeerEntry *receiver)
{
  g_autoptr (HzbPeerHeartbeat) heartbeat = new_heartbeat (peers);
  cJSON *message = hzb_peers_new_message (peers, HZB_PEER_HEARTBEAT);
  HeartbeatCall *call = g_new0 (HeartbeatCall, 1);

  receiver->awaiting_reply = TRUE;
  call->peers = peers;
  call->receiver = receiver;
  call->sent = current_time (peers);
  hzb_peer_heartbeat_encode (heartbeat, message);
  hzb_transport_send (peers->dependencies.node->transport, "POST", receiver->peer->address, HEARTBEAT_PATH,
                      cJSON_PrintUnformatted (message), HEARTBEAT_TIMEOUT_MS, on_heartbeat_reply, call);
  cJSON_Delete (message);
}

static gboolean
needs_heartbeat (const HzbPeers *peers, const HzbPeerEntry *entry, struct timespec now)
{
  gboolean received_recently = hzb_peer_table_unresponsive_s (&peers->table, entry) < RECENT_HEARTBEAT_S;
  gboolean confirmed =
      hzb_time_is_set (entry->confirmed_sent) && hzb_time_between (entry->confirmed_sent, now) < CONFIRM_INTERVAL_S;
  return !entry->awaiting_reply && !(received_recently && confirmed);
}

void
hzb_peers_tick (HzbPeers *peers, struct timespec now)
{
  if (hzb_time_before (now, peers->next_heartbeat))
    return;
  peers->next_heartbeat = hzb_time_plus (now, HEARTBEAT_INTERVAL_S);
  hzb_peer_knowledge_advance (&peers->knowledge, now, hzb_kv_replica_revision (peers->dependencies.kv_replica));
  hzb_task_count_table_advance (peers->task_counts);
  for (guint i = 0; i < peers->table.n_entries; i++)
    if (needs_heartbeat (peers, &peers->table.entries[i], now))
      send_heartbeat (peers, &peers->table.entries[i]);
}

/* ---- requests of peers ---- */

static void
handle_heartbeat (HzbPeers *peers, HzbPeerEntry *sender, HzbHttpRequest *http_request, const cJSON *message)
{
  g_autoptr (HzbPeerHeartbeat) request = hzb_peer_heartbeat_decode (message), reply = NULL;
  cJSON *reply_message = cJSON_CreateObject ();

  apply_heartbeat (peers, sender, request);
  reply = new_heartbeat (peers);
  peers->callbacks.fill_reply (request, reply, peers->user);
  hzb_peer_heartbeat_encode (reply, reply_message);
  hzb_http_request_respond (http_request, 200, cJSON_PrintUnformatted (reply_message), 0);
  cJSON_Delete (reply_message);
}

void
hzb_peers_handle_request (HzbPeers *peers, HzbHttpRequest *http_request)
{
  gboolean is_shard_poll = hzb_path_matches (http_request->path, SHARD_POLL_PATH);
  HzbPeerMessageKind kind = is_shard_poll ? HZB_PEER_SHARD_POLL : HZB_PEER_HEARTBEAT;
  cJSON *message = hzb_json_parse (http_request->body, http_request->length);
  HzbPeerEnvelope envelope = hzb_peer_envelope_decode (message);
  guint min_schema_version = MIN (hzb_election_schema_version (peers->dependencies.election), HZB_SCHEMA_VERSION_2);
  HzbPeerEntry *sender = hzb_peer_senders_admit (&peers->senders, &peers->table, &envelope, kind, min_schema_version);

  if (!is_shard_poll && !hzb_path_matches (http_request->path, HEARTBEAT_PATH))
    hzb_http_request_respond (http_request, 404, hzb_error_response_encode ("no such path for controllers"), 0);
  else if (!sender)
    hzb_http_request_respond (http_request, 400, hzb_error_response_encode ("not a message of a peer, or an old one"),
                              0);
  else if (kind == HZB_PEER_SHARD_POLL)
    peers->callbacks.handle_shard_poll (http_request, message, peers->user);
  else
    handle_heartbeat (peers, sender, http_request, message);
  cJSON_Delete (message);
}
