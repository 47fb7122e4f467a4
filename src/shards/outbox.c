#include "outbox.h"
#include "json.h"

#include <string.h>

typedef struct
{
  guint64 number;
  cJSON *body;
  gboolean sent;
  gsize bytes; /* once sent, from when on it does not change */
} Message;

static void
message_free (gpointer data)
{
  cJSON_Delete (((Message *) data)->body);
  g_free (data);
}

void
hzb_outbox_push (HzbOutbox *outbox, cJSON *body)
{
  Message *message = g_new0 (Message, 1);
  message->number = ++outbox->number;
  message->body = body;
  hzb_json_add_u64 (body, "n", message->number);
  g_queue_push_tail (&outbox->waiting, message);
}

void
hzb_outbox_acknowledged (HzbOutbox *outbox, guint64 number)
{
  Message *message;
  while ((message = g_queue_peek_head (&outbox->waiting)) && message->number <= number)
    message_free (g_queue_pop_head (&outbox->waiting));
}

static void
measure (Message *message)
{
  g_autofree char *text = cJSON_PrintUnformatted (message->body);
  message->bytes = strlen (text) + 1;
}

cJSON *
hzb_outbox_pack (const HzbOutbox *outbox, gsize max_bytes)
{
  cJSON *list = cJSON_CreateArray ();
  gsize bytes = 0;
  for (GList *l = outbox->waiting.head; l; l = l->next)
    {
      Message *message = l->data;
      if (!message->sent)
        measure (message);
      bytes += message->bytes;
      if (l != outbox->waiting.head && bytes > max_bytes)
        break;
      message->sent = TRUE;
      cJSON_AddItemToArray (list, cJSON_Duplicate (message->body, TRUE));
    }
  return list;
}

void
hzb_outbox_clear (HzbOutbox *outbox)
{
  g_queue_clear_full (&outbox->waiting, message_free);
  outbox->number = 0;
}

cJSON *
hzb_outbox_unsent (HzbOutbox *outbox, const char *member)
{
  const Message *last = g_queue_peek_tail (&outbox->waiting);
  return last && !last->sent && cJSON_HasObjectItem (last->body, member) ? last->body : NULL;
}

gboolean
hzb_outbox_holds (const HzbOutbox *outbox, const char *member, const char *text)
{
  for (GList *l = outbox->waiting.head; l; l = l->next)
    if (g_strcmp0 (hzb_json_text (((Message *) l->data)->body, member), text) == 0)
      return TRUE;
  return FALSE;
}

HzbTask *
hzb_tasks_find (HzbJobs *jobs, const char *uid, int index)
{
  HzbJob *job = uid ? hzb_jobs_find (jobs, uid) : NULL;
  return job && job->tasks && index >= 0 && (guint) index < job->n_tasks ? &job->tasks[index] : NULL;
}

void
hzb_tasks_add (cJSON *groups, const HzbTask *task)
{
  cJSON *list = cJSON_GetObjectItemCaseSensitive (groups, task->job->uid);
  if (!list)
    list = cJSON_AddArrayToObject (groups, task->job->uid);
  cJSON_AddItemToArray (list, cJSON_CreateNumber (task->index));
}

void
hzb_tasks_each (HzbJobs *jobs, const cJSON *groups, HzbTaskFunc func, gpointer user)
{
  const cJSON *group, *item;
  cJSON_ArrayForEach (group, groups)
    cJSON_ArrayForEach (item, group)
      {
        HzbTask *task = cJSON_IsNumber (item) ? hzb_tasks_find (jobs, group->string, item->valueint) : NULL;
        if (task)
          func (task, user);
      }
}
