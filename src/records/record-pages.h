/**
 * SECTION: record-pages
 * @short_description: which jobs and machines share a value of the key-value store
 *
 * Changes are the scarcest thing in the key-value store, and hundreds of jobs and machines change at once, so many of
 * them share one value: a page. A job or machine stays on the page it was first put on until it is gone, and a page is
 * written anew as a whole. What is written when is the business of records.c.
 */
#pragma once
#include "jobs.h"
#include "machines.h"

/* A job's part on a page, all of its tasks for most jobs. */
typedef struct
{
  HzbJob *job;
  guint chunk;
  gsize bytes;
} HzbPagePart;

typedef struct
{
  guint number;
  gboolean of_machines;
  GArray *parts;       /* HzbPagePart, of a page of progress */
  GPtrArray *machines; /* HzbMachine, of a page of machines */
  gsize bytes;         /* about what the value takes */
  gboolean exists;
  gboolean urgent;           /* as of the last look */
  gboolean dirty;            /* a job on it has news */
  gboolean stale;            /* it still names what is gone */
  gboolean replaces_retired; /* it takes over what another page names, which goes once it is written */
  gboolean retiring;         /* the other: too large, or with parts as version 1 has them */
  struct timespec written;
} HzbPage;

typedef struct
{
  const HzbJobs *jobs;
  const HzbSettings *settings;
  GPtrArray *all; /* HzbPage */
  guint numbers;  /* used so far */
} HzbPages;

void hzb_pages_init (HzbPages *pages, const HzbJobs *jobs, const HzbSettings *settings);
void hzb_pages_clear (HzbPages *pages);

/** hzb_pages_free_all: at the end of @pages' life. */
void hzb_pages_free_all (HzbPages *pages);

/** hzb_page_new: an empty page of that number, owned by @pages. */
HzbPage *hzb_page_new (HzbPages *pages, guint number, gboolean of_machines);

/** hzb_page_key: its key in the key-value store. Returns: (transfer full) */
char *hzb_page_key (const HzbPage *page);

/** hzb_pages_with_room: the first page that takes so many bytes more, or a new one. */
HzbPage *hzb_pages_with_room (HzbPages *pages, gboolean of_machines, gsize bytes);

/** hzb_pages_part_bytes: about what a part of a job's progress takes. */
gsize hzb_pages_part_bytes (const HzbPages *pages, const HzbJob *job, guint chunk);
void hzb_pages_add_part (HzbPages *pages, HzbPage *page, HzbJob *job, guint chunk);

/** hzb_page_machine_bytes: about what a machine's entry takes. */
gsize hzb_page_machine_bytes (const HzbMachine *machine);
void hzb_page_add_machine (HzbPage *page, HzbMachine *machine);

/** hzb_pages_drop_job: takes the job off its pages, which are to be written without it. */
void hzb_pages_drop_job (HzbPages *pages, HzbJob *job);

/** hzb_pages_drop_machine: takes the machine off its page, which is to be written without it. */
void hzb_pages_drop_machine (HzbPages *pages, HzbMachine *machine);
