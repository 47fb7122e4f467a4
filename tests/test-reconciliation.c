/* Unit tests of reconciliation: verdicts against reference models, malformed records, damaged archives, the pacing of
 * starts, and the settings. */
#include "archive-packing.h"
#include "archive.h"
#include "report.h"
#include "start-pacing.h"
#include "support.h"

#include <string.h>

/* ---- verdicts on tasks: all combinations of evidence ---- */

/* A rule of the reference model, an ordered list of rules. The first rule that applies gives the verdict. */
typedef struct
{
  gboolean (*applies) (const HzbTaskEvidence *evidence);
  HzbTaskVerdict alive; /* verdict if the heartbeat lists the task as alive */
  HzbTaskVerdict other; /* verdict in all other cases */
} Rule;

static gboolean
is_absence_unproven (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT_UNPROVEN;
}

static gboolean
is_kept_or_operator_awaited (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT
         && (e->operator_decision == HZB_OPERATOR_KEEP
             || (e->operator_decision == HZB_OPERATOR_UNDECIDED && !e->operator_wait_over));
}

static gboolean
is_absent (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT;
}

static gboolean
has_unreported_result (const HzbTaskEvidence *e)
{
  return e->reported == HZB_NOT_REPORTED && (e->known == HZB_KNOWN_RESULT_DURABLE || e->known == HZB_KNOWN_RESULT);
}

static gboolean
must_not_restart (const HzbTaskEvidence *e)
{
  return e->reported == HZB_NOT_REPORTED
         && (e->machines_awaited || e->record == HZB_RECORD_TERMINAL || !e->job_decided);
}

static gboolean
is_not_reported (const HzbTaskEvidence *e)
{
  return e->reported == HZB_NOT_REPORTED;
}

static gboolean
is_job_terminal (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_TERMINAL;
}

static gboolean
is_result_not_durable (const HzbTaskEvidence *e)
{
  return e->known == HZB_KNOWN_RESULT;
}

static gboolean
is_superseded (const HzbTaskEvidence *e)
{
  return e->known == HZB_KNOWN_RESULT_DURABLE || e->known == HZB_KNOWN_PLACED_ELSEWHERE;
}

static gboolean
is_adoptable (const HzbTaskEvidence *e)
{
  return e->reported == HZB_REPORTED_ALIVE || e->reported == HZB_REPORTED_RESULT;
}

static gboolean
is_placed_here (const HzbTaskEvidence *e)
{
  return e->known == HZB_KNOWN_PLACED_HERE;
}

static gboolean
always (const HzbTaskEvidence *e)
{
  return TRUE;
}

static HzbTaskVerdict
model_task_verdict (const HzbTaskEvidence *evidence)
{
  static const Rule rules[] = {
    { is_absence_unproven, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_VERDICT_QUARANTINE },
    { is_kept_or_operator_awaited, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_VERDICT_QUARANTINE },
    { is_absent, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { has_unreported_result, HZB_TASK_VERDICT_ADOPT, HZB_TASK_VERDICT_ADOPT },
    { must_not_restart, HZB_TASK_VERDICT_AWAIT, HZB_TASK_VERDICT_AWAIT },
    { is_not_reported, HZB_TASK_VERDICT_RESTART, HZB_TASK_VERDICT_RESTART },
    { is_job_terminal, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { is_result_not_durable, HZB_TASK_VERDICT_AWAIT, HZB_TASK_VERDICT_AWAIT },
    { is_superseded, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { is_adoptable, HZB_TASK_VERDICT_ADOPT, HZB_TASK_VERDICT_ADOPT },
    { is_placed_here, HZB_TASK_VERDICT_RESTART, HZB_TASK_VERDICT_RESTART },
    { always, HZB_TASK_VERDICT_REAP, HZB_TASK_VERDICT_REAP },
  };
  HzbTaskVerdict verdict = HZB_TASK_VERDICT_AWAIT;
  for (guint i = 0; i < G_N_ELEMENTS (rules); i++)
    if (rules[i].applies (evidence))
      {
        verdict = evidence->reported == HZB_REPORTED_ALIVE ? rules[i].alive : rules[i].other;
        break;
      }
  /* No stop or reap is sent for a task of an accepted job before the job's verdict is durable. */
  if (evidence->record == HZB_RECORD_OPEN && !evidence->job_decided
      && (verdict == HZB_TASK_VERDICT_STOP || verdict == HZB_TASK_VERDICT_REAP))
    return HZB_TASK_VERDICT_AWAIT;
  return verdict;
}

static void
check_task_verdict (const HzbTaskEvidence *e)
{
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_task_verdict_decide (e, &reason), expected = model_task_verdict (e);
  if (verdict != expected)
    g_error (
        "record %d, leader %d, heartbeat %d, machines awaited %d, job decided %d, operator %d, operator time over %d: "
        "verdict %s (%s), but the reference model expects %s",
        e->record, e->known, e->reported, e->machines_awaited, e->job_decided, e->operator_decision,
        e->operator_wait_over, hzb_task_verdict_name (verdict), hzb_task_reason_name (reason),
        hzb_task_verdict_name (expected));
}

static void
test_tasks (void)
{
  for (guint combination = 0; combination < 4u * 5 * 4 * 3 * 8; combination++)
    {
      guint rest = combination;
      HzbTaskEvidence e = { 0 };
      e.record = (HzbRecordEvidence) (rest % 4);
      e.known = (HzbLeaderEvidence) ((rest /= 4) % 5);
      e.reported = (HzbHeartbeatEvidence) ((rest /= 5) % 4);
      e.operator_decision = (HzbOperatorDecision) ((rest /= 4) % 3);
      rest /= 3;
      e.machines_awaited = (rest & 1) != 0;
      e.job_decided = (rest & 2) != 0;
      e.operator_wait_over = (rest & 4) != 0;
      check_task_verdict (&e);
    }
}

/* ---- verdicts on jobs: random evidence, reduced where the verdict is wrong ---- */

static HzbJobVerdict
model_job_verdict (const HzbJobEvidence *e)
{
  gboolean has_all_results = e->results >= e->tasks, never_started = e->released == 0;
  gboolean all_accounted = e->unconfirmed == 0 || !e->machines_awaited;
  if (e->cancelled || has_all_results)
    return e->cancelled ? HZB_JOB_VERDICT_CANCEL : HZB_JOB_VERDICT_FINISH;
  return never_started || (all_accounted && !e->barrier) ? HZB_JOB_VERDICT_RESUME : HZB_JOB_VERDICT_HOLD;
}

static gboolean
matches_job_model (const HzbJobEvidence *e)
{
  HzbJobReason reason;
  HzbJobVerdict verdict = hzb_job_verdict_decide (e, &reason);
  gboolean recorded = verdict == HZB_JOB_VERDICT_RESUME && e->released;
  return verdict == model_job_verdict (e) && hzb_job_reason_needs_record (reason) == recorded;
}

/* Reduces evidence with a wrong verdict: halves the numbers and clears the flags as long as the verdict stays wrong. */
static void
reduce_evidence (HzbJobEvidence *e)
{
  guint *const numbers[] = { &e->tasks, &e->released, &e->placed, &e->results, &e->unconfirmed };
  gboolean *const flags[] = { &e->cancelled, &e->machines_awaited, &e->barrier };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    while (*numbers[i])
      {
        guint before = *numbers[i];
        *numbers[i] /= 2;
        if (!matches_job_model (e))
          continue;
        *numbers[i] = before;
        break;
      }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      gboolean before = *flags[i];
      *flags[i] = FALSE;
      if (matches_job_model (e))
        *flags[i] = before;
    }
}

static void
test_jobs (void)
{
  for (guint32 seed = 1; seed <= 20000; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      guint tasks = (guint) g_rand_int_range (rand, 1, seed % 3 ? 4 : 100001);
      HzbJobEvidence e = { .cancelled = g_rand_int_range (rand, 0, 4) == 0,
                           .tasks = tasks,
                           .released = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .placed = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .results = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .unconfirmed = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .machines_awaited = g_rand_boolean (rand),
                           .barrier = g_rand_boolean (rand) };
      if (matches_job_model (&e))
        continue;
      reduce_evidence (&e);
      g_error (
          "seed %u: cancelled %d, tasks %u, released %u, found %u, results %u, unconfirmed %u, awaited %d, barrier %d",
          seed, e.cancelled, e.tasks, e.released, e.placed, e.results, e.unconfirmed, e.machines_awaited, e.barrier);
    }
}

/* ---- kinds of start: all combinations of evidence ---- */

/* The start is not taken for a cold start if a controller on the roster is known to be alive, or if there is no roster.
 * Exception: an earlier reconciliation is unfinished, and then every start is a cold start. The kind stays undecided
 * while a peer that may have survived is waited for. */
static void
test_starts (void)
{
  for (guint combination = 0; combination < 1u << 7; combination++)
    {
      HzbStartEvidence e = { .has_flush_record = (combination & 1) != 0,
                             .has_roster = (combination & 2) != 0,
                             .self_on_roster = (combination & 4) != 0,
                             .peer_on_roster = (combination & 8) != 0,
                             .all_peers_contacted = (combination & 16) != 0,
                             .peer_wait_over = (combination & 32) != 0,
                             .unfinished = (combination & 64) != 0 };
      HzbStartReason reason;
      HzbStartKind kind = hzb_start_decide (&e, &reason);
      gboolean none_survived = e.has_flush_record && e.has_roster && !e.self_on_roster && !e.peer_on_roster;
      gboolean waiting_done = e.all_peers_contacted || e.peer_wait_over;
      g_assert_cmpint (kind, ==,
                       e.unfinished || (none_survived && waiting_done) ? HZB_START_COLD
                       : none_survived                                 ? HZB_START_UNDECIDED
                                                                       : HZB_START_FAILOVER);
      g_assert_nonnull (hzb_start_reason_name (reason));
    }
}

/* ---- records ---- */

/* @code: the expected code of the error from the page decoder */
static void
expect_decode_error (const char *text, int code)
{
  g_autoptr (GError) error = NULL, other = NULL;
  cJSON *value = cJSON_Parse (text);
  HzbReconciliationRecord record;
  guint64 id;
  g_assert_null (hzb_verdict_page_decode (value, &id, &error));
  g_assert_error (error, HZB_RECONCILIATION_ERROR, code);
  g_assert_false (hzb_reconciliation_record_decode (value, &record, &other));
  cJSON_Delete (value);
}

/* Serializes and parses a value, like a write to the key-value store followed by a read.
 * @value: (transfer full)
 * Returns: (transfer full) */
static cJSON *
store_and_load (cJSON *value)
{
  char *text = cJSON_PrintUnformatted (value);
  cJSON *parsed = cJSON_Parse (text);
  cJSON_free (text);
  cJSON_Delete (value);
  return parsed;
}

static void
test_records (void)
{
  HzbReconciliationRecord record = { 7, 9, 2, 1.7e9 }, decoded = { 0 };
  HzbVerdictEntry entry = { (char *) "run-000001", HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ACCOUNTED, 3, 2, 1 };
  cJSON *value = store_and_load (hzb_reconciliation_record_encode (&record)), *page;
  g_autoptr (GPtrArray) written = g_ptr_array_new ();
  g_autoptr (GArray) entries = NULL;
  const HzbVerdictEntry *decoded_entry;
  guint64 id = 0;

  g_assert_true (hzb_reconciliation_record_decode (value, &decoded, NULL));
  g_assert_true (decoded.id == 7 && decoded.term == 9 && decoded.cold_starts == 2);
  g_ptr_array_add (written, &entry);
  page = store_and_load (hzb_verdict_page_encode (7, 9, written));
  entries = hzb_verdict_page_decode (page, &id, NULL);
  g_assert_cmpuint (id, ==, 7);
  decoded_entry = &g_array_index (entries, HzbVerdictEntry, 0);
  g_assert_cmpstr (decoded_entry->uid, ==, entry.uid);
  g_assert_true (decoded_entry->verdict == entry.verdict && decoded_entry->reason == entry.reason
                 && decoded_entry->restarted == 1);
  cJSON_Delete (value);
  cJSON_Delete (page);
  expect_decode_error ("{\"format\":2,\"id\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_FUTURE_FORMAT);
  expect_decode_error ("{\"id\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_decode_error ("{\"format\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_decode_error ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",0,0,0]}}",
                       HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_decode_error ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"hold\",0,0,0,0]}}",
                       HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_decode_error ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",99,0,0,0]}}",
                       HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_decode_error ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",0,-1,0,0]}}",
                       HZB_RECONCILIATION_ERROR_MALFORMED);
}

/* ---- archives ---- */

/* Returns: (transfer full): an archive with an entry in every list */
static HzbArchive *
make_sample_archive (void)
{
  HzbArchive *archive = hzb_archive_new ();
  HzbArchivedJobVerdict job = {
    { (char *) "run-<1>", HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ACCOUNTED, 3, 2, 1 }, 9, 6, 2.5
  };
  archive->id = 12;
  archive->term = 14;
  archive->cold_starts = 1;
  archive->began = 1.7e9;
  archive->reason = g_strdup ("all-ended");
  for (guint i = 0; i < 50; i++)
    hzb_archive_add_job (archive, &job);
  hzb_archive_add_machine (archive, "i-1", "answered", 1.25);
  hzb_archive_add_machine (archive, "i-2", "awaited", -1);
  hzb_archive_add_task (archive, "run-000009/0", "i-1", "quarantine", "record-may-come");
  archive->commands[HZB_ARCHIVE_STARTS][3] = 17;
  return archive;
}

static void
test_archives (void)
{
  g_autoptr (HzbArchive) archive = make_sample_archive (), read = NULL;
  g_autoptr (GBytes) packed = hzb_archive_pack (archive);
  g_autofree char *text = NULL, *html = NULL;
  gsize length;
  const char *data = g_bytes_get_data (packed, &length);

  read = hzb_archive_unpack (packed, NULL);
  g_assert_cmpuint (read->id, ==, 12);
  g_assert_cmpuint (read->jobs->len, ==, 50);
  g_assert_cmpstr (g_array_index (read->jobs, HzbArchivedJobVerdict, 49).entry.uid, ==, "run-<1>");
  g_assert_cmpuint (read->commands[HZB_ARCHIVE_STARTS][3], ==, 17);
  text = hzb_archive_report_text (read);
  g_assert_nonnull (strstr (text, "i-2"));
  g_assert_nonnull (strstr (text, "run-000009/0"));
  html = hzb_archive_report_html (read);
  g_assert_nonnull (strstr (html, "run-&lt;1&gt;"));
  g_assert_null (strstr (html, "run-<1>"));
  g_assert_nonnull (strstr (html, "second 3: 17"));
  /* An archive with any one byte changed, or truncated at any length, is an error. */
  for (gsize offset = 0; offset < length; offset++)
    {
      g_autofree char *copy = g_memdup2 (data, length);
      g_autoptr (GBytes) changed = NULL, truncated = g_bytes_new (data, offset);
      g_autoptr (GError) error = NULL, truncated_error = NULL;
      copy[offset] = (char) (copy[offset] ^ 0x55);
      changed = g_bytes_new (copy, length);
      g_assert_null (hzb_archive_unpack (changed, &error));
      g_assert_true (error && error->domain == HZB_RECONCILIATION_ERROR);
      g_assert_null (hzb_archive_unpack (truncated, &truncated_error));
      g_assert_error (truncated_error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_DAMAGED);
    }
  {
    g_autofree char *copy = g_memdup2 (data, length);
    g_autoptr (GBytes) future = NULL;
    g_autoptr (GError) error = NULL;
    copy[7] = '2';
    future = g_bytes_new (copy, length);
    g_assert_null (hzb_archive_unpack (future, &error));
    g_assert_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_FUTURE_FORMAT);
  }
}

/* ---- pacing of starts ---- */

/* In each second, no more starts are allowed than a full bucket and the refill at the rate. If a start of any class is
 * allowed, an urgent start is allowed too. The first tick after the duration ends the pacing. */
static void
test_pacing (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      HzbStartPacingLimits limits = { g_rand_double_range (rand, 1, 200), 0, 2, 30 };
      HzbStartPacing pacing;
      struct timespec now = { 100, 0 };
      guint starts_in_second[31] = { 0 }, n_urgent = 0, n_other = 0;
      hzb_start_pacing_begin (&pacing, &limits, now);
      for (guint step = 0; step < 599; step++)
        {
          now = hzb_time_plus (now, 0.05);
          hzb_start_pacing_tick (&pacing, 0, now);
          for (guint n = 0; n < 100; n++)
            {
              HzbStartPacingClass class = (HzbStartPacingClass) g_rand_int_range (rand, 0, HZB_START_PACING_N_CLASSES);
              gboolean urgent_allowed = hzb_start_pacing_allows (&pacing, HZB_START_PACING_URGENT);
              if (!hzb_start_pacing_allows (&pacing, class))
                continue;
              g_assert_true (urgent_allowed);
              hzb_start_pacing_take_token (&pacing);
              starts_in_second[step / 20]++;
              n_urgent += class == HZB_START_PACING_URGENT;
              n_other += class == HZB_START_PACING_OTHER;
            }
        }
      for (guint second = 0; second < 30; second++)
        g_assert_cmpfloat (starts_in_second[second], <=, 2 * limits.per_s + 2);
      g_assert_cmpuint (n_urgent, >=, n_other);
      now = hzb_time_plus (now, 1);
      hzb_start_pacing_tick (&pacing, 0, now);
      g_assert_true (!pacing.active && hzb_start_pacing_allows (&pacing, HZB_START_PACING_OTHER));
    }
}

/* ---- settings ---- */

/* @expected: text that the error message must contain */
static void
expect_settings_fault (const char *text, const char *expected)
{
  g_autoptr (HzbSettings) settings = test_settings ();
  g_autoptr (GError) error = NULL;
  g_assert_false (hzb_settings_parse_features (settings, text, "test", &error));
  g_assert_true (error->domain == HZB_SETTINGS_ERROR && strstr (error->message, expected));
}

static void
test_settings_file (void)
{
  g_autoptr (HzbSettings) settings = test_settings ();
  g_assert_false (settings->reconciliation.enabled);
  g_assert_true (hzb_settings_parse_features (settings, "[reconciliation]\nenabled = true\nkeep = 3\n", "test", NULL));
  g_assert_true (settings->reconciliation.enabled && !settings->reconciliation.barrier);
  g_assert_cmpuint (settings->reconciliation.max_archives, ==, 3);
  g_assert_cmpfloat (settings->reconciliation.pace_s, ==, 60);
  expect_settings_fault ("[reconciliation", "not TOML");
  expect_settings_fault ("[reconcilation]\nenabled = true\n", "reconcilation");
  expect_settings_fault ("[reconciliation]\nenabld = true\n", "reconciliation.enabld");
  expect_settings_fault ("[reconciliation]\nenabled = 1\n", "reconciliation.enabled");
  expect_settings_fault ("[reconciliation]\npace_s = 301\n", "reconciliation.pace_s");
  expect_settings_fault ("[reconciliation]\noperator_s = -1\n", "reconciliation.operator_s");
  expect_settings_fault ("[reconciliation]\nkeep = \"all\"\n", "reconciliation.keep");
  expect_settings_fault ("reconciliation = 1\n", "reconciliation");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reconciliation/tasks", test_tasks);
  g_test_add_func ("/reconciliation/jobs", test_jobs);
  g_test_add_func ("/reconciliation/starts", test_starts);
  g_test_add_func ("/reconciliation/records", test_records);
  g_test_add_func ("/reconciliation/archives", test_archives);
  g_test_add_func ("/reconciliation/pace", test_pacing);
  g_test_add_func ("/reconciliation/settings", test_settings_file);
  return g_test_run ();
}
