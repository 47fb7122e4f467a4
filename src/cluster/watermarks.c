#include "watermarks.h"

/* A controller adds about one watermark per second, and removes each after HZB_FENCED_AFTER_S. */
#define MAX_WATERMARKS 40u

void
hzb_watermarks_init (HzbWatermarks *watermarks, double min_age_s)
{
  *watermarks = (HzbWatermarks){ .min_age_s = min_age_s };
}

void
hzb_watermarks_clear (HzbWatermarks *watermarks)
{
  g_queue_clear_full (&watermarks->marks, g_free);
}

static gint
compare_revisions (gconstpointer a, gconstpointer b, gpointer user)
{
  const HzbWatermark *left = a, *right = b;
  return left->revision < right->revision ? -1 : left->revision > right->revision;
}

/* TRUE if the first watermark covers at least the revisions of the second, and for at least as long. */
static gboolean
implies (const HzbWatermark *first, const HzbWatermark *second)
{
  return first->revision >= second->revision && !hzb_time_before (second->since, first->since);
}

/* Watermarks of other controllers are added too. A restarted controller continues with them, so that frequent changes
 * of the leader do not restart the wait for the minimum age. */
void
hzb_watermarks_add (HzbWatermarks *watermarks, struct timespec since, guint64 revision)
{
  const HzbWatermark added = { since, revision };
  GList *next;

  if (revision <= watermarks->fenced_revision || watermarks->marks.length >= MAX_WATERMARKS)
    return;
  for (GList *l = watermarks->marks.head; l; l = next)
    {
      next = l->next;
      if (implies (l->data, &added))
        return;
      if (implies (&added, l->data))
        {
          g_free (l->data);
          g_queue_delete_link (&watermarks->marks, l);
        }
    }
  g_queue_insert_sorted (&watermarks->marks, g_memdup2 (&added, sizeof added), compare_revisions, NULL);
}

void
hzb_watermarks_raise_fenced_revision (HzbWatermarks *watermarks, guint64 revision)
{
  watermarks->fenced_revision = MAX (watermarks->fenced_revision, revision);
}

void
hzb_watermarks_advance (HzbWatermarks *watermarks, struct timespec now)
{
  const HzbWatermark *oldest;

  /* The head has the lowest revision and is the oldest watermark: hzb_watermarks_add() does not keep a watermark if one
   * of at least its revision started no later. */
  while ((oldest = g_queue_peek_head (&watermarks->marks))
         && hzb_time_between (oldest->since, now) > watermarks->min_age_s)
    {
      watermarks->fenced_revision = oldest->revision;
      g_free (g_queue_pop_head (&watermarks->marks));
    }
}
