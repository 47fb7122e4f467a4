#include "machine-codec.h"

cJSON *
hzb_machine_record_encode (const HzbMachine *machine, struct timespec wall)
{
  cJSON *value = cJSON_CreateObject ();

  cJSON_AddStringToObject (value, "type", machine->type_name);
  cJSON_AddStringToObject (value, "zone", machine->zone);
  cJSON_AddBoolToObject (value, "spot", machine->spot);
  cJSON_AddNumberToObject (value, "at", (double) wall.tv_sec);
  if (machine->drain)
    cJSON_AddTrueToObject (value, "drain");
  return value;
}
