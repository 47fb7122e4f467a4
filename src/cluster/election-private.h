/**
 * SECTION: election-private
 * @short_description: the state that the source files of election.h share
 */
#pragma once
#include "election.h"

/**
 * HZB_ELECTION_RETRY_S: after a campaign or a leadership has ended, this controller does not campaign for so many
 * seconds.
 */
#define HZB_ELECTION_RETRY_S 0.3

/** _HzbElection: the state behind election.h. */
struct _HzbElection
{
  HzbKvClient *kv;               /**< (not owned) */
  HzbClock *clock;               /**< (not owned) */
  const HzbSettings *settings;   /**< (not owned) */
  GRand *rand;                   /**< (not owned): so that controllers do not campaign at the same moment */
  HzbElectionState state;        /**< changed by hzb_election_set_state() only */
  char *incarnation;             /**< (owned): of this process, in the record of leadership */
  gboolean eager;                /**< campaign before others do */
  gboolean backing_off;          /**< let others campaign first */
  struct timespec next_campaign; /**< no campaign begins before */

  guint64 lease;                     /**< of the last campaign, or of the leadership; 0: none */
  guint64 term;                      /**< of the last campaign, or of the leadership */
  guint64 term_version;              /**< version of the record of the term, as the leadership began with it */
  struct timespec lease_requested;   /**< when the lease of the last campaign was requested */
  struct timespec renewal_sent;      /**< when the lease was last requested or its renewal sent */
  struct timespec lease_valid_until; /**< until then no other controller can be elected */
  gboolean renewing;                 /**< a renewal is in flight */
  gboolean raising_schema;           /**< the transaction that raises the schema version is in flight */

  guint64 seen_term;         /**< by the replica of the records: the highest term */
  guint64 seen_term_version; /**< by the replica: version of the record of the term */
  char *leader;              /**< by the replica (nullable) (owned): who leads */
  guint64 leader_lease;      /**< by the replica: of the last leader, also after its record was deleted */
  guint64 leader_term;       /**< by the replica: of the last leader, also after its record was deleted */
  guint64 leader_version;    /**< by the replica: version of the record of leadership */
  guint schema_version;      /**< by the replica: the version of records that every controller reads */
};

/** hzb_election_set_state: changes and logs the state. A change that is not allowed is logged, and nothing changes. */
void hzb_election_set_state (HzbElection *election, HzbElectionState to, const char *why);

/** hzb_election_give_up: ends a campaign or a leadership, and revokes its lease. */
void hzb_election_give_up (HzbElection *election, const char *why);

/**
 * hzb_election_follow: there may be no leader: campaigns, after ending what an earlier process of this controller
 * left.
 */
void hzb_election_follow (HzbElection *election, struct timespec now);

/** hzb_election_renew: while leading, sends a renewal of the lease. */
void hzb_election_renew (HzbElection *election, struct timespec now);
