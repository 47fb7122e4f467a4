/**
 * SECTION: records-private
 * @short_description: what records.c (reading) and record-flush.c (writing) share
 */
#pragma once
#include "controller-private.h"
#include "record-pages.h"

struct _HzbRecords
{
  HzbController *controller;
  HzbPages pages;
  guint64 version, flushes; /* of the flush record */
  gboolean flushing;
  HzbEpochCall *unresolved; /* a flush without an answer; what became of it could not be read yet either */
  guint retiring;           /* pages */
  gboolean any_replacement;
  struct timespec next, next_clean;
};

/* A part of a job's progress, as a flush writes it. */
typedef struct
{
  char *uid;
  guint releasing;
  GArray *finished; /* guint, task numbers */
} HzbFlushedPart;

/* One transaction of pages. */
typedef struct
{
  guint64 number;
  GPtrArray *parts;     /* HzbFlushedPart */
  GPtrArray *machines;  /* char*, names recorded */
  GPtrArray *completed; /* char*, keys of acceptances removed */
} HzbFlush;

void hzb_flush_free (HzbFlush *flush);
