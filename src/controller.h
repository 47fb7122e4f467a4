/* Ties the parts together: the mirror of durable records, leadership, and what a holder does over time. */
#pragma once
#include "cloud.h"
#include "dispatch.h"
#include "election.h"
#include "fleet.h"
#include "http.h"
#include "store.h"

#define HZB_KEY_MIRROR "hzb/a/"
#define HZB_KEY_HOLDER "hzb/x/"
#define HZB_KEY_FLUSH "hzb/x/flush"
#define HZB_KEY_TYPES "hzb/a/types"

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
  HZB_HOLD_LOADING,    /* elected, reads progress and machines */
  HZB_HOLD_RECOVERING, /* some machines have not answered under our term */
  HZB_HOLD_FULL
} HzbHoldState;

typedef struct
{
  const HzbPeer *peer;
  gboolean asking;
  struct timespec heard;
  double store_silence;
  guint64 term;
  gboolean leads;
} HzbPeerView;

typedef struct _HzbApi HzbApi;

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
  GArray *peers; /* HzbPeerView */
  guint64 heard_term; /* the highest that a peer knew of */
  GHashTable *display; /* uid -> (done, running), by the holder's last word */

  HzbMirrorState mirror;
  guint64 revision, load_revision;
  char *load_after;
  gboolean load_saw_leader, watching;
  struct timespec mirror_fresh, mirror_next;

  HzbHoldState hold;
  guint64 hold_epoch; /* told apart: answers to an earlier holding are dropped */
  char *hold_after;
  guint64 flush_version, flush_number;
  gboolean flushing, flush_unknown;
  gboolean asking_types, listing;
  guint renting, returning;
  guint64 rent_number;
  char *list_after;
  GHashTable *gone;   /* names given back: lists lag */
  GHashTable *listed; /* names in the pages read so far */
  struct timespec list_began;
  GPtrArray *forget_keys; /* records of machines that are gone */
  struct timespec hold_since, next_list, next_types, next_plan, next_peers, next_return, next_flush, next_dispatch, next_summary;
} HzbController;

HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);
void hzb_controller_free (HzbController *c);
void hzb_controller_tick (HzbController *c);
void hzb_controller_request (HzbExchange *exchange, gpointer controller);      /* users and workers */
void hzb_controller_peer_request (HzbExchange *exchange, gpointer controller); /* other controllers */
gboolean hzb_controller_ready (HzbController *c);
void hzb_controller_take_item (HzbController *c, const HzbItem *item);
void hzb_controller_flush_soon (HzbController *c);
void hzb_controller_end_job (HzbController *c, HzbJob *job); /* all its tasks have finished */

/* gateway.c */
void hzb_gateway_report (HzbController *c, HzbExchange *exchange);

/* api.c */
HzbApi *hzb_api_new (HzbController *c);
void hzb_api_free (HzbApi *api);
void hzb_api_tick (HzbApi *api);
void hzb_api_request (HzbApi *api, HzbExchange *exchange);

/* admin.c */
gboolean hzb_admin_request (HzbController *c, HzbExchange *exchange); /* FALSE: not its path */
