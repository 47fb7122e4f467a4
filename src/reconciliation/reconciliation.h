/**
 * SECTION: reconciliation
 * @short_description: after all controllers have ended, each job's fate is decided once, before any new command for it
 *
 * The public face of the folder, used by the leader. A leadership that begins after every controller of the last one
 * has ended is a cold start. Then no command is given for a job until it is decided, and durable, what becomes of the
 * job; that is known once every machine that may hold a task of the job has answered or is gone. Reconciliation only
 * ever holds commands back: which tasks may start elsewhere is decided by the rules of every change of leader
 * (docs/cold-start.md).
 */
#pragma once
#include "archive-store.h"
#include "dispatch.h"
#include "kv-protocol.h"
#include "peers.h"
#include "quarantine.h"
#include "start-pacing.h"
#include "worker-protocol.h"

/** HzbReconciliation: the reconciliation of one leadership. */
typedef struct _HzbReconciliation HzbReconciliation;

/**
 * HzbReconciliationState: the course of a reconciliation.
 *
 * Allowed: none -> detecting -> collecting -> deciding -> recorded -> complete -> none; detecting -> none for a change
 * of leader; detecting to recorded -> abandoned -> none when the leadership is lost.
 */
typedef enum
{
  HZB_RECONCILIATION_NONE,       /**< not leading, not a cold start, or switched off */
  HZB_RECONCILIATION_DETECTING,  /**< it is not known yet whether any controller has survived */
  HZB_RECONCILIATION_COLLECTING, /**< some jobs wait for machines */
  HZB_RECONCILIATION_DECIDING,   /**< all jobs are decided, some verdicts are not durable */
  HZB_RECONCILIATION_RECORDED,   /**< all verdicts are durable; commands are paced, then the archive is written */
  HZB_RECONCILIATION_COMPLETE,   /**< the archive is written and the verdicts are removed */
  HZB_RECONCILIATION_ABANDONED,  /**< the leadership was lost before: the next leader goes on */
  HZB_RECONCILIATION_N_STATES    /**< how many states there are */
} HzbReconciliationState;

/** HzbReconciliationDependencies: what the module works with. Nothing is owned; all have to outlive the module. */
typedef struct
{
  HzbNode *node;            /**< settings, clock and the name of this process */
  HzbKvClient *kv;          /**< where verdicts are recorded */
  HzbKvReplica *kv_replica; /**< for the quarantine's proofs */
  HzbElection *election;    /**< verdicts are written on condition of the leader's term */
  HzbOwnership *ownership;  /**< drops responses to requests of an earlier epoch */
  HzbPeers *peers;          /**< which processes are alive */
  HzbJobs *jobs;            /**< on which verdicts are made */
  HzbMachines *machines;    /**< which may hold their tasks */
  HzbDispatch *dispatch;    /**< is run at once when starts may go on */
} HzbReconciliationDependencies;

/** hzb_reconciliation_new: `dependencies`: copied. Returns: (transfer full) */
HzbReconciliation *hzb_reconciliation_new (const HzbReconciliationDependencies *dependencies);

/** hzb_reconciliation_free: no response to a request of the module may come afterwards. */
void hzb_reconciliation_free (HzbReconciliation *reconciliation);

/** hzb_reconciliation_reset: forgets everything; called when leadership begins or ends. */
void hzb_reconciliation_reset (HzbReconciliation *reconciliation);

/** hzb_reconciliation_load: takes one of the leader's records; records of other modules are passed over. */
void hzb_reconciliation_load (HzbReconciliation *reconciliation, const HzbKvEntry *item);

/** hzb_reconciliation_loaded: all records were taken. From here on commands may be held back. */
void hzb_reconciliation_loaded (HzbReconciliation *reconciliation);

/** hzb_reconciliation_tick: goes on with the next step of the reconciliation. */
void hzb_reconciliation_tick (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_state: Returns: how far the reconciliation is */
HzbReconciliationState hzb_reconciliation_state (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_state_name: Returns: the state's name in logs and the administration API */
const char *hzb_reconciliation_state_name (HzbReconciliationState state);

/** hzb_reconciliation_pacing: Returns: (transfer none): the pace of commands, for the dispatcher */
HzbStartPacing *hzb_reconciliation_pacing (HzbReconciliation *reconciliation);

/* ---- what other modules may do now ---- */

/** hzb_reconciliation_may_resolve: Returns: whether the job's unconfirmed tasks may be taken for tasks that are
 * nowhere */
gboolean hzb_reconciliation_may_resolve (const HzbReconciliation *reconciliation, const HzbJob *job);

/** hzb_reconciliation_may_scale_out: Returns: whether a request for machines may be sent now; if so, it is counted */
gboolean hzb_reconciliation_may_scale_out (HzbReconciliation *reconciliation, struct timespec now);

/**
 * hzb_reconciliation_judge_unrecorded: a heartbeat shows a task that no record here names.
 *
 * Returns: %HZB_TASK_VERDICT_STOP or %HZB_TASK_VERDICT_REAP if that command may be given, else the task is to be left
 * alone
 */
HzbTaskVerdict hzb_reconciliation_judge_unrecorded (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                                    const HzbTaskStatus *task_status, struct timespec now);

/**
 * hzb_reconciliation_judge: a heartbeat shows a task of a job that is known.
 * `task`: (nullable): %NULL if the job is terminal and no task of it is kept
 *
 * Returns: what is to be done with the task
 */
HzbTaskVerdict hzb_reconciliation_judge (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                         const HzbJob *job, const HzbTask *task, const HzbTaskStatus *task_status);

/** hzb_reconciliation_note_commands: `commands`: (element-type HzbCommand): that go to a worker now; counted for the
 * archive */
void hzb_reconciliation_note_commands (HzbReconciliation *reconciliation, const GArray *commands);

/** hzb_reconciliation_note_scale_out: `machines`: how many were asked for; counted for the archive */
void hzb_reconciliation_note_scale_out (HzbReconciliation *reconciliation, guint machines);

/* ---- the roster: which controllers are alive, kept in the flush record ---- */

/** hzb_reconciliation_roster_due: Returns: whether a controller is alive that the recorded roster does not name */
gboolean hzb_reconciliation_roster_due (HzbReconciliation *reconciliation);

/** hzb_reconciliation_add_roster: puts the roster into the value of the flush record that is about to be written. */
void hzb_reconciliation_add_roster (HzbReconciliation *reconciliation, cJSON *flush_record);

/** hzb_reconciliation_roster_written: `applied`: whether that flush record is durable */
void hzb_reconciliation_roster_written (HzbReconciliation *reconciliation, gboolean applied);
