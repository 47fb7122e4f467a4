/**
 * SECTION: record-pages
 * @short_description: which jobs and machines share a value of the key-value store
 *
 * Changes are the scarcest thing in the key-value store, and hundreds of jobs and machines change at once, so many of
 * them share one value: a page. A job or machine stays on the page it was first put on until it is gone, and a page is
 * always written as a whole. What is written when is the business of record-page-selection.c.
 */
#pragma once
#include "jobs.h"
#include "machines.h"

/** HzbPagePart: a part (chunk) of a job's progress on a page; most jobs have one part with all of their tasks. */
typedef struct
{
  HzbJob *job; /**< (not owned) */
  guint chunk; /**< which part, from 0 on */
  gsize bytes; /**< about what it takes on the page */
} HzbPagePart;

/** HzbPage: a value of the key-value store that several jobs, or several machines, share. */
typedef struct
{
  guint number;              /**< ends its key; from 1 on, and counted for pages of both kinds together */
  gboolean of_machines;      /**< it holds machines, else progress */
  GArray *parts;             /**< (element-type HzbPagePart): of a page of progress */
  GPtrArray *machines;       /**< (element-type HzbMachine): of a page of machines; not owned */
  gsize bytes;               /**< about what the value takes */
  gboolean exists;           /**< the key-value store has it, or will once the flush under way is carried out */
  gboolean urgent;           /**< something waits for its next writing, as of the last choice of pages */
  gboolean dirty;            /**< a job on it has news */
  gboolean stale;            /**< as stored it still names what is gone, or the last writing of it failed */
  gboolean replaces_retired; /**< it takes over what a retiring page names, and has not been written since */
  gboolean retiring; /**< too large, or with parts that only schema version 1 writes: it is never written again, and
                                  removed once what it names is durable on other pages */
  struct timespec written; /**< when it was last put into a transaction */
} HzbPage;

/** HzbPages: all pages of the leader. */
typedef struct
{
  const HzbJobs *jobs;         /**< (not owned) */
  const HzbSettings *settings; /**< (not owned): how large a value may be */
  GPtrArray *all;              /**< (element-type HzbPage): owned */
  guint numbers;               /**< the highest page number used so far */
} HzbPages;

/** hzb_pages_init: without pages. */
void hzb_pages_init (HzbPages *pages, const HzbJobs *jobs, const HzbSettings *settings);

/** hzb_pages_clear: drops all pages; new ones are numbered from 1 on. Jobs and machines that name a page stay as they
 * are. */
void hzb_pages_clear (HzbPages *pages);

/** hzb_pages_free_all: at the end of `pages`' life. */
void hzb_pages_free_all (HzbPages *pages);

/** hzb_page_new: Returns: (transfer none): an empty page of that number, owned by `pages` */
HzbPage *hzb_page_new (HzbPages *pages, guint number, gboolean of_machines);

/** hzb_page_make_empty: gives the page new, empty lists. The caller has taken the lists that it had. */
void hzb_page_make_empty (HzbPage *page);

/** hzb_page_key: Returns: (transfer full): its key in the key-value store */
char *hzb_page_key (const HzbPage *page);

/**
 * hzb_pages_with_room: Returns: (transfer none): the first page of the kind that takes so many bytes more, or a new one
 */
HzbPage *hzb_pages_with_room (HzbPages *pages, gboolean of_machines, gsize bytes);

/** hzb_pages_part_bytes: Returns: about how many bytes a part of a job's progress takes */
gsize hzb_pages_part_bytes (const HzbPages *pages, const HzbJob *job, guint chunk);

/** hzb_pages_add_part: puts a part of the job's progress on `page`. The caller sets the job's on_pages. */
void hzb_pages_add_part (HzbPages *pages, HzbPage *page, HzbJob *job, guint chunk);

/** hzb_page_machine_bytes: Returns: about how many bytes a machine's entry takes */
gsize hzb_page_machine_bytes (const HzbMachine *machine);

/** hzb_page_add_machine: puts the machine on `page`, and notes that in the machine. */
void hzb_page_add_machine (HzbPage *page, HzbMachine *machine);

/** hzb_pages_drop_job: takes the job off its pages, which are to be written without it. */
void hzb_pages_drop_job (HzbPages *pages, HzbJob *job);

/** hzb_pages_drop_machine: takes the machine off its page, which is to be written without it. */
void hzb_pages_drop_machine (HzbPages *pages, HzbMachine *machine);
