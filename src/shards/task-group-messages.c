#include "task-group-messages.h"

#include "task-table.h"

static void
group_clear (gpointer data)
{
  HzbTaskGroup *group = data;
  g_free (group->uid);
  g_array_unref (group->numbers);
}

HzbTaskGroups *
hzb_task_groups_new (void)
{
  HzbTaskGroups *groups = g_array_new (FALSE, FALSE, sizeof (HzbTaskGroup));
  g_array_set_clear_func (groups, group_clear);
  return groups;
}

static HzbTaskGroup *
find_group (HzbTaskGroups *groups, const char *uid)
{
  for (guint i = 0; i < groups->len; i++)
    if (g_str_equal (g_array_index (groups, HzbTaskGroup, i).uid, uid))
      return &g_array_index (groups, HzbTaskGroup, i);
  return NULL;
}

static HzbTaskGroup *
append_group (HzbTaskGroups *groups, const char *uid)
{
  HzbTaskGroup group = { g_strdup (uid), g_array_new (FALSE, FALSE, sizeof (gint)) };
  g_array_append_val (groups, group);
  return &g_array_index (groups, HzbTaskGroup, groups->len - 1);
}

void
hzb_task_groups_add (HzbTaskGroups *groups, const HzbTask *task)
{
  HzbTaskGroup *group = find_group (groups, task->job->uid);
  gint number = (gint) task->index;

  if (!group)
    group = append_group (groups, task->job->uid);
  g_array_append_val (group->numbers, number);
}

void
hzb_task_groups_append_group (HzbTaskGroups *groups, const HzbTaskGroup *group)
{
  HzbTaskGroup *copy = append_group (groups, group->uid);
  g_array_append_vals (copy->numbers, group->numbers->data, group->numbers->len);
}

void
hzb_task_groups_foreach (const HzbTaskGroups *groups, HzbJobs *jobs, HzbTaskFunc func, gpointer user)
{
  for (guint i = 0; groups && i < groups->len; i++)
    {
      const HzbTaskGroup *group = &g_array_index (groups, HzbTaskGroup, i);
      for (guint k = 0; k < group->numbers->len; k++)
        {
          HzbTask *task = hzb_tasks_find (jobs, group->uid, g_array_index (group->numbers, gint, k));
          if (task)
            func (task, user);
        }
    }
}

cJSON *
hzb_task_groups_encode (const HzbTaskGroups *groups)
{
  cJSON *message = cJSON_CreateObject ();
  for (guint i = 0; i < groups->len; i++)
    {
      const HzbTaskGroup *group = &g_array_index (groups, HzbTaskGroup, i);
      cJSON *numbers = cJSON_AddArrayToObject (message, group->uid);
      for (guint k = 0; k < group->numbers->len; k++)
        cJSON_AddItemToArray (numbers, cJSON_CreateNumber (g_array_index (group->numbers, gint, k)));
    }
  return message;
}

HzbTaskGroups *
hzb_task_groups_decode (const cJSON *message)
{
  HzbTaskGroups *groups;
  const cJSON *item, *number;

  if (!message)
    return NULL;
  groups = hzb_task_groups_new ();
  cJSON_ArrayForEach (item, message)
    {
      HzbTaskGroup *group;
      if (!item->string)
        continue;
      group = append_group (groups, item->string);
      cJSON_ArrayForEach (number, item)
        if (cJSON_IsNumber (number))
          g_array_append_val (group->numbers, number->valueint);
    }
  return groups;
}

HzbTask *
hzb_tasks_find (HzbJobs *jobs, const char *job_uid, int number)
{
  HzbJob *job = job_uid ? hzb_jobs_find (jobs, job_uid) : NULL;
  return job && job->tasks && number >= 0 && (guint) number < job->n_tasks
             ? hzb_task_table_get (job->tasks, (guint) number)
             : NULL;
}
