#include "archive-store.h"

#include "archive-codec.h"
#include "json.h"
#include "kv-protocol.h"
#include "user-protocol.h"

#define KEY_ARCHIVES "hzb/o/reconciliations/"
#define KEY_INDEX KEY_ARCHIVES "index"
/* The text of a part takes at most this fraction of the maximum size of a value; the rest is for the JSON around the
 * text. */
#define PART_VALUE_FRACTION 0.85
#define MAX_TRANSACTION_BYTES 40000u /* limit for the text of all parts in a transaction; a single part may exceed it */
#define INDEX_ENTRY_BYTES 64u        /* upper bound of the JSON of an index entry */

/* A write of an archive, in flight. The store writes the parts first, then reads and writes the index. The transaction
 * that writes the index also removes the parts of archives beyond the number to be kept. A further write of the same
 * archive is harmless: it replaces the parts and the index entry. */
typedef struct
{
  guint64 id;
  GPtrArray *parts;      /* (element-type utf8): base 64 */
  guint n_sent;          /* parts sent so far */
  guint64 index_version; /* 0: the index does not exist */
  GArray *index;         /* (nullable) (element-type HzbArchiveIndexEntry): oldest first; NULL until it is read */
  HzbArchiveWriteFunc done;
  gpointer user;
} WriteCall;

struct _HzbArchiveStore
{
  HzbArchiveStoreDependencies dependencies;
};

HzbArchiveStore *
hzb_archive_store_new (const HzbArchiveStoreDependencies *dependencies)
{
  HzbArchiveStore *store = g_new0 (HzbArchiveStore, 1);
  store->dependencies = *dependencies;
  return store;
}

void
hzb_archive_store_free (HzbArchiveStore *store)
{
  g_free (store);
}

static char *
part_key (guint64 id, guint part)
{
  return g_strdup_printf (KEY_ARCHIVES "%020" G_GUINT64_FORMAT "/%04u", id, part);
}

/* ---- writing ---- */

static void
write_call_finish (HzbEpochCall *epoch_call, gboolean durable)
{
  WriteCall *call = epoch_call->data;
  if (hzb_epoch_call_is_current (epoch_call))
    call->done (durable, call->user);
  g_ptr_array_unref (call->parts);
  if (call->index)
    g_array_unref (call->index);
  g_free (call);
  g_free (epoch_call);
}

static void write_next_step (HzbEpochCall *epoch_call);

static void
on_index_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  WriteCall *call = epoch_call->data;
  HzbKvEntry item = { 0 };

  if (result != HZB_KV_NOT_FOUND && (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &item)))
    {
      write_call_finish (epoch_call, FALSE);
      return;
    }
  call->index = hzb_archive_index_decode (item.value);
  call->index_version = item.version;
  hzb_kv_entry_clear (&item);
  write_next_step (epoch_call);
}

static void
on_parts_written (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;

  if (result != HZB_KV_OK || !hzb_epoch_call_is_current (epoch_call))
    write_call_finish (epoch_call, FALSE);
  else
    write_next_step (epoch_call);
}

static void
on_index_written (HzbKvResult result, const char *body, gpointer user)
{
  write_call_finish (user, result == HZB_KV_OK);
}

static void
write_parts (HzbEpochCall *epoch_call)
{
  const HzbArchiveStoreDependencies *modules = &((HzbArchiveStore *) epoch_call->module)->dependencies;
  WriteCall *call = epoch_call->data;
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();
  gsize bytes = 0;
  guint operations_left = modules->node->settings->kv_txn_ops;

  hzb_election_add_condition (modules->election, transaction);
  for (; call->n_sent < call->parts->len && operations_left; call->n_sent++, operations_left--)
    {
      const char *text = call->parts->pdata[call->n_sent];
      g_autofree char *key = part_key (call->id, call->n_sent);
      if (bytes && bytes + strlen (text) > MAX_TRANSACTION_BYTES)
        break;
      bytes += strlen (text);
      hzb_kv_transaction_put (transaction, key, hzb_archive_part_encode (text, call->parts->len), 0);
    }
  hzb_kv_client_commit (modules->kv, HZB_KV_RECORD, transaction, on_parts_written, epoch_call);
}

/* Adds the archive at the end of the index, in place of the entry from an earlier write of the archive. An earlier
 * leader may have written the archive in more parts: the entry states the larger number, so that all parts are removed
 * with the archive. */
static void
add_to_index (WriteCall *call)
{
  HzbArchiveIndexEntry added = { call->id, call->parts->len };

  for (guint i = call->index->len; i-- > 0;)
    {
      const HzbArchiveIndexEntry *entry = &g_array_index (call->index, HzbArchiveIndexEntry, i);
      if (entry->id != call->id)
        continue;
      added.parts = MAX (added.parts, entry->parts);
      g_array_remove_index (call->index, i);
    }
  g_array_append_val (call->index, added);
}

/* Removes the oldest archives beyond the newest @keep. Parts that don't fit into this transaction are removed when the
 * next archive is written.
 * @operations_left: operations that may be added to the transaction */
static void
remove_oldest (WriteCall *call, guint keep, guint operations_left, HzbKvTransaction *transaction)
{
  while (call->index->len > keep && operations_left)
    {
      HzbArchiveIndexEntry *oldest = &g_array_index (call->index, HzbArchiveIndexEntry, 0);
      for (; oldest->parts && operations_left; operations_left--)
        {
          g_autofree char *key = part_key (oldest->id, --oldest->parts);
          hzb_kv_transaction_delete (transaction, key);
        }
      if (oldest->parts)
        break;
      g_array_remove_index (call->index, 0);
    }
}

static void
write_index (HzbEpochCall *epoch_call)
{
  const HzbArchiveStoreDependencies *modules = &((HzbArchiveStore *) epoch_call->module)->dependencies;
  const HzbSettings *settings = modules->node->settings;
  WriteCall *call = epoch_call->data;
  guint keep = (guint) MIN (settings->reconciliation.max_archives, settings->kv_value_kb * 1024 / INDEX_ENTRY_BYTES);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  add_to_index (call);
  hzb_election_add_condition (modules->election, transaction);
  hzb_kv_transaction_compare (transaction, KEY_INDEX, call->index_version);
  remove_oldest (call, keep, settings->kv_txn_ops - 1, transaction); /* one operation writes the index */
  hzb_kv_transaction_put (transaction, KEY_INDEX, hzb_archive_index_encode (call->index), 0);
  hzb_kv_client_commit (modules->kv, HZB_KV_RECORD, transaction, on_index_written, epoch_call);
}

static void
write_next_step (HzbEpochCall *epoch_call)
{
  const HzbArchiveStoreDependencies *modules = &((HzbArchiveStore *) epoch_call->module)->dependencies;
  WriteCall *call = epoch_call->data;

  if (call->n_sent < call->parts->len)
    write_parts (epoch_call);
  else if (!call->index)
    hzb_kv_client_get (modules->kv, HZB_KV_RECORD, KEY_INDEX, on_index_read, epoch_call);
  else
    write_index (epoch_call);
}

void
hzb_archive_store_write (HzbArchiveStore *store, guint64 id, GBytes *bytes, HzbArchiveWriteFunc written, gpointer user)
{
  const HzbArchiveStoreDependencies *modules = &store->dependencies;
  WriteCall *call = g_new0 (WriteCall, 1);
  gsize length, part_length = (gsize) (modules->node->settings->kv_value_kb * 1024 * PART_VALUE_FRACTION);
  const guchar *data = g_bytes_get_data (bytes, &length);
  g_autofree char *text = g_base64_encode (data, length);

  call->id = id;
  call->done = written;
  call->user = user;
  call->parts = g_ptr_array_new_with_free_func (g_free);
  for (gsize offset = 0; offset < strlen (text); offset += part_length)
    g_ptr_array_add (call->parts, g_strndup (text + offset, part_length));
  write_next_step (hzb_epoch_call_new (modules->ownership, store, call));
}

/* ---- reading ---- */

/* A read of an archive or of the index, in flight. */
typedef struct
{
  HzbArchiveStore *store;
  guint64 id;    /* of the archive; 0: the index is read */
  guint n_read;  /* parts read so far */
  guint n_parts; /* how many parts the archive has, according to its first part */
  GString *text; /* base 64 of the parts read so far */
  HzbArchiveReadFunc done;
  gpointer user;
} ReadCall;

static void
read_call_finish (ReadCall *call, guint status, char *body)
{
  call->done (status, body, call->user);
  g_string_free (call->text, TRUE);
  g_free (call);
}

static void on_part_read (HzbKvResult result, const char *body, gpointer user);

static void
read_part (ReadCall *call)
{
  g_autofree char *key = part_key (call->id, call->n_read);
  hzb_kv_client_get (call->store->dependencies.kv, HZB_KV_READ, key, on_part_read, call);
}

static void
on_part_read (HzbKvResult result, const char *body, gpointer user)
{
  ReadCall *call = user;
  HzbKvEntry item = { 0 };

  if (result == HZB_KV_NOT_FOUND)
    read_call_finish (call, 404, hzb_error_response_encode ("no such archive"));
  else if (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &item))
    read_call_finish (call, 503, hzb_error_response_encode ("the state service can't be asked"));
  else
    {
      guint n_parts;
      g_string_append (call->text, hzb_archive_part_decode (item.value, &n_parts));
      if (!call->n_read++)
        call->n_parts = n_parts;
      hzb_kv_entry_clear (&item);
      if (call->n_read < call->n_parts)
        read_part (call);
      else
        read_call_finish (call, 200, hzb_archive_response_encode (call->id, call->text->str));
    }
}

static void
on_list_read (HzbKvResult result, const char *body, gpointer user)
{
  ReadCall *call = user;
  HzbKvEntry item = { 0 };
  g_autoptr (GArray) index = NULL;

  if (result != HZB_KV_NOT_FOUND && (result != HZB_KV_OK || !hzb_kv_entry_decode (body, &item)))
    {
      read_call_finish (call, 503, hzb_error_response_encode ("the state service can't be asked"));
      return;
    }
  index = hzb_archive_index_decode (item.value);
  hzb_kv_entry_clear (&item);
  read_call_finish (call, 200, hzb_json_print (hzb_archive_index_encode (index)));
}

static ReadCall *
read_call_new (HzbArchiveStore *store, guint64 id, HzbArchiveReadFunc done, gpointer user)
{
  ReadCall *call = g_new0 (ReadCall, 1);
  call->store = store;
  call->id = id;
  call->text = g_string_new (NULL);
  call->done = done;
  call->user = user;
  return call;
}

void
hzb_archive_store_list (HzbArchiveStore *store, HzbArchiveReadFunc read, gpointer user)
{
  hzb_kv_client_get (store->dependencies.kv, HZB_KV_READ, KEY_INDEX, on_list_read,
                     read_call_new (store, 0, read, user));
}

void
hzb_archive_store_read (HzbArchiveStore *store, guint64 id, HzbArchiveReadFunc read, gpointer user)
{
  read_part (read_call_new (store, id, read, user));
}
