/**
 * @file
 * SECTION: shard-messages
 * What the leader and its leaseholders tell each other of machines, and its encoding.
 *
 * The only place that knows how these messages are written. shard-poll-messages.h puts them into polls and answers.
 */
#pragma once
#include "machines.h"

#include <cjson/cJSON.h>

/** HzbHeldTask: a task that is, or may be, on a machine that changes hands. */
typedef struct
{
  char *uid;       /**< (nullable): of its job; NULL: the sender named none */
  int number;      /**< of the task in its job; below 0: the sender named none */
  guint64 attempt; /**< which start of the task it is */
  gboolean runs;   /**< a heartbeat of the worker has shown that it runs; else it may still be fetching its image */
} HzbHeldTask;

/** hzb_held_tasks_new: Returns: (transfer full) (element-type HzbHeldTask): none yet */
GArray *hzb_held_tasks_new (void);

/** hzb_held_tasks_add: adds a task to held (element-type HzbHeldTask) in its present state. */
void hzb_held_tasks_add (GArray *held, const HzbTask *task);

/** HzbMachineLease: the leader leases a machine. */
typedef struct
{
  char *name;          /**< of the machine */
  char *addr;          /**< (nullable): host and port of its worker */
  char *type;          /**< name of its machine type */
  char *zone;          /**< in which it is */
  gboolean spot;       /**< the cloud may take it back at any time */
  guint64 agent_epoch; /**< of its last heartbeat */
  guint64 sequence;    /**< of its last heartbeat */
  GArray *holds; /**< (nullable) (element-type HzbHeldTask): what may be on it; NULL: it was leased without tasks */
} HzbMachineLease;

/** hzb_machine_lease_free: frees a lease and what it holds. */
void hzb_machine_lease_free (HzbMachineLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineLease, hzb_machine_lease_free)

/** hzb_machine_lease_new: Returns: (transfer full): of the machine in its present state, without tasks */
HzbMachineLease *hzb_machine_lease_new (const HzbMachine *machine);

/** hzb_machine_lease_encode: Returns: (transfer full) */
cJSON *hzb_machine_lease_encode (const HzbMachineLease *lease);

/** hzb_machine_lease_decode: Returns: (transfer full) (nullable): NULL if the message leases no machine */
HzbMachineLease *hzb_machine_lease_decode (const cJSON *message);

/** HzbMachineReturn: a leaseholder gives a machine back. */
typedef struct
{
  char *name;          /**< of the machine */
  char *why;           /**< (nullable): for the leader's log */
  gboolean faulty;     /**< the leader should return it to the cloud */
  guint64 agent_epoch; /**< of its last heartbeat */
  guint64 sequence;    /**< of its last heartbeat */
  GArray *lost;        /**< (element-type HzbHeldTask): what may be on it */
} HzbMachineReturn;

/** hzb_machine_return_free: frees a return and what it holds. */
void hzb_machine_return_free (HzbMachineReturn *returned);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineReturn, hzb_machine_return_free)

/** hzb_machine_return_new: Returns: (transfer full): with no tasks yet */
HzbMachineReturn *hzb_machine_return_new (const char *name, const char *why, guint64 agent_epoch, guint64 sequence);

/** hzb_machine_return_encode: Returns: (transfer full) */
cJSON *hzb_machine_return_encode (const HzbMachineReturn *returned);

/** hzb_machine_return_decode: Returns: (transfer full) (nullable): NULL if the message gives no machine back */
HzbMachineReturn *hzb_machine_return_decode (const cJSON *message);

/** HzbRecall: the leader recalls a machine, or withdraws that. */
typedef struct
{
  char *machine;    /**< its name */
  gboolean back;    /**< the leaseholder should give it back; FALSE: the leaseholder may keep it after all */
  gboolean at_once; /**< with the tasks that are on it; FALSE: once these have ended */
} HzbRecall;

/** hzb_recall_new: Returns: (transfer full) */
HzbRecall *hzb_recall_new (const char *machine, gboolean back, gboolean at_once);

/** hzb_recall_free: frees a recall and what it holds. */
void hzb_recall_free (HzbRecall *recall);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbRecall, hzb_recall_free)

/** hzb_recall_encode: Returns: (transfer full) */
cJSON *hzb_recall_encode (const HzbRecall *recall);

/** hzb_recall_decode: Returns: (transfer full) (nullable): NULL if the message recalls no machine */
HzbRecall *hzb_recall_decode (const cJSON *message);
