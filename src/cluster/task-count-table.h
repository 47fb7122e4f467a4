/**
 * SECTION: task-count-table
 * @short_description: how many tasks of each job are done and running, as the leader says. Private to this
 * folder.
 *
 * The leader adds the counts of its unfinished jobs to its heartbeats, so that every controller can show them to users.
 * The counts are for display only; no decision rests on them.
 */
#pragma once
#include "jobs.h"
#include "peer-heartbeat.h"

/** HzbTaskCountTable: opaque. */
typedef struct _HzbTaskCountTable HzbTaskCountTable;

/** hzb_task_count_table_new: Returns: (transfer full): an empty table */
HzbTaskCountTable *hzb_task_count_table_new (void);

/** hzb_task_count_table_free: frees the table. */
void hzb_task_count_table_free (HzbTaskCountTable *table);

/**
 * hzb_task_count_table_next_turn: once a second. If one heartbeat can't hold all jobs, the next heartbeats cover the
 * next jobs.
 */
void hzb_task_count_table_next_turn (HzbTaskCountTable *table);

/** hzb_task_count_table_fill_heartbeat: on the leader: adds the counts of its unfinished jobs to a heartbeat. */
void
hzb_task_count_table_fill_heartbeat (const HzbTaskCountTable *table, const HzbJobs *jobs, HzbPeerHeartbeat *heartbeat);

/** hzb_task_count_table_apply_heartbeat: takes the counts from a heartbeat of the leader. */
void
hzb_task_count_table_apply_heartbeat (HzbTaskCountTable *table, const HzbPeerHeartbeat *heartbeat, struct timespec now);

/** hzb_task_count_table_get: the counts of a job; 0 if the leader stated none. */
void hzb_task_count_table_get (const HzbTaskCountTable *table, const char *uid, guint *done, guint *running);
