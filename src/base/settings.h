/* The platform's settings file, checked. Fields that this version does not know are ignored. */
#pragma once
#include <glib.h>

#define HZB_NO_LIMIT 1e12 /* CPUs or GPUs: more than any fleet has */

typedef struct
{
  char *node, *zone, *address;
} HzbPeer;

typedef struct
{
  char *name;
  double cpus, gpus;         /* guarantee */
  double cpus_max, gpus_max; /* limit, or HZB_NO_LIMIT */
} HzbTeam;

typedef struct
{
  char *kind, *job_class;
  double within_s, share, times;
} HzbObjective;

/** HzbReconciliationSettings: what happens after a cold start, see reconciliation.h. */
typedef struct
{
  gboolean enabled;
  gboolean barrier;           /* no job goes on before all machines are accounted for */
  double operator_s;          /* an operator's time to decide about a task that no record names */
  double pace_s;              /* commands are paced for so long */
  double starts_per_s;        /* 0: by the size of the fleet */
  guint starts_per_heartbeat; /* 0: no limit */
  guint keep;                 /* archives */
} HzbReconciliationSettings;

typedef struct
{
  char *node, *zone, *api_addr, *peer_addr;
  char *cloud_addr, *kv_addr;
  GPtrArray *peers;      /* HzbPeer */
  GPtrArray *zones;      /* char* */
  GPtrArray *teams;      /* HzbTeam */
  GPtrArray *objectives; /* HzbObjective */
  guint size;
  double skew_ms;
  double heartbeat_interval_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  /* Of the key-value store: the lesser of what it takes now and what it will take. */
  double kv_rps, kv_write_rps, kv_value_kb;
  guint kv_txn_ops;
  double cloud_rps, list_lag_s;
  double cpu_share, mem_mb;
  guint sockets;
  HzbReconciliationSettings reconciliation; /* of the features file; off without one */
} HzbSettings;

#define HZB_SETTINGS_ERROR (hzb_settings_error_quark ())
GQuark hzb_settings_error_quark (void);

/* On faults every one of them is in the error's message, a line each. */
HzbSettings *hzb_settings_load (const char *path, GError **error);
HzbSettings *hzb_settings_parse (const char *text, const char *name, GError **error);
void hzb_settings_free (HzbSettings *settings);

/**
 * hzb_settings_load_features: reads which features are on, from a file such as those under deploy/. Keys that are not known
 * are faults: the file is the operator's, not the platform's.
 */
gboolean hzb_settings_load_features (HzbSettings *settings, const char *path, GError **error);
gboolean hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbSettings, hzb_settings_free)
int hzb_settings_team (const HzbSettings *settings, const char *name); /* -1: unknown */
gboolean hzb_split_addr (const char *addr, char **host, guint16 *port);
