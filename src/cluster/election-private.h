/**
 * SECTION: election-private
 * @short_description: the state that the source files of election.h share
 */
#pragma once
#include "election.h"

/**
 * HZB_ELECTION_RETRY_S: delay in seconds from the end of a campaign or leadership to the next campaign of this
 * controller.
 */
#define HZB_ELECTION_RETRY_S 0.3

/** _HzbElection: the state behind election.h. */
struct _HzbElection
{
  HzbKvClient *kv;             /**< (not owned) */
  HzbClock *clock;             /**< (not owned) */
  const HzbSettings *settings; /**< (not owned) */
  GRand *rand;            /**< (not owned): for random delays, so that controllers do not campaign simultaneously */
  HzbElectionState state; /**< changed by hzb_election_set_state() only */
  char *incarnation;      /**< (owned): identifies this process in the record of leadership */
  gboolean preferred;     /**< this controller waits for a shorter time before it campaigns than others do */
  gboolean backing_off;   /**< hzb_election_back_off() has set `next_campaign`; FALSE from the next campaign on */
  struct timespec next_campaign; /**< earliest time of the next campaign */

  guint64 lease;                       /**< lease of the current campaign or leadership; 0: none */
  guint64 term;                        /**< term of the last campaign; 0: none */
  guint64 term_version;                /**< version of the record of the term as this leader wrote it */
  struct timespec lease_request_sent;  /**< when the lease of the last campaign was requested */
  struct timespec last_extension_sent; /**< when the lease was requested or its last renewal was sent */
  struct timespec lease_valid_until;   /**< no other controller can be elected before this time */
  gboolean renewing;                   /**< a renewal is in flight */
  gboolean raising_schema;             /**< the transaction that raises the schema version is in flight */

  /* the state of the election, from this controller's replica of the records */
  guint64 replicated_term;         /**< highest term */
  guint64 replicated_term_version; /**< version of the record of the term */
  char *leader;                    /**< (nullable) (owned): name of the leader; NULL: none */
  guint64 leader_lease;            /**< lease of the last leader; kept after its record was deleted */
  guint64 leader_term;             /**< term of the last leader; kept after its record was deleted */
  guint64 leader_version;          /**< version of the last record of leadership, under either of its two keys */
  guint schema_version;            /**< schema version that every controller can read */
};

/**
 * hzb_election_set_state: changes the state and logs the change with the reason. A change that is not allowed is
 * logged as a fault, and the state remains.
 */
void hzb_election_set_state (HzbElection *election, HzbElectionState to, const char *reason);

/**
 * hzb_election_become_follower: ends a campaign or a leadership, logs `reason`, and revokes the lease, if there is one.
 */
void hzb_election_become_follower (HzbElection *election, const char *reason);

/**
 * hzb_election_start_campaign: starts what the record of leadership permits. If no leader is recorded, requests a
 * lease; the transaction that takes the leadership is sent when the lease is granted. If the record names this
 * controller, revokes the lease of the record instead; the campaign follows at a later tick. If the record names
 * another controller, does nothing.
 */
void hzb_election_start_campaign (HzbElection *election, struct timespec now);

/** hzb_election_renew: on the leader: sends a renewal of the lease. */
void hzb_election_renew (HzbElection *election, struct timespec now);
