#include "peer-heartbeat.h"

#include "cancellation-messages.h"
#include "json.h"

#include <math.h>

#define MS_PER_S 1e3 /* ages are sent in seconds, rounded down to whole milliseconds */

static void
task_counts_clear (gpointer data)
{
  g_free (((HzbTaskCounts *) data)->uid);
}

static void
peer_state_clear (gpointer data)
{
  g_free (((HzbPeerState *) data)->node);
}

HzbPeerHeartbeat *
hzb_peer_heartbeat_new (void)
{
  HzbPeerHeartbeat *heartbeat = g_new0 (HzbPeerHeartbeat, 1);
  heartbeat->counts = g_array_new (FALSE, FALSE, sizeof (HzbTaskCounts));
  g_array_set_clear_func (heartbeat->counts, task_counts_clear);
  heartbeat->peer_states = g_array_new (FALSE, FALSE, sizeof (HzbPeerState));
  g_array_set_clear_func (heartbeat->peer_states, peer_state_clear);
  heartbeat->watermarks = g_array_new (FALSE, FALSE, sizeof (HzbRelayedWatermark));
  heartbeat->cancellations = hzb_cancellations_array_new ();
  return heartbeat;
}

void
hzb_peer_heartbeat_free (HzbPeerHeartbeat *heartbeat)
{
  g_array_unref (heartbeat->counts);
  g_array_unref (heartbeat->peer_states);
  g_array_unref (heartbeat->watermarks);
  g_array_unref (heartbeat->cancellations);
  g_free (heartbeat);
}

void
hzb_peer_heartbeat_add_counts (HzbPeerHeartbeat *heartbeat, const char *uid, guint done, guint running)
{
  HzbTaskCounts counts = { g_strdup (uid), done, running };
  g_array_append_val (heartbeat->counts, counts);
}

void
hzb_peer_heartbeat_add_peer_state (HzbPeerHeartbeat *heartbeat, const char *node, guint64 started_ms,
                                   guint64 known_cancellations_revision, gboolean self_fenced)
{
  HzbPeerState state = { g_strdup (node), started_ms, known_cancellations_revision, self_fenced };
  g_array_append_val (heartbeat->peer_states, state);
}

static void
encode_peer_states (const HzbPeerHeartbeat *heartbeat, cJSON *message)
{
  cJSON *list = cJSON_AddArrayToObject (message, "about");
  for (guint i = 0; i < heartbeat->peer_states->len; i++)
    {
      const HzbPeerState *state = &g_array_index (heartbeat->peer_states, HzbPeerState, i);
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "node", state->node);
      hzb_json_add_u64 (item, "born", state->started_ms);
      hzb_json_add_u64 (item, "cancelledKnown", state->known_cancellations_revision);
      cJSON_AddBoolToObject (item, "withholds", state->self_fenced);
      cJSON_AddItemToArray (list, item);
    }
}

static void
encode_watermarks (const HzbPeerHeartbeat *heartbeat, cJSON *message)
{
  cJSON *list = cJSON_AddArrayToObject (message, "knownMarks");
  for (guint i = 0; i < heartbeat->watermarks->len; i++)
    {
      const HzbRelayedWatermark *watermark = &g_array_index (heartbeat->watermarks, HzbRelayedWatermark, i);
      cJSON *item = cJSON_CreateObject ();
      hzb_json_add_u64 (item, "version", watermark->revision);
      cJSON_AddNumberToObject (item, "ageS", floor (watermark->age_s * MS_PER_S) / MS_PER_S);
      cJSON_AddItemToArray (list, item);
    }
  hzb_json_add_u64 (message, "withheld", heartbeat->fenced_revision);
}

static void
encode_counts (const HzbPeerHeartbeat *heartbeat, cJSON *message)
{
  cJSON *list = cJSON_AddObjectToObject (message, "jobs");
  for (guint i = 0; i < heartbeat->counts->len; i++)
    {
      const HzbTaskCounts *counts = &g_array_index (heartbeat->counts, HzbTaskCounts, i);
      int pair[2] = { (int) counts->done, (int) counts->running };
      cJSON_AddItemToObject (list, counts->uid, cJSON_CreateIntArray (pair, G_N_ELEMENTS (pair)));
    }
}

static void
encode_cancellations (const HzbPeerHeartbeat *heartbeat, cJSON *message)
{
  cJSON_AddItemToObject (message, "cancelled", hzb_cancellations_encode (heartbeat->cancellations));
  hzb_json_add_u64 (message, "cancelledUpTo", heartbeat->cancellations_up_to);
}

void
hzb_peer_heartbeat_encode (const HzbPeerHeartbeat *heartbeat, cJSON *message)
{
  cJSON_DeleteItemFromObject (message, "format"); /* the envelope of a request has added this field already */
  cJSON_AddNumberToObject (message, "format", heartbeat->schema_version);
  cJSON_AddBoolToObject (message, "leads", heartbeat->leads);
  hzb_json_add_u64 (message, "term", heartbeat->term);
  cJSON_AddBoolToObject (message, "sendsWorkers", heartbeat->redirects_workers);
  cJSON_AddBoolToObject (message, "lostWorkers", heartbeat->lost_workers);
  cJSON_AddNumberToObject (message, "storeSilenceS", MIN (heartbeat->kv_unresponsive_s, HZB_KV_NEVER_SERVED_S));
  hzb_json_add_u64 (message, "mirrored", heartbeat->replicated_revision);
  hzb_json_add_u64 (message, "cancelledKnown", heartbeat->known_cancellations_revision);
  cJSON_AddBoolToObject (message, "withholds", heartbeat->self_fenced);
  encode_peer_states (heartbeat, message);
  encode_watermarks (heartbeat, message);
  if (heartbeat->counts->len)
    encode_counts (heartbeat, message);
  if (heartbeat->partial_counts)
    cJSON_AddTrueToObject (message, "partial");
  if (heartbeat->cancellations_up_to)
    encode_cancellations (heartbeat, message);
}

static gboolean
is_count (const cJSON *item)
{
  return cJSON_IsNumber (item) && item->valueint >= 0;
}

static void
decode_counts (HzbPeerHeartbeat *heartbeat, const cJSON *jobs)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, jobs)
    {
      const cJSON *done = cJSON_GetArrayItem (item, 0), *running = cJSON_GetArrayItem (item, 1);
      if (item->string && is_count (done) && is_count (running))
        hzb_peer_heartbeat_add_counts (heartbeat, item->string, (guint) done->valueint, (guint) running->valueint);
    }
}

static void
decode_peer_states (HzbPeerHeartbeat *heartbeat, const cJSON *peer_states)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, peer_states)
    if (hzb_json_text (item, "node"))
      hzb_peer_heartbeat_add_peer_state (heartbeat, hzb_json_text (item, "node"), hzb_json_u64 (item, "born"),
                                         hzb_json_u64 (item, "cancelledKnown"),
                                         cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "withholds")));
}

static void
decode_watermarks (HzbPeerHeartbeat *heartbeat, const cJSON *message)
{
  const cJSON *item;
  heartbeat->fenced_revision = hzb_json_u64 (message, "withheld");
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (message, "knownMarks"))
    {
      HzbRelayedWatermark watermark = { hzb_json_u64 (item, "version"), hzb_json_number (item, "ageS", -1) };
      if (watermark.revision && watermark.age_s >= 0)
        g_array_append_val (heartbeat->watermarks, watermark);
    }
}

/* A malformed cancellation makes the list incomplete, so the reply must not count as complete up to any revision. */
static void
decode_cancellations (HzbPeerHeartbeat *heartbeat, const cJSON *message)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (message, "cancelled");
  gboolean complete = hzb_cancellations_decode (list, heartbeat->cancellations);
  heartbeat->cancellations_up_to = complete ? hzb_json_u64 (message, "cancelledUpTo") : 0;
}

HzbPeerHeartbeat *
hzb_peer_heartbeat_decode (const cJSON *message)
{
  HzbPeerHeartbeat *heartbeat = hzb_peer_heartbeat_new ();
  heartbeat->schema_version = (guint) hzb_json_number (message, "format", 1);
  heartbeat->leads = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "leads"));
  heartbeat->term = hzb_json_u64 (message, "term");
  heartbeat->redirects_workers = !cJSON_IsFalse (cJSON_GetObjectItemCaseSensitive (message, "sendsWorkers"));
  heartbeat->lost_workers = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "lostWorkers"));
  heartbeat->kv_unresponsive_s = hzb_json_number (message, "storeSilenceS", HZB_KV_NEVER_SERVED_S);
  heartbeat->replicated_revision = hzb_json_u64 (message, "mirrored");
  heartbeat->known_cancellations_revision = hzb_json_u64 (message, "cancelledKnown");
  heartbeat->lists_cancellations = cJSON_HasObjectItem (message, "cancelledKnown");
  heartbeat->self_fenced = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "withholds"));
  decode_peer_states (heartbeat, cJSON_GetObjectItemCaseSensitive (message, "about"));
  decode_watermarks (heartbeat, message);
  decode_cancellations (heartbeat, message);
  heartbeat->partial_counts = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "partial"));
  decode_counts (heartbeat, cJSON_GetObjectItemCaseSensitive (message, "jobs"));
  return heartbeat;
}
