/**
 * @file
 * SECTION: task-group-messages
 * Tasks grouped by job in the messages about shards, and their encoding.
 *
 * The wire format is an object that maps the uid of each job to an array of task numbers.
 */
#pragma once
#include "jobs.h"

#include <cjson/cJSON.h>

/** HzbTaskGroup: tasks of one job. */
typedef struct
{
  char *uid;       /**< uid of the job */
  GArray *numbers; /**< (element-type gint): HzbTask.index of each task: its number in the job, from 0 on */
} HzbTaskGroup;

/**
 * HzbTaskGroups: an array (element-type HzbTaskGroup) of tasks grouped by job, in the order in which the jobs were
 * added.
 */
typedef GArray HzbTaskGroups;

G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbTaskGroups, g_array_unref)

/** HzbTaskFunc: a callback for one task; user is the caller's data. */
typedef void (*HzbTaskFunc) (HzbTask *task, gpointer user);

/** hzb_task_groups_new: Returns: (transfer full): an empty array; freed with g_array_unref() */
HzbTaskGroups *hzb_task_groups_new (void);

/** hzb_task_groups_add: adds the task to the group of its job, and creates the group if groups has none. */
void hzb_task_groups_add (HzbTaskGroups *groups, const HzbTask *task);

/**
 * hzb_task_groups_append_group: appends a copy of group; groups must not have a group of the same job yet, because the
 * wire format has one member for each job.
 */
void hzb_task_groups_append_group (HzbTaskGroups *groups, const HzbTaskGroup *group);

/** hzb_task_groups_foreach: calls func for each task of groups (nullable) that hzb_tasks_find() finds in jobs. */
void hzb_task_groups_foreach (const HzbTaskGroups *groups, HzbJobs *jobs, HzbTaskFunc func, gpointer user);

/** hzb_task_groups_encode: Returns: (transfer full): the wire format of groups */
cJSON *hzb_task_groups_encode (const HzbTaskGroups *groups);

/**
 * hzb_task_groups_decode: Returns: (transfer full) (nullable): the decoded groups; NULL if message (nullable) is NULL
 */
HzbTaskGroups *hzb_task_groups_decode (const cJSON *message);

/**
 * hzb_tasks_find: Returns: (transfer none) (nullable): the task with this number (HzbTask.index) of the job with
 * uid job_uid (nullable); NULL if this node does not have it
 */
HzbTask *hzb_tasks_find (HzbJobs *jobs, const char *job_uid, int number);
