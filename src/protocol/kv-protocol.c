#include "kv-protocol.h"

#include "json.h"

const char hzb_path_transaction[] = "/multi";
const char hzb_path_leases[] = "/leases";

struct _HzbKvTransaction
{
  cJSON *root;
  cJSON *comparisons, *changes; /* owned by root */
};

void
hzb_kv_entry_clear (HzbKvEntry *entry)
{
  g_clear_pointer (&entry->key, g_free);
  g_clear_pointer (&entry->value, cJSON_Delete);
}

HzbKvTransaction *
hzb_kv_transaction_new (void)
{
  HzbKvTransaction *transaction = g_new0 (HzbKvTransaction, 1);
  transaction->root = cJSON_CreateObject ();
  transaction->comparisons = cJSON_AddArrayToObject (transaction->root, "when");
  transaction->changes = cJSON_AddArrayToObject (transaction->root, "then");
  return transaction;
}

void
hzb_kv_transaction_free (HzbKvTransaction *transaction)
{
  if (!transaction)
    return;
  cJSON_Delete (transaction->root);
  g_free (transaction);
}

void
hzb_kv_transaction_compare (HzbKvTransaction *transaction, const char *key, guint64 version)
{
  cJSON *comparison = cJSON_CreateObject ();
  cJSON_AddStringToObject (comparison, "path", key);
  hzb_json_add_u64 (comparison, "stamp", version);
  cJSON_AddItemToArray (transaction->comparisons, comparison);
}

void
hzb_kv_transaction_put (HzbKvTransaction *transaction, const char *key, cJSON *value, guint64 lease)
{
  cJSON *change = cJSON_CreateObject ();
  cJSON_AddStringToObject (change, "put", key);
  cJSON_AddItemToObject (change, "value", value);
  if (lease)
    hzb_json_add_u64 (change, "permit", lease);
  cJSON_AddItemToArray (transaction->changes, change);
}

void
hzb_kv_transaction_delete (HzbKvTransaction *transaction, const char *key)
{
  cJSON *change = cJSON_CreateObject ();
  cJSON_AddStringToObject (change, "remove", key);
  cJSON_AddItemToArray (transaction->changes, change);
}

guint
hzb_kv_transaction_changes (const HzbKvTransaction *transaction)
{
  return (guint) cJSON_GetArraySize (transaction->changes);
}

char *
hzb_kv_transaction_encode (const HzbKvTransaction *transaction)
{
  return cJSON_PrintUnformatted (transaction->root);
}

gboolean
hzb_kv_commit_decode (const char *body, guint64 *revision, GPtrArray **failed)
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
hzb_kv_get_path (const char *key)
{
  return g_strconcat ("/kv/", key, NULL);
}

static gboolean
decode_entry (const cJSON *from, HzbKvEntry *item)
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
hzb_kv_entry_decode (const char *body, HzbKvEntry *item)
{
  cJSON *root = cJSON_Parse (body);
  gboolean ok = decode_entry (root, item);
  cJSON_Delete (root);
  return ok;
}

char *
hzb_kv_range_path (const char *prefix, const char *after, guint limit)
{
  return after ? g_strdup_printf ("/kv?starts=%s&since=%s&page=%u", prefix, after, limit)
               : g_strdup_printf ("/kv?starts=%s&page=%u", prefix, limit);
}

static GArray *
entry_array (void)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (HzbKvEntry));
  g_array_set_clear_func (items, (GDestroyNotify) hzb_kv_entry_clear);
  return items;
}

GArray *
hzb_kv_range_decode (const char *body, gboolean *more, guint64 *revision)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *entry, *list = cJSON_GetObjectItemCaseSensitive (root, "rows");
  GArray *items = NULL;

  if (cJSON_IsArray (list))
    {
      items = entry_array ();
      *more = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "hasNext"));
      *revision = hzb_json_u64 (root, "epoch");
      cJSON_ArrayForEach (entry, list)
        {
          HzbKvEntry item = { 0 };
          if (decode_entry (entry, &item))
            g_array_append_val (items, item);
        }
    }
  cJSON_Delete (root);
  return items;
}

char *
hzb_kv_watch_path (const char *prefix, guint64 after, guint wait_ms)
{
  return g_strdup_printf ("/follow?starts=%s&since=%" G_GUINT64_FORMAT "&waitMs=%u", prefix, after, wait_ms);
}

GArray *
hzb_kv_watch_decode (const char *body, guint64 *revision)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *entry, *list = cJSON_GetObjectItemCaseSensitive (root, "news");
  GArray *items = NULL;

  if (cJSON_IsArray (list))
    {
      items = entry_array ();
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
hzb_kv_lease_encode (guint ttl_ms)
{
  return g_strdup_printf ("{\"ttlMs\":%u}", ttl_ms);
}

guint64
hzb_kv_lease_decode (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  guint64 lease = hzb_json_u64 (root, "permit");
  cJSON_Delete (root);
  return lease;
}

char *
hzb_kv_lease_renew_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT "/renew", lease);
}

char *
hzb_kv_lease_revoke_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT, lease);
}
