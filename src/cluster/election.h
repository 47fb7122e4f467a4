/* Leadership by a lease of the key-value store. The term comes from one counter that is raised in the
 * transaction that takes the leadership, so a later leader's term exceeds all before it. */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

typedef enum
{
  HZB_ELECTION_FOLLOWING,
  HZB_ELECTION_REVOKING_OLD_LEASE, /* an earlier incarnation of this node still holds the lease */
  HZB_ELECTION_LEASING,
  HZB_ELECTION_CAMPAIGNING,
  HZB_ELECTION_LEADING
} HzbElectionState;

typedef struct _HzbElection HzbElection;

HzbElection *hzb_election_new (HzbKvClient *kv, HzbClock *clock, const HzbSettings *settings, GRand *rand);
void hzb_election_free (HzbElection *election);
void hzb_election_apply_record (HzbElection *election, const HzbKvEntry *item); /* from the replica of the records */
void hzb_election_tick (HzbElection *election, gboolean kv_replica_fresh);
void hzb_election_step_down (HzbElection *election, const char *why);
void hzb_election_set_eager (HzbElection *election, gboolean eager); /* try before others do */
void hzb_election_back_off (HzbElection *election, double seconds);  /* let others try first */

gboolean hzb_election_leading (HzbElection *election);
/* Nobody else can have been elected up to this moment. */
gboolean hzb_election_lease_valid (HzbElection *election);
guint64 hzb_election_term (HzbElection *election);
void hzb_election_add_condition (HzbElection *election,
                                 HzbKvTransaction *transaction); /* the transaction fails once a newer term exists */
gboolean hzb_election_term_replicated (
    HzbElection *election); /* the replica of the records shows our own term: it has all before it */
const char *hzb_election_leader (HzbElection *election);        /* NULL: none known */
guint hzb_election_schema_version (HzbElection *election);      /* of records, that every controller reads */
void hzb_election_raise_schema_version (HzbElection *election); /* by the leader; every controller has said so */
guint64 hzb_election_leader_term (HzbElection *election);
