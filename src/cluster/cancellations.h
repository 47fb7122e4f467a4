/**
 * SECTION: cancellations
 * @short_description: when a cancelled job may be called cancelled
 */
#pragma once
#include "cancellation-log.h"
#include "jobs.h"

/** HZB_CANCELLATIONS_KNOWN_S: an owner answers workers only while it knows all cancellations of so long ago. */
#define HZB_CANCELLATIONS_KNOWN_S 10.0

typedef struct _HzbController HzbController;
typedef struct _HzbCancellations HzbCancellations;

HzbCancellations *hzb_cancellations_new (HzbController *controller);
void hzb_cancellations_free (HzbCancellations *cancellations);
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);

/** hzb_cancellations_acknowledged: no owner can act without this cancellation any more. */
gboolean hzb_cancellations_acknowledged (HzbCancellations *cancellations, HzbJob *job);

/** hzb_cancellations_request: asks the owner for its acknowledgement. Returns: FALSE if nobody can be asked just now. */
gboolean hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job);

/** hzb_cancellations_pack_request: what goes with the next poll of the leader. Returns: (transfer full) (nullable) */
cJSON *hzb_cancellations_pack_request (HzbCancellations *cancellations);

/** hzb_cancellations_handle_request: the leader's acknowledgements of what it was asked. Returns: (transfer full) */
cJSON *hzb_cancellations_handle_request (HzbCancellations *cancellations, const cJSON *request);

/** hzb_cancellations_handle_response: takes the acknowledgements of the leader of this term. */
void hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, const cJSON *acknowledged);

/** hzb_cancellations_note_record: the replica of the records has shown the record of a job's end. */
void hzb_cancellations_note_record (HzbCancellations *cancellations, const HzbJob *job, guint64 revision);

/** hzb_cancellations_note_reading: the replica of the records has read all records anew, as of this revision. */
void hzb_cancellations_note_reading (HzbCancellations *cancellations, guint64 revision);

/** hzb_cancellations_known_revision: all cancellations up to it are known here, by the replica of the records or by peers. */
guint64 hzb_cancellations_known_revision (HzbCancellations *cancellations);

/**
 * hzb_cancellations_since: adds to @into what was recorded after a revision. Returns: up to which revision that is all; 0 if
 * this node can't tell
 */
guint64 hzb_cancellations_since (HzbCancellations *cancellations, guint64 after, GArray *into);

/** hzb_cancellations_learn: a peer has named all cancellations between those known here and this revision. */
void hzb_cancellations_learn (HzbCancellations *cancellations, const GArray *learned, guint64 up_to);

/** hzb_cancellations_self_fenced: this process answers no worker while it could have missed a cancellation. */
gboolean hzb_cancellations_self_fenced (HzbCancellations *cancellations);

/** hzb_cancellations_may_answer_workers: it can't have missed one that others rely on. */
gboolean hzb_cancellations_may_answer_workers (HzbCancellations *cancellations);

/** hzb_cancellations_acknowledged_revision: on the owner: all cancellations recorded up to this revision are acknowledged. */
guint64 hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations);
