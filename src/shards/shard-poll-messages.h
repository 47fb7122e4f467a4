/**
 * @file
 * SECTION: shard-poll-messages
 * The poll of a leaseholder and the leader's answer, and their encoding.
 *
 * A leaseholder polls the leader two to four times a second. The poll carries numbered events, the answer numbered
 * batches; each side repeats them until the other has acknowledged them (outbox.h). shard-messages.h encodes machines,
 * and task-group-messages.h encodes tasks. A poll can also ask the leader to acknowledge cancellations, and its answer
 * then names the jobs whose cancellation is acknowledged; cancellation-messages.h encodes both.
 */
#pragma once
#include "outbox.h"
#include "shard-messages.h"
#include "task-group-messages.h"

/**
 * HzbShardBatch: a message from the leader to a leaseholder.
 *
 * Exactly one member other than message is set when the batch is encoded.
 */
typedef struct
{
  HzbOutboxMessage message; /**< number and state in the leader's outbox */
  HzbMachineLease *lease;   /**< (nullable): a machine that joins the shard */
  HzbRecall *recall;        /**< (nullable): a recall of a machine, or its withdrawal */
  HzbTaskGroups *delegated; /**< (nullable): unstarted tasks that the leaseholder may start */
  HzbTaskGroups *durable;   /**< (nullable): tasks whose result is durable, so that their workers may drop it */
  char *cancelled_uid;      /**< (nullable): uid of a job that was cancelled */
} HzbShardBatch;

/** hzb_shard_batch_new: Returns: (transfer full): a batch without content */
HzbShardBatch *hzb_shard_batch_new (void);

/** hzb_shard_batch_free: frees a batch and its members. */
void hzb_shard_batch_free (HzbShardBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardBatch, hzb_shard_batch_free)

/** hzb_shard_batch_encode: Returns: (transfer full): the wire format of the batch */
cJSON *hzb_shard_batch_encode (const HzbShardBatch *batch);

/**
 * hzb_shard_batch_decode: Returns: (transfer full): the decoded batch; members that the message does not have are unset
 */
HzbShardBatch *hzb_shard_batch_decode (const cJSON *message);

/**
 * HzbShardEvent: a message from a leaseholder to the leader.
 *
 * Exactly one of finished, returned and machine is set when the event is encoded.
 */
typedef struct
{
  HzbOutboxMessage message;  /**< number and state in the leaseholder's outbox */
  HzbTaskGroups *finished;   /**< (nullable): tasks that succeeded; the leader makes their result durable */
  double ran_s;              /**< if finished is set: run time of each of these tasks, in seconds */
  HzbTaskGroups *returned;   /**< (nullable): tasks that the leaseholder returns unstarted */
  HzbMachineReturn *machine; /**< (nullable): a machine that the leaseholder returns */
} HzbShardEvent;

/** hzb_shard_event_new: Returns: (transfer full): an event without content */
HzbShardEvent *hzb_shard_event_new (void);

/** hzb_shard_event_free: frees an event and its members. */
void hzb_shard_event_free (HzbShardEvent *event);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardEvent, hzb_shard_event_free)

/** hzb_shard_event_encode: Returns: (transfer full): the wire format of the event */
cJSON *hzb_shard_event_encode (const HzbShardEvent *event);

/**
 * hzb_shard_event_decode: Returns: (transfer full): the decoded event; members that the message does not have are unset
 */
HzbShardEvent *hzb_shard_event_decode (const cJSON *message);

/** HzbJobCount: a number of tasks of one job. */
typedef struct
{
  char *uid;   /**< uid of the job */
  guint count; /**< number of tasks */
} HzbJobCount;

/** hzb_job_counts_new: Returns: (transfer full) (element-type HzbJobCount): an empty array */
GArray *hzb_job_counts_new (void);

/** hzb_job_counts_add: appends an entry to counts: the job uid (copied) has count tasks. */
void hzb_job_counts_add (GArray *counts, const char *uid, guint count);

/**
 * HzbShardPoll: the request that a leaseholder, or a node without a shard, sends to the leader.
 *
 * A node that holds no shard has fencing_token 0; the members below fencing_token are not sent then.
 */
typedef struct
{
  /** (nullable): name of the sender. Set by decoding only: hzb_peers_new_message() writes it into the message. */
  char *node;
  char *incarnation;     /**< (nullable): incarnation of the sender's process; set by decoding only, like node */
  GArray *cancellations; /**< (nullable) (element-type HzbCancellation): the leader is asked to acknowledge these */
  guint64 fencing_token; /**< fencing token of the shard that the sender holds; 0: none */
  guint64 last_batch_applied; /**< acknowledges all batches up to this number */
  GPtrArray *events;       /**< (nullable) (element-type HzbShardEvent): events that the leader has not acknowledged */
  double requested_cpus;   /**< total CPUs of the tasks that the sender asks the leader to delegate */
  GArray *recalled_counts; /**< (element-type HzbJobCount): tasks on machines that the leader has recalled */
  GArray *running_counts;  /**< (element-type HzbJobCount): tasks that run in the shard */
  /**
   * the poll names only some jobs, and the leader keeps its counts of the others; FALSE: the leader sets those to 0
   */
  gboolean partial_counts;
} HzbShardPoll;

/** hzb_shard_poll_new: Returns: (transfer full): the poll of a node that holds no shard */
HzbShardPoll *hzb_shard_poll_new (void);

/** hzb_shard_poll_free: frees a poll and its members. */
void hzb_shard_poll_free (HzbShardPoll *poll);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbShardPoll, hzb_shard_poll_free)

/** hzb_shard_poll_encode: adds the poll to a message that hzb_peers_new_message() has created. */
void hzb_shard_poll_encode (const HzbShardPoll *poll, cJSON *message);

/**
 * hzb_shard_poll_decode: Returns: (transfer full): the decoded poll; malformed members are unset, malformed counts left
 * out
 */
HzbShardPoll *hzb_shard_poll_decode (const cJSON *message);

/** HzbShardAnswer: the leader's answer to a poll. */
typedef struct
{
  /**
   * (nullable): uids of the jobs whose cancellation the leader acknowledges. When encoding, NULL: the poll did not ask.
   * Decoding sets an empty array then.
   */
  char **acknowledged_uids;
  GPtrArray *batches;         /**< (nullable) (element-type HzbShardBatch): batches that are not acknowledged */
  guint64 term;               /**< term of the leader */
  gboolean reclaimed;         /**< the shard was reclaimed; the members below are not sent then */
  guint64 fencing_token;      /**< fencing token of the shard that is leased to the polling node; 0: none */
  guint64 last_event_applied; /**< acknowledges all events up to this number */
  double lease_s;             /**< duration of the lease in seconds, counted from when the poll was sent */
} HzbShardAnswer;

/** hzb_shard_answer_clear: frees the members of the answer, but not the answer itself. */
void hzb_shard_answer_clear (HzbShardAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbShardAnswer, hzb_shard_answer_clear)

/** hzb_shard_answer_encode: adds the answer to message. */
void hzb_shard_answer_encode (const HzbShardAnswer *answer, cJSON *message);

/** hzb_shard_answer_decode: fills answer from message; the caller clears it with hzb_shard_answer_clear(). */
void hzb_shard_answer_decode (const cJSON *message, HzbShardAnswer *answer);
