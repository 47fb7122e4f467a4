/* A small laboratory for the cases of the second review: controllers as real processes, and stand-ins of the state
 * service, the cloud, the workers and the users on loopback. Everything runs in one GLib main loop on the real clock.
 * The stand-ins follow PROTOCOL-hazelbank.md; each node reaches the state service and the cloud at ports of its own, so
 * that a case can refuse, delay or drop the requests of one node. */
#pragma once
#pragma GCC diagnostic ignored "-Wunused-function" /* no case uses all of it */
#include <cjson/cJSON.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <math.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define LAB_NODES 3
#define LAB_BODY_LIMIT (64 * 1024) /* PROTOCOL: a request body, and a line in a response to workers or users */

typedef struct _Lab Lab;

/* ---- settings of the small deployment; a case may change them before lab_start () ---- */

typedef struct
{
  const char *name;
  double cpus, ram_gb, price, low_price, ready_s, pull;
} LabFlavor;

typedef struct
{
  double report_s, lease_s, cancel_s, gang_wait_s, gang_peer_s;
  double kv_rps, kv_write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s;
  int sockets;
  double mem_mb;
  int n_teams;
  double team_cpus, team_max;
  const char *site, *team;
  const char *zones[4];
  LabFlavor flavors[4];
  int max_hosts;      /* the cloud has no more machines than this */
  double boot_s;      /* > 0: every machine boots in this time; 0: as the flavor says */
  guint64 epoch_base; /* the revision that the state service starts with */
} LabConfig;

typedef struct
{
  int index;
  guint api, peer, kv, cloud;
  guint peer_via[LAB_NODES]; /* the ports at which this node finds its peers */
  char *settings;
  GPid pid;
  gboolean ready;           /* what the load balancer believes */
  gboolean kv_refuse;       /* the state service answers this node 503 */
  gboolean kv_drop_answers; /* the state service carries out, but the answer is lost */
  double kv_late_s;         /* transactions are carried out so much later, and their answers are lost */
  double kv_copy_chance;    /* of a transaction that is carried out a second time, up to 30 s later */
  gboolean cut_from_workers;
  int ended_by_itself;
} LabNode;

/* A proxy on loopback: it forwards bytes, or holds them back while it is cut. Connections that were held back go on when
 * the cut ends. */
typedef struct
{
  Lab *lab;
  guint port, target;
  int listener;
  gboolean cut;
  GPtrArray *pipes;
} Link;

typedef struct
{
  Link *link;
  int fd[2];
  guint watch[2];
  GByteArray *pending[2]; /* bytes for fd[i] */
  gboolean eof[2];
} Pipe;

/* ---- state service ---- */

typedef struct
{
  char *value;
  guint64 stamp, permit;
} KvEntry;

typedef struct
{
  guint64 epoch;
  char *key, *value; /* value NULL: removed */
} KvChange;

typedef struct
{
  guint64 id;
  double ttl, ends;
} KvLease;

typedef struct
{
  SoupServer *server;
  SoupMessage *message;
  char *prefix;
  guint64 since;
  double until;
} KvWatch;

typedef struct
{
  GTree *entries;
  GPtrArray *changes;
  GHashTable *leases;
  GPtrArray *watches;
  guint64 epoch, next_lease;
  gboolean outage;
  guint transactions;
} Kv;

/* ---- cloud and workers ---- */

typedef enum
{
  P_FETCHING,
  P_GATHERING,
  P_RUNNING,
  P_SAVING,
  P_ENDED
} PieceState;

typedef struct _LabJob LabJob;

typedef struct
{
  LabJob *job;
  int number;
  guint64 attempt;
  PieceState state;
  double ready_at, end_at, since;
  const char *cause;
  gboolean stored;
} Piece;

typedef struct
{
  Lab *lab;
  char *name;
  LabFlavor *flavor;
  const char *yard;
  gboolean loaners;
  double rented, up_at, gone_at, listed_gone_at;
  gboolean up, gone, hung, cut, faulty;
  guint64 tenure, tick, baton;
  double lease_from, next_report, last_sent;
  gboolean awaiting;
  guint report_number;
  int node;
  GPtrArray *pieces;
  GHashTable *images; /* name -> when it is there */
  guint64 oversized_reports, oversized_answers;
} Host;

/* ---- users ---- */

struct _LabJob
{
  Lab *lab;
  char uid[24];
  char *body;
  int pieces;
  double cpus, ram_gb, run_s, size_gb, snapshot_every_s, snapshot_s;
  gboolean gang, spot, same_place, spread;
  char image[24];
  guint alone;           /* gang: tasks that waited in vain for the others */
  gboolean gang_started; /* gang: all its tasks have run at the same time */
  double lost_since;     /* gang: since when a task of the running attempt is missing; 0: none is */
  char team[40], lane[40], urgency[16];
  gboolean accepted, refused, cancel_wanted, cancelled, done, last_seen_done;
  double submitted_at, accepted_at, cancelled_at, done_at, first_start, finished_at;
  int finished;
  guchar *finished_pieces;
  guint polls, failed_polls, starts;
  double last_poll_ok, next_poll, next_submit, next_cancel;
  gboolean in_flight;
  char status[16];
};

struct _Lab
{
  LabConfig config;
  GMainLoop *loop;
  gint64 t0;
  FILE *record;
  char *dir, *program;
  LabNode nodes[LAB_NODES];
  Kv kv;
  SoupServer *kv_server, *cloud_server;
  Link *links[LAB_NODES][LAB_NODES];
  SoupSession *session;
  GPtrArray *hosts, *jobs;
  GHashTable *hires;
  guint next_host;
  gboolean cloud_outage, users_pause;
  double report_copy_chance; /* of a report of which a late copy arrives, up to 40 s later */
  guint violations, starts, completions, oversized_reports, oversized_answers, longest_answer, longest_report;
  char first_violation[400];
  gboolean quiet;
};

static inline double
lab_now (Lab *lab)
{
  return (double) (g_get_monotonic_time () - lab->t0) / 1e6;
}

G_GNUC_PRINTF (2, 3)
static void
lab_note (Lab *lab, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (lab->record, "%8.3f ", lab_now (lab));
  vfprintf (lab->record, format, args);
  fputc ('\n', lab->record);
  fflush (lab->record);
  va_end (args);
}

G_GNUC_PRINTF (3, 4)
static void
lab_violation (Lab *lab, const char *rule, const char *format, ...)
{
  char text[300];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  lab_note (lab, "VIOLATION %s: %s", rule, text);
  if (!lab->violations++)
    snprintf (lab->first_violation, sizeof lab->first_violation, "%s: %s", rule, text);
}

/* ---- JSON helpers ---- */

static inline const char *
j_text (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsString (item) ? item->valuestring : NULL;
}

static inline double
j_number (const cJSON *object, const char *name, double fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsNumber (item) ? item->valuedouble : fallback;
}

static inline gboolean
j_flag (const cJSON *object, const char *name)
{
  return cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (object, name));
}

/* The n-th number after "name": in a text, exactly; cJSON keeps numbers as doubles. */
static inline guint64
j_exact (const char **cursor, const char *name)
{
  g_autofree char *quoted = g_strdup_printf ("\"%s\":", name);
  const char *at = *cursor ? strstr (*cursor, quoted) : NULL;
  if (!at)
    return 0;
  at += strlen (quoted);
  *cursor = at;
  while (*at == ' ')
    at++;
  return g_ascii_strtoull (at, NULL, 10);
}

static void
lab_answer (SoupMessage *message, guint status, char *body)
{
  soup_message_set_status (message, status);
  if (body)
    soup_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, body, strlen (body));
}

static inline guint
lab_local_port (SoupClientContext *client)
{
  GSocketAddress *address = soup_client_context_get_local_address (client);
  return address ? g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)) : 0;
}

/* ---- state service ---- */

static gint
kv_compare (gconstpointer a, gconstpointer b, gpointer user)
{
  return strcmp (a, b);
}

static void
kv_entry_free (gpointer data)
{
  g_free (((KvEntry *) data)->value);
  g_free (data);
}

static void
kv_log (Kv *kv, const char *key, const char *value)
{
  KvChange *change = g_new0 (KvChange, 1);
  change->epoch = kv->epoch;
  change->key = g_strdup (key);
  change->value = g_strdup (value);
  g_ptr_array_add (kv->changes, change);
}

static void
kv_put (Kv *kv, const char *key, char *value, guint64 permit)
{
  KvEntry *entry = g_new0 (KvEntry, 1);
  entry->value = value;
  entry->stamp = kv->epoch;
  entry->permit = permit;
  kv_log (kv, key, value);
  g_tree_replace (kv->entries, g_strdup (key), entry);
}

static void
kv_remove (Kv *kv, const char *key)
{
  if (!g_tree_lookup (kv->entries, key))
    return;
  kv_log (kv, key, NULL);
  g_tree_remove (kv->entries, key);
}

static char *
kv_news (Kv *kv, const char *prefix, guint64 since, guint *n)
{
  GString *out = g_string_new (NULL);
  guint first = kv->changes->len;
  *n = 0;
  while (first && ((KvChange *) kv->changes->pdata[first - 1])->epoch > since)
    first--;
  g_string_printf (out, "{\"epoch\":%" G_GUINT64_FORMAT ",\"news\":[", kv->epoch);
  for (guint i = first; i < kv->changes->len; i++)
    {
      const KvChange *change = kv->changes->pdata[i];
      if (!g_str_has_prefix (change->key, prefix))
        continue;
      if (change->value)
        g_string_append_printf (out, "%s{\"put\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT "}", *n ? "," : "",
                                change->key, change->value, change->epoch);
      else
        g_string_append_printf (out, "%s{\"remove\":\"%s\",\"stamp\":%" G_GUINT64_FORMAT "}", *n ? "," : "",
                                change->key, change->epoch);
      (*n)++;
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

static void
kv_watch_free (gpointer data)
{
  KvWatch *watch = data;
  g_object_unref (watch->message);
  g_free (watch->prefix);
  g_free (watch);
}

/* Answers the watches whose time is over or whose prefix has changed. */
static void
kv_wake (Lab *lab)
{
  Kv *kv = &lab->kv;
  if (kv->outage)
    return;
  for (guint i = kv->watches->len; i-- > 0;)
    {
      KvWatch *watch = kv->watches->pdata[i];
      guint n;
      char *news = kv_news (kv, watch->prefix, watch->since, &n);
      if (!n && lab_now (lab) < watch->until)
        {
          g_free (news);
          continue;
        }
      lab_answer (watch->message, 200, news);
      soup_server_unpause_message (watch->server, watch->message);
      g_ptr_array_remove_index (kv->watches, i);
    }
}

typedef struct
{
  guint64 permit;
  GPtrArray *keys;
} KvOfLease;

static gboolean
kv_collect_lease (gpointer key, gpointer value, gpointer data)
{
  KvOfLease *of = data;
  if (((KvEntry *) value)->permit == of->permit)
    g_ptr_array_add (of->keys, g_strdup (key));
  return FALSE;
}

static void
kv_end_lease (Lab *lab, guint64 id)
{
  KvOfLease of = { id, g_ptr_array_new_with_free_func (g_free) };
  g_tree_foreach (lab->kv.entries, kv_collect_lease, &of);
  g_hash_table_remove (lab->kv.leases, &id);
  if (of.keys->len)
    lab->kv.epoch++;
  for (guint i = 0; i < of.keys->len; i++)
    kv_remove (&lab->kv, of.keys->pdata[i]);
  g_ptr_array_unref (of.keys);
  kv_wake (lab);
}

static gboolean
kv_tick (gpointer data)
{
  Lab *lab = data;
  GHashTableIter iter;
  gpointer lease;
  guint64 ended = 0;
  if (lab->kv.outage)
    return G_SOURCE_CONTINUE;
  do
    {
      ended = 0;
      g_hash_table_iter_init (&iter, lab->kv.leases);
      while (!ended && g_hash_table_iter_next (&iter, NULL, &lease))
        if (lab_now (lab) > ((KvLease *) lease)->ends)
          ended = ((KvLease *) lease)->id;
      if (ended)
        kv_end_lease (lab, ended);
    }
  while (ended);
  kv_wake (lab);
  return G_SOURCE_CONTINUE;
}

/* The end of an outage: every lease has its full time again. */
static void
kv_set_outage (Lab *lab, gboolean outage)
{
  GHashTableIter iter;
  gpointer lease;
  lab_note (lab, "state service: outage %s", outage ? "begins" : "ends");
  lab->kv.outage = outage;
  g_hash_table_iter_init (&iter, lab->kv.leases);
  while (!outage && g_hash_table_iter_next (&iter, NULL, &lease))
    ((KvLease *) lease)->ends = lab_now (lab) + ((KvLease *) lease)->ttl;
}

static void
kv_multi (Lab *lab, SoupMessage *message, const char *body)
{
  Kv *kv = &lab->kv;
  cJSON *root = cJSON_Parse (body);
  const cJSON *item;
  const char *cursor = strstr (body, "\"when\"");
  GString *failed = g_string_new (NULL);
  gboolean no_lease = FALSE;
  guint changes = 0;

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "when"))
    {
      const KvEntry *entry = g_tree_lookup (kv->entries, j_text (item, "path"));
      guint64 stamp = j_exact (&cursor, "stamp");
      if ((entry ? entry->stamp : 0) != stamp)
        g_string_append_printf (failed, "%s\"%s\"", failed->len ? "," : "", j_text (item, "path"));
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "then"))
    {
      guint64 permit = (guint64) j_number (item, "permit", 0);
      changes++;
      no_lease = no_lease || (permit && !g_hash_table_contains (kv->leases, &permit));
    }
  kv->transactions++;
  if (!root)
    lab_answer (message, 400, g_strdup ("{\"error\":\"malformed\"}"));
  else if (no_lease)
    lab_answer (message, 400, g_strdup ("{\"error\":\"no such lease\"}"));
  else if (changes > (guint) lab->config.txn_ops || strlen (body) > LAB_BODY_LIMIT)
    {
      lab_note (lab, "state service: a transaction over the limits (%u changes, %zu bytes)", changes, strlen (body));
      lab_answer (message, 400, g_strdup ("{\"error\":\"too large\"}"));
    }
  else if (failed->len)
    lab_answer (message, 409,
                g_strdup_printf ("{\"failed\":[%s],\"epoch\":%" G_GUINT64_FORMAT "}", failed->str, kv->epoch));
  else
    {
      if (changes)
        kv->epoch++;
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "then"))
        if (j_text (item, "put"))
          kv_put (kv, j_text (item, "put"), cJSON_PrintUnformatted (cJSON_GetObjectItemCaseSensitive (item, "value")),
                  (guint64) j_number (item, "permit", 0));
        else
          kv_remove (kv, j_text (item, "remove"));
      lab_answer (message, 200, g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", kv->epoch));
      kv_wake (lab);
    }
  g_string_free (failed, TRUE);
  cJSON_Delete (root);
}

/* A transaction that is carried out late, or once more. */
typedef struct
{
  Lab *lab;
  char *body;
} LateMulti;

static gboolean
on_late_multi (gpointer data)
{
  LateMulti *late = data;
  g_autoptr (SoupMessage) message = soup_message_new ("POST", "http://127.0.0.1/multi");
  if (late->lab->kv.outage)
    return G_SOURCE_CONTINUE;
  kv_multi (late->lab, message, late->body);
  g_free (late->body);
  g_free (late);
  return G_SOURCE_REMOVE;
}

static void
kv_multi_later (Lab *lab, const char *body, double seconds)
{
  LateMulti *late = g_new0 (LateMulti, 1);
  late->lab = lab;
  late->body = g_strdup (body);
  g_timeout_add ((guint) (seconds * 1000), on_late_multi, late);
}

typedef struct
{
  const char *prefix, *since;
  guint page, n;
  gboolean more;
  GString *out;
} KvRange;

static gboolean
kv_range_add (gpointer key, gpointer value, gpointer data)
{
  KvRange *range = data;
  const KvEntry *entry = value;
  if (!g_str_has_prefix (key, range->prefix) || (range->since && strcmp (key, range->since) <= 0))
    return FALSE;
  if (range->n == range->page || range->out->len + strlen (entry->value) > 500 * 1024)
    {
      range->more = TRUE;
      return TRUE;
    }
  g_string_append_printf (
      range->out, "%s{\"path\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT ",\"permit\":%" G_GUINT64_FORMAT "}",
      range->n++ ? "," : "", (const char *) key, entry->value, entry->stamp, entry->permit);
  return FALSE;
}

static LabNode *
lab_node_of (Lab *lab, guint port)
{
  for (int i = 0; i < LAB_NODES; i++)
    if (lab->nodes[i].kv == port || lab->nodes[i].cloud == port)
      return &lab->nodes[i];
  return NULL;
}

static void
on_kv (SoupServer *server, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
       gpointer user)
{
  Lab *lab = user;
  Kv *kv = &lab->kv;
  LabNode *node = lab_node_of (lab, lab_local_port (client));
  g_autofree char *body =
      g_strndup (message->request_body->data ? message->request_body->data : "", (gsize) message->request_body->length);

  if (kv->outage || (node && node->kv_refuse))
    {
      lab_answer (message, 503, g_strdup ("{\"error\":\"trouble\"}"));
      return;
    }
  if (g_str_equal (path, "/multi") && node && node->kv_late_s > 0)
    {
      kv_multi_later (lab, body, node->kv_late_s);
      soup_server_pause_message (server, g_object_ref (message));
      return;
    }
  if (g_str_equal (path, "/multi"))
    {
      kv_multi (lab, message, body);
      if (node && g_random_double () < node->kv_copy_chance)
        kv_multi_later (lab, body, g_random_double_range (0.5, 30));
    }
  else if (g_str_equal (path, "/leases"))
    {
      KvLease *lease = g_new0 (KvLease, 1);
      cJSON *root = cJSON_Parse (body);
      lease->id = ++kv->next_lease;
      lease->ttl = j_number (root, "ttlMs", 1000) / 1000;
      lease->ends = lab_now (lab) + lease->ttl;
      cJSON_Delete (root);
      g_hash_table_insert (kv->leases, &lease->id, lease);
      lab_answer (message, 200, g_strdup_printf ("{\"permit\":%" G_GUINT64_FORMAT "}", lease->id));
    }
  else if (g_str_has_prefix (path, "/leases/"))
    {
      guint64 id = g_ascii_strtoull (path + strlen ("/leases/"), NULL, 10);
      KvLease *lease = g_hash_table_lookup (kv->leases, &id);
      if (!lease)
        lab_answer (message, 404, g_strdup ("{\"error\":\"no such lease\"}"));
      else if (g_str_has_suffix (path, "/renew"))
        {
          lease->ends = lab_now (lab) + lease->ttl;
          lab_answer (message, 200, g_strdup_printf ("{\"permit\":%" G_GUINT64_FORMAT "}", id));
        }
      else
        {
          kv_end_lease (lab, id);
          lab_answer (message, 200, g_strdup ("{}"));
        }
    }
  else if (g_str_equal (path, "/kv"))
    {
      KvRange range = { 0 };
      const char *page = query ? g_hash_table_lookup (query, "page") : NULL;
      range.prefix = query ? g_hash_table_lookup (query, "starts") : "";
      range.since = query ? g_hash_table_lookup (query, "since") : NULL;
      range.page = page ? MIN (1000u, (guint) atoi (page)) : 1000u;
      range.out = g_string_new ("{\"rows\":[");
      g_tree_foreach (kv->entries, kv_range_add, &range);
      g_string_append_printf (range.out, "],\"hasNext\":%s,\"epoch\":%" G_GUINT64_FORMAT "}",
                              range.more ? "true" : "false", kv->epoch);
      lab_answer (message, 200, g_string_free (range.out, FALSE));
    }
  else if (g_str_has_prefix (path, "/kv/"))
    {
      const KvEntry *entry = g_tree_lookup (kv->entries, path + strlen ("/kv/"));
      if (entry)
        lab_answer (message, 200,
                    g_strdup_printf ("{\"path\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT
                                     ",\"permit\":%" G_GUINT64_FORMAT "}",
                                     path + strlen ("/kv/"), entry->value, entry->stamp, entry->permit));
      else
        lab_answer (message, 404, g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", kv->epoch));
    }
  else if (g_str_equal (path, "/follow"))
    {
      const char *prefix = g_hash_table_lookup (query, "starts"), *since = g_hash_table_lookup (query, "since"),
                 *wait = g_hash_table_lookup (query, "waitMs");
      guint64 after = since ? g_ascii_strtoull (since, NULL, 10) : 0;
      double wait_s = wait ? atof (wait) / 1000 : 0;
      guint n;
      char *news = kv_news (kv, prefix, after, &n);
      if (n || wait_s <= 0)
        lab_answer (message, 200, news);
      else
        {
          KvWatch *watch = g_new0 (KvWatch, 1);
          g_free (news);
          watch->server = server;
          watch->message = g_object_ref (message);
          watch->prefix = g_strdup (prefix);
          watch->since = after;
          watch->until = lab_now (lab) + wait_s;
          g_ptr_array_add (kv->watches, watch);
          soup_server_pause_message (server, message);
        }
    }
  else
    lab_answer (message, 400, g_strdup ("{\"error\":\"malformed\"}"));
  /* The request was carried out, and its answer is lost: the node waits until it gives up. */
  if (node && node->kv_drop_answers && !g_str_equal (path, "/follow"))
    soup_server_pause_message (server, g_object_ref (message));
}

/* ---- cloud ---- */

static Host *
cloud_rent (Lab *lab, LabFlavor *flavor, const char *yard, gboolean loaners)
{
  Host *host = g_new0 (Host, 1);
  host->lab = lab;
  host->name = g_strdup_printf ("i-%06u", ++lab->next_host);
  host->flavor = flavor;
  host->yard = yard;
  host->loaners = loaners;
  host->rented = lab_now (lab);
  host->up_at =
      host->rented + (lab->config.boot_s > 0 ? lab->config.boot_s : flavor->ready_s * g_random_double_range (0.6, 1.5));
  host->tenure = 1;
  host->pieces = g_ptr_array_new_with_free_func (g_free);
  host->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  host->node = g_random_int_range (0, LAB_NODES);
  g_ptr_array_add (lab->hosts, host);
  return host;
}

static void
host_end (Host *host, const char *why)
{
  if (host->gone)
    return;
  lab_note (host->lab, "host %s: gone (%s), with %u tasks", host->name, why, host->pieces->len);
  host->gone = TRUE;
  host->gone_at = lab_now (host->lab);
  g_ptr_array_set_size (host->pieces, 0);
}

static void
on_cloud (SoupServer *server, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
          gpointer user)
{
  Lab *lab = user;
  g_autofree char *body =
      g_strndup (message->request_body->data ? message->request_body->data : "", (gsize) message->request_body->length);
  GString *out = g_string_new (NULL);
  double now = lab_now (lab), lag = lab->config.list_lag_s;

  if (lab->cloud_outage)
    {
      g_string_free (out, TRUE);
      lab_answer (message, 503, g_strdup ("{\"error\":\"trouble\"}"));
      return;
    }
  if (g_str_equal (path, "/machine_types"))
    {
      g_string_append (out, "{\"flavors\":[");
      for (int i = 0; i < 4 && lab->config.flavors[i].name; i++)
        {
          const LabFlavor *flavor = &lab->config.flavors[i];
          g_string_append_printf (out,
                                  "%s{\"sku\":\"%s\",\"cpus\":%g,\"gpus\":0,\"ramGb\":%g,\"localGb\":70,"
                                  "\"pullGbPerS\":%g,\"price\":%g,\"lowPrice\":%g,\"readyS\":%g,\"yards\":[",
                                  i ? "," : "", flavor->name, flavor->cpus, flavor->ram_gb, flavor->pull, flavor->price,
                                  flavor->low_price, flavor->ready_s);
          for (int z = 0; z < 4 && lab->config.zones[z]; z++)
            g_string_append_printf (out, "%s\"%s\"", z ? "," : "", lab->config.zones[z]);
          g_string_append (out, "]}");
        }
      g_string_append (out, "]}");
    }
  else if (g_str_equal (path, "/hosts/return"))
    {
      cJSON *root = cJSON_Parse (body);
      const cJSON *item;
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "hosts"))
        for (guint i = 0; i < lab->hosts->len; i++)
          if (g_str_equal (((Host *) lab->hosts->pdata[i])->name, item->valuestring))
            host_end (lab->hosts->pdata[i], "returned");
      cJSON_Delete (root);
      g_string_append (out, "{}");
    }
  else if (g_str_equal (path, "/hosts") && g_str_equal (message->method, "POST"))
    {
      cJSON *root = cJSON_Parse (body);
      const char *hire = j_text (root, "hire"), *earlier = hire ? g_hash_table_lookup (lab->hires, hire) : NULL;
      int count = (int) j_number (root, "count", 1), alive = 0, n = 0;
      LabFlavor *flavor = NULL;
      const char *yard = NULL;
      for (int i = 0; i < 4 && lab->config.flavors[i].name; i++)
        if (g_strcmp0 (lab->config.flavors[i].name, j_text (root, "flavor")) == 0)
          flavor = &lab->config.flavors[i];
      for (int z = 0; z < 4 && lab->config.zones[z]; z++)
        if (g_strcmp0 (lab->config.zones[z], j_text (root, "yard")) == 0)
          yard = lab->config.zones[z];
      for (guint i = 0; i < lab->hosts->len; i++)
        alive += !((Host *) lab->hosts->pdata[i])->gone;
      if (earlier)
        g_string_append (out, earlier);
      else if (flavor && yard)
        {
          g_string_append (out, "{\"hosts\":[");
          for (; n < MIN (count, 50) && alive + n < lab->config.max_hosts; n++)
            g_string_append_printf (out, "%s\"%s\"", n ? "," : "",
                                    cloud_rent (lab, flavor, yard, j_flag (root, "loaners"))->name);
          g_string_append (out, "]}");
          if (n)
            {
              lab_note (lab, "cloud: hire %s: %d of %d %s in %s", hire, n, count, flavor->name, yard);
              g_hash_table_insert (lab->hires, g_strdup (hire), g_strdup (out->str));
            }
          else
            {
              g_string_free (out, TRUE);
              cJSON_Delete (root);
              lab_answer (message, 503, g_strdup ("{\"error\":\"no capacity\"}"));
              return;
            }
        }
      cJSON_Delete (root);
    }
  else
    {
      const char *since = query ? g_hash_table_lookup (query, "since") : NULL;
      guint n = 0;
      g_string_append (out, "{\"hosts\":[");
      for (guint i = 0; i < lab->hosts->len; i++)
        {
          const Host *host = lab->hosts->pdata[i];
          double as_of = now - lag;
          if (host->rented > as_of || (host->gone && host->gone_at <= as_of)
              || (since && strcmp (host->name, since) <= 0))
            continue;
          g_string_append_printf (out,
                                  "%s{\"uid\":\"%s\",\"addr\":\"127.0.0.1:9\",\"flavor\":\"%s\",\"yard\":\"%s\","
                                  "\"loaners\":%s,\"status\":\"%s\",\"ageS\":%.3f}",
                                  n++ ? "," : "", host->name, host->flavor->name, host->yard,
                                  host->loaners ? "true" : "false", host->up_at <= as_of ? "running" : "starting",
                                  as_of - host->rented);
        }
      g_string_append (out, "],\"hasNext\":false}");
    }
  lab_answer (message, 200, g_string_free (out, FALSE));
}

/* ---- requests to controllers ---- */

typedef void (*LabReply) (guint status, const char *body, gsize length, SoupMessage *message, gpointer user);

typedef struct
{
  Lab *lab;
  SoupMessage *message;
  LabReply done;
  gpointer user;
  guint timer;
} LabCall;

static void
on_lab_call (SoupSession *session, SoupMessage *message, gpointer data)
{
  LabCall *call = data;
  guint status = SOUP_STATUS_IS_TRANSPORT_ERROR (message->status_code) ? 0 : message->status_code;
  if (call->timer)
    g_source_remove (call->timer);
  if (call->done)
    call->done (status, message->response_body->data ? message->response_body->data : "",
                (gsize) message->response_body->length, message, call->user);
  g_free (call);
}

static gboolean
on_lab_call_timeout (gpointer data)
{
  LabCall *call = data;
  LabReply done = call->done;
  call->timer = 0;
  call->done = NULL;
  done (0, "", 0, NULL, call->user);
  soup_session_cancel_message (call->lab->session, call->message, SOUP_STATUS_CANCELLED);
  return G_SOURCE_REMOVE;
}

static void
lab_send (Lab *lab, const char *method, guint port, const char *path, const char *body, double timeout_s, LabReply done,
          gpointer user)
{
  g_autofree char *uri = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  LabCall *call = g_new0 (LabCall, 1);
  call->lab = lab;
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->user = user;
  if (body)
    soup_message_set_request (call->message, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  call->timer = g_timeout_add ((guint) (timeout_s * 1000), on_lab_call_timeout, call);
  soup_session_queue_message (lab->session, call->message, on_lab_call, call);
}

/* ---- workers ---- */

static const char *const piece_states[] = { "fetching", "gathering", "running", "saving", "ended" };

static LabJob *
lab_find_job (Lab *lab, const char *uid, gsize length)
{
  for (guint i = 0; i < lab->jobs->len; i++)
    {
      LabJob *job = lab->jobs->pdata[i];
      if (strlen (job->uid) == length && strncmp (job->uid, uid, length) == 0)
        return job;
    }
  return NULL;
}

static gboolean
piece_is_on_machine (const Piece *piece)
{
  return piece->state >= P_GATHERING && piece->state <= P_SAVING;
}

/* The rules that are checked when a task has its image. */
static void
check_start (Host *host, Piece *piece)
{
  Lab *lab = host->lab;
  LabJob *job = piece->job;
  double used = 0, now = lab_now (lab);

  lab->starts++;
  job->starts++;
  if (job->first_start <= 0)
    job->first_start = now;
  for (guint i = 0; i < lab->hosts->len; i++)
    {
      const Host *other = lab->hosts->pdata[i];
      for (guint k = 0; !other->gone && k < other->pieces->len; k++)
        {
          const Piece *p = other->pieces->pdata[k];
          if (!piece_is_on_machine (p))
            continue;
          if (strcmp (p->job->team, job->team) == 0)
            used += p->job->cpus;
          if (p != piece && p->job == job && p->number == piece->number)
            lab_violation (lab, "ran_twice",
                           "%s/%d starts on %s (try %" G_GUINT64_FORMAT ") while it is on %s (try %" G_GUINT64_FORMAT
                           ")",
                           job->uid, piece->number, host->name, piece->attempt, other->name, p->attempt);
        }
    }
  if (used > lab->config.team_max + 1e-6)
    lab_violation (lab, "quota", "team %s uses %g CPUs of %g", job->team, used, lab->config.team_max);
  if (job->cancelled && now > job->cancelled_at + lab->config.cancel_s)
    lab_violation (lab, "ran_cancelled", "%s/%d starts %.1f s after its user was told", job->uid, piece->number,
                   now - job->cancelled_at);
  if (host->loaners && !job->spot)
    lab_violation (lab, "wrong_place", "%s/%d on a spot machine", job->uid, piece->number);
  if (job->same_place || job->spread)
    {
      int here = 0, elsewhere = 0;
      for (guint i = 0; i < lab->hosts->len; i++)
        {
          const Host *other = lab->hosts->pdata[i];
          for (guint k = 0; !other->gone && k < other->pieces->len; k++)
            if (((Piece *) other->pieces->pdata[k])->job == job && piece_is_on_machine (other->pieces->pdata[k]))
              *(other->yard == host->yard ? &here : &elsewhere) += 1;
        }
      if (job->same_place && elsewhere)
        lab_violation (lab, "wrong_place", "%s/%d starts in %s, but %d tasks are in other zones", job->uid,
                       piece->number, host->yard, elsewhere);
      if (job->spread && here > (job->pieces + 1) / 2)
        lab_violation (lab, "wrong_place", "%s: %d of %d tasks are in %s", job->uid, here, job->pieces, host->yard);
    }
}

/* A machine fetches an image once for all tasks that need it. Returns: when the image is there */
static double
host_image_ready (Host *host, const LabJob *job)
{
  double *ready = g_hash_table_lookup (host->images, job->image), now = lab_now (host->lab);
  if (!ready)
    {
      ready = g_new (double, 1);
      *ready = now + job->size_gb / (host->flavor->pull * g_random_double_range (0.67, 1.33));
      g_hash_table_insert (host->images, g_strdup (job->image), ready);
    }
  return MAX (*ready, now);
}

/* Gives up the fetches for which no task waits any more. */
static void
host_give_up_fetches (Host *host)
{
  GHashTableIter iter;
  gpointer image, ready;
  double now = lab_now (host->lab);
  g_hash_table_iter_init (&iter, host->images);
  while (g_hash_table_iter_next (&iter, &image, &ready))
    {
      gboolean wanted = *(double *) ready <= now;
      for (guint i = 0; !wanted && i < host->pieces->len; i++)
        {
          const Piece *piece = host->pieces->pdata[i];
          wanted = piece->state == P_FETCHING && g_str_equal (piece->job->image, image);
        }
      if (wanted)
        continue;
      lab_note (host->lab, "host %s: gives up fetching %s, %.1f s before its end", host->name, (char *) image,
                *(double *) ready - now);
      g_hash_table_iter_remove (&iter);
    }
}

static void
host_run (Host *host, const char *name, guint64 attempt)
{
  Lab *lab = host->lab;
  const char *slash = strrchr (name, '/');
  LabJob *job = slash ? lab_find_job (lab, name, (gsize) (slash - name)) : NULL;
  int number = slash ? atoi (slash + 1) : 0;
  double used = 0, used_gb = 0;
  gboolean in_use = FALSE;
  Piece *piece;

  if (!job)
    {
      lab_violation (lab, "foreign_work", "%s is started on %s, but nobody submitted it", name, host->name);
      return;
    }
  for (guint i = 0; i < host->pieces->len; i++)
    {
      const Piece *p = host->pieces->pdata[i];
      if (p->job == job && p->number == number && p->attempt == attempt)
        return;
      if (p->state == P_ENDED)
        continue;
      used += p->job->cpus;
      used_gb += p->job->ram_gb;
      in_use = in_use || (p->job == job && p->number == number);
    }
  piece = g_new0 (Piece, 1);
  piece->job = job;
  piece->number = number;
  piece->attempt = attempt;
  piece->since = lab_now (lab);
  piece->ready_at = host_image_ready (host, job);
  g_ptr_array_add (host->pieces, piece);
  if (in_use || used + job->cpus > host->flavor->cpus + 1e-6 || used_gb + job->ram_gb > host->flavor->ram_gb + 1e-6)
    {
      piece->state = P_ENDED;
      piece->cause = in_use ? "in_use" : "full";
    }
}

static void
host_execute (Host *host, const cJSON *orders)
{
  const cJSON *order;
  cJSON_ArrayForEach (order, orders)
    {
      const char *verb = j_text (order, "verb"), *name = j_text (order, "piece");
      guint64 attempt = (guint64) j_number (order, "try", 0);
      if (!verb || !name)
        continue;
      if (g_str_equal (verb, "run"))
        {
          host_run (host, name, attempt);
          continue;
        }
      for (guint i = 0; i < host->pieces->len; i++)
        {
          Piece *piece = host->pieces->pdata[i];
          char own[64];
          g_snprintf (own, sizeof own, "%s/%d", piece->job->uid, piece->number);
          if (!g_str_equal (own, name) || piece->attempt != attempt)
            continue;
          if (g_str_equal (verb, "kill") && piece->state != P_ENDED)
            {
              double wind_down = j_number (order, "windDownS", 0);
              if (piece->state == P_RUNNING && piece->job->snapshot_every_s > 0 && wind_down >= piece->job->snapshot_s)
                {
                  piece->state = P_SAVING;
                  piece->end_at = lab_now (host->lab) + piece->job->snapshot_s;
                }
              else if (piece->state != P_SAVING || wind_down <= 0)
                {
                  piece->state = P_ENDED;
                  piece->cause = "stopped";
                }
            }
          else if (g_str_equal (verb, "reap") && piece->state == P_ENDED)
            g_ptr_array_remove_index (host->pieces, i);
          break;
        }
    }
}

static char *
host_report (Host *host)
{
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "{\"host\":\"%s\",\"addr\":\"127.0.0.1:9\",\"flavor\":\"%s\",\"yard\":\"%s\",\"loaners\":%s,"
                   "\"tenure\":%" G_GUINT64_FORMAT ",\"tick\":%" G_GUINT64_FORMAT ",\"baton\":%" G_GUINT64_FORMAT
                   ",\"reclaimInS\":null,\"pieces\":[",
                   host->name, host->flavor->name, host->yard, host->loaners ? "true" : "false", host->tenure,
                   ++host->tick, host->baton);
  for (guint i = 0; i < host->pieces->len; i++)
    {
      const Piece *piece = host->pieces->pdata[i];
      g_string_append_printf (out, "%s{\"piece\":\"%s/%d\",\"try\":%" G_GUINT64_FORMAT ",\"status\":\"%s\"",
                              i ? "," : "", piece->job->uid, piece->number, piece->attempt, piece_states[piece->state]);
      if (piece->state == P_ENDED)
        g_string_append_printf (out, ",\"cause\":\"%s\"%s", piece->cause, piece->stored ? ",\"stored\":true" : "");
      g_string_append_c (out, '}');
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

typedef struct
{
  Host *host;
  guint number;
  guint64 tenure;
  double sent;
  int node;
} Report;

static gsize
longest_line (const char *body, gsize length)
{
  gsize longest = 0, line = 0;
  for (gsize i = 0; i < length; i++)
    {
      line = body[i] == '\n' ? 0 : line + 1;
      longest = MAX (longest, line);
    }
  return longest;
}

static void
on_report (guint status, const char *body, gsize length, SoupMessage *message, gpointer data)
{
  Report *report = data;
  Host *host = report->host;
  Lab *lab = host->lab;
  double now = lab_now (lab);

  if (host->gone || host->hung || host->report_number != report->number || !host->awaiting)
    {
      g_free (report);
      return;
    }
  host->awaiting = FALSE;
  if (host->cut || lab->nodes[report->node].cut_from_workers)
    status = 0;
  if (status == 200)
    {
      gsize line = longest_line (body, length);
      lab->longest_answer = MAX (lab->longest_answer, (guint) line);
      if (line > LAB_BODY_LIMIT)
        {
          /* PROTOCOL: no line in a response to workers may be longer than 64 KiB. Such a line can't be read. */
          lab->oversized_answers++;
          host->oversized_answers++;
          lab_note (lab, "host %s: the answer of node %d has a line of %zu bytes, over the limit of %d", host->name,
                    report->node, line, LAB_BODY_LIMIT);
          status = 0;
        }
    }
  if (status == 200)
    {
      cJSON *root = cJSON_ParseWithLength (body, length);
      guint64 baton = (guint64) j_number (root, "baton", 0);
      if (baton >= host->baton && baton && report->tenure == host->tenure)
        {
          if (baton > host->baton)
            host->next_report = MIN (host->next_report, now + 0.5);
          host->baton = baton;
          host->lease_from = report->sent;
          host_execute (host, cJSON_GetObjectItemCaseSensitive (root, "orders"));
        }
      cJSON_Delete (root);
    }
  else
    {
      cJSON *root = status == 421 ? cJSON_ParseWithLength (body, length) : NULL;
      const char *steward = j_text (root, "steward");
      int next = steward ? steward[strlen (steward) - 1] - '0' : -1;
      if (next >= 0 && next < LAB_NODES && next != report->node)
        {
          host->node = next;
          host->next_report = now + g_random_double_range (0, 0.5);
        }
      else
        {
          host->node = (report->node + 1) % LAB_NODES;
          host->next_report = now + 1;
        }
      cJSON_Delete (root);
    }
  /* never more often than every half second */
  host->next_report = MAX (host->next_report, host->last_sent + 0.5);
  g_free (report);
}

typedef struct
{
  Lab *lab;
  char *body;
} LateReport;

static void
on_late_report_answer (guint status, const char *body, gsize length, SoupMessage *message, gpointer data)
{
}

static gboolean
on_late_report (gpointer data)
{
  LateReport *late = data;
  lab_send (late->lab, "POST", late->lab->nodes[g_random_int_range (0, LAB_NODES)].api, "/hello", late->body, 4,
            on_late_report_answer, NULL);
  g_free (late->body);
  g_free (late);
  return G_SOURCE_REMOVE;
}

static void
host_send (Host *host)
{
  Lab *lab = host->lab;
  g_autofree char *body = host_report (host);
  Report *report = g_new0 (Report, 1);
  gsize length = strlen (body);

  report->host = host;
  report->number = ++host->report_number;
  report->tenure = host->tenure;
  report->sent = host->last_sent = lab_now (lab);
  report->node = host->node;
  host->awaiting = TRUE;
  host->next_report = report->sent + lab->config.report_s * g_random_double_range (0.75, 1.25);
  if (g_random_double () < lab->report_copy_chance)
    {
      LateReport *late = g_new0 (LateReport, 1);
      late->lab = lab;
      late->body = g_strdup (body);
      g_timeout_add ((guint) g_random_int_range (500, 40000), on_late_report, late);
    }
  lab->longest_report = MAX (lab->longest_report, (guint) length);
  if (length > LAB_BODY_LIMIT)
    {
      lab->oversized_reports++;
      host->oversized_reports++;
    }
  if (host->cut || lab->nodes[host->node].cut_from_workers)
    lab_send (lab, "POST", 9, "/nowhere", NULL, 4, on_report, report);
  else
    lab_send (lab, "POST", lab->nodes[host->node].api, "/hello", body, 4, on_report, report);
}

static void
piece_complete (Host *host, Piece *piece)
{
  LabJob *job = piece->job;
  piece->state = P_ENDED;
  piece->cause = "done";
  host->lab->completions++;
  if (job->finished_pieces[piece->number])
    return;
  job->finished_pieces[piece->number] = 1;
  if (++job->finished == job->pieces)
    {
      job->finished_at = lab_now (host->lab);
      lab_note (host->lab, "%s: its last task has completed", job->uid);
    }
}

/* The tasks of an attempt of a gang that take part: they gather, run, save or are done on a machine that works. */
static int
gang_members (Lab *lab, const LabJob *job, guint64 attempt, gboolean gathering_only)
{
  int n = 0;
  for (guint i = 0; i < lab->hosts->len; i++)
    {
      const Host *host = lab->hosts->pdata[i];
      for (guint k = 0; !host->gone && !host->hung && k < host->pieces->len; k++)
        {
          const Piece *p = host->pieces->pdata[k];
          if (p->job == job && p->attempt == attempt
              && (p->state == P_GATHERING
                  || (!gathering_only
                      && (p->state == P_RUNNING || p->state == P_SAVING
                          || (p->state == P_ENDED && g_strcmp0 (p->cause, "done") == 0)))))
            n++;
        }
    }
  return n;
}

static gboolean
gang_tick (Host *host, Piece *piece)
{
  Lab *lab = host->lab;
  LabJob *job = piece->job;
  double now = lab_now (lab);

  if (piece->state == P_GATHERING)
    {
      if (gang_members (lab, job, piece->attempt, TRUE) == job->pieces)
        {
          lab_note (lab, "%s: the gang starts, try %" G_GUINT64_FORMAT, job->uid, piece->attempt);
          job->lost_since = 0;
          job->gang_started = TRUE;
          for (guint i = 0; i < lab->hosts->len; i++)
            {
              Host *other = lab->hosts->pdata[i];
              for (guint k = 0; !other->gone && k < other->pieces->len; k++)
                {
                  Piece *p = other->pieces->pdata[k];
                  if (p->job != job || p->attempt != piece->attempt)
                    continue;
                  p->state = P_RUNNING;
                  p->end_at = now + job->run_s;
                }
            }
          return TRUE;
        }
      if (now < piece->end_at)
        return FALSE;
      lab_note (lab, "%s/%d on %s: alone after %g s", job->uid, piece->number, host->name, lab->config.gang_wait_s);
      piece->state = P_ENDED;
      piece->cause = "alone";
      job->alone++;
      return TRUE;
    }
  if (piece->state != P_RUNNING)
    return FALSE;
  if (gang_members (lab, job, piece->attempt, FALSE) < job->pieces)
    {
      if (job->lost_since <= 0)
        job->lost_since = now;
      if (now < job->lost_since + lab->config.gang_peer_s * 0.9)
        return FALSE;
      piece->state = P_ENDED;
      piece->cause = "mates_gone";
      return TRUE;
    }
  if (now < piece->end_at)
    return FALSE;
  for (guint i = 0; i < lab->hosts->len; i++)
    {
      Host *other = lab->hosts->pdata[i];
      for (guint k = 0; !other->gone && k < other->pieces->len; k++)
        {
          Piece *p = other->pieces->pdata[k];
          if (p->job == job && p->attempt == piece->attempt && p->state == P_RUNNING)
            {
              piece_complete (other, p);
              other->next_report = MIN (other->next_report, MAX (now, other->last_sent + 0.5));
            }
        }
    }
  return TRUE;
}

static void
host_tick (Host *host)
{
  Lab *lab = host->lab;
  double now = lab_now (lab);
  gboolean changed = FALSE;

  if (host->gone || now < host->up_at)
    return;
  if (!host->up)
    {
      host->up = TRUE;
      host->lease_from = host->next_report = now;
    }
  if (now - host->lease_from > lab->config.lease_s)
    {
      lab_note (lab, "host %s: lease over in session %" G_GUINT64_FORMAT ", ends %u tasks", host->name, host->tenure,
                host->pieces->len);
      g_ptr_array_set_size (host->pieces, 0);
      host->tenure++;
      host->awaiting = FALSE;
      host->lease_from = now;
      host->next_report = MIN (host->next_report, now + 0.5);
    }
  if (host->hung)
    return;
  for (guint i = 0; i < host->pieces->len; i++)
    {
      Piece *piece = host->pieces->pdata[i];
      LabJob *job = piece->job;
      if (piece->state == P_FETCHING && now >= piece->ready_at)
        {
          gboolean again = job->finished_pieces[piece->number];
          piece->state = job->gang && !again ? P_GATHERING : P_RUNNING;
          piece->end_at = now + (again ? 0 : job->gang ? lab->config.gang_wait_s : job->run_s);
          check_start (host, piece);
          if (host->faulty)
            {
              piece->state = P_ENDED;
              piece->cause = "error";
            }
          else if (again && job->gang)
            piece_complete (host, piece);
          changed = TRUE;
        }
      else if (piece->state == P_SAVING)
        {
          if (now >= piece->end_at)
            {
              piece->state = P_ENDED;
              piece->cause = "stopped";
              piece->stored = changed = TRUE;
            }
        }
      else if (job->gang && piece->state != P_ENDED)
        changed = gang_tick (host, piece) || changed;
      else if (piece->state == P_RUNNING && now >= piece->end_at)
        {
          piece_complete (host, piece);
          changed = TRUE;
        }
      if (job->cancelled && piece_is_on_machine (piece) && now > job->cancelled_at + lab->config.cancel_s + 0.5)
        {
          lab_violation (lab, "ran_cancelled", "%s/%d is on %s %.1f s after its user was told", job->uid, piece->number,
                         host->name, now - job->cancelled_at);
          job->cancelled_at = now; /* reported once */
        }
    }
  host_give_up_fetches (host);
  if (changed)
    host->next_report = MIN (host->next_report, MAX (now, host->last_sent + 0.5));
  if (!host->awaiting && now >= host->next_report)
    host_send (host);
}

/* ---- users ---- */

/* A healthy node, as the load balancer chooses it. */
static int
lab_pick (Lab *lab)
{
  int ready[LAB_NODES], n = 0;
  for (int i = 0; i < LAB_NODES; i++)
    if (lab->nodes[i].ready)
      ready[n++] = i;
  return n ? ready[g_random_int_range (0, n)] : -1;
}

typedef struct
{
  LabJob *job;
  int node, kind; /* 0 submission, 1 poll, 2 cancellation */
  double sent;
  gboolean was_accepted, was_done, was_cancelled;
} UserCall;

static void
on_user (guint status, const char *body, gsize length, SoupMessage *message, gpointer data)
{
  UserCall *call = data;
  LabJob *job = call->job;
  Lab *lab = job->lab;
  double now = lab_now (lab);
  cJSON *root = status == 200 || status == 201 ? cJSON_ParseWithLength (body, length) : NULL;
  const char *state = j_text (root, "status");
  static const char *const kinds[] = { "submit", "poll", "cancel" };

  job->in_flight = FALSE;
  if (!lab->quiet || call->kind != 1 || status != 200 || g_strcmp0 (state, job->status) != 0)
    lab_note (lab, "user %s %s at node %d: %u %s", kinds[call->kind], job->uid, call->node, status,
              status ? (length < 160 ? body : "...") : "no answer");
  if (call->kind == 0)
    {
      job->next_submit = now + 1;
      if (state)
        {
          if (!job->accepted)
            job->accepted_at = job->last_poll_ok = now;
          job->accepted = TRUE;
          job->next_poll = now + 1;
        }
      else if (status == 400 || status == 422)
        {
          job->refused = TRUE;
          if (call->was_accepted)
            lab_violation (lab, "forgotten", "%s: accepted, but a repeated submission gets %u", job->uid, status);
        }
    }
  else if (call->kind == 1)
    {
      job->polls++;
      job->next_poll = now + 2;
      if (status == 404 && call->was_accepted)
        lab_violation (lab, "forgotten", "%s: accepted %.1f s ago, but node %d answers 404", job->uid,
                       now - job->accepted_at, call->node);
      if (state)
        job->last_poll_ok = now;
      else
        job->failed_polls++;
    }
  else
    job->next_cancel = now + 1;
  if (state)
    {
      if (g_str_equal (state, "done"))
        {
          if (job->finished < job->pieces)
            lab_violation (lab, "not_done", "%s is called done, but %d of %d tasks are", job->uid, job->finished,
                           job->pieces);
          if (!job->done)
            job->done_at = now;
          job->done = TRUE;
        }
      else if (g_str_equal (state, "cancelled"))
        {
          if (!job->cancel_wanted)
            lab_violation (lab, "went_back", "%s is called cancelled, but nobody cancelled it", job->uid);
          if (!job->cancelled)
            job->cancelled_at = now;
          job->cancelled = TRUE;
        }
      if ((call->was_done && !g_str_equal (state, "done"))
          || (call->was_cancelled && !g_str_equal (state, "cancelled")))
        lab_violation (lab, "went_back", "%s was called %s, and node %d calls it %s", job->uid,
                       call->was_done ? "done" : "cancelled", call->node, state);
      g_strlcpy (job->status, state, sizeof job->status);
    }
  cJSON_Delete (root);
  g_free (call);
}

static char *
job_body (const LabJob *job)
{
  return g_strdup_printf (
      "{\"uid\":\"%s\",\"lane\":\"%s\",\"owner\":\"%s\",\"shape\":\"%s\",\"urgency\":\"%s\",\"pieces\":%d,"
      "\"cpus\":%g,\"gpus\":0.0,\"ramGb\":%g,\"bundle\":\"%s\",\"sizeGb\":%g,\"flavors\":null,\"yard\":null,"
      "\"samePlace\":%s,\"spread\":%s,\"loaners\":%s,\"expectS\":%g,\"snapshotEveryS\":%g,\"snapshotS\":%g,"
      "\"dueS\":null}",
      job->uid, job->lane, job->team, job->gang ? "ensemble" : "sweep", job->urgency, job->pieces, job->cpus,
      job->ram_gb, job->image, job->size_gb, job->same_place ? "true" : "false", job->spread ? "true" : "false",
      job->spot ? "true" : "false", job->run_s, job->snapshot_every_s, job->snapshot_s);
}

static void
user_call (LabJob *job, int node, int kind)
{
  Lab *lab = job->lab;
  UserCall *call = g_new0 (UserCall, 1);
  g_autofree char *path = kind == 0   ? g_strdup ("/api/jobs")
                          : kind == 1 ? g_strdup_printf ("/api/jobs/%s", job->uid)
                                      : g_strdup_printf ("/api/jobs/%s/cancel", job->uid);
  if (!job->body)
    job->body = job_body (job);
  call->job = job;
  call->node = node;
  call->kind = kind;
  call->sent = lab_now (lab);
  call->was_accepted = job->accepted;
  call->was_done = job->done;
  call->was_cancelled = job->cancelled;
  job->in_flight = TRUE;
  lab_send (lab, kind == 1 ? "GET" : "POST", lab->nodes[node].api, path, kind == 0 ? job->body : NULL,
            kind == 1 ? 2 : 5, on_user, call);
}

static void
user_tick (LabJob *job)
{
  Lab *lab = job->lab;
  double now = lab_now (lab);
  int node;

  if (job->in_flight || job->refused || now < job->submitted_at || (node = lab_pick (lab)) < 0)
    return;
  if (!job->accepted)
    {
      if (now >= job->next_submit)
        user_call (job, node, 0);
    }
  else if (job->cancel_wanted && !job->cancelled && !job->done && now >= job->next_cancel)
    user_call (job, node, 2);
  else if (now >= job->next_poll && !(job->done && now > job->done_at + 10))
    user_call (job, node, 1);
}

static LabJob *
lab_add_job (Lab *lab, double at, int pieces, double cpus, double ram_gb, double run_s, const char *lane,
             const char *urgency)
{
  LabJob *job = g_new0 (LabJob, 1);
  job->lab = lab;
  g_snprintf (job->uid, sizeof job->uid, "run-%06u", lab->jobs->len + 1);
  g_snprintf (job->team, sizeof job->team, "%s-%02u", lab->config.team, lab->jobs->len % (guint) lab->config.n_teams);
  job->pieces = pieces;
  job->cpus = cpus;
  job->ram_gb = ram_gb;
  job->run_s = run_s;
  job->size_gb = 0.1;
  g_strlcpy (job->image, "img-01", sizeof job->image);
  g_strlcpy (job->lane, lane, sizeof job->lane);
  g_strlcpy (job->urgency, urgency, sizeof job->urgency);
  job->spot = TRUE;
  job->submitted_at = at;
  job->finished_pieces = g_new0 (guchar, (gsize) pieces);
  g_ptr_array_add (lab->jobs, job);
  return job;
}

/* ---- controllers ---- */

static void
lab_child_setup (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
lab_start_node (Lab *lab, int i)
{
  char *argv[] = { lab->program, "--config", lab->nodes[i].settings, NULL };
  g_autoptr (GError) error = NULL;
  g_autofree char *log = g_strdup_printf ("%s/node-%d.log", lab->dir, i);
  FILE *file = fopen (log, "a");
  if (!g_spawn_async_with_fds (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, lab_child_setup, NULL, &lab->nodes[i].pid,
                               -1, -1, file ? fileno (file) : -1, &error))
    {
      fprintf (stderr, "can't start %s: %s\n", lab->program, error->message);
      exit (2);
    }
  if (file)
    fclose (file);
  lab_note (lab, "node %d: process started", i);
}

static void
lab_signal (Lab *lab, int i, int signal_number)
{
  static const char *name;
  if (lab->nodes[i].pid <= 0)
    return;
  name = signal_number == SIGKILL ? "killed" : signal_number == SIGSTOP ? "stopped" : "continued";
  lab_note (lab, "node %d: %s", i, name);
  kill (lab->nodes[i].pid, signal_number);
  if (signal_number == SIGKILL)
    {
      waitpid (lab->nodes[i].pid, NULL, 0);
      lab->nodes[i].pid = 0;
    }
}

static void
lab_reap (Lab *lab)
{
  for (int i = 0; i < LAB_NODES; i++)
    {
      int status;
      if (lab->nodes[i].pid > 0 && waitpid (lab->nodes[i].pid, &status, WNOHANG) == lab->nodes[i].pid)
        {
          lab->nodes[i].pid = 0;
          lab->nodes[i].ended_by_itself++;
          lab_violation (lab, "process_ended", "node %d ended by itself, wait status %d", i, status);
        }
    }
}

/* ---- proxies ---- */

static void
pipe_close (Pipe *pipe)
{
  for (int i = 0; i < 2; i++)
    {
      if (pipe->watch[i])
        g_source_remove (pipe->watch[i]);
      if (pipe->fd[i] >= 0)
        close (pipe->fd[i]);
      g_byte_array_unref (pipe->pending[i]);
    }
  g_ptr_array_remove_fast (pipe->link->pipes, pipe);
  g_free (pipe);
}

static gboolean
pipe_flush (Pipe *pipe, int to)
{
  while (pipe->pending[to]->len)
    {
      gssize n = send (pipe->fd[to], pipe->pending[to]->data, pipe->pending[to]->len, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0)
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      g_byte_array_remove_range (pipe->pending[to], 0, (guint) n);
    }
  return TRUE;
}

static gboolean
on_pipe (gint fd, GIOCondition condition, gpointer data)
{
  Pipe *pipe = data;
  int from = fd == pipe->fd[0] ? 0 : 1, to = 1 - from;
  guchar buffer[16384];
  gssize n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return G_SOURCE_CONTINUE;
  if (n > 0)
    {
      g_byte_array_append (pipe->pending[to], buffer, (guint) n);
      if (pipe->link->cut || pipe_flush (pipe, to))
        return G_SOURCE_CONTINUE;
    }
  if (pipe->link->cut && n <= 0)
    {
      pipe->eof[from] = TRUE;
      pipe->watch[from] = 0;
      return G_SOURCE_REMOVE;
    }
  pipe->watch[from] = 0;
  pipe_close (pipe);
  return G_SOURCE_REMOVE;
}

static gboolean
on_link (gint fd, GIOCondition condition, gpointer data)
{
  Link *link = data;
  Pipe *pipe;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int accepted = accept (fd, NULL, NULL);
  if (accepted < 0)
    return G_SOURCE_CONTINUE;
  pipe = g_new0 (Pipe, 1);
  pipe->link = link;
  pipe->fd[0] = accepted;
  pipe->fd[1] = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_port = htons ((guint16) link->target);
  if (connect (pipe->fd[1], (struct sockaddr *) &address, sizeof address) != 0)
    {
      close (pipe->fd[0]);
      close (pipe->fd[1]);
      g_free (pipe);
      return G_SOURCE_CONTINUE;
    }
  g_ptr_array_add (link->pipes, pipe);
  for (int i = 0; i < 2; i++)
    {
      pipe->pending[i] = g_byte_array_new ();
      pipe->watch[i] = g_unix_fd_add (pipe->fd[i], G_IO_IN | G_IO_HUP | G_IO_ERR, on_pipe, pipe);
    }
  return G_SOURCE_CONTINUE;
}

static Link *
link_new (Lab *lab, guint port, guint target)
{
  Link *link = g_new0 (Link, 1);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;
  link->lab = lab;
  link->port = port;
  link->target = target;
  link->pipes = g_ptr_array_new ();
  link->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (link->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_port = htons ((guint16) port);
  if (bind (link->listener, (struct sockaddr *) &address, sizeof address) != 0 || listen (link->listener, 512) != 0)
    exit (2);
  g_unix_set_fd_nonblocking (link->listener, TRUE, NULL);
  g_unix_fd_add (link->listener, G_IO_IN, on_link, link);
  return link;
}

static void
link_set_cut (Link *link, gboolean cut)
{
  link->cut = cut;
  for (guint i = link->pipes->len; !cut && i-- > 0;)
    {
      Pipe *pipe = link->pipes->pdata[i];
      if (!pipe_flush (pipe, 0) || !pipe_flush (pipe, 1) || pipe->eof[0] || pipe->eof[1])
        pipe_close (pipe);
    }
}

/* ---- the laboratory ---- */

/* A free port below those that the kernel gives to outgoing connections, so that a controller that is started again
 * finds its own ports free. Each process of a case searches a range of its own. */
static guint
lab_free_port (void)
{
  static guint next;
  if (!next)
    next = 10240 + (guint) getpid () % 440 * 50;
  for (;;)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0), result;
      struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      guint port = next++;
      if (port > 32700)
        exit (2);
      address.sin_port = htons ((guint16) port);
      result = bind (fd, (struct sockaddr *) &address, sizeof address);
      close (fd);
      if (result == 0)
        return port;
    }
}

static const LabConfig lab_sahla = {
  .report_s = 2,
  .lease_s = 16,
  .cancel_s = 41,
  .gang_wait_s = 40,
  .gang_peer_s = 8,
  .kv_rps = 80,
  .kv_write_rps = 30,
  .value_kb = 16,
  .txn_ops = 24,
  .cloud_rps = 4,
  .list_lag_s = 3,
  .sockets = 700,
  .mem_mb = 56,
  .n_teams = 16,
  .team_cpus = 56,
  .team_max = 250,
  .site = "sahla-refill",
  .team = "refill-desk",
  .zones = { "bawshar", "nizwa", "seeb", "sohar" },
  .flavors = { { "pestle", 16, 64, 1.1, 0.43, 15, 0.5 }, { "mortar", 64, 256, 4.75, 2.13, 50, 0.5 } },
  .max_hosts = 44,
};

static const LabConfig lab_kaya = {
  .report_s = 1.5,
  .lease_s = 10,
  .cancel_s = 30,
  .gang_wait_s = 35,
  .gang_peer_s = 5,
  .kv_rps = 250,
  .kv_write_rps = 20,
  .value_kb = 16,
  .txn_ops = 16,
  .cloud_rps = 8,
  .list_lag_s = 8,
  .sockets = 1200,
  .mem_mb = 72,
  .n_teams = 8,
  .team_cpus = 24,
  .team_max = 64,
  .site = "kaya-bordro",
  .team = "bordro-ekibi",
  .zones = { "osmangazi", "nilufer", "yildirim", NULL },
  .flavors = { { "defter", 4, 32, 0.3, 0.11, 15, 0.12 }, { "kasa", 8, 32, 0.52, 0.21, 25, 0.15 } },
  .max_hosts = 40,
};

static void
lab_write_settings (Lab *lab, int i)
{
  const LabConfig *c = &lab->config;
  LabNode *node = &lab->nodes[i];
  GString *out = g_string_new (NULL);

  g_string_append_printf (out,
                          "node = \"hazelnode-%d\"\nsite = \"%s\"\napi_addr = \"127.0.0.1:%u\"\n"
                          "cluster_listen = \"127.0.0.1:%u\"\n",
                          i, c->zones[i % 2], node->api, node->peer);
  for (int k = 0; k < LAB_NODES; k++)
    if (k != i)
      g_string_append_printf (out, "[[peers]]\nnode = \"hazelnode-%d\"\nsite = \"%s\"\naddress = \"127.0.0.1:%u\"\n", k,
                              c->zones[k % 2], node->peer_via[k]);
  g_string_append_printf (out,
                          "[external]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n[cluster]\nsize = %d\n"
                          "zones = [",
                          node->cloud, node->kv, LAB_NODES);
  for (int z = 0; z < 4 && c->zones[z]; z++)
    g_string_append_printf (out, "%s\"%s\"", z ? ", " : "", c->zones[z]);
  g_string_append (out, "]\nskew_ms = 5.0\n");
  for (int t = 0; t < c->n_teams; t++)
    g_string_append_printf (out,
                            "[[cluster.teams]]\nname = \"%s-%02d\"\ncpus = %g\ncpus_max = %g\ngpus = 0.0\n"
                            "gpus_max = 0.0\n",
                            c->team, t, c->team_cpus, c->team_max);
  g_string_append_printf (out,
                          "[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\n"
                          "cancel_s = %g\n[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n"
                          "[cluster.cloud]\nrps = %g\nlist_lag_s = %g\n[cluster.resources]\ncpu_share = 0.12\n"
                          "mem_mb = %g\nsockets = %d\n",
                          c->report_s, c->lease_s, c->gang_wait_s, c->gang_peer_s, c->cancel_s, c->kv_rps,
                          c->kv_write_rps, c->value_kb, c->txn_ops, c->cloud_rps, c->list_lag_s, c->mem_mb, c->sockets);
  node->settings = g_strdup_printf ("%s/node-%d.toml", lab->dir, i);
  g_file_set_contents (node->settings, out->str, -1, NULL);
  g_string_free (out, TRUE);
}

static void
on_ready (guint status, const char *body, gsize length, SoupMessage *message, gpointer data)
{
  LabNode *node = data;
  node->ready = status == 200;
}

static gboolean
lab_probe (gpointer data)
{
  Lab *lab = data;
  for (int i = 0; i < LAB_NODES; i++)
    lab_send (lab, "GET", lab->nodes[i].api, "/ready", NULL, 1, on_ready, &lab->nodes[i]);
  return G_SOURCE_CONTINUE;
}

static gboolean
lab_tick (gpointer data)
{
  Lab *lab = data;
  lab_reap (lab);
  for (guint i = 0; i < lab->hosts->len; i++)
    host_tick (lab->hosts->pdata[i]);
  for (guint i = 0; !lab->users_pause && i < lab->jobs->len; i++)
    user_tick (lab->jobs->pdata[i]);
  return G_SOURCE_CONTINUE;
}

/* record: path of record.txt. The program is target/hazelbank, or what HAZELBANK names. */
static Lab *
lab_new (const LabConfig *config, const char *record)
{
  Lab *lab = g_new0 (Lab, 1);
  lab->config = *config;
  lab->t0 = g_get_monotonic_time ();
  lab->loop = g_main_loop_new (NULL, FALSE);
  lab->record = fopen (record, "w");
  if (!lab->record)
    exit (2);
  lab->program = g_strdup (g_getenv ("HAZELBANK") ? g_getenv ("HAZELBANK") : "target/hazelbank");
  lab->dir = g_strdup (g_getenv ("LAB_DIR"));
  if (!lab->dir)
    lab->dir = g_dir_make_tmp ("review-XXXXXX", NULL);
  lab->hosts = g_ptr_array_new ();
  lab->jobs = g_ptr_array_new ();
  lab->hires = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  lab->kv.entries = g_tree_new_full (kv_compare, NULL, g_free, kv_entry_free);
  lab->kv.changes = g_ptr_array_new ();
  lab->kv.leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  lab->kv.watches = g_ptr_array_new_with_free_func (kv_watch_free);
  return lab;
}

static void
lab_listen (SoupServer *server, guint port)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  if (!soup_server_listen (server, address, 0, &error))
    {
      fprintf (stderr, "can't listen: %s\n", error->message);
      exit (2);
    }
}

static void
lab_start (Lab *lab)
{
  lab->kv.epoch = MAX (1, lab->config.epoch_base);
  lab->kv_server = soup_server_new (NULL, NULL);
  lab->cloud_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (lab->kv_server, NULL, on_kv, lab, NULL);
  soup_server_add_handler (lab->cloud_server, NULL, on_cloud, lab, NULL);
  lab->session = soup_session_new_with_options (SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, 2000,
                                                SOUP_SESSION_MAX_CONNS_PER_HOST, 500, SOUP_SESSION_TIMEOUT, 0, NULL);
  for (int i = 0; i < LAB_NODES; i++)
    {
      LabNode *node = &lab->nodes[i];
      node->index = i;
      node->api = lab_free_port ();
      node->peer = lab_free_port ();
      node->kv = lab_free_port ();
      node->cloud = lab_free_port ();
      lab_listen (lab->kv_server, node->kv);
      lab_listen (lab->cloud_server, node->cloud);
    }
  for (int i = 0; i < LAB_NODES; i++)
    for (int k = 0; k < LAB_NODES; k++)
      if (i != k)
        {
          lab->nodes[i].peer_via[k] = lab_free_port ();
          lab->links[i][k] = link_new (lab, lab->nodes[i].peer_via[k], lab->nodes[k].peer);
        }
  for (int i = 0; i < LAB_NODES; i++)
    {
      lab_write_settings (lab, i);
      lab_start_node (lab, i);
    }
  g_timeout_add (50, kv_tick, lab);
  g_timeout_add (100, lab_tick, lab);
  g_timeout_add (1000, lab_probe, lab);
}

/* Cuts the connections between two controllers in both directions, or mends them. */
static void
lab_cut_peers (Lab *lab, int a, int b, gboolean cut)
{
  lab_note (lab, "nodes %d and %d %s", a, b, cut ? "are cut off from each other" : "reach each other again");
  link_set_cut (lab->links[a][b], cut);
  link_set_cut (lab->links[b][a], cut);
}

/* Ends all processes and says how the run ended. Returns: the exit status of the script */
static int
lab_finish (Lab *lab)
{
  for (int i = 0; i < LAB_NODES; i++)
    if (lab->nodes[i].pid > 0)
      {
        kill (lab->nodes[i].pid, SIGCONT);
        lab_signal (lab, i, SIGKILL);
      }
  lab_note (lab, "%u starts, %u completions, %u violations", lab->starts, lab->completions, lab->violations);
  if (lab->violations)
    lab_note (lab, "BROKEN %s", lab->first_violation);
  else
    lab_note (lab, "HELD");
  printf ("%s\n", lab->violations ? lab->first_violation : "held");
  return lab->violations ? 1 : 0;
}

static gboolean
lab_is_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

static gboolean
lab_quit (gpointer data)
{
  g_main_loop_quit (((Lab *) data)->loop);
  return G_SOURCE_REMOVE;
}

/* Runs the main loop until a time, in seconds since lab_new (). */
static void
lab_run_until (Lab *lab, double until)
{
  double left = until - lab_now (lab);
  if (left <= 0)
    return;
  g_timeout_add ((guint) (left * 1000), lab_quit, lab);
  g_main_loop_run (lab->loop);
}
