/**
 * SECTION: settings
 * @short_description: the platform's settings file and the operator's features file, checked
 *
 * Both are TOML. Keys of the settings file that this version does not know are ignored; those of the features file are
 * faults, since the file is the operator's and not the platform's.
 */
#pragma once
#include <glib.h>

/** CPUs or GPUs of a team without a limit: more than any fleet has. */
#define HZB_NO_LIMIT 1e12

/** HzbPeer: another controller. */
typedef struct
{
  char *node;    /**< its name (owned) */
  char *zone;    /**< its zone (owned) (nullable) */
  char *address; /**< where it receives messages of other controllers (owned) */
} HzbPeer;

/** HzbTeam: a team of users and its fair share. */
typedef struct
{
  char *name;      /**< its name (owned) */
  double cpus;     /**< guaranteed CPUs */
  double gpus;     /**< guaranteed GPUs */
  double cpus_max; /**< limit of CPUs, or #HZB_NO_LIMIT */
  double gpus_max; /**< limit of GPUs, or #HZB_NO_LIMIT */
} HzbTeam;

/** HzbObjective: a service-level objective. */
typedef struct
{
  char *kind;      /**< what is measured (owned) */
  char *job_class; /**< the class of jobs that it is for (owned) (nullable); NULL: all jobs */
  double within_s; /**< the time that it allows, in seconds */
  double share;    /**< the part of the cases that has to keep to it, from 0 to 1 */
  double times;    /**< the multiple of a job's deadline that it allows */
} HzbObjective;

/** HzbReconciliationSettings: what happens after a cold start, see reconciliation.h. */
typedef struct
{
  gboolean enabled;           /**< whether there is a reconciliation at all */
  gboolean barrier;           /**< no job goes on before all machines are accounted for */
  double operator_s;          /**< an operator's time to decide about a task that no record names, in seconds */
  double pace_s;              /**< commands are paced for so long, in seconds */
  double starts_per_s;        /**< start commands per second; 0: by the size of the fleet */
  guint starts_per_heartbeat; /**< start commands in a response to a heartbeat; 0: no limit */
  guint keep;                 /**< archives that are kept */
} HzbReconciliationSettings;

/**
 * HzbSettings: what both files say. Each limit of the key-value store is the lesser of what holds at the start and what
 * the platform announces for later.
 */
typedef struct
{
  char *node;      /**< name of this controller (owned) */
  char *zone;      /**< its zone (owned) */
  char *api_addr;  /**< where it receives requests of users, workers and operators (owned) */
  char *peer_addr; /**< where it receives messages of other controllers (owned) */

  char *cloud_addr; /**< the cloud (owned) */
  char *kv_addr;    /**< the key-value store (owned) */

  GPtrArray *peers;      /**< (element-type HzbPeer) the other controllers (owned) */
  GPtrArray *zones;      /**< (element-type utf8) zones of the region (owned) */
  GPtrArray *teams;      /**< (element-type HzbTeam) at least one (owned) */
  GPtrArray *objectives; /**< (element-type HzbObjective) (owned) */

  guint size;     /**< number of controllers */
  double skew_ms; /**< bound on the error of the time of day, in milliseconds */

  double heartbeat_interval_s; /**< seconds between heartbeats of a worker */
  double lease_s;              /**< a worker without responses ends its tasks after so many seconds */
  double gang_wait_s;          /**< seconds that a gang's task waits for the other tasks */
  double gang_peer_s;          /**< seconds in which a gang notices that a task is gone */
  double cancel_s;             /**< seconds in which the tasks of a cancelled job have to be gone */

  double kv_rps;       /**< requests per second that the key-value store takes */
  double kv_write_rps; /**< puts and deletes per second that it takes */
  double kv_value_kb;  /**< KiB that a value may have */
  guint kv_txn_ops;    /**< puts and deletes that a transaction may have */

  double cloud_rps;  /**< requests per second that the cloud takes */
  double list_lag_s; /**< seconds by which the cloud's inventory lags */

  double cpu_share; /**< CPUs that this process may use; 0: not said */
  double mem_mb;    /**< memory that this process may use, in MB; 0: not said */
  guint sockets;    /**< connections that this process may have open; 0: not said */

  HzbReconciliationSettings reconciliation; /**< of the features file; off without one */
} HzbSettings;

/** Domain of errors in the files. */
#define HZB_SETTINGS_ERROR (hzb_settings_error_quark ())
/**
 * Behind #HZB_SETTINGS_ERROR.
 * @return the domain
 */
GQuark hzb_settings_error_quark (void);

/** HzbSettingsError: codes of #HZB_SETTINGS_ERROR. */
typedef enum
{
  HZB_SETTINGS_ERROR_SYNTAX = 1, /**< the file is not TOML; the message says where */
  HZB_SETTINGS_ERROR_INVALID = 2 /**< keys are missing or have invalid values; the message has a line for each */
} HzbSettingsError;

/**
 * Reads the settings file.
 * @param path of the file
 * @param error (out) (optional) #HZB_SETTINGS_ERROR, or G_FILE_ERROR if the file can't be read
 * @return (transfer full) (nullable): NULL on an error
 */
HzbSettings *hzb_settings_load (const char *path, GError **error);

/**
 * Decodes the text of a settings file.
 * @param text the TOML
 * @param name of the file, for messages
 * @param error (out) (optional) #HZB_SETTINGS_ERROR
 * @return (transfer full) (nullable): NULL on an error
 */
HzbSettings *hzb_settings_parse (const char *text, const char *name, GError **error);

/**
 * Frees settings.
 * @param settings (transfer full) (nullable)
 */
void hzb_settings_free (HzbSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbSettings, hzb_settings_free)

/**
 * Reads a features file, such as those under deploy/: which features are on.
 * @param settings get the features
 * @param path of the file
 * @param error (out) (optional) #HZB_SETTINGS_ERROR, or G_FILE_ERROR if the file can't be read
 * @return FALSE on an error
 */
gboolean hzb_settings_load_features (HzbSettings *settings, const char *path, GError **error);

/**
 * Decodes the text of a features file.
 * @param settings get the features
 * @param text the TOML
 * @param name of the file, for messages
 * @param error (out) (optional) #HZB_SETTINGS_ERROR
 * @return FALSE on an error
 */
gboolean hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error);

/**
 * Looks up a team.
 * @param settings the settings
 * @param name of the team
 * @return its index among the teams; -1 if there is no such team
 */
int hzb_settings_team (const HzbSettings *settings, const char *name);
