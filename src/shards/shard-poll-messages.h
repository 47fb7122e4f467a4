/**
 * @file
 * SECTION: shard-poll-messages
 * The poll of a leaseholder and the leader's answer, and their encoding.
 *
 * A leaseholder polls the leader about twice a second. The poll carries numbered events, the answer numbered batches; each side
 * repeats them until the other has acknowledged them (outbox.h). shard-messages.h encodes what they say of machines,
 * task-group-messages.h how they name tasks. What cancellations have to say rides along in both, encoded by their own module.
 */
#pragma once
#include "outbox.h"
#include "shard-messages.h"
#include "task-group-messages.h"

/**
 * HzbShardBatch: something that the leader tells a leaseholder.
 *
 * Exactly one member beside message is set when it is encoded.
 */
typedef struct
{
  HzbOutboxMessage message; /**< its place in the leader's outbox */
  HzbMachineLease *lease;   /**< (nullable): a machine that joins the shard */
  HzbRecall *recall;        /**< (nullable): a machine that should leave the shard, or stay after all */
  HzbTaskGroups *delegated; /**< (nullable): unstarted tasks that the leaseholder may start */
  HzbTaskGroups *durable;   /**< (nullable): tasks whose result is durable, so that workers may forget it */
  char *cancelled_uid;      /**< (nullable): a job that was cancelled */
} HzbShardBatch;

/** hzb_shard_batch_new: Returns: (transfer full): with nothing in it */
HzbShardBatch *hzb_shard_batch_new (void);

/** hzb_shard_batch_free: frees a batch and what it holds. */
void hzb_shard_batch_free (HzbShardBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardBatch, hzb_shard_batch_free)

/** hzb_shard_batch_encode: Returns: (transfer full) */
cJSON *hzb_shard_batch_encode (const HzbShardBatch *batch);

/** hzb_shard_batch_decode: Returns: (transfer full) */
HzbShardBatch *hzb_shard_batch_decode (const cJSON *message);

/**
 * HzbShardEvent: something that a leaseholder tells the leader.
 *
 * Exactly one of finished, returned and machine is set when it is encoded.
 */
typedef struct
{
  HzbOutboxMessage message;  /**< its place in the leaseholder's outbox */
  HzbTaskGroups *finished;   /**< (nullable): tasks that succeeded, and whose result the leader makes durable */
  double ran_s;              /**< with finished: for how long they ran, in seconds */
  HzbTaskGroups *returned;   /**< (nullable): tasks that the leaseholder has not started and has dropped */
  HzbMachineReturn *machine; /**< (nullable): a machine that the leaseholder gives back */
} HzbShardEvent;

/** hzb_shard_event_new: Returns: (transfer full): with nothing in it */
HzbShardEvent *hzb_shard_event_new (void);

/** hzb_shard_event_free: frees an event and what it holds. */
void hzb_shard_event_free (HzbShardEvent *event);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardEvent, hzb_shard_event_free)

/** hzb_shard_event_encode: Returns: (transfer full) */
cJSON *hzb_shard_event_encode (const HzbShardEvent *event);

/** hzb_shard_event_decode: Returns: (transfer full) */
HzbShardEvent *hzb_shard_event_decode (const cJSON *message);

/** HzbJobCount: how many tasks of one job a leaseholder speaks of. */
typedef struct
{
  char *uid;   /**< of the job */
  guint count; /**< of its tasks */
} HzbJobCount;

/** hzb_job_counts_new: Returns: (transfer full) (element-type HzbJobCount): none yet */
GArray *hzb_job_counts_new (void);

/** hzb_job_counts_add: says that of the job uid (copied) there are count tasks. */
void hzb_job_counts_add (GArray *counts, const char *uid, guint count);

/**
 * HzbShardPoll: what a leaseholder asks and tells the leader.
 *
 * A node that holds no shard sends fencing_token 0 and none of the members below it.
 */
typedef struct
{
  char *node;              /**< (nullable): the sender; decoded only, see hzb_peers_message() */
  char *incarnation;       /**< (nullable): the sender's process; decoded only */
  GArray *cancellations;   /**< (nullable) (element-type HzbCancellation): the leader is asked to acknowledge these */
  guint64 fencing_token;   /**< of the shard that the sender holds; 0: none */
  guint64 have;            /**< all batches up to this number have come */
  GPtrArray *events;       /**< (nullable) (element-type HzbShardEvent) */
  double room_cpus;        /**< CPUs' worth of tasks that the sender wants to be delegated */
  GArray *leaving;         /**< (element-type HzbJobCount): tasks on machines that the leader recalled */
  GArray *running;         /**< (element-type HzbJobCount): tasks that run in the shard */
  gboolean partial_counts; /**< jobs that are not named stay as they were; else none of theirs leaves or runs */
} HzbShardPoll;

/** hzb_shard_poll_new: Returns: (transfer full): of a node that holds no shard */
HzbShardPoll *hzb_shard_poll_new (void);

/** hzb_shard_poll_free: frees a poll and what it holds. */
void hzb_shard_poll_free (HzbShardPoll *poll);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardPoll, hzb_shard_poll_free)

/** hzb_shard_poll_encode: adds the poll to a message that hzb_peers_message() has begun. */
void hzb_shard_poll_encode (const HzbShardPoll *poll, cJSON *message);

/** hzb_shard_poll_decode: Returns: (transfer full) */
HzbShardPoll *hzb_shard_poll_decode (const cJSON *message);

/** HzbShardAnswer: the leader's answer to a poll. */
typedef struct
{
  char **
      acknowledged_uids; /**< (nullable): jobs whose cancellation the leader acknowledges, NULL: it was not asked; an answer that was decoded has an array */
  GPtrArray *batches;    /**< (nullable) (element-type HzbShardBatch) */
  guint64 term;          /**< of the leader */
  gboolean end;          /**< the shard was reclaimed; what is below is not sent then */
  guint64 fencing_token; /**< of the shard that the leader leases to the asker; 0: none */
  guint64 have;          /**< all events up to this number have come */
  double lease_s;        /**< how long the lease lasts, in seconds from when the poll was sent */
} HzbShardAnswer;

/** hzb_shard_answer_clear: frees what the answer holds, but not the answer itself. */
void hzb_shard_answer_clear (HzbShardAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbShardAnswer, hzb_shard_answer_clear)

/** hzb_shard_answer_encode: adds the answer to message. */
void hzb_shard_answer_encode (const HzbShardAnswer *answer, cJSON *message);

/** hzb_shard_answer_decode: fills answer, to be cleared with hzb_shard_answer_clear(). */
void hzb_shard_answer_decode (const cJSON *message, HzbShardAnswer *answer);
