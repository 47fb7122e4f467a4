/**
 * SECTION: provisioning
 * @short_description: renting and returning machines, as the autoscaler asks
 *
 * Carries out the leader's calls to the cloud: machine types, rentals, returns and the list of machines.
 */
#pragma once
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbProvisioning HzbProvisioning;

HzbProvisioning *hzb_provisioning_new (HzbController *controller);
void hzb_provisioning_free (HzbProvisioning *provisioning);

/** hzb_provisioning_reset: forgets calls on their way; called when ownership begins. */
void hzb_provisioning_reset (HzbProvisioning *provisioning);
void hzb_provisioning_tick (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_was_scaled_in: the cloud has confirmed, not long ago, that this machine is gone. */
gboolean hzb_provisioning_was_scaled_in (HzbProvisioning *provisioning, const char *machine);
