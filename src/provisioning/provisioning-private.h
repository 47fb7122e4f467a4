/**
 * SECTION: provisioning-private
 * @short_description: the state and the functions that the source files of provisioning share
 *
 * hzb_provisioning_tick() calls the other source files: scale-out.c rents machines, scale-in.c drains and returns them,
 * and cloud-inventory.c compares them with the cloud's inventory.
 */
#pragma once
#include "provisioning.h"

/**
 * hzb_provisioning_scale_out: rents the machines that the autoscaler requests. Does nothing while earlier requests are
 * in flight.
 */
void hzb_provisioning_scale_out (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_scale_in: drains the machines that are to be returned, and returns those that are drained. */
void hzb_provisioning_scale_in (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_list_instances: requests the next page of the cloud's inventory, if it is due. */
void hzb_provisioning_list_instances (HzbProvisioning *provisioning, struct timespec now);

/**
 * hzb_provisioning_remove_gone_machine: removes a machine that the cloud has confirmed to be gone.
 * `machine`: (transfer full): freed; its tasks become pending again
 */
void hzb_provisioning_remove_gone_machine (HzbProvisioning *provisioning, HzbMachine *machine);

/** HzbProvisioning: the state of the module. Each source file owns the members that stand under its name. */
struct _HzbProvisioning
{
  HzbProvisioningDependencies dependencies; /**< the modules that provisioning calls */

  /* provisioning.c */
  gboolean types_requested;            /**< a request for machine types is in flight */
  struct timespec next_types;          /**< when machine types are requested again */
  struct timespec next_autoscaler_run; /**< when the autoscaler is called again */
  struct timespec next_scan;           /**< when all machines are next examined for scale-in */
  GHashTable *gone_machines; /**< machine name -> struct timespec: when the cloud confirmed that the machine is gone */

  /* scale-out.c */
  guint scale_out_requests_in_flight; /**< number of requests to rent machines */
  guint64 last_request_number;        /**< number in the name of the last request of this term; 0: none was sent */

  /* scale-in.c */
  guint scale_in_requests_in_flight;     /**< number of requests to return machines */
  struct timespec next_scale_in_request; /**< after a failure: no request to return machines is sent before this time */

  /* cloud-inventory.c */
  gboolean list_requested;      /**< a request for a page of the inventory is in flight */
  char *list_after;             /**< last instance on the pages that were read so far; NULL: the first page is next */
  GHashTable *listed_names;     /**< set of machine names on the pages that were read so far */
  struct timespec list_started; /**< when the first page was requested */
  struct timespec next_list;    /**< when the next page is requested */
};
