/**
 * SECTION: operator-settings-codec
 * @short_description: the operators' settings, in their stored form and in that of the administration API
 *
 * Kept in one record of the key-value store, replicated by every controller and applied there at once. The one place that knows
 * their names, which are part of the stored format and of the administration API: they never change.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbOperatorSettings: as recorded; how a module rounds a value is its business. */
typedef struct
{
  double dispatch_h;             /**< weight of h/v in the dispatch rule: 0 for waiting to 1 for sojourn */
  double dispatch_sample;        /**< machines examined for one task while the dispatcher lags; a whole number */
  double dispatch_queue_ahead_s; /**< seconds of work that a run queue is filled ahead */
  double fleet_idle_s;           /**< seconds that a machine without work is kept */
  double fleet_patience;         /**< part of the time that objectives leave in which waiting work should start */
  double lease_shards;           /**< from 0.5 on: shards are leased to the other controllers */
} HzbOperatorSettings;

/** HZB_ADMIN_ERROR: domain of the errors for which a change of the settings is refused. */
#define HZB_ADMIN_ERROR (hzb_admin_error_quark ())
/** hzb_admin_error_quark: Returns: the quark of #HZB_ADMIN_ERROR */
GQuark hzb_admin_error_quark (void);

/** HzbAdminError: why a change of the settings is refused; the texts are those of the answers. */
typedef enum
{
  HZB_ADMIN_ERROR_MALFORMED,       /**< the body has no settings or no version */
  HZB_ADMIN_ERROR_UNKNOWN_SETTING, /**< a name that no setting has */
  HZB_ADMIN_ERROR_OUT_OF_RANGE,    /**< not a number, or one beyond the setting's range */
  HZB_ADMIN_ERROR_STALE_VERSION,   /**< the change was made on other settings than those that apply */
  HZB_ADMIN_ERROR_CONFLICT,        /**< another change was recorded first */
  HZB_ADMIN_ERROR_UNDECIDED,       /**< the key-value store did not answer: the change may or may not be recorded */
  HZB_ADMIN_ERROR_UNAVAILABLE      /**< the change was not recorded */
} HzbAdminError;

/** HzbSettingsChange: a change that an operator asks for. */
typedef struct
{
  guint64 version;              /**< of the settings that the operator has read */
  HzbOperatorSettings settings; /**< as they will be */
} HzbSettingsChange;

/**
 * hzb_settings_change_decode:
 * @param body the request's body
 * @param length its bytes
 * @param current what applies now, for the settings that the change does not name
 * @param change (out): the change; undefined on errors
 * @param error (out)
 *
 * @return FALSE, with #HZB_ADMIN_ERROR, if the body is not a change of settings
 */
gboolean hzb_settings_change_decode (const char *body, gsize length, const HzbOperatorSettings *current,
                                     HzbSettingsChange *change, GError **error);

/** hzb_operator_settings_sanitize: gives what is out of its range its usual value. */
void hzb_operator_settings_sanitize (HzbOperatorSettings *settings);

/** hzb_operator_settings_decode: decodes the stored form; NULL, no record: every setting has its usual value */
void hzb_operator_settings_decode (const cJSON *value, HzbOperatorSettings *settings);

/** hzb_operator_settings_encode: Returns: (transfer full): the stored form */
cJSON *hzb_operator_settings_encode (const HzbOperatorSettings *settings);

/** hzb_operator_settings_encode_answer: Returns: (transfer full): the answer that shows the settings, with their meaning */
char *hzb_operator_settings_encode_answer (const HzbOperatorSettings *settings, guint64 version);
