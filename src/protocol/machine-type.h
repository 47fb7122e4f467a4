/**
 * SECTION: machine-type
 * @short_description: a type of machines that the cloud rents out
 */
#pragma once
#include <glib.h>

/** HzbMachineType: what a machine of the type has, and what renting it costs. Prices are per hour. */
typedef struct
{
  char *name;            /**< of the type, unique (owned) */
  double cpus;           /**< CPUs of a machine */
  double gpus;           /**< GPUs of a machine */
  double memory_gb;      /**< memory of a machine, in GB */
  double cache_gb;       /**< room for images on a machine, in GB */
  double fetch_gb_per_s; /**< nominal rate at which a machine fetches images, in GB per second */
  double price;          /**< nominal price of an ordinary machine */
  double spot_price;     /**< current price of a spot machine */
  double boot_s;         /**< nominal time from the request to the worker's first heartbeat, in seconds */
  char **zones;          /**< zones where the type is rented out, ends with NULL (owned) */
  guint index;           /**< position in the list of types; set by whoever keeps the list */
} HzbMachineType;

/**
 * Frees a machine type.
 * @param type (transfer full)
 */
void hzb_machine_type_free (HzbMachineType *type);
