/* How this controller becomes the leader, and remains it: campaigns, and renewals of the lease. */
#include "election-codec.h"
#include "election-private.h"
#include "node.h"
#include "record-keys.h"

#define LEASE_MS 4000
/* The lease counts from when it was requested or renewed here. Clocks may drift apart by this factor, and this margin
 * is left. */
#define LEASE_VALID_S (LEASE_MS / 1000.0 * 0.999 - 0.05)

static void
on_old_lease_revoked (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  if (election->state == HZB_ELECTION_REVOKING_OLD_LEASE)
    {
      election->next_campaign = hzb_time_plus (hzb_clock_now (election->clock), HZB_ELECTION_RETRY_S);
      hzb_election_set_state (election, HZB_ELECTION_FOLLOWING, "the lease of the earlier process was revoked");
    }
}

static void
on_campaign (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  if (election->state != HZB_ELECTION_CAMPAIGNING)
    return;
  if (result != HZB_KV_OK)
    {
      hzb_election_give_up (election, "the campaign failed");
      return;
    }
  hzb_kv_commit_decode (body, &election->term_version, NULL);
  election->lease_valid_until = hzb_time_plus (election->lease_requested, LEASE_VALID_S);
  election->renewal_sent = election->lease_requested;
  election->renewing = FALSE;
  hzb_election_set_state (election, HZB_ELECTION_LEADING, "elected");
}

static const char *
leader_key (const HzbElection *election)
{
  return election->schema_version >= HZB_SCHEMA_VERSION_2 ? HZB_KEY_LEADER_SCHEMA_2 : HZB_KEY_LEADER_SCHEMA_1;
}

/* The record of this controller's leadership. Returns: (transfer full) */
static cJSON *
encode_own_leadership (const HzbElection *election)
{
  const HzbLeaderRecord record = { .node = election->settings->node,
                                   .incarnation = election->incarnation,
                                   .lease = election->lease,
                                   .term = election->term };
  return hzb_leader_record_encode (&record);
}

static void
on_schema_raised (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  election->raising_schema = FALSE; /* the replica of the records shows whether the schema version was raised */
}

void
hzb_election_raise_schema_version (HzbElection *election)
{
  HzbKvTransaction *transaction;

  if (election->schema_version >= HZB_SCHEMA_VERSION_2 || election->raising_schema
      || !hzb_election_lease_valid (election))
    return;
  election->raising_schema = TRUE;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_SCHEMA_VERSION, 0);
  hzb_kv_transaction_put (transaction, HZB_KEY_SCHEMA_VERSION, hzb_schema_version_record_encode (HZB_SCHEMA_VERSION_2),
                          0);
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_1, hzb_leader_record_encode_placeholder (election->term),
                          0);
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_2, encode_own_leadership (election), election->lease);
  hzb_kv_client_commit (election->kv, HZB_KV_LEASE, transaction, on_schema_raised, election);
}

/* Takes the leadership, on condition that no leader is recorded and that the term is still the last one that was seen.
 */
static void
campaign (HzbElection *election)
{
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  election->term = election->seen_term + 1;
  hzb_kv_transaction_compare (transaction, leader_key (election), 0);
  hzb_kv_transaction_compare (transaction, HZB_KEY_TERM, election->seen_term_version);
  hzb_kv_transaction_put (transaction, leader_key (election), encode_own_leadership (election), election->lease);
  hzb_kv_transaction_put (transaction, HZB_KEY_TERM, hzb_term_record_encode (election->term, election->settings->node),
                          0);
  hzb_election_set_state (election, HZB_ELECTION_CAMPAIGNING, "the key-value store granted a lease");
  hzb_kv_client_commit (election->kv, HZB_KV_LEASE, transaction, on_campaign, election);
}

static void
on_lease (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;

  if (election->state != HZB_ELECTION_LEASING)
    return;
  election->lease = result == HZB_KV_OK ? hzb_kv_lease_decode (body) : 0;
  if (election->leader)
    hzb_election_give_up (election, "another controller leads");
  else if (!election->lease)
    hzb_election_give_up (election, "the key-value store granted no lease");
  else
    campaign (election);
}

/* A renewal in flight, and the lease that it renews. */
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
  /* An answer about the lease of an earlier leadership says nothing about this one. */
  if (election->state != HZB_ELECTION_LEADING || renewal->lease != election->lease)
    return;
  election->renewing = FALSE;
  if (result == HZB_KV_OK)
    election->lease_valid_until = hzb_time_plus (election->renewal_sent, LEASE_VALID_S);
  else if (result == HZB_KV_NOT_FOUND)
    {
      election->lease = 0;
      hzb_election_give_up (election, "the lease has expired");
    }
}

void
hzb_election_renew (HzbElection *election, struct timespec now)
{
  Renewal *renewal = g_new0 (Renewal, 1);
  renewal->election = election;
  renewal->lease = election->lease;
  election->renewing = TRUE;
  election->renewal_sent = now;
  hzb_kv_client_renew_lease (election->kv, election->lease, on_renewed, renewal);
}

void
hzb_election_follow (HzbElection *election, struct timespec now)
{
  election->backing_off = FALSE;
  if (election->leader && g_str_equal (election->leader, election->settings->node))
    {
      /* The record is of an earlier process of this controller, or of a campaign whose answer was lost. What that
       * leadership may have done is not known here, so the lease is revoked and the leadership is not continued. */
      hzb_election_set_state (election, HZB_ELECTION_REVOKING_OLD_LEASE, "an earlier process of this controller leads");
      hzb_kv_client_revoke_lease (election->kv, election->leader_lease, on_old_lease_revoked, election);
    }
  else if (!election->leader)
    {
      hzb_election_set_state (election, HZB_ELECTION_LEASING, "there is no leader");
      election->lease_requested = now;
      hzb_kv_client_grant_lease (election->kv, LEASE_MS, on_lease, election);
    }
}
