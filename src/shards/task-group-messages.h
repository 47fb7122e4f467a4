/**
 * @file
 * SECTION: task-group-messages
 * Tasks named by job in the messages about shards, and their encoding.
 *
 * On the wire: an object with an array of task numbers for each job's uid.
 */
#pragma once
#include "jobs.h"

#include <cjson/cJSON.h>

/** HzbTaskGroup: tasks of one job. */
typedef struct
{
  char *uid;       /**< of the job */
  GArray *numbers; /**< (element-type gint): of the tasks in the job, from 0 on */
} HzbTaskGroup;

/** HzbTaskGroups: an array (element-type HzbTaskGroup) of tasks, in the order in which their jobs were added. */
typedef GArray HzbTaskGroups;

G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbTaskGroups, g_array_unref)

/** HzbTaskFunc: is called for one task, with the caller's data. */
typedef void (*HzbTaskFunc) (HzbTask *task, gpointer user);

/** hzb_task_groups_new: Returns: (transfer full): without tasks; freed with g_array_unref() */
HzbTaskGroups *hzb_task_groups_new (void);

/** hzb_task_groups_add: adds a task. */
void hzb_task_groups_add (HzbTaskGroups *groups, const HzbTask *task);

/** hzb_task_groups_add_group: adds a copy of a whole group, of a job that groups does not name yet. */
void hzb_task_groups_add_group (HzbTaskGroups *groups, const HzbTaskGroup *group);

/** hzb_task_groups_foreach: calls func for each task of groups (nullable) that is held here. */
void hzb_task_groups_foreach (const HzbTaskGroups *groups, HzbJobs *jobs, HzbTaskFunc func, gpointer user);

/** hzb_task_groups_encode: Returns: (transfer full) */
cJSON *hzb_task_groups_encode (const HzbTaskGroups *groups);

/** hzb_task_groups_decode: Returns: (transfer full) (nullable): NULL if message (nullable) is NULL */
HzbTaskGroups *hzb_task_groups_decode (const cJSON *message);

/** hzb_tasks_find: Returns: (transfer none) (nullable): the task of this number of a job; NULL if it is not held here */
HzbTask *hzb_tasks_find (HzbJobs *jobs, const char *uid, int number);
