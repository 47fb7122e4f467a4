/* Election: applies the records of elections from the replica, and keeps the election state of this controller. */
#include "election-private.h"

#include "election-codec.h"
#include "node.h"
#include "record-keys.h"

#define LEASE_RENEWAL_INTERVAL_S 0.9
#define STEP_DOWN_CAMPAIGN_DELAY_S 2.0 /* from stepping down to the next campaign of this controller */

/* Bounds of campaign_delay_s(): a preferred controller waits for at most PREFERRED_MAX_DELAY_S, any other controller
 * for at least OTHER_MIN_DELAY_S and at most OTHER_MAX_DELAY_S. */
#define PREFERRED_MAX_DELAY_S 0.03
#define OTHER_MIN_DELAY_S 0.05
#define OTHER_MAX_DELAY_S 0.4

static const char *const state_names[HZB_ELECTION_N_STATES] = {
  [HZB_ELECTION_FOLLOWING] = "following", [HZB_ELECTION_REVOKING_OLD_LEASE] = "revoking-old-lease",
  [HZB_ELECTION_LEASING] = "leasing",     [HZB_ELECTION_CAMPAIGNING] = "campaigning",
  [HZB_ELECTION_LEADING] = "leading",
};

static const guint legal_changes[HZB_ELECTION_N_STATES] = {
  [HZB_ELECTION_FOLLOWING] = 1 << HZB_ELECTION_REVOKING_OLD_LEASE | 1 << HZB_ELECTION_LEASING,
  [HZB_ELECTION_REVOKING_OLD_LEASE] = 1 << HZB_ELECTION_FOLLOWING,
  [HZB_ELECTION_LEASING] = 1 << HZB_ELECTION_CAMPAIGNING | 1 << HZB_ELECTION_FOLLOWING,
  [HZB_ELECTION_CAMPAIGNING] = 1 << HZB_ELECTION_LEADING | 1 << HZB_ELECTION_FOLLOWING,
  [HZB_ELECTION_LEADING] = 1 << HZB_ELECTION_FOLLOWING,
};

/* A controller holds a lease exactly while it campaigns or leads. */
static void
assert_invariants (const HzbElection *election)
{
  gboolean needs_lease = election->state == HZB_ELECTION_CAMPAIGNING || election->state == HZB_ELECTION_LEADING;

  g_assert (needs_lease == (election->lease != 0));
  g_assert (!needs_lease || election->term > 0);
}

void
hzb_election_set_state (HzbElection *election, HzbElectionState to, const char *reason)
{
  if (!(legal_changes[election->state] & 1u << to))
    {
      g_critical (
          "election: illegal change %s -> %s; it is ignored. This is a fault of the program: report it with this log",
          state_names[election->state], state_names[to]);
      return;
    }
  if (to == HZB_ELECTION_LEADING || election->state == HZB_ELECTION_LEADING)
    g_message ("election: %s -> %s (term %" G_GUINT64_FORMAT "): %s", state_names[election->state], state_names[to],
               election->term, reason);
  else
    g_debug ("election: %s -> %s: %s", state_names[election->state], state_names[to], reason);
  election->state = to;
  assert_invariants (election);
}

HzbElection *
hzb_election_new (HzbKvClient *kv, HzbClock *clock, const HzbSettings *settings, GRand *rand)
{
  HzbElection *election = g_new0 (HzbElection, 1);
  election->kv = kv;
  election->clock = clock;
  election->settings = settings;
  election->rand = rand;
  election->schema_version = HZB_SCHEMA_VERSION_1;
  election->incarnation = g_strdup_printf ("%s-%08x%08x", settings->node, g_rand_int (rand), g_rand_int (rand));
  return election;
}

void
hzb_election_free (HzbElection *election)
{
  g_free (election->incarnation);
  g_free (election->leader);
  g_free (election);
}

gboolean
hzb_election_is_leader (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING;
}

gboolean
hzb_election_is_lease_valid (HzbElection *election)
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
hzb_election_is_term_replicated (HzbElection *election)
{
  return election->state == HZB_ELECTION_LEADING && election->replicated_term == election->term;
}

const char *
hzb_election_leader (HzbElection *election)
{
  if (election->state == HZB_ELECTION_LEADING)
    return election->settings->node;
  if (election->leader && g_str_equal (election->leader, election->settings->node))
    return NULL; /* the record names this controller, but this process does not lead */
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
  return election->state == HZB_ELECTION_LEADING ? election->term : election->replicated_term;
}

/* Returns: a random delay in seconds, so that controllers do not campaign simultaneously. The delay of a preferred
 * controller is always shorter than that of another one. */
static double
campaign_delay_s (HzbElection *election)
{
  return election->preferred ? g_rand_double_range (election->rand, 0, PREFERRED_MAX_DELAY_S)
                             : g_rand_double_range (election->rand, OTHER_MIN_DELAY_S, OTHER_MAX_DELAY_S);
}

static void
ignore_result (HzbKvResult result, const char *body, gpointer user)
{
}

/* The lease is revoked because the outcome of the last campaign may be unknown. The key-value store refuses a
 * transaction that names a revoked lease, so a late transaction of that campaign can't make this controller the leader
 * without its knowledge. */
void
hzb_election_become_follower (HzbElection *election, const char *reason)
{
  if (election->lease)
    hzb_kv_client_revoke_lease (election->kv, election->lease, ignore_result, election);
  election->lease = 0;
  election->next_campaign =
      hzb_time_plus (hzb_clock_now (election->clock), HZB_ELECTION_RETRY_S + campaign_delay_s (election));
  hzb_election_set_state (election, HZB_ELECTION_FOLLOWING, reason);
}

void
hzb_election_step_down (HzbElection *election, const char *reason)
{
  if (election->state == HZB_ELECTION_LEADING)
    {
      hzb_election_become_follower (election, reason);
      election->next_campaign = hzb_time_plus (hzb_clock_now (election->clock), STEP_DOWN_CAMPAIGN_DELAY_S);
    }
}

void
hzb_election_set_preferred (HzbElection *election, gboolean preferred)
{
  election->preferred = preferred;
}

void
hzb_election_back_off (HzbElection *election, double seconds)
{
  election->next_campaign = hzb_time_plus (hzb_clock_now (election->clock), seconds);
  election->backing_off = TRUE;
}

static void
apply_term (HzbElection *election, const HzbKvEntry *entry)
{
  if (entry->version <= election->replicated_term_version)
    return;
  election->replicated_term_version = entry->version;
  election->replicated_term = hzb_term_record_decode (entry->value);
  if (election->state == HZB_ELECTION_LEADING && election->replicated_term > election->term)
    hzb_election_become_follower (election, "the records show a newer term");
}

static void
apply_schema_version (HzbElection *election, const HzbKvEntry *entry)
{
  if (!entry->value || election->schema_version >= HZB_SCHEMA_VERSION_2)
    return;
  election->schema_version = hzb_schema_version_record_decode (entry->value);
  g_message ("election: every controller reads schema version %u; messages from processes of version 1 are "
             "refused from now on",
             election->schema_version);
}

/* Returns: TRUE if the record of leadership shows that this controller's leadership has ended: a record of a later term
 * has replaced the record of this leadership, or the record was deleted and its last value had the term of this
 * leadership. A record of an earlier term does not end this leadership: the replica of the records may lag. */
static gboolean
has_lost_leadership (const HzbElection *election)
{
  if (election->state != HZB_ELECTION_LEADING)
    return FALSE;
  return election->leader ? election->leader_term > election->term : election->leader_term == election->term;
}

/* Applies the record of leadership from either of its two keys. A version is the revision of a key's last change, and
 * the revision is one counter for all keys, so the versions of the two keys can be compared. */
static void
apply_leader (HzbElection *election, const HzbKvEntry *entry)
{
  HzbLeaderRecord record = hzb_leader_record_decode (entry->value);

  if (entry->version <= election->leader_version || hzb_leader_record_is_placeholder (&record))
    return;
  election->leader_version = entry->version;
  g_free (election->leader);
  election->leader = g_strdup (record.node);
  if (entry->value)
    {
      election->leader_lease = record.lease;
      election->leader_term = record.term;
    }
  else if (!election->backing_off)
    election->next_campaign = hzb_time_plus (hzb_clock_now (election->clock), campaign_delay_s (election));
  if (has_lost_leadership (election))
    {
      election->lease = 0; /* the record was attached to this lease, so the lease has ended and needs no revocation */
      hzb_election_become_follower (election, "the record of this leadership was deleted or replaced");
    }
}

void
hzb_election_apply_record (HzbElection *election, const HzbKvEntry *entry)
{
  if (g_str_equal (entry->key, HZB_KEY_TERM))
    apply_term (election, entry);
  else if (g_str_equal (entry->key, HZB_KEY_SCHEMA_VERSION))
    apply_schema_version (election, entry);
  else if (g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_1) || g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_2))
    apply_leader (election, entry);
}

void
hzb_election_tick (HzbElection *election, gboolean kv_replica_fresh)
{
  struct timespec now = hzb_clock_now (election->clock);

  if (election->state == HZB_ELECTION_LEADING)
    {
      if (!election->renewing && hzb_time_between (election->last_extension_sent, now) >= LEASE_RENEWAL_INTERVAL_S)
        hzb_election_renew (election, now);
    }
  else if (election->state == HZB_ELECTION_FOLLOWING && kv_replica_fresh
           && !hzb_time_before (now, election->next_campaign))
    hzb_election_start_campaign (election, now);
}
