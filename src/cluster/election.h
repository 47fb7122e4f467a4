/**
 * SECTION: election
 * @short_description: leadership by a lease of the key-value store
 *
 * A controller leads while the record of leadership names it. That record is attached to a lease that the leader
 * renews. The transaction that takes the leadership requires that no such record exists, and raises the one counter of
 * terms, so the term of a later leader exceeds those of all leaders before it. Writes of the leader are conditional on
 * the record of the term, so they fail once a later leader was elected.
 */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

/** HzbElectionState: how far this controller is on its way to leadership. */
typedef enum
{
  HZB_ELECTION_FOLLOWING,          /**< another controller leads, or none does */
  HZB_ELECTION_REVOKING_OLD_LEASE, /**< an earlier process of this controller still holds the leadership */
  HZB_ELECTION_LEASING,            /**< this controller requests a lease to campaign with */
  HZB_ELECTION_CAMPAIGNING,        /**< the transaction that takes the leadership is in flight */
  HZB_ELECTION_LEADING,            /**< elected */
  HZB_ELECTION_N_STATES            /**< how many states there are */
} HzbElectionState;

/** HzbElection: opaque. */
typedef struct _HzbElection HzbElection;

/**
 * hzb_election_new: following, with no known leader. The arguments are not owned. Draws two numbers of `rand`.
 *
 * Returns: (transfer full)
 */
HzbElection *hzb_election_new (HzbKvClient *kv, HzbClock *clock, const HzbSettings *settings, GRand *rand);

/** hzb_election_free: must not be called while a call of the key-value store is in flight. */
void hzb_election_free (HzbElection *election);

/**
 * hzb_election_apply_record: the replica of the records has shown an entry. Entries that do not concern elections are
 * ignored.
 */
void hzb_election_apply_record (HzbElection *election, const HzbKvEntry *entry);

/**
 * hzb_election_tick: renews the lease, or campaigns when there is no leader. No campaign begins while the replica is
 * not fresh.
 */
void hzb_election_tick (HzbElection *election, gboolean kv_replica_fresh);

/**
 * hzb_election_step_down: gives up the leadership, and campaigns again after 2 s at the earliest. Does nothing if not
 * leading.
 */
void hzb_election_step_down (HzbElection *election, const char *why);

/** hzb_election_set_eager: an eager controller campaigns before others do. */
void hzb_election_set_eager (HzbElection *election, gboolean eager);

/** hzb_election_back_off: for so many seconds this controller does not campaign, so that others can be elected. */
void hzb_election_back_off (HzbElection *election, double seconds);

/** hzb_election_leading: this controller was elected, and does not know of a later leader. */
gboolean hzb_election_leading (HzbElection *election);

/** hzb_election_lease_valid: this controller leads, and no other controller can have been elected up to this moment. */
gboolean hzb_election_lease_valid (HzbElection *election);

/** hzb_election_term: Returns: the term of this controller's last campaign; 0 if there was none */
guint64 hzb_election_term (HzbElection *election);

/** hzb_election_add_condition: the transaction fails once a newer term exists. */
void hzb_election_add_condition (HzbElection *election, HzbKvTransaction *transaction);

/**
 * hzb_election_term_replicated: leading, and the replica of the records shows the own term, so it has all records of
 * earlier terms.
 */
gboolean hzb_election_term_replicated (HzbElection *election);

/**
 * hzb_election_leader:
 *
 * Returns: (transfer none) (nullable): name of the leader, this controller included; NULL if none is known
 */
const char *hzb_election_leader (HzbElection *election);

/** hzb_election_schema_version: Returns: the version of records that every controller reads */
guint hzb_election_schema_version (HzbElection *election);

/**
 * hzb_election_raise_schema_version: on the leader, once every controller has stated version 2. It is recorded for
 * good.
 */
void hzb_election_raise_schema_version (HzbElection *election);

/**
 * hzb_election_leader_term:
 *
 * Returns: the highest term that the replica of the records shows; the own term while leading
 */
guint64 hzb_election_leader_term (HzbElection *election);
