/**
 * SECTION: peer-messages
 * @short_description: the fields that identify the sender of each message between controllers
 *
 * A copy of an old message may arrive late, even from a process that has ended since. So each message states the
 * sending process, the start time of that process, and an increasing number; peer-senders.h decides which messages are
 * accepted.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/**
 * HzbPeerMessageKind: kinds of messages between controllers. A process numbers its messages of all kinds in one
 * sequence. A receiver accepts only messages with a higher number than the last accepted one of the same kind.
 */
typedef enum
{
  HZB_PEER_HEARTBEAT,  /**< the heartbeat that controllers exchange */
  HZB_PEER_SHARD_POLL, /**< the poll that a leaseholder sends to the leader */
  HZB_PEER_N_KINDS     /**< number of kinds */
} HzbPeerMessageKind;

/**
 * HzbPeerEnvelope: identifies the process that sent a message. The strings are not owned by the structure.
 */
typedef struct
{
  const char *node;        /**< (nullable): name of the controller */
  const char *incarnation; /**< (nullable): identifies the process */
  guint64 started_ms;      /**< when the process started, in milliseconds since the Unix epoch */
  guint64 number;          /**< number of the message; increases with each message of the process */
  guint schema_version;    /**< schema version of the sender; 1 if the sender states none */
} HzbPeerEnvelope;

/** hzb_peer_envelope_encode: Returns: (transfer full): a new message with the fields of the envelope */
cJSON *hzb_peer_envelope_encode (const HzbPeerEnvelope *envelope);

/**
 * hzb_peer_envelope_decode: reads the envelope of a message (nullable). The strings belong to the message.
 *
 * Returns: the envelope; fields that the message lacks are NULL or 0, except for the schema version, which is 1
 */
HzbPeerEnvelope hzb_peer_envelope_decode (const cJSON *message);
