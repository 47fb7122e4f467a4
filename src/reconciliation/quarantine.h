/**
 * SECTION: quarantine
 * @short_description: tasks that heartbeats of workers show and no record names
 *
 * Such a task is quarantined until it is proven that no record names it: the transaction that accepts its job may be
 * carried out late, and the completion record of an old job is in the archive. Then an operator has time to decide.
 * The leader uses the quarantine in every leadership while reconciliation is switched on, so that a task that an
 * operator keeps stays kept after a change of leader.
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

/** HzbQuarantine: the tasks that no record names. */
typedef struct _HzbQuarantine HzbQuarantine;

/**
 * HzbQuarantineProof: how far it is proven that no record names a task.
 *
 * Allowed: waiting -> syncing -> reading -> absent or over; syncing and reading -> waiting where nothing was learnt.
 */
typedef enum
{
  HZB_PROOF_WAITING, /**< a late acceptance could still be carried out */
  HZB_PROOF_SYNCING, /**< the replica of the records is being brought up to date */
  HZB_PROOF_READING, /**< the archived completion of the job is being read */
  HZB_PROOF_ABSENT,  /**< no record names the task */
  HZB_PROOF_OVER,    /**< the completion of the job was found in the archive */
  HZB_PROOF_N_STATES /**< how many states there are */
} HzbQuarantineProof;

/** HzbQuarantined: one attempt of a task on one machine. */
typedef struct
{
  char *uid;                  /**< of the job */
  char *machine;              /**< whose heartbeat shows the task */
  guint task;                 /**< its number in the job */
  guint64 attempt;            /**< the number of the attempt */
  gboolean alive;             /**< as last shown */
  HzbQuarantineProof proof;   /**< changed by hzb_quarantine_set_proof() only */
  gboolean stop_requested;    /**< an operator wants the task stopped */
  struct timespec first_seen; /**< when a heartbeat first showed it */
  struct timespec last_seen;  /**< when a heartbeat last showed it */
  HzbTaskVerdict verdict;     /**< the last one */
  HzbTaskReason reason;       /**< of the last verdict */
} HzbQuarantined;

/** HzbKeepResult: what became of an operator's decision. */
typedef enum
{
  HZB_KEEP_DONE,        /**< the decision is durable, or needs not be */
  HZB_KEEP_NOT_FOUND,   /**< no such task is in quarantine */
  HZB_KEEP_NOT_PROVEN,  /**< a record may still come */
  HZB_KEEP_TOO_MANY,    /**< as many tasks are kept as fit the record */
  HZB_KEEP_CONFLICT,    /**< the decisions were changed meanwhile, or another node leads */
  HZB_KEEP_UNAVAILABLE, /**< the key-value store can't be asked, or its response was lost */
  HZB_KEEP_BUSY         /**< another decision is being recorded */
} HzbKeepResult;

/** HzbKeepFunc: called once with what became of a decision. */
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

/** hzb_quarantine_new: `dependencies`: copied. Returns: (transfer full) */
HzbQuarantine *hzb_quarantine_new (const HzbQuarantineDependencies *dependencies);

/** hzb_quarantine_free: no response to a request of the module may come afterwards. */
void hzb_quarantine_free (HzbQuarantine *quarantine);

/** hzb_quarantine_reset: forgets all tasks and decisions; called when leadership begins or ends. */
void hzb_quarantine_reset (HzbQuarantine *quarantine);

/** hzb_quarantine_load: `item`: the record of the tasks that operators want kept. An unreadable one counts for
 * nothing. */
void hzb_quarantine_load (HzbQuarantine *quarantine, const HzbKvEntry *item);

/**
 * hzb_quarantine_judge: a heartbeat of the machine shows a task that no record here names.
 * `reason`: (out): of the verdict
 *
 * Returns: what is to be done with the task
 */
HzbTaskVerdict hzb_quarantine_judge (HzbQuarantine *quarantine, const HzbMachine *machine,
                                     const HzbTaskStatus *task_status, struct timespec now, HzbTaskReason *reason);

/** hzb_quarantine_tick: goes on with proofs, and forgets tasks that no heartbeat shows any more. */
void hzb_quarantine_tick (HzbQuarantine *quarantine, struct timespec now);

/** hzb_quarantine_list: Returns: (transfer container) (element-type HzbQuarantined): in the order of jobs and tasks */
GPtrArray *hzb_quarantine_list (HzbQuarantine *quarantine);

/** hzb_quarantine_overflow: Returns: how many times a heartbeat showed a task beyond those that are tracked; such tasks
 * are left alone */
guint hzb_quarantine_overflow (const HzbQuarantine *quarantine);

/**
 * hzb_quarantine_decide: an operator wants the task kept, or stopped.
 * `uid`: of the job
 * `decision`: to keep or to stop
 * `done`: called once, perhaps before this function returns
 */
void hzb_quarantine_decide (HzbQuarantine *quarantine, const char *uid, guint task, HzbOperatorDecision decision,
                            HzbKeepFunc done, gpointer user);

/** hzb_quarantine_is_kept: Returns: whether an operator wants the task kept */
gboolean hzb_quarantine_is_kept (const HzbQuarantine *quarantine, const HzbQuarantined *entry);

/** hzb_quarantine_proof_name: Returns: the name of the proof's state in the administration API */
const char *hzb_quarantine_proof_name (HzbQuarantineProof proof);
