/**
 * SECTION: shard-messages
 * @short_description: what the leader and its leaseholders tell each other of machines, and its encoding
 *
 * The one place that knows how these messages are written. Groups of tasks, which are merged while they wait to be sent, are
 * in outbox.h.
 */
#pragma once
#include "task.h"

#include <cjson/cJSON.h>

/** HzbHeldTask: a task that is, or may be, on a machine that changes hands. */
typedef struct
{
  char *uid;
  int number; /* below 0: none was named */
  guint64 attempt;
  gboolean runs;
} HzbHeldTask;

/** hzb_held_tasks_new: Returns: (transfer full) (element-type HzbHeldTask) */
GArray *hzb_held_tasks_new (void);

/** hzb_held_tasks_add: the task as it is now. */
void hzb_held_tasks_add (GArray *held, const HzbTask *task);

/** HzbMachineLease: the leader leases a machine. */
typedef struct
{
  char *name, *addr, *type, *zone;
  gboolean spot;
  guint64 agent_epoch, sequence; /* of its last report */
  GArray *holds;                 /* HzbHeldTask; NULL: it had no tasks when it was leased */
} HzbMachineLease;

void hzb_machine_lease_free (HzbMachineLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineLease, hzb_machine_lease_free)

/** hzb_machine_lease_new: of the machine as it is, without tasks. Returns: (transfer full) */
HzbMachineLease *hzb_machine_lease_new (const HzbMachine *machine);

/** hzb_machine_lease_encode: Returns: (transfer full) */
cJSON *hzb_machine_lease_encode (const HzbMachineLease *lease);

/** hzb_machine_lease_decode: Returns: (transfer full) (nullable): NULL if the message leases no machine */
HzbMachineLease *hzb_machine_lease_decode (const cJSON *message);

/** HzbMachineReturn: a leaseholder gives a machine back. */
typedef struct
{
  char *name, *why;
  gboolean faulty;               /* it should go back to the cloud */
  guint64 agent_epoch, sequence; /* of its last report */
  GArray *lost;                  /* HzbHeldTask: what may be on it */
} HzbMachineReturn;

void hzb_machine_return_free (HzbMachineReturn *returned);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbMachineReturn, hzb_machine_return_free)

/** hzb_machine_return_new: Returns: (transfer full): with no tasks yet */
HzbMachineReturn *hzb_machine_return_new (const char *name, const char *why, guint64 agent_epoch, guint64 sequence);
cJSON *hzb_machine_return_encode (const HzbMachineReturn *returned);

/** hzb_machine_return_decode: Returns: (transfer full) (nullable): NULL if the message gives no machine back */
HzbMachineReturn *hzb_machine_return_decode (const cJSON *message);

/** HzbRecall: the leader asks for a machine back, or leaves it where it is after all. */
typedef struct
{
  const char *machine; /* not owned */
  gboolean back;       /* FALSE: it stays */
  gboolean at_once;    /* with all that is on it */
} HzbRecall;

cJSON *hzb_recall_encode (const HzbRecall *recall);

/** hzb_recall_decode: the name stays the message's. Returns: FALSE if the message says nothing of that kind */
gboolean hzb_recall_decode (const cJSON *message, HzbRecall *recall);

/** HzbShardAnswer: what each answer to a poll begins with. */
typedef struct
{
  guint64 term;
  gboolean end;          /* the shard was taken back; what follows is not said then */
  guint64 fencing_token; /* of the shard; 0: there is none */
  guint64 have;          /* all events up to this number have come */
  double lease_s;        /* from when it was asked for */
} HzbShardAnswer;

void hzb_shard_answer_encode (const HzbShardAnswer *answer, cJSON *message);
void hzb_shard_answer_decode (const cJSON *message, HzbShardAnswer *answer);
