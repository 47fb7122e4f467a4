/* Admission of jobs: which submissions are refused because they can never run, and the texts of the responses. */
#include "support.h"
#include "user-api-private.h"

typedef struct
{
  HzbSettings *settings;
  HzbMachines *machines;
  HzbNode node;
  HzbUserApi api;
} AdmissionFixture;

static void
fixture_set_up (AdmissionFixture *fixture)
{
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);

  memset (fixture, 0, sizeof *fixture);
  fixture->settings = test_settings ();
  fixture->machines = hzb_machines_new (NULL, fixture->settings);
  g_ptr_array_add (types, test_type ("big", 8, 32));
  hzb_machines_set_types (fixture->machines, types);
  fixture->node.settings = fixture->settings;
  fixture->api.dependencies.node = &fixture->node;
  fixture->api.dependencies.machines = fixture->machines;
}

static void
fixture_tear_down (AdmissionFixture *fixture)
{
  hzb_machines_free (fixture->machines);
  hzb_settings_free (fixture->settings);
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

/* Checks one job. Takes ownership of the spec. @code and @message: the expected error; @message NULL: the job is
 * admitted */
static void
assert_admission (const AdmissionFixture *fixture, HzbJobSpec *spec, HzbAdmissionError code, const char *message)
{
  g_autoptr (HzbJobSpec) owned = spec;
  g_autoptr (GError) error = NULL;

  g_assert_true (hzb_job_admission_check (&fixture->api, owned, &error) == (message == NULL));
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
  static const char limit_exceeded[] = "the job needs more than its team's limit";
  AdmissionFixture fixture;
  fixture_set_up (&fixture);
  /* The team's limit is 40 CPUs. The tasks of an array may run one after the other; those of other jobs run at the same
   * time. */
  assert_admission (&fixture, new_spec (HZB_JOB_ARRAY, 100, 8), 0, NULL);
  assert_admission (&fixture, new_spec (HZB_JOB_GANG, 5, 8), 0, NULL);
  assert_admission (&fixture, new_spec (HZB_JOB_GANG, 6, 8), HZB_ADMISSION_ERROR_UNSCHEDULABLE, limit_exceeded);
  assert_admission (&fixture, new_spec (HZB_JOB_SERVICE, 6, 8), HZB_ADMISSION_ERROR_UNSCHEDULABLE, limit_exceeded);
  assert_admission (&fixture, new_spec (HZB_JOB_ARRAY, 1, 9), HZB_ADMISSION_ERROR_UNSCHEDULABLE,
                    "a task fits no allowed machine type");
  fixture_tear_down (&fixture);
}

static void
test_names (void)
{
  HzbJobSpec *other_team = new_spec (HZB_JOB_ARRAY, 1, 1), *other_zone = new_spec (HZB_JOB_ARRAY, 1, 1);
  HzbJobSpec *known_zone = new_spec (HZB_JOB_ARRAY, 1, 1);
  AdmissionFixture fixture;
  fixture_set_up (&fixture);
  g_free (other_team->team);
  other_team->team = g_strdup ("green");
  other_zone->zone = g_strdup ("zx");
  known_zone->zone = g_strdup ("zb");
  assert_admission (&fixture, other_team, HZB_ADMISSION_ERROR_UNSCHEDULABLE, "owner: no such team");
  assert_admission (&fixture, other_zone, HZB_ADMISSION_ERROR_UNSCHEDULABLE, "yard: no such zone");
  assert_admission (&fixture, known_zone, 0, NULL);
  fixture_tear_down (&fixture);
}

static void
test_contradictions (void)
{
  HzbJobSpec *both = new_spec (HZB_JOB_ARRAY, 2, 1), *one_task = new_spec (HZB_JOB_ARRAY, 1, 1);
  HzbJobSpec *gang = new_spec (HZB_JOB_GANG, 2, 1), *service = new_spec (HZB_JOB_SERVICE, 2, 1);
  AdmissionFixture fixture;
  fixture_set_up (&fixture);
  both->same_zone = both->spread = one_task->same_zone = one_task->spread = gang->spread = TRUE;
  gang->zone = g_strdup ("za");
  service->estimate_s = 1;
  assert_admission (&fixture, both, HZB_ADMISSION_ERROR_UNSCHEDULABLE, "samePlace and spread exclude each other");
  assert_admission (&fixture, one_task, 0, NULL);
  assert_admission (&fixture, gang, HZB_ADMISSION_ERROR_UNSCHEDULABLE,
                    "a gang that is to be spread can't be in one zone");
  assert_admission (&fixture, service, HZB_ADMISSION_ERROR_MALFORMED, "expectS: expected 0 for standing jobs");
  fixture_tear_down (&fixture);
}

/* Guards against a gang that is accepted and can never start: it is to be spread over zones, and the only types that
 * hold a task are rented out in one zone. */
static void
test_gang_spread_over_one_zone (void)
{
  HzbJobSpec *gang = new_spec (HZB_JOB_GANG, 4, 10), *one_task = new_spec (HZB_JOB_GANG, 1, 12);
  HzbJobSpec *array = new_spec (HZB_JOB_ARRAY, 4, 12), *smaller = new_spec (HZB_JOB_GANG, 4, 8);
  HzbMachineType *huge = test_type ("huge", 16, 64);
  AdmissionFixture fixture;
  fixture_set_up (&fixture);
  gang->spread = one_task->spread = array->spread = smaller->spread = TRUE;
  g_strfreev (huge->zones);
  huge->zones = g_strsplit ("za", ",", 0);
  g_ptr_array_add (fixture.machines->types, huge);
  assert_admission (&fixture, gang, HZB_ADMISSION_ERROR_UNSCHEDULABLE,
                    "a gang that is to be spread fits machine types of one zone only");
  assert_admission (&fixture, one_task, 0, NULL);
  assert_admission (&fixture, array, 0, NULL);
  assert_admission (&fixture, smaller, 0, NULL);
  fixture_tear_down (&fixture);
}

static void
test_unknown_types (void)
{
  g_autoptr (HzbJobSpec) spec = new_spec (HZB_JOB_ARRAY, 1, 1);
  AdmissionFixture fixture;
  fixture_set_up (&fixture);
  hzb_job_admission_drop_unknown_types (&fixture.api, spec);
  g_assert_null (spec->types); /* NULL: any machine type */
  spec->types = g_strsplit ("gone,big", ",", 0);
  hzb_job_admission_drop_unknown_types (&fixture.api, spec);
  g_assert_cmpuint (g_strv_length (spec->types), ==, 1);
  g_assert_cmpstr (spec->types[0], ==, "big");
  fixture_tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/job-admission/limits", test_limits);
  g_test_add_func ("/job-admission/names", test_names);
  g_test_add_func ("/job-admission/contradictions", test_contradictions);
  g_test_add_func ("/job-admission/gang-spread-over-one-zone", test_gang_spread_over_one_zone);
  g_test_add_func ("/job-admission/unknown-types", test_unknown_types);
  return g_test_run ();
}
