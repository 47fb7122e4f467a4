/* Which submissions can never run, and the texts that users get. */
#include "support.h"
#include "user-api-private.h"

typedef struct
{
  HzbSettings *settings;
  HzbMachines *machines;
  HzbNode node;
  HzbUserApi api;
} Admission;

static void
admission_up (Admission *admission)
{
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);

  memset (admission, 0, sizeof *admission);
  admission->settings = test_settings ();
  admission->machines = hzb_machines_new (NULL, admission->settings);
  g_ptr_array_add (types, test_type ("big", 8, 32));
  hzb_machines_set_types (admission->machines, types);
  admission->node.settings = admission->settings;
  admission->api.with.node = &admission->node;
  admission->api.with.machines = admission->machines;
}

static void
admission_down (Admission *admission)
{
  hzb_machines_free (admission->machines);
  hzb_settings_free (admission->settings);
}

static HzbJobSpec *
new_spec (HzbJobKind kind, guint tasks, double cpus)
{
  HzbJobSpec *spec = g_new0 (HzbJobSpec, 1);
  spec->uid = g_strdup ("run-000001");
  spec->job_class = g_strdup ("batch");
  spec->team = g_strdup ("red");
  spec->kind = kind;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->memory_gb = 1;
  spec->image = g_ref_string_new_intern ("img");
  return spec;
}

/* Takes the spec; @message NULL: it is admitted. */
static void
assert_admission (const Admission *admission, HzbJobSpec *spec, HzbAdmissionError code, const char *message)
{
  g_autoptr (HzbJobSpec) owned = spec;
  g_autoptr (GError) error = NULL;

  g_assert_true (hzb_job_admission_check (&admission->api, owned, &error) == (message == NULL));
  if (!message)
    {
      g_assert_no_error (error);
      return;
    }
  g_assert_error (error, HZB_ADMISSION_ERROR, (int) code);
  g_assert_cmpstr (error->message, ==, message);
}

static void
test_limits (void)
{
  static const char too_much[] = "the job needs more than its team's limit";
  Admission admission;
  admission_up (&admission);
  /* The limit is 40 CPUs: an array's tasks may run one after the other, all others at once. */
  assert_admission (&admission, new_spec (HZB_JOB_ARRAY, 100, 8), 0, NULL);
  assert_admission (&admission, new_spec (HZB_JOB_GANG, 5, 8), 0, NULL);
  assert_admission (&admission, new_spec (HZB_JOB_GANG, 6, 8), HZB_ADMISSION_ERROR_NEVER_RUNS, too_much);
  assert_admission (&admission, new_spec (HZB_JOB_SERVICE, 6, 8), HZB_ADMISSION_ERROR_NEVER_RUNS, too_much);
  assert_admission (&admission, new_spec (HZB_JOB_ARRAY, 1, 9), HZB_ADMISSION_ERROR_NEVER_RUNS,
                    "a task fits no allowed machine type");
  admission_down (&admission);
}

static void
test_names (void)
{
  HzbJobSpec *other_team = new_spec (HZB_JOB_ARRAY, 1, 1), *other_zone = new_spec (HZB_JOB_ARRAY, 1, 1);
  HzbJobSpec *known_zone = new_spec (HZB_JOB_ARRAY, 1, 1);
  Admission admission;
  admission_up (&admission);
  g_free (other_team->team);
  other_team->team = g_strdup ("green");
  other_zone->zone = g_strdup ("zx");
  known_zone->zone = g_strdup ("zb");
  assert_admission (&admission, other_team, HZB_ADMISSION_ERROR_NEVER_RUNS, "owner: no such team");
  assert_admission (&admission, other_zone, HZB_ADMISSION_ERROR_NEVER_RUNS, "yard: no such zone");
  assert_admission (&admission, known_zone, 0, NULL);
  admission_down (&admission);
}

static void
test_contradictions (void)
{
  HzbJobSpec *both = new_spec (HZB_JOB_ARRAY, 2, 1), *one_task = new_spec (HZB_JOB_ARRAY, 1, 1);
  HzbJobSpec *gang = new_spec (HZB_JOB_GANG, 2, 1), *service = new_spec (HZB_JOB_SERVICE, 2, 1);
  Admission admission;
  admission_up (&admission);
  both->same_zone = both->spread = one_task->same_zone = one_task->spread = gang->spread = TRUE;
  gang->zone = g_strdup ("za");
  service->estimate_s = 1;
  assert_admission (&admission, both, HZB_ADMISSION_ERROR_NEVER_RUNS, "samePlace and spread exclude each other");
  assert_admission (&admission, one_task, 0, NULL);
  assert_admission (&admission, gang, HZB_ADMISSION_ERROR_NEVER_RUNS,
                    "a gang that is to be spread can't be in one zone");
  assert_admission (&admission, service, HZB_ADMISSION_ERROR_MALFORMED, "expectS: expected 0 for standing jobs");
  admission_down (&admission);
}

static void
test_unknown_types (void)
{
  g_autoptr (HzbJobSpec) spec = new_spec (HZB_JOB_ARRAY, 1, 1);
  Admission admission;
  admission_up (&admission);
  hzb_job_admission_drop_unknown_types (&admission.api, spec);
  g_assert_null (spec->types); /* any */
  spec->types = g_strsplit ("gone,big", ",", 0);
  hzb_job_admission_drop_unknown_types (&admission.api, spec);
  g_assert_cmpuint (g_strv_length (spec->types), ==, 1);
  g_assert_cmpstr (spec->types[0], ==, "big");
  admission_down (&admission);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/job-admission/limits", test_limits);
  g_test_add_func ("/job-admission/names", test_names);
  g_test_add_func ("/job-admission/contradictions", test_contradictions);
  g_test_add_func ("/job-admission/unknown-types", test_unknown_types);
  return g_test_run ();
}
