#include "machine-type.h"

void
hzb_machine_type_free (HzbMachineType *type)
{
  g_free (type->name);
  g_strfreev (type->zones);
  g_free (type);
}
