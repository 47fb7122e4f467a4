/**
 * SECTION: machine-type
 * @short_description: a machine type that the cloud offers
 */
#pragma once
#include <glib.h>

/** HzbMachineType: the resources and the prices of a machine type. Prices are per machine and hour. */
typedef struct
{
  char *name;            /**< unique name of the type (owned) */
  double cpus;           /**< CPUs of a machine */
  double gpus;           /**< GPUs of a machine */
  double memory_gb;      /**< memory of a machine, in GB */
  double cache_gb;       /**< capacity of a machine's image cache, in GB */
  double fetch_gb_per_s; /**< nominal rate at which a machine fetches images, in GB per second */
  double price;          /**< nominal price of an ordinary machine */
  double spot_price;     /**< current price of a spot machine */
  double boot_s;         /**< nominal time from the request to the worker's first heartbeat, in seconds */
  char **zones;          /**< zones in which the type is offered, NULL-terminated (owned) */
  guint index;           /**< index in HzbMachines.types; set by hzb_machines_set_types() */
} HzbMachineType;

/**
 * Frees a machine type.
 * @param type (transfer full) the type
 */
void hzb_machine_type_free (HzbMachineType *type);
