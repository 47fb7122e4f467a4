/**
 * SECTION: records
 * @short_description: the owner's durable records of progress and machines
 *
 * Owned by the controller; used only while this node leads. Jobs and machines share records (pages) in the state
 * service, see records.c.
 */
#pragma once
#include "jobs.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbRecords HzbRecords;

HzbRecords *hzb_records_new (HzbController *controller);
void hzb_records_free (HzbRecords *records);

/** hzb_records_reset: drops all pages; called when ownership begins or ends. */
void hzb_records_reset (HzbRecords *records);

/** hzb_records_load: takes one record as the key-value store has it, while ownership is being loaded. */
void hzb_records_load (HzbRecords *records, const HzbKvEntry *item);

/** hzb_records_load_finished: all records were loaded; pages that are too large are laid out anew. */
void hzb_records_load_finished (HzbRecords *records);

/** hzb_records_flush_soon: writes what is due, at most one transaction at a time. Cheap to call often. */
void hzb_records_flush_soon (HzbRecords *records);

/** hzb_records_complete_job: all tasks of the job have finished: makes that durable, unless the job has been cancelled. */
void hzb_records_complete_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_job: the job needs no progress record any more. */
void hzb_records_drop_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_machine: the machine is gone. */
void hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine);
