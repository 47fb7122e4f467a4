/* The users' side, on every node. An answer that is not final is given only after the state service has confirmed
 * that it is the newest: of a job that is known, that there is no record of its end; of one that is not, that the
 * mirror lacks nothing. Many such checks share one request, and many acceptances one record. */
#include "controller.h"

#include <string.h>

#define MAX_QUEUED_SUBMISSIONS 256u
#define MAX_QUEUED_CHECKS 512u
#define CHECK_EVERY_S 0.03
/* How long a cancellation may wait for the owners' acknowledgements before its user gets 503 with Retry-After. */
#define CANCEL_ACKNOWLEDGE_S 1.2

/* What a request waits for. */
typedef enum
{
  QUESTION_STATUS,
  QUESTION_SUBMISSION, /* a submission of a job that seems known, or that can never run */
  QUESTION_CANCELLATION
} Question;

typedef struct
{
  HzbExchange *exchange;
  char *uid;
  Question question;
  char *refusal; /* ASK_SUBMITTED: why it is not taken, if it is not known */
  guint refusal_status;
  struct timespec deadline;
} Check;

typedef struct
{
  HzbExchange *exchange;
  HzbSpec *spec;
  char *packed;
  struct timespec deadline;
} Accept;

struct _HzbUserApi
{
  HzbController *controller;
  GQueue checks, accepts;       /* waiting to be sent */
  GQueue pending_cancellations; /* Check: of cancelled jobs, until every owner has heard of it */
  gboolean checking;
  guint accepting; /* records on their way */
  guint records;   /* of acceptances, by this process */
  struct timespec next_check;
};

typedef struct
{
  HzbUserApi *api;
  GPtrArray *entries;
  char *key; /* of a record of acceptances */
  cJSON *record;
} Batch;

static void flush_accepts (HzbUserApi *api);
static void flush_checks (HzbUserApi *api);
static void read_check (HzbUserApi *api, Check *check);
static void send_cancel (HzbUserApi *api, Check *check);

HzbUserApi *
hzb_user_api_new (HzbController *controller)
{
  HzbUserApi *api = g_new0 (HzbUserApi, 1);
  api->controller = controller;
  return api;
}

static void
check_free (Check *check)
{
  g_free (check->uid);
  g_free (check->refusal);
  g_free (check);
}

static void
accept_free (Accept *accept)
{
  hzb_spec_free (accept->spec);
  cJSON_free (accept->packed);
  g_free (accept);
}

static Batch *
batch_new (HzbUserApi *api)
{
  Batch *batch = g_new0 (Batch, 1);
  batch->api = api;
  batch->entries = g_ptr_array_new ();
  return batch;
}

static void
batch_free (Batch *batch)
{
  g_ptr_array_unref (batch->entries);
  g_free (batch->key);
  cJSON_Delete (batch->record);
  g_free (batch);
}

void
hzb_user_api_free (HzbUserApi *api)
{
  Check *check;
  Accept *accept;
  while ((check = g_queue_pop_head (&api->checks)) || (check = g_queue_pop_head (&api->pending_cancellations)))
    {
      hzb_exchange_reply (check->exchange, 503, NULL, 1);
      check_free (check);
    }
  while ((accept = g_queue_pop_head (&api->accepts)))
    {
      hzb_exchange_reply (accept->exchange, 503, NULL, 1);
      accept_free (accept);
    }
  g_free (api);
}

static void
reply_unavailable (HzbExchange *exchange, const char *why)
{
  hzb_exchange_reply (exchange, 503, hzb_wire_error (why), 1);
}

static void
give_up (Check *check, const char *why)
{
  reply_unavailable (check->exchange, why);
  check_free (check);
}

/* Whether a transaction failed by the record of this job's end. */
static gboolean
failed_by (const GPtrArray *failed, const char *uid)
{
  for (guint i = 0; failed && i < failed->len; i++)
    {
      const char *key = failed->pdata[i], *slash = strrchr (key, '/');
      if (slash && g_str_equal (slash + 1, uid))
        return TRUE;
    }
  return FALSE;
}

static void
reply_status (HzbUserApi *api, HzbExchange *exchange, const HzbJob *job, guint status, gboolean counts)
{
  guint done = job->done + job->finished, running = job->running + job->delegated_running;
  const char *text = hzb_job_status (job);

  if (job->state == HZB_JOB_DONE)
    done = job->n_tasks;
  if (job->state != HZB_JOB_ACCEPTED)
    running = 0;
  else if (!job->tasks || api->controller->jobs->lessee)
    {
      /* Only for display: what the owner last told its peers. */
      hzb_peers_task_counts (api->controller->peers, job->uid, &done, &running);
      text = running ? "running" : "queued";
    }
  hzb_exchange_reply (exchange, status, hzb_wire_job_status (job->uid, text, counts, done, running), 0);
}

/* A job's final state, or one that is proven fresh. Of a cancelled one nothing is told before no owner can act without
 * its cancellation: whoever is told so counts on it. */
static void
reply_final (HzbUserApi *api, Check *check, HzbJob *job)
{
  HzbController *controller = api->controller;

  if (job->state != HZB_JOB_CANCELLED || hzb_cancellations_acknowledged (controller->cancellations, job))
    {
      reply_status (api, check->exchange, job, 200, check->question == QUESTION_STATUS);
      check_free (check);
    }
  else if (!hzb_cancellations_request (controller->cancellations, job)
           || api->pending_cancellations.length >= MAX_QUEUED_CHECKS)
    give_up (check, "not every controller has heard of the cancellation");
  else
    {
      check->deadline = hzb_time_plus (hzb_clock_now (controller->clock), CANCEL_ACKNOWLEDGE_S);
      g_queue_push_tail (&api->pending_cancellations, check);
    }
}

static void
check_pending_cancellations (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);

  for (GList *l = api->pending_cancellations.head; l;)
    {
      GList *next = l->next;
      Check *check = l->data;
      HzbJob *job = hzb_jobs_find (controller->jobs, check->uid);
      if (!job || hzb_cancellations_acknowledged (controller->cancellations, job))
        {
          g_queue_delete_link (&api->pending_cancellations, l);
          if (job)
            reply_final (api, check, job);
          else
            give_up (check, "not decided"); /* its record has moved away meanwhile */
        }
      else if (!hzb_time_before (now, check->deadline))
        {
          g_queue_delete_link (&api->pending_cancellations, l);
          give_up (check, "not every controller has heard of the cancellation");
        }
      l = next;
    }
}

static Check *
check_new (HzbExchange *exchange, const char *uid, Question question)
{
  Check *check = g_new0 (Check, 1);
  check->exchange = exchange;
  check->uid = g_strdup (uid);
  check->question = question;
  return check;
}

/* ---- reading ---- */

/* done gets a batch of this one check. */
static void
read_record (HzbUserApi *api, Check *check, const char *prefix, HzbStoreFunc done)
{
  Batch *batch = batch_new (api);
  g_autofree char *key = g_strconcat (prefix, check->uid, NULL);
  g_ptr_array_add (batch->entries, check);
  hzb_store_get (api->controller->store, HZB_STORE_READ, key, done, batch);
}

/* Neither the mirror nor the place of old records has it. */
static void
settle_unknown (HzbUserApi *api, Check *check)
{
  if (check->question == QUESTION_SUBMISSION && check->refusal)
    hzb_exchange_reply (check->exchange, check->refusal_status, hzb_wire_error (check->refusal), 0);
  else if (check->question == QUESTION_SUBMISSION)
    reply_unavailable (check->exchange, "not decided"); /* a write without an answer may still come */
  else
    hzb_exchange_reply (check->exchange, 404, hzb_wire_error ("no such job"), 0);
  check_free (check);
}

static void
on_read_old (HzbStoreResult result, const char *body, gpointer user)
{
  Batch *batch = user;
  HzbUserApi *api = batch->api;
  Check *check = batch->entries->pdata[0];
  HzbItem item = { 0 };

  if (result == HZB_STORE_OK && hzb_wire_parse_item (body, &item))
    {
      const char *state = hzb_json_text (item.value, "state");
      guint n = (guint) hzb_json_number (item.value, "n", 0);
      hzb_exchange_reply (check->exchange, 200,
                          hzb_wire_job_status (check->uid, state, check->question == QUESTION_STATUS,
                                               g_strcmp0 (state, "done") == 0 ? n : 0, 0),
                          0);
      check_free (check);
      hzb_item_clear (&item);
    }
  else if (result == HZB_STORE_ABSENT)
    settle_unknown (api, check);
  else
    give_up (check, "the state service can't be asked");
  batch_free (batch);
}

/* The mirror, brought up to this moment, does not know the job; what is over moves away from it in one transaction, so
 * a job that was ever accepted is found in one of the two places, in this order. */
static void
read_old (HzbUserApi *api, Check *check)
{
  read_record (api, check, HZB_KEY_ENDED, on_read_old);
}

/* The record is known to be the newest: what was asked can be answered. */
static void
settle (HzbUserApi *api, Check *check)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);

  if (check->question == QUESTION_CANCELLATION && job && job->state == HZB_JOB_ACCEPTED)
    {
      send_cancel (api, check);
      return;
    }
  if (!job)
    {
      read_old (api, check);
      return;
    }
  reply_final (api, check, job);
}

static void
on_read (HzbStoreResult result, const char *body, gpointer user)
{
  Batch *batch = user;
  HzbUserApi *api = batch->api;
  Check *check = batch->entries->pdata[0];
  HzbItem item = { 0 };

  if (result == HZB_STORE_OK && hzb_wire_parse_item (body, &item))
    {
      hzb_controller_apply_record (api->controller, &item);
      hzb_item_clear (&item);
      settle (api, check);
    }
  else if (result == HZB_STORE_ABSENT)
    read_old (api, check); /* it has moved away */
  else
    give_up (check, "the state service can't be asked");
  batch_free (batch);
}

static void
read_check (HzbUserApi *api, Check *check)
{
  read_record (api, check, HZB_KEY_JOBS, on_read);
}

static void
on_synced (gboolean fresh, gpointer user)
{
  Batch *batch = user;
  HzbUserApi *api = batch->api;

  api->checking = FALSE;
  for (guint i = 0; i < batch->entries->len; i++)
    {
      Check *check = batch->entries->pdata[i];
      if (fresh)
        settle (api, check);
      else
        give_up (check, "the state service can't be asked");
    }
  batch_free (batch);
  flush_checks (api);
}

/* All nodes together use no more than this part of the requests that the state service takes. */
#define CHECK_PART 0.5
#define CHECK_MOST_S 0.8 /* users wait 2 s for an answer */

static double
check_interval_s (const HzbController *controller)
{
  double all_nodes = controller->settings->size / (CHECK_PART * controller->settings->store_rps);
  return CLAMP (all_nodes, CHECK_EVERY_S, CHECK_MOST_S);
}

/* One request proves for all questions that wait that the mirror has everything up to now, however many they are. */
static void
flush_checks (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  Batch *batch;
  Check *check;

  if (api->checking || !api->checks.length || hzb_time_before (now, api->next_check))
    return;
  api->next_check = hzb_time_plus (now, check_interval_s (controller));
  batch = batch_new (api);
  while ((check = g_queue_pop_head (&api->checks)))
    g_ptr_array_add (batch->entries, check);
  api->checking = TRUE;
  hzb_mirror_sync (controller->mirror, on_synced, batch);
}

static void
queue_check (HzbUserApi *api, Check *check)
{
  g_queue_push_tail (&api->checks, check);
  flush_checks (api);
}

/* So many a transaction takes. */
static guint
conditions (HzbController *controller)
{
  return CLAMP (controller->settings->store_txn_ops * 4, 3, 256);
}

static void
add_check (HzbUserApi *api, HzbExchange *exchange, const char *uid, Question question, const char *refusal,
           guint refusal_status)
{
  Check *check;

  if (hzb_controller_store_silent (api->controller))
    {
      reply_unavailable (exchange, "the state service does not answer");
      return;
    }
  if (api->checks.length >= MAX_QUEUED_CHECKS)
    {
      hzb_exchange_reply (exchange, question == QUESTION_SUBMISSION ? 429 : 503,
                          hzb_wire_error ("too much is asked at once"), 2);
      return;
    }
  check = check_new (exchange, uid, question);
  check->refusal = g_strdup (refusal);
  check->refusal_status = refusal_status;
  check->deadline = hzb_time_plus (hzb_clock_now (api->controller->clock), 3);
  queue_check (api, check);
}

/* ---- cancelling ---- */

static void
on_cancelled (HzbStoreResult result, const char *body, gpointer user)
{
  Batch *batch = user;
  HzbUserApi *api = batch->api;
  Check *check = batch->entries->pdata[0];
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);

  batch_free (batch);
  if (result == HZB_STORE_OK && job)
    {
      guint64 revision = 0;
      cJSON *value = hzb_jobs_pack_final (HZB_JOB_CANCELLED, job->n_tasks);
      hzb_wire_parse_txn (body, &revision, NULL);
      hzb_jobs_apply (api->controller->jobs, check->uid, value, revision);
      cJSON_Delete (value);
      settle (api, check);
    }
  else if (result == HZB_STORE_REFUSED)
    give_up (check, "the state service can't be asked");
  else
    queue_check (api, check);
}

static void
send_cancel (HzbUserApi *api, Check *check)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);
  g_autofree char *key = g_strconcat (HZB_KEY_JOBS, check->uid, NULL);
  Batch *batch;
  cJSON *txn;

  if (!hzb_time_before (hzb_clock_now (api->controller->clock), check->deadline))
    {
      reply_unavailable (check->exchange, "not decided in time");
      check_free (check);
      return;
    }
  batch = batch_new (api);
  txn = hzb_wire_txn ();
  g_ptr_array_add (batch->entries, check);
  hzb_jobs_txn_if_not_over (txn, check->uid);
  hzb_wire_txn_put (txn, key, hzb_jobs_pack_final (HZB_JOB_CANCELLED, job->n_tasks), 0);
  hzb_store_txn (api->controller->store, HZB_STORE_ACCEPT, txn, on_cancelled, batch);
}

/* ---- accepting ---- */

static void
on_accepted (HzbStoreResult result, const char *body, gpointer user)
{
  Batch *batch = user;
  HzbUserApi *api = batch->api;
  HzbController *controller = api->controller;
  g_autoptr (GPtrArray) failed = NULL;

  api->accepting--;
  if (result == HZB_STORE_CONFLICT)
    hzb_wire_parse_txn (body, NULL, &failed);
  if (result == HZB_STORE_OK)
    hzb_jobs_apply_acceptance (controller->jobs, batch->key, batch->record);
  for (guint i = 0; i < batch->entries->len; i++)
    {
      Accept *accept = batch->entries->pdata[i];
      const char *uid = accept->spec->uid;
      gboolean over = failed_by (failed, uid);
      if (result == HZB_STORE_OK)
        {
          HzbJob *job = hzb_jobs_find (controller->jobs, uid);
          if (job && job->state == HZB_JOB_CANCELLED)
            reply_final (api, check_new (accept->exchange, uid, QUESTION_SUBMISSION), job);
          else
            hzb_exchange_reply (accept->exchange, 201,
                                hzb_wire_job_status (uid, job ? hzb_job_status (job) : "queued", FALSE, 0, 0), 0);
        }
      else if (result == HZB_STORE_CONFLICT && !over && batch->entries->len > 1)
        {
          g_queue_push_head (&api->accepts, accept); /* another of the batch was the reason */
          continue;
        }
      else if (result == HZB_STORE_CONFLICT || result == HZB_STORE_UNKNOWN)
        {
          /* Not there: it may still come, so the user is told to come back. */
          Check *check = check_new (accept->exchange, uid, QUESTION_SUBMISSION);
          if (over)
            read_check (api, check);
          else
            queue_check (api, check);
        }
      else
        reply_unavailable (accept->exchange, "the state service can't be asked");
      accept_free (accept);
    }
  batch_free (batch);
  flush_accepts (api);
}

static void
flush_accepts (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);

  while (api->accepting < 2 && api->accepts.length)
    {
      Batch *batch = batch_new (api);
      cJSON *txn = hzb_wire_txn ();
      gsize bytes = 0, most = (gsize) (controller->settings->store_value_kb * 1024) - 64;
      batch->record = cJSON_CreateObject ();
      while (api->accepts.length && batch->entries->len < (conditions (controller) - 1) / 2)
        {
          Accept *accept = g_queue_peek_head (&api->accepts);
          const char *uid = accept->spec->uid;
          gsize length = strlen (accept->packed) + strlen (uid) + 8;
          if (hzb_time_before (accept->deadline, now))
            {
              g_queue_pop_head (&api->accepts);
              reply_unavailable (accept->exchange, "not decided in time");
              accept_free (accept);
              continue;
            }
          if (cJSON_HasObjectItem (batch->record, uid) || (batch->entries->len && bytes + length > most))
            break;
          g_queue_pop_head (&api->accepts);
          bytes += length;
          hzb_jobs_txn_if_not_over (txn, uid); /* long since */
          cJSON_AddItemToObject (batch->record, uid, cJSON_Parse (accept->packed));
          g_ptr_array_add (batch->entries, accept);
        }
      if (!batch->entries->len)
        {
          cJSON_Delete (txn);
          batch_free (batch);
          return;
        }
      batch->key = g_strdup_printf ("%s%s-%s-%u", HZB_KEY_ACCEPTED, controller->settings->node, controller->incarnation,
                                    ++api->records);
      hzb_wire_txn_if (txn, batch->key, 0);
      hzb_wire_txn_put (txn, batch->key, cJSON_Duplicate (batch->record, TRUE), 0);
      api->accepting++;
      hzb_store_txn (controller->store, HZB_STORE_ACCEPT, txn, on_accepted, batch);
    }
}

/* NULL: it can run. */
static const char *
reason_it_never_runs (HzbController *controller, const HzbSpec *spec)
{
  int at = hzb_settings_team (controller->settings, spec->team);
  const HzbTeam *team;
  double times = spec->gang || spec->service ? spec->tasks : 1; /* all of them at once */
  gboolean known_zone = spec->zone == NULL;

  if (at < 0)
    return "owner: no such team";
  team = controller->settings->teams->pdata[at];
  for (guint i = 0; i < controller->settings->zones->len && !known_zone; i++)
    known_zone = g_str_equal (controller->settings->zones->pdata[i], spec->zone);
  if (!known_zone)
    return "yard: no such zone";
  if (spec->cpus * times > team->cpus_max + 1e-9 || spec->gpus * times > team->gpus_max + 1e-9)
    return "the job needs more than its team's limit";
  if (spec->same_zone && spec->spread && spec->tasks > 1)
    return "samePlace and spread exclude each other";
  if (spec->gang && spec->spread && spec->zone && spec->tasks > 1)
    return "a gang that is to be spread can't be in one zone";
  for (guint i = 0; i < controller->machines->types->len; i++)
    {
      const HzbMachineType *type = controller->machines->types->pdata[i];
      if (hzb_type_holds (type, spec)
          && (!spec->zone || g_strv_contains ((const char *const *) type->zones, spec->zone)))
        return NULL;
    }
  return "a task fits no allowed machine type";
}

/* Types that do not exist never fit: the record need not hold them. */
static void
drop_unknown_types (HzbController *controller, HzbSpec *spec)
{
  g_autoptr (GStrvBuilder) reserved = g_strv_builder_new ();
  if (!spec->types)
    return;
  for (guint i = 0; i < controller->machines->types->len; i++)
    {
      const HzbMachineType *type = controller->machines->types->pdata[i];
      if (g_strv_contains ((const char *const *) spec->types, type->name))
        g_strv_builder_add (reserved, type->name);
    }
  g_strfreev (spec->types);
  spec->types = g_strv_builder_end (reserved);
}

static void
submit (HzbUserApi *api, HzbExchange *exchange)
{
  HzbController *controller = api->controller;
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbSpec) spec = hzb_wire_parse_job (exchange->body, exchange->length, &error);
  HzbJob *job;
  const char *refusal;
  Accept *accept;
  cJSON *packed;

  if (!spec)
    {
      g_message ("a submission is malformed: %s", error->message);
      hzb_exchange_reply (exchange, 400, hzb_wire_error (error->message), 0);
      return;
    }
  if ((job = hzb_jobs_find (controller->jobs, spec->uid)))
    {
      if (job->state != HZB_JOB_ACCEPTED)
        reply_final (api, check_new (exchange, spec->uid, QUESTION_SUBMISSION), job);
      else
        add_check (api, exchange, spec->uid, QUESTION_SUBMISSION, NULL, 0);
      return;
    }
  if (!hzb_controller_ready (controller) || !controller->machines->types || hzb_controller_store_silent (controller))
    {
      reply_unavailable (exchange, "not ready yet");
      return;
    }
  /* A repeat of an accepted job must not be refused, whatever has changed since; the version before took any estimate. */
  if (spec->service && spec->estimate_s > 0)
    {
      add_check (api, exchange, spec->uid, QUESTION_SUBMISSION, "expectS: expected 0 for standing jobs", 400);
      return;
    }
  if ((refusal = reason_it_never_runs (controller, spec)))
    {
      add_check (api, exchange, spec->uid, QUESTION_SUBMISSION, refusal, 422);
      return;
    }
  /* A version 1 would take a replica that ends for a task that is done. */
  if (spec->service && hzb_election_format (controller->election) < HZB_FORMAT)
    {
      hzb_exchange_reply (exchange, 503, hzb_wire_error ("services are taken once every controller runs this version"),
                          2);
      return;
    }
  if (api->accepts.length >= MAX_QUEUED_SUBMISSIONS)
    {
      hzb_exchange_reply (exchange, 429, hzb_wire_error ("more submissions than can be taken"), 2);
      return;
    }
  drop_unknown_types (controller, spec);
  packed = hzb_jobs_pack_accepted (spec, hzb_clock_wall (controller->clock));
  accept = g_new0 (Accept, 1);
  accept->exchange = exchange;
  accept->packed = cJSON_PrintUnformatted (packed);
  accept->deadline = hzb_time_plus (hzb_clock_now (controller->clock), 2.5);
  cJSON_Delete (packed);
  if ((double) strlen (accept->packed) > controller->settings->store_value_kb * 1024 - 64)
    {
      hzb_exchange_reply (exchange, 400, hzb_wire_error ("the job's texts are too long"), 0);
      accept_free (accept);
      return;
    }
  accept->spec = g_steal_pointer (&spec);
  g_queue_push_tail (&api->accepts, accept);
  flush_accepts (api);
}

static void
handle_question (HzbUserApi *api, HzbExchange *exchange, const char *uid, Question question)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, uid);

  if (!hzb_wire_uid_ok (uid))
    hzb_exchange_reply (exchange, 404, hzb_wire_error ("no such job"), 0);
  else if (job && job->state != HZB_JOB_ACCEPTED)
    reply_final (api, check_new (exchange, uid, question), job);
  else
    add_check (api, exchange, uid, question, NULL, 0);
}

void
hzb_user_api_request (HzbUserApi *api, HzbExchange *exchange)
{
  const char *rest;
  gboolean post = g_str_equal (exchange->method, "POST"), get = g_str_equal (exchange->method, "GET");

  if (g_str_equal (exchange->path, hzb_path_jobs))
    {
      if (post)
        submit (api, exchange);
      else
        hzb_exchange_reply (exchange, 405, hzb_wire_error ("POST a job here"), 0);
      return;
    }
  rest = exchange->path + strlen (hzb_path_jobs);
  if (g_str_has_prefix (exchange->path, hzb_path_jobs) && *rest == '/')
    {
      const char *slash = strchr (rest + 1, '/');
      g_autofree char *uid = slash ? g_strndup (rest + 1, (gsize) (slash - rest - 1)) : g_strdup (rest + 1);
      if (!slash && get)
        handle_question (api, exchange, uid, QUESTION_STATUS);
      else if (slash && g_str_equal (slash, hzb_path_cancel) && post)
        handle_question (api, exchange, uid, QUESTION_CANCELLATION);
      else if (!slash || g_str_equal (slash, hzb_path_cancel))
        hzb_exchange_reply (exchange, 405, hzb_wire_error (slash ? "POST here" : "GET a job here"), 0);
      else
        hzb_exchange_reply (exchange, 404, hzb_wire_error ("no such path"), 0);
      return;
    }
  hzb_exchange_reply (exchange, 404, hzb_wire_error ("no such path"), 0);
}

void
hzb_user_api_tick (HzbUserApi *api)
{
  flush_accepts (api);
  flush_checks (api);
  check_pending_cancellations (api);
}
