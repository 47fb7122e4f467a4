/**
 * SECTION: records-codec
 * @short_description: the stored form of the leader's records: pages of progress, pages of machines, the flush
 * record.
 *
 * The one place that knows the names and the layout of these records. The stored bytes outlive the process that wrote
 * them, and during a rollout processes of schema versions 1 and 2 read and write them side by side: a field may be
 * added, but the order, the names and the meaning of the present ones never change.
 *
 * A page is an object. A page of progress has a member "uid/chunk" for each part of a job, a page of machines a member
 * for each machine, under its name.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/**
 * HzbFlushRecord: the record that every transaction of pages rewrites. Its version orders these transactions, and its
 * number tells whether one that was not answered has been carried out.
 */
typedef struct
{
  guint64 number; /**< of the last transaction of pages that was carried out */
  guint64 term;   /**< of the leader that wrote it; 0: not stated (schema version 1) */
  guint64
      acknowledged_revision; /**< cancellations recorded up to it are acknowledged; 0: not stated (schema version 1) */
} HzbFlushRecord;

/** hzb_flush_record_encode: Returns: (transfer full): the record; the caller may add the roster of controllers to it */
cJSON *hzb_flush_record_encode (const HzbFlushRecord *record);

/** hzb_flush_record_decode: `value`: (nullable): NULL if there is no such record, which is read as all zeros */
void hzb_flush_record_decode (const cJSON *value, HzbFlushRecord *record);

/** HzbProgressRecord: how far one part (chunk) of a job has come. */
typedef struct
{
  guint released;       /**< tasks of the job, from the first on, that may have been started */
  guint chunk_tasks;    /**< tasks in a part; 0 when encoding: not stated, since the job has one part only */
  char *team;           /**< (nullable): the job's team, beside the first part and with cancelled jobs */
  double cpus;          /**< of one task, in processors; stated with the team */
  double gpus;          /**< of one task; stated with the team */
  guchar *finished;     /**< (nullable): one bit for each task of the part that has finished, the lowest bit first */
  gsize finished_bytes; /**< size of the bits; tasks beyond it have not finished */
} HzbProgressRecord;

/** hzb_progress_record_clear: frees what `record` points to, and not `record` itself. */
void hzb_progress_record_clear (HzbProgressRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbProgressRecord, hzb_progress_record_clear)

/** hzb_progress_record_encode: Returns: (transfer full): the member of a page of progress */
cJSON *hzb_progress_record_encode (const HzbProgressRecord *record);

/**
 * hzb_progress_record_decode:
 * - `record`: (out caller-allocates): to be cleared by the caller. Its `chunk_tasks` is at least 1: a part that does
 *   not state it has the size that schema version 1 uses.
 */
void hzb_progress_record_decode (const cJSON *value, HzbProgressRecord *record);

/** HzbProgressPart: a member of a page of progress. */
typedef struct
{
  char *uid;                  /**< of the job; NULL when decoding: the member's name makes no sense */
  guint chunk;                /**< which part of the job, from 0 on */
  HzbProgressRecord progress; /**< of that part */
} HzbProgressPart;

/**
 * hzb_progress_parts_new: Returns: (transfer full) (element-type HzbProgressPart): empty; it frees what its parts point
 * to
 */
GArray *hzb_progress_parts_new (void);

/** hzb_progress_page_encode: `parts`: (element-type HzbProgressPart). Returns: (transfer full) */
cJSON *hzb_progress_page_encode (const GArray *parts);

/** hzb_progress_page_decode: Returns: (transfer full) (element-type HzbProgressPart): in the order of the page */
GArray *hzb_progress_page_decode (const cJSON *page);

/** HzbMachineRecord: a member of a page of machines. */
typedef struct
{
  char *name;         /**< of the machine */
  char *address;      /**< (nullable): written by schema version 1 only; a worker states it with every heartbeat */
  char *type;         /**< name of its machine type; NULL when decoding: the record makes no sense */
  char *zone;         /**< where it is; NULL when decoding: the record makes no sense */
  gboolean spot;      /**< it is a spot instance */
  gboolean drain;     /**< an operator drains it */
  double recorded_at; /**< time of day of the writing, in seconds since 1970; NAN: not stated */
} HzbMachineRecord;

/**
 * hzb_machine_records_new: Returns: (transfer full) (element-type HzbMachineRecord): empty; it frees what its records
 * point to
 */
GArray *hzb_machine_records_new (void);

/** hzb_machine_page_encode: `machines`: (element-type HzbMachineRecord). Returns: (transfer full) */
cJSON *hzb_machine_page_encode (const GArray *machines);

/** hzb_machine_page_decode: Returns: (transfer full) (element-type HzbMachineRecord): in the order of the page */
GArray *hzb_machine_page_decode (const cJSON *page);

/** hzb_record_bytes: Returns: how many bytes the value takes in the key-value store */
gsize hzb_record_bytes (const cJSON *value);
