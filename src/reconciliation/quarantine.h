/**
 * SECTION: quarantine
 * @short_description: tasks that workers report and no record names
 *
 * Such a task is left alone until it is proven that no record names it: the acceptance may be carried out late, and the
 * record of a job that ended long ago lies elsewhere. Then an operator has time to decide. Used by the leader, in every
 * leadership while reconciliation is switched on, so that what an operator keeps stays kept after a change of leader.
 */
#pragma once
#include "election.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "kv-replica.h"
#include "machines.h"
#include "node.h"
#include "ownership.h"
#include "verdicts.h"
#include "worker-protocol.h"

typedef struct _HzbQuarantine HzbQuarantine;

/** HzbQuarantineProof: how far it is proven that no record names a task. */
typedef enum
{
  HZB_PROOF_WAITING, /* a late acceptance could still be carried out */
  HZB_PROOF_SYNCING, /* the replica of the records is brought up to the moment */
  HZB_PROOF_READING, /* the place of old ends is read */
  HZB_PROOF_ABSENT,  /* no record names it */
  HZB_PROOF_OVER,    /* its job ended long ago */
  HZB_PROOF_N_STATES
} HzbQuarantineProof;

/** HzbQuarantined: one task on one machine. */
typedef struct
{
  char *uid, *machine;
  guint task;
  guint64 attempt;
  gboolean alive;           /* as last reported */
  HzbQuarantineProof proof; /* changed by set_proof() in quarantine.c only */
  gboolean stop_requested;  /* by an operator */
  struct timespec first_seen, last_seen;
  HzbTaskVerdict verdict;
  HzbTaskReason reason;
} HzbQuarantined;

/** HzbKeepResult: what became of an operator's decision. */
typedef enum
{
  HZB_KEEP_DONE,        /* it is durable, or needs not be */
  HZB_KEEP_NOT_FOUND,   /* no such task is in quarantine */
  HZB_KEEP_NOT_PROVEN,  /* a record may still come */
  HZB_KEEP_TOO_MANY,    /* as many are kept as fit the record */
  HZB_KEEP_CONFLICT,    /* the decisions were changed meanwhile, or another leads */
  HZB_KEEP_UNAVAILABLE, /* the key-value store can't be asked, or the answer was lost */
  HZB_KEEP_BUSY         /* another decision is on its way */
} HzbKeepResult;

typedef void (*HzbKeepFunc) (HzbKeepResult result, gpointer user);

/** HzbQuarantineDependencies: what the module works with. Nothing is owned; all have to outlive the module. */
typedef struct
{
  HzbNode *node;            /**< settings and clock */
  HzbKvClient *kv;          /**< reads archived completions and writes the operators' decisions */
  HzbKvReplica *kv_replica; /**< brought up to date for each proof */
  HzbElection *election;    /**< decisions are written on condition of the leader's term */
  HzbOwnership *ownership;  /**< drops responses to requests of an earlier epoch */
  HzbJobs *jobs;            /**< the records that may name a task after all */
  HzbMachines *machines;    /**< where such a task is */
} HzbQuarantineDependencies;

/** hzb_quarantine_new: @dependencies: copied. Returns: (transfer full) */
HzbQuarantine *hzb_quarantine_new (const HzbQuarantineDependencies *dependencies);
void hzb_quarantine_free (HzbQuarantine *quarantine);

/** hzb_quarantine_reset: leadership begins or ends. */
void hzb_quarantine_reset (HzbQuarantine *quarantine);

/** hzb_quarantine_load: the operators' decisions, as recorded. */
void hzb_quarantine_load (HzbQuarantine *quarantine, const HzbKvEntry *item);

/** hzb_quarantine_judge: a report of the machine shows a task that no record here names. */
HzbTaskVerdict hzb_quarantine_judge (HzbQuarantine *quarantine, const HzbMachine *machine,
                                     const HzbTaskStatus *task_status, struct timespec now, HzbTaskReason *reason);

/** hzb_quarantine_tick: goes on with proofs, and forgets what is not reported any more. */
void hzb_quarantine_tick (HzbQuarantine *quarantine, struct timespec now);

/** hzb_quarantine_list: Returns: (transfer container) (element-type HzbQuarantined): in the order of names */
GPtrArray *hzb_quarantine_list (HzbQuarantine *quarantine);

/** hzb_quarantine_overflow: reports of tasks beyond what is kept track of; they are left alone. */
guint hzb_quarantine_overflow (const HzbQuarantine *quarantine);

/** hzb_quarantine_decide: an operator wants the task kept, or stopped. @done is called once. */
void hzb_quarantine_decide (HzbQuarantine *quarantine, const char *uid, guint task, HzbOperatorDecision decision,
                            HzbKeepFunc done, gpointer user);

/** hzb_quarantine_is_kept: an operator wants it kept. */
gboolean hzb_quarantine_is_kept (const HzbQuarantine *quarantine, const HzbQuarantined *entry);
const char *hzb_quarantine_proof_name (HzbQuarantineProof proof);
