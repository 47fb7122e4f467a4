/* A small deployment in simulated time: fakes of the key-value store, the cloud, the workers and the users,
 * written from the published protocol, around real controllers. After every step the rules are checked. */
#pragma once
#include "controller-private.h"

#define SIM_NODES 3

typedef struct _Sim Sim;

typedef struct
{
  HzbTransport parent;
  Sim *sim;
  guint at, life; /* life: counts processes */
} SimTransport;

typedef struct
{
  HzbController *controller; /* NULL: down */
  HzbClock *clock;           /* the simulated one */
  SimTransport *transport;
  guint life;
  gboolean cut_store, cut_peers, cut_workers, refused;
  gboolean refuses_peers;     /* connections of other controllers are refused at once */
  double peer_answer_delay_s; /* what they answer comes so much later */
  gboolean without_features;  /* as a version that knows none */
  gboolean old;               /* says and answers nothing that version 1 did not */
  gboolean paused;            /* still, while its clock runs on; what comes meanwhile it takes up on waking */
  GPtrArray *late;            /* what came */
} SimNode;

typedef struct
{
  char *uid;
  guint task;
  guint64 attempt;
  int state; /* 0 fetching 1 gathering 2 running 3 saving 4 ended */
  char why[12];
  double ready_at, end_at;
  gboolean stored;
} SimTask;

typedef struct
{
  char *name, *type, *zone;
  gboolean spot, up, failed, gone, cut, hung, faulty;
  gboolean one_way_partitioned; /* its reports arrive, no answer reaches it */
  double taken_at;              /* the cloud takes it then, and says so; 0: not */
  gboolean unlisted;            /* the cloud's lists leave it out, though it is there */
  double rented, up_at, listed_at, gone_at, cpus;
  guint64 agent_epoch, sequence, fencing_token;
  double lease_from, next_report;
  guint node, report_number;
  gboolean asking;
  GPtrArray *tasks; /* SimTask */
} SimMachine;

typedef struct
{
  char *uid, *team;
  const char *job_class; /* its class */
  guint n;
  double cpus, run_s;
  const char *zone, *type;
  gboolean spot, bad, gang, spread, same_zone;
  gboolean service; /* its tasks are replicas: when one ends, it is not done */
  double cancel_at; /* its user wants to cancel it from then on; 0: 8 s after its submission */
  double missed_s;  /* replica time not served, and all there was, from 10 s after its acceptance */
  double wanted_s, accepted_at;
  gboolean wants_cancel, submitted, accepted, told_done, told_cancelled, asked_cancel;
  gboolean polls_only; /* its user has asked once to cancel it, and then asks how it stands */
  double submit_at, cancelled_at, answered_at, began_at;
  double longest_silence_s; /* between two answers about it */
  guint last_status;        /* of the answers to its user */
  char last_state[12];
  GString *history;   /* what its user was told, a line for each change */
  double waits_since; /* calm, and something of it waits though a machine that fits has room; 0: not */
  guchar *finished;   /* a task has ended well somewhere */
} SimJob;

/* What a larger deployment than the usual little one differs in. */
typedef struct
{
  guint machines; /* the cloud has no more; the usual: 12 */
  guint teams;    /* 2: red and blue; more are named team-00 and on */
  double team_max, team_guarantee;
  double heartbeat_interval_s, lease_s, cancel_s;
  double kv_rps, kv_write_rps; /* as the settings say; limits only where write_rate says so */
  guint txn_ops;
  double cloud_rps;
  guint rows;                     /* of a range read */
  guint max_replicated_completed; /* jobs that are over stay replicated; 0: as usual */
  double check_s;                 /* the rules are checked so often; 0: after every event */
  guint kept_changes;             /* the key-value store keeps so many: a watch from before them gets 410; 0: all */
  guint next_txn_ops;             /* limits of the key-value store that will come, as the settings say; 0: not named */
  double next_write_rps;
  const char *features; /* a features file's text; NULL: what HZB_SIM_FEATURES names, or none */
} SimSize;

/* Where controllers spend their time, when it is measured. */
typedef enum
{
  SIM_PART_TICKS,
  SIM_PART_REPORTS,
  SIM_PART_USERS,
  SIM_PART_PEERS,   /* what other controllers ask */
  SIM_PART_ANSWERS, /* of the key-value store, the cloud and other controllers */
  SIM_N_PARTS
} SimPart;

struct _Sim
{
  HzbClock *clock;
  double now;
  GRand *rand;
  SimNode nodes[SIM_NODES];
  GSequence *events;
  guint64 event_number;
  /* key-value store */
  GHashTable *kv, *leases;
  GPtrArray *history, *watchers;
  guint64 revision, lease_number;
  gboolean outage;
  guint most_value, most_changes;                /* bytes, and in a transaction: more gets 400; 0: without limit */
  guint refused_services;                        /* submissions answered 503 */
  double write_rate, write_budget, write_filled; /* changes a second; 0: without limit */
  guint written;                                 /* changes so far */
  /* cloud */
  GHashTable *requested; /* rentals, by their names */
  guint machine_number;
  GPtrArray *machines, *jobs;
  double lose, late;  /* chances per message */
  double copies;      /* of reports, that a copy comes late, to any node */
  double peer_copies; /* of messages between nodes */
  double late_writes; /* of transactions: no answer comes, and they are carried out 2 to 12 s later */
  gboolean boot_never;
  const char *closed_zone; /* no machines are to be had there; NULL: everywhere */
  GPtrArray *broken;       /* rules broken, as texts */
  guint started, ran;
  SimSize size;
  double next_check, next_wait_check, next_silence_check, counted_at;
  double calm_at;                       /* all troubles are over; 0: nobody said */
  GHashTable *by_uid;                   /* SimJob */
  guint requests, rows_read;            /* of the key-value store */
  guint rentals, most_returned;         /* calls */
  guint oversized_requests;             /* between controllers: larger than a request may be */
  gsize largest_request, largest_reply; /* between controllers, in bytes */
  gboolean measures;                    /* how much processor time controllers take */
  gint64 spent_us[SIM_N_PARTS], entered_us;
  /* Sends what users and workers ask to a process; NULL: to the controllers here. Takes the exchange. */
  void (*ask_process) (Sim *sim, guint node, HzbHttpRequest *http_request);
};

extern const SimSize sim_size_little; /* what sim_new() takes */
extern const SimSize sim_size_large;  /* a fleet of up to 1,800 machines */
Sim *sim_new (guint32 seed);
Sim *sim_new_sized (guint32 seed, const SimSize *size);
void sim_free (Sim *sim);
void sim_run (Sim *sim, double until);
void sim_crash (Sim *sim, guint at);
void sim_start (Sim *sim, guint at);
void sim_wake (Sim *sim, guint at); /* of a node that stands */
SimJob *sim_add_job (Sim *sim, double at, const char *team, guint n, double cpus, double run_s);
SimMachine *sim_add_machine (Sim *sim, const char *type, const char *zone, gboolean spot, double up_after);
SimTask *sim_put_task (Sim *sim, SimMachine *machine, SimJob *job, guint number, guint64 attempt);
void sim_start_task (Sim *sim, SimMachine *machine, const char *task_status, guint64 attempt); /* as an order does */
void sim_told (Sim *sim, SimJob *job, guint status, const char *state); /* an answer to its user */
void sim_check (Sim *sim);
void sim_put_record (Sim *sim, const char *key, const char *text); /* as somebody wrote it before */
guint sim_largest_record (Sim *sim, const char *prefix);           /* bytes; 0: there is none */
/* Each record below the prefix, as JSON. */
void sim_each_record (Sim *sim, const char *prefix, void (*each) (const char *key, const cJSON *value, gpointer user),
                      gpointer user);
void sim_check_forgotten (Sim *sim); /* each job got an answer lately */
void sim_check_end (Sim *sim);       /* nothing forgotten, no one starved */
guint sim_unfinished (Sim *sim);
guint sim_running (Sim *sim, const SimJob *job, const char *zone); /* tasks that run; zone NULL: anywhere */
int sim_leader (Sim *sim);                                         /* -1: none */
/* Around each call of a controller, for the measurement. */
void sim_enter (Sim *sim);
void sim_leave (Sim *sim, SimPart part);
void sim_at (Sim *sim, double at, void (*run) (Sim *sim, gpointer data), gpointer data);
