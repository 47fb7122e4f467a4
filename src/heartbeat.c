#include "heartbeat.h"

#include "wire.h"

#define NEVER_SERVED_S 1e6 /* the longest silence that is stated */

static void
task_counts_clear (gpointer data)
{
  g_free (((HzbTaskCounts *) data)->uid);
}

HzbHeartbeat *
hzb_heartbeat_new (void)
{
  HzbHeartbeat *heartbeat = g_new0 (HzbHeartbeat, 1);
  heartbeat->counts = g_array_new (FALSE, FALSE, sizeof (HzbTaskCounts));
  g_array_set_clear_func (heartbeat->counts, task_counts_clear);
  return heartbeat;
}

void
hzb_heartbeat_free (HzbHeartbeat *heartbeat)
{
  g_array_unref (heartbeat->counts);
  g_free (heartbeat);
}

void
hzb_heartbeat_add_counts (HzbHeartbeat *heartbeat, const char *uid, guint done, guint running)
{
  HzbTaskCounts counts = { g_strdup (uid), done, running };
  g_array_append_val (heartbeat->counts, counts);
}

static void
encode_counts (const HzbHeartbeat *heartbeat, cJSON *message)
{
  cJSON *list = cJSON_AddObjectToObject (message, "jobs");
  for (guint i = 0; i < heartbeat->counts->len; i++)
    {
      const HzbTaskCounts *counts = &g_array_index (heartbeat->counts, HzbTaskCounts, i);
      int pair[2] = { (int) counts->done, (int) counts->running };
      cJSON_AddItemToObject (list, counts->uid, cJSON_CreateIntArray (pair, G_N_ELEMENTS (pair)));
    }
}

void
hzb_heartbeat_encode (const HzbHeartbeat *heartbeat, cJSON *message)
{
  cJSON_DeleteItemFromObject (message, "format"); /* the envelope of a request has it */
  cJSON_AddNumberToObject (message, "format", heartbeat->format);
  cJSON_AddBoolToObject (message, "leads", heartbeat->leads);
  hzb_json_add_u64 (message, "term", heartbeat->term);
  cJSON_AddBoolToObject (message, "sendsWorkers", heartbeat->sends_workers);
  cJSON_AddBoolToObject (message, "lostWorkers", heartbeat->lost_workers);
  cJSON_AddNumberToObject (message, "storeSilenceS", MIN (heartbeat->store_silence_s, NEVER_SERVED_S));
  hzb_json_add_u64 (message, "mirrored", heartbeat->mirrored);
  if (heartbeat->counts->len)
    encode_counts (heartbeat, message);
}

static gboolean
is_count (const cJSON *item)
{
  return cJSON_IsNumber (item) && item->valueint >= 0;
}

static void
decode_counts (HzbHeartbeat *heartbeat, const cJSON *jobs)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, jobs)
    {
      const cJSON *done = cJSON_GetArrayItem (item, 0), *running = cJSON_GetArrayItem (item, 1);
      if (item->string && is_count (done) && is_count (running))
        hzb_heartbeat_add_counts (heartbeat, item->string, (guint) done->valueint, (guint) running->valueint);
    }
}

HzbHeartbeat *
hzb_heartbeat_decode (const cJSON *message)
{
  HzbHeartbeat *heartbeat = hzb_heartbeat_new ();
  heartbeat->format = (guint) hzb_json_number (message, "format", 1);
  heartbeat->leads = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "leads"));
  heartbeat->term = hzb_json_u64 (message, "term");
  heartbeat->sends_workers = !cJSON_IsFalse (cJSON_GetObjectItemCaseSensitive (message, "sendsWorkers"));
  heartbeat->lost_workers = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "lostWorkers"));
  heartbeat->store_silence_s = hzb_json_number (message, "storeSilenceS", NEVER_SERVED_S);
  heartbeat->mirrored = hzb_json_u64 (message, "mirrored");
  decode_counts (heartbeat, cJSON_GetObjectItemCaseSensitive (message, "jobs"));
  return heartbeat;
}
