/* Stand-ins for the key-value store, the cloud, workers and users of real controller processes, written from the users'
 * pages (PROTOCOL, DEPLOY). All of them run in the main loop of one process; the controllers are processes of their own.
 * Everything listens on the loopback interface. */
#pragma once
#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <cjson/cJSON.h>
#include <glib.h>
#include <libsoup/soup.h>
#include <sys/types.h>

#define MAX_CONTROLLERS 5u
#define MAX_LINE_BYTES 65536u /* of a response to workers or users; also of a request body */

/* Exit statuses of a case. */
enum
{
  RULE_HELD = 0,
  RULE_BROKEN = 1,
  NOT_RUN = 2
};

/* ---- time and record (record.c) ---- */

/* Opens the record, and ends the process with NOT_RUN after `limit_s` seconds, or with a signal, in either case after
 * all controllers were killed. */
void lab_begin (const char *record_path, guint limit_s);
double lab_now_s (void);
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Runs the main loop for some seconds. */
void lab_run (double seconds);
/* Returns: whether the environment asks for the disruption (TROUBLE is not 0). */
gboolean lab_with_trouble (void);
/* Kills the controllers, removes the temporary files, records the verdict and ends the process. */
void lab_end (int status, const char *verdict) G_GNUC_NORETURN;

/* ---- HTTP (http.c) ---- */

/* Returns: (transfer full): a server on a free port of 127.0.0.1, which is stored in *port */
SoupServer *lab_serve (SoupServerCallback handler, gpointer data, guint *port);
void lab_respond (SoupMessage *message, guint status, cJSON *body);
/* Called once, with status 0 if there was no response in time. */
typedef void (*LabResponse) (guint status, const char *body, gsize length, gpointer data);
void lab_send (guint port, const char *method, const char *path, const char *body, double timeout_s, LabResponse done,
               gpointer data);
/* Sends a request of a user and waits for the response; records both. Returns: the status; 0: no response */
guint lab_user_request (guint controller, const char *method, const char *path, const char *body, double timeout_s,
                        cJSON **answer);

/* ---- proxies (link.c) ---- */

typedef struct _Link Link;
/* A proxy on a free port in front of a port of 127.0.0.1. */
Link *link_new (guint target);
guint link_port (const Link *link);
/* Holds back what both sides send, or delivers it. */
void link_hold (Link *link, gboolean held);

/* ---- key-value store (kv-store.c) ---- */

void kv_store_start (double rps, double write_rps);
guint kv_store_port (void);

/* ---- cloud (cloud.c) ---- */

typedef struct
{
  const char *name;
  double cpus, memory_gb, price, spot_price, ready_s;
  const char *zones[5];
} MachineType;

void cloud_start (const MachineType *types, guint n_types, double list_lag_s, double boot_s);
guint cloud_port (void);
/* From now on the cloud has at most this many machines; more are refused with 503. */
void cloud_set_capacity (guint machines);
/* During an outage the cloud answers 503. */
void cloud_set_outage (gboolean outage);

/* ---- workers (workers.c) ---- */

typedef struct
{
  char *uid;
  guint pieces;
  double cpus, memory_gb, run_s;
  gboolean gang;
  guint started;       /* start commands that workers carried out */
  guint8 *on_machines; /* by piece: how many machines it is on */
} Job;

typedef struct
{
  Job *job;
  guint piece;
  guint64 attempt;
  const char *status; /* as it is reported */
  const char *cause;
  double ready_at, ends_at;
} Task;

typedef struct
{
  char *name, *zone;
  const MachineType *type;
  gboolean spot, gone, reported;
  double hired_at, up_at, gone_at;
  guint64 tenure, tick, baton;
  double lease_from, next_report_at, report_sent_at, last_answer_at;
  gboolean awaits_answer;
  guint report_number, node;
  GPtrArray *tasks; /* Task */
} Machine;

extern GPtrArray *machines;       /* Machine, also those that are gone */
extern gsize longest_answer_line; /* bytes of the longest line in a response to a worker */
extern guint lines_too_long, reports_too_long, started_twice;

void workers_start (double report_s, double lease_s);
/* Says whether the worker of a machine and a controller reach each other now; NULL: always. */
extern gboolean (*worker_reaches) (const Machine *machine, guint controller);
Machine *machine_add (const MachineType *type, const char *zone, gboolean spot, double boot_s);
void machine_end (Machine *machine, const char *why);
double machine_free_cpus (const Machine *machine);
double machine_free_memory_gb (const Machine *machine);
Job *job_add (const char *uid, guint pieces, double cpus, double memory_gb, double run_s, gboolean gang);
Job *job_find (const char *uid);
/* Returns: tasks of the job that are on machines now and have the image */
guint job_count_on_machines (const Job *job);

/* ---- controllers (cluster.c) ---- */

typedef struct
{
  const char *name;
  double cpus, cpus_max;
} Team;

typedef struct
{
  guint controllers;
  const char *const *zones; /* NULL-terminated */
  const char *const *sites; /* zone of each controller */
  const Team *teams;
  guint n_teams;
  double skew_ms, report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double kv_rps, kv_write_rps, value_kb;
  guint txn_ops;
  double cloud_rps, list_lag_s;
  double cpu_share, mem_mb;
  guint sockets;
  gboolean with_links; /* controllers reach each other, the state service and the cloud through proxies */
} Deployment;

extern const Deployment *deployment;
extern guint api_ports[MAX_CONTROLLERS];
extern const char *const controller_names[MAX_CONTROLLERS];

/* Starts the controllers with `run` of the deploy file. */
void controllers_start (const Deployment *settings);
/* The two steps of controllers_start(): chooses the ports, and starts one controller. */
void controllers_prepare (const Deployment *settings);
void controller_start (guint controller);
/* The proxies: from a controller to another one, to the state service and to the cloud. */
extern Link *peer_links[MAX_CONTROLLERS][MAX_CONTROLLERS], *kv_links[MAX_CONTROLLERS], *cloud_links[MAX_CONTROLLERS];
/* Waits until every controller answers GET /ready with 200. Returns: FALSE if that takes longer */
gboolean controllers_wait_ready (double timeout_s);
/* Returns: whether the process has ended, and how in *how (transfer full) */
gboolean controller_has_ended (guint controller, char **how);
/* Returns: the controller that says of itself that it leads; -1: none */
int controller_leader (void);
void controllers_kill (void);

/* Submits a job until it is accepted. Returns: the last status */
guint user_submit (guint controller, const char *body, double timeout_s);
/* Returns: (transfer full): the body of a submission. `lane` to `urgency` as in the users' pages. */
/* Returns: (transfer full): the text with the first `from` in it replaced by `to` */
char *text_with (const char *text, const char *from, const char *to);
char *submission_new (const Job *job, const char *lane, const char *owner, const char *shape, const char *urgency,
                      double size_gb, double expect_s);
