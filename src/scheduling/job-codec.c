#include "job-codec.h"

#include "json.h"

#include <math.h>

/* Field names in records. They are part of the stored format and never change. */
#define KEY_STATE "state"
#define KEY_ACCEPTED_AT "at"
#define KEY_SPEC "spec"
#define KEY_N_TASKS "n"

static const char *const state_texts[] = {
  [HZB_JOB_ACCEPTED] = "accepted",
  [HZB_JOB_CANCELLED] = "cancelled",
  [HZB_JOB_DONE] = "done",
};

static int
decode_state (const cJSON *value)
{
  return hzb_json_index_of (hzb_json_text (value, KEY_STATE), state_texts, G_N_ELEMENTS (state_texts));
}

void
hzb_job_record_clear (HzbJobRecord *record)
{
  g_clear_pointer (&record->spec, hzb_job_spec_free);
}

gboolean
hzb_job_record_is_acceptance (const cJSON *value)
{
  return decode_state (value) == HZB_JOB_ACCEPTED;
}

gboolean
hzb_job_record_decode (const char *uid, const cJSON *value, guint known_tasks, HzbJobRecord *record)
{
  int state = decode_state (value);

  *record = (HzbJobRecord){ 0 };
  if (state < 0)
    return FALSE;
  record->state = (HzbJobState) state;
  if (record->state != HZB_JOB_ACCEPTED)
    {
      record->n_tasks = (guint) hzb_json_number (value, KEY_N_TASKS, known_tasks);
      return TRUE;
    }
  record->spec = hzb_job_spec_decode (uid, cJSON_GetObjectItemCaseSensitive (value, KEY_SPEC));
  if (!record->spec)
    return FALSE;
  record->accepted = hzb_time_plus ((struct timespec){ 0 }, hzb_json_number (value, KEY_ACCEPTED_AT, 0));
  record->n_tasks = record->spec->tasks;
  return TRUE;
}

GArray *
hzb_acceptance_decode (const cJSON *value)
{
  GArray *accepted = g_array_new (FALSE, FALSE, sizeof (HzbAcceptedJob));
  const cJSON *entry;

  cJSON_ArrayForEach (entry, value)
    {
      HzbAcceptedJob job = { entry->string, entry };
      g_array_append_val (accepted, job);
    }
  return accepted;
}

cJSON *
hzb_job_acceptance_encode (const HzbJobSpec *spec, struct timespec wall)
{
  cJSON *value = cJSON_CreateObject ();

  cJSON_AddStringToObject (value, KEY_STATE, state_texts[HZB_JOB_ACCEPTED]);
  cJSON_AddNumberToObject (value, KEY_ACCEPTED_AT, (double) wall.tv_sec + floor ((double) wall.tv_nsec / 1e6) / 1e3);
  cJSON_AddItemToObject (value, KEY_SPEC, hzb_job_spec_encode (spec));
  return value;
}

cJSON *
hzb_job_completion_encode (HzbJobState state, guint n_tasks)
{
  cJSON *value = cJSON_CreateObject ();

  cJSON_AddStringToObject (value, KEY_STATE, state_texts[state]);
  cJSON_AddNumberToObject (value, KEY_N_TASKS, n_tasks);
  return value;
}
