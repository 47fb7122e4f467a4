/**
 * SECTION: kv-protocol
 * @short_description: requests to the key-value store and its answers
 *
 * The one place that knows the names that the key-value store uses. A transaction is a compare-and-swap: its changes are
 * made together, and only if every comparison holds.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbKvEntry: a key and its value, as read or as a watch brought it. */
typedef struct
{
  char *key;
  cJSON *value;    /* NULL: the key was deleted */
  guint64 version; /* the revision of its last change */
} HzbKvEntry;

void hzb_kv_entry_clear (HzbKvEntry *entry);

typedef struct _HzbKvTransaction HzbKvTransaction;

/** hzb_kv_transaction_new: Returns: (transfer full): without comparisons or changes */
HzbKvTransaction *hzb_kv_transaction_new (void);

void hzb_kv_transaction_free (HzbKvTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbKvTransaction, hzb_kv_transaction_free)

/** hzb_kv_transaction_compare: on condition that the key has this version; 0: that it does not exist. */
void hzb_kv_transaction_compare (HzbKvTransaction *transaction, const char *key, guint64 version);

/** hzb_kv_transaction_put: Takes @value. @lease: the key is deleted when the lease expires; 0: it stays. */
void hzb_kv_transaction_put (HzbKvTransaction *transaction, const char *key, cJSON *value, guint64 lease);

void hzb_kv_transaction_delete (HzbKvTransaction *transaction, const char *key);

/** hzb_kv_transaction_changes: how many keys it puts and deletes. */
guint hzb_kv_transaction_changes (const HzbKvTransaction *transaction);

/** hzb_kv_transaction_encode: Returns: (transfer full): the body of the request */
char *hzb_kv_transaction_encode (const HzbKvTransaction *transaction);

extern const char hzb_path_transaction[], hzb_path_leases[];

/**
 * hzb_kv_commit_decode: the answer to a transaction.
 * @revision: (out) (nullable): the store's revision after it
 * @failed: (out) (nullable) (element-type utf8) (transfer full): the keys whose comparison failed
 *
 * Returns: FALSE if it is not such an answer
 */
gboolean hzb_kv_commit_decode (const char *body, guint64 *revision, GPtrArray **failed);

char *hzb_kv_get_path (const char *key);
gboolean hzb_kv_entry_decode (const char *body, HzbKvEntry *item);
char *hzb_kv_range_path (const char *prefix, const char *after, guint limit);

/** hzb_kv_range_decode: Returns: (transfer full) (element-type HzbKvEntry) (nullable) */
GArray *hzb_kv_range_decode (const char *body, gboolean *more, guint64 *revision);

char *hzb_kv_watch_path (const char *prefix, guint64 after, guint wait_ms);

/** hzb_kv_watch_decode: Returns: (transfer full) (element-type HzbKvEntry) (nullable) */
GArray *hzb_kv_watch_decode (const char *body, guint64 *revision);

char *hzb_kv_lease_encode (guint ttl_ms);

/** hzb_kv_lease_decode: Returns: the lease that was granted; 0 if the answer names none */
guint64 hzb_kv_lease_decode (const char *body);

char *hzb_kv_lease_renew_path (guint64 lease);
char *hzb_kv_lease_revoke_path (guint64 lease);
