/**
 * SECTION: provisioning-private
 * @short_description: the state that the source files of provisioning share
 *
 * provisioning.c calls the functions below when they are due.
 */
#pragma once
#include "provisioning.h"

/** hzb_provisioning_scale_out: rents what the autoscaler asks for, unless earlier requests are in flight. */
void hzb_provisioning_scale_out (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_scale_in: drains machines that are to go, and returns those that are empty. */
void hzb_provisioning_scale_in (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_list_instances: asks for the next page of the cloud's inventory, if it is due. */
void hzb_provisioning_list_instances (HzbProvisioning *provisioning, struct timespec now);

/** hzb_provisioning_machine_gone: the cloud has confirmed that the machine is gone. Frees `machine`; its tasks are
 * lost. */
void hzb_provisioning_machine_gone (HzbProvisioning *provisioning, HzbMachine *machine);

/** HzbProvisioning: the state; each file owns the part under its name. */
struct _HzbProvisioning
{
  HzbProvisioningDependencies dependencies; /**< copied */

  /* provisioning.c */
  gboolean types_requested;   /**< a request for machine types is in flight */
  struct timespec next_types; /**< when machine types are asked for again */
  struct timespec next_scale; /**< when the autoscaler is asked again */
  struct timespec next_scan;  /**< when the machines are examined again for scale-in */
  GHashTable *gone;           /**< names of machines that are gone, with the time (struct timespec) */

  /* scale-out.c */
  guint scale_outs;            /**< requests in flight */
  guint64 last_request_number; /**< the number in the name of the last request of this term */

  /* scale-in.c */
  guint scale_ins;               /**< requests in flight */
  struct timespec next_scale_in; /**< when the next request may be sent */

  /* cloud-inventory.c */
  gboolean list_requested;    /**< a request for a page is in flight */
  char *list_after;           /**< the last name of the pages read so far; NULL: the first page is next */
  GHashTable *listed;         /**< names in the pages read so far */
  struct timespec list_began; /**< when the first page was asked for */
  struct timespec next_list;  /**< when the next page is due */
};
