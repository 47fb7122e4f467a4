/**
 * @file
 * SECTION: outbox
 * Numbered messages to another controller, repeated until they are acknowledged.
 *
 * The leader keeps one outbox of batches for each leaseholder, a leaseholder keeps one of events for the leader. The receiver takes
 * each number once and in order, so a repeated message changes nothing.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbOutboxMessage: what the outbox keeps of a message; the first member of each type of message that goes through an outbox. */
typedef struct
{
  guint64 number; /**< its place in the order, from 1 on; set when it is pushed */
  gboolean sent;  /**< it was sent at least once, so its content does not change any more */
  gsize bytes;    /**< its encoded size, if the outbox limits the size of what is sent at once */
} HzbOutboxMessage;

/** HzbOutboxEncode: Returns: (transfer full): the message as it goes over the wire, its number included */
typedef cJSON *(*HzbOutboxEncode) (const HzbOutboxMessage *message);

/** HzbOutbox: the messages to one receiver that have not been acknowledged. */
typedef struct
{
  GQueue waiting;         /**< (element-type HzbOutboxMessage): not acknowledged, by number */
  guint64 number;         /**< of the message that was pushed last; 0: none was */
  gsize max_bytes;        /**< of all messages that are sent at once; 0: no limit */
  HzbOutboxEncode encode; /**< encodes a message, to measure it */
  GDestroyNotify free;    /**< frees a message */
} HzbOutbox;

/** hzb_outbox_init: makes outbox empty; max_bytes 0 sets no limit on what is sent at once. */
void hzb_outbox_init (HzbOutbox *outbox, gsize max_bytes, HzbOutboxEncode encode, GDestroyNotify free_message);

/** hzb_outbox_push: numbers message (transfer full) and sends it from now on. */
void hzb_outbox_push (HzbOutbox *outbox, HzbOutboxMessage *message);

/** hzb_outbox_acknowledge: the receiver has taken all messages up to number. */
void hzb_outbox_acknowledge (HzbOutbox *outbox, guint64 number);

/**
 * hzb_outbox_send: marks the first messages as sent, as many as fit the limit, and one at least. What is left goes once
 * these are acknowledged.
 *
 * Returns: (transfer container) (element-type HzbOutboxMessage): what is to be sent now
 */
GPtrArray *hzb_outbox_send (const HzbOutbox *outbox);

/** hzb_outbox_last_unsent: Returns: (transfer none) (nullable): the last message, if it was never sent and may still grow */
HzbOutboxMessage *hzb_outbox_last_unsent (HzbOutbox *outbox);

/** hzb_outbox_clear: drops all messages; the next one gets number 1. */
void hzb_outbox_clear (HzbOutbox *outbox);
