/* A small deployment in simulated time: fakes of the key-value store, the cloud, the workers and the users, written from the
 * published protocols, around real controllers. The rules of the protocol are checked after every event (sim-rules.c). */
#pragma once
#include "controller-private.h"

#define SIM_NODES 3

typedef struct _Sim Sim;

typedef struct
{
  HzbTransport parent;
  Sim *sim;
  guint node, incarnation; /* of the process that owns this transport */
} SimTransport;

/* A host that runs a controller process. */
typedef struct
{
  HzbController *controller; /* NULL: the process is down */
  HzbClock *clock;           /* the simulated one */
  SimTransport *transport;
  guint incarnation; /* counts the processes that were started here */
  gboolean cut_off_from_kv, cut_off_from_peers, cut_off_from_workers;
  gboolean refused_by_kv;       /* the key-value store answers this controller 503, and only this one */
  gboolean refuses_peers;       /* connections of other controllers are refused at once */
  double peer_response_delay_s; /* added to each response that this controller gets from another one */
  gboolean without_features;    /* the process runs without a features file, as an earlier version does */
  gboolean runs_version_1;      /* its messages lack every field that version 1 did not send */
  gboolean paused;     /* the process is stalled while its clock runs on; events are deferred until it resumes */
  GPtrArray *deferred; /* SimEvent */
} SimNode;

/* As the worker protocol names them. */
typedef enum
{
  SIM_TASK_FETCHING,
  SIM_TASK_GATHERING,
  SIM_TASK_RUNNING,
  SIM_TASK_CHECKPOINTING,
  SIM_TASK_ENDED
} SimTaskState;

typedef struct
{
  char *uid; /* of its job */
  guint task;
  guint64 attempt;
  SimTaskState state;
  char cause[12]; /* of the end */
  double ready_at, end_at;
} SimTask;

/* A machine of the cloud with its worker. */
typedef struct
{
  char *name, *type, *zone;
  gboolean spot, up;
  gboolean crashed;                /* stopped, with all its tasks; the cloud still lists it */
  gboolean terminated;             /* returned to the cloud, or taken by it */
  gboolean partitioned;            /* no message passes, in either direction */
  gboolean one_way_partitioned;    /* its heartbeats arrive, and no response reaches it */
  gboolean hung;                   /* the worker is stalled, and its tasks with it */
  gboolean faulty;                 /* every task that starts here ends with an error */
  double reclaim_at;               /* when the cloud takes the spot machine, as the worker's heartbeats say; 0: never */
  gboolean missing_from_inventory; /* the cloud's lists leave the machine out though it is there */
  double rented_at, up_at, listed_at, terminated_at, cpus;
  guint64 agent_epoch, sequence, fencing_token;
  double lease_renewed_at, next_heartbeat_at;
  guint node, heartbeat_number; /* node: the controller that the worker sends heartbeats to */
  gboolean awaits_response;     /* of its heartbeat in flight */
  GPtrArray *tasks;             /* SimTask */
} SimMachine;

/* A job and its user. */
typedef struct
{
  char *uid, *team;
  const char *job_class;
  guint n_tasks;
  double cpus, run_s;
  const char *zone, *type;
  gboolean spot, gang, spread, same_zone;
  gboolean always_fails; /* its tasks end with an error on every machine */
  gboolean service;      /* its tasks are replicas: one that ends is not done */
  double cancel_at;      /* its user wants to cancel it from then on; 0: 8 s after its submission */
  double replica_missed_s,
      replica_wanted_s; /* replica time not served, and all there was, from 10 s after acceptance */
  double accepted_at;
  gboolean wants_cancel, submitted, accepted, cancel_requested;
  gboolean confirmed_done, confirmed_cancelled; /* a response called the job so */
  gboolean polls_only;                          /* its user asks once to cancel it, and then only polls its status */
  double submit_at, cancel_confirmed_at, last_response_at, first_start_at;
  double longest_response_gap_s; /* between two conclusive responses about the job */
  guint last_status;             /* of the responses to its user */
  char last_state[12];
  GString *response_history; /* what its user was answered, a line for each change */
  double unplaced_since; /* a task of it waits although a machine that fits has room, after all faults; 0: none does */
  guchar *finished;      /* by task: an attempt of it has succeeded */
} SimJob;

/* A deployment: its size and limits, as the controllers' settings say and as the fakes enforce. */
typedef struct
{
  guint machines; /* the cloud has no more; in the small deployment 12 */
  guint teams;    /* 2: red and blue; further ones are called team-02 and so on */
  double team_max, team_guarantee;
  double heartbeat_interval_s, lease_s, cancel_s;
  double kv_rps, kv_write_rps; /* as the settings say; the fake enforces Sim.kv_write_rate only */
  guint txn_ops;
  double cloud_rps;
  guint range_page_rows;          /* of a range read of the key-value store */
  guint max_replicated_completed; /* completed jobs that stay in the replicas; 0: the controllers' default */
  double check_interval_s;        /* between two checks of the rules; 0: after every event */
  guint retained_changes; /* of the key-value store: a watch from before them gets 410; 0: all changes are retained */
  guint next_txn_ops;     /* coming limits of the key-value store, as the settings say; 0: not named */
  double next_write_rps;
  const char *features; /* text of a features file; NULL: what HZB_SIM_FEATURES names, or none */
} SimConfig;

/* Where controllers spend processor time, when it is measured. */
typedef enum
{
  SIM_PART_TICKS,
  SIM_PART_HEARTBEATS, /* of workers */
  SIM_PART_USERS,
  SIM_PART_PEERS,     /* requests of other controllers */
  SIM_PART_RESPONSES, /* of the key-value store, the cloud and other controllers */
  SIM_N_PARTS
} SimPart;

struct _Sim
{
  HzbClock *clock;
  double now;
  GRand *rand;
  SimNode nodes[SIM_NODES];
  GSequence *events; /* SimEvent */
  guint64 event_number;
  /* key-value store */
  GHashTable *kv, *leases;
  GPtrArray *kv_changes, *watchers;
  guint64 revision, lease_number;
  gboolean kv_outage;                                        /* every controller is answered 503 */
  guint kv_max_value_bytes, kv_max_changes;                  /* of a transaction; more gets 400; 0: no limit */
  guint deferred_services;                                   /* submissions of services that were answered 503 */
  double kv_write_rate, kv_write_budget, kv_write_budget_at; /* changes a second; 0: no limit */
  guint kv_writes;                                           /* changes so far */
  guint kv_requests, kv_rows_read;
  /* cloud */
  GHashTable *rental_requests; /* name of the request -> response */
  guint machine_number;
  guint rental_calls, largest_return; /* largest_return: machines in one call */
  gboolean some_never_boot;
  const char *zone_without_capacity; /* NULL: none */
  GPtrArray *machines, *jobs;
  /* network; chances are per message */
  double loss_chance, delay_chance;
  double heartbeat_copy_chance;         /* a copy of a worker's heartbeat arrives late, at any controller */
  double peer_copy_chance;              /* a copy of a message between controllers arrives late */
  double late_transaction_chance;       /* a transaction gets no response, and is carried out 2 to 12 s later */
  guint oversized_requests;             /* between controllers: larger than a request may be */
  gsize largest_request, largest_reply; /* between controllers, in bytes */
  GPtrArray *violations;                /* of rules, as texts that begin with the rule's name */
  guint tasks_started, tasks_completed;
  SimConfig config;
  double next_check, next_placement_check, next_response_check, replicas_counted_at;
  double faults_over_at; /* from then on no job may be left waiting; 0: not checked */
  GHashTable *by_uid;    /* SimJob */
  gboolean measures;     /* the processor time of controllers */
  gint64 spent_us[SIM_N_PARTS], entered_us;
  /* Sends a request of a user or worker to a process; NULL: to the controllers here. Takes the request. */
  void (*send_to_process) (Sim *sim, guint node, HzbHttpRequest *http_request);
};

extern const SimConfig sim_config_small; /* what sim_new() takes */
extern const SimConfig sim_config_large; /* a fleet of up to 1,800 machines */
Sim *sim_new (guint32 seed);
Sim *sim_new_with_config (guint32 seed, const SimConfig *config);
void sim_free (Sim *sim);
void sim_run (Sim *sim, double until);
void sim_crash (Sim *sim, guint node_index);
void sim_start (Sim *sim, guint node_index);
void sim_resume (Sim *sim, guint node_index); /* a paused process: what was deferred happens now */
SimJob *sim_add_job (Sim *sim, double at, const char *team, guint n, double cpus, double run_s);
SimMachine *sim_add_machine (Sim *sim, const char *type, const char *zone, gboolean spot, double up_after);
SimTask *sim_put_task (Sim *sim, SimMachine *machine, SimJob *job, guint number, guint64 attempt);
void sim_start_task (Sim *sim, SimMachine *machine, const char *task_status, guint64 attempt); /* as a command does */
void sim_user_response (Sim *sim, SimJob *job, guint status, const char *state);
void sim_check (Sim *sim);
void sim_put_record (Sim *sim, const char *key, const char *text); /* as an earlier process may have written it */
guint sim_largest_record (Sim *sim, const char *prefix);           /* bytes; 0: there is none */
/* Calls each for each record below the prefix, as JSON. */
void sim_each_record (Sim *sim, const char *prefix, void (*each) (const char *key, const cJSON *value, gpointer user),
                      gpointer user);
void sim_check_forgotten (Sim *sim); /* each job got a conclusive response lately */
void sim_check_end (Sim *sim);       /* no job is forgotten, no team and no class starved */
guint sim_unfinished (Sim *sim);
guint sim_running (Sim *sim, const SimJob *job, const char *zone); /* tasks that run; zone NULL: anywhere */
int sim_leader (Sim *sim);                                         /* -1: none */
/* Around each call of a controller, for the measurement. */
void sim_measure_begin (Sim *sim);
void sim_measure_end (Sim *sim, SimPart part);
void sim_schedule (Sim *sim, double at, void (*run) (Sim *sim, gpointer data), gpointer data);
