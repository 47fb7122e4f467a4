/**
 * SECTION: record-pages
 * @short_description: pages: values of the key-value store that several jobs or machines share
 *
 * The scarcest resource of the key-value store is its write rate, and hundreds of jobs and machines change at once, so
 * many of them share one value: a page. A job or machine stays on its first page until it is removed, and a page is
 * always written as a whole. record-page-selection.c selects the pages to write.
 */
#pragma once
#include "jobs.h"
#include "machines.h"

/** HzbPageChunk: a chunk of a job's progress on a page; most jobs have one chunk, which has all of their tasks. */
typedef struct
{
  HzbJob *job;  /**< (not owned) */
  guint number; /**< number of the chunk in the job, from 0 on */
  gsize bytes;  /**< estimated size on the page */
} HzbPageChunk;

/** HzbPage: a value of the key-value store that several jobs, or several machines, share. */
typedef struct
{
  guint number;         /**< suffix of the page's key; from 1 on, unique over pages of both kinds */
  gboolean of_machines; /**< TRUE: the page has machines; FALSE: progress of jobs */
  GArray *chunks;       /**< (element-type HzbPageChunk): contents of a page of progress; owned */
  GPtrArray *machines;  /**< (element-type HzbMachine): contents of a page of machines; the machines are not owned */
  gsize bytes;          /**< estimated size of the value */
  gboolean exists;      /**< the key-value store has the page, or will have it when the flush in flight succeeds */
  gboolean urgent;      /**< the start of a task waits for the page, as of the last selection of pages */
  gboolean dirty;       /**< a job on the page has unrecorded changes */
  gboolean stale;       /**< the stored page still names removed jobs or machines, or the last flush failed */
  gboolean replaces_retired; /**< the page got contents of a retiring page, and has not been written since */
  gboolean retiring;         /**< too large, or with chunks that only schema version 1 writes: the page is never written
                                  again, and is removed when its contents are durable on other pages */
  struct timespec written;   /**< time at which the page was last added to a transaction */
} HzbPage;

/** HzbPages: all pages of the leader. */
typedef struct
{
  const HzbJobs *jobs;         /**< (not owned) */
  const HzbSettings *settings; /**< (not owned): give the maximum size of a value of the key-value store */
  GPtrArray *all;              /**< (element-type HzbPage): owned */
  guint max_number;            /**< the highest page number used so far */
} HzbPages;

/** hzb_pages_init: initializes `pages` as empty. `jobs` and `settings` are not owned, and must outlive `pages`. */
void hzb_pages_init (HzbPages *pages, const HzbJobs *jobs, const HzbSettings *settings);

/**
 * hzb_pages_clear: drops all pages; new pages are numbered from 1 on. Jobs and machines that refer to a page are not
 * changed.
 */
void hzb_pages_clear (HzbPages *pages);

/**
 * hzb_pages_free_all: frees all pages and the list of pages, but not the HzbPages struct. `pages` may not be used
 * afterwards.
 */
void hzb_pages_free_all (HzbPages *pages);

/** hzb_page_new: Returns: (transfer none): a new empty page with the number, owned by `pages` */
HzbPage *hzb_page_new (HzbPages *pages, guint number, gboolean of_machines);

/** hzb_page_make_empty: gives the page new, empty lists. The previous lists are not freed: the caller owns them. */
void hzb_page_make_empty (HzbPage *page);

/** hzb_page_key: Returns: (transfer full): the page's key in the key-value store */
char *hzb_page_key (const HzbPage *page);

/**
 * hzb_pages_find_with_room: Returns: (transfer none): the first page of the kind that has room for `bytes` more bytes,
 * or a new page; owned by `pages`
 */
HzbPage *hzb_pages_find_with_room (HzbPages *pages, gboolean of_machines, gsize bytes);

/** hzb_pages_estimate_chunk_bytes: Returns: estimated size of a chunk of a job's progress on a page, in bytes */
gsize hzb_pages_estimate_chunk_bytes (const HzbPages *pages, const HzbJob *job, guint chunk_number);

/** hzb_pages_add_chunk: adds a chunk of the job's progress to `page`. The caller sets the job's on_pages. */
void hzb_pages_add_chunk (HzbPages *pages, HzbPage *page, HzbJob *job, guint chunk_number);

/** hzb_page_estimate_machine_bytes: Returns: estimated size of a machine's entry on a page, in bytes */
gsize hzb_page_estimate_machine_bytes (const HzbMachine *machine);

/** hzb_page_add_machine: adds the machine to `page`, and sets the machine's page number. */
void hzb_page_add_machine (HzbPage *page, HzbMachine *machine);

/** hzb_pages_drop_job: removes the job from its pages, and marks them to be written without the job. */
void hzb_pages_drop_job (HzbPages *pages, HzbJob *job);

/** hzb_pages_drop_machine: removes the machine from its page, and marks the page to be written without the machine. */
void hzb_pages_drop_machine (HzbPages *pages, HzbMachine *machine);
