#include "known-marks.h"

#define MOST_MARKS 40u /* one a second and more */

void
hzb_known_marks_init (HzbKnownMarks *known, double after_s)
{
  *known = (HzbKnownMarks){ .after_s = after_s };
}

void
hzb_known_marks_clear (HzbKnownMarks *known)
{
  g_queue_clear_full (&known->marks, g_free);
}

static gint
compare_marks (gconstpointer a, gconstpointer b, gpointer user)
{
  const HzbSinceMark *x = a, *y = b;
  return x->revision < y->revision ? -1 : x->revision > y->revision;
}

/* Guards against changes of leader: whoever has begun anew goes on from what the others had seen. A mark that another one makes
 * needless is dropped. */
void
hzb_known_marks_add (HzbKnownMarks *known, struct timespec since, guint64 revision)
{
  GList *next;
  HzbSinceMark *added;

  if (revision <= known->withheld_revision || known->marks.length >= MOST_MARKS)
    return;
  for (GList *l = known->marks.head; l; l = next)
    {
      HzbSinceMark *mark = l->data;
      next = l->next;
      if (mark->revision >= revision && !hzb_time_before (since, mark->since))
        return;
      if (mark->revision <= revision && !hzb_time_before (mark->since, since))
        {
          g_free (mark);
          g_queue_delete_link (&known->marks, l);
        }
    }
  added = g_new0 (HzbSinceMark, 1);
  added->since = since;
  added->revision = revision;
  g_queue_insert_sorted (&known->marks, added, compare_marks, NULL);
}

void
hzb_known_marks_raise (HzbKnownMarks *known, guint64 revision)
{
  known->withheld_revision = MAX (known->withheld_revision, revision);
}

void
hzb_known_marks_advance (HzbKnownMarks *known, struct timespec now)
{
  const HzbSinceMark *mark;

  while ((mark = g_queue_peek_head (&known->marks)) && hzb_time_between (mark->since, now) > known->after_s)
    {
      known->withheld_revision = mark->revision;
      g_free (g_queue_pop_head (&known->marks));
    }
}
