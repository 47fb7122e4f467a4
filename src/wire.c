#include "wire.h"

#include <math.h>
#include <string.h>

const char hzb_path_jobs[] = "/api/jobs";
const char hzb_path_cancel[] = "/cancel";
const char hzb_path_ready[] = "/ready";
const char hzb_path_worker_heartbeat[] = "/hello";
const char hzb_path_types[] = "/machine_types";
const char hzb_path_rent[] = "/hosts";
const char hzb_path_return[] = "/hosts/return";
const char hzb_path_txn[] = "/multi";
const char hzb_path_leases[] = "/leases";

static const char *const kind_names[HZB_JOB_N_KINDS] = { "sweep", "ensemble", "standing" };
static const char *const priority_names[] = { "idle", "normal", "urgent", "production" };
static const char *const piece_states[] = { "fetching", "gathering", "running", "saving", "ended" };
static const char *const whys[] = {
  "", "done", "stopped", "mates_gone", "alone", "error", "full", "in_use", "no_such"
};

GQuark
hzb_wire_error_quark (void)
{
  return g_quark_from_static_string ("hzb-wire-error");
}

/* ---- helpers ---- */

/* Returns: the index of the text among the names; -1: it is none of them. */
static int
index_of (const char *text, const char *const *names, guint n)
{
  for (guint i = 0; i < n; i++)
    if (g_strcmp0 (text, names[i]) == 0)
      return (int) i;
  return -1;
}

guint64
hzb_json_u64 (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  if (!cJSON_IsNumber (item) || !(item->valuedouble >= 0) || item->valuedouble >= 18446744073709551616.0)
    return 0;
  return (guint64) item->valuedouble;
}

double
hzb_json_number (const cJSON *object, const char *name, double fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsNumber (item) ? item->valuedouble : fallback;
}

const char *
hzb_json_text (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsString (item) ? item->valuestring : NULL;
}

/* Raw, since cJSON would write a large number with an exponent. */
void
hzb_json_add_u64 (cJSON *object, const char *name, guint64 value)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  cJSON_AddRawToObject (object, name, text);
}

static char *
print (cJSON *root)
{
  char *text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

static char **
text_list (const cJSON *array)
{
  g_autoptr (GStrvBuilder) out = g_strv_builder_new ();
  const cJSON *item;
  cJSON_ArrayForEach (item, array)
    if (cJSON_IsString (item))
      g_strv_builder_add (out, item->valuestring);
  return g_strv_builder_end (out);
}

void
hzb_job_spec_free (HzbJobSpec *spec)
{
  if (!spec)
    return;
  g_free (spec->uid);
  g_free (spec->job_class);
  g_free (spec->team);
  g_clear_pointer (&spec->image, g_ref_string_release);
  g_strfreev (spec->types);
  g_free (spec->zone);
  g_free (spec);
}

void
hzb_machine_type_free (HzbMachineType *type)
{
  g_free (type->name);
  g_strfreev (type->zones);
  g_free (type);
}

void
hzb_worker_heartbeat_free (HzbWorkerHeartbeat *heartbeat)
{
  if (!heartbeat)
    return;
  g_free (heartbeat->host);
  g_free (heartbeat->addr);
  g_free (heartbeat->type);
  g_free (heartbeat->zone);
  g_array_unref (heartbeat->task_statuses);
  g_free (heartbeat);
}

void
hzb_cloud_instance_free (HzbCloudInstance *instance)
{
  g_free (instance->name);
  g_free (instance->addr);
  g_free (instance->type);
  g_free (instance->zone);
  g_free (instance);
}

void
hzb_kv_entry_clear (HzbKvEntry *item)
{
  g_clear_pointer (&item->key, g_free);
  g_clear_pointer (&item->value, cJSON_Delete);
}

/* ---- users ---- */

gboolean
hzb_wire_uid_ok (const char *uid)
{
  gsize digits = 0;
  if (!uid || !g_str_has_prefix (uid, "run-"))
    return FALSE;
  for (uid += 4; g_ascii_isdigit (*uid); uid++)
    digits++;
  return *uid == '\0' && digits >= 6 && digits <= 12;
}

static gboolean
bad (GError **error, const char *field, const char *expected)
{
  g_set_error (error, HZB_WIRE_ERROR, 400, "%s: expected %s", field, expected);
  return FALSE;
}

static gboolean
take_text (const cJSON *root, const char *field, char **out, GError **error)
{
  const char *text = hzb_json_text (root, field);
  if (!text || !*text || strlen (text) > 200)
    return bad (error, field, "a text of 1 to 200 bytes");
  *out = g_strdup (text);
  return TRUE;
}

static gboolean
take_number (const cJSON *root, const char *field, double least, gboolean above, double *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!cJSON_IsNumber (item) || !isfinite (item->valuedouble) || item->valuedouble < least
      || (above && item->valuedouble <= least) || item->valuedouble > 1e9)
    return bad (error, field, above ? "a number above 0" : "a number of at least 0");
  *out = item->valuedouble;
  return TRUE;
}

static gboolean
take_flag (const cJSON *root, const char *field, gboolean *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!cJSON_IsBool (item))
    return bad (error, field, "true or false");
  *out = cJSON_IsTrue (item);
  return TRUE;
}

static gboolean
take_priority (const cJSON *root, HzbPriority *out, GError **error)
{
  const char *text = hzb_json_text (root, "urgency");
  for (guint i = 0; i < HZB_N_PRIORITIES; i++)
    if (g_strcmp0 (text, priority_names[i]) == 0)
      {
        *out = (HzbPriority) i;
        return TRUE;
      }
  return bad (error, "urgency", "production, urgent, normal or idle");
}

static gboolean
fill_spec (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  const cJSON *item;
  int kind;
  g_autofree char *image = NULL;
  double tasks = 0;

  if (!hzb_wire_uid_ok (hzb_json_text (root, "uid")))
    return bad (error, "uid", "an id such as run-000412");
  spec->uid = g_strdup (hzb_json_text (root, "uid"));
  kind = index_of (hzb_json_text (root, "shape"), kind_names, HZB_JOB_N_KINDS);
  if (kind < 0)
    return bad (error, "shape", "sweep, ensemble or standing");
  spec->kind = (HzbJobKind) kind;
  if (!take_text (root, "lane", &spec->job_class, error) || !take_text (root, "owner", &spec->team, error)
      || !take_priority (root, &spec->priority, error) || !take_number (root, "pieces", 0, TRUE, &tasks, error)
      || !take_number (root, "cpus", 0, FALSE, &spec->cpus, error)
      || !take_number (root, "gpus", 0, FALSE, &spec->gpus, error)
      || !take_number (root, "ramGb", 0, FALSE, &spec->memory_gb, error) || !take_text (root, "bundle", &image, error)
      || !take_number (root, "sizeGb", 0, FALSE, &spec->image_gb, error)
      || !take_flag (root, "samePlace", &spec->same_zone, error) || !take_flag (root, "spread", &spec->spread, error)
      || !take_flag (root, "loaners", &spec->spot, error)
      || !take_number (root, "expectS", 0, spec->kind != HZB_JOB_SERVICE, &spec->estimate_s, error)
      || !take_number (root, "snapshotEveryS", 0, FALSE, &spec->checkpoint_interval_s, error)
      || !take_number (root, "snapshotS", 0, FALSE, &spec->checkpoint_duration_s, error))
    return FALSE;
  if (tasks != floor (tasks) || tasks > HZB_MAX_TASKS)
    return bad (error, "pieces", "a whole number from 1 to 100000");
  spec->tasks = (guint) tasks;
  spec->image = g_ref_string_new_intern (image);
  item = cJSON_GetObjectItemCaseSensitive (root, "flavors");
  if (item && !cJSON_IsNull (item))
    {
      const cJSON *entry;
      if (!cJSON_IsArray (item))
        return bad (error, "flavors", "a list of machine types, or null");
      cJSON_ArrayForEach (entry, item)
        if (!cJSON_IsString (entry))
          return bad (error, "flavors", "a list of machine types, or null");
      spec->types = text_list (item);
    }
  item = cJSON_GetObjectItemCaseSensitive (root, "yard");
  if (item && !cJSON_IsNull (item) && !take_text (root, "yard", &spec->zone, error))
    return FALSE;
  item = cJSON_GetObjectItemCaseSensitive (root, "dueS");
  if (item && !cJSON_IsNull (item) && !take_number (root, "dueS", 0, TRUE, &spec->deadline_s, error))
    return FALSE;
  return TRUE;
}

HzbJobSpec *
hzb_wire_parse_job (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  cJSON *root;
  gboolean ok;

  if (length > HZB_MAX_BODY)
    {
      g_set_error (error, HZB_WIRE_ERROR, 400, "the body is over 64 KiB");
      return NULL;
    }
  root = body ? cJSON_ParseWithLength (body, length) : NULL;
  if (!cJSON_IsObject (root))
    {
      cJSON_Delete (root);
      g_set_error (error, HZB_WIRE_ERROR, 400, "the body is not a JSON object");
      return NULL;
    }
  ok = fill_spec (spec, root, error);
  cJSON_Delete (root);
  return ok ? g_steal_pointer (&spec) : NULL;
}

char *
hzb_wire_job_status (const char *uid, const char *status, gboolean counts, guint done, guint running)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "uid", uid);
  cJSON_AddStringToObject (root, "status", status);
  if (counts)
    {
      cJSON_AddNumberToObject (root, "done", done);
      cJSON_AddNumberToObject (root, "running", running);
    }
  return print (root);
}

char *
hzb_wire_error (const char *text)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "error", text);
  return print (root);
}

/* The durable form is the submission itself, so one reader checks both. */
cJSON *
hzb_wire_pack_spec (const HzbJobSpec *spec)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "uid", spec->uid);
  cJSON_AddStringToObject (root, "lane", spec->job_class);
  cJSON_AddStringToObject (root, "owner", spec->team);
  cJSON_AddStringToObject (root, "shape", kind_names[spec->kind]);
  cJSON_AddStringToObject (root, "urgency", priority_names[spec->priority]);
  cJSON_AddNumberToObject (root, "pieces", spec->tasks);
  cJSON_AddNumberToObject (root, "cpus", spec->cpus);
  cJSON_AddNumberToObject (root, "gpus", spec->gpus);
  cJSON_AddNumberToObject (root, "ramGb", spec->memory_gb);
  cJSON_AddStringToObject (root, "bundle", spec->image);
  cJSON_AddNumberToObject (root, "sizeGb", spec->image_gb);
  if (spec->types)
    cJSON_AddItemToObject (
        root, "flavors",
        cJSON_CreateStringArray ((const char *const *) spec->types, (int) g_strv_length (spec->types)));
  if (spec->zone)
    cJSON_AddStringToObject (root, "yard", spec->zone);
  cJSON_AddBoolToObject (root, "samePlace", spec->same_zone);
  cJSON_AddBoolToObject (root, "spread", spec->spread);
  cJSON_AddBoolToObject (root, "loaners", spec->spot);
  cJSON_AddNumberToObject (root, "expectS", spec->estimate_s);
  cJSON_AddNumberToObject (root, "snapshotEveryS", spec->checkpoint_interval_s);
  cJSON_AddNumberToObject (root, "snapshotS", spec->checkpoint_duration_s);
  if (spec->deadline_s > 0)
    cJSON_AddNumberToObject (root, "dueS", spec->deadline_s);
  return root;
}

HzbJobSpec *
hzb_wire_unpack_spec (const char *uid, const cJSON *value)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  if (!fill_spec (spec, value, NULL) || !g_str_equal (spec->uid, uid))
    return NULL;
  return g_steal_pointer (&spec);
}

/* ---- workers ---- */

static void
piece_clear (gpointer data)
{
  g_free (((HzbTaskStatus *) data)->uid);
}

HzbWorkerHeartbeat *
hzb_wire_parse_worker_heartbeat (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbWorkerHeartbeat) heartbeat = g_new0 (HzbWorkerHeartbeat, 1);
  cJSON *root = body ? cJSON_ParseWithLength (body, length) : NULL;
  const cJSON *item;

  heartbeat->task_statuses = g_array_new (FALSE, TRUE, sizeof (HzbTaskStatus));
  g_array_set_clear_func (heartbeat->task_statuses, piece_clear);
  heartbeat->host = g_strdup (hzb_json_text (root, "host"));
  heartbeat->addr = g_strdup (hzb_json_text (root, "addr"));
  heartbeat->type = g_strdup (hzb_json_text (root, "flavor"));
  heartbeat->zone = g_strdup (hzb_json_text (root, "yard"));
  heartbeat->spot = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "loaners"));
  heartbeat->agent_epoch = hzb_json_u64 (root, "tenure");
  heartbeat->sequence = hzb_json_u64 (root, "tick");
  heartbeat->fencing_token = hzb_json_u64 (root, "baton");
  heartbeat->notice_s = hzb_json_number (root, "reclaimInS", -1);
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "pieces"))
    {
      HzbTaskStatus task_status = { 0 };
      const char *name = hzb_json_text (item, "piece");
      const char *slash = name ? strrchr (name, '/') : NULL;
      int state = index_of (hzb_json_text (item, "status"), piece_states, G_N_ELEMENTS (piece_states));
      int why = index_of (hzb_json_text (item, "cause"), whys, G_N_ELEMENTS (whys));
      guint64 task;
      if (!slash || state < 0 || !g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
        continue;
      task_status.uid = g_strndup (name, (gsize) (slash - name));
      task_status.task = (guint) task;
      task_status.attempt = hzb_json_u64 (item, "try");
      task_status.state = (HzbReportedTaskState) state;
      task_status.exit_cause = why < 0 ? HZB_EXIT_NONE : (HzbExitCause) why;
      task_status.checkpoint_saved = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "stored"));
      g_array_append_val (heartbeat->task_statuses, task_status);
    }
  cJSON_Delete (root);
  if (!heartbeat->host || !heartbeat->addr || !heartbeat->type || !heartbeat->zone || !heartbeat->agent_epoch)
    {
      g_set_error (error, HZB_WIRE_ERROR, 400, "not a worker's report");
      return NULL;
    }
  return g_steal_pointer (&heartbeat);
}

char *
hzb_wire_commands (guint64 fencing_token, const GArray *commands)
{
  static const char *const verbs[] = { "run", "kill", "reap" };
  cJSON *root = cJSON_CreateObject (), *list;

  hzb_json_add_u64 (root, "baton", fencing_token);
  list = cJSON_AddArrayToObject (root, "orders");
  for (guint i = 0; commands && i < commands->len; i++)
    {
      const HzbCommand *command = &g_array_index (commands, HzbCommand, i);
      cJSON *item = cJSON_CreateObject ();
      char name[64];
      g_snprintf (name, sizeof name, "%s/%u", command->uid, command->task);
      cJSON_AddStringToObject (item, "verb", verbs[command->kind]);
      cJSON_AddStringToObject (item, "piece", name);
      hzb_json_add_u64 (item, "try", command->attempt);
      if (command->kind == HZB_COMMAND_STOP)
        cJSON_AddNumberToObject (item, "windDownS", command->grace_s);
      cJSON_AddItemToArray (list, item);
    }
  return print (root);
}

char *
hzb_wire_redirect (const char *node)
{
  cJSON *root = cJSON_CreateObject ();
  if (node)
    cJSON_AddStringToObject (root, "steward", node);
  return print (root);
}

/* ---- cloud ---- */

static GPtrArray *
unpack_types (const cJSON *value)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (value, "flavors");
  GPtrArray *types;

  if (!cJSON_IsArray (list))
    return NULL;
  types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);
  cJSON_ArrayForEach (item, list)
    {
      HzbMachineType *type;
      if (!hzb_json_text (item, "sku"))
        continue;
      type = g_new0 (HzbMachineType, 1);
      type->name = g_strdup (hzb_json_text (item, "sku"));
      type->cpus = hzb_json_number (item, "cpus", 0);
      type->gpus = hzb_json_number (item, "gpus", 0);
      type->memory_gb = hzb_json_number (item, "ramGb", 0);
      type->cache_gb = hzb_json_number (item, "localGb", 0);
      type->fetch_gb_per_s = hzb_json_number (item, "pullGbPerS", 1);
      type->price = hzb_json_number (item, "price", 0);
      type->spot_price = hzb_json_number (item, "lowPrice", type->price);
      type->boot_s = hzb_json_number (item, "readyS", 60);
      type->zones = text_list (cJSON_GetObjectItemCaseSensitive (item, "yards"));
      g_ptr_array_add (types, type);
    }
  return types;
}

GPtrArray *
hzb_wire_parse_types (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  GPtrArray *types = unpack_types (root);
  cJSON_Delete (root);
  return types;
}

char *
hzb_wire_rent (const char *request, const char *type, const char *zone, gboolean spot, guint count)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "hire", request);
  cJSON_AddStringToObject (root, "flavor", type);
  cJSON_AddStringToObject (root, "yard", zone);
  cJSON_AddBoolToObject (root, "loaners", spot);
  cJSON_AddNumberToObject (root, "count", count);
  return print (root);
}

GPtrArray *
hzb_wire_parse_names (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, "hosts");
  GPtrArray *names = NULL;

  if (cJSON_IsArray (list))
    {
      names = g_ptr_array_new_with_free_func (g_free);
      cJSON_ArrayForEach (item, list)
        if (cJSON_IsString (item))
          g_ptr_array_add (names, g_strdup (item->valuestring));
    }
  cJSON_Delete (root);
  return names;
}

char *
hzb_wire_return (const GPtrArray *names)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "hosts");
  for (guint i = 0; i < names->len; i++)
    cJSON_AddItemToArray (list, cJSON_CreateString (names->pdata[i]));
  return print (root);
}

char *
hzb_wire_list_path (const char *after, guint limit)
{
  g_autofree char *escaped = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  return escaped ? g_strdup_printf ("/hosts?since=%s&page=%u", escaped, limit)
                 : g_strdup_printf ("/hosts?page=%u", limit);
}

GPtrArray *
hzb_wire_parse_list (const char *body, gboolean *more)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, "hosts");
  GPtrArray *machines = NULL;

  if (cJSON_IsArray (list))
    {
      machines = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_cloud_instance_free);
      *more = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "hasNext"));
      cJSON_ArrayForEach (item, list)
        {
          HzbCloudInstance *instance;
          const char *state = hzb_json_text (item, "status");
          if (!hzb_json_text (item, "uid"))
            continue;
          instance = g_new0 (HzbCloudInstance, 1);
          instance->name = g_strdup (hzb_json_text (item, "uid"));
          instance->addr = g_strdup (hzb_json_text (item, "addr"));
          instance->type = g_strdup (hzb_json_text (item, "flavor"));
          instance->zone = g_strdup (hzb_json_text (item, "yard"));
          instance->spot = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "loaners"));
          instance->state = g_strcmp0 (state, "failed") == 0    ? HZB_CLOUD_INSTANCE_FAILED
                            : g_strcmp0 (state, "running") == 0 ? HZB_CLOUD_INSTANCE_RUNNING
                                                                : HZB_CLOUD_INSTANCE_STARTING;
          instance->age_s = hzb_json_number (item, "ageS", 0);
          g_ptr_array_add (machines, instance);
        }
    }
  cJSON_Delete (root);
  return machines;
}

/* ---- key-value store ---- */

cJSON *
hzb_wire_txn (void)
{
  cJSON *txn = cJSON_CreateObject ();
  cJSON_AddArrayToObject (txn, "when");
  cJSON_AddArrayToObject (txn, "then");
  return txn;
}

void
hzb_wire_txn_if (cJSON *txn, const char *key, guint64 version)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "path", key);
  hzb_json_add_u64 (item, "stamp", version);
  cJSON_AddItemToArray (cJSON_GetObjectItemCaseSensitive (txn, "when"), item);
}

void
hzb_wire_txn_put (cJSON *txn, const char *key, cJSON *value, guint64 lease)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "put", key);
  cJSON_AddItemToObject (item, "value", value);
  if (lease)
    hzb_json_add_u64 (item, "permit", lease);
  cJSON_AddItemToArray (cJSON_GetObjectItemCaseSensitive (txn, "then"), item);
}

void
hzb_wire_txn_delete (cJSON *txn, const char *key)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "remove", key);
  cJSON_AddItemToArray (cJSON_GetObjectItemCaseSensitive (txn, "then"), item);
}

guint
hzb_wire_txn_writes (const cJSON *txn)
{
  return (guint) cJSON_GetArraySize (cJSON_GetObjectItemCaseSensitive (txn, "then"));
}

gboolean
hzb_wire_parse_txn (const char *body, guint64 *revision, GPtrArray **failed)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *item;
  gboolean ok = cJSON_IsObject (root);

  if (revision)
    *revision = hzb_json_u64 (root, "epoch");
  if (failed)
    {
      *failed = g_ptr_array_new_with_free_func (g_free);
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "failed"))
        if (cJSON_IsString (item))
          g_ptr_array_add (*failed, g_strdup (item->valuestring));
    }
  cJSON_Delete (root);
  return ok;
}

char *
hzb_wire_get_path (const char *key)
{
  return g_strconcat ("/kv/", key, NULL);
}

static gboolean
take_item (const cJSON *from, HzbKvEntry *item)
{
  const cJSON *value = cJSON_GetObjectItemCaseSensitive (from, "value");
  if (!hzb_json_text (from, "path") || !value)
    return FALSE;
  item->key = g_strdup (hzb_json_text (from, "path"));
  item->value = cJSON_Duplicate (value, TRUE);
  item->version = hzb_json_u64 (from, "stamp");
  return TRUE;
}

gboolean
hzb_wire_parse_item (const char *body, HzbKvEntry *item)
{
  cJSON *root = cJSON_Parse (body);
  gboolean ok = take_item (root, item);
  cJSON_Delete (root);
  return ok;
}

char *
hzb_wire_range_path (const char *prefix, const char *after, guint limit)
{
  return after ? g_strdup_printf ("/kv?starts=%s&since=%s&page=%u", prefix, after, limit)
               : g_strdup_printf ("/kv?starts=%s&page=%u", prefix, limit);
}

static GArray *
item_array (void)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (HzbKvEntry));
  g_array_set_clear_func (items, (GDestroyNotify) hzb_kv_entry_clear);
  return items;
}

GArray *
hzb_wire_parse_range (const char *body, gboolean *more, guint64 *revision)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *entry, *list = cJSON_GetObjectItemCaseSensitive (root, "rows");
  GArray *items = NULL;

  if (cJSON_IsArray (list))
    {
      items = item_array ();
      *more = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "hasNext"));
      *revision = hzb_json_u64 (root, "epoch");
      cJSON_ArrayForEach (entry, list)
        {
          HzbKvEntry item = { 0 };
          if (take_item (entry, &item))
            g_array_append_val (items, item);
        }
    }
  cJSON_Delete (root);
  return items;
}

char *
hzb_wire_watch_path (const char *prefix, guint64 after, guint wait_ms)
{
  return g_strdup_printf ("/follow?starts=%s&since=%" G_GUINT64_FORMAT "&waitMs=%u", prefix, after, wait_ms);
}

GArray *
hzb_wire_parse_watch (const char *body, guint64 *revision)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *entry, *list = cJSON_GetObjectItemCaseSensitive (root, "news");
  GArray *items = NULL;

  if (cJSON_IsArray (list))
    {
      items = item_array ();
      *revision = hzb_json_u64 (root, "epoch");
      cJSON_ArrayForEach (entry, list)
        {
          HzbKvEntry item = { 0 };
          const char *put = hzb_json_text (entry, "put"), *removed = hzb_json_text (entry, "remove");
          if (!put && !removed)
            continue;
          item.key = g_strdup (put ? put : removed);
          item.version = hzb_json_u64 (entry, "stamp");
          if (put)
            item.value = cJSON_Duplicate (cJSON_GetObjectItemCaseSensitive (entry, "value"), TRUE);
          g_array_append_val (items, item);
        }
    }
  cJSON_Delete (root);
  return items;
}

char *
hzb_wire_lease (guint ttl_ms)
{
  return g_strdup_printf ("{\"ttlMs\":%u}", ttl_ms);
}

guint64
hzb_wire_parse_lease (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  guint64 lease = hzb_json_u64 (root, "permit");
  cJSON_Delete (root);
  return lease;
}

char *
hzb_wire_renew_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT "/renew", lease);
}

char *
hzb_wire_end_lease_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT, lease);
}
