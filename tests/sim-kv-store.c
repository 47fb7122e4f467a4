/* Fake of the key-value store: transactions, range reads, leases and watches. */
#include "json.h"
#include "sim-internal.h"

#include <string.h>

/* A value in the store. */
typedef struct
{
  char *text;      /* JSON */
  guint64 version; /* revision of the store at the last write */
  guint64 lease;   /* the value is removed when this lease expires; 0: none */
} Value;

/* A change of a key. */
typedef struct
{
  char *key, *text; /* text: the new value; NULL: the key was removed */
  guint64 version;  /* revision of the store after the change */
} Change;

static void
value_free (gpointer data)
{
  g_free (((Value *) data)->text);
  g_free (data);
}

static void
change_free (gpointer data)
{
  g_free (((Change *) data)->key);
  g_free (((Change *) data)->text);
  g_free (data);
}

/* A watch whose call has no response yet. */
typedef struct
{
  SimCall *call;
  char *prefix;         /* of the watched keys */
  guint64 after;        /* changes after this revision are wanted */
  double respond_until; /* when the call gets a response even if nothing has changed */
} Watcher;

/* Whether some changes after that revision were already compacted. */
static gboolean
changes_are_compacted (const Sim *sim, guint64 after)
{
  guint retained = sim->config.retained_changes;
  return retained && sim->kv_changes->len > retained
         && after < ((const Change *) sim->kv_changes->pdata[sim->kv_changes->len - retained - 1])->version;
}

/* Returns: the response to a watch; @has_changes tells whether it contains a change. */
static char *
encode_watch_response (Sim *sim, const char *prefix, guint64 after, gboolean *has_changes)
{
  cJSON *root = cJSON_CreateObject (), *list;
  guint first = sim->kv_changes->len;
  char *text;
  hzb_json_add_u64 (root, "epoch", sim->revision);
  list = cJSON_AddArrayToObject (root, "news");
  *has_changes = FALSE;
  while (first && ((Change *) sim->kv_changes->pdata[first - 1])->version > after)
    first--;
  for (guint i = first; i < sim->kv_changes->len; i++)
    {
      const Change *change = sim->kv_changes->pdata[i];
      cJSON *item;
      if (!g_str_has_prefix (change->key, prefix))
        continue;
      item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, change->text ? "put" : "remove", change->key);
      if (change->text)
        cJSON_AddRawToObject (item, "value", change->text);
      hzb_json_add_u64 (item, "stamp", change->version);
      cJSON_AddItemToArray (list, item);
      *has_changes = TRUE;
    }
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

/* Responds to each watch that has a change, or whose time is over. */
static void
respond_to_watchers (Sim *sim)
{
  for (guint i = 0; i < sim->watchers->len; i++)
    {
      Watcher *watcher = sim->watchers->pdata[i];
      gboolean has_changes;
      char *body;
      if (sim->kv_outage)
        return;
      if (sim->nodes[watcher->call->node].refused_by_kv)
        continue; /* the watch stays open, as during an outage */
      body = encode_watch_response (sim, watcher->prefix, watcher->after, &has_changes);
      if (has_changes || sim->now >= watcher->respond_until)
        {
          sim_respond (sim, watcher->call, 200, body);
          g_free (watcher->prefix);
          g_free (watcher);
          g_ptr_array_remove_index (sim->watchers, i--);
        }
      else
        g_free (body);
    }
}

static void
watch_timeout (Sim *sim, gpointer data)
{
  respond_to_watchers (sim);
}

/* Checks that a change of a progress record loses no progress: neither completed tasks nor released tasks. */
static void
check_progress (Sim *sim, const char *key, const char *old_text, const char *new_text)
{
  cJSON *old_record = cJSON_Parse (old_text), *new_record = cJSON_Parse (new_text);
  const cJSON *old_job;
  cJSON_ArrayForEach (old_job, old_record)
    {
      const cJSON *new_job = cJSON_GetObjectItemCaseSensitive (new_record, old_job->string);
      const char *old_done = hzb_json_text (old_job, "done"), *new_done = hzb_json_text (new_job, "done");
      gsize old_length = 0, new_length = 0;
      g_autofree guchar *old_bits = old_done && *old_done ? g_base64_decode (old_done, &old_length) : NULL,
                        *new_bits = new_done && *new_done ? g_base64_decode (new_done, &new_length) : NULL;
      gboolean lost = hzb_json_number (new_job, "released", 0) < hzb_json_number (old_job, "released", 0);
      if (!new_job)
        continue; /* the progress of the job was removed */
      for (gsize i = 0; i < old_length; i++)
        lost = lost || (old_bits[i] & ~(i < new_length ? new_bits[i] : 0));
      if (lost)
        sim_violation (sim, "progress_went_back", "%s, %s: %s -> %s", key, old_job->string, old_text, new_text);
    }
  cJSON_Delete (old_record);
  cJSON_Delete (new_record);
}

/* Writes a key at the current revision, or removes it if the text is NULL. */
static void
put_record (Sim *sim, const char *key, const char *text, guint64 lease)
{
  const Value *old_value = g_hash_table_lookup (sim->kv, key);
  if (old_value && text && strstr (key, "/progress/"))
    check_progress (sim, key, old_value->text, text);
  sim_trace (&(SimTraceEvent){ .at = sim->now, .kind = "record", .path = key, .body = text });
  {
    Change *change = g_new0 (Change, 1);
    change->key = g_strdup (key);
    change->text = g_strdup (text);
    change->version = sim->revision;
    g_ptr_array_add (sim->kv_changes, change);
    if (text)
      {
        Value *value = g_new0 (Value, 1);
        value->text = g_strdup (text);
        value->version = sim->revision;
        value->lease = lease;
        g_hash_table_insert (sim->kv, g_strdup (key), value);
      }
    else
      g_hash_table_remove (sim->kv, key);
  }
}

/* Removes a lease and the values that were written under it. */
static void
remove_lease (Sim *sim, guint64 lease)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_remove (sim->leases, GSIZE_TO_POINTER (lease));
  g_hash_table_iter_init (&iter, sim->kv);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((Value *) value)->lease == lease)
      g_ptr_array_add (keys, g_strdup (key));
  for (guint i = 0; i < keys->len; i++)
    {
      sim->revision++;
      put_record (sim, keys->pdata[i], NULL, 0);
    }
  respond_to_watchers (sim);
}

/* A lease of the store: the values written under it are removed when it expires. */
typedef struct
{
  double expires_at, ttl; /* in seconds */
} Lease;

/* Removes a lease that has expired, or checks it again when it will have expired. */
static void
expire_lease (Sim *sim, gpointer data)
{
  guint64 id = GPOINTER_TO_SIZE (data);
  Lease *lease = g_hash_table_lookup (sim->leases, data);
  if (!lease)
    return;
  if (sim->kv_outage)
    lease->expires_at = sim->now + lease->ttl; /* during an outage every lease is extended to its full TTL */
  if (sim->now >= lease->expires_at)
    remove_lease (sim, id);
  else
    sim_schedule (sim, sim->kv_outage ? sim->now + 0.1 : lease->expires_at + 0.05, expire_lease, data);
}

/* Executes a transaction. @out: the body of the response; unset if the status is 429. Returns: the HTTP status */
static guint
kv_transaction (Sim *sim, const char *body, char **out)
{
  cJSON *transaction = cJSON_Parse (body ? body : ""), *root = cJSON_CreateObject (), *failed = cJSON_CreateArray ();
  const cJSON *item;
  guint status = 200, changes = (guint) cJSON_GetArraySize (cJSON_GetObjectItem (transaction, "then"));
  if (!transaction)
    sim_violation (sim, "malformed", "a transaction is not JSON: %s", body ? body : "no body");
  sim->kv_write_budget =
      MIN (sim->kv_write_budget + (sim->now - sim->kv_write_budget_at) * sim->kv_write_rate, sim->kv_write_rate);
  sim->kv_write_budget_at = sim->now;
  if (sim->kv_write_rate > 0 && changes > sim->kv_write_budget)
    {
      cJSON_Delete (transaction);
      cJSON_Delete (root);
      cJSON_Delete (failed);
      return 429;
    }
  if (sim->kv_max_changes && changes > sim->kv_max_changes)
    {
      sim_violation (sim, "too_large", "a transaction has %u changes", changes);
      status = 400;
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (transaction, "then"))
    {
      char *value = cJSON_PrintUnformatted (cJSON_GetObjectItem (item, "value"));
      if (sim->kv_max_value_bytes && value && strlen (value) > sim->kv_max_value_bytes)
        {
          sim_violation (sim, "too_large", "%s has %u bytes", hzb_json_text (item, "put"), (guint) strlen (value));
          status = 400;
        }
      cJSON_free (value);
    }
  sim->kv_write_budget -= changes;
  sim->kv_writes += changes;
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (transaction, "when"))
    {
      const Value *value = g_hash_table_lookup (sim->kv, hzb_json_text (item, "path"));
      if ((value ? value->version : 0) != hzb_json_u64 (item, "stamp"))
        cJSON_AddItemToArray (failed, cJSON_CreateString (hzb_json_text (item, "path")));
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (transaction, "then"))
    {
      guint64 lease = hzb_json_u64 (item, "permit");
      if (lease && !g_hash_table_contains (sim->leases, GSIZE_TO_POINTER (lease)))
        status = 400;
    }
  if (status == 200 && cJSON_GetArraySize (failed))
    status = 409;
  if (status == 200 && cJSON_GetArraySize (cJSON_GetObjectItem (transaction, "then")))
    {
      sim->revision++;
      cJSON_ArrayForEach (item, cJSON_GetObjectItem (transaction, "then"))
        if (hzb_json_text (item, "put"))
          {
            char *text = cJSON_PrintUnformatted (cJSON_GetObjectItem (item, "value"));
            put_record (sim, hzb_json_text (item, "put"), text, hzb_json_u64 (item, "permit"));
            cJSON_free (text);
          }
        else if (g_hash_table_contains (sim->kv, hzb_json_text (item, "remove")))
          put_record (sim, hzb_json_text (item, "remove"), NULL, 0);
    }
  cJSON_AddItemToObject (root, "failed", failed);
  hzb_json_add_u64 (root, "epoch", sim->revision);
  *out = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  cJSON_Delete (transaction);
  respond_to_watchers (sim);
  return status;
}

void
sim_put_record (Sim *sim, const char *key, const char *text)
{
  sim->revision++;
  put_record (sim, key, text, 0);
}

guint
sim_largest_record (Sim *sim, const char *prefix)
{
  GHashTableIter iter;
  gpointer key, value;
  gsize largest = 0;
  g_hash_table_iter_init (&iter, sim->kv);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, prefix))
      largest = MAX (largest, strlen (((Value *) value)->text));
  return (guint) largest;
}

void
sim_foreach_record (Sim *sim, const char *prefix, void (*each) (const char *key, const cJSON *value, gpointer user),
                    gpointer user)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, sim->kv);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, prefix))
      {
        cJSON *root = cJSON_Parse (((Value *) value)->text);
        each (key, root, user);
        cJSON_Delete (root);
      }
}

char *
sim_query_parameter (const char *path, const char *name)
{
  g_autofree char *name_and_sign = g_strconcat (name, "=", NULL);
  const char *value = strstr (path, name_and_sign);
  const char *end;
  if (!value)
    return NULL;
  value += strlen (name_and_sign);
  end = strchr (value, '&');
  return end ? g_strndup (value, (gsize) (end - value)) : g_strdup (value);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* Returns: the response to a range read, a page of at most range_page_rows rows. */
static char *
kv_range (Sim *sim, const char *path)
{
  g_autofree char *prefix = sim_query_parameter (path, "starts"), *after = sim_query_parameter (path, "since");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  cJSON *root = cJSON_CreateObject (), *rows = cJSON_AddArrayToObject (root, "rows");
  GHashTableIter iter;
  gpointer key;
  gboolean has_next = FALSE;
  char *text;
  g_hash_table_iter_init (&iter, sim->kv);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_str_has_prefix (key, prefix) && (!after || strcmp (key, after) > 0))
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare_keys);
  for (guint i = 0; i < keys->len; i++)
    {
      const Value *value = g_hash_table_lookup (sim->kv, keys->pdata[i]);
      cJSON *row;
      if (i == sim->config.range_page_rows)
        {
          has_next = TRUE;
          break;
        }
      sim->kv_rows_read++;
      row = cJSON_CreateObject ();
      cJSON_AddStringToObject (row, "path", keys->pdata[i]);
      cJSON_AddRawToObject (row, "value", value->text);
      hzb_json_add_u64 (row, "stamp", value->version);
      cJSON_AddItemToArray (rows, row);
    }
  cJSON_AddBoolToObject (root, "hasNext", has_next);
  hzb_json_add_u64 (root, "epoch", sim->revision);
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

/* Returns: the response to a read of one key; NULL if the store does not have the key. */
static char *
kv_get (Sim *sim, const char *key)
{
  const Value *value = g_hash_table_lookup (sim->kv, key);
  cJSON *root;
  char *text;
  if (!value)
    return NULL;
  root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "path", key);
  cJSON_AddRawToObject (root, "value", value->text);
  hzb_json_add_u64 (root, "stamp", value->version);
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

void
sim_kv_store_request (Sim *sim, SimCall *call)
{
  char *body = NULL;

  sim->kv_requests++;
  if (sim->kv_outage || sim->nodes[call->node].refused_by_kv)
    sim_respond (sim, call, 503, NULL);
  else if (g_str_equal (call->path, "/multi"))
    {
      guint status = kv_transaction (sim, call->body, &body);
      sim_respond (sim, call, status, body);
    }
  else if (g_str_has_prefix (call->path, "/kv/"))
    {
      body = kv_get (sim, call->path + 4);
      sim_respond (sim, call, body ? 200 : 404, body);
    }
  else if (g_str_has_prefix (call->path, "/kv?"))
    sim_respond (sim, call, 200, kv_range (sim, call->path));
  else if (g_str_has_prefix (call->path, "/follow"))
    {
      Watcher *watcher = g_new0 (Watcher, 1);
      g_autofree char *after = sim_query_parameter (call->path, "since"),
                      *wait = sim_query_parameter (call->path, "waitMs");
      watcher->call = call;
      watcher->prefix = sim_query_parameter (call->path, "starts");
      watcher->after = g_ascii_strtoull (after, NULL, 10);
      watcher->respond_until = sim->now + g_ascii_strtod (wait, NULL) / 1000;
      if (changes_are_compacted (sim, watcher->after))
        {
          g_free (watcher->prefix);
          g_free (watcher);
          sim_respond (sim, call, 410, NULL);
          return;
        }
      g_ptr_array_add (sim->watchers, watcher);
      sim_schedule (sim, watcher->respond_until, watch_timeout, NULL);
      respond_to_watchers (sim);
    }
  else if (g_str_equal (call->path, "/leases"))
    {
      Lease *lease = g_new0 (Lease, 1);
      cJSON *root = cJSON_Parse (call->body);
      lease->ttl = hzb_json_number (root, "ttlMs", 0) / 1000;
      lease->expires_at = sim->now + lease->ttl;
      cJSON_Delete (root);
      sim->lease_number++;
      g_hash_table_insert (sim->leases, GSIZE_TO_POINTER (sim->lease_number), lease);
      sim_schedule (sim, lease->expires_at, expire_lease, GSIZE_TO_POINTER (sim->lease_number));
      sim_respond (sim, call, 200, g_strdup_printf ("{\"permit\":%" G_GUINT64_FORMAT "}", sim->lease_number));
    }
  else
    {
      guint64 id = g_ascii_strtoull (call->path + strlen ("/leases/"), NULL, 10);
      Lease *lease = g_hash_table_lookup (sim->leases, GSIZE_TO_POINTER (id));
      guint status = lease ? 200 : 404;
      if (lease && g_str_equal (call->method, "DELETE"))
        remove_lease (sim, id);
      else if (lease)
        lease->expires_at = sim->now + lease->ttl;
      sim_respond (sim, call, status, NULL);
    }
}

void
sim_kv_store_init (Sim *sim)
{
  sim->kv = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, value_free);
  sim->leases = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  sim->kv_changes = g_ptr_array_new_with_free_func (change_free);
  sim->watchers = g_ptr_array_new ();
}

void
sim_kv_store_free (Sim *sim)
{
  g_hash_table_unref (sim->kv);
  g_hash_table_unref (sim->leases);
  g_ptr_array_unref (sim->kv_changes);
}
