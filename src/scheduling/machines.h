/* The machines of a shard: what the cloud and the workers say of them, their agent epochs and leases,
 * their lists, and the room on them. */
#pragma once
#include "estimate.h"
#include "jobs.h"
#include "machine-type.h"

typedef enum
{
  HZB_MACHINE_BOOTING,    /* rented, its worker has not reported */
  HZB_MACHINE_UNVERIFIED, /* an earlier owner may have started tasks on it; it has not answered under our fencing token */
  HZB_MACHINE_ACTIVE,     /* its last report was sent under our fencing token */
  HZB_MACHINE_LEASED,     /* in a shard that is leased to another controller */
  HZB_MACHINE_LEASE_EXPIRED, /* its lease is over: it has no tasks */
  HZB_MACHINE_DRAINING,      /* takes no more tasks */
  HZB_MACHINE_RETURNING,     /* the cloud has been told; until it confirms the machine may still run */
  HZB_MACHINE_GONE,
  HZB_MACHINE_N_STATES
} HzbMachineState;

/** HzbSchedulingClass: of waiting work; higher ones are served first, see scheduling-class.h. */
typedef enum
{
  HZB_SCHEDULING_CLASS_BEST_EFFORT, /* of a team without a guarantee: it takes what others leave */
  HZB_SCHEDULING_CLASS_IDLE,
  HZB_SCHEDULING_CLASS_NORMAL,
  HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK, /* its aim will be missed unless it starts soon */
  HZB_SCHEDULING_CLASS_GUARANTEED_IDLE,
  HZB_SCHEDULING_CLASS_GUARANTEED_NORMAL,
  HZB_SCHEDULING_CLASS_URGENT,
  HZB_SCHEDULING_CLASS_GUARANTEED_URGENT,
  HZB_SCHEDULING_CLASS_PRODUCTION,
  HZB_N_SCHEDULING_CLASSES
} HzbSchedulingClass;

/* Until it has answered, an unverified machine may hold tasks of its own only, of the shard of a leaseholder (1 and up) that
 * was taken back, or of an earlier leader. */
#define HZB_UNCONFIRMED_TASKS_OF_LEADER 0u
#define HZB_UNCONFIRMED_TASKS_OF_NONE 255u

struct _HzbMachine
{
  char *name, *addr;
  const HzbMachineType *type; /* NULL: not known */
  char *type_name, *zone;
  gboolean spot;
  HzbMachineState state; /* changed by hzb_machine_set_state() only */
  guint64 agent_epoch, sequence;
  guint64 fencing_token; /* the one under which it is answered */
  guint64
      first_exclusive_fencing_token; /* from this one on nobody but this owner has given it commands: what it reports under it is all */
  guint64 expired_agent_epoch; /* this agent epoch has ended for certain: what still comes of it is late */
  guint8 leaseholder;          /* 1 and up: whom it is leased to */
  guint8
      unconfirmed_tasks_of; /* while unverified: the shard whose unconfirmed tasks may be on it, or HZB_UNCONFIRMED_TASKS_OF_NONE */
  gboolean recall_requested, lease_sent;
  gboolean recall_at_once; /* with all that is on it */
  struct timespec rented;  /* or, of a machine found in the records, first known */
  struct timespec since, last_answer, last_heartbeat, idle_since, notice_at;
  gboolean verified; /* a report sent under our fencing token has come */
  gboolean
      known_to_cloud; /* rented by us, on record, or in the cloud's list: a report alone may be a copy of one long gone */
  guint quarantined;     /* tasks that its last report showed, which no record names and which are left alone */
  guint ignored_answers; /* reports in a row that show none of the starts that they should */
  gboolean
      unreachable; /* answers do not seem to reach it; it takes no work until it shows the fencing token raised since */
  struct timespec unreachable_since;
  gboolean recorded, recording;
  guint page;                                        /* of the owner's records; 0: none */
  gboolean scale_in_requested, drain;                /* drain: by an operator */
  gboolean scale_in_candidate;                       /* takes no new tasks: there are more machines than work */
  guint plans_in_surplus;                            /* for how many plans in a row it has been one too many */
  gboolean reserved_for_services;                    /* for replicas of services: they find room there at once */
  double service_cpus, service_memory;               /* in use by replicas, which never end by themselves */
  double queued_service_cpus, queued_service_memory; /* and by those in its run queues */
  double cpus, gpus, memory;                         /* in use by tasks that are on it, or may be */
  GPtrArray *tasks;                                  /* HzbTask on it */
  GQueue run_queues[HZB_N_SCHEDULING_CLASSES];
  HzbEstimate estimates[HZB_N_SCHEDULING_CLASSES]; /* work that a task of the class waits behind */
  gboolean estimate_stale;
  GHashTable *images;      /* names (interned) known to be on it */
  GHashTable *expected;    /* names that tasks sent or listed here will bring, as of the last report */
  guint round;             /* counts reports, see HzbTask.seen */
  GHashTable *failed_jobs; /* uid -> failures since a task did well here */
  char *last_failed_job;
  struct timespec last_failure;
};

typedef struct
{
  GHashTable *by_name;
  GPtrArray *all; /* HzbMachine, owned */
  GPtrArray *types;
  guint generation; /* counts removals: who keeps machines looks them up anew */
  HzbClock *clock;
  const HzbSettings *settings;
  struct timespec next_scan; /* when the leader examines every machine again; unset: at once */
} HzbMachines;

HzbMachines *hzb_machines_new (HzbClock *clock, const HzbSettings *settings);
void hzb_machines_free (HzbMachines *machines);
void hzb_machines_clear (HzbMachines *machines);
void hzb_machines_set_types (HzbMachines *machines, GPtrArray *types); /* takes them */
const HzbMachineType *hzb_machines_type (HzbMachines *machines, const char *name);
HzbMachine *hzb_machines_find (HzbMachines *machines, const char *name);
HzbMachine *hzb_machines_add (HzbMachines *machines, const char *name, const char *addr, const char *type,
                              const char *zone, gboolean spot, HzbMachineState state);
void hzb_machines_remove (HzbMachines *machines, HzbMachine *machine); /* it must be gone */
gboolean hzb_machine_set_state (HzbMachines *machines, HzbMachine *machine, HzbMachineState to, const char *why);
/* Answers do not seem to reach it: it has to show that it has seen a fencing token that was not used before. */
void hzb_machine_mark_unreachable (HzbMachine *machine, guint64 fencing_token, struct timespec now);
/* From now on it is answered under this fencing token, and nothing is known of it until it has reported under it. */
void hzb_machine_set_fencing_token (HzbMachine *machine, guint64 fencing_token);
void hzb_machine_unverify (HzbMachines *machines, HzbMachine *machine, guint64 fencing_token, const char *why);
const char *hzb_machine_state_name (HzbMachineState state);
const char *hzb_machine_name (const HzbMachine *machine);
cJSON *hzb_machine_pack (const HzbMachine *machine, struct timespec wall);

/* Kept by hzb_task_set_state(). */
void hzb_machine_enqueue (HzbMachine *machine, HzbTask *task);
void hzb_machine_dequeue (HzbMachine *machine, HzbTask *task);
void hzb_machine_add (HzbMachine *machine, HzbTask *task);
void hzb_machine_remove (HzbMachine *machine, HzbTask *task);

gboolean hzb_machine_usable (const HzbMachine *machine);
gboolean hzb_type_holds (const HzbMachineType *type, const HzbJobSpec *spec);
guint hzb_type_speed (const HzbMachineType *type, const HzbJobSpec *spec); /* v: how many such tasks it holds */
/* The same of a machine, without the room that replicas of services take for good. */
guint hzb_machine_speed (const HzbMachine *machine, const HzbJobSpec *spec);
/* A replica of such a service fits beside those that are there or listed, whatever else would have to go. */
gboolean hzb_machine_takes_replica (const HzbMachine *machine, const HzbJobSpec *spec);
gboolean hzb_machine_allowed (const HzbMachine *machine, const HzbJobSpec *spec);
/** hzb_machine_note_failure: a task of the job failed there. */
void hzb_machine_note_failure (HzbMachine *machine, const HzbJob *job, struct timespec now);

/** hzb_machine_note_success: a task did well there. */
void hzb_machine_note_success (HzbMachine *machine);

/**
 * hzb_machine_seems_faulty: it fails what it starts, and not for the jobs' sake: a job that has done well elsewhere failed, or
 * several that have not failed elsewhere.
 */
gboolean hzb_machine_seems_faulty (const HzbMachine *machine, HzbJobs *jobs);
/* The last failure on the machine was one of this job, not long ago: the job's tasks are tried on others first. */
gboolean hzb_machine_avoids (const HzbMachine *machine, const HzbJob *job, struct timespec now);
gboolean hzb_machine_has_room (const HzbMachine *machine, const HzbJobSpec *spec);
guint hzb_machine_queued_tasks (const HzbMachine *machine);
/* Its tasks are gone for certain: they go back to waiting. Its run queues are emptied too. */
void hzb_machine_lose_tasks (HzbJobs *jobs, HzbMachine *machine);
void hzb_machine_clear_run_queues (HzbJobs *jobs, HzbMachine *machine);
/**
 * hzb_machines_unverified_kinds: of the machines that may hold unconfirmed tasks of a shard, and have neither answered under our
 * fencing token nor are gone, one (HzbMachine) of each type, zone and kind. Looks at every machine once, for all shards.
 *
 * Returns: (transfer full) (element-type GPtrArray): an array for each of the first @n_shards shards
 */
GPtrArray *hzb_machines_unverified_kinds (const HzbMachines *machines, guint n_shards);

/** hzb_machines_add_kind: adds the machine to the array unless it has one of the same type, zone and kind. */
void hzb_machines_add_kind (GPtrArray *kinds, HzbMachine *machine);

/**
 * hzb_machines_scan_interval_s: how long to wait before every machine is looked at again, for what would otherwise be looked at in
 * each turn of the loop or at each poll: what that costs in a second does not grow with the fleet.
 */
double hzb_machines_scan_interval_s (const HzbMachines *machines);
/* One of these may hold an unconfirmed task of the job: it could have been started there. */
gboolean hzb_job_may_run_on_unverified (const HzbJob *job, const GPtrArray *unverified_kinds);
