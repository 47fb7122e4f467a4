/**
 * @file
 * SECTION: machine-kind
 *
 * Kinds of machines that the cloud rents out, and what an empty machine of a type holds.
 */
#pragma once
#include "machine-type.h"
#include "user-protocol.h"

/** HZB_MAX_TASKS_PER_MACHINE: tasks that a worker may list at the same time, exited ones included. A heartbeat takes up to
 * 128 bytes for each, and a response up to one command; neither may exceed 64 KiB. */
#define HZB_MAX_TASKS_PER_MACHINE 500u

/** HzbMachineKind: a machine type in one zone, either spot or on-demand. */
typedef struct
{
  const HzbMachineType *type; /**< Not owned. */
  const char *zone;           /**< Not owned. */
  gboolean spot;              /**< Spot instances. */
} HzbMachineKind;

/** hzb_machine_kinds_new: `types`: (nullable) (element-type HzbMachineType)
 *
 * Returns: (transfer full) (element-type HzbMachineKind): all kinds of these types; valid as long as the types */
GArray *hzb_machine_kinds_new (const GPtrArray *types);

/** hzb_machine_kind_name: the name of a kind of machines, a key for hash tables. Returns: (transfer full) */
char *hzb_machine_kind_name (const HzbMachineKind *kind);

/** hzb_machine_type_holds: whether the job allows this machine type and an empty machine of the type has room for one
 * task of the job. */
gboolean hzb_machine_type_holds (const HzbMachineType *type, const HzbJobSpec *spec);

/** hzb_machine_type_speed: the speed v of the placement rule U + h/v (search.h): how many tasks of the job an empty
 * machine of this type holds at the same time; 0: none. */
guint hzb_machine_type_speed (const HzbMachineType *type, const HzbJobSpec *spec);

/** hzb_machine_kind_matches_constraints: whether machines of the kind meet the job's placement constraints on resources,
 * machine type, zone and spot instances. */
gboolean hzb_machine_kind_matches_constraints (const HzbMachineKind *kind, const HzbJobSpec *spec);
