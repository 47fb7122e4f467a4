/**
 * SECTION: machine-type
 * @short_description: a type of machines that the cloud rents out
 */
#pragma once
#include <glib.h>

typedef struct
{
  char *name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
  guint index; /* in the list of types */
} HzbMachineType;

void hzb_machine_type_free (HzbMachineType *type);
