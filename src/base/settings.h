/**
 * SECTION: settings
 * @short_description: reads and checks the platform's settings file and the operator's features file
 *
 * Both files are TOML. Keys that this version does not know are ignored in the settings file, which the platform
 * writes, but are faults in the features file, which the operator writes.
 */
#pragma once
#include <glib.h>

/** Limit of CPUs or GPUs for a team without a limit: a number that exceeds the size of any fleet. */
#define HZB_NO_LIMIT 1e12

/** HzbPeer: another controller. */
typedef struct
{
  char *node;    /**< name of the controller (owned) */
  char *zone;    /**< zone of the controller (owned) (nullable) */
  char *address; /**< address at which it receives messages of other controllers (owned) */
} HzbPeer;

/** HzbTeam: a team of users, with its guarantee and limit. */
typedef struct
{
  char *name;      /**< name of the team (owned) */
  double cpus;     /**< guaranteed CPUs */
  double gpus;     /**< guaranteed GPUs */
  double cpus_max; /**< maximum number of CPUs, or #HZB_NO_LIMIT */
  double gpus_max; /**< maximum number of GPUs, or #HZB_NO_LIMIT */
} HzbTeam;

/** HzbObjective: a service-level objective. */
typedef struct
{
  char *kind;             /**< the measured quantity, such as "wait", "finished" or "deadline" (owned) */
  char *job_class;        /**< class of jobs to which the objective applies (owned) (nullable); NULL: it names none */
  double within_s;        /**< the allowed time, in seconds */
  double required_ratio;  /**< the fraction of cases that must meet the objective, from 0 to 1 */
  double deadline_factor; /**< the allowed time as a multiple of a job's deadline */
} HzbObjective;

/** HzbReconciliationSettings: the reconciliation after a cold start, see reconciliation.h. */
typedef struct
{
  gboolean enabled;           /**< whether a cold start is followed by a reconciliation */
  gboolean barrier;           /**< whether no job resumes before all machines are accounted for */
  double operator_timeout_s;  /**< seconds that a task which no record names waits for an operator to decide */
  double pace_s;              /**< time for which commands are paced after a cold start, in seconds */
  double starts_per_s;        /**< maximum start commands per second; 0: depends on the size of the fleet */
  guint starts_per_heartbeat; /**< maximum start commands in a response to a heartbeat; 0: no limit */
  guint max_archives;         /**< maximum number of stored archives of reconciliations */
} HzbReconciliationSettings;

/**
 * HzbSettings: the settings of both files. If the platform announces that a limit of the key-value store will change,
 * the setting is the lower of the current and the announced limit.
 */
typedef struct
{
  char *node;      /**< name of this controller (owned) */
  char *zone;      /**< zone of this controller (owned) */
  char *api_addr;  /**< address at which it receives requests of users, workers and operators (owned) */
  char *peer_addr; /**< address at which it receives messages of other controllers (owned) */

  char *cloud_addr; /**< address of the cloud (owned) */
  char *kv_addr;    /**< address of the key-value store (owned) */

  GPtrArray *peers;      /**< (element-type HzbPeer) the other controllers (owned) */
  GPtrArray *zones;      /**< (element-type utf8) zones of the region (owned) */
  GPtrArray *teams;      /**< (element-type HzbTeam) teams, at least one (owned) */
  GPtrArray *objectives; /**< (element-type HzbObjective) service-level objectives (owned) */

  guint cluster_size; /**< number of controllers, including this one */
  double skew_ms;     /**< maximum error of the wall clock, in milliseconds */

  double heartbeat_interval_s; /**< time between heartbeats of a worker, in seconds */
  double lease_s;              /**< time after which a worker without responses ends its tasks, in seconds */
  double gang_wait_s;          /**< time that a gang's task waits for the other tasks, in seconds */
  double gang_peer_s;          /**< time within which a gang detects the loss of a task, in seconds */
  double cancel_s;             /**< time within which the tasks of a cancelled job must end, in seconds */

  double kv_rps;       /**< maximum requests per second to the key-value store */
  double kv_write_rps; /**< maximum puts and deletes per second */
  double kv_value_kb;  /**< maximum size of a value, in KiB */
  guint kv_txn_ops;    /**< maximum puts and deletes in a transaction */

  double cloud_rps;  /**< maximum requests per second to the cloud */
  double list_lag_s; /**< time by which the cloud's inventory lags behind its actual state, in seconds */

  double cpu_share; /**< CPUs that this process may use; 0: not given */
  double mem_mb;    /**< memory that this process may use, in MB; 0: not given */
  guint sockets;    /**< maximum open connections of this process; 0: not given */

  HzbReconciliationSettings reconciliation; /**< settings of the features file; disabled without the file */
} HzbSettings;

/** Domain of errors in the settings file and the features file. */
#define HZB_SETTINGS_ERROR (hzb_settings_error_quark ())
/**
 * Returns the domain of #HZB_SETTINGS_ERROR.
 * @return the domain
 */
GQuark hzb_settings_error_quark (void);

/** HzbSettingsError: codes of #HZB_SETTINGS_ERROR. */
typedef enum
{
  HZB_SETTINGS_ERROR_SYNTAX = 1, /**< the file is not TOML; the message gives the line */
  HZB_SETTINGS_ERROR_INVALID = 2 /**< keys are missing or have invalid values; the message has a line for each key */
} HzbSettingsError;

/**
 * Reads the settings file.
 * @param path path of the file
 * @param error (out) (optional) #HZB_SETTINGS_ERROR, or G_FILE_ERROR if the file can't be read
 * @return (transfer full) (nullable): the settings; NULL on an error
 */
HzbSettings *hzb_settings_load (const char *path, GError **error);

/**
 * Decodes the text of a settings file.
 * @param text the TOML text
 * @param name name of the file, for error messages
 * @param error (out) (optional) #HZB_SETTINGS_ERROR
 * @return (transfer full) (nullable): the settings; NULL on an error
 */
HzbSettings *hzb_settings_parse (const char *text, const char *name, GError **error);

/**
 * Frees settings.
 * @param settings (transfer full) (nullable) the settings
 */
void hzb_settings_free (HzbSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbSettings, hzb_settings_free)

/**
 * Reads a features file, such as those under deploy/, which enables and configures optional features.
 * @param settings the settings to which the features are added
 * @param path path of the file
 * @param error (out) (optional) #HZB_SETTINGS_ERROR, or G_FILE_ERROR if the file can't be read
 * @return FALSE on an error
 */
gboolean hzb_settings_load_features (HzbSettings *settings, const char *path, GError **error);

/**
 * Decodes the text of a features file.
 * @param settings the settings to which the features are added
 * @param text the TOML text
 * @param name name of the file, for error messages
 * @param error (out) (optional) #HZB_SETTINGS_ERROR
 * @return FALSE on an error
 */
gboolean hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error);

/**
 * Looks up a team.
 * @param settings the settings
 * @param name name of the team
 * @return index of the team in `teams`; -1 if there is no such team
 */
int hzb_settings_find_team (const HzbSettings *settings, const char *name);
