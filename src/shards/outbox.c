#include "outbox.h"

#include <string.h>

void
hzb_outbox_init (HzbOutbox *outbox, gsize max_bytes, HzbOutboxEncode encode, GDestroyNotify free_message)
{
  *outbox = (HzbOutbox){ .max_bytes = max_bytes, .encode = encode, .free = free_message };
  g_queue_init (&outbox->unacknowledged);
}

void
hzb_outbox_push (HzbOutbox *outbox, HzbOutboxMessage *message)
{
  message->number = ++outbox->last_number;
  g_queue_push_tail (&outbox->unacknowledged, message);
}

void
hzb_outbox_acknowledge (HzbOutbox *outbox, guint64 number)
{
  HzbOutboxMessage *message;
  while ((message = g_queue_peek_head (&outbox->unacknowledged)) && message->number <= number)
    outbox->free (g_queue_pop_head (&outbox->unacknowledged));
}

static gsize
encoded_bytes (const HzbOutbox *outbox, const HzbOutboxMessage *message)
{
  cJSON *encoded = outbox->encode (message);
  g_autofree char *text = cJSON_PrintUnformatted (encoded);
  cJSON_Delete (encoded);
  return strlen (text) + 1; /* includes the comma that follows the message in the array */
}

GPtrArray *
hzb_outbox_prepare_send (const HzbOutbox *outbox)
{
  GPtrArray *messages = g_ptr_array_new ();
  gsize bytes = 0;

  for (GList *l = outbox->unacknowledged.head; l; l = l->next)
    {
      HzbOutboxMessage *message = l->data;
      if (outbox->max_bytes && !message->sent)
        message->bytes = encoded_bytes (outbox, message);
      bytes += message->bytes;
      if (outbox->max_bytes && messages->len && bytes > outbox->max_bytes)
        break;
      message->sent = TRUE;
      g_ptr_array_add (messages, message);
    }
  return messages;
}

HzbOutboxMessage *
hzb_outbox_last_unsent (HzbOutbox *outbox)
{
  HzbOutboxMessage *last = g_queue_peek_tail (&outbox->unacknowledged);
  return last && !last->sent ? last : NULL;
}

void
hzb_outbox_clear (HzbOutbox *outbox)
{
  g_queue_clear_full (&outbox->unacknowledged, outbox->free);
  outbox->last_number = 0;
}
