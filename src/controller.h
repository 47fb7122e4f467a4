/* Ties the parts together: the mirror of durable records, leadership, and what a owner does over time. */
#pragma once
#include "autoscaler.h"
#include "cloud.h"
#include "dispatch.h"
#include "election.h"
#include "http.h"
#include "metrics.h"
#include "store.h"

#define HZB_KEY_MIRROR "hzb/a/"
#define HZB_KEY_OWNER "hzb/x/"
#define HZB_KEY_FLUSH "hzb/x/flush"
#define HZB_KEY_SETTINGS "hzb/a/settings"

#define HZB_TICK_MS 50

/* Of records and messages. 1: the version before; it says none. 2: cancellations are acknowledged by the owner, and
 * services can be accepted. Nothing that a version 1 would misread is written while one may be about. */
#define HZB_FORMAT 2

typedef enum
{
  HZB_MIRROR_EMPTY,
  HZB_MIRROR_LOADING,
  HZB_MIRROR_FOLLOWING
} HzbMirrorState;

/* What this node does as owner of the block. */
typedef enum
{
  HZB_OWNERSHIP_NONE,
  HZB_OWNERSHIP_LESSEE,     /* holds a block that the leader leased to it */
  HZB_OWNERSHIP_LOADING,    /* elected, reads progress and machines */
  HZB_OWNERSHIP_RECOVERING, /* some machines have not answered under our term */
  HZB_OWNERSHIP_READY
} HzbOwnershipState;

typedef struct _HzbUserApi HzbUserApi;
typedef struct _HzbCancellations HzbCancellations;
typedef struct _HzbLeases HzbLeases;
typedef struct _HzbLessee HzbLessee;
typedef struct _HzbRecords HzbRecords;
typedef struct _HzbPeers HzbPeers;
typedef struct _HzbProvisioning HzbProvisioning;

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  HzbTransport *transport;
  GRand *rand;
  HzbStore *store;
  HzbCloud *cloud;
  HzbElection *election;
  HzbJobs *jobs;
  HzbMachines *machines;
  HzbDispatch *dispatch;
  HzbAutoscaler *autoscaler;
  HzbBlock *block;
  HzbUserApi *api;
  HzbCancellations *cancellations;
  HzbLeases *leases;
  HzbLessee *lessee;
  HzbRecords *records;
  HzbMetrics *metrics;
  guint64 settings_version; /* of the operators' settings */
  gboolean lease_blocks;
  char *incarnation;
  guint format; /* of records and messages, that this process says it reads */
  HzbPeers *peers;
  HzbProvisioning *rentals;

  HzbMirrorState mirror;
  guint64 revision, mirror_load_revision;
  char *mirror_load_cursor;
  gboolean mirror_load_saw_leader, watching;
  struct timespec mirror_fresh, mirror_next;

  HzbOwnershipState ownership;
  guint64 ownership_epoch; /* told apart: answers to an earlier holding are dropped */
  char *owner_load_cursor;
  struct timespec last_tick;    /* the timer's */
  struct timespec lost_workers; /* when this node last gave way because it heard no worker */
  struct timespec redirected;   /* when a worker was last sent to the leader from here */
  struct timespec owner_since, next_plan, next_dispatch, next_summary;
} HzbController;

HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);
void hzb_controller_free (HzbController *c);
void hzb_controller_tick (HzbController *c);
void hzb_controller_request (HzbExchange *exchange, gpointer controller); /* users and workers */
gboolean hzb_controller_ready (HzbController *c);
gboolean hzb_controller_store_silent (HzbController *c);
/* Brings the mirror up to this moment; FALSE: it could not be. */
typedef void (*HzbSyncFunc) (gboolean fresh, gpointer user);
void hzb_controller_sync (HzbController *c, HzbSyncFunc done, gpointer user);
void hzb_controller_reset_mirror (HzbController *c);
void hzb_controller_apply_record (HzbController *c, const HzbItem *item);
void hzb_controller_record_completion (HzbController *c, HzbJob *job); /* all its tasks have finished */

/* What an answer belongs to: of an earlier holding it is dropped. */
typedef struct
{
  HzbController *c;
  guint64 epoch;
  gpointer data;
} HzbEpochCall;

HzbEpochCall *hzb_epoch_call_new (HzbController *c, gpointer data);

/* records.c: the owner's records of progress and machines */
HzbRecords *hzb_records_new (HzbController *c);
void hzb_records_free (HzbRecords *records);
void hzb_records_reset (HzbRecords *records);                     /* a holding begins or ends */
void hzb_records_load_finished (HzbRecords *records);             /* all there is has been taken */
void hzb_records_load (HzbRecords *records, const HzbItem *item); /* as the state service has it */
void hzb_records_flush_soon (HzbRecords *records);
void hzb_records_drop_job (HzbRecords *records, HzbJob *job);
void hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine);

/* peers.c: what the controllers tell each other */
typedef enum
{
  HZB_PEER_HEARTBEAT,
  HZB_PEER_BLOCK,
  HZB_PEER_N_KINDS
} HzbPeerKind;

HzbPeers *hzb_peers_new (HzbController *c);
void hzb_peers_free (HzbPeers *peers);
void hzb_peers_tick (HzbPeers *peers, struct timespec now);
gboolean hzb_peers_any_reachable (HzbPeers *peers);                 /* lately; or there are none */
gboolean hzb_peers_any_sends_workers (HzbPeers *peers);             /* to the leader, lately */
gboolean hzb_peers_any_lost_workers (HzbPeers *peers);              /* and gave way for it; this node too */
gboolean hzb_peers_any_reaches_store (HzbPeers *peers);             /* by the state service: an outage is ours alone */
gboolean hzb_peers_unreachable (HzbPeers *peers, const char *node); /* not heard lately; or nobody of that name */
guint hzb_peers_format (HzbPeers *peers, const char *node); /* that it last said; 1: it said none, or is silent */
gboolean hzb_peers_all_have_format (HzbPeers *peers, guint format); /* every other node has lately said so much */
gboolean hzb_peers_any_older_format (HzbPeers *peers);              /* one that is heard reads less than this process */
gboolean
hzb_peers_last_store_contact (HzbPeers *peers, const char *node, struct timespec *at); /* by the state service */
void hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running);
cJSON *hzb_peers_message (HzbPeers *peers, HzbPeerKind kind); /* says who sends it, and which one it is */
void hzb_controller_peer_request (HzbExchange *exchange, gpointer controller);

/* rentals.c: what the owner has to do with the cloud */
HzbProvisioning *hzb_provisioning_new (HzbController *c);
void hzb_provisioning_free (HzbProvisioning *rentals);
void hzb_provisioning_reset (HzbProvisioning *rentals); /* a holding begins */
void hzb_provisioning_tick (HzbProvisioning *rentals, struct timespec now);
gboolean hzb_provisioning_was_returned (HzbProvisioning *rentals, const char *machine);

/* worker API.c */
void hzb_worker_api_report (HzbController *c, HzbExchange *exchange);

/* lease.c: blocks leased to other controllers, the leader's part */
HzbLeases *hzb_leases_new (HzbController *c);
void hzb_leases_free (HzbLeases *leases);
void hzb_leases_tick (HzbLeases *leases, struct timespec now);
void hzb_leases_reset (HzbLeases *leases); /* the leader's part is over, or begins */
void hzb_leases_request (HzbLeases *leases, HzbExchange *exchange, const cJSON *root);
/* A machine without tasks has reported for the first time: whom it is leased to, or NULL. */
const char *hzb_leases_lease_idle (HzbLeases *leases, HzbMachine *machine);
/* A machine with tasks has just reported: whom it is handed over to, or NULL. */
const char *hzb_leases_hand_over (HzbLeases *leases, HzbMachine *machine);
const char *hzb_leases_lessee_name (HzbLeases *leases, const HzbMachine *machine);
guint64 hzb_leases_next_token (HzbLeases *leases);
void hzb_leases_announce_durable (HzbLeases *leases, HzbTask *task); /* of a task that a lessee has finished */
cJSON *hzb_leases_pack (HzbLeases *leases);
void hzb_leases_announce_cancellation (HzbLeases *leases, HzbJob *job);
/* Every lessee that was delegated a task of this cancelled job has acknowledged that it is. */
gboolean hzb_leases_all_acknowledged (HzbLeases *leases, const HzbJob *job);

/* lessee.c: the block that was leased to this node */
HzbLessee *hzb_lessee_new (HzbController *c);
void hzb_lessee_free (HzbLessee *lessee);
void hzb_lessee_tick (HzbLessee *lessee, struct timespec now);
void hzb_lessee_clear (HzbLessee *lessee); /* a leased holding begins or ends */
gboolean hzb_lessee_valid (HzbLessee *lessee);
void hzb_lessee_poll_soon (HzbLessee *lessee); /* something waits for the leader's answer */
void hzb_lessee_report_finished (HzbLessee *lessee, const HzbTask *task, double ran_s);
void hzb_lessee_return_machine (HzbLessee *lessee, HzbMachine *machine, const char *why);
void hzb_controller_begin_leased (HzbController *c, guint64 token);
void hzb_controller_end_leased (HzbController *c, const char *why);

/* cancellations.c: when a cancelled job may be called so */
HzbCancellations *hzb_cancellations_new (HzbController *c);
void hzb_cancellations_free (HzbCancellations *cancellations);
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);
/* No owner can act without the job's cancellation any more. */
gboolean hzb_cancellations_acknowledged (HzbCancellations *cancellations, HzbJob *job);
gboolean hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job); /* FALSE: nobody to ask just now */
cJSON *hzb_cancellations_pack_request (HzbCancellations *cancellations);           /* to the leader; NULL: none */
cJSON *hzb_cancellations_handle_request (HzbCancellations *cancellations, const cJSON *question); /* by the leader */
void hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, const cJSON *last_report);
/* The owner: all that were recorded up to this revision are effective. */
guint64 hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations);

/* api.c */
HzbUserApi *hzb_user_api_new (HzbController *c);
void hzb_user_api_free (HzbUserApi *api);
void hzb_user_api_tick (HzbUserApi *api);
void hzb_user_api_request (HzbUserApi *api, HzbExchange *exchange);

/* admin.c */
void hzb_admin_apply_settings (HzbController *c, const cJSON *value, guint64 version);
gboolean hzb_admin_request (HzbController *c, HzbExchange *exchange); /* FALSE: not its path */
