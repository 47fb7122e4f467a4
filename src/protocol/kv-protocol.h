/**
 * SECTION: kv-protocol
 * @short_description: requests to the key-value store and its responses
 *
 * The one place that knows the names that the key-value store uses. A transaction is a compare-and-swap: its changes
 * are made together, and only if every comparison holds. The store's revision counts all changes; the version of a key
 * is the revision of its last change.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbKvEntry: a key and its value, as read or as a watch reported it. */
typedef struct
{
  char *key;       /**< the key (owned) */
  cJSON *value;    /**< its value (owned) (nullable); NULL: a watch reported that the key was deleted */
  guint64 version; /**< the revision of the key's last change */
} HzbKvEntry;

/**
 * Frees what an entry holds, not the entry.
 * @param entry the entry
 */
void hzb_kv_entry_clear (HzbKvEntry *entry);

/** HzbKvTransaction: a transaction that is being put together. */
typedef struct _HzbKvTransaction HzbKvTransaction;

/**
 * Makes a transaction without comparisons or changes.
 * @return (transfer full): the transaction
 */
HzbKvTransaction *hzb_kv_transaction_new (void);

/**
 * Frees a transaction.
 * @param transaction (transfer full) (nullable)
 */
void hzb_kv_transaction_free (HzbKvTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbKvTransaction, hzb_kv_transaction_free)

/**
 * Adds the condition that a key has a version.
 * @param transaction the transaction
 * @param key the key
 * @param version 0: the key does not exist
 */
void hzb_kv_transaction_compare (HzbKvTransaction *transaction, const char *key, guint64 version);

/**
 * Adds a change of a key's value.
 * @param transaction the transaction
 * @param key the key
 * @param value (transfer full)
 * @param lease the key is deleted when this lease expires; 0: it stays
 */
void hzb_kv_transaction_put (HzbKvTransaction *transaction, const char *key, cJSON *value, guint64 lease);

/**
 * Adds the deletion of a key.
 * @param transaction the transaction
 * @param key the key
 */
void hzb_kv_transaction_delete (HzbKvTransaction *transaction, const char *key);

/**
 * Counts the puts and deletes of a transaction: the store limits them.
 * @param transaction the transaction
 * @return their number
 */
guint hzb_kv_transaction_changes (const HzbKvTransaction *transaction);

/**
 * Encodes a transaction.
 * @param transaction the transaction
 * @return (transfer full): the request's body
 */
char *hzb_kv_transaction_encode (const HzbKvTransaction *transaction);

/** Path of a transaction (POST). */
extern const char hzb_path_transaction[];
/** Path of a request to grant a lease (POST). */
extern const char hzb_path_leases[];

/**
 * Decodes the response to a transaction.
 * @param body (nullable) the response's body
 * @param revision (out) (optional) the store's revision after the transaction
 * @param failed (out) (optional) (transfer full) (element-type utf8) the keys whose comparison failed
 * @return FALSE if it is no such response
 */
gboolean hzb_kv_commit_decode (const char *body, guint64 *revision, GPtrArray **failed);

/**
 * Makes the path of a key (GET).
 * @param key the key
 * @return (transfer full): the path
 */
char *hzb_kv_get_path (const char *key);

/**
 * Decodes the response to a read of a key.
 * @param body (nullable) the response's body
 * @param entry (out) to be cleared by the caller; untouched if the body is no such response
 * @return FALSE if it is no such response
 */
gboolean hzb_kv_entry_decode (const char *body, HzbKvEntry *entry);

/**
 * Makes the path of a page of the keys with a prefix, in their order (GET).
 * @param prefix the prefix
 * @param after (nullable) the page begins after this key; NULL: the first page
 * @param limit keys on the page
 * @return (transfer full): the path
 */
char *hzb_kv_range_path (const char *prefix, const char *after, guint limit);

/**
 * Decodes a page of keys. Entries without a key or a value are left out.
 * @param body (nullable) the response's body
 * @param more (out) whether further pages follow; set, as revision is, only if the body is such a page
 * @param revision (out) the store's revision when the page was read
 * @return (transfer full) (element-type HzbKvEntry) (nullable): NULL if it is no such page
 */
GArray *hzb_kv_range_decode (const char *body, gboolean *more, guint64 *revision);

/**
 * Makes the path of a watch: a request that is answered when a key changes (GET).
 * @param prefix of the keys
 * @param after the watch reports the changes after this revision
 * @param wait_ms the store answers after this time at the latest, in milliseconds
 * @return (transfer full): the path
 */
char *hzb_kv_watch_path (const char *prefix, guint64 after, guint wait_ms);

/**
 * Decodes the response to a watch.
 * @param body (nullable) the response's body
 * @param revision (out) the store's revision up to which changes are reported; set only if the body is such a response
 * @return (transfer full) (element-type HzbKvEntry) (nullable): the changes; NULL if it is no such response
 */
GArray *hzb_kv_watch_decode (const char *body, guint64 *revision);

/**
 * Encodes a request to grant a lease.
 * @param ttl_ms the lease expires after this time without a renewal, in milliseconds
 * @return (transfer full): the request's body
 */
char *hzb_kv_lease_encode (guint ttl_ms);

/**
 * Decodes the response to a request to grant a lease.
 * @param body (nullable) the response's body
 * @return the lease that was granted; 0 if the response names none
 */
guint64 hzb_kv_lease_decode (const char *body);

/**
 * Makes the path of a renewal (POST).
 * @param lease the lease
 * @return (transfer full): the path
 */
char *hzb_kv_lease_renew_path (guint64 lease);

/**
 * Makes the path of a lease, which a DELETE revokes.
 * @param lease the lease
 * @return (transfer full): the path
 */
char *hzb_kv_lease_revoke_path (guint64 lease);
