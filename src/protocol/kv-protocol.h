/**
 * SECTION: kv-protocol
 * @short_description: encodes requests to the key-value store and decodes its responses
 *
 * The names of the store's routes and fields appear only in this module. A transaction is a compare-and-swap: the store
 * applies all its changes atomically, and only if every comparison holds. The store's revision counts all changes; the
 * version of a key is the revision of its last change.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbKvEntry: a key and its value, as returned by a read or reported by a watch. */
typedef struct
{
  char *key;       /**< the key (owned) */
  cJSON *value;    /**< its value (owned) (nullable); NULL: a watch reported that the key was deleted */
  guint64 version; /**< the revision of the key's last change */
} HzbKvEntry;

/**
 * Frees the key and the value of an entry, but not the entry itself.
 * @param entry the entry
 */
void hzb_kv_entry_clear (HzbKvEntry *entry);

/** HzbKvTransaction: a transaction that is being assembled. */
typedef struct _HzbKvTransaction HzbKvTransaction;

/**
 * Makes an empty transaction, without comparisons and changes.
 * @return (transfer full): the transaction
 */
HzbKvTransaction *hzb_kv_transaction_new (void);

/**
 * Frees a transaction.
 * @param transaction (transfer full) (nullable) the transaction
 */
void hzb_kv_transaction_free (HzbKvTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbKvTransaction, hzb_kv_transaction_free)

/**
 * Adds a comparison: the store applies the transaction only if a key has the given version.
 * @param transaction the transaction
 * @param key the key
 * @param version the expected version; 0: the key must not exist
 */
void hzb_kv_transaction_compare (HzbKvTransaction *transaction, const char *key, guint64 version);

/**
 * Adds a put, which sets the value of a key.
 * @param transaction the transaction
 * @param key the key
 * @param value (transfer full) the new value
 * @param lease the store deletes the key when this lease expires; 0: the key is not attached to a lease
 */
void hzb_kv_transaction_put (HzbKvTransaction *transaction, const char *key, cJSON *value, guint64 lease);

/**
 * Adds the deletion of a key.
 * @param transaction the transaction
 * @param key the key
 */
void hzb_kv_transaction_delete (HzbKvTransaction *transaction, const char *key);

/**
 * Counts the puts and deletes of a transaction. The store limits the number of them in one transaction.
 * @param transaction the transaction
 * @return their number
 */
guint hzb_kv_transaction_count_changes (const HzbKvTransaction *transaction);

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
 * Decodes the response to a transaction. The HTTP status tells whether the transaction was applied (200) or a
 * comparison failed (409), and the body of either response can be decoded.
 * @param body (nullable) the response's body
 * @param revision (out) (optional) the store's revision after the transaction; 0 if the body does not give it
 * @param failed (out) (optional) (transfer full) (element-type utf8) the keys whose comparison failed; set even if
 * FALSE is returned
 * @return TRUE if the body is a JSON object, whether or not the transaction was applied; FALSE if it is not
 */
gboolean hzb_kv_commit_decode (const char *body, guint64 *revision, GPtrArray **failed);

/**
 * Makes the path of a read of a key (GET).
 * @param key the key
 * @return (transfer full): the path
 */
char *hzb_kv_get_path (const char *key);

/**
 * Decodes the response to a read of a key.
 * @param body (nullable) the response's body
 * @param entry (out) the entry, which the caller clears; not changed if FALSE is returned
 * @return FALSE if the body is not a response to a read
 */
gboolean hzb_kv_entry_decode (const char *body, HzbKvEntry *entry);

/**
 * Makes the path of a range read (GET), which returns a page of the keys with a prefix, sorted in ascending order.
 * @param prefix the prefix
 * @param after (nullable) the page begins after this key; NULL: the first page
 * @param limit maximum number of keys on the page
 * @return (transfer full): the path
 */
char *hzb_kv_range_path (const char *prefix, const char *after, guint limit);

/**
 * Decodes a page of keys. Entries without a key or a value are left out.
 * @param body (nullable) the response's body
 * @param more (out) whether another page follows; set only if the body is a page of keys
 * @param revision (out) the store's revision at which the page was read; set only if the body is a page of keys
 * @return (transfer full) (element-type HzbKvEntry) (nullable): the entries; NULL if the body is not a page of keys
 */
GArray *hzb_kv_range_decode (const char *body, gboolean *more, guint64 *revision);

/**
 * Makes the path of a watch: a long poll that the store answers when a key with the prefix changes (GET).
 * @param prefix prefix of the watched keys
 * @param after the watch reports the changes after this revision
 * @param wait_ms time in milliseconds after which the store answers even if no key has changed
 * @return (transfer full): the path
 */
char *hzb_kv_watch_path (const char *prefix, guint64 after, guint wait_ms);

/**
 * Decodes the response to a watch.
 * @param body (nullable) the response's body
 * @param revision (out) the store's revision up to which changes are reported; set only if the body is a response to a
 * watch
 * @return (transfer full) (element-type HzbKvEntry) (nullable): the changes; NULL if the body is not a response to a
 * watch
 */
GArray *hzb_kv_watch_decode (const char *body, guint64 *revision);

/**
 * Encodes a request to grant a lease.
 * @param ttl_ms time in milliseconds after which the lease expires if it is not renewed
 * @return (transfer full): the request's body
 */
char *hzb_kv_lease_grant_encode (guint ttl_ms);

/**
 * Decodes the response to a request to grant a lease.
 * @param body (nullable) the response's body
 * @return id of the granted lease; 0 if the response has none
 */
guint64 hzb_kv_lease_grant_decode (const char *body);

/**
 * Makes the path of a request to renew a lease (POST).
 * @param lease id of the lease
 * @return (transfer full): the path
 */
char *hzb_kv_lease_renew_path (guint64 lease);

/**
 * Makes the path of a request to revoke a lease (DELETE).
 * @param lease id of the lease
 * @return (transfer full): the path
 */
char *hzb_kv_lease_revoke_path (guint64 lease);
