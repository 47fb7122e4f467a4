/* Stand-in of the state service: transactions on conditions, range reads, watches and leases. */
#include "lab.h"

#include <stdlib.h>
#include <string.h>

#define KEPT_CHANGES 10000u

typedef struct
{
  char *text;
  guint64 stamp, permit;
} Value;

typedef struct
{
  char *key, *text; /* text NULL: removed */
  guint64 stamp;
} Change;

typedef struct
{
  double ttl_s, ends_at;
} Lease;

typedef struct
{
  SoupMessage *message;
  char *prefix;
  guint64 since;
  double until;
} Watcher;

static SoupServer *server;
static guint port;
static GHashTable *values, *leases;
static GPtrArray *changes, *watchers;
static guint64 epoch, last_lease;
static double rate, write_rate, budget, write_budget, filled_at;

static void
value_free (gpointer data)
{
  g_free (((Value *) data)->text);
  g_free (data);
}

guint
kv_store_port (void)
{
  return port;
}

static void
add_u64 (cJSON *object, const char *name, guint64 number)
{
  g_autofree char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, number);
  cJSON_AddRawToObject (object, name, text);
}

static guint64
get_u64 (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsNumber (item) ? (guint64) item->valuedouble : 0;
}

static const char *
get_text (const cJSON *object, const char *name)
{
  return cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (object, name));
}

/* ---- watches ---- */

static cJSON *
news_since (const char *prefix, guint64 since, guint *n)
{
  cJSON *root = cJSON_CreateObject (), *list;
  guint first = changes->len;
  add_u64 (root, "epoch", epoch);
  list = cJSON_AddArrayToObject (root, "news");
  *n = 0;
  while (first && ((Change *) changes->pdata[first - 1])->stamp > since)
    first--;
  for (guint i = first; i < changes->len; i++)
    {
      const Change *change = changes->pdata[i];
      cJSON *item;
      if (!g_str_has_prefix (change->key, prefix))
        continue;
      item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, change->text ? "put" : "remove", change->key);
      if (change->text)
        cJSON_AddRawToObject (item, "value", change->text);
      add_u64 (item, "stamp", change->stamp);
      cJSON_AddItemToArray (list, item);
      ++*n;
    }
  return root;
}

static void
serve_watchers (void)
{
  for (guint i = watchers->len; i-- > 0;)
    {
      Watcher *watcher = watchers->pdata[i];
      guint n = 0;
      cJSON *news = news_since (watcher->prefix, watcher->since, &n);
      if (!n && lab_now_s () < watcher->until)
        {
          cJSON_Delete (news);
          continue;
        }
      lab_respond (watcher->message, 200, news);
      soup_server_unpause_message (server, watcher->message);
      g_object_unref (watcher->message);
      g_free (watcher->prefix);
      g_free (watcher);
      g_ptr_array_remove_index_fast (watchers, i);
    }
}

static void
follow (SoupMessage *message, GHashTable *query)
{
  const char *prefix = g_hash_table_lookup (query, "starts"), *since = g_hash_table_lookup (query, "since"),
             *wait = g_hash_table_lookup (query, "waitMs");
  guint64 after = since ? g_ascii_strtoull (since, NULL, 10) : 0;
  Watcher *watcher;

  if (changes->len > KEPT_CHANGES && after < ((Change *) changes->pdata[changes->len - KEPT_CHANGES - 1])->stamp)
    {
      lab_respond (message, 410, NULL);
      return;
    }
  watcher = g_new0 (Watcher, 1);
  watcher->message = g_object_ref (message);
  watcher->prefix = g_strdup (prefix ? prefix : "");
  watcher->since = after;
  watcher->until = lab_now_s () + (wait ? g_ascii_strtod (wait, NULL) / 1000 : 0);
  soup_server_pause_message (server, message);
  g_ptr_array_add (watchers, watcher);
  serve_watchers ();
}

/* ---- changes ---- */

static void
change_key (const char *key, const char *text, guint64 permit)
{
  Change *change = g_new0 (Change, 1);
  change->key = g_strdup (key);
  change->text = g_strdup (text);
  change->stamp = epoch;
  g_ptr_array_add (changes, change);
  if (text)
    {
      Value *value = g_new0 (Value, 1);
      value->text = g_strdup (text);
      value->stamp = epoch;
      value->permit = permit;
      g_hash_table_replace (values, g_strdup (key), value);
    }
  else
    g_hash_table_remove (values, key);
}

static void
end_lease (guint64 permit)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_remove (leases, GSIZE_TO_POINTER (permit));
  g_hash_table_iter_init (&iter, values);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((Value *) value)->permit == permit)
      g_ptr_array_add (keys, g_strdup (key));
  for (guint i = 0; i < keys->len; i++)
    {
      epoch++;
      change_key (keys->pdata[i], NULL, 0);
    }
}

static gboolean
on_tick (gpointer data)
{
  g_autoptr (GArray) ended = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer permit, lease;

  g_hash_table_iter_init (&iter, leases);
  while (g_hash_table_iter_next (&iter, &permit, &lease))
    if (lab_now_s () > ((Lease *) lease)->ends_at)
      {
        guint64 number = GPOINTER_TO_SIZE (permit);
        g_array_append_val (ended, number);
      }
  for (guint i = 0; i < ended->len; i++)
    end_lease (g_array_index (ended, guint64, i));
  serve_watchers ();
  return G_SOURCE_CONTINUE;
}

static void
transact (SoupMessage *message, const char *body)
{
  cJSON *transaction = cJSON_Parse (body), *out = cJSON_CreateObject (), *failed = cJSON_CreateArray ();
  const cJSON *when = cJSON_GetObjectItemCaseSensitive (transaction, "when"),
              *then = cJSON_GetObjectItemCaseSensitive (transaction, "then"), *item;
  guint n = (guint) cJSON_GetArraySize (then);
  guint status = 200;

  if (!transaction)
    status = 400;
  else if (write_budget < n)
    status = 429;
  else
    write_budget -= n;
  if (status == 200)
    cJSON_ArrayForEach (item, then)
      {
        guint64 permit = get_u64 (item, "permit");
        if (permit && !g_hash_table_contains (leases, GSIZE_TO_POINTER (permit)))
          status = 400;
      }
  if (status == 200)
    cJSON_ArrayForEach (item, when)
      {
        const Value *value = g_hash_table_lookup (values, get_text (item, "path"));
        if ((value ? value->stamp : 0) != get_u64 (item, "stamp"))
          cJSON_AddItemToArray (failed, cJSON_CreateString (get_text (item, "path")));
      }
  if (status == 200 && cJSON_GetArraySize (failed))
    status = 409;
  if (status == 200 && n)
    {
      epoch++;
      cJSON_ArrayForEach (item, then)
        if (get_text (item, "put"))
          {
            char *text = cJSON_PrintUnformatted (cJSON_GetObjectItemCaseSensitive (item, "value"));
            change_key (get_text (item, "put"), text, get_u64 (item, "permit"));
            free (text);
          }
        else if (g_hash_table_contains (values, get_text (item, "remove")))
          change_key (get_text (item, "remove"), NULL, 0);
    }
  if (status == 409)
    cJSON_AddItemToObject (out, "failed", failed);
  else
    cJSON_Delete (failed);
  if (status == 400)
    cJSON_AddStringToObject (out, "error", "no such lease");
  add_u64 (out, "epoch", epoch);
  lab_respond (message, status, out);
  cJSON_Delete (transaction);
  serve_watchers ();
}

/* ---- reads ---- */

static cJSON *
encode_row (const char *key, const Value *value)
{
  cJSON *row = cJSON_CreateObject ();
  cJSON_AddStringToObject (row, "path", key);
  cJSON_AddRawToObject (row, "value", value->text);
  add_u64 (row, "stamp", value->stamp);
  if (value->permit)
    add_u64 (row, "permit", value->permit);
  return row;
}

static gint
compare_texts (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
read_range (SoupMessage *message, GHashTable *query)
{
  const char *prefix = g_hash_table_lookup (query, "starts"), *since = g_hash_table_lookup (query, "since"),
             *page = g_hash_table_lookup (query, "page");
  guint limit = page ? MIN (1000u, (guint) g_ascii_strtoull (page, NULL, 10)) : 1000u;
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  cJSON *out = cJSON_CreateObject (), *rows = cJSON_AddArrayToObject (out, "rows");
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, values);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_str_has_prefix (key, prefix ? prefix : "") && (!since || strcmp (key, since) > 0))
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare_texts);
  for (guint i = 0; i < MIN (limit, keys->len); i++)
    cJSON_AddItemToArray (rows, encode_row (keys->pdata[i], g_hash_table_lookup (values, keys->pdata[i])));
  cJSON_AddBoolToObject (out, "hasNext", keys->len > limit);
  add_u64 (out, "epoch", epoch);
  lab_respond (message, 200, out);
}

static void
read_key (SoupMessage *message, const char *key)
{
  const Value *value = g_hash_table_lookup (values, key);
  cJSON *out = cJSON_CreateObject ();

  if (value)
    {
      cJSON_Delete (out);
      lab_respond (message, 200, encode_row (key, value));
      return;
    }
  add_u64 (out, "epoch", epoch);
  lab_respond (message, 404, out);
}

/* ---- leases ---- */

static void
grant_lease (SoupMessage *message, const char *body)
{
  cJSON *request = cJSON_Parse (body), *out = cJSON_CreateObject ();
  Lease *lease = g_new0 (Lease, 1);

  lease->ttl_s = (double) get_u64 (request, "ttlMs") / 1000;
  lease->ends_at = lab_now_s () + lease->ttl_s;
  g_hash_table_insert (leases, GSIZE_TO_POINTER (++last_lease), lease);
  add_u64 (out, "permit", last_lease);
  lab_respond (message, 200, out);
  cJSON_Delete (request);
}

static void
change_lease (SoupMessage *message, const char *path)
{
  guint64 permit = g_ascii_strtoull (path + strlen ("/leases/"), NULL, 10);
  Lease *lease = g_hash_table_lookup (leases, GSIZE_TO_POINTER (permit));

  if (!lease)
    {
      lab_respond (message, 404, NULL);
      return;
    }
  if (g_str_equal (message->method, "DELETE"))
    end_lease (permit);
  else
    lease->ends_at = lab_now_s () + lease->ttl_s;
  lab_respond (message, 200, NULL);
  serve_watchers ();
}

/* ---- requests ---- */

static void
refill (void)
{
  double now = lab_now_s ();
  budget = MIN (rate, budget + (now - filled_at) * rate);
  write_budget = MIN (write_rate, write_budget + (now - filled_at) * write_rate);
  filled_at = now;
}

static void
on_request (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer data)
{
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);

  refill ();
  if (budget < 1)
    {
      lab_respond (message, 429, NULL);
      return;
    }
  budget -= 1;
  if (g_str_equal (path, "/multi"))
    transact (message, body->data);
  else if (g_str_has_prefix (path, "/kv/"))
    read_key (message, path + strlen ("/kv/"));
  else if (g_str_equal (path, "/kv"))
    read_range (message, query);
  else if (g_str_equal (path, "/leases"))
    grant_lease (message, body->data);
  else if (g_str_has_prefix (path, "/leases/"))
    change_lease (message, path);
  else if (g_str_equal (path, "/follow"))
    follow (message, query);
  else
    lab_respond (message, 400, NULL);
}

void
kv_store_start (double rps, double write_rps)
{
  rate = budget = rps;
  write_rate = write_budget = write_rps;
  filled_at = lab_now_s ();
  values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, value_free);
  leases = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  changes = g_ptr_array_new ();
  watchers = g_ptr_array_new ();
  server = lab_serve (on_request, NULL, &port);
  g_timeout_add (20, on_tick, NULL);
}
