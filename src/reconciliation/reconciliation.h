/**
 * SECTION: reconciliation
 * @short_description: decides each job's fate after all controllers have ended, before any new command for the job
 *
 * The public interface of the folder, used by the leader. A leadership that begins after every controller of the last
 * leadership has ended is a cold start. In a cold start, the leader sends no command for a job until the verdict on the
 * job is durable. A job can be decided once every machine that may hold one of its tasks has answered or is gone.
 * Reconciliation only ever delays commands: the rules that apply to every failover decide which tasks may start
 * elsewhere (docs/cold-start.md).
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
 * HzbReconciliationState: the progress of a reconciliation.
 *
 * Allowed: none -> detecting -> collecting -> deciding -> recorded -> complete -> none; detecting -> none for a
 * failover; detecting, collecting, deciding or recorded -> abandoned -> none when the leadership is lost.
 */
typedef enum
{
  HZB_RECONCILIATION_NONE,       /**< not leading, not a cold start, or switched off */
  HZB_RECONCILIATION_DETECTING,  /**< it is not known yet whether any controller has survived */
  HZB_RECONCILIATION_COLLECTING, /**< some jobs wait for machines, or the record of the cold start is not durable */
  HZB_RECONCILIATION_DECIDING,   /**< all jobs are decided, some verdicts are not durable */
  HZB_RECONCILIATION_RECORDED,   /**< all verdicts are durable; commands are paced, then the archive is written */
  HZB_RECONCILIATION_COMPLETE,   /**< the archive is written and the verdicts are removed */
  HZB_RECONCILIATION_ABANDONED,  /**< the leadership was lost before completion: the next leader continues */
  HZB_RECONCILIATION_N_STATES    /**< number of states */
} HzbReconciliationState;

/** HzbReconciliationDependencies: the modules that reconciliation calls. None is owned; all have to outlive it. */
typedef struct
{
  HzbNode *node;            /**< settings, clock and the name of this process */
  HzbKvClient *kv;          /**< writes the verdicts */
  HzbKvReplica *kv_replica; /**< used by the quarantine to prove that no record names a task */
  HzbElection *election;    /**< verdicts are written on condition of the leader's term */
  HzbOwnership *ownership;  /**< drops responses to requests of an earlier epoch */
  HzbPeers *peers;          /**< the other controllers, and which of them are alive */
  HzbJobs *jobs;            /**< the jobs to decide */
  HzbMachines *machines;    /**< the machines that may hold tasks of these jobs */
  HzbDispatch *dispatch;    /**< made due at once when a durable verdict permits commands for a job */
} HzbReconciliationDependencies;

/** hzb_reconciliation_new: `dependencies`: copied. Returns: (transfer full) */
HzbReconciliation *hzb_reconciliation_new (const HzbReconciliationDependencies *dependencies);

/** hzb_reconciliation_free: frees the module. No response to one of its requests may arrive afterwards. */
void hzb_reconciliation_free (HzbReconciliation *reconciliation);

/** hzb_reconciliation_reset: drops all state; called when a leadership begins or ends. */
void hzb_reconciliation_reset (HzbReconciliation *reconciliation);

/** hzb_reconciliation_load: reads one of the records that a new leader loads; ignores records of other modules. */
void hzb_reconciliation_load (HzbReconciliation *reconciliation, const HzbKvEntry *item);

/** hzb_reconciliation_finish_loading: called after the last record; from here on commands may be withheld. */
void hzb_reconciliation_finish_loading (HzbReconciliation *reconciliation);

/** hzb_reconciliation_tick: performs the steps that are due; called in each maintenance tick of the
 * leader. */
void hzb_reconciliation_tick (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_state: Returns: the progress of the reconciliation */
HzbReconciliationState hzb_reconciliation_state (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_state_name: Returns: the state's name in logs and the administration API */
const char *hzb_reconciliation_state_name (HzbReconciliationState state);

/** hzb_reconciliation_pacing: Returns: (transfer none): the pacing of commands, for the dispatcher */
HzbStartPacing *hzb_reconciliation_pacing (HzbReconciliation *reconciliation);

/* ---- permissions and verdicts for other modules ---- */

/** hzb_reconciliation_may_resolve_unconfirmed: Returns: whether the job's unconfirmed tasks may be treated as tasks
 * that no machine holds */
gboolean hzb_reconciliation_may_resolve_unconfirmed (const HzbReconciliation *reconciliation, const HzbJob *job);

/** hzb_reconciliation_may_scale_out: Returns: whether a scale-out request may be sent now; if so, the request is
 * counted against the pacing limit */
gboolean hzb_reconciliation_may_scale_out (HzbReconciliation *reconciliation, struct timespec now);

/**
 * hzb_reconciliation_decide_unrecorded_task: decides about a task that a heartbeat reports and no record on this node
 * names.
 *
 * Returns: %HZB_TASK_VERDICT_STOP or %HZB_TASK_VERDICT_REAP if that command may be sent; for any other verdict no
 * command may be sent. A stop that exceeds the pacing limit becomes %HZB_TASK_VERDICT_AWAIT
 */
HzbTaskVerdict hzb_reconciliation_decide_unrecorded_task (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                                          const HzbTaskStatus *task_status, struct timespec now);

/**
 * hzb_reconciliation_decide_task: decides about a task that a heartbeat reports and whose job is known.
 * `task`: (nullable): %NULL if the job is terminal and its tasks are no longer in memory
 *
 * Returns: the verdict on the task
 */
HzbTaskVerdict
hzb_reconciliation_decide_task (HzbReconciliation *reconciliation, const HzbMachine *machine, const HzbJob *job,
                                const HzbTask *task, const HzbTaskStatus *task_status);

/** hzb_reconciliation_count_commands: counts commands for the archive. `commands`: (element-type HzbCommand): about to
 * be sent to a worker */
void hzb_reconciliation_count_commands (HzbReconciliation *reconciliation, const GArray *commands);

/** hzb_reconciliation_count_scale_out: counts a scale-out for the archive. `machines`: the number of machines that were
 * requested */
void hzb_reconciliation_count_scale_out (HzbReconciliation *reconciliation, guint machines);

/* ---- the roster of living controllers in the flush record ---- */

/** hzb_reconciliation_is_roster_due: Returns: whether a controller is alive that the recorded roster does not name, and
 * the roster may be changed now */
gboolean hzb_reconciliation_is_roster_due (HzbReconciliation *reconciliation);

/** hzb_reconciliation_add_roster: puts the roster into the value of the flush record that is about to be written. */
void hzb_reconciliation_add_roster (HzbReconciliation *reconciliation, cJSON *flush_record);

/** hzb_reconciliation_complete_roster_write: ends the write of the flush record with the roster. `applied`: whether the
 * flush record is durable */
void hzb_reconciliation_complete_roster_write (HzbReconciliation *reconciliation, gboolean applied);
