/**
 * SECTION: task-count-table
 * @short_description: numbers of done and running tasks of each job, as the leader states them. Private to this
 * folder.
 *
 * The leader adds the task counts of its unfinished jobs to its heartbeats, so that every controller can show them to
 * users. The counts are for display only; no decision depends on them.
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
 * hzb_task_count_table_advance: selects the jobs whose counts the next heartbeats state, if one heartbeat can't hold
 * the counts of all jobs. To be called once a second, before the heartbeats are sent.
 */
void hzb_task_count_table_advance (HzbTaskCountTable *table);

/** hzb_task_count_table_fill_heartbeat: on the leader: adds the counts of its unfinished jobs to a heartbeat. */
void
hzb_task_count_table_fill_heartbeat (const HzbTaskCountTable *table, const HzbJobs *jobs, HzbPeerHeartbeat *heartbeat);

/** hzb_task_count_table_apply_heartbeat: stores the counts of a heartbeat of the leader that was received at `now`. */
void
hzb_task_count_table_apply_heartbeat (HzbTaskCountTable *table, const HzbPeerHeartbeat *heartbeat, struct timespec now);

/** hzb_task_count_table_get: stores the counts of a job in `done` and `running`; 0 if the leader stated none. */
void hzb_task_count_table_get (const HzbTaskCountTable *table, const char *uid, guint *done, guint *running);
