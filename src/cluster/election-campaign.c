/* Campaigns of this controller for the leadership, and renewals of the leader's lease. */
#include "election-codec.h"
#include "election-private.h"
#include "node.h"
#include "record-keys.h"

#define LEASE_MS 4000
/* How long the leader relies on its lease, in seconds from when it requested or last renewed the lease. The factor
 * 0.999 allows for clock drift between this controller and the key-value store; 0.05 s is a safety margin. */
#define LEASE_VALID_S (LEASE_MS / 1000.0 * 0.999 - 0.05)

static void
on_old_lease_revocation_done (HzbKvResult result, const char *body, gpointer user)
{
  HzbElection *election = user;
  if (election->state == HZB_ELECTION_REVOKING_OLD_LEASE)
    {
      election->next_campaign = hzb_time_plus (hzb_clock_now (election->clock), HZB_ELECTION_RETRY_S);
      hzb_election_set_state (election, HZB_ELECTION_FOLLOWING, "the request to revoke the old lease has ended");
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
      hzb_election_become_follower (election, "the attempt to take the leadership failed, or its outcome is unknown");
      return;
    }
  /* This commit wrote the record of the term, so its revision is the version of that record. */
  hzb_kv_commit_decode (body, &election->term_version, NULL);
  election->lease_valid_until = hzb_time_plus (election->lease_request_sent, LEASE_VALID_S);
  election->last_extension_sent = election->lease_request_sent;
  election->renewing = FALSE;
  hzb_election_set_state (election, HZB_ELECTION_LEADING, "elected");
}

static const char *
leader_key (const HzbElection *election)
{
  return election->schema_version >= HZB_SCHEMA_VERSION_2 ? HZB_KEY_LEADER_SCHEMA_2 : HZB_KEY_LEADER_SCHEMA_1;
}

/* Returns: (transfer full): the record of this controller's leadership */
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
      || !hzb_election_is_lease_valid (election))
    return;
  election->raising_schema = TRUE;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_SCHEMA_VERSION, 0);
  hzb_kv_transaction_put (transaction, HZB_KEY_SCHEMA_VERSION, hzb_schema_version_record_encode (HZB_SCHEMA_VERSION_2),
                          0);
  /* Controllers of schema version 1 are elected only if this key has no record. The placeholder has no lease, so it
   * remains, and none of them is elected any more. */
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_1, hzb_leader_record_encode_placeholder (election->term),
                          0);
  hzb_kv_transaction_put (transaction, HZB_KEY_LEADER_SCHEMA_2, encode_own_leadership (election), election->lease);
  hzb_kv_client_commit (election->kv, HZB_KV_LEASE, transaction, on_schema_raised, election);
}

/* Sends the transaction that takes the leadership. Its conditions are that no leader is recorded and that the term is
 * still the one that the replica of the records shows. */
static void
send_campaign_transaction (HzbElection *election)
{
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  election->term = election->replicated_term + 1;
  hzb_kv_transaction_compare (transaction, leader_key (election), 0);
  hzb_kv_transaction_compare (transaction, HZB_KEY_TERM, election->replicated_term_version);
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
  election->lease = result == HZB_KV_OK ? hzb_kv_lease_grant_decode (body) : 0;
  if (election->leader)
    hzb_election_become_follower (election, "another controller leads");
  else if (!election->lease)
    hzb_election_become_follower (election, "the key-value store granted no lease");
  else
    send_campaign_transaction (election);
}

/* A renewal in flight, and the lease that it renews. */
typedef struct
{
  HzbElection *election;
  guint64 lease;
} RenewalCall;

static void
on_renewed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree RenewalCall *renewal = user;
  HzbElection *election = renewal->election;
  /* The response may be about the lease of an earlier leadership, which says nothing about the current lease. */
  if (election->state != HZB_ELECTION_LEADING || renewal->lease != election->lease)
    return;
  election->renewing = FALSE;
  if (result == HZB_KV_OK)
    election->lease_valid_until = hzb_time_plus (election->last_extension_sent, LEASE_VALID_S);
  else if (result == HZB_KV_NOT_FOUND)
    {
      election->lease = 0;
      hzb_election_become_follower (election, "the lease of the leadership has expired");
    }
}

void
hzb_election_renew (HzbElection *election, struct timespec now)
{
  RenewalCall *renewal = g_new0 (RenewalCall, 1);
  renewal->election = election;
  renewal->lease = election->lease;
  election->renewing = TRUE;
  election->last_extension_sent = now;
  hzb_kv_client_renew_lease (election->kv, election->lease, on_renewed, renewal);
}

void
hzb_election_start_campaign (HzbElection *election, struct timespec now)
{
  election->backing_off = FALSE;
  if (election->leader && g_str_equal (election->leader, election->settings->node))
    {
      /* The record is from an earlier process of this controller, whose actions this process does not know, from a
       * campaign of this process whose response was lost, or from a leadership that this process has ended. So this
       * process revokes the lease of the record instead of leading under it. */
      hzb_election_set_state (election, HZB_ELECTION_REVOKING_OLD_LEASE,
                              "the record names this controller, but this process does not lead");
      hzb_kv_client_revoke_lease (election->kv, election->leader_lease, on_old_lease_revocation_done, election);
    }
  else if (!election->leader)
    {
      hzb_election_set_state (election, HZB_ELECTION_LEASING, "no leader is recorded");
      election->lease_request_sent = now;
      hzb_kv_client_grant_lease (election->kv, LEASE_MS, on_lease, election);
    }
}
