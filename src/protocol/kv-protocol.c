#include "kv-protocol.h"

#include "json.h"

#include <string.h>

const char hzb_path_transaction[] = "/multi";
const char hzb_path_leases[] = "/leases";

/* Names of the fields in the store's messages. The wire format fixes the strings; the constants are named after the
 * terms that the code uses. */
#define NAME_KEY "path"
#define NAME_VALUE "value"
#define NAME_VERSION "stamp"
#define NAME_LEASE "permit"
#define NAME_REVISION "epoch"

/* Fields of a transaction and of the response to it; a watch event has the put or the deletion as well. */
#define NAME_COMPARISONS "when"
#define NAME_CHANGES "then"
#define NAME_PUT "put"
#define NAME_DELETE "remove"
#define NAME_FAILED "failed"

/* Fields of the responses to a range read and to a watch. */
#define NAME_ENTRIES "rows"
#define NAME_MORE "hasNext"
#define NAME_WATCH_EVENTS "news"

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
  transaction->comparisons = cJSON_AddArrayToObject (transaction->root, NAME_COMPARISONS);
  transaction->changes = cJSON_AddArrayToObject (transaction->root, NAME_CHANGES);
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
  cJSON_AddStringToObject (comparison, NAME_KEY, key);
  hzb_json_add_u64 (comparison, NAME_VERSION, version);
  cJSON_AddItemToArray (transaction->comparisons, comparison);
}

void
hzb_kv_transaction_put (HzbKvTransaction *transaction, const char *key, cJSON *value, guint64 lease)
{
  cJSON *change = cJSON_CreateObject ();
  cJSON_AddStringToObject (change, NAME_PUT, key);
  cJSON_AddItemToObject (change, NAME_VALUE, value);
  if (lease)
    hzb_json_add_u64 (change, NAME_LEASE, lease);
  cJSON_AddItemToArray (transaction->changes, change);
}

void
hzb_kv_transaction_delete (HzbKvTransaction *transaction, const char *key)
{
  cJSON *change = cJSON_CreateObject ();
  cJSON_AddStringToObject (change, NAME_DELETE, key);
  cJSON_AddItemToArray (transaction->changes, change);
}

guint
hzb_kv_transaction_count_changes (const HzbKvTransaction *transaction)
{
  return (guint) cJSON_GetArraySize (transaction->changes);
}

char *
hzb_kv_transaction_encode (const HzbKvTransaction *transaction)
{
  return cJSON_PrintUnformatted (transaction->root);
}

/* Versions, revisions and lease ids may have 64 bits. @body: (nullable) */
static cJSON *
parse_body (const char *body)
{
  return body ? hzb_json_parse (body, strlen (body)) : NULL;
}

gboolean
hzb_kv_commit_decode (const char *body, guint64 *revision, GPtrArray **failed)
{
  g_autoptr (cJSON) root = parse_body (body);
  const cJSON *item;

  if (revision)
    *revision = hzb_json_u64 (root, NAME_REVISION);
  if (failed)
    {
      *failed = g_ptr_array_new_with_free_func (g_free);
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, NAME_FAILED))
        if (cJSON_IsString (item))
          g_ptr_array_add (*failed, g_strdup (item->valuestring));
    }
  return cJSON_IsObject (root);
}

char *
hzb_kv_get_path (const char *key)
{
  return g_strconcat ("/kv/", key, NULL);
}

/* Decodes a key and its value from the JSON object of a read. Returns: FALSE if the object lacks one of them */
static gboolean
decode_entry_object (const cJSON *item, HzbKvEntry *entry)
{
  const char *key = hzb_json_text (item, NAME_KEY);
  const cJSON *value = cJSON_GetObjectItemCaseSensitive (item, NAME_VALUE);

  if (!key || !value)
    return FALSE;
  entry->key = g_strdup (key);
  entry->value = cJSON_Duplicate (value, TRUE);
  entry->version = hzb_json_u64 (item, NAME_VERSION);
  return TRUE;
}

/* Decodes a put or a delete that a watch reports. Returns: FALSE if the item is neither */
static gboolean
decode_watch_event (const cJSON *item, HzbKvEntry *entry)
{
  const char *put = hzb_json_text (item, NAME_PUT), *deleted = hzb_json_text (item, NAME_DELETE);

  if (!put && !deleted)
    return FALSE;
  entry->key = g_strdup (put ? put : deleted);
  entry->version = hzb_json_u64 (item, NAME_VERSION);
  if (put)
    entry->value = cJSON_Duplicate (cJSON_GetObjectItemCaseSensitive (item, NAME_VALUE), TRUE);
  return TRUE;
}

/* Decodes a list of entries. Items that `decode` rejects are left out.
 * Returns: (transfer full) (nullable): the entries; NULL if `list` is not an array */
static GArray *
decode_entries (const cJSON *list, gboolean (*decode) (const cJSON *item, HzbKvEntry *entry))
{
  const cJSON *item;
  GArray *entries;

  if (!cJSON_IsArray (list))
    return NULL;
  entries = g_array_new (FALSE, TRUE, sizeof (HzbKvEntry));
  g_array_set_clear_func (entries, (GDestroyNotify) hzb_kv_entry_clear);
  cJSON_ArrayForEach (item, list)
    {
      HzbKvEntry entry = { 0 };
      if (decode (item, &entry))
        g_array_append_val (entries, entry);
    }
  return entries;
}

gboolean
hzb_kv_entry_decode (const char *body, HzbKvEntry *entry)
{
  g_autoptr (cJSON) root = parse_body (body);
  return decode_entry_object (root, entry);
}

char *
hzb_kv_range_path (const char *prefix, const char *after, guint limit)
{
  return after ? g_strdup_printf ("/kv?starts=%s&since=%s&page=%u", prefix, after, limit)
               : g_strdup_printf ("/kv?starts=%s&page=%u", prefix, limit);
}

GArray *
hzb_kv_range_decode (const char *body, gboolean *more, guint64 *revision)
{
  g_autoptr (cJSON) root = parse_body (body);
  GArray *entries = decode_entries (cJSON_GetObjectItemCaseSensitive (root, NAME_ENTRIES), decode_entry_object);

  if (!entries)
    return NULL;
  *more = hzb_json_flag (root, NAME_MORE);
  *revision = hzb_json_u64 (root, NAME_REVISION);
  return entries;
}

char *
hzb_kv_watch_path (const char *prefix, guint64 after, guint wait_ms)
{
  return g_strdup_printf ("/follow?starts=%s&since=%" G_GUINT64_FORMAT "&waitMs=%u", prefix, after, wait_ms);
}

GArray *
hzb_kv_watch_decode (const char *body, guint64 *revision)
{
  g_autoptr (cJSON) root = parse_body (body);
  GArray *entries = decode_entries (cJSON_GetObjectItemCaseSensitive (root, NAME_WATCH_EVENTS), decode_watch_event);

  if (!entries)
    return NULL;
  *revision = hzb_json_u64 (root, NAME_REVISION);
  return entries;
}

char *
hzb_kv_lease_grant_encode (guint ttl_ms)
{
  return g_strdup_printf ("{\"ttlMs\":%u}", ttl_ms);
}

guint64
hzb_kv_lease_grant_decode (const char *body)
{
  g_autoptr (cJSON) root = parse_body (body);
  return hzb_json_u64 (root, NAME_LEASE);
}

char *
hzb_kv_lease_renew_path (guint64 lease)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/renew", hzb_path_leases, lease);
}

char *
hzb_kv_lease_revoke_path (guint64 lease)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, hzb_path_leases, lease);
}
