#include "election.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"

#define TTL_MS 4000
#define RENEW_S 0.9

struct _HzbElection
{
  HzbKvClient *kv;
  HzbClock *clock;
  const HzbSettings *settings;
  GRand *rand;
  HzbElectionState state;
  char *incarnation;
  guint64 lease, term, term_version; /* ours, while leading */
  guint64 seen_term, seen_term_version;
  char *leader, *leader_incarnation; /* by the replica of the records */
  guint64 leader_lease, leader_term, leader_version;
  struct timespec next, requests, lease_valid_until, renew_sent;
  gboolean renewing, backing_off, raising, eager;
  guint schema_version;
};

static const char nobody[] = "(none of version 1)"; /* leads by the first key, once the format is 2 */

static const char *const names[] = { "following", "ending-old", "leasing", "campaigning", "leading" };

static void
set_state (HzbElection *election, HzbElectionState to, const char *why)
{
  static const guint legal[] = {
    [HZB_ELECTION_FOLLOWING] = 1 << HZB_ELECTION_REVOKING_OLD_LEASE | 1 << HZB_ELECTION_LEASING,
    [HZB_ELECTION_REVOKING_OLD_LEASE] = 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_LEASING] = 1 << HZB_ELECTION_CAMPAIGNING | 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_CAMPAIGNING] = 1 << HZB_ELECTION_LEADING | 1 << HZB_ELECTION_FOLLOWING,
    [HZB_ELECTION_LEADING] = 1 << HZB_ELECTION_FOLLOWING,
  };
  if (!(legal[election->state] & 1u << to))
    {
      g_critical ("election: illegal change %s -> %s", names[election->state], names[to]);
      return;
    }
  if (to == HZB_ELECTION_LEADING || election->state == HZB_ELECTION_LEADING)
    g_message ("election: %s -> %s (term %" G_GUINT64_FORMAT "): %s", names[election->state], names[to], election->term,
               why);
  else
    g_debug ("election: %s -> %s: %s", names[election->state], names[to], why);
  election->state = to;
}

HzbElection *
hzb_election_new (HzbKvClient *kv, HzbClock *clock, const HzbSettings *settings, GRand *rand)
{
  HzbElection *election = g_new0 (HzbElection, 1);
  election->kv = kv;
  election->clock = clock;
  election->settings = settings;
  election->rand = rand;
  election->schema_version = 1;
  election->incarnation = g_strdup_printf ("%s-%08x%08x", settings->node, g_rand_int (rand), g_rand_int (rand));
  return election;
}

void
hzb_election_free (HzbElection *election)
{
  g_free (election->incarnation);
  g_free (election->leader);
  g_free (election->leader_incarnation);
  g_free (election);
}

gboolean
hzb_election_leading (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING;
}

gboolean
hzb_election_lease_valid (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING
         && hzb_time_before (hzb_clock_now (election->clock), election->lease_valid_until);
}

guint64
hzb_election_term (HzbElection *election)
{
  return election->term;
}

void
hzb_election_add_condition (HzbElection *election, HzbKvTransaction *transaction)
{
  hzb_kv_transaction_compare (transaction, HZB_KEY_TERM, election->term_version);
}

gboolean
hzb_election_term_replicated (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING && election->seen_term == election->term;
}

const char *
hzb_election_leader (HzbElection *election)
{
  if (election->state == HZB_ELECTION_LEADING)
    return election->settings->node;
  if (election->leader && g_str_equal (election->leader, election->settings->node))
    return NULL; /* an earlier life of ours */
  return election->leader;
}

guint
hzb_election_schema_version (HzbElection *election)
{
  return election->schema_version;
}

guint64
hzb_election_leader_term (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING ? election->term : election->seen_term;
}

static double
jitter (HzbElection *election)
{
  return election->eager ? g_rand_double_range (election->rand, 0, 0.03)
                         : g_rand_double_range (election->rand, 0.05, 0.4);
}

static void
on_ended (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  if (election->state == HZB_ELECTION_REVOKING_OLD_LEASE)
    {
      election->next = hzb_time_plus (hzb_clock_now (election->clock), 0.3);
      set_state (election, HZB_ELECTION_FOLLOWING, "the earlier lease was ended");
    }
}

static void
ignore_result (HzbKvResult result, const char *body, gpointer user)
{
}

/* Guards against a lease left behind after a try whose end is not known: once it is over, a late
 * transaction that names it is refused by the key-value store. */
static void
give_up (HzbElection *election, const char *why)
{
  if (election->lease)
    hzb_kv_client_revoke_lease (election->kv, election->lease, ignore_result, election);
  election->lease = 0;
  election->next = hzb_time_plus (hzb_clock_now (election->clock), 0.3 + jitter (election));
  set_state (election, HZB_ELECTION_FOLLOWING, why);
}

void
hzb_election_step_down (HzbElection *election, const char *why)
{
  if (election->state == HZB_ELECTION_LEADING)
    {
      give_up (election, why);
      election->next = hzb_time_plus (hzb_clock_now (election->clock), 2);
    }
}

void
hzb_election_set_eager (HzbElection *election, gboolean eager)
{
  election->eager = eager;
}

void
hzb_election_back_off (HzbElection *election, double seconds)
{
  election->next = hzb_time_plus (hzb_clock_now (election->clock), seconds);
  election->backing_off = TRUE;
}

static void
on_campaign (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  if (election->state != HZB_ELECTION_CAMPAIGNING)
    return;
  if (result != HZB_KV_OK)
    {
      give_up (election, "the campaign failed");
      return;
    }
  hzb_kv_commit_decode (body, &election->term_version, NULL);
  election->lease_valid_until = hzb_time_plus (election->requests, TTL_MS / 1000.0 * 0.999 - 0.05);
  election->renew_sent = election->requests;
  election->renewing = FALSE;
  set_state (election, HZB_ELECTION_LEADING, "elected");
}

static const char *
leader_key (const HzbElection *election)
{
  return election->schema_version >= 2 ? HZB_KEY_LEADER_SCHEMA_2 : HZB_KEY_LEADER_SCHEMA_1;
}

static cJSON *
pack_leader (const HzbElection *election)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", election->settings->node);
  cJSON_AddStringToObject (value, "incarnation", election->incarnation);
  hzb_json_add_u64 (value, "lease", election->lease);
  hzb_json_add_u64 (value, "term", election->term);
  return value;
}

static void
on_raised (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  election->raising = FALSE; /* the replica of the records shows whether it is so */
}

void
hzb_election_raise_schema_version (HzbElection *election)
{
  HzbKvTransaction *transaction;
  cJSON *value;

  if (election->schema_version >= 2 || election->raising || !hzb_election_lease_valid (election))
    return;
  election->raising = TRUE;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_SCHEMA_VERSION, 0);
  value = cJSON_CreateObject ();
  cJSON_AddNumberToObject (value, "format", 2);
  hzb_kv_transaction_put (transaction, HZB_KEY_SCHEMA_VERSION, value, 0);
  value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", nobody);
  hzb_json_add_u64 (value, "term", election->term);
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_1, value, 0);
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_2, pack_leader (election), election->lease);
  hzb_kv_client_commit (election->kv, HZB_KV_LEASE, transaction, on_raised, election);
}

static void
on_lease (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  HzbKvTransaction *transaction;
  cJSON *value;

  if (election->state != HZB_ELECTION_LEASING)
    return;
  election->lease = result == HZB_KV_OK ? hzb_kv_lease_decode (body) : 0;
  if (!election->lease || election->leader)
    {
      give_up (election, election->leader ? "another leads" : "no lease");
      return;
    }
  election->term = election->seen_term + 1;
  transaction = hzb_kv_transaction_new ();
  hzb_kv_transaction_compare (transaction, leader_key (election), 0);
  hzb_kv_transaction_compare (transaction, HZB_KEY_TERM, election->seen_term_version);
  hzb_kv_transaction_put (transaction, leader_key (election), pack_leader (election), election->lease);
  value = cJSON_CreateObject ();
  hzb_json_add_u64 (value, "term", election->term);
  cJSON_AddStringToObject (value, "node", election->settings->node);
  hzb_kv_transaction_put (transaction, HZB_KEY_TERM, value, 0);
  set_state (election, HZB_ELECTION_CAMPAIGNING, "got a lease");
  hzb_kv_client_commit (election->kv, HZB_KV_LEASE, transaction, on_campaign, election);
}

/* A renewal, and of which lease. */
typedef struct
{
  HzbElection *election;
  guint64 lease;
} Renewal;

static void
on_renewed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Renewal *renewal = user;
  HzbElection *election = renewal->election;
  /* Guards against an answer about the lease of an earlier leadership: it says nothing about this one. */
  if (election->state != HZB_ELECTION_LEADING || renewal->lease != election->lease)
    return;
  election->renewing = FALSE;
  if (result == HZB_KV_OK)
    election->lease_valid_until = hzb_time_plus (election->renew_sent, TTL_MS / 1000.0 * 0.999 - 0.05);
  else if (result == HZB_KV_NOT_FOUND)
    {
      election->lease = 0;
      give_up (election, "the lease has ended");
    }
}

static void
renew (HzbElection *election, struct timespec now)
{
  Renewal *renewal = g_new0 (Renewal, 1);
  renewal->election = election;
  renewal->lease = election->lease;
  election->renewing = TRUE;
  election->renew_sent = now;
  hzb_kv_client_renew_lease (election->kv, election->lease, on_renewed, renewal);
}

void
hzb_election_apply_record (HzbElection *election, const HzbKvEntry *item)
{
  if (g_str_equal (item->key, HZB_KEY_TERM))
    {
      if (item->version <= election->seen_term_version)
        return;
      election->seen_term_version = item->version;
      election->seen_term = hzb_json_u64 (item->value, "term");
      if (election->state == HZB_ELECTION_LEADING && election->seen_term > election->term)
        give_up (election, "a newer term exists");
    }
  else if (g_str_equal (item->key, HZB_KEY_SCHEMA_VERSION) && item->value && election->schema_version < 2)
    {
      election->schema_version = (guint) hzb_json_number (item->value, "format", 1);
      g_message ("election: every controller reads format %u; version 1 is not served any more",
                 election->schema_version);
    }
  else if ((g_str_equal (item->key, HZB_KEY_LEADER_SCHEMA_1) || g_str_equal (item->key, HZB_KEY_LEADER_SCHEMA_2))
           && item->version > election->leader_version && g_strcmp0 (hzb_json_text (item->value, "node"), nobody) != 0)
    {
      election->leader_version = item->version;
      g_clear_pointer (&election->leader, g_free);
      g_clear_pointer (&election->leader_incarnation, g_free);
      if (item->value)
        {
          election->leader = g_strdup (hzb_json_text (item->value, "node"));
          election->leader_incarnation = g_strdup (hzb_json_text (item->value, "incarnation"));
          election->leader_lease = hzb_json_u64 (item->value, "lease");
          election->leader_term = hzb_json_u64 (item->value, "term");
        }
      else if (!election->backing_off)
        election->next = hzb_time_plus (hzb_clock_now (election->clock), jitter (election));
      if (election->state == HZB_ELECTION_LEADING
          && (election->leader ? election->leader_term > election->term : election->leader_term == election->term))
        {
          election->lease = 0;
          give_up (election, "the leader's record is gone or another's");
        }
    }
}

void
hzb_election_tick (HzbElection *election, gboolean kv_replica_fresh)
{
  struct timespec now = hzb_clock_now (election->clock);

  if (election->state == HZB_ELECTION_LEADING)
    {
      if (!election->renewing && hzb_time_between (election->renew_sent, now) >= RENEW_S)
        renew (election, now);
      return;
    }
  if (election->state != HZB_ELECTION_FOLLOWING || !kv_replica_fresh || hzb_time_before (now, election->next))
    return;
  election->backing_off = FALSE;
  if (election->leader && g_strcmp0 (election->leader, election->settings->node) == 0)
    {
      /* An earlier incarnation, or a campaign of ours whose answer was lost: it is ended, not trusted. */
      set_state (election, HZB_ELECTION_REVOKING_OLD_LEASE, election->leader_incarnation);
      hzb_kv_client_revoke_lease (election->kv, election->leader_lease, on_ended, election);
    }
  else if (!election->leader)
    {
      set_state (election, HZB_ELECTION_LEASING, "nobody leads");
      election->requests = now;
      hzb_kv_client_grant_lease (election->kv, TTL_MS, on_lease, election);
    }
}
