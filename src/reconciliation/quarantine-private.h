/**
 * SECTION: quarantine-private
 * @short_description: the state that the source files of the quarantine share
 *
 * quarantine.c owns the entries and decides the verdicts on them, quarantine-proof.c proves that no record names a
 * task, and operator-decisions.c records the decisions of operators.
 */
#pragma once
#include "quarantine.h"

/** hzb_quarantine_set_proof: changes the state of the proof that no record names a task; the only function that does. A
 * change that #HzbQuarantineProof does not allow is logged and not made. */
void hzb_quarantine_set_proof (HzbQuarantinedTask *entry, HzbQuarantineProof to);

/** hzb_quarantine_start_proofs: starts the next round of proofs, if it is due. */
void hzb_quarantine_start_proofs (HzbQuarantine *quarantine, struct timespec now);

/** HzbQuarantine: the shared state. */
struct _HzbQuarantine
{
  HzbQuarantineDependencies dependencies; /**< a copy of the struct passed to hzb_quarantine_new() */
  GHashTable *entries;                    /**< key from entry_name() in quarantine.c -> HzbQuarantinedTask; owns both */
  guint overflow; /**< how many times a heartbeat listed a task without an entry while `entries` was full */

  /* quarantine-proof.c */
  gboolean syncing;           /**< a sync of the record replica is in flight */
  guint reads_in_flight;      /**< number of reads in flight, each of a job's archived completion */
  struct timespec next_proof; /**< when the next round of proofs may start */

  /* operator-decisions.c */
  GHashTable *kept;     /**< (element-type utf8): "JOB/NUMBER" of each task that operators durably decided to keep */
  guint64 kept_version; /**< version of the record of kept tasks; 0: the record does not exist */
  gboolean writing;     /**< a write of the record of kept tasks is in flight */
};
