/**
 * @file
 * SECTION: outbox
 * Numbered messages to another controller, which are sent repeatedly until the receiver acknowledges them.
 *
 * The leader keeps an outbox of batches for each leaseholder, and a leaseholder keeps an outbox of events for the
 * leader. The receiver applies each number once and in order, so a repeated message has no effect.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/**
 * HzbOutboxMessage: the outbox's data about a message; the first member of each type of message that is sent through an
 * outbox.
 */
typedef struct
{
  guint64 number; /**< sequence number, from 1 on; set by hzb_outbox_push() */
  gboolean sent;  /**< the message was sent at least once, so its content must not change */
  gsize bytes;    /**< encoded size in bytes; only set if the outbox has a size limit */
} HzbOutboxMessage;

/** HzbOutboxEncode: Returns: (transfer full): the wire format of the message, its number included */
typedef cJSON *(*HzbOutboxEncode) (const HzbOutboxMessage *message);

/** HzbOutbox: the messages to one receiver that have not been acknowledged. */
typedef struct
{
  GQueue unacknowledged;  /**< (element-type HzbOutboxMessage): the messages, in the order of their numbers */
  guint64 last_number;    /**< number of the message that was pushed last; 0: none was pushed */
  gsize max_bytes;        /**< limit on the total size of the messages that are sent at once; 0: no limit */
  HzbOutboxEncode encode; /**< encodes a message, to measure its size */
  GDestroyNotify free;    /**< frees a message */
} HzbOutbox;

/**
 * hzb_outbox_init: initialises an empty outbox. max_bytes limits the total size of the messages that are sent at once;
 * 0 sets no limit. encode is called only to measure the size of a message, and only if there is a limit. free_message
 * frees a message.
 */
void hzb_outbox_init (HzbOutbox *outbox, gsize max_bytes, HzbOutboxEncode encode, GDestroyNotify free_message);

/** hzb_outbox_push: assigns the next number to message (transfer full) and queues it. */
void hzb_outbox_push (HzbOutbox *outbox, HzbOutboxMessage *message);

/** hzb_outbox_acknowledge: frees all messages up to number, which the receiver has applied. */
void hzb_outbox_acknowledge (HzbOutbox *outbox, guint64 number);

/**
 * hzb_outbox_prepare_send: selects the messages that the caller sends next, and marks them as sent. These are the first
 * unacknowledged messages: as many as fit the size limit, and at least one if there is any. The others are selected
 * after the receiver has acknowledged these.
 *
 * Returns: (transfer container) (element-type HzbOutboxMessage): the selected messages
 */
GPtrArray *hzb_outbox_prepare_send (const HzbOutbox *outbox);

/**
 * hzb_outbox_last_unsent: Returns: (transfer none) (nullable): the last message; NULL if there is none or it was sent
 * already, so that its content must not change
 */
HzbOutboxMessage *hzb_outbox_last_unsent (HzbOutbox *outbox);

/** hzb_outbox_clear: frees all messages; the next message gets number 1. */
void hzb_outbox_clear (HzbOutbox *outbox);
