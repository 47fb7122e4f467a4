#include "watermarks.h"

#define MOST_MARKS 40u /* one a second and more */

void
hzb_watermarks_init (HzbWatermarks *known, double after_s)
{
  *known = (HzbWatermarks){ .after_s = after_s };
}

void
hzb_watermarks_clear (HzbWatermarks *known)
{
  g_queue_clear_full (&known->marks, g_free);
}

static gint
compare_marks (gconstpointer a, gconstpointer b, gpointer user)
{
  const HzbWatermark *x = a, *y = b;
  return x->revision < y->revision ? -1 : x->revision > y->revision;
}

/* Guards against changes of leader: whoever has begun anew goes on from what the others had seen. A mark that another one makes
 * needless is dropped. */
void
hzb_watermarks_add (HzbWatermarks *known, struct timespec since, guint64 revision)
{
  GList *next;
  HzbWatermark *added;

  if (revision <= known->fenced_revision || known->marks.length >= MOST_MARKS)
    return;
  for (GList *l = known->marks.head; l; l = next)
    {
      HzbWatermark *mark = l->data;
      next = l->next;
      if (mark->revision >= revision && !hzb_time_before (since, mark->since))
        return;
      if (mark->revision <= revision && !hzb_time_before (mark->since, since))
        {
          g_free (mark);
          g_queue_delete_link (&known->marks, l);
        }
    }
  added = g_new0 (HzbWatermark, 1);
  added->since = since;
  added->revision = revision;
  g_queue_insert_sorted (&known->marks, added, compare_marks, NULL);
}

void
hzb_watermarks_raise (HzbWatermarks *known, guint64 revision)
{
  known->fenced_revision = MAX (known->fenced_revision, revision);
}

void
hzb_watermarks_advance (HzbWatermarks *known, struct timespec now)
{
  const HzbWatermark *mark;

  while ((mark = g_queue_peek_head (&known->marks)) && hzb_time_between (mark->since, now) > known->after_s)
    {
      known->fenced_revision = mark->revision;
      g_free (g_queue_pop_head (&known->marks));
    }
}
