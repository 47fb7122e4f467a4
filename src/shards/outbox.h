/* Numbered messages to another controller, repeated until they are acknowledged; and how tasks are named in them. */
#pragma once
#include "jobs.h"

typedef struct
{
  GQueue waiting; /* not acknowledged */
  guint64 number; /* of the last */
} HzbOutbox;

void hzb_outbox_push (HzbOutbox *outbox, cJSON *body); /* takes the body */
void hzb_outbox_acknowledged (HzbOutbox *outbox, guint64 number);
/* The first ones, as many as fit, and one at least: what is left goes once these are acknowledged. */
cJSON *hzb_outbox_pack (const HzbOutbox *outbox, gsize max_bytes);
void hzb_outbox_clear (HzbOutbox *outbox);
/* The body of the last message, if it has a member of that name and has never been packed; else NULL. */
cJSON *hzb_outbox_unsent (HzbOutbox *outbox, const char *member);

/* A message with this text as that member has not been acknowledged. */
gboolean hzb_outbox_holds (const HzbOutbox *outbox, const char *member, const char *text);

typedef void (*HzbTaskFunc) (HzbTask *task, gpointer user);

HzbTask *hzb_tasks_find (HzbJobs *jobs, const char *uid, int index); /* NULL: no such task is held here */
void hzb_tasks_add (cJSON *groups, const HzbTask *task);
void hzb_tasks_each (HzbJobs *jobs, const cJSON *groups, HzbTaskFunc func, gpointer user);
