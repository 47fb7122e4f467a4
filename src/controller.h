/* Ties the parts together: the mirror of durable records, leadership, and what a holder does over time. */
#pragma once
#include "cloud.h"
#include "dispatch.h"
#include "election.h"
#include "fleet.h"
#include "http.h"
#include "metrics.h"
#include "store.h"

#define HZB_KEY_MIRROR "hzb/a/"
#define HZB_KEY_HOLDER "hzb/x/"
#define HZB_KEY_FLUSH "hzb/x/flush"
#define HZB_KEY_SETTINGS "hzb/a/settings"

#define HZB_TICK_MS 50

/* Of records and messages. 1: the version before; it says none. 2: cancellations are acknowledged by the holder, and
 * services can be accepted. Nothing that a version 1 would misread is written while one may be about. */
#define HZB_FORMAT 2

typedef enum
{
  HZB_MIRROR_EMPTY,
  HZB_MIRROR_LOADING,
  HZB_MIRROR_FOLLOWING
} HzbMirrorState;

/* What this node does as holder of the block. */
typedef enum
{
  HZB_HOLD_NONE,
  HZB_HOLD_LEASED,     /* holds a block that the leader leased to it */
  HZB_HOLD_LOADING,    /* elected, reads progress and machines */
  HZB_HOLD_RECOVERING, /* some machines have not answered under our term */
  HZB_HOLD_FULL
} HzbHoldState;

typedef struct _HzbApi HzbApi;
typedef struct _HzbCancellations HzbCancellations;
typedef struct _HzbLeases HzbLeases;
typedef struct _HzbLessee HzbLessee;
typedef struct _HzbRecords HzbRecords;
typedef struct _HzbPeers HzbPeers;
typedef struct _HzbRentals HzbRentals;

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
  HzbFleet *fleet;
  HzbBlock *block;
  HzbApi *api;
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
  HzbRentals *rentals;

  HzbMirrorState mirror;
  guint64 revision, load_revision;
  char *load_after;
  gboolean load_saw_leader, watching;
  struct timespec mirror_fresh, mirror_next;

  HzbHoldState hold;
  guint64 hold_epoch; /* told apart: answers to an earlier holding are dropped */
  char *hold_after;
  struct timespec last_tick; /* the timer's */
  struct timespec lost_workers; /* when this node last gave way because it heard no worker */
  struct timespec redirected; /* when a worker was last sent to the leader from here */
  struct timespec hold_since, next_plan, next_dispatch, next_summary;
} HzbController;

HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);
void hzb_controller_free (HzbController *c);
void hzb_controller_tick (HzbController *c);
void hzb_controller_request (HzbExchange *exchange, gpointer controller);      /* users and workers */
gboolean hzb_controller_ready (HzbController *c);
gboolean hzb_controller_store_silent (HzbController *c);
/* Brings the mirror up to this moment; FALSE: it could not be. */
typedef void (*HzbSyncFunc) (gboolean fresh, gpointer user);
void hzb_controller_sync (HzbController *c, HzbSyncFunc done, gpointer user);
void hzb_controller_lose_mirror (HzbController *c);
void hzb_controller_take_item (HzbController *c, const HzbItem *item);
void hzb_controller_end_job (HzbController *c, HzbJob *job); /* all its tasks have finished */

/* What an answer belongs to: of an earlier holding it is dropped. */
typedef struct
{
  HzbController *c;
  guint64 epoch;
  gpointer data;
} HzbHeld;

HzbHeld *hzb_held_new (HzbController *c, gpointer data);

/* records.c: the holder's records of progress and machines */
HzbRecords *hzb_records_new (HzbController *c);
void hzb_records_free (HzbRecords *records);
void hzb_records_reset (HzbRecords *records);                    /* a holding begins or ends */
void hzb_records_loaded (HzbRecords *records);                   /* all there is has been taken */
void hzb_records_take (HzbRecords *records, const HzbItem *item); /* as the state service has it */
void hzb_records_flush_soon (HzbRecords *records);
void hzb_records_drop_job (HzbRecords *records, HzbJob *job);
void hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine);

/* peers.c: what the controllers tell each other */
typedef enum
{
  HZB_PEER_WORD,
  HZB_PEER_BLOCK,
  HZB_PEER_N_KINDS
} HzbPeerKind;

HzbPeers *hzb_peers_new (HzbController *c);
void hzb_peers_free (HzbPeers *peers);
void hzb_peers_tick (HzbPeers *peers, struct timespec now);
gboolean hzb_peers_any_heard (HzbPeers *peers);  /* lately; or there are none */
gboolean hzb_peers_any_sends_workers (HzbPeers *peers); /* to the leader, lately */
gboolean hzb_peers_any_lost_workers (HzbPeers *peers);  /* and gave way for it; this node too */
gboolean hzb_peers_any_served (HzbPeers *peers); /* by the state service: an outage is ours alone */
gboolean hzb_peers_silent (HzbPeers *peers, const char *node); /* not heard lately; or nobody of that name */
guint hzb_peers_format (HzbPeers *peers, const char *node);    /* that it last said; 1: it said none, or is silent */
gboolean hzb_peers_all_format (HzbPeers *peers, guint format); /* every other node has lately said so much */
gboolean hzb_peers_any_old (HzbPeers *peers); /* one that is heard reads less than this process */
gboolean hzb_peers_served_at (HzbPeers *peers, const char *node, struct timespec *at); /* by the state service */
void hzb_peers_display (HzbPeers *peers, const char *uid, guint *done, guint *running);
cJSON *hzb_peers_message (HzbPeers *peers, HzbPeerKind kind); /* says who sends it, and which one it is */
void hzb_controller_peer_request (HzbExchange *exchange, gpointer controller);

/* rentals.c: what the holder has to do with the cloud */
HzbRentals *hzb_rentals_new (HzbController *c);
void hzb_rentals_free (HzbRentals *rentals);
void hzb_rentals_reset (HzbRentals *rentals); /* a holding begins */
void hzb_rentals_tick (HzbRentals *rentals, struct timespec now);
gboolean hzb_rentals_returned (HzbRentals *rentals, const char *machine);

/* gateway.c */
void hzb_gateway_report (HzbController *c, HzbExchange *exchange);

/* lease.c: blocks leased to other controllers, the leader's part */
HzbLeases *hzb_leases_new (HzbController *c);
void hzb_leases_free (HzbLeases *leases);
void hzb_leases_tick (HzbLeases *leases, struct timespec now);
void hzb_leases_reset (HzbLeases *leases); /* the leader's part is over, or begins */
void hzb_leases_request (HzbLeases *leases, HzbExchange *exchange, const cJSON *root);
/* A machine without tasks has reported for the first time: whom it is lent to, or NULL. */
const char *hzb_leases_offer (HzbLeases *leases, HzbMachine *machine);
/* A machine with tasks has just reported: whom it is handed over to, or NULL. */
const char *hzb_leases_hand_over (HzbLeases *leases, HzbMachine *machine);
const char *hzb_leases_lessee (HzbLeases *leases, const HzbMachine *machine);
guint64 hzb_leases_next_token (HzbLeases *leases);
void hzb_leases_durable (HzbLeases *leases, HzbTask *task); /* of a task that a lessee has finished */
cJSON *hzb_leases_pack (HzbLeases *leases);
void hzb_leases_cancelled (HzbLeases *leases, HzbJob *job);
/* Every lessee that was granted a task of this cancelled job has acknowledged that it is. */
gboolean hzb_leases_all_told (HzbLeases *leases, const HzbJob *job);

/* lessee.c: the block that was leased to this node */
HzbLessee *hzb_lessee_new (HzbController *c);
void hzb_lessee_free (HzbLessee *lessee);
void hzb_lessee_tick (HzbLessee *lessee, struct timespec now);
void hzb_lessee_clear (HzbLessee *lessee); /* a leased holding begins or ends */
gboolean hzb_lessee_valid (HzbLessee *lessee);
void hzb_lessee_ask_soon (HzbLessee *lessee); /* something waits for the leader's answer */
void hzb_lessee_finished (HzbLessee *lessee, const HzbTask *task, double ran_s);
void hzb_lessee_give_machine (HzbLessee *lessee, HzbMachine *machine, const char *why);
void hzb_controller_begin_leased (HzbController *c, guint64 token);
void hzb_controller_end_leased (HzbController *c, const char *why);

/* cancellations.c: when a cancelled job may be called so */
HzbCancellations *hzb_cancellations_new (HzbController *c);
void hzb_cancellations_free (HzbCancellations *cancellations);
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);
/* No holder can act without the job's cancellation any more. */
gboolean hzb_cancellations_effective (HzbCancellations *cancellations, HzbJob *job);
gboolean hzb_cancellations_ask (HzbCancellations *cancellations, HzbJob *job); /* FALSE: nobody to ask just now */
cJSON *hzb_cancellations_question (HzbCancellations *cancellations);           /* to the leader; NULL: none */
cJSON *hzb_cancellations_answer (HzbCancellations *cancellations, const cJSON *question); /* by the leader */
void hzb_cancellations_answered (HzbCancellations *cancellations, guint64 term, const cJSON *heard);
/* The holder: all that were recorded up to this revision are effective. */
guint64 hzb_cancellations_clear (HzbCancellations *cancellations);

/* api.c */
HzbApi *hzb_api_new (HzbController *c);
void hzb_api_free (HzbApi *api);
void hzb_api_tick (HzbApi *api);
void hzb_api_request (HzbApi *api, HzbExchange *exchange);

/* admin.c */
void hzb_admin_apply_settings (HzbController *c, const cJSON *value, guint64 version);
gboolean hzb_admin_request (HzbController *c, HzbExchange *exchange); /* FALSE: not its path */
