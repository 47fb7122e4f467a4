/**
 * SECTION: operator-settings-codec
 * @short_description: encodes and decodes the operators' settings for the key-value store and the administration API
 *
 * One record of the key-value store holds the operators' settings. Every controller replicates the record and applies a
 * new version at once. Only this codec knows the names of the settings; the names are part of the stored format and of
 * the administration API, so they never change.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbOperatorSettings: the settings as recorded; values are rounded when they are applied to a module. */
typedef struct
{
  double dispatch_h;             /**< weight h of a task's run time in the placement rule U + h/v (search.h), from 0
                                      (minimizes waiting time) to 1 (minimizes sojourn time) */
  double dispatch_sample;        /**< machines examined for one task while the dispatcher lags; a whole number */
  double dispatch_queue_ahead_s; /**< seconds of work that a machine's run queue is filled ahead */
  double fleet_idle_s;           /**< seconds that a machine without work is kept before it is returned to the cloud */
  double fleet_slack_fraction;   /**< waiting work should start within this fraction of the time that remains until its
                                      nearest service-level objective is missed */
  double lease_shards;           /**< 0.5 or more: shards are leased to the other controllers */
} HzbOperatorSettings;

/** HZB_ADMIN_ERROR: domain of the errors for which a change of the settings is refused. */
#define HZB_ADMIN_ERROR (hzb_admin_error_quark ())
/** hzb_admin_error_quark: Returns: the quark of #HZB_ADMIN_ERROR */
GQuark hzb_admin_error_quark (void);

/** HzbAdminError: why a change of the settings is refused. The error's message is the text of the HTTP response. */
typedef enum
{
  HZB_ADMIN_ERROR_MALFORMED,       /**< the body has no settings or no version */
  HZB_ADMIN_ERROR_UNKNOWN_SETTING, /**< the body names a setting that does not exist */
  HZB_ADMIN_ERROR_OUT_OF_RANGE,    /**< the value is not a number, or is outside the setting's range */
  HZB_ADMIN_ERROR_STALE_VERSION,   /**< the change is based on a version other than the one in use */
  HZB_ADMIN_ERROR_CONFLICT,        /**< another change was recorded first */
  HZB_ADMIN_ERROR_UNDECIDED,       /**< the key-value store did not answer: the change may or may not be recorded */
  HZB_ADMIN_ERROR_UNAVAILABLE      /**< the key-value store refused the change or was not asked: it is not recorded */
} HzbAdminError;

/** HzbSettingsChange: a change that an operator requests. */
typedef struct
{
  guint64 version;              /**< version of the settings that the operator has read */
  HzbOperatorSettings settings; /**< all settings after the change */
} HzbSettingsChange;

/**
 * hzb_settings_change_decode:
 * @param body the request's body
 * @param length length of the body in bytes
 * @param current the settings in use, kept where the change does not name a setting
 * @param change (out): the change; undefined on errors
 * @param error (out)
 *
 * @return FALSE, with #HZB_ADMIN_ERROR, if the body is not a change of settings
 */
gboolean hzb_settings_change_decode (const char *body, gsize length, const HzbOperatorSettings *current,
                                     HzbSettingsChange *change, GError **error);

/** hzb_operator_settings_sanitize: replaces each value outside its setting's range by the default. */
void hzb_operator_settings_sanitize (HzbOperatorSettings *settings);

/**
 * hzb_operator_settings_decode:
 * Decodes the stored form. A missing or invalid setting gets its default.
 *
 * @param value (nullable) the stored form; NULL: there is no record, so every setting gets its default
 * @param settings (out)
 */
void hzb_operator_settings_decode (const cJSON *value, HzbOperatorSettings *settings);

/** hzb_operator_settings_encode: Returns: (transfer full): the stored form */
cJSON *hzb_operator_settings_encode (const HzbOperatorSettings *settings);

/**
 * hzb_operator_settings_encode_response: Returns: (transfer full): the body of the HTTP response that shows the
 * settings, their version and the meaning of each
 */
char *hzb_operator_settings_encode_response (const HzbOperatorSettings *settings, guint64 version);
