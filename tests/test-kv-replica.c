/* The replica of the records against a model of the key-value store, whose answers arrive late, in random order, or not
 * at all. */
#include "support.h"

#include "fake-transport.h"
#include "kv-protocol.h"
#include "kv-replica.h"

#define PREFIX "hzb/a/"
#define KEYS 60u
#define ROWS 8u
#define STEP_S 0.05

/* ---- the model of the key-value store ---- */

typedef struct
{
  guint64 version;
  guint key;
  gboolean removed;
} Change;

typedef struct
{
  guint64 revision;
  guint64 versions[KEYS]; /* 0: the key does not exist */
  GArray *changes;        /* Change */
  guint n_kept_changes;   /* number of the latest changes that the store still keeps */
} Model;

static void
model_change (Model *model, guint key, gboolean remove)
{
  Change change = { ++model->revision, key, remove };
  model->versions[key] = remove ? 0 : change.version;
  g_array_append_val (model->changes, change);
}

static char *
query_parameter (const char *path, const char *name)
{
  g_autofree char *parameter = g_strconcat (name, "=", NULL);
  const char *at = strstr (path, parameter);
  gsize length;
  if (!at)
    return NULL;
  at += strlen (parameter);
  length = strcspn (at, "&");
  return g_strndup (at, length);
}

static char *
model_range (const Model *model, const char *path)
{
  g_autofree char *since = query_parameter (path, "since");
  GString *text = g_string_new ("{\"rows\":[");
  guint rows = 0, key = since ? (guint) g_ascii_strtoull (since + strlen (PREFIX), NULL, 10) + 1 : 0;
  for (; key < KEYS && rows < ROWS; key++)
    if (model->versions[key])
      g_string_append_printf (text, "%s{\"path\":\"" PREFIX "%03u\",\"value\":{},\"stamp\":%" G_GUINT64_FORMAT "}",
                              rows++ ? "," : "", key, model->versions[key]);
  while (key < KEYS && !model->versions[key])
    key++;
  g_string_append_printf (text, "],\"hasNext\":%s,\"epoch\":%" G_GUINT64_FORMAT "}", key < KEYS ? "true" : "false",
                          model->revision);
  return g_string_free (text, FALSE);
}

/* Returns: NULL if the store no longer keeps all changes after the revision in the path. */
static char *
model_changes (const Model *model, const char *path)
{
  g_autofree char *since = query_parameter (path, "since");
  guint64 after = g_ascii_strtoull (since, NULL, 10);
  GString *text;
  gboolean has_changes = FALSE;
  if (after + model->n_kept_changes < model->revision)
    return NULL;
  text = g_string_new ("{\"news\":[");
  for (guint i = (guint) after; i < model->changes->len; i++) /* the change at index i has version i + 1 */
    {
      const Change *change = &g_array_index (model->changes, Change, i);
      g_string_append_printf (text, "%s{\"%s\":\"" PREFIX "%03u\",\"value\":{},\"stamp\":%" G_GUINT64_FORMAT "}",
                              has_changes ? "," : "", change->removed ? "remove" : "put", change->key, change->version);
      has_changes = TRUE;
    }
  g_string_append_printf (text, "],\"epoch\":%" G_GUINT64_FORMAT "}", model->revision);
  return g_string_free (text, FALSE);
}

/* ---- the replica and its callbacks ---- */

/* The answer to a request that the model has carried out; the replica has not received it yet. */
typedef struct
{
  FakeCall *call;
  guint status;
  char *body;
} PendingReply;

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  FakeTransport transport;
  HzbKvClient *kv;
  HzbKvReplica *kv_replica;
  Model model;
  GRand *rand;
  GPtrArray *replies;
  guint64 versions[KEYS]; /* of each key, as the replica has passed it on; 0: the key does not exist */
  guint last_load[KEYS], load, pages, resets;
} Fixture;

static gboolean
may_load (gpointer user)
{
  return TRUE;
}

static void
load_begin (gpointer user)
{
  ((Fixture *) user)->load++;
}

static void
apply (const HzbKvEntry *item, gpointer user)
{
  Fixture *fixture = user;
  guint key = (guint) g_ascii_strtoull (item->key + strlen (PREFIX), NULL, 10);
  fixture->versions[key] = item->value ? item->version : 0;
  fixture->last_load[key] = fixture->load;
}

static void
load_end (guint64 revision, gpointer user)
{
  Fixture *fixture = user;
  for (guint key = 0; key < KEYS; key++)
    if (fixture->last_load[key] != fixture->load)
      fixture->versions[key] = 0; /* the load did not pass the key on, so it does not exist */
}

static void
count_reset (gpointer user)
{
  ((Fixture *) user)->resets++;
}

static const HzbKvReplicaCallbacks callbacks = { may_load, load_begin, apply, load_end, count_reset };

static void
fixture_up (Fixture *fixture, guint32 seed, guint n_kept_changes)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->settings = test_settings ();
  fixture->settings->kv_rps = 1000;
  fixture->clock = hzb_clock_new_manual ();
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->kv = hzb_kv_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
  fixture->kv_replica = hzb_kv_replica_new (fixture->kv, fixture->clock, PREFIX, 0, &callbacks, fixture);
  fixture->model.changes = g_array_new (FALSE, FALSE, sizeof (Change));
  fixture->model.n_kept_changes = n_kept_changes;
  fixture->rand = g_rand_new_with_seed (seed);
  fixture->replies = g_ptr_array_new ();
  for (guint key = 0; key < KEYS; key++)
    model_change (&fixture->model, key, FALSE);
  hzb_clock_advance (fixture->clock, 1);
}

static void
reply_free (PendingReply *reply)
{
  g_free (reply->body);
  g_free (reply);
}

static void
fixture_down (Fixture *fixture)
{
  for (guint i = 0; i < fixture->replies->len; i++)
    reply_free (fixture->replies->pdata[i]);
  g_ptr_array_unref (fixture->replies);
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
  hzb_kv_replica_free (fixture->kv_replica);
  hzb_kv_client_free (fixture->kv);
  hzb_clock_free (fixture->clock);
  hzb_settings_free (fixture->settings);
  g_array_unref (fixture->model.changes);
  g_rand_free (fixture->rand);
}

static void
tick (Fixture *fixture)
{
  hzb_clock_advance (fixture->clock, STEP_S);
  hzb_kv_client_pump (fixture->kv);
  hzb_kv_replica_tick (fixture->kv_replica);
}

static gboolean
is_carried_out (const Fixture *fixture, const FakeCall *call)
{
  for (guint i = 0; i < fixture->replies->len; i++)
    if (((const PendingReply *) fixture->replies->pdata[i])->call == call)
      return TRUE;
  return FALSE;
}

/* The model carries out the request now, and deliver() delivers its answer later. The model answers a watch without
 * waiting for a change. */
static void
carry_out (Fixture *fixture, FakeCall *call)
{
  PendingReply *reply = g_new0 (PendingReply, 1);
  gboolean page = g_str_has_prefix (call->path, "/kv?");
  fixture->pages += page;
  reply->call = call;
  reply->body = page ? model_range (&fixture->model, call->path) : model_changes (&fixture->model, call->path);
  reply->status = reply->body ? 200 : 410;
  g_ptr_array_add (fixture->replies, reply);
}

static void
deliver (Fixture *fixture, guint at)
{
  PendingReply *reply = g_ptr_array_remove_index (fixture->replies, at);
  fake_answer (&fixture->transport, reply->call, reply->status, reply->body ? reply->body : "");
  reply_free (reply);
}

/* Ends a request without the model's answer, whether the model has carried it out or not. */
static void
drop_answer (Fixture *fixture, FakeCall *call, guint status)
{
  for (guint i = 0; i < fixture->replies->len; i++)
    if (((PendingReply *) fixture->replies->pdata[i])->call == call)
      reply_free (g_ptr_array_remove_index (fixture->replies, i--));
  fake_answer (&fixture->transport, call, status, "");
}

static void
drop_expired (Fixture *fixture)
{
  struct timespec now = hzb_clock_now (fixture->clock);
  for (GList *l = fixture->transport.calls.head, *next; l; l = next)
    {
      next = l->next;
      if (hzb_time_before (((FakeCall *) l->data)->deadline, now))
        drop_answer (fixture, l->data, 0);
    }
}

static void
answer_all (Fixture *fixture)
{
  FakeCall *call;
  for (guint n = 0; n < 20 && (call = g_queue_peek_head (&fixture->transport.calls)); n++)
    {
      if (!is_carried_out (fixture, call))
        carry_out (fixture, call);
      for (guint i = 0; i < fixture->replies->len; i++)
        if (((PendingReply *) fixture->replies->pdata[i])->call == call)
          {
            deliver (fixture, i);
            break;
          }
    }
}

static void
expect_equal_state (const Fixture *fixture, guint32 seed)
{
  g_assert_cmpint (hzb_kv_replica_state (fixture->kv_replica), ==, HZB_KV_REPLICA_FOLLOWING);
  for (guint key = 0; key < KEYS; key++)
    if (fixture->versions[key] != fixture->model.versions[key])
      g_error ("seed %u: the replica shows key %u with version %u, but the store has version %u", seed, key,
               (guint) fixture->versions[key], (guint) fixture->model.versions[key]);
}

#define CONVERGENCE_STEPS 200u /* of 0.05 s: 10 s */

/* When every request is answered at once, the replica's state becomes equal to that of the model. */
static void
expect_convergence (Fixture *fixture, guint32 seed)
{
  for (guint i = 0; i < CONVERGENCE_STEPS; i++)
    {
      answer_all (fixture);
      tick (fixture);
    }
  answer_all (fixture);
  expect_equal_state (fixture, seed);
}

/* ---- random faults ---- */

typedef struct
{
  Fixture *fixture;
  guint32 seed;
  guint64 revision_before; /* the model's revision at the time of the request */
} SyncRequest;

/* Returns: the key's last change up to the revision; NULL if there is none. */
static const Change *
last_change (const Model *model, guint key, guint64 revision)
{
  for (guint i = (guint) revision; i-- > 0;)
    if (g_array_index (model->changes, Change, i).key == key)
      return &g_array_index (model->changes, Change, i);
  return NULL;
}

static gboolean
removed_since (const Model *model, guint key, guint64 revision)
{
  for (guint i = (guint) revision; i < model->changes->len; i++)
    if (g_array_index (model->changes, Change, i).key == key && g_array_index (model->changes, Change, i).removed)
      return TRUE;
  return FALSE;
}

/* If a sync reports a fresh replica, the replica has all changes from before the sync was requested, and no key that
 * had been deleted by then. */
static void
on_synced (gboolean fresh, gpointer user)
{
  g_autofree SyncRequest *sync_request = user;
  const Fixture *fixture = sync_request->fixture;
  for (guint key = 0; fresh && key < KEYS; key++)
    {
      const Change *change = last_change (&fixture->model, key, sync_request->revision_before);
      guint64 shown = fixture->versions[key];
      if (!change)
        continue;
      if (shown ? shown < change->version
                : !change->removed && !removed_since (&fixture->model, key, sync_request->revision_before))
        g_error ("seed %u: the sync reports a fresh replica, which shows key %u with version %u, but the key was %s "
                 "at version %u before the sync was requested",
                 sync_request->seed, key, (guint) shown, change->removed ? "removed" : "written",
                 (guint) change->version);
    }
}

static void
random_step (Fixture *fixture, guint32 seed)
{
  GQueue *calls = &fixture->transport.calls;
  FakeCall *call = calls->length
                       ? g_queue_peek_nth (calls, (guint) g_rand_int_range (fixture->rand, 0, (gint32) calls->length))
                       : NULL;
  guint64 before = hzb_kv_replica_revision (fixture->kv_replica);

  switch (g_rand_int_range (fixture->rand, 0, 20))
    {
    case 0:
    case 1:
    case 2:
      {
        guint key = (guint) g_rand_int_range (fixture->rand, 0, KEYS);
        if (fixture->model.versions[key] || g_rand_boolean (fixture->rand))
          model_change (&fixture->model, key, fixture->model.versions[key] && g_rand_boolean (fixture->rand));
        break;
      }
    case 3:
      {
        SyncRequest *sync_request = g_new0 (SyncRequest, 1);
        *sync_request = (SyncRequest){ fixture, seed, fixture->model.revision };
        hzb_kv_replica_sync (fixture->kv_replica, on_synced, sync_request);
        break;
      }
    case 4:
      if (call && g_rand_int_range (fixture->rand, 0, 3) == 0)
        drop_answer (fixture, call, g_rand_boolean (fixture->rand) ? 0 : 503);
      break;
    case 5:
      if (g_rand_int_range (fixture->rand, 0, 40) == 0)
        hzb_kv_replica_reset (fixture->kv_replica);
      break;
    case 6:
    case 7:
    case 8:
      tick (fixture);
      drop_expired (fixture);
      break;
    default:
      if (call && !is_carried_out (fixture, call) && g_rand_boolean (fixture->rand))
        carry_out (fixture, call);
      else if (fixture->replies->len)
        deliver (fixture, (guint) g_rand_int_range (fixture->rand, 0, (gint32) fixture->replies->len));
      break;
    }
  g_assert_cmpuint (hzb_kv_replica_revision (fixture->kv_replica), >=, before);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 300; seed++)
    {
      Fixture fixture;
      fixture_up (&fixture, seed, seed % 3 ? 200 : 25);
      for (guint i = 0; i < 3000; i++)
        random_step (&fixture, seed);
      expect_convergence (&fixture, seed);
      fixture_down (&fixture);
    }
}

/* ---- single faults ---- */

static FakeCall *
only_call (Fixture *fixture)
{
  g_assert_cmpuint (fixture->transport.calls.length, ==, 1);
  return g_queue_peek_head (&fixture->transport.calls);
}

/* The replica is reset while the request for a page is in flight. Guards against a load that uses a page of the load
 * before it. */
static void
test_page_from_before_reset (void)
{
  Fixture fixture;
  FakeCall *earlier_call;
  fixture_up (&fixture, 1, 1000);
  hzb_kv_replica_tick (fixture.kv_replica);
  for (guint i = 0; i < 4; i++) /* two pages, each followed by its changes */
    {
      carry_out (&fixture, only_call (&fixture));
      deliver (&fixture, 0);
    }
  earlier_call = only_call (&fixture);
  carry_out (&fixture, earlier_call);
  hzb_kv_replica_reset (fixture.kv_replica);
  model_change (&fixture.model, 3, TRUE);
  tick (&fixture);
  deliver (&fixture, 0);
  expect_convergence (&fixture, 1);
  fixture_down (&fixture);
}

/* The store refuses every second request of a load. The load keeps the records that it has read, repeats only the
 * refused request, and ends. */
static void
test_lost_pages (void)
{
  Fixture fixture;
  guint calls = 0;
  fixture_up (&fixture, 1, 1000);
  for (guint i = 0; i < 2000 && hzb_kv_replica_state (fixture.kv_replica) != HZB_KV_REPLICA_FOLLOWING; i++)
    {
      FakeCall *call = g_queue_peek_head (&fixture.transport.calls);
      if (call && ++calls % 2)
        drop_answer (&fixture, call, 503);
      else if (call)
        {
          carry_out (&fixture, call);
          deliver (&fixture, 0);
        }
      tick (&fixture);
    }
  g_assert_cmpint (hzb_kv_replica_state (fixture.kv_replica), ==, HZB_KV_REPLICA_FOLLOWING);
  g_assert_cmpuint (fixture.load, ==, 1);
  g_assert_cmpuint (fixture.pages, <=, KEYS / ROWS + 1);
  fixture_down (&fixture);
}

/* During a load more changes are made than the store keeps, but not between two pages. Guards against a load that reads
 * the changes only at its end, when the store no longer keeps them. */
static void
test_more_changes_than_kept (void)
{
  Fixture fixture;
  fixture_up (&fixture, 1, 20);
  for (guint i = 0; i < 400 && hzb_kv_replica_state (fixture.kv_replica) != HZB_KV_REPLICA_FOLLOWING; i++)
    {
      FakeCall *call = g_queue_peek_head (&fixture.transport.calls);
      if (call)
        {
          carry_out (&fixture, call);
          deliver (&fixture, 0);
        }
      for (guint k = 0; k < 5; k++)
        model_change (&fixture.model, (guint) g_rand_int_range (fixture.rand, 0, KEYS), FALSE);
      tick (&fixture);
    }
  expect_convergence (&fixture, 1);
  g_assert_cmpuint (fixture.resets, ==, 0);
  fixture_down (&fixture);
}

/* A sync gets the answer that the store no longer keeps the changes before the watch gets that answer. The sync reports
 * that the replica is not fresh, and the replica reads all records again. */
static void
test_sync_after_too_many_changes (void)
{
  Fixture fixture;
  SyncRequest *sync_request = g_new0 (SyncRequest, 1);
  FakeCall *call = NULL;
  fixture_up (&fixture, 1, 20);
  for (guint i = 0; i < 20; i++)
    {
      if (fixture.transport.calls.length && hzb_kv_replica_state (fixture.kv_replica) != HZB_KV_REPLICA_FOLLOWING)
        answer_all (&fixture);
      tick (&fixture);
    }
  g_assert_cmpint (hzb_kv_replica_state (fixture.kv_replica), ==, HZB_KV_REPLICA_FOLLOWING);
  for (guint i = 0; i < 30; i++)
    model_change (&fixture.model, i, TRUE);
  *sync_request = (SyncRequest){ &fixture, 1, fixture.model.revision };
  hzb_kv_replica_sync (fixture.kv_replica, on_synced, sync_request);
  call = g_queue_peek_tail (&fixture.transport.calls);
  carry_out (&fixture, call);
  deliver (&fixture, 0);
  g_assert_cmpuint (fixture.resets, ==, 1);
  expect_convergence (&fixture, 1);
  fixture_down (&fixture);
}

static void
ignore_result (HzbKvResult result, const char *body, gpointer user)
{
}

/* No watch is answered in time, since there are too many changes, while the store answers other requests. Guards
 * against a replica that never catches up: it has to read all records again in pages. */
static void
test_changes_too_large (void)
{
  Fixture fixture;
  fixture_up (&fixture, 1, 1000);
  for (guint i = 0; i < 1500 && fixture.load < 2; i++)
    {
      gboolean follows = hzb_kv_replica_state (fixture.kv_replica) == HZB_KV_REPLICA_FOLLOWING;
      if (!follows)
        answer_all (&fixture);
      else
        drop_expired (&fixture);
      if (follows && i % 10 == 0)
        {
          hzb_kv_client_get (fixture.kv, HZB_KV_READ, "hzb/o/other", ignore_result, NULL);
          fake_answer (&fixture.transport, g_queue_peek_tail (&fixture.transport.calls), 404, "");
        }
      tick (&fixture);
    }
  g_assert_cmpuint (fixture.load, ==, 2);
  expect_convergence (&fixture, 1);
  fixture_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/kv-replica/page-from-before-reset", test_page_from_before_reset);
  g_test_add_func ("/kv-replica/pages-that-do-not-come", test_lost_pages);
  g_test_add_func ("/kv-replica/more-changes-than-are-kept", test_more_changes_than_kept);
  g_test_add_func ("/kv-replica/sync-after-too-many-changes", test_sync_after_too_many_changes);
  g_test_add_func ("/kv-replica/changes-too-large", test_changes_too_large);
  g_test_add_func ("/kv-replica/random", test_random);
  return g_test_run ();
}
