/* The load: it reads all records with the replica's prefix.
 *
 * The load reads one page at a time. If a page was not received, the load requests only that page again, since the
 * records of the earlier pages have already been passed on. After each page the load reads the changes since the
 * previous step: the key-value store keeps only its last 10,000 changes, so a load that took long could not read all
 * changes at its end. After the last page the load reads the changes a last time, so that the replica shows all records
 * as of one revision. */
#include "kv-protocol.h"
#include "kv-replica-private.h"

#define LOAD_RETRY_DELAY_S 0.4 /* after a failed request, since an outage of the store may last for minutes */

static void
apply_page (HzbKvReplica *kv_replica, const GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    kv_replica->callbacks.apply (&g_array_index (items, HzbKvEntry, i), kv_replica->user);
}

static void
schedule_retry (HzbKvReplica *kv_replica)
{
  kv_replica->next_attempt = hzb_time_plus (hzb_clock_now (kv_replica->clock), LOAD_RETRY_DELAY_S);
}

static void
finish_load (HzbKvReplica *kv_replica, struct timespec as_of)
{
  kv_replica->revision = MAX (kv_replica->revision, kv_replica->load_revision);
  hzb_kv_replica_set_state (kv_replica, HZB_KV_REPLICA_FOLLOWING);
  hzb_kv_replica_advance_current_as_of (kv_replica, as_of);
  kv_replica->last_watch = hzb_clock_now (kv_replica->clock);
  kv_replica->callbacks.load_end (kv_replica->revision, kv_replica->user);
  g_message ("kv replica of %s: loaded all records at revision %" G_GUINT64_FORMAT
             "; following their changes from now on",
             kv_replica->prefix, kv_replica->revision);
  hzb_kv_replica_tick (kv_replica);
}

/* Goes to the step after a page that was applied. @more: whether there are pages after that page. */
static void
advance_load (HzbKvReplica *kv_replica, const GArray *items, gboolean more)
{
  if (more)
    {
      g_free (kv_replica->load_cursor);
      kv_replica->load_cursor = g_strdup (g_array_index (items, HzbKvEntry, items->len - 1).key);
    }
  kv_replica->load_step = more ? HZB_KV_LOAD_CHANGES : HZB_KV_LOAD_LAST_CHANGES;
  hzb_kv_replica_continue_load (kv_replica);
}

static void
on_page (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbKvReplicaCall *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!hzb_kv_replica_call_is_current (call))
    return;
  kv_replica->load_request_in_flight = FALSE;
  items = result == HZB_KV_OK ? hzb_kv_range_decode (body, &more, &revision) : NULL;
  if (!items)
    {
      schedule_retry (kv_replica);
      return;
    }
  if (!kv_replica->load_revision)
    kv_replica->load_revision = revision;
  apply_page (kv_replica, items);
  more = more && items->len;
  if (!more && kv_replica->load_revision == revision)
    finish_load (kv_replica, call->sent); /* the page is as of load_revision, so no later change can be missing */
  else
    advance_load (kv_replica, items, more);
}

static void
on_load_changes (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbKvReplicaCall *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!hzb_kv_replica_call_is_current (call))
    return;
  kv_replica->load_request_in_flight = FALSE;
  if (result == HZB_KV_NOT_FOUND)
    {
      g_message (
          "kv replica of %s: restarting the load of all records, since the key-value store no longer keeps the changes "
          "since the last page; nothing needs to be done",
          kv_replica->prefix);
      hzb_kv_replica_set_state (kv_replica, HZB_KV_REPLICA_EMPTY);
      schedule_retry (kv_replica);
      return;
    }
  items = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (!items)
    {
      schedule_retry (kv_replica);
      return;
    }
  kv_replica->load_revision = hzb_kv_replica_apply_changes (kv_replica, items, kv_replica->load_revision, revision);
  if (kv_replica->load_step == HZB_KV_LOAD_LAST_CHANGES)
    {
      finish_load (kv_replica, call->sent);
      return;
    }
  kv_replica->load_step = HZB_KV_LOAD_PAGE;
  hzb_kv_replica_continue_load (kv_replica);
}

void
hzb_kv_replica_continue_load (HzbKvReplica *kv_replica)
{
  kv_replica->load_request_in_flight = TRUE;
  if (kv_replica->load_step == HZB_KV_LOAD_PAGE)
    hzb_kv_client_range (kv_replica->kv, kv_replica->prefix, kv_replica->load_cursor, on_page,
                         hzb_kv_replica_call_new (kv_replica));
  else
    hzb_kv_client_changes (kv_replica->kv, kv_replica->prefix, kv_replica->load_revision, on_load_changes,
                           hzb_kv_replica_call_new (kv_replica));
}

void
hzb_kv_replica_begin_load (HzbKvReplica *kv_replica)
{
  hzb_kv_replica_set_state (kv_replica, HZB_KV_REPLICA_LOADING);
  kv_replica->callbacks.load_begin (kv_replica->user);
  g_clear_pointer (&kv_replica->load_cursor, g_free);
  kv_replica->load_revision = 0;
  kv_replica->load_step = HZB_KV_LOAD_PAGE;
  hzb_kv_replica_continue_load (kv_replica);
}
