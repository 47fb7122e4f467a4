/* The parts of the reconciliation by themselves: decisions against a plain model, records and archives that are damaged, and
 * the pace. */
#include "archive-packing.h"
#include "archive.h"
#include "report.h"
#include "start-pacing.h"
#include "support.h"

#include <string.h>

/* ---- decisions about tasks: every possible evidence ---- */

/* The plain model: rules in order, the first that applies holds. */
typedef struct
{
  gboolean (*applies) (const HzbTaskEvidence *evidence);
  HzbTaskVerdict alive, ended; /* by what is shown */
} Rule;

static gboolean
is_unproven (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT_UNPROVEN;
}

static gboolean
is_nobodys_yet (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT
         && (e->operator_decision == HZB_OPERATOR_KEEPS
             || (e->operator_decision == HZB_OPERATOR_UNDECIDED && !e->operator_time_over));
}

static gboolean
is_nobodys (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_ABSENT;
}

static gboolean
has_result_unshown (const HzbTaskEvidence *e)
{
  return e->shown == HZB_SHOWN_NOT && (e->standing == HZB_STANDING_DURABLE || e->standing == HZB_STANDING_RESULT);
}

static gboolean
may_not_start_again (const HzbTaskEvidence *e)
{
  return e->shown == HZB_SHOWN_NOT && (e->machines_awaited || e->record == HZB_RECORD_OVER || !e->job_decided);
}

static gboolean
is_nowhere (const HzbTaskEvidence *e)
{
  return e->shown == HZB_SHOWN_NOT;
}

static gboolean
is_over (const HzbTaskEvidence *e)
{
  return e->record == HZB_RECORD_OVER;
}

static gboolean
waits_for_result_to_be_durable (const HzbTaskEvidence *e)
{
  return e->standing == HZB_STANDING_RESULT;
}

static gboolean
is_not_where_it_should_be (const HzbTaskEvidence *e)
{
  return e->standing == HZB_STANDING_DURABLE || e->standing == HZB_STANDING_ELSEWHERE;
}

static gboolean
is_of_use (const HzbTaskEvidence *e)
{
  return e->shown == HZB_SHOWN_ALIVE || e->shown == HZB_SHOWN_RESULT;
}

static gboolean
failed_here (const HzbTaskEvidence *e)
{
  return e->standing == HZB_STANDING_HERE;
}

static gboolean
always (const HzbTaskEvidence *e)
{
  return TRUE;
}

static HzbTaskVerdict
model_of_task (const HzbTaskEvidence *evidence)
{
  static const Rule rules[] = {
    { is_unproven, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_VERDICT_QUARANTINE },
    { is_nobodys_yet, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_VERDICT_QUARANTINE },
    { is_nobodys, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { has_result_unshown, HZB_TASK_VERDICT_ADOPT, HZB_TASK_VERDICT_ADOPT },
    { may_not_start_again, HZB_TASK_VERDICT_AWAIT, HZB_TASK_VERDICT_AWAIT },
    { is_nowhere, HZB_TASK_VERDICT_RESTART, HZB_TASK_VERDICT_RESTART },
    { is_over, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { waits_for_result_to_be_durable, HZB_TASK_VERDICT_AWAIT, HZB_TASK_VERDICT_AWAIT },
    { is_not_where_it_should_be, HZB_TASK_VERDICT_STOP, HZB_TASK_VERDICT_REAP },
    { is_of_use, HZB_TASK_VERDICT_ADOPT, HZB_TASK_VERDICT_ADOPT },
    { failed_here, HZB_TASK_VERDICT_RESTART, HZB_TASK_VERDICT_RESTART },
    { always, HZB_TASK_VERDICT_REAP, HZB_TASK_VERDICT_REAP },
  };
  HzbTaskVerdict verdict = HZB_TASK_VERDICT_AWAIT;
  for (guint i = 0; i < G_N_ELEMENTS (rules); i++)
    if (rules[i].applies (evidence))
      {
        verdict = evidence->shown == HZB_SHOWN_ALIVE ? rules[i].alive : rules[i].ended;
        break;
      }
  /* No command about a job that goes on before its own verdict is durable. */
  if (evidence->record == HZB_RECORD_OPEN && !evidence->job_decided
      && (verdict == HZB_TASK_VERDICT_STOP || verdict == HZB_TASK_VERDICT_REAP))
    return HZB_TASK_VERDICT_AWAIT;
  return verdict;
}

static void
check_task (const HzbTaskEvidence *e)
{
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_task_verdict_decide (e, &reason), expected = model_of_task (e);
  if (verdict != expected)
    g_error (
        "record %d, standing %d, shown %d, awaited %d, decided %d, operator %d %d: %s (%s) where the model says %s",
        e->record, e->standing, e->shown, e->machines_awaited, e->job_decided, e->operator_decision,
        e->operator_time_over, hzb_task_verdict_name (verdict), hzb_task_reason_name (reason),
        hzb_task_verdict_name (expected));
}

static void
test_tasks (void)
{
  for (guint at = 0; at < 4u * 5 * 4 * 3 * 8; at++)
    {
      guint rest = at;
      HzbTaskEvidence e = { 0 };
      e.record = (HzbRecordEvidence) (rest % 4);
      e.standing = (HzbTaskStanding) ((rest /= 4) % 5);
      e.shown = (HzbTaskShown) ((rest /= 5) % 4);
      e.operator_decision = (HzbOperatorDecision) ((rest /= 4) % 3);
      rest /= 3;
      e.machines_awaited = (rest & 1) != 0;
      e.job_decided = (rest & 2) != 0;
      e.operator_time_over = (rest & 4) != 0;
      check_task (&e);
    }
}

/* ---- decisions about jobs, and about the start: generated, and made small where they fail ---- */

static HzbJobVerdict
model_of_job (const HzbJobEvidence *e)
{
  gboolean all_over = e->results >= e->tasks, nothing_can_run = e->released == 0;
  gboolean accounted = e->unconfirmed == 0 || !e->machines_awaited;
  if (e->cancelled || all_over)
    return e->cancelled ? HZB_JOB_VERDICT_CANCEL : HZB_JOB_VERDICT_FINISH;
  return nothing_can_run || (accounted && !e->barrier) ? HZB_JOB_VERDICT_RESUME : HZB_JOB_VERDICT_HOLD;
}

static gboolean
job_agrees (const HzbJobEvidence *e)
{
  HzbJobReason reason;
  HzbJobVerdict verdict = hzb_job_verdict_decide (e, &reason);
  gboolean recorded = verdict == HZB_JOB_VERDICT_RESUME && e->released;
  return verdict == model_of_job (e) && hzb_job_reason_needs_record (reason) == recorded;
}

/* Halves one number after another, and drops one flag after another, for as long as it still fails. */
static void
make_small (HzbJobEvidence *e)
{
  guint *const numbers[] = { &e->tasks, &e->released, &e->found, &e->results, &e->unconfirmed };
  gboolean *const flags[] = { &e->cancelled, &e->machines_awaited, &e->barrier };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    while (*numbers[i])
      {
        guint before = *numbers[i];
        *numbers[i] /= 2;
        if (!job_agrees (e))
          continue;
        *numbers[i] = before;
        break;
      }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      gboolean before = *flags[i];
      *flags[i] = FALSE;
      if (job_agrees (e))
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
                           .found = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .results = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .unconfirmed = (guint) g_rand_int_range (rand, 0, (gint32) tasks + 1),
                           .machines_awaited = g_rand_boolean (rand),
                           .barrier = g_rand_boolean (rand) };
      if (job_agrees (&e))
        continue;
      make_small (&e);
      g_error ("seed %u: cancelled %d, tasks %u, released %u, found %u, results %u, unknown %u, awaited %d, barrier %d",
               seed, e.cancelled, e.tasks, e.released, e.found, e.results, e.unconfirmed, e.machines_awaited,
               e.barrier);
    }
}

/* A cold start is never found where a survivor is known, nor where no roster says who there was, unless one is unfinished. */
static void
test_starts (void)
{
  for (guint at = 0; at < 1u << 7; at++)
    {
      HzbStartEvidence e = { .has_flush_record = (at & 1) != 0,
                             .has_roster = (at & 2) != 0,
                             .self_on_roster = (at & 4) != 0,
                             .peer_on_roster = (at & 8) != 0,
                             .all_peers_contacted = (at & 16) != 0,
                             .patience_over = (at & 32) != 0,
                             .unfinished = (at & 64) != 0 };
      HzbStartReason reason;
      HzbStartKind kind = hzb_start_decide (&e, &reason);
      gboolean known = e.has_flush_record && e.has_roster && !e.self_on_roster && !e.peer_on_roster;
      gboolean certain = e.all_peers_contacted || e.patience_over;
      g_assert_cmpint (kind, ==,
                       e.unfinished || (known && certain) ? HZB_START_COLD
                       : known                            ? HZB_START_UNDECIDED
                                                          : HZB_START_CHANGE_OF_LEADER);
      g_assert_nonnull (hzb_start_reason_name (reason));
    }
}

/* ---- records ---- */

static void
expect_malformed (const char *text, int code)
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

/* As the key-value store gives it back. Takes the value. */
static cJSON *
stored (cJSON *value)
{
  char *text = cJSON_PrintUnformatted (value);
  cJSON *back = cJSON_Parse (text);
  cJSON_free (text);
  cJSON_Delete (value);
  return back;
}

static void
test_records (void)
{
  HzbReconciliationRecord record = { 7, 9, 2, 1.7e9 }, read = { 0 };
  HzbVerdictEntry entry = { (char *) "run-000001", HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ACCOUNTED, 3, 2, 1 };
  cJSON *value = stored (hzb_reconciliation_record_encode (&record)), *page;
  g_autoptr (GPtrArray) written = g_ptr_array_new ();
  g_autoptr (GArray) entries = NULL;
  const HzbVerdictEntry *back;
  guint64 id = 0;

  g_assert_true (hzb_reconciliation_record_decode (value, &read, NULL));
  g_assert_true (read.id == 7 && read.term == 9 && read.starts == 2);
  g_ptr_array_add (written, &entry);
  page = stored (hzb_verdict_page_encode (7, 9, written));
  entries = hzb_verdict_page_decode (page, &id, NULL);
  g_assert_cmpuint (id, ==, 7);
  back = &g_array_index (entries, HzbVerdictEntry, 0);
  g_assert_cmpstr (back->uid, ==, entry.uid);
  g_assert_true (back->verdict == entry.verdict && back->reason == entry.reason && back->restarted == 1);
  cJSON_Delete (value);
  cJSON_Delete (page);
  expect_malformed ("{\"format\":2,\"id\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_FUTURE_FORMAT);
  expect_malformed ("{\"id\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_malformed ("{\"format\":1,\"jobs\":{}}", HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_malformed ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",0,0,0]}}",
                    HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_malformed ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"hold\",0,0,0,0]}}",
                    HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_malformed ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",99,0,0,0]}}",
                    HZB_RECONCILIATION_ERROR_MALFORMED);
  expect_malformed ("{\"format\":1,\"id\":1,\"jobs\":{\"run-1\":[\"resume\",0,-1,0,0]}}",
                    HZB_RECONCILIATION_ERROR_MALFORMED);
}

/* ---- archives ---- */

static HzbArchive *
some_archive (void)
{
  HzbArchive *archive = hzb_archive_new ();
  HzbArchivedJob job = { { (char *) "run-<1>", HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ACCOUNTED, 3, 2, 1 }, 9, 6, 2.5 };
  archive->id = 12;
  archive->term = 14;
  archive->starts = 1;
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
  g_autoptr (HzbArchive) archive = some_archive (), read = NULL;
  g_autoptr (GBytes) packed = hzb_archive_pack (archive);
  g_autofree char *text = NULL, *html = NULL;
  gsize length;
  const char *data = g_bytes_get_data (packed, &length);

  read = hzb_archive_unpack (packed, NULL);
  g_assert_cmpuint (read->id, ==, 12);
  g_assert_cmpuint (read->jobs->len, ==, 50);
  g_assert_cmpstr (g_array_index (read->jobs, HzbArchivedJob, 49).entry.uid, ==, "run-<1>");
  g_assert_cmpuint (read->commands[HZB_ARCHIVE_STARTS][3], ==, 17);
  text = hzb_archive_report_text (read);
  g_assert_nonnull (strstr (text, "i-2"));
  g_assert_nonnull (strstr (text, "run-000009/0"));
  html = hzb_archive_report_html (read);
  g_assert_nonnull (strstr (html, "run-&lt;1&gt;"));
  g_assert_null (strstr (html, "run-<1>"));
  g_assert_nonnull (strstr (html, "second 3: 17"));
  /* Whatever byte is changed, and wherever it is cut, it is reported. */
  for (gsize at = 0; at < length; at++)
    {
      g_autofree char *copy = g_memdup2 (data, length);
      g_autoptr (GBytes) changed = NULL, cut = g_bytes_new (data, at);
      g_autoptr (GError) error = NULL, cut_error = NULL;
      copy[at] = (char) (copy[at] ^ 0x55);
      changed = g_bytes_new (copy, length);
      g_assert_null (hzb_archive_unpack (changed, &error));
      g_assert_true (error && error->domain == HZB_RECONCILIATION_ERROR);
      g_assert_null (hzb_archive_unpack (cut, &cut_error));
      g_assert_error (cut_error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_DAMAGED);
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

/* ---- the pace ---- */

/* In any second no more than the rate and a full bucket; less urgent starts wait first; the pacing ends by itself. */
static void
test_pace (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      HzbStartPacingLimits limits = { g_rand_double_range (rand, 1, 200), 0, 2, 30 };
      HzbStartPacing pacing;
      struct timespec now = { 100, 0 };
      guint in_second[31] = { 0 }, urgent = 0, other = 0;
      hzb_start_pacing_begin (&pacing, &limits, now);
      for (guint step = 0; step < 599; step++)
        {
          now = hzb_time_plus (now, 0.05);
          hzb_start_pacing_tick (&pacing, 0, now);
          for (guint n = 0; n < 100; n++)
            {
              HzbStartPacingClass class = (HzbStartPacingClass) g_rand_int_range (rand, 0, HZB_START_PACING_N_CLASSES);
              gboolean more_pressing = hzb_start_pacing_allows (&pacing, HZB_START_PACING_URGENT);
              if (!hzb_start_pacing_allows (&pacing, class))
                continue;
              g_assert_true (more_pressing);
              hzb_start_pacing_take_token (&pacing);
              in_second[step / 20]++;
              urgent += class == HZB_START_PACING_URGENT;
              other += class == HZB_START_PACING_OTHER;
            }
        }
      for (guint second = 0; second < 30; second++)
        g_assert_cmpfloat (in_second[second], <=, 2 * limits.per_s + 2);
      g_assert_cmpuint (urgent, >=, other);
      now = hzb_time_plus (now, 1);
      hzb_start_pacing_tick (&pacing, 0, now);
      g_assert_true (!pacing.active && hzb_start_pacing_allows (&pacing, HZB_START_PACING_OTHER));
    }
}

/* ---- settings ---- */

static void
expect_fault (const char *text, const char *named)
{
  g_autoptr (HzbSettings) settings = test_settings ();
  g_autoptr (GError) error = NULL;
  g_assert_false (hzb_settings_parse_features (settings, text, "test", &error));
  g_assert_true (error->domain == HZB_SETTINGS_ERROR && strstr (error->message, named));
}

static void
test_settings_file (void)
{
  g_autoptr (HzbSettings) settings = test_settings ();
  g_assert_false (settings->reconciliation.enabled);
  g_assert_true (hzb_settings_parse_features (settings, "[reconciliation]\nenabled = true\nkeep = 3\n", "test", NULL));
  g_assert_true (settings->reconciliation.enabled && !settings->reconciliation.barrier);
  g_assert_cmpuint (settings->reconciliation.keep, ==, 3);
  g_assert_cmpfloat (settings->reconciliation.pace_s, ==, 60);
  expect_fault ("[reconciliation", "not TOML");
  expect_fault ("[reconcilation]\nenabled = true\n", "reconcilation");
  expect_fault ("[reconciliation]\nenabld = true\n", "reconciliation.enabld");
  expect_fault ("[reconciliation]\nenabled = 1\n", "reconciliation.enabled");
  expect_fault ("[reconciliation]\npace_s = 301\n", "reconciliation.pace_s");
  expect_fault ("[reconciliation]\noperator_s = -1\n", "reconciliation.operator_s");
  expect_fault ("[reconciliation]\nkeep = \"all\"\n", "reconciliation.keep");
  expect_fault ("reconciliation = 1\n", "reconciliation");
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
  g_test_add_func ("/reconciliation/pace", test_pace);
  g_test_add_func ("/reconciliation/settings", test_settings_file);
  return g_test_run ();
}
