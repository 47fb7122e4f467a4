/**
 * SECTION: records-codec
 * @short_description: the stored form of the leader's records: pages of progress, pages of machines, and the flush
 * record
 *
 * No other module depends on the field names and the layout of these records. The stored bytes outlive the process
 * that wrote them, and during a rollout processes of schema versions 1 and 2 read and write them side by side. So a
 * field may be added, but the order, names and meaning of the present fields never change.
 *
 * A page is a JSON object. A page of progress has one member for each chunk of a job that is stored on the page; the
 * member's name is the job's uid, a slash and the number of the chunk. A page of machines has one member for each
 * machine, under the machine's name.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/**
 * HzbFlushRecord: the record that every flush (transaction of pages) rewrites. The version that the key-value store
 * gives the record orders the flushes: each flush is conditional on the version that the previous one left. The number
 * in the record shows whether a flush without an answer was carried out.
 */
typedef struct
{
  guint64 number; /**< number of the last flush that was carried out */
  guint64 term;   /**< term of the leader that wrote the record; 0: not stated (schema version 1) */
  /** Cancellations recorded up to this revision of the key-value store are acknowledged; 0: not stated (schema version
   * 1). */
  guint64 acknowledged_revision;
} HzbFlushRecord;

/** hzb_flush_record_encode: Returns: (transfer full): the record; the caller may add the roster of controllers to it */
cJSON *hzb_flush_record_encode (const HzbFlushRecord *record);

/** hzb_flush_record_decode: `value`: (nullable): the record; NULL: the store has none, which is decoded as all zeros */
void hzb_flush_record_decode (const cJSON *value, HzbFlushRecord *record);

/** HzbProgressRecord: the progress of one chunk of a job, a slice of its tasks whose progress is stored together. */
typedef struct
{
  guint released;    /**< released mark: tasks of the job with a lower number may have been started */
  guint chunk_tasks; /**< number of tasks in a chunk; 0 when encoding: not stated, since the job has one chunk */
  char *team;        /**< (nullable): the job's team; stated in the first chunk, and in all chunks of a cancelled job */
  double cpus;       /**< CPUs of one task; stated with the team */
  double gpus;       /**< GPUs of one task; stated with the team */
  guchar *finished;  /**< (nullable): one bit for each task of the chunk, lowest bit first; 1: the task has finished */
  gsize finished_bytes; /**< size of `finished`; tasks beyond it have not finished */
} HzbProgressRecord;

/** hzb_progress_record_clear: frees the members of `record`, and not `record` itself. */
void hzb_progress_record_clear (HzbProgressRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbProgressRecord, hzb_progress_record_clear)

/** hzb_progress_record_encode: Returns: (transfer full): the value of a member of a page of progress */
cJSON *hzb_progress_record_encode (const HzbProgressRecord *record);

/**
 * hzb_progress_record_decode: decodes the value of a member of a page of progress.
 * - `record`: (out caller-allocates): the caller clears it with hzb_progress_record_clear(). Its `chunk_tasks` is at
 *   least 1; if the value does not state it, it is the size that schema version 1 uses.
 */
void hzb_progress_record_decode (const cJSON *value, HzbProgressRecord *record);

/** HzbProgressChunk: a member of a page of progress. */
typedef struct
{
  char *uid;                  /**< uid of the job; NULL after decoding if the member's name is malformed */
  guint number;               /**< number of the chunk in the job, from 0 on */
  HzbProgressRecord progress; /**< progress of the chunk */
} HzbProgressChunk;

/**
 * hzb_progress_chunks_new: Returns: (transfer full) (element-type HzbProgressChunk): an empty array, which frees the
 * members of its chunks
 */
GArray *hzb_progress_chunks_new (void);

/** hzb_progress_page_encode: `chunks`: (element-type HzbProgressChunk). Returns: (transfer full): a page of progress */
cJSON *hzb_progress_page_encode (const GArray *chunks);

/** hzb_progress_page_decode: Returns: (transfer full) (element-type HzbProgressChunk): in the order of the page */
GArray *hzb_progress_page_decode (const cJSON *page);

/** HzbMachineRecord: a member of a page of machines. */
typedef struct
{
  char *name; /**< name of the machine */
  /** (nullable): host and port of the worker. Schema version 1 writes the address; later versions do not, since a
   * worker states its address with every heartbeat. */
  char *address;
  char *type;         /**< name of the machine type; NULL after decoding if the record is malformed */
  char *zone;         /**< zone of the machine; NULL after decoding if the record is malformed */
  gboolean spot;      /**< the machine is a spot instance */
  gboolean drain;     /**< an operator drains the machine */
  double recorded_at; /**< wall-clock time of writing, in seconds since 1970; NAN: not stated */
} HzbMachineRecord;

/**
 * hzb_machine_records_new: Returns: (transfer full) (element-type HzbMachineRecord): an empty array, which frees the
 * members of its records
 */
GArray *hzb_machine_records_new (void);

/**
 * hzb_machine_page_encode: `machines`: (element-type HzbMachineRecord). Returns: (transfer full): a page of machines
 */
cJSON *hzb_machine_page_encode (const GArray *machines);

/** hzb_machine_page_decode: Returns: (transfer full) (element-type HzbMachineRecord): in the order of the page */
GArray *hzb_machine_page_decode (const cJSON *page);

/** hzb_record_bytes: Returns: the size of the value in the key-value store, in bytes */
gsize hzb_record_bytes (const cJSON *value);
