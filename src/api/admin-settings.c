/* The operators' settings on this controller. They are applied when the replica of the records delivers them, or when a
 * change that was requested here has been recorded.
 *
 * A change names the version of the settings that it is based on, so that of two concurrent changes one is refused. */
#include "admin-private.h"

#include "kv-protocol.h"
#include "record-keys.h"

static void
apply_settings (HzbAdmin *admin, const HzbOperatorSettings *settings)
{
  admin->dependencies.dispatch->h = settings->dispatch_h;
  admin->dependencies.dispatch->sample_size = (guint) settings->dispatch_sample;
  admin->dependencies.dispatch->queue_ahead_s = settings->dispatch_queue_ahead_s;
  admin->dependencies.autoscaler->max_idle_s = settings->fleet_idle_s;
  admin->dependencies.autoscaler->start_slack_fraction = settings->fleet_slack_fraction;
  *admin->dependencies.lease_shards = settings->lease_shards >= 0.5;
}

static HzbOperatorSettings
current_settings (HzbAdmin *admin)
{
  HzbOperatorSettings settings = {
    .dispatch_h = admin->dependencies.dispatch->h,
    .dispatch_sample = admin->dependencies.dispatch->sample_size,
    .dispatch_queue_ahead_s = admin->dependencies.dispatch->queue_ahead_s,
    .fleet_idle_s = admin->dependencies.autoscaler->max_idle_s,
    .fleet_slack_fraction = admin->dependencies.autoscaler->start_slack_fraction,
    .lease_shards = *admin->dependencies.lease_shards,
  };
  return settings;
}

static void
log_applied_settings (guint64 version)
{
  g_message ("applied the operators' settings of revision %" G_GUINT64_FORMAT, version);
}

void
hzb_admin_apply_settings (HzbAdmin *admin, const HzbKvEntry *entry)
{
  HzbOperatorSettings settings;

  if (entry->version <= admin->settings_version)
    return;
  admin->settings_version = entry->version;
  hzb_operator_settings_decode (entry->value, &settings);
  apply_settings (admin, &settings);
  if (entry->value)
    log_applied_settings (entry->version);
}

char *
hzb_admin_settings_encode (HzbAdmin *admin)
{
  HzbOperatorSettings settings = current_settings (admin);
  return hzb_operator_settings_encode_response (&settings, admin->settings_version);
}

/* ---- changes ---- */

static void
refuse_with_error (HzbHttpRequest *http_request, const GError *error)
{
  static const guint statuses[] = {
    [HZB_ADMIN_ERROR_MALFORMED] = 400,    [HZB_ADMIN_ERROR_UNKNOWN_SETTING] = 400,
    [HZB_ADMIN_ERROR_OUT_OF_RANGE] = 400, [HZB_ADMIN_ERROR_STALE_VERSION] = 409,
    [HZB_ADMIN_ERROR_CONFLICT] = 409,     [HZB_ADMIN_ERROR_UNDECIDED] = 503,
    [HZB_ADMIN_ERROR_UNAVAILABLE] = 503,
  };
  g_assert (error->domain == HZB_ADMIN_ERROR);
  hzb_admin_refuse (http_request, statuses[error->code], "%s", error->message);
}

/* A change of the settings whose transaction the key-value store has not answered yet. */
typedef struct
{
  HzbAdmin *admin;
  HzbHttpRequest *http_request;
  HzbOperatorSettings settings;
} PendingChange;

static void
apply_recorded_change (PendingChange *change, guint64 revision)
{
  HzbAdmin *admin = change->admin;

  /* The replica of the records may have delivered this change, or a later one, before the key-value store's answer. */
  if (revision <= admin->settings_version)
    return;
  admin->settings_version = revision;
  hzb_operator_settings_sanitize (&change->settings);
  apply_settings (admin, &change->settings);
  log_applied_settings (revision);
}

static GError *
transaction_error (HzbKvResult result)
{
  if (result == HZB_KV_CONFLICT)
    return g_error_new_literal (HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_CONFLICT,
                                "the settings have been changed meanwhile: read them again");
  if (result == HZB_KV_UNKNOWN)
    return g_error_new_literal (HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_UNDECIDED,
                                "it is not known whether the change was made: read the settings");
  return g_error_new_literal (HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_UNAVAILABLE, "the state service can't be asked");
}

static void
on_settings_committed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree PendingChange *change = user;
  guint64 revision = 0;

  if (result == HZB_KV_OK)
    {
      hzb_kv_commit_decode (body, &revision, NULL);
      apply_recorded_change (change, revision);
      hzb_admin_reply (change->http_request, hzb_admin_settings_encode (change->admin));
    }
  else
    {
      g_autoptr (GError) error = transaction_error (result);
      refuse_with_error (change->http_request, error);
    }
}

static void
commit_settings (HzbAdmin *admin, HzbHttpRequest *http_request, const HzbOperatorSettings *settings)
{
  PendingChange *change = g_new0 (PendingChange, 1);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  change->admin = admin;
  change->http_request = http_request;
  change->settings = *settings;
  hzb_kv_transaction_compare (transaction, HZB_KEY_SETTINGS, admin->settings_version);
  hzb_kv_transaction_put (transaction, HZB_KEY_SETTINGS, hzb_operator_settings_encode (settings), 0);
  hzb_kv_client_commit (admin->dependencies.kv, HZB_KV_ACCEPT, transaction, on_settings_committed, change);
}

static gboolean
check_version (const HzbAdmin *admin, const HzbSettingsChange *change, GError **error)
{
  if (change->version == admin->settings_version)
    return TRUE;
  g_set_error (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_STALE_VERSION,
               "version: the settings are at %" G_GUINT64_FORMAT ": read them again", admin->settings_version);
  return FALSE;
}

void
hzb_admin_settings_change (HzbAdmin *admin, HzbHttpRequest *http_request)
{
  HzbOperatorSettings current = current_settings (admin);
  HzbSettingsChange change;
  g_autoptr (GError) error = NULL;

  if (hzb_settings_change_decode (http_request->body, http_request->length, &current, &change, &error)
      && check_version (admin, &change, &error))
    commit_settings (admin, http_request, &change.settings);
  else
    refuse_with_error (http_request, error);
}
