/**
 * SECTION: election
 * @short_description: leader election with a lease of the key-value store
 *
 * A controller leads while the record of leadership names it. That record is attached to a lease that the leader
 * renews. The term is a second record, one counter for the cluster. The transaction that takes the leadership requires
 * that no record of leadership exists, and increments the term, so each leader has a higher term than all earlier
 * leaders. The leader's writes require that the record of the term is unchanged, so they fail after a later leader has
 * been elected.
 */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

/** HzbElectionState: the steps of this controller from follower to leader. */
typedef enum
{
  HZB_ELECTION_FOLLOWING,          /**< another controller leads, or none does */
  HZB_ELECTION_REVOKING_OLD_LEASE, /**< this controller revokes the lease of a record that names it */
  HZB_ELECTION_LEASING,            /**< this controller requests a lease to campaign with */
  HZB_ELECTION_CAMPAIGNING,        /**< the transaction that takes the leadership is in flight */
  HZB_ELECTION_LEADING,            /**< elected */
  HZB_ELECTION_N_STATES            /**< number of states */
} HzbElectionState;

/** HzbElection: opaque. */
typedef struct _HzbElection HzbElection;

/**
 * hzb_election_new: creates an election in state HZB_ELECTION_FOLLOWING, without a known leader. The arguments are not
 * owned and must outlive the election. Draws two numbers from `rand` for the incarnation, the partly random name that
 * identifies this process in the record of leadership.
 *
 * Returns: (transfer full)
 */
HzbElection *hzb_election_new (HzbKvClient *kv, HzbClock *clock, const HzbSettings *settings, GRand *rand);

/** hzb_election_free: frees the election. No call to the key-value store may be in flight. */
void hzb_election_free (HzbElection *election);

/**
 * hzb_election_apply_record: applies an entry that the replica of the records has received. Entries that do not concern
 * elections are ignored.
 */
void hzb_election_apply_record (HzbElection *election, const HzbKvEntry *entry);

/**
 * hzb_election_tick: renews the lease of a leader; campaigns if no leader is known. Campaigns only if
 * `kv_replica_fresh`: this controller's replica of the records is up to date; see hzb_kv_replica_is_fresh().
 */
void hzb_election_tick (HzbElection *election, gboolean kv_replica_fresh);

/**
 * hzb_election_step_down: ends the leadership and logs `reason`. This controller does not campaign for the next 2 s.
 * Does nothing if this controller does not lead.
 */
void hzb_election_step_down (HzbElection *election, const char *reason);

/**
 * hzb_election_set_preferred: sets whether this controller is preferred: it then waits less long than others before it
 * campaigns.
 */
void hzb_election_set_preferred (HzbElection *election, gboolean preferred);

/** hzb_election_back_off: this controller does not campaign for the given seconds, so that others can be elected. */
void hzb_election_back_off (HzbElection *election, double seconds);

/** hzb_election_is_leader: Returns: TRUE if this controller was elected and knows of no later leader */
gboolean hzb_election_is_leader (HzbElection *election);

/**
 * hzb_election_is_lease_valid:
 *
 * Returns: TRUE if this controller leads and its lease is still valid, so no other controller can have been elected yet
 */
gboolean hzb_election_is_lease_valid (HzbElection *election);

/**
 * hzb_election_term:
 *
 * Returns: the term of this controller's last campaign, won or lost; 0 if it has not campaigned. This is not always the
 * term of the cluster's leader: see hzb_election_leader_term()
 */
guint64 hzb_election_term (HzbElection *election);

/**
 * hzb_election_add_condition: adds a condition to a transaction of the leader, so that it fails if a newer term exists.
 */
void hzb_election_add_condition (HzbElection *election, HzbKvTransaction *transaction);

/**
 * hzb_election_is_term_replicated:
 *
 * Returns: TRUE if this controller leads and its replica of the records shows its own term; the replica then has
 * everything that earlier leaders wrote to the replicated records
 */
gboolean hzb_election_is_term_replicated (HzbElection *election);

/**
 * hzb_election_leader:
 *
 * Returns: (transfer none) (nullable): name of the leader, which may be this controller; NULL if no leader is known
 */
const char *hzb_election_leader (HzbElection *election);

/** hzb_election_schema_version: Returns: the schema version that every controller can read */
guint hzb_election_schema_version (HzbElection *election);

/**
 * hzb_election_raise_schema_version: on the leader: writes to the key-value store that every controller can read schema
 * version 2. The caller must have checked that every controller states at least this version. The version is never
 * lowered again.
 */
void hzb_election_raise_schema_version (HzbElection *election);

/**
 * hzb_election_leader_term:
 *
 * Returns: this controller's own term if it leads; otherwise the highest term that its replica of the records shows
 */
guint64 hzb_election_leader_term (HzbElection *election);
