#include "cancellation-log.h"

struct _HzbCancellationLog
{
  GQueue entries; /* HzbCancellation, by ascending revision */
  guint capacity;
  guint64 complete_after; /* all cancellations with a higher revision are in the log */
};

static void
cancellation_clear (gpointer data)
{
  g_free (((HzbCancellation *) data)->uid);
}

static void
cancellation_free (gpointer data)
{
  cancellation_clear (data);
  g_free (data);
}

GArray *
hzb_cancellations_array_new (void)
{
  GArray *array = g_array_new (FALSE, FALSE, sizeof (HzbCancellation));
  g_array_set_clear_func (array, cancellation_clear);
  return array;
}

void
hzb_cancellations_array_add (GArray *cancellations, const char *uid, guint64 revision, guint n_tasks)
{
  const HzbCancellation cancellation = { g_strdup (uid), revision, n_tasks };
  g_array_append_val (cancellations, cancellation);
}

HzbCancellationLog *
hzb_cancellation_log_new (guint capacity)
{
  HzbCancellationLog *log = g_new0 (HzbCancellationLog, 1);
  log->capacity = capacity;
  log->complete_after = G_MAXUINT64; /* complete for no revision until the first restart */
  return log;
}

void
hzb_cancellation_log_free (HzbCancellationLog *log)
{
  g_queue_clear_full (&log->entries, cancellation_free);
  g_free (log);
}

void
hzb_cancellation_log_restart (HzbCancellationLog *log, guint64 revision)
{
  g_queue_clear_full (&log->entries, cancellation_free);
  log->complete_after = revision;
}

void
hzb_cancellation_log_add (HzbCancellationLog *log, const char *uid, guint64 revision, guint n_tasks)
{
  const HzbCancellation *last = g_queue_peek_tail (&log->entries);
  HzbCancellation *added;

  if (revision <= log->complete_after || (last && revision < last->revision))
    return;
  added = g_new0 (HzbCancellation, 1);
  added->uid = g_strdup (uid);
  added->revision = revision;
  added->n_tasks = n_tasks;
  g_queue_push_tail (&log->entries, added);
  if (log->entries.length > log->capacity)
    {
      HzbCancellation *oldest = g_queue_pop_head (&log->entries);
      log->complete_after = oldest->revision;
      cancellation_free (oldest);
    }
}

guint64
hzb_cancellation_log_read (const HzbCancellationLog *log, guint64 after, guint64 up_to, guint max_count, GArray *into)
{
  GList *l = log->entries.tail;
  guint64 complete_up_to = after;

  if (after < log->complete_after)
    return 0;
  /* Search from the end: a peer usually lacks only the last few cancellations. */
  while (l && ((const HzbCancellation *) l->data)->revision > after)
    l = l->prev;
  for (l = l ? l->next : log->entries.head; l; l = l->next)
    {
      const HzbCancellation *entry = l->data;
      if (into->len >= max_count && entry->revision != complete_up_to)
        return complete_up_to;
      hzb_cancellations_array_add (into, entry->uid, entry->revision, entry->n_tasks);
      complete_up_to = entry->revision;
    }
  return MAX (up_to, complete_up_to);
}
