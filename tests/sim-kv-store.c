/* Fake of the key-value store: keys, versions, leases and watches. */
#include "json.h"
#include "sim-internal.h"

#include <string.h>

typedef struct
{
  char *text;
  guint64 version, lease;
} Value;

typedef struct
{
  char *key, *text; /* text NULL: removed */
  guint64 version;
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

typedef struct
{
  SimCall *call;
  char *prefix;
  guint64 after;
  double until;
} Watcher;

/* Whether changes after that revision were already compacted. */
static gboolean
changes_are_compacted (const Sim *sim, guint64 after)
{
  guint kept = sim->config.retained_changes;
  return kept && sim->kv_changes->len > kept
         && after < ((const Change *) sim->kv_changes->pdata[sim->kv_changes->len - kept - 1])->version;
}

static char *
watch_body (Sim *sim, const char *prefix, guint64 after, gboolean *any)
{
  cJSON *root = cJSON_CreateObject (), *list;
  guint first = sim->kv_changes->len;
  char *text;
  hzb_json_add_u64 (root, "epoch", sim->revision);
  list = cJSON_AddArrayToObject (root, "news");
  *any = FALSE;
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
      *any = TRUE;
    }
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

static void
wake_watchers (Sim *sim)
{
  for (guint i = 0; i < sim->watchers->len; i++)
    {
      Watcher *watcher = sim->watchers->pdata[i];
      gboolean any;
      char *body;
      if (sim->kv_outage)
        return;
      if (sim->nodes[watcher->call->node].refused_by_kv)
        continue; /* the watch stays open, as in an outage */
      body = watch_body (sim, watcher->prefix, watcher->after, &any);
      if (any || sim->now >= watcher->until)
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
  wake_watchers (sim);
}

/* Checks that the recorded progress of each job only grows until it is removed. */
static void
check_progress (Sim *sim, const char *key, const char *from, const char *to)
{
  cJSON *before = cJSON_Parse (from), *after = cJSON_Parse (to);
  const cJSON *old;
  cJSON_ArrayForEach (old, before)
    {
      const cJSON *new = cJSON_GetObjectItemCaseSensitive (after, old->string);
      const char *a = hzb_json_text (old, "done"), *b = hzb_json_text (new, "done");
      gsize n = 0, machine = 0;
      g_autofree guchar *x = a && *a ? g_base64_decode (a, &n) : NULL,
                        *y = b && *b ? g_base64_decode (b, &machine) : NULL;
      gboolean back = hzb_json_number (new, "released", 0) < hzb_json_number (old, "released", 0);
      if (!new)
        continue;
      for (gsize i = 0; i < n; i++)
        back = back || (x[i] & ~(i < machine ? y[i] : 0));
      if (back)
        sim_violation (sim, "progress_went_back", "%s, %s: %s -> %s", key, old->string, from, to);
    }
  cJSON_Delete (before);
  cJSON_Delete (after);
}

static void
put_record (Sim *sim, const char *key, const char *text, guint64 lease)
{
  const Value *known = g_hash_table_lookup (sim->kv, key);
  if (known && text && strstr (key, "/progress/"))
    check_progress (sim, key, known->text, text);
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
  wake_watchers (sim);
}

typedef struct
{
  double until, ttl;
} Lease;

static void
expire_lease (Sim *sim, gpointer data)
{
  guint64 id = GPOINTER_TO_SIZE (data);
  Lease *lease = g_hash_table_lookup (sim->leases, data);
  if (!lease)
    return;
  if (sim->kv_outage)
    lease->until = sim->now + lease->ttl; /* after an outage every lease has its full time to live again */
  if (sim->now >= lease->until)
    remove_lease (sim, id);
  else
    sim_schedule (sim, sim->kv_outage ? sim->now + 0.1 : lease->until + 0.05, expire_lease, data);
}

static guint
kv_transaction (Sim *sim, const char *body, char **out)
{
  cJSON *transaction = cJSON_Parse (body ? body : ""), *root = cJSON_CreateObject (), *failed = cJSON_CreateArray ();
  const cJSON *item;
  guint status = 200, changes = (guint) cJSON_GetArraySize (cJSON_GetObjectItem (transaction, "then"));
  if (!transaction)
    sim_violation (sim, "malformed", "a transaction: %s", body ? body : "no body");
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
      sim_violation (sim, "too_large", "%u changes in a transaction", changes);
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
  wake_watchers (sim);
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
  gsize most = 0;
  g_hash_table_iter_init (&iter, sim->kv);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, prefix))
      most = MAX (most, strlen (((Value *) value)->text));
  return (guint) most;
}

void
sim_each_record (Sim *sim, const char *prefix, void (*each) (const char *key, const cJSON *value, gpointer user),
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
sim_query (const char *path, const char *name)
{
  g_autofree char *mark = g_strconcat (name, "=", NULL);
  const char *at = strstr (path, mark);
  const char *end;
  if (!at)
    return NULL;
  at += strlen (mark);
  end = strchr (at, '&');
  return end ? g_strndup (at, (gsize) (end - at)) : g_strdup (at);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static char *
kv_range (Sim *sim, const char *path)
{
  g_autofree char *prefix = sim_query (path, "starts"), *after = sim_query (path, "since");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  cJSON *root = cJSON_CreateObject (), *rows = cJSON_AddArrayToObject (root, "rows");
  GHashTableIter iter;
  gpointer key;
  gboolean more = FALSE;
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
          more = TRUE;
          break;
        }
      sim->kv_rows_read++;
      row = cJSON_CreateObject ();
      cJSON_AddStringToObject (row, "path", keys->pdata[i]);
      cJSON_AddRawToObject (row, "value", value->text);
      hzb_json_add_u64 (row, "stamp", value->version);
      cJSON_AddItemToArray (rows, row);
    }
  cJSON_AddBoolToObject (root, "hasNext", more);
  hzb_json_add_u64 (root, "epoch", sim->revision);
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

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
      g_autofree char *after = sim_query (call->path, "since"), *wait = sim_query (call->path, "waitMs");
      watcher->call = call;
      watcher->prefix = sim_query (call->path, "starts");
      watcher->after = g_ascii_strtoull (after, NULL, 10);
      watcher->until = sim->now + g_ascii_strtod (wait, NULL) / 1000;
      if (changes_are_compacted (sim, watcher->after))
        {
          g_free (watcher->prefix);
          g_free (watcher);
          sim_respond (sim, call, 410, NULL);
          return;
        }
      g_ptr_array_add (sim->watchers, watcher);
      sim_schedule (sim, watcher->until, watch_timeout, NULL);
      wake_watchers (sim);
    }
  else if (g_str_equal (call->path, "/leases"))
    {
      Lease *lease = g_new0 (Lease, 1);
      cJSON *root = cJSON_Parse (call->body);
      lease->ttl = hzb_json_number (root, "ttlMs", 0) / 1000;
      lease->until = sim->now + lease->ttl;
      cJSON_Delete (root);
      sim->lease_number++;
      g_hash_table_insert (sim->leases, GSIZE_TO_POINTER (sim->lease_number), lease);
      sim_schedule (sim, lease->until, expire_lease, GSIZE_TO_POINTER (sim->lease_number));
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
        lease->until = sim->now + lease->ttl;
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
