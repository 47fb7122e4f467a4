/* A sparse array. It is divided into pages of 32 tasks. A page has one bit for each task and property, and a slot for
 * each task while any of them is tracked. */
#include "task-table.h"

#define PAGE_TASKS 32u

typedef struct
{
  guint32 tracked;     /* bit for each task: it is tracked, and the other two bits do not apply */
  guint32 done;        /* bit for each task at rest: HZB_TASK_DONE */
  guint32 unconfirmed; /* bit for each task at rest: HZB_TASK_UNCONFIRMED */
  HzbTask **tasks;     /* (nullable) PAGE_TASKS slots; NULL: no task of the page is tracked; owned, with the tasks */
} TaskPage;

struct _HzbTaskTable
{
  HzbJob *job;           /* not owned */
  HzbTaskState initial;  /* state of a task at rest that has neither of its two bits */
  struct timespec since; /* when the tasks entered the initial state */
  guint n_tracked;
  GArray *settled; /* (element-type guint) indices of tracked tasks that may be at rest */
  guint n_pages;
  TaskPage pages[];
};

/* A longer list of settled tasks is freed once it is empty. */
#define MAX_SETTLED_KEPT 64u

/* ---- pages ---- */

static guint32
bit_of (guint index)
{
  return 1u << (index % PAGE_TASKS);
}

static guint
count_pages (guint n_tasks)
{
  return (n_tasks + PAGE_TASKS - 1) / PAGE_TASKS;
}

static void
page_insert (TaskPage *page, HzbTask *task)
{
  if (!page->tasks)
    page->tasks = g_new0 (HzbTask *, PAGE_TASKS);
  page->tasks[task->index % PAGE_TASKS] = task;
  page->tracked |= bit_of (task->index);
}

/* Frees the task. */
static void
page_remove (TaskPage *page, guint index)
{
  g_clear_pointer (&page->tasks[index % PAGE_TASKS], g_free);
  page->tracked &= ~bit_of (index);
  if (!page->tracked)
    g_clear_pointer (&page->tasks, g_free);
}

static HzbTaskState
resting_state (const HzbTaskTable *table, const TaskPage *page, guint index)
{
  if (page->done & bit_of (index))
    return HZB_TASK_DONE;
  return page->unconfirmed & bit_of (index) ? HZB_TASK_UNCONFIRMED : table->initial;
}

static void
set_resting_bits (TaskPage *page, guint index, HzbTaskState state)
{
  page->done &= ~bit_of (index);
  page->unconfirmed &= ~bit_of (index);
  if (state == HZB_TASK_DONE)
    page->done |= bit_of (index);
  else if (state == HZB_TASK_UNCONFIRMED)
    page->unconfirmed |= bit_of (index);
}

/* ---- the table ---- */

HzbTaskTable *
hzb_task_table_new (HzbJob *job, HzbTaskState initial, struct timespec since)
{
  guint n_pages = count_pages (job->n_tasks);
  HzbTaskTable *table = g_malloc0 (sizeof *table + n_pages * sizeof *table->pages);

  table->job = job;
  table->initial = initial;
  table->since = since;
  table->settled = g_array_new (FALSE, FALSE, sizeof (guint));
  table->n_pages = n_pages;
  return table;
}

void
hzb_task_table_free (HzbTaskTable *table)
{
  for (guint i = 0; i < table->n_pages; i++)
    {
      TaskPage *page = &table->pages[i];
      for (guint k = 0; page->tasks && k < PAGE_TASKS; k++)
        g_free (page->tasks[k]);
      g_free (page->tasks);
    }
  g_array_unref (table->settled);
  g_free (table);
}

HzbTaskState
hzb_task_table_state (const HzbTaskTable *table, guint index)
{
  const TaskPage *page = &table->pages[index / PAGE_TASKS];

  if (page->tracked & bit_of (index))
    return (HzbTaskState) page->tasks[index % PAGE_TASKS]->state;
  return resting_state (table, page, index);
}

static HzbTask *
track (HzbTaskTable *table, TaskPage *page, guint index)
{
  HzbTask *task = g_new0 (HzbTask, 1);

  task->job = table->job;
  task->index = index;
  task->state = (guint8) resting_state (table, page, index);
  task->since = table->since;
  task->retry_link.data = task;
  page_insert (page, task);
  table->n_tracked++;
  /* The caller may leave the task as it is. */
  hzb_task_table_note_settled (table, task);
  return task;
}

HzbTask *
hzb_task_table_get (HzbTaskTable *table, guint index)
{
  TaskPage *page = &table->pages[index / PAGE_TASKS];

  if (page->tracked & bit_of (index))
    return page->tasks[index % PAGE_TASKS];
  return track (table, page, index);
}

HzbTask *
hzb_task_table_next (const HzbTaskTable *table, guint *index)
{
  guint first = *index % PAGE_TASKS;

  for (guint i = *index / PAGE_TASKS; table->n_tracked && i < table->n_pages; i++, first = 0)
    {
      const TaskPage *page = &table->pages[i];
      guint32 left = page->tracked & (G_MAXUINT32 << first);
      guint lowest;
      if (!left)
        continue;
      lowest = (guint) __builtin_ctz (left);
      *index = i * PAGE_TASKS + lowest + 1;
      return page->tasks[lowest];
    }
  return NULL;
}

gboolean
hzb_task_table_is_at_rest (const HzbTaskTable *table, guint index)
{
  return !(table->pages[index / PAGE_TASKS].tracked & bit_of (index));
}

void
hzb_task_table_set_resting_state (HzbTaskTable *table, guint index, HzbTaskState state)
{
  g_return_if_fail (hzb_task_table_is_at_rest (table, index));
  g_return_if_fail (state == table->initial || state == HZB_TASK_UNCONFIRMED || state == HZB_TASK_DONE);
  set_resting_bits (&table->pages[index / PAGE_TASKS], index, state);
}

/* ---- compaction ---- */

void
hzb_task_table_note_settled (HzbTaskTable *table, const HzbTask *task)
{
  g_array_append_val (table->settled, task->index);
}

/* Whether the state of a task that was never placed says all that is known of it. */
static gboolean
is_untouched (const HzbTask *task)
{
  return !task->attempt && !task->failed_attempts && !task->leaseholder && !task->in_retry_queue && !task->stopping
         && !hzb_time_is_set (task->not_before);
}

static gboolean
is_resting (const HzbTaskTable *table, const HzbTask *task)
{
  switch ((HzbTaskState) task->state)
    {
    case HZB_TASK_DONE:
      return TRUE;
    case HZB_TASK_OTHER_OWNER:
      return table->initial == HZB_TASK_OTHER_OWNER;
    case HZB_TASK_PENDING:
      return table->initial == HZB_TASK_PENDING && is_untouched (task);
    case HZB_TASK_UNCONFIRMED:
      return is_untouched (task);
    default:
      return FALSE;
    }
}

void
hzb_task_table_compact (HzbTaskTable *table)
{
  for (guint i = 0; i < table->settled->len; i++)
    {
      guint index = g_array_index (table->settled, guint, i);
      TaskPage *page = &table->pages[index / PAGE_TASKS];
      HzbTask *task;
      if (hzb_task_table_is_at_rest (table, index))
        continue; /* it was noted twice */
      task = page->tasks[index % PAGE_TASKS];
      if (!is_resting (table, task))
        continue;
      set_resting_bits (page, index, (HzbTaskState) task->state);
      page_remove (page, index);
      table->n_tracked--;
    }
  if (table->settled->len > MAX_SETTLED_KEPT)
    {
      g_array_unref (table->settled);
      table->settled = g_array_new (FALSE, FALSE, sizeof (guint));
    }
  g_array_set_size (table->settled, 0);
}

/* ---- size ---- */

guint
hzb_task_table_tracked (const HzbTaskTable *table)
{
  return table->n_tracked;
}

gsize
hzb_task_table_bytes (guint n_tasks)
{
  return sizeof (HzbTaskTable) + count_pages (n_tasks) * sizeof (TaskPage);
}
