#include "election.h"

#define TTL_MS 4000
#define RENEW_S 0.9

struct _HzbElection
{
  HzbStore *store;
  HzbClock *clock;
  const HzbSettings *settings;
  GRand *rand;
  HzbElectionState state;
  char *incarnation;
  guint64 lease, term, term_version; /* ours, while leading */
  guint64 seen_term, seen_term_version;
  char *leader, *leader_incarnation; /* by the mirror */
  guint64 leader_lease, leader_term, leader_version;
  struct timespec next, requests, lease_valid_until, renew_sent;
  gboolean renewing, backing_off, raising, eager;
  guint format;
};

static const char nobody[] = "(none of version 1)"; /* leads by the first key, once the format is 2 */

static const char *const names[] = { "following", "ending-old", "leasing", "campaigning", "leading" };

static void
set_state (HzbElection *e, HzbElectionState to, const char *why)
{
  static const guint legal[] = {
    [HZB_ELECTION_FOLLOWING] = 1 << HZB_ELECTION_ENDING_OLD | 1 << HZB_ELECTION_LEASING,
    [HZB_ELECTION_ENDING_OLD] = 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_LEASING] = 1 << HZB_ELECTION_CAMPAIGNING | 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_CAMPAIGNING] = 1 << HZB_ELECTION_LEADING | 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_LEADING] = 1 << HZB_ELECTION_FOLLOWING,
  };
  if (!(legal[e->state] & 1u << to))
    {
      g_critical ("election: illegal change %s -> %s", names[e->state], names[to]);
      return;
    }
  if (to == HZB_ELECTION_LEADING || e->state == HZB_ELECTION_LEADING)
    g_message ("election: %s -> %s (term %" G_GUINT64_FORMAT "): %s", names[e->state], names[to], e->term, why);
  else
    g_debug ("election: %s -> %s: %s", names[e->state], names[to], why);
  e->state = to;
}

HzbElection *
hzb_election_new (HzbStore *store, HzbClock *clock, const HzbSettings *settings, GRand *rand)
{
  HzbElection *e = g_new0 (HzbElection, 1);
  e->store = store;
  e->clock = clock;
  e->settings = settings;
  e->rand = rand;
  e->format = 1;
  e->incarnation = g_strdup_printf ("%s-%08x%08x", settings->node, g_rand_int (rand), g_rand_int (rand));
  return e;
}

void
hzb_election_free (HzbElection *e)
{
  g_free (e->incarnation);
  g_free (e->leader);
  g_free (e->leader_incarnation);
  g_free (e);
}

gboolean
hzb_election_leading (HzbElection *e)
{
  return e->state == HZB_ELECTION_LEADING;
}

gboolean
hzb_election_lease_valid (HzbElection *e)
{
  return e->state == HZB_ELECTION_LEADING && hzb_time_before (hzb_clock_now (e->clock), e->lease_valid_until);
}

guint64
hzb_election_term (HzbElection *e)
{
  return e->term;
}

void
hzb_election_add_condition (HzbElection *e, cJSON *txn)
{
  hzb_wire_txn_if (txn, HZB_KEY_TERM, e->term_version);
}

gboolean
hzb_election_term_mirrored (HzbElection *e)
{
  return e->state == HZB_ELECTION_LEADING && e->seen_term == e->term;
}

const char *
hzb_election_leader (HzbElection *e)
{
  if (e->state == HZB_ELECTION_LEADING)
    return e->settings->node;
  if (e->leader && g_str_equal (e->leader, e->settings->node))
    return NULL; /* an earlier life of ours */
  return e->leader;
}

guint
hzb_election_format (HzbElection *e)
{
  return e->format;
}

guint64
hzb_election_leader_term (HzbElection *e)
{
  return e->state == HZB_ELECTION_LEADING ? e->term : e->seen_term;
}

static double
jitter (HzbElection *e)
{
  return e->eager ? g_rand_double_range (e->rand, 0, 0.03) : g_rand_double_range (e->rand, 0.05, 0.4);
}

static void
on_ended (HzbStoreResult result, const char *body, gpointer user)
{
  HzbElection *e = user;
  if (e->state == HZB_ELECTION_ENDING_OLD)
    {
      e->next = hzb_time_plus (hzb_clock_now (e->clock), 0.3);
      set_state (e, HZB_ELECTION_FOLLOWING, "the earlier lease was ended");
    }
}

static void
ignore_result (HzbStoreResult result, const char *body, gpointer user)
{
}

/* Guards against a lease left behind after a try whose end is not known: once it is over, a late
 * transaction that names it is refused by the state service. */
static void
give_up (HzbElection *e, const char *why)
{
  if (e->lease)
    hzb_store_end_lease (e->store, e->lease, ignore_result, e);
  e->lease = 0;
  e->next = hzb_time_plus (hzb_clock_now (e->clock), 0.3 + jitter (e));
  set_state (e, HZB_ELECTION_FOLLOWING, why);
}

void
hzb_election_step_down (HzbElection *e, const char *why)
{
  if (e->state == HZB_ELECTION_LEADING)
    {
      give_up (e, why);
      e->next = hzb_time_plus (hzb_clock_now (e->clock), 2);
    }
}

void
hzb_election_set_eager (HzbElection *e, gboolean eager)
{
  e->eager = eager;
}

void
hzb_election_back_off (HzbElection *e, double seconds)
{
  e->next = hzb_time_plus (hzb_clock_now (e->clock), seconds);
  e->backing_off = TRUE;
}

static void
on_campaign (HzbStoreResult result, const char *body, gpointer user)
{
  HzbElection *e = user;
  if (e->state != HZB_ELECTION_CAMPAIGNING)
    return;
  if (result != HZB_STORE_OK)
    {
      give_up (e, "the campaign failed");
      return;
    }
  hzb_wire_parse_txn (body, &e->term_version, NULL);
  e->lease_valid_until = hzb_time_plus (e->requests, TTL_MS / 1000.0 * 0.999 - 0.05);
  e->renew_sent = e->requests;
  e->renewing = FALSE;
  set_state (e, HZB_ELECTION_LEADING, "elected");
}

static const char *
leader_key (const HzbElection *e)
{
  return e->format >= 2 ? HZB_KEY_LEADER_2 : HZB_KEY_LEADER;
}

static cJSON *
pack_leader (const HzbElection *e)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", e->settings->node);
  cJSON_AddStringToObject (value, "incarnation", e->incarnation);
  hzb_json_add_u64 (value, "lease", e->lease);
  hzb_json_add_u64 (value, "term", e->term);
  return value;
}

static void
on_raised (HzbStoreResult result, const char *body, gpointer user)
{
  HzbElection *e = user;
  e->raising = FALSE; /* the mirror shows whether it is so */
}

void
hzb_election_raise_format (HzbElection *e)
{
  cJSON *txn, *value;

  if (e->format >= 2 || e->raising || !hzb_election_lease_valid (e))
    return;
  e->raising = TRUE;
  txn = hzb_wire_txn ();
  hzb_election_add_condition (e, txn);
  hzb_wire_txn_if (txn, HZB_KEY_FORMAT, 0);
  value = cJSON_CreateObject ();
  cJSON_AddNumberToObject (value, "format", 2);
  hzb_wire_txn_put (txn, HZB_KEY_FORMAT, value, 0);
  value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", nobody);
  hzb_json_add_u64 (value, "term", e->term);
  hzb_wire_txn_put (txn, HZB_KEY_LEADER, value, 0);
  hzb_wire_txn_put (txn, HZB_KEY_LEADER_2, pack_leader (e), e->lease);
  hzb_store_txn (e->store, HZB_STORE_LEASE, txn, on_raised, e);
}

static void
on_lease (HzbStoreResult result, const char *body, gpointer user)
{
  HzbElection *e = user;
  cJSON *txn, *value;

  if (e->state != HZB_ELECTION_LEASING)
    return;
  e->lease = result == HZB_STORE_OK ? hzb_wire_parse_lease (body) : 0;
  if (!e->lease || e->leader)
    {
      give_up (e, e->leader ? "another leads" : "no lease");
      return;
    }
  e->term = e->seen_term + 1;
  txn = hzb_wire_txn ();
  hzb_wire_txn_if (txn, leader_key (e), 0);
  hzb_wire_txn_if (txn, HZB_KEY_TERM, e->seen_term_version);
  hzb_wire_txn_put (txn, leader_key (e), pack_leader (e), e->lease);
  value = cJSON_CreateObject ();
  hzb_json_add_u64 (value, "term", e->term);
  cJSON_AddStringToObject (value, "node", e->settings->node);
  hzb_wire_txn_put (txn, HZB_KEY_TERM, value, 0);
  set_state (e, HZB_ELECTION_CAMPAIGNING, "got a lease");
  hzb_store_txn (e->store, HZB_STORE_LEASE, txn, on_campaign, e);
}

static void
on_renewed (HzbStoreResult result, const char *body, gpointer user)
{
  HzbElection *e = user;
  if (e->state != HZB_ELECTION_LEADING)
    return;
  e->renewing = FALSE;
  if (result == HZB_STORE_OK)
    e->lease_valid_until = hzb_time_plus (e->renew_sent, TTL_MS / 1000.0 * 0.999 - 0.05);
  else if (result == HZB_STORE_ABSENT)
    {
      e->lease = 0;
      give_up (e, "the lease has ended");
    }
}

void
hzb_election_apply_record (HzbElection *e, const HzbItem *item)
{
  if (g_str_equal (item->key, HZB_KEY_TERM))
    {
      if (item->version <= e->seen_term_version)
        return;
      e->seen_term_version = item->version;
      e->seen_term = hzb_json_u64 (item->value, "term");
      if (e->state == HZB_ELECTION_LEADING && e->seen_term > e->term)
        give_up (e, "a newer term exists");
    }
  else if (g_str_equal (item->key, HZB_KEY_FORMAT) && item->value && e->format < 2)
    {
      e->format = (guint) hzb_json_number (item->value, "format", 1);
      g_message ("election: every controller reads format %u; version 1 is not served any more", e->format);
    }
  else if ((g_str_equal (item->key, HZB_KEY_LEADER) || g_str_equal (item->key, HZB_KEY_LEADER_2))
           && item->version > e->leader_version && g_strcmp0 (hzb_json_text (item->value, "node"), nobody) != 0)
    {
      e->leader_version = item->version;
      g_clear_pointer (&e->leader, g_free);
      g_clear_pointer (&e->leader_incarnation, g_free);
      if (item->value)
        {
          e->leader = g_strdup (hzb_json_text (item->value, "node"));
          e->leader_incarnation = g_strdup (hzb_json_text (item->value, "incarnation"));
          e->leader_lease = hzb_json_u64 (item->value, "lease");
          e->leader_term = hzb_json_u64 (item->value, "term");
        }
      else if (!e->backing_off)
        e->next = hzb_time_plus (hzb_clock_now (e->clock), jitter (e));
      if (e->state == HZB_ELECTION_LEADING && (e->leader ? e->leader_term > e->term : e->leader_term == e->term))
        {
          e->lease = 0;
          give_up (e, "the leader's record is gone or another's");
        }
    }
}

void
hzb_election_tick (HzbElection *e, gboolean mirror_fresh)
{
  struct timespec now = hzb_clock_now (e->clock);

  if (e->state == HZB_ELECTION_LEADING)
    {
      if (!e->renewing && hzb_time_between (e->renew_sent, now) >= RENEW_S)
        {
          e->renewing = TRUE;
          e->renew_sent = now;
          hzb_store_renew (e->store, e->lease, on_renewed, e);
        }
      return;
    }
  if (e->state != HZB_ELECTION_FOLLOWING || !mirror_fresh || hzb_time_before (now, e->next))
    return;
  e->backing_off = FALSE;
  if (e->leader && g_strcmp0 (e->leader, e->settings->node) == 0)
    {
      /* An earlier incarnation, or a campaign of ours whose answer was lost: it is ended, not trusted. */
      set_state (e, HZB_ELECTION_ENDING_OLD, e->leader_incarnation);
      hzb_store_end_lease (e->store, e->leader_lease, on_ended, e);
    }
  else if (!e->leader)
    {
      set_state (e, HZB_ELECTION_LEASING, "nobody leads");
      e->requests = now;
      hzb_store_lease (e->store, TTL_MS, on_lease, e);
    }
}
