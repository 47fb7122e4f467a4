/**
 * SECTION: cancellations
 * @short_description: when a cancelled job may be called cancelled
 */
#pragma once
#include "jobs.h"

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

/** hzb_cancellations_acknowledged_revision: on the owner: all cancellations recorded up to this revision are acknowledged. */
guint64 hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations);
