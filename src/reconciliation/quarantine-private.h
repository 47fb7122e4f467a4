/**
 * SECTION: quarantine-private
 * @short_description: the state that the source files of the quarantine share
 *
 * quarantine.c owns the entries and judges them, quarantine-proof.c proves that no record names them, and
 * operator-decisions.c records what operators want.
 */
#pragma once
#include "quarantine.h"

/** hzb_quarantine_set_proof: the only place where the proof about a task changes; refuses what is not allowed. */
void hzb_quarantine_set_proof (HzbQuarantined *entry, HzbQuarantineProof to);

/** hzb_quarantine_prove: begins the next round of proofs, if it is due. */
void hzb_quarantine_prove (HzbQuarantine *quarantine, struct timespec now);

/** HzbQuarantine: the shared state. */
struct _HzbQuarantine
{
  HzbQuarantineDependencies dependencies; /**< copied */
  GHashTable *entries;                    /**< name -> HzbQuarantined; see entry_name() */
  guint overflow;                         /**< how many heartbeats showed a task for which there was no room */

  /* quarantine-proof.c */
  gboolean syncing;           /**< the replica of the records is being brought up to date */
  guint reading;              /**< reads in flight of archived completions */
  struct timespec next_proof; /**< when the next round may begin */

  /* operator-decisions.c */
  GHashTable *kept;     /**< (element-type utf8): durable; "JOB/NUMBER" of tasks that operators want kept */
  guint64 kept_version; /**< of their record; 0: there is none */
  gboolean writing;     /**< a decision is being recorded */
};
