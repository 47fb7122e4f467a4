/* The replica of the records against a plain model of the key-value store, whose answers come late, in any order, or
 * not at all. */
#include "support.h"

#include "fake-transport.h"
#include "kv-protocol.h"
#include "kv-replica.h"

#define PREFIX "hzb/a/"
#define KEYS 60u
#define ROWS 8u
#define STEP_S 0.05

/* ---- the plain model ---- */

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
  guint kept;             /* so many of the last changes can still be asked for */
} Model;

static void
model_change (Model *model, guint key, gboolean remove)
{
  Change change = { ++model->revision, key, remove };
  model->versions[key] = remove ? 0 : change.version;
  g_array_append_val (model->changes, change);
}

static char *
query (const char *path, const char *name)
{
  g_autofree char *mark = g_strconcat (name, "=", NULL);
  const char *at = strstr (path, mark);
  gsize length;
  if (!at)
    return NULL;
  at += strlen (mark);
  length = strcspn (at, "&");
  return g_strndup (at, length);
}

static char *
model_range (const Model *model, const char *path)
{
  g_autofree char *since = query (path, "since");
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

/* Returns: NULL if the changes after that revision are not kept any more. */
static char *
model_changes (const Model *model, const char *path)
{
  g_autofree char *since = query (path, "since");
  guint64 after = g_ascii_strtoull (since, NULL, 10);
  GString *text;
  gboolean any = FALSE;
  if (after + model->kept < model->revision)
    return NULL;
  text = g_string_new ("{\"news\":[");
  for (guint i = (guint) after; i < model->changes->len; i++) /* change i has the version i + 1 */
    {
      const Change *change = &g_array_index (model->changes, Change, i);
      g_string_append_printf (text, "%s{\"%s\":\"" PREFIX "%03u\",\"value\":{},\"stamp\":%" G_GUINT64_FORMAT "}",
                              any ? "," : "", change->removed ? "remove" : "put", change->key, change->version);
      any = TRUE;
    }
  g_string_append_printf (text, "],\"epoch\":%" G_GUINT64_FORMAT "}", model->revision);
  return g_string_free (text, FALSE);
}

/* ---- the replica of the records, and the module that made it ---- */

/* A request that the key-value store has carried out, and whose answer is on its way. */
typedef struct
{
  FakeCall *call;
  guint status;
  char *body;
} Reply;

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
  guint64 versions[KEYS]; /* as the replica of the records has handed them over */
  guint loads[KEYS], load, pages, lost;
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
  fixture->loads[key] = fixture->load;
}

static void
load_end (guint64 revision, gpointer user)
{
  Fixture *fixture = user;
  for (guint key = 0; key < KEYS; key++)
    if (fixture->loads[key] != fixture->load)
      fixture->versions[key] = 0; /* the reading did not show it */
}

static void
lost (gpointer user)
{
  ((Fixture *) user)->lost++;
}

static const HzbKvReplicaCallbacks funcs = { may_load, load_begin, apply, load_end, lost };

static void
fixture_up (Fixture *fixture, guint32 seed, guint kept)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->settings = test_settings ();
  fixture->settings->kv_rps = 1000;
  fixture->clock = hzb_clock_new_manual ();
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->kv = hzb_kv_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
  fixture->kv_replica = hzb_kv_replica_new (fixture->kv, fixture->clock, PREFIX, 0, &funcs, fixture);
  fixture->model.changes = g_array_new (FALSE, FALSE, sizeof (Change));
  fixture->model.kept = kept;
  fixture->rand = g_rand_new_with_seed (seed);
  fixture->replies = g_ptr_array_new ();
  for (guint key = 0; key < KEYS; key++)
    model_change (&fixture->model, key, FALSE);
  hzb_clock_advance (fixture->clock, 1);
}

static void
reply_free (Reply *reply)
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
  fake_transport_end (&fixture->transport, fixture->kv);
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
    if (((const Reply *) fixture->replies->pdata[i])->call == call)
      return TRUE;
  return FALSE;
}

/* The store carries the request out now, and its answer is delivered later. A watch is answered without waiting for a
 * change. */
static void
carry_out (Fixture *fixture, FakeCall *call)
{
  Reply *reply = g_new0 (Reply, 1);
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
  Reply *reply = g_ptr_array_remove_index (fixture->replies, at);
  fake_answer (&fixture->transport, reply->call, reply->status, reply->body ? reply->body : "");
  reply_free (reply);
}

/* The answer never comes, whether the request was carried out or not. */
static void
lose (Fixture *fixture, FakeCall *call, guint status)
{
  for (guint i = 0; i < fixture->replies->len; i++)
    if (((Reply *) fixture->replies->pdata[i])->call == call)
      reply_free (g_ptr_array_remove_index (fixture->replies, i--));
  fake_answer (&fixture->transport, call, status, "");
}

static void
lose_expired (Fixture *fixture)
{
  struct timespec now = hzb_clock_now (fixture->clock);
  for (GList *l = fixture->transport.calls.head, *next; l; l = next)
    {
      next = l->next;
      if (hzb_time_before (((FakeCall *) l->data)->deadline, now))
        lose (fixture, l->data, 0);
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
        if (((Reply *) fixture->replies->pdata[i])->call == call)
          {
            deliver (fixture, i);
            break;
          }
    }
}

static void
expect_same (const Fixture *fixture, guint32 seed)
{
  g_assert_cmpint (hzb_kv_replica_state (fixture->kv_replica), ==, HZB_KV_REPLICA_FOLLOWING);
  for (guint key = 0; key < KEYS; key++)
    if (fixture->versions[key] != fixture->model.versions[key])
      g_error ("seed %u: key %u is shown with version %u, and has %u", seed, key, (guint) fixture->versions[key],
               (guint) fixture->model.versions[key]);
}

#define SOON_TURNS 200u /* 10 s */

/* Once every request is answered at once, the replica of the records shows what the store has. */
static void
expect_same_soon (Fixture *fixture, guint32 seed)
{
  for (guint i = 0; i < SOON_TURNS; i++)
    {
      answer_all (fixture);
      tick (fixture);
    }
  answer_all (fixture);
  expect_same (fixture, seed);
}

/* ---- at random ---- */

typedef struct
{
  Fixture *fixture;
  guint32 seed;
  guint64 asked; /* the model's revision as the sync was asked for */
} Question;

/* Returns: the key's last change up to that revision; NULL if it had none. */
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

/* After a sync that reports a fresh replica, the replica has all changes from before the sync was asked for, and no key
 * that had been deleted by then. */
static void
on_synced (gboolean fresh, gpointer user)
{
  g_autofree Question *question = user;
  const Fixture *fixture = question->fixture;
  for (guint key = 0; fresh && key < KEYS; key++)
    {
      const Change *change = last_change (&fixture->model, key, question->asked);
      guint64 shown = fixture->versions[key];
      if (!change)
        continue;
      if (shown ? shown < change->version : !change->removed && !removed_since (&fixture->model, key, question->asked))
        g_error ("seed %u: key %u is proven fresh with version %u, and was %s at %u when it was asked", question->seed,
                 key, (guint) shown, change->removed ? "removed" : "written", (guint) change->version);
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
        Question *question = g_new0 (Question, 1);
        *question = (Question){ fixture, seed, fixture->model.revision };
        hzb_kv_replica_sync (fixture->kv_replica, on_synced, question);
        break;
      }
    case 4:
      if (call && g_rand_int_range (fixture->rand, 0, 3) == 0)
        lose (fixture, call, g_rand_boolean (fixture->rand) ? 0 : 503);
      break;
    case 5:
      if (g_rand_int_range (fixture->rand, 0, 40) == 0)
        hzb_kv_replica_reset (fixture->kv_replica);
      break;
    case 6:
    case 7:
    case 8:
      tick (fixture);
      lose_expired (fixture);
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
      expect_same_soon (&fixture, seed);
      fixture_down (&fixture);
    }
}

/* ---- one fault at a time ---- */

static FakeCall *
only_call (Fixture *fixture)
{
  g_assert_cmpuint (fixture->transport.calls.length, ==, 1);
  return g_queue_peek_head (&fixture->transport.calls);
}

/* The replica is reset while a page is on its way: that page does not count for the reading that follows. */
static void
test_page_of_before_reset (void)
{
  Fixture fixture;
  FakeCall *old;
  fixture_up (&fixture, 1, 1000);
  hzb_kv_replica_tick (fixture.kv_replica);
  for (guint i = 0; i < 4; i++) /* two pages, and the changes after each */
    {
      carry_out (&fixture, only_call (&fixture));
      deliver (&fixture, 0);
    }
  old = only_call (&fixture);
  carry_out (&fixture, old);
  hzb_kv_replica_reset (fixture.kv_replica);
  model_change (&fixture.model, 3, TRUE);
  tick (&fixture);
  deliver (&fixture, 0);
  expect_same_soon (&fixture, 1);
  fixture_down (&fixture);
}

/* Every second page does not come: what has been read stays, and the reading ends. */
static void
test_pages_that_do_not_come (void)
{
  Fixture fixture;
  guint calls = 0;
  fixture_up (&fixture, 1, 1000);
  for (guint i = 0; i < 2000 && hzb_kv_replica_state (fixture.kv_replica) != HZB_KV_REPLICA_FOLLOWING; i++)
    {
      FakeCall *call = g_queue_peek_head (&fixture.transport.calls);
      if (call && ++calls % 2)
        lose (&fixture, call, 503);
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

/* During a reading more changes are made than the store keeps, though not between two pages. */
static void
test_more_changes_than_are_kept (void)
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
  expect_same_soon (&fixture, 1);
  g_assert_cmpuint (fixture.lost, ==, 0);
  fixture_down (&fixture);
}

/* A sync finds out before the watch does that changes are not kept any more: it reports that the replica is not fresh,
 * and all records are read anew. */
static void
test_question_after_too_much (void)
{
  Fixture fixture;
  Question *question = g_new0 (Question, 1);
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
  *question = (Question){ &fixture, 1, fixture.model.revision };
  hzb_kv_replica_sync (fixture.kv_replica, on_synced, question);
  call = g_queue_peek_tail (&fixture.transport.calls);
  carry_out (&fixture, call);
  deliver (&fixture, 0);
  g_assert_cmpuint (fixture.lost, ==, 1);
  expect_same_soon (&fixture, 1);
  fixture_down (&fixture);
}

static void
ignore_result (HzbKvResult result, const char *body, gpointer user)
{
}

/* The answers to watches never come in time, since there are too many changes, though the store answers all else: all
 * records are read anew in pages. */
static void
test_news_too_large (void)
{
  Fixture fixture;
  fixture_up (&fixture, 1, 1000);
  for (guint i = 0; i < 1500 && fixture.load < 2; i++)
    {
      gboolean follows = hzb_kv_replica_state (fixture.kv_replica) == HZB_KV_REPLICA_FOLLOWING;
      if (!follows)
        answer_all (&fixture);
      else
        lose_expired (&fixture);
      if (follows && i % 10 == 0)
        {
          hzb_kv_client_get (fixture.kv, HZB_KV_READ, "hzb/o/other", ignore_result, NULL);
          fake_answer (&fixture.transport, g_queue_peek_tail (&fixture.transport.calls), 404, "");
        }
      tick (&fixture);
    }
  g_assert_cmpuint (fixture.load, ==, 2);
  expect_same_soon (&fixture, 1);
  fixture_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/kv-replica/page-from-before-reset", test_page_of_before_reset);
  g_test_add_func ("/kv-replica/pages-that-do-not-come", test_pages_that_do_not_come);
  g_test_add_func ("/kv-replica/more-changes-than-are-kept", test_more_changes_than_are_kept);
  g_test_add_func ("/kv-replica/sync-after-too-many-changes", test_question_after_too_much);
  g_test_add_func ("/kv-replica/changes-too-large", test_news_too_large);
  g_test_add_func ("/kv-replica/random", test_random);
  return g_test_run ();
}
