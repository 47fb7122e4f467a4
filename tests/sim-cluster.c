#include "sim-cluster.h"

#include <math.h>
#include <string.h>

#define FORGOTTEN_S 75.0
#define LEFT_WAITING_S 90.0
#define IN_FLIGHT_S 0.05 /* an answer with a start takes less */

/* ---- events ---- */

typedef struct
{
  double at;
  guint64 number;
  void (*run) (Sim *sim, gpointer data);
  gpointer data;
} Event;

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  const Event *x = a, *y = b;
  return x->at < y->at ? -1 : x->at > y->at ? 1 : x->number < y->number ? -1 : x->number > y->number;
}

void
sim_at (Sim *sim, double at, void (*run) (Sim *sim, gpointer data), gpointer data)
{
  Event *e = g_new0 (Event, 1);
  e->at = MAX (at, sim->now);
  e->number = sim->event_number++;
  e->run = run;
  e->data = data;
  g_sequence_insert_sorted (sim->events, e, compare_events, NULL);
}

void
sim_run (Sim *sim, double until)
{
  while (!g_sequence_is_empty (sim->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      Event e = *(Event *) g_sequence_get (first);
      if (e.at > until)
        break;
      g_sequence_remove (first);
      hzb_clock_advance (sim->clock, e.at - sim->now);
      sim->now = e.at;
      e.run (sim, e.data);
      if (sim->now >= sim->next_check)
        {
          sim_check (sim);
          sim->next_check = sim->now + sim->size.check_s;
        }
    }
  hzb_clock_advance (sim->clock, until - sim->now);
  sim->now = until;
}

static void
broken (Sim *sim, const char *rule, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (sim->broken, g_strdup_printf ("%s at %.2f: %s", rule, sim->now, text));
}

static gboolean
chance (Sim *sim, double p)
{
  return g_rand_double (sim->rand) < p;
}

static SimJob *
find_job (Sim *sim, const char *uid)
{
  return g_hash_table_lookup (sim->by_uid, uid);
}

/* ---- state service ---- */

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

/* A call of a node to another host. */
typedef struct
{
  guint node, life;
  char *method, *addr, *path, *body;
  HzbReplyFunc done;
  gpointer user;
  gboolean over;
  guint refs;
  guint status;
  char *reply;
} Call;
static void answer (Sim *sim, Call *call, guint status, char *body);

typedef struct
{
  Call *call;
  char *prefix;
  guint64 after;
  double until;
} Watcher;

static char *
watch_body (Sim *sim, const char *prefix, guint64 after, gboolean *any)
{
  cJSON *root = cJSON_CreateObject (), *list;
  guint first = sim->history->len;
  char *text;
  hzb_json_add_u64 (root, "epoch", sim->revision);
  list = cJSON_AddArrayToObject (root, "news");
  *any = FALSE;
  while (first && ((Change *) sim->history->pdata[first - 1])->version > after)
    first--;
  for (guint i = first; i < sim->history->len; i++)
    {
      const Change *change = sim->history->pdata[i];
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
      if (sim->outage)
        return;
      if (sim->nodes[watcher->call->node].refused)
        continue; /* it waits, as in an outage */
      body = watch_body (sim, watcher->prefix, watcher->after, &any);
      if (any || sim->now >= watcher->until)
        {
          answer (sim, watcher->call, 200, body);
          g_free (watcher->prefix);
          g_free (watcher);
          g_ptr_array_remove_index (sim->watchers, i--);
        }
      else
        g_free (body);
    }
}

static void
watch_over (Sim *sim, gpointer data)
{
  wake_watchers (sim);
}

/* What is recorded of a job's progress can only grow until it is removed. */
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
      broken (sim, "progress_went_back", "%s, %s: %s -> %s", key, old->string, from, to);
  }
  cJSON_Delete (before);
  cJSON_Delete (after);
}

static void
record (Sim *sim, const char *key, const char *text, guint64 lease)
{
  const Value *known = g_hash_table_lookup (sim->kv, key);
  if (known && text && strstr (key, "/progress/"))
    check_progress (sim, key, known->text, text);
  {
    Change *change = g_new0 (Change, 1);
    change->key = g_strdup (key);
    change->text = g_strdup (text);
    change->version = sim->revision;
    g_ptr_array_add (sim->history, change);
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
end_lease (Sim *sim, guint64 lease)
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
      record (sim, keys->pdata[i], NULL, 0);
    }
  wake_watchers (sim);
}

typedef struct
{
  double until, ttl;
} Lease;

static void
lease_tick (Sim *sim, gpointer data)
{
  guint64 id = GPOINTER_TO_SIZE (data);
  Lease *lease = g_hash_table_lookup (sim->leases, data);
  if (!lease)
    return;
  if (sim->outage)
    lease->until = sim->now + lease->ttl; /* every lease has its full time again */
  if (sim->now >= lease->until)
    end_lease (sim, id);
  else
    sim_at (sim, sim->outage ? sim->now + 0.1 : lease->until + 0.05, lease_tick, data);
}

static guint
store_txn (Sim *sim, const char *body, char **out)
{
  cJSON *txn = cJSON_Parse (body ? body : ""), *root = cJSON_CreateObject (), *failed = cJSON_CreateArray ();
  const cJSON *item;
  guint status = 200, changes = (guint) cJSON_GetArraySize (cJSON_GetObjectItem (txn, "then"));
  if (!txn)
    broken (sim, "malformed", "a transaction: %s", body ? body : "no body");
  sim->write_budget = MIN (sim->write_budget + (sim->now - sim->write_filled) * sim->write_rate, sim->write_rate);
  sim->write_filled = sim->now;
  if (sim->write_rate > 0 && changes > sim->write_budget)
    {
      cJSON_Delete (txn);
      cJSON_Delete (root);
      cJSON_Delete (failed);
      return 429;
    }
  if (sim->most_changes && changes > sim->most_changes)
    {
      broken (sim, "too_large", "%u changes in a transaction", changes);
      status = 400;
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (txn, "then"))
  {
    char *value = cJSON_PrintUnformatted (cJSON_GetObjectItem (item, "value"));
    if (sim->most_value && value && strlen (value) > sim->most_value)
      {
        broken (sim, "too_large", "%s has %u bytes", hzb_json_text (item, "put"), (guint) strlen (value));
        status = 400;
      }
    cJSON_free (value);
  }
  sim->write_budget -= changes;
  sim->written += changes;
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (txn, "when"))
  {
    const Value *value = g_hash_table_lookup (sim->kv, hzb_json_text (item, "path"));
    if ((value ? value->version : 0) != hzb_json_u64 (item, "stamp"))
      cJSON_AddItemToArray (failed, cJSON_CreateString (hzb_json_text (item, "path")));
  }
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (txn, "then"))
  {
    guint64 lease = hzb_json_u64 (item, "permit");
    if (lease && !g_hash_table_contains (sim->leases, GSIZE_TO_POINTER (lease)))
      status = 400;
  }
  if (status == 200 && cJSON_GetArraySize (failed))
    status = 409;
  if (status == 200 && cJSON_GetArraySize (cJSON_GetObjectItem (txn, "then")))
    {
      sim->revision++;
      cJSON_ArrayForEach (item, cJSON_GetObjectItem (txn, "then")) if (hzb_json_text (item, "put"))
      {
        char *text = cJSON_PrintUnformatted (cJSON_GetObjectItem (item, "value"));
        record (sim, hzb_json_text (item, "put"), text, hzb_json_u64 (item, "permit"));
        cJSON_free (text);
      }
      else if (g_hash_table_contains (sim->kv, hzb_json_text (item, "remove")))
          record (sim, hzb_json_text (item, "remove"), NULL, 0);
    }
  cJSON_AddItemToObject (root, "failed", failed);
  hzb_json_add_u64 (root, "epoch", sim->revision);
  *out = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  cJSON_Delete (txn);
  wake_watchers (sim);
  return status;
}

void
sim_put_record (Sim *sim, const char *key, const char *text)
{
  sim->revision++;
  record (sim, key, text, 0);
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

static char *
query (const char *path, const char *name)
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
store_range (Sim *sim, const char *path)
{
  g_autofree char *prefix = query (path, "starts"), *after = query (path, "since");
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
      if (i == sim->size.rows)
        {
          more = TRUE;
          break;
        }
      sim->rows_read++;
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
store_item (Sim *sim, const char *key)
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

/* ---- calls between hosts ---- */

static void
call_unref (Call *call)
{
  if (--call->refs)
    return;
  g_free (call->method);
  g_free (call->addr);
  g_free (call->path);
  g_free (call->body);
  g_free (call->reply);
  g_free (call);
}

static void
call_finish (Sim *sim, Call *call, guint status, const char *body)
{
  SimNode *node = &sim->nodes[call->node];
  if (call->over)
    return;
  call->over = TRUE;
  if (node->controller && node->life == call->life)
    call->done (status, body ? body : "", body ? strlen (body) : 0, call->user);
}

static gboolean stands (SimNode *node, void (*run) (Sim *sim, gpointer data), gpointer data);

static void
on_timeout (Sim *sim, gpointer data)
{
  if (stands (&sim->nodes[((Call *) data)->node], on_timeout, data))
    return;
  call_finish (sim, data, 0, NULL);
  call_unref (data);
}

/* Kept until the node wakes; TRUE: it stands. */
static gboolean
stands (SimNode *node, void (*run) (Sim *sim, gpointer data), gpointer data)
{
  Event *late;
  if (!node->controller || !node->stands)
    return FALSE;
  late = g_new0 (Event, 1);
  late->run = run;
  late->data = data;
  g_ptr_array_add (node->late, late);
  return TRUE;
}

void
sim_wake (Sim *sim, guint at)
{
  SimNode *node = &sim->nodes[at];
  g_autoptr (GPtrArray) late = node->late;
  node->late = g_ptr_array_new_with_free_func (g_free);
  node->stands = FALSE;
  for (guint i = 0; i < late->len; i++)
    ((Event *) late->pdata[i])->run (sim, ((Event *) late->pdata[i])->data);
}

static void
on_answer (Sim *sim, gpointer data)
{
  Call *call = data;
  if (stands (&sim->nodes[call->node], on_answer, call))
    return;
  call_finish (sim, call, call->status, call->reply);
  call_unref (call);
}

static double
delay (Sim *sim)
{
  return g_rand_double_range (sim->rand, 0.001, 0.01);
}

static gboolean
is_cut (Sim *sim, const Call *call)
{
  const SimNode *node = &sim->nodes[call->node];
  gboolean store = g_str_equal (call->addr, "10.9.0.1:1"), cloud = g_str_equal (call->addr, "10.9.0.2:1");
  if (store)
    return node->cut_store;
  if (cloud)
    return FALSE;
  return node->cut_peers || sim->nodes[call->addr[7] - '1'].cut_peers;
}

/* Takes body and the call's part of the way back. */
static void
answer (Sim *sim, Call *call, guint status, char *body)
{
  call->status = status;
  call->reply = body;
  if (chance (sim, sim->lose) || is_cut (sim, call))
    call_unref (call);
  else
    sim_at (sim, sim->now + delay (sim), on_answer, call);
}

static void cloud_request (Sim *sim, Call *call);

/* What a process of version 1 never said. */
static char *
as_version_1 (const char *body)
{
  cJSON *root = cJSON_Parse (body ? body : "");
  char *text;
  cJSON_DeleteItemFromObject (root, "format");
  cJSON_DeleteItemFromObject (root, "cancelled");
  cJSON_DeleteItemFromObject (root, "heard");
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

static void
peer_reply (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  gpointer *pair = exchange->impl;
  {
    Sim *sim = pair[0];
    Call *call = pair[1];
    gboolean old = sim->nodes[call->addr[7] - '1'].old;
    answer (sim, call, status, old ? as_version_1 (body) : g_strdup (body));
  }
  g_free (pair);
}

static void
on_arrival (Sim *sim, gpointer data)
{
  Call *call = data;
  char *body = NULL;
  if (g_str_equal (call->addr, "10.9.0.1:1"))
    {
      sim->requests++;
      if (sim->outage || sim->nodes[call->node].refused)
        answer (sim, call, 503, NULL);
      else if (g_str_equal (call->path, "/multi"))
        {
          guint status = store_txn (sim, call->body, &body);
          answer (sim, call, status, body);
        }
      else if (g_str_has_prefix (call->path, "/kv/"))
        {
          body = store_item (sim, call->path + 4);
          answer (sim, call, body ? 200 : 404, body);
        }
      else if (g_str_has_prefix (call->path, "/kv?"))
        answer (sim, call, 200, store_range (sim, call->path));
      else if (g_str_has_prefix (call->path, "/follow"))
        {
          Watcher *watcher = g_new0 (Watcher, 1);
          g_autofree char *after = query (call->path, "since"), *wait = query (call->path, "waitMs");
          watcher->call = call;
          watcher->prefix = query (call->path, "starts");
          watcher->after = g_ascii_strtoull (after, NULL, 10);
          watcher->until = sim->now + g_ascii_strtod (wait, NULL) / 1000;
          g_ptr_array_add (sim->watchers, watcher);
          sim_at (sim, watcher->until, watch_over, NULL);
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
          sim_at (sim, lease->until, lease_tick, GSIZE_TO_POINTER (sim->lease_number));
          answer (sim, call, 200, g_strdup_printf ("{\"permit\":%" G_GUINT64_FORMAT "}", sim->lease_number));
        }
      else
        {
          guint64 id = g_ascii_strtoull (call->path + strlen ("/leases/"), NULL, 10);
          Lease *lease = g_hash_table_lookup (sim->leases, GSIZE_TO_POINTER (id));
          guint status = lease ? 200 : 404;
          if (lease && g_str_equal (call->method, "DELETE"))
            end_lease (sim, id);
          else if (lease)
            lease->until = sim->now + lease->ttl;
          answer (sim, call, status, NULL);
        }
    }
  else if (g_str_equal (call->addr, "10.9.0.2:1"))
    cloud_request (sim, call);
  else
    {
      SimNode *target = &sim->nodes[call->addr[7] - '1'];
      HzbExchange *exchange;
      gpointer *pair;
      if (!target->controller)
        {
          answer (sim, call, 0, NULL);
          return;
        }
      if (stands (target, on_arrival, call))
        return;
      exchange = g_new0 (HzbExchange, 1);
      pair = g_new0 (gpointer, 2);
      pair[0] = sim;
      pair[1] = call;
      exchange->method = g_strdup (call->method);
      exchange->path = g_strdup (call->path);
      exchange->body = g_strdup (call->body ? call->body : "");
      exchange->length = strlen (exchange->body);
      exchange->reply = peer_reply;
      exchange->impl = pair;
      hzb_controller_peer_request (exchange, target->controller);
    }
}

/* The same message, whose answer nobody hears. */
static Call *
unheard_copy (const Call *call)
{
  Call *copy = g_new0 (Call, 1);
  copy->node = call->node;
  copy->life = G_MAXUINT;
  copy->method = g_strdup (call->method);
  copy->addr = g_strdup (call->addr);
  copy->path = g_strdup (call->path);
  copy->body = g_strdup (call->body);
  copy->refs = 1;
  return copy;
}

static void
node_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
           guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  SimTransport *from = (SimTransport *) transport;
  Sim *sim = from->world;
  Call *call = g_new0 (Call, 1);
  call->node = from->at;
  call->life = from->life;
  call->method = g_strdup (method);
  call->addr = g_strdup (addr);
  call->path = g_strdup (path);
  call->body = body;
  if (sim->nodes[from->at].old && !g_str_has_prefix (addr, "10.9."))
    {
      call->body = as_version_1 (body);
      g_free (body);
    }
  call->done = done;
  call->user = user;
  call->refs = 1;
  sim_at (sim, sim->now + timeout_ms / 1000.0, on_timeout, call);
  if (chance (sim, sim->lose) || is_cut (sim, call))
    return;
  if (!g_str_has_prefix (addr, "10.9.") && chance (sim, sim->peer_copies))
    sim_at (sim, sim->now + g_rand_double_range (sim->rand, 0.2, 30), on_arrival, unheard_copy (call));
  if (g_str_equal (path, "/multi") && chance (sim, sim->late_writes))
    {
      sim_at (sim, sim->now + g_rand_double_range (sim->rand, 2, 12), on_arrival, unheard_copy (call));
      return;
    }
  call->refs++;
  /* Held back: it is carried out long after its sender has given up. */
  sim_at (sim, sim->now + (chance (sim, sim->late) ? g_rand_double_range (sim->rand, 1, 9) : delay (sim)), on_arrival,
          call);
}

/* ---- cloud ---- */

static void machine_tick (Sim *sim, gpointer data);

SimMachine *
sim_add_machine (Sim *sim, const char *type, const char *zone, gboolean spot, double up_after)
{
  SimMachine *machine = g_new0 (SimMachine, 1);
  machine->name = g_strdup_printf ("i-%06u", ++sim->machine_number);
  machine->type = g_strdup (type);
  machine->zone = g_strdup (zone);
  machine->spot = spot;
  machine->cpus = *type == 'b' ? 8 : 4;
  machine->rented = sim->now;
  machine->up_at = sim->now + up_after;
  machine->listed_at = sim->now + g_rand_double_range (sim->rand, 1, 4);
  machine->gone_at = INFINITY;
  machine->session = 1;
  machine->tasks = g_ptr_array_new ();
  machine->node = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  g_ptr_array_add (sim->machines, machine);
  if (!sim->boot_never || !chance (sim, 0.2))
    sim_at (sim, machine->up_at, machine_tick, machine);
  return machine;
}

static void
cloud_request (Sim *sim, Call *call)
{
  if (g_str_equal (call->path, "/machine_types"))
    answer (
        sim, call, 200,
        g_strdup ("{\"flavors\":[{\"sku\":\"big\",\"cpus\":8,\"gpus\":0,\"ramGb\":32,\"localGb\":50,\"pullGbPerS\":1,"
                  "\"price\":1.0,\"lowPrice\":0.4,\"readyS\":4,\"yards\":[\"za\",\"zb\"]},"
                  "{\"sku\":\"small\",\"cpus\":4,\"gpus\":0,\"ramGb\":16,\"localGb\":50,\"pullGbPerS\":1,"
                  "\"price\":0.6,\"lowPrice\":0.25,\"readyS\":3,\"yards\":[\"za\",\"zb\"]}]}"));
  else if (g_str_equal (call->path, "/hosts"))
    {
      cJSON *root = cJSON_Parse (call->body), *out, *list;
      const char *request = hzb_json_text (root, "hire");
      const char *known = g_hash_table_lookup (sim->requested, request);
      if (!known)
        {
          guint alive = 0, count = (guint) hzb_json_number (root, "count", 1);
          char *text;
          for (guint i = 0; i < sim->machines->len; i++)
            alive += !((SimMachine *) sim->machines->pdata[i])->gone;
          out = cJSON_CreateObject ();
          list = cJSON_AddArrayToObject (out, "hosts");
          sim->rentals++;
          if (g_strcmp0 (sim->closed_zone, hzb_json_text (root, "yard")) == 0)
            count = 0;
          for (; count && alive < sim->size.machines; count--, alive++)
            cJSON_AddItemToArray (
                list,
                cJSON_CreateString (sim_add_machine (sim, hzb_json_text (root, "flavor"), hzb_json_text (root, "yard"),
                                                     cJSON_IsTrue (cJSON_GetObjectItem (root, "loaners")),
                                                     g_rand_double_range (sim->rand, 1, 6))
                                        ->name));
          if (cJSON_GetArraySize (list))
            {
              text = cJSON_PrintUnformatted (out);
              known = g_strdup (text);
              cJSON_free (text);
              g_hash_table_insert (sim->requested, g_strdup (request), (gpointer) known);
            }
          cJSON_Delete (out);
        }
      cJSON_Delete (root);
      if (known)
        answer (sim, call, 200, g_strdup (known));
      else
        answer (sim, call, 503, g_strdup ("{\"error\":\"no capacity\"}"));
    }
  else if (g_str_equal (call->path, "/hosts/return"))
    {
      cJSON *root = cJSON_Parse (call->body);
      const cJSON *item;
      sim->most_returned = MAX (sim->most_returned, (guint) cJSON_GetArraySize (cJSON_GetObjectItem (root, "hosts")));
      cJSON_ArrayForEach (item, cJSON_GetObjectItem (root, "hosts")) for (guint i = 0; i < sim->machines->len; i++)
      {
        SimMachine *machine = sim->machines->pdata[i];
        if (g_str_equal (machine->name, item->valuestring) && !machine->gone)
          {
            machine->gone = TRUE;
            machine->gone_at = sim->now;
            g_ptr_array_set_size (machine->tasks, 0);
          }
      }
      cJSON_Delete (root);
      answer (sim, call, 200, g_strdup ("{}"));
    }
  else
    {
      cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "hosts");
      g_autofree char *since = query (call->path, "since");
      gboolean more = FALSE;
      guint n = 0;
      char *text;
      for (guint i = 0; i < sim->machines->len; i++)
        {
          const SimMachine *machine = sim->machines->pdata[i];
          cJSON *item;
          if (sim->now < machine->listed_at || sim->now > machine->gone_at + 3
              || (since && strcmp (machine->name, since) <= 0))
            continue;
          if (n++ == 500)
            {
              more = TRUE;
              break;
            }
          item = cJSON_CreateObject ();
          cJSON_AddStringToObject (item, "uid", machine->name);
          cJSON_AddStringToObject (item, "addr", "10.1.0.1:1");
          cJSON_AddStringToObject (item, "flavor", machine->type);
          cJSON_AddStringToObject (item, "yard", machine->zone);
          cJSON_AddBoolToObject (item, "loaners", machine->spot);
          cJSON_AddStringToObject (item, "status", machine->failed ? "failed" : machine->up ? "running" : "starting");
          cJSON_AddNumberToObject (item, "ageS", sim->now - machine->rented);
          cJSON_AddItemToArray (list, item);
        }
      cJSON_AddBoolToObject (root, "hasNext", more);
      text = cJSON_PrintUnformatted (root);
      cJSON_Delete (root);
      answer (sim, call, 200, text);
    }
}

/* ---- workers ---- */

static const char *const state_names[] = { "fetching", "gathering", "running", "saving", "ended" };

static void
forget_tasks (SimMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      g_free (((SimTask *) machine->tasks->pdata[i])->uid);
      g_free (machine->tasks->pdata[i]);
    }
  g_ptr_array_set_size (machine->tasks, 0);
}

static void
end_task (SimTask *task, const char *why)
{
  task->state = 4;
  g_strlcpy (task->why, why, sizeof task->why);
}

SimTask *
sim_put_task (Sim *sim, SimMachine *machine, SimJob *job, guint number, guint64 attempt)
{
  SimTask *task = g_new0 (SimTask, 1);
  task->uid = g_strdup (job->uid);
  task->task = number;
  task->attempt = attempt;
  task->ready_at = sim->now + 0.5;
  task->end_at = task->ready_at + job->run_s * g_rand_double_range (sim->rand, 0.6, 1.5);
  g_ptr_array_add (machine->tasks, task);
  sim->started++;
  if (job->began_at <= 0)
    job->began_at = sim->now;
  return task;
}

/* spread: at most half of the tasks, rounded up, in one zone; the one just put there is counted. */
static gboolean
zone_has_place (Sim *sim, const SimJob *job, const SimMachine *machine)
{
  guint here = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    {
      const SimMachine *other = sim->machines->pdata[i];
      for (guint k = 0; k < other->tasks->len && !other->gone; k++)
        {
          const SimTask *task = other->tasks->pdata[k];
          here += task->state < 4 && g_str_equal (task->uid, job->uid) && g_str_equal (other->zone, machine->zone);
        }
    }
  return here <= (job->n + 1) / 2;
}

/* samePlace: all tasks that are on a machine, or may be, are in one zone. */
static gboolean
in_one_zone (Sim *sim, const SimJob *job, const SimMachine *machine)
{
  for (guint i = 0; i < sim->machines->len; i++)
    {
      const SimMachine *other = sim->machines->pdata[i];
      for (guint k = 0; k < other->tasks->len && !other->gone && !g_str_equal (other->zone, machine->zone); k++)
        {
          const SimTask *task = other->tasks->pdata[k];
          if (task->state < 4 && g_str_equal (task->uid, job->uid))
            return FALSE;
        }
    }
  return TRUE;
}

void
sim_start_task (Sim *sim, SimMachine *machine, const char *task_report, guint64 attempt)
{
  const char *slash = strrchr (task_report, '/');
  g_autofree char *uid = g_strndup (task_report, (gsize) (slash - task_report));
  guint number = (guint) g_ascii_strtoull (slash + 1, NULL, 10);
  SimJob *job = find_job (sim, uid);
  double used = 0;
  gboolean same = FALSE;
  SimTask *task;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const SimTask *other = machine->tasks->pdata[i];
      gboolean this_one = g_str_equal (other->uid, uid) && other->task == number;
      if (this_one && other->attempt == attempt)
        return;
      if (other->state < 4)
        {
          used += find_job (sim, other->uid)->cpus;
          same = same || this_one;
        }
    }
  if (!job)
    return;
  if (job->told_cancelled && sim->now > job->cancelled_at + IN_FLIGHT_S)
    broken (sim, "started_cancelled", "%s on %s", task_report, machine->name);
  task = sim_put_task (sim, machine, job, number, attempt);
  if (same)
    end_task (task, "in_use");
  else if (used + job->cpus > machine->cpus)
    end_task (task, "full");
  else if (job->spot == FALSE && machine->spot)
    broken (sim, "wrong_place", "%s on a spot machine", task_report);
  else if (job->spread && !zone_has_place (sim, job, machine))
    broken (sim, "wrong_place", "%s: too many in %s", task_report, machine->zone);
  else if (job->same_zone && !in_one_zone (sim, job, machine))
    broken (sim, "wrong_place", "%s in %s, others are in another zone", task_report, machine->zone);
  else if ((job->zone && !g_str_equal (job->zone, machine->zone))
           || (job->type && !g_str_equal (job->type, machine->type)))
    broken (sim, "wrong_place", "%s on %s in %s", task_report, machine->type, machine->zone);
}

static void
carry_out (Sim *sim, SimMachine *machine, const cJSON *commands)
{
  const cJSON *order;
  cJSON_ArrayForEach (order, commands)
  {
    const char *verb = hzb_json_text (order, "verb"), *task_report = hzb_json_text (order, "piece");
    guint64 attempt = hzb_json_u64 (order, "try");
    if (g_str_equal (verb, "run"))
      {
        sim_start_task (sim, machine, task_report, attempt);
        continue;
      }
    for (guint i = 0; i < machine->tasks->len; i++)
      {
        SimTask *task = machine->tasks->pdata[i];
        g_autofree char *name = g_strdup_printf ("%s/%u", task->uid, task->task);
        if (!g_str_equal (name, task_report) || task->attempt != attempt)
          continue;
        if (g_str_equal (verb, "kill") && task->state < 4)
          end_task (task, "stopped");
        else if (g_str_equal (verb, "reap") && task->state == 4)
          {
            g_free (task->uid);
            g_free (task);
            g_ptr_array_remove_index (machine->tasks, i);
            break;
          }
      }
  }
}

static char *
report_of (Sim *sim, SimMachine *machine)
{
  cJSON *root = cJSON_CreateObject (), *list;
  char *text;
  cJSON_AddStringToObject (root, "host", machine->name);
  cJSON_AddStringToObject (root, "addr", "10.1.0.1:1");
  cJSON_AddStringToObject (root, "flavor", machine->type);
  cJSON_AddStringToObject (root, "yard", machine->zone);
  cJSON_AddBoolToObject (root, "loaners", machine->spot);
  hzb_json_add_u64 (root, "tenure", machine->session);
  hzb_json_add_u64 (root, "tick", ++machine->seq);
  hzb_json_add_u64 (root, "baton", machine->token);
  if (machine->taken_at > 0)
    cJSON_AddNumberToObject (root, "reclaimInS", machine->taken_at - sim->now);
  list = cJSON_AddArrayToObject (root, "pieces");
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const SimTask *task = machine->tasks->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      g_autofree char *name = g_strdup_printf ("%s/%u", task->uid, task->task);
      cJSON_AddStringToObject (item, "piece", name);
      hzb_json_add_u64 (item, "try", task->attempt);
      cJSON_AddStringToObject (item, "status", state_names[task->state]);
      if (task->state == 4)
        cJSON_AddStringToObject (item, "cause", task->why);
      cJSON_AddItemToArray (list, item);
    }
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

typedef struct
{
  SimMachine *machine;
  char *body;
  guint number, node;
  guint64 session;
  double sent;
  guint status;
  gboolean over, copy;
} Report;

/* The answer, or that none came within 4 s. */
static void
report_over (Sim *sim, gpointer data)
{
  Report *r = data;
  SimMachine *machine = r->machine;
  cJSON *root;
  if (machine->gone || machine->hung || !machine->asking || machine->report_number != r->number)
    return; /* given up already: the late answer is dropped */
  if (machine->cut)
    r->status = 0;
  machine->asking = FALSE;
  root = r->status ? cJSON_Parse (r->body) : NULL;
  if (r->status == 200)
    {
      guint64 token = hzb_json_u64 (root, "baton");
      if (token >= machine->token && token > 0 && r->session == machine->session)
        {
          if (token > machine->token)
            machine->next_report = MIN (machine->next_report, sim->now + 0.5);
          machine->token = token;
          machine->lease_from = r->sent;
          carry_out (sim, machine, cJSON_GetObjectItem (root, "orders"));
        }
    }
  else
    {
      const char *steward = r->status == 421 ? hzb_json_text (root, "steward") : NULL;
      guint to = steward ? (guint) (steward[strlen (steward) - 1] - '0') : r->node;
      machine->node = to != r->node ? to : (r->node + 1) % SIM_NODES;
      machine->next_report = sim->now + (to != r->node ? 0.2 : 1);
    }
  cJSON_Delete (root);
}

static void
worker_reply (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  gpointer *pair = exchange->impl;
  Sim *sim = pair[0];
  Report *r = pair[1];
  g_free (pair);
  r->status = status;
  r->body = g_strdup (body);
  if (!r->copy && !r->machine->deaf && !chance (sim, sim->lose) && !sim->nodes[r->node].cut_workers)
    sim_at (sim, sim->now + delay (sim), report_over, r);
}

static void
report_arrives (Sim *sim, gpointer data)
{
  Report *r = data;
  SimNode *node = &sim->nodes[r->node];
  HzbExchange *exchange;
  gpointer *pair;
  if (!node->controller || node->cut_workers || stands (node, report_arrives, r))
    return;
  exchange = g_new0 (HzbExchange, 1);
  pair = g_new0 (gpointer, 2);
  pair[0] = sim;
  pair[1] = r;
  exchange->method = g_strdup ("POST");
  exchange->path = g_strdup ("/hello");
  exchange->body = g_steal_pointer (&r->body);
  exchange->length = strlen (exchange->body);
  exchange->reply = worker_reply;
  exchange->impl = pair;
  hzb_controller_request (exchange, node->controller);
}

static void
report_gives_up (Sim *sim, gpointer data)
{
  Report *r = data;
  r->status = 0;
  report_over (sim, r);
}

static void
send_report (Sim *sim, SimMachine *machine)
{
  Report *r = g_new0 (Report, 1);
  r->machine = machine;
  r->body = report_of (sim, machine);
  r->number = ++machine->report_number;
  r->node = machine->node;
  r->session = machine->session;
  r->sent = sim->now;
  machine->asking = TRUE;
  machine->next_report = sim->now + sim->size.report_s * g_rand_double_range (sim->rand, 0.75, 1.25);
  sim_at (sim, sim->now + 4, report_gives_up, r);
  if (chance (sim, sim->copies))
    {
      /* From seconds to well over a lease. */
      Report *copy = g_new0 (Report, 1);
      *copy = *r;
      copy->body = g_strdup (r->body);
      copy->copy = TRUE;
      copy->node = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
      sim_at (sim, sim->now + g_rand_double_range (sim->rand, 1, 4 * sim->size.lease_s), report_arrives, copy);
    }
  if (!machine->cut && !chance (sim, sim->lose))
    sim_at (sim, sim->now + (chance (sim, sim->late) ? g_rand_double_range (sim->rand, 1, 9) : delay (sim)),
            report_arrives, r);
}

static void
machine_tick (Sim *sim, gpointer data)
{
  SimMachine *machine = data;
  gboolean changed = FALSE;
  if (machine->gone || machine->failed)
    return;
  sim_at (sim, sim->now + 0.25, machine_tick, machine);
  if (!machine->up)
    {
      machine->up = TRUE;
      machine->lease_from = machine->next_report = sim->now;
    }
  if (sim->now - machine->lease_from > sim->size.lease_s)
    {
      forget_tasks (machine); /* a hung machine's lease ends as well */
      machine->session++;
      machine->seq = 0;
      machine->asking = FALSE;
      machine->lease_from = sim->now;
    }
  if (machine->hung)
    return;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      SimTask *task = machine->tasks->pdata[i];
      SimJob *job = find_job (sim, task->uid);
      if (job->gang && task->state >= 1 && task->state <= 2)
        {
          guint here = 0;
          for (guint a = 0; a < sim->machines->len; a++)
            {
              const SimMachine *other = sim->machines->pdata[a];
              for (guint k = 0; k < other->tasks->len && !other->gone; k++)
                {
                  const SimTask *mate = other->tasks->pdata[k];
                  here += g_str_equal (mate->uid, task->uid) && mate->attempt == task->attempt
                          && ((mate->state >= 1 && mate->state <= 2)
                              || (mate->state == 4 && g_str_equal (mate->why, "done")));
                }
            }
          if (task->state == 1 && here == job->n)
            {
              task->state = 2;
              task->end_at = sim->now + job->run_s;
            }
          else if (task->state == 2 && here < job->n)
            end_task (task, "mates_gone");
        }
      if (task->state == 0 && sim->now >= task->ready_at)
        {
          task->state = job->gang ? 1 : 2;
          if (machine->sick || job->bad)
            end_task (task, "error");
        }
      else if (task->state == 2 && sim->now >= task->end_at)
        {
          end_task (task, "done");
          job->finished[task->task] = !job->service;
          sim->ran++;
        }
      else
        continue;
      changed = TRUE;
    }
  if (changed)
    machine->next_report = MIN (machine->next_report, sim->now + 0.3);
  if (!machine->asking && sim->now >= machine->next_report)
    send_report (sim, machine);
}

/* ---- users ---- */

typedef struct
{
  SimJob *job;
  enum
  {
    USER_SUBMITS,
    USER_POLLS,
    USER_CANCELS
  } what;
} UserCall;

static void user_step (Sim *sim, gpointer data);

void
sim_told (Sim *sim, SimJob *job, guint status, const char *state)
{
  gboolean all = TRUE;
  for (guint i = 0; i < job->n; i++)
    all = all && job->finished[i];
  if (status == 200 || status == 201 || status == 400 || status == 404 || status == 422)
    job->answered_at = sim->now;
  if (status == 200 || status == 201)
    {
      gboolean done = g_strcmp0 (state, "done") == 0, cancelled = g_strcmp0 (state, "cancelled") == 0;
      if (!job->accepted)
        job->accepted_at = sim->now;
      job->accepted = TRUE;
      if (!job->submitted)
        broken (sim, "invented", "%s", job->uid);
      if (done && !all)
        broken (sim, "not_done", "%s is called done", job->uid);
      if ((job->told_done && !done) || (job->told_cancelled && !cancelled) || (cancelled && !job->asked_cancel))
        broken (sim, "went_back", "%s is called %s", job->uid, state);
      if (cancelled && !job->told_cancelled)
        job->cancelled_at = sim->now;
      job->told_done = job->told_done || done;
      job->told_cancelled = job->told_cancelled || cancelled;
    }
  else if (status == 503 || status == 429)
    {
      sim->refused_services += job->service && !job->accepted;
      return;
    }
  else if (job->accepted && (status == 404 || status == 400 || status == 422))
    broken (sim, "forgotten", "%s got %u", job->uid, status);
}

static void
user_reply (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  gpointer *pair = exchange->impl;
  UserCall *call = pair[1];
  cJSON *root = cJSON_Parse (body ? body : "");
  sim_told (pair[0], call->job, status, hzb_json_text (root, "status"));
  cJSON_Delete (root);
  g_free (call);
  g_free (pair);
}

static void
user_arrives (Sim *sim, gpointer data)
{
  UserCall *call = data;
  SimJob *job = call->job;
  guint at = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  HzbExchange *exchange;
  gpointer *pair;
  if (!sim->nodes[at].controller)
    {
      g_free (call);
      return;
    }
  if (sim->nodes[at].stands)
    {
      g_free (call); /* the user gives it up */
      return;
    }
  exchange = g_new0 (HzbExchange, 1);
  pair = g_new0 (gpointer, 2);
  pair[0] = sim;
  pair[1] = call;
  exchange->reply = user_reply;
  exchange->impl = pair;
  exchange->method = g_strdup (call->what == USER_POLLS ? "GET" : "POST");
  exchange->body = g_strdup ("");
  if (call->what == USER_SUBMITS)
    {
      g_autofree char *types = job->type ? g_strdup_printf ("[\"%s\"]", job->type) : g_strdup ("null");
      g_autofree char *zone = job->zone ? g_strdup_printf ("\"%s\"", job->zone) : g_strdup ("null");
      exchange->path = g_strdup ("/api/jobs");
      g_free (exchange->body);
      exchange->body = g_strdup_printf (
          "{\"uid\":\"%s\",\"lane\":\"%s\",\"owner\":\"%s\",\"shape\":\"%s\",\"urgency\":\"%s\",\"pieces\":%u,"
          "\"cpus\":%g,\"gpus\":0,\"ramGb\":1,\"bundle\":\"img\",\"sizeGb\":0.5,\"flavors\":%s,\"yard\":%s,"
          "\"samePlace\":%s,\"spread\":%s,\"loaners\":%s,\"expectS\":%g,\"snapshotEveryS\":0,\"snapshotS\":0}",
          job->uid, job->job_class, job->team,
          job->gang      ? "ensemble"
          : job->service ? "standing"
                         : "sweep",
          job->service                               ? "production"
          : g_str_equal (job->job_class, "pressing") ? "urgent"
                                                     : "normal",
          job->n, job->cpus, types, zone, job->same_zone ? "true" : "false", job->spread ? "true" : "false",
          job->spot ? "true" : "false", job->service ? 0 : job->run_s);
      job->submitted = TRUE;
    }
  else
    exchange->path = g_strdup_printf ("/api/jobs/%s%s", job->uid, call->what == USER_CANCELS ? "/cancel" : "");
  if (call->what == USER_CANCELS)
    job->asked_cancel = TRUE;
  exchange->length = strlen (exchange->body);
  hzb_controller_request (exchange, sim->nodes[at].controller);
}

static void
user_step (Sim *sim, gpointer data)
{
  SimJob *job = data;
  UserCall *call = g_new0 (UserCall, 1);
  call->job = job;
  call->what = !job->accepted ? USER_SUBMITS
               : job->wants_cancel && !job->told_cancelled
                       && sim->now > (job->cancel_at > 0 ? job->cancel_at : job->submit_at + 8)
                       && !(job->polls_only && job->asked_cancel)
                   ? USER_CANCELS
               : chance (sim, 0.1) ? USER_SUBMITS
                                   : USER_POLLS;
  sim_at (sim, sim->now + delay (sim), user_arrives, call);
  sim_at (sim, sim->now + g_rand_double_range (sim->rand, 1, 3), user_step, job);
}

SimJob *
sim_add_job (Sim *sim, double at, const char *team, guint n, double cpus, double run_s)
{
  SimJob *job = g_new0 (SimJob, 1);
  job->uid = g_strdup_printf ("run-%06u", 100000 + sim->jobs->len);
  job->team = g_strdup (team);
  job->n = n;
  job->job_class = n % 3 == 0 ? "pressing" : "batch";
  job->cpus = cpus;
  job->run_s = run_s;
  job->spot = TRUE;
  job->submit_at = at;
  job->finished = g_new0 (guchar, n);
  g_ptr_array_add (sim->jobs, job);
  g_hash_table_insert (sim->by_uid, job->uid, job);
  sim_at (sim, at, user_step, job);
  return job;
}

guint
sim_unfinished (Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const SimJob *job = sim->jobs->pdata[i];
      n += !job->told_done && !job->told_cancelled;
    }
  return n;
}

guint
sim_running (Sim *sim, const SimJob *job, const char *zone)
{
  guint n = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    {
      const SimMachine *machine = sim->machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len && !machine->gone && !machine->failed
                        && (!zone || g_str_equal (machine->zone, zone));
           k++)
        {
          const SimTask *task = machine->tasks->pdata[k];
          n += task->state == 2 && g_str_equal (task->uid, job->uid);
        }
    }
  return n;
}

/* ---- rules ---- */

static gboolean
on_machine (const SimTask *task)
{
  return task->state >= 1 && task->state <= 3;
}

/* What is looked at once all troubles are over. */
void
sim_check_end (Sim *sim)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const SimJob *job = sim->jobs->pdata[i];
      if (job->accepted && sim->now - job->answered_at > FORGOTTEN_S)
        broken (sim, "forgotten", "no question about %s is answered since %.0f", job->uid, job->answered_at);
    }
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const SimJob *job = sim->jobs->pdata[i];
      guint of_team = 0, of_class = 0, team_served = 0, class_served = 0, largest = 0, n_largest = 0,
            largest_served = 0;
      for (guint k = 0; k < sim->jobs->len; k++)
        {
          const SimJob *other = sim->jobs->pdata[k];
          gboolean same_class = g_str_equal (other->job_class, job->job_class),
                   same_team = g_str_equal (other->team, job->team);
          if (other->bad || other->told_cancelled)
            continue;
          of_team += same_team;
          team_served += same_team && other->told_done;
          of_class += same_class;
          class_served += same_class && other->told_done;
          if (same_class && other->n > largest)
            {
              largest = other->n;
              n_largest = largest_served = 0;
            }
          if (same_class && other->n == largest)
            {
              n_largest++;
              largest_served += other->told_done;
            }
        }
      if (2 * team_served < of_team)
        broken (sim, "starved", "of team %s %u of %u jobs are over", job->team, team_served, of_team);
      if (2 * class_served < of_class)
        broken (sim, "starved", "of class %s %u of %u jobs are over", job->job_class, class_served, of_class);
      if (2 * largest_served < n_largest)
        broken (sim, "starved", "of the largest of class %s %u of %u are over", job->job_class, largest_served,
                n_largest);
      if (job->n == largest && !job->bad && !job->told_cancelled
          && (job->began_at <= 0 || job->began_at - job->submit_at > 240))
        broken (sim, "starved", "%s, the largest of class %s, began at %.0f", job->uid, job->job_class, job->began_at);
    }
}

/* The team "guest" has no guarantee and no limit. */
static double
team_limit (const Sim *sim, const char *team)
{
  return g_str_equal (team, "guest") ? INFINITY : sim->size.team_max;
}

/* Once all troubles are over no job is left waiting while a machine that fits has room and its team is under its limit. */
static void
check_waiting (Sim *sim, GHashTable *teams)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      SimJob *job = sim->jobs->pdata[i];
      const double *used = g_hash_table_lookup (teams, job->team);
      guint placed = 0, finished = 0;
      gboolean room = FALSE;
      for (guint k = 0; k < job->n; k++)
        finished += job->finished[k];
      for (guint k = 0; k < sim->machines->len; k++)
        {
          const SimMachine *machine = sim->machines->pdata[k];
          double free = machine->cpus;
          for (guint t = 0; t < machine->tasks->len && !machine->gone; t++)
            {
              const SimTask *task = machine->tasks->pdata[t];
              placed += task->state < 4 && g_str_equal (task->uid, job->uid);
              free -= task->state < 4 ? find_job (sim, task->uid)->cpus : 0;
            }
          room = room
                 || (machine->up && !machine->gone && !machine->failed && !machine->cut && !machine->hung
                     && !machine->sick && !machine->deaf && free >= job->cpus && (job->spot || !machine->spot)
                     && (!job->zone || g_str_equal (job->zone, machine->zone))
                     && (!job->type || g_str_equal (job->type, machine->type)));
        }
      if (!job->accepted || job->told_cancelled || job->told_done || job->asked_cancel || job->bad || job->gang || !room
          || placed + finished >= job->n || (used ? *used : 0) + job->cpus > team_limit (sim, job->team))
        job->waits_since = 0;
      else if (job->waits_since <= 0)
        job->waits_since = sim->now;
      else if (sim->now - job->waits_since > LEFT_WAITING_S)
        {
          broken (sim, "left_waiting", "%s since %.0f", job->uid, job->waits_since);
          job->waits_since = sim->now;
        }
    }
}

/* The plain count of what services are asked for: replica time, and how much of it was served. */
static void
count_replicas (Sim *sim)
{
  double step = sim->now - sim->counted_at;
  sim->counted_at = sim->now;
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      SimJob *job = sim->jobs->pdata[i];
      guint running = 0;
      if (!job->service || !job->accepted || job->asked_cancel || sim->now < job->accepted_at + 10)
        continue;
      for (guint k = 0; k < sim->machines->len; k++)
        {
          const SimMachine *machine = sim->machines->pdata[k];
          for (guint t = 0; t < machine->tasks->len && !machine->gone && !machine->failed && !machine->hung; t++)
            {
              const SimTask *task = machine->tasks->pdata[t];
              running += task->state == 2 && g_str_equal (task->uid, job->uid);
            }
        }
      job->wanted_s += job->n * step;
      job->missed_s += (job->n - MIN (running, job->n)) * step;
    }
}

void
sim_check (Sim *sim)
{
  g_autoptr (GHashTable) places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) teams = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < sim->machines->len; i++)
    {
      const SimMachine *machine = sim->machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len && !machine->gone; k++)
        {
          const SimTask *task = machine->tasks->pdata[k];
          SimJob *job = find_job (sim, task->uid);
          char *name;
          double *used;
          if (!on_machine (task))
            continue;
          name = g_strdup_printf ("%s/%u", task->uid, task->task);
          if (g_hash_table_contains (places, name))
            broken (sim, "ran_twice", "%s on %s and another", name, machine->name);
          g_hash_table_add (places, name);
          if (job->told_cancelled && sim->now > job->cancelled_at + sim->size.cancel_s)
            broken (sim, "ran_cancelled", "%s on %s", name, machine->name);
          used = g_hash_table_lookup (teams, job->team);
          if (!used)
            {
              used = g_new0 (double, 1);
              g_hash_table_insert (teams, job->team, used);
            }
          *used += job->cpus;
          if (*used > team_limit (sim, job->team) + 1e-9)
            broken (sim, "quota", "%s uses %g", job->team, *used);
        }
    }
  count_replicas (sim);
  if (sim->calm_at > 0 && sim->now >= sim->calm_at && sim->now >= sim->next_wait_check)
    {
      check_waiting (sim, teams);
      sim->next_wait_check = sim->now + 1;
    }
  {
    GHashTableIter iter;
    gpointer used;
    g_hash_table_iter_init (&iter, teams);
    while (g_hash_table_iter_next (&iter, NULL, &used))
      g_free (used);
  }
}

/* ---- nodes ---- */

static void
node_tick (Sim *sim, gpointer data)
{
  SimNode *node = data;
  if (node->controller && !node->stands)
    hzb_controller_tick (node->controller);
  sim_at (sim, sim->now + 0.1, node_tick, node);
}

void
sim_start (Sim *sim, guint at)
{
  SimNode *node = &sim->nodes[at];
  GString *text = g_string_new (NULL);
  g_autofree char *ops =
      sim->size.next_txn_ops ? g_strdup_printf ("txn_ops = %u\n", sim->size.next_txn_ops) : g_strdup ("");
  g_autofree char *rate =
      sim->size.next_write_rps > 0 ? g_strdup_printf ("write_rps = %g\n", sim->size.next_write_rps) : g_strdup ("");
  g_autofree char *next = g_strconcat (ops, rate, NULL);
  g_autoptr (GError) error = NULL;
  HzbSettings *settings;
  g_string_printf (
      text, "node = \"node-%u\"\nsite = \"za\"\napi_addr = \"10.0.0.%u:80\"\ncluster_listen = \"10.0.0.%u:81\"\n", at,
      at + 1, at + 1);
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != at)
      g_string_append_printf (text, "[[peers]]\nnode = \"node-%u\"\nsite = \"za\"\naddress = \"10.0.0.%u:81\"\n", i,
                              i + 1);
  g_string_append_printf (
      text,
      "[external]\ncloud = \"10.9.0.2:1\"\nstate = \"10.9.0.1:1\"\n[cluster]\nsize = 3\n"
      "zones = [\"za\", \"zb\"]\nskew_ms = 5\n"
      "[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 20\ngang_peer_s = 4\ncancel_s = %g\n"
      "[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = 16\ntxn_ops = %u\n[cluster.state.next]\nvalue_kb = 2\n%s"
      "[cluster.cloud]\nrps = %g\nlist_lag_s = 3\n",
      sim->size.report_s, sim->size.lease_s, sim->size.cancel_s, sim->size.store_rps, sim->size.store_write_rps,
      sim->size.txn_ops, next, sim->size.cloud_rps);
  for (guint i = 0; i < sim->size.teams; i++)
    {
      g_autofree char *name = i < 2 ? g_strdup (i ? "blue" : "red") : g_strdup_printf ("team-%02u", i);
      g_string_append_printf (text, "[[cluster.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\n", name,
                              sim->size.team_guarantee, sim->size.team_max);
    }
  g_string_append (text, "[[cluster.teams]]\nname = \"guest\"\ncpus = 0\ncpus_max = 0\n");
  settings = hzb_settings_parse (text->str, "world", &error);
  g_assert_no_error (error);
  g_string_free (text, TRUE);
  node->life++;
  node->transport = g_new0 (SimTransport, 1);
  node->transport->parent.send = node_send;
  node->transport->world = sim;
  node->transport->at = at;
  node->transport->life = node->life;
  node->controller = hzb_controller_new (settings, sim->clock, &node->transport->parent, g_rand_int (sim->rand));
  if (node->old)
    node->controller->format = 1;
  if (sim->size.max_mirrored_ended)
    node->controller->jobs->max_mirrored_ended = sim->size.max_mirrored_ended;
}

/* What the process held is gone with it; its memory is left alone, as calls on their way still name it. */
void
sim_crash (Sim *sim, guint at)
{
  sim->nodes[at].controller = NULL;
  sim->nodes[at].stands = FALSE;
}

int
sim_leader (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller && hzb_election_leading (sim->nodes[i].controller->election))
      return (int) i;
  return -1;
}

/* The usual little world; small pages, so that reading on is tried. */
const SimSize sim_size_little = { .machines = 12,
                                  .teams = 2,
                                  .team_max = 24,
                                  .team_guarantee = 8,
                                  .report_s = 1.5,
                                  .lease_s = 10,
                                  .cancel_s = 30,
                                  .store_rps = 200,
                                  .store_write_rps = 60,
                                  .txn_ops = 8,
                                  .cloud_rps = 6,
                                  .rows = 5 };

Sim *
sim_new (guint32 seed)
{
  return sim_new_sized (seed, &sim_size_little);
}

Sim *
sim_new_sized (guint32 seed, const SimSize *size)
{
  Sim *sim = g_new0 (Sim, 1);
  sim->size = *size;
  sim->by_uid = g_hash_table_new (g_str_hash, g_str_equal);
  sim->clock = hzb_clock_new_manual ();
  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (g_free);
  sim->kv = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, value_free);
  sim->leases = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  sim->history = g_ptr_array_new_with_free_func (change_free);
  sim->watchers = g_ptr_array_new ();
  sim->requested = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sim->machines = g_ptr_array_new ();
  sim->jobs = g_ptr_array_new ();
  sim->broken = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim->nodes[i].late = g_ptr_array_new_with_free_func (g_free);
      sim_start (sim, i);
      sim_at (sim, 0.03 * (i + 1), node_tick, &sim->nodes[i]);
    }
  return sim;
}

void
sim_free (Sim *sim)
{
  g_sequence_free (sim->events);
  g_hash_table_unref (sim->kv);
  g_hash_table_unref (sim->leases);
  g_ptr_array_unref (sim->history);
  g_hash_table_unref (sim->requested);
  g_hash_table_unref (sim->by_uid);
  g_ptr_array_unref (sim->broken);
  g_rand_free (sim->rand);
  hzb_clock_free (sim->clock);
  g_free (sim);
}
