/**
 * SECTION: quarantine-private
 * @short_description: the state that the source files of the quarantine share
 *
 * quarantine.c owns the entries and decides the verdicts on them, quarantine-proof.c proves that no record names a
 * task, and operator-decisions.c records the decisions of operators.
 */
#pragma once
#include "quarantine.h"

/** hzb_quarantine_set_proof: changes the state of the proof about a task. Nothing else changes it. A change that
 * #HzbQuarantineProof does not allow is logged and not made. */
void hzb_quarantine_set_proof (HzbQuarantinedTask *entry, HzbQuarantineProof to);

/** hzb_quarantine_start_proofs: starts the next round of proofs, if it is due. */
void hzb_quarantine_start_proofs (HzbQuarantine *quarantine, struct timespec now);

/** HzbQuarantine: the shared state. */
struct _HzbQuarantine
{
  HzbQuarantineDependencies dependencies; /**< copied */
  GHashTable *entries;                    /**< name -> HzbQuarantinedTask; see entry_name() */
  guint overflow;                         /**< how many times a heartbeat listed a task while `entries` was full */

  /* quarantine-proof.c */
  gboolean syncing;           /**< a sync of the record replica is in flight */
  guint reads_in_flight;      /**< reads of archived completions */
  struct timespec next_proof; /**< when the next round of proofs may start */

  /* operator-decisions.c */
  GHashTable *kept;     /**< (element-type utf8): "JOB/NUMBER" of tasks that operators keep; these are durable */
  guint64 kept_version; /**< version of the record of kept tasks; 0: the record does not exist */
  gboolean writing;     /**< a write of the record of kept tasks is in flight */
};
