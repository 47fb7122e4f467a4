/**
 * @file
 * SECTION: shard-messages
 * Messages about machines between the leader and its leaseholders, and their encoding.
 *
 * Only this module knows the wire format of these messages. shard-poll-messages.h puts them into polls and answers.
 */
#pragma once
#include "machines.h"

#include <cjson/cJSON.h>

/** HzbHeldTask: a task that is, or may be, on a machine that moves to another shard. */
typedef struct
{
  char *uid;  /**< (nullable): uid of its job; NULL: the sender named none */
  int number; /**< HzbTask.index: number of the task in its job, from 0 on; below 0: the sender named none */
  /**
   * HzbTask.attempt: identifies the current attempt to run the task; no other attempt in this job has the same number
   */
  guint64 attempt;
  gboolean running; /**< a heartbeat has shown that the task runs; FALSE: it may still be fetching its image */
} HzbHeldTask;

/** hzb_held_tasks_new: Returns: (transfer full) (element-type HzbHeldTask): an empty array */
GArray *hzb_held_tasks_new (void);

/** hzb_held_tasks_add: appends the task, in its present state, to held_tasks (element-type HzbHeldTask). */
void hzb_held_tasks_add (GArray *held_tasks, const HzbTask *task);

/** HzbMachineLease: a machine that the leader leases to a leaseholder. */
typedef struct
{
  char *name;          /**< name of the machine */
  char *addr;          /**< (nullable): host and port of its worker */
  char *type;          /**< name of its machine type */
  char *zone;          /**< name of its zone */
  gboolean spot;       /**< it is a spot machine: the cloud may reclaim it at any time */
  guint64 agent_epoch; /**< agent epoch of its last heartbeat */
  guint64 sequence;    /**< sequence number of its last heartbeat */
  /**
   * (nullable) (element-type HzbHeldTask): set (possibly to an empty array) if the machine is leased together with its
   * tasks: the tasks that may be on it; the leaseholder treats it as unverified. NULL if it was leased while idle or
   * booting: the leaseholder treats it as booting.
   */
  GArray *held_tasks;
} HzbMachineLease;

/** hzb_machine_lease_free: frees a lease and its members. */
void hzb_machine_lease_free (HzbMachineLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineLease, hzb_machine_lease_free)

/** hzb_machine_lease_new: Returns: (transfer full): a lease of the machine in its present state; held_tasks is NULL */
HzbMachineLease *hzb_machine_lease_new (const HzbMachine *machine);

/** hzb_machine_lease_encode: Returns: (transfer full): the wire format of the lease */
cJSON *hzb_machine_lease_encode (const HzbMachineLease *lease);

/**
 * hzb_machine_lease_decode: Returns: (transfer full) (nullable): the decoded lease; NULL if the message leases no
 * machine
 */
HzbMachineLease *hzb_machine_lease_decode (const cJSON *message);

/** HzbMachineReturn: a machine that a leaseholder returns to the leader. */
typedef struct
{
  char *name;   /**< name of the machine */
  char *reason; /**< (nullable): why the machine is returned, for the leader's log */
  /**
   * the leader should return the machine to the cloud, for example because it is faulty; copied from the leaseholder's
   * HzbMachine.scale_in_requested. Always FALSE if the leaseholder has been told that the leader recalls the machine,
   * or if it returns the machine without having accepted it.
   */
  gboolean scale_in_requested;
  guint64 agent_epoch; /**< agent epoch of its last heartbeat */
  guint64 sequence;    /**< sequence number of its last heartbeat */
  GArray *held_tasks;  /**< (element-type HzbHeldTask): tasks that may be on it */
} HzbMachineReturn;

/** hzb_machine_return_free: frees a return and its members. */
void hzb_machine_return_free (HzbMachineReturn *returned);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineReturn, hzb_machine_return_free)

/**
 * hzb_machine_return_new: Returns: (transfer full): a return with empty held_tasks; name and reason (nullable) are
 * copied
 */
HzbMachineReturn *hzb_machine_return_new (const char *name, const char *reason, guint64 agent_epoch, guint64 sequence);

/** hzb_machine_return_encode: Returns: (transfer full): the wire format of the return */
cJSON *hzb_machine_return_encode (const HzbMachineReturn *returned);

/**
 * hzb_machine_return_decode: Returns: (transfer full) (nullable): the decoded return; NULL if the message returns no
 * machine
 */
HzbMachineReturn *hzb_machine_return_decode (const cJSON *message);

/** HzbRecall: the leader's request that a leaseholder return a machine, or the withdrawal of that request. */
typedef struct
{
  char *machine;      /**< name of the machine */
  gboolean requested; /**< the leaseholder should return the machine; FALSE: the recall is withdrawn */
  gboolean at_once;   /**< return the machine with the tasks on it; FALSE: after these tasks have ended */
} HzbRecall;

/**
 * hzb_recall_new: Returns: (transfer full): a recall of the machine with this name (copied); see #HzbRecall for the
 * flags
 */
HzbRecall *hzb_recall_new (const char *machine, gboolean requested, gboolean at_once);

/** hzb_recall_free: frees a recall and its members. */
void hzb_recall_free (HzbRecall *recall);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbRecall, hzb_recall_free)

/** hzb_recall_encode: Returns: (transfer full): the wire format of the recall */
cJSON *hzb_recall_encode (const HzbRecall *recall);

/**
 * hzb_recall_decode: Returns: (transfer full) (nullable): the decoded recall; NULL if the message neither recalls a
 * machine nor withdraws a recall
 */
HzbRecall *hzb_recall_decode (const cJSON *message);
