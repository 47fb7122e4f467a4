/**
 * SECTION: peer-messages
 * @short_description: the fields with which every message between controllers identifies its sender
 *
 * A copy of an old message may arrive late, also from a process that has ended since. So each message names the sending
 * process, when that process started, and a number that grows; peer-senders.h decides which messages are accepted.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbPeerMessageKind: messages are numbered in one sequence, and of each kind only one newer than the last is accepted. */
typedef enum
{
  HZB_PEER_HEARTBEAT,  /**< the heartbeat that controllers exchange */
  HZB_PEER_SHARD_POLL, /**< a leaseholder polls the leader */
  HZB_PEER_N_KINDS     /**< how many kinds there are */
} HzbPeerMessageKind;

/**
 * HzbPeerEnvelope: identifies the process that sent a message. The strings belong to whoever filled in the structure.
 */
typedef struct
{
  const char *node;        /**< (nullable): name of the controller */
  const char *incarnation; /**< (nullable): of the process */
  guint64 started_ms;      /**< when the process started, in milliseconds of the time of day */
  guint64 number;          /**< of the message; grows with each message of the process */
  guint schema_version;    /**< of records and messages; 1: the sender states none */
} HzbPeerEnvelope;

/** hzb_peer_envelope_encode: Returns: (transfer full): a new message with these fields */
cJSON *hzb_peer_envelope_encode (const HzbPeerEnvelope *envelope);

/**
 * hzb_peer_envelope_decode: reads the fields of a message (nullable), whose strings it refers to. What the message
 * lacks is NULL or 0.
 */
HzbPeerEnvelope hzb_peer_envelope_decode (const cJSON *message);
