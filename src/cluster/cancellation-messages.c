#include "cancellation-messages.h"

#include "json.h"
#include "user-protocol.h"

static const char request_field[] = "cancelled", response_field[] = "heard";

cJSON *
hzb_cancellations_encode (const GArray *cancellations)
{
  cJSON *list = cJSON_CreateObject ();

  for (guint i = 0; i < cancellations->len; i++)
    {
      const HzbCancellation *cancellation = &g_array_index (cancellations, HzbCancellation, i);
      cJSON *item = cJSON_CreateObject ();
      hzb_json_add_u64 (item, "version", cancellation->revision);
      cJSON_AddNumberToObject (item, "n", cancellation->n_tasks);
      cJSON_AddItemToObject (list, cancellation->uid, item);
    }
  return list;
}

gboolean
hzb_cancellations_decode (const cJSON *list, GArray *cancellations)
{
  gboolean well_formed = TRUE;
  const cJSON *item;

  cJSON_ArrayForEach (item, list)
    {
      guint64 revision = hzb_json_u64 (item, "version");
      if (revision && hzb_job_uid_is_valid (item->string))
        hzb_cancellations_array_add (cancellations, item->string, revision, (guint) hzb_json_number (item, "n", 0));
      else
        well_formed = FALSE;
    }
  return well_formed;
}

void
hzb_cancellation_request_encode (const GArray *cancellations, cJSON *poll)
{
  if (cancellations->len)
    cJSON_AddItemToObject (poll, request_field, hzb_cancellations_encode (cancellations));
}

GArray *
hzb_cancellation_request_decode (const cJSON *poll)
{
  GArray *cancellations;

  if (!cJSON_HasObjectItem (poll, request_field))
    return NULL;
  cancellations = hzb_cancellations_array_new ();
  hzb_cancellations_decode (cJSON_GetObjectItemCaseSensitive (poll, request_field), cancellations);
  return cancellations;
}

void
hzb_cancellation_response_encode (char *const *acknowledged_uids, cJSON *response)
{
  cJSON *list = cJSON_AddArrayToObject (response, response_field);

  for (; *acknowledged_uids; acknowledged_uids++)
    cJSON_AddItemToArray (list, cJSON_CreateString (*acknowledged_uids));
}

char **
hzb_cancellation_response_decode (const cJSON *response)
{
  return hzb_json_string_list (cJSON_GetObjectItemCaseSensitive (response, response_field));
}

HzbFlushedCancellations
hzb_flushed_cancellations_decode (const cJSON *flush_record)
{
  return (HzbFlushedCancellations){ .term = hzb_json_u64 (flush_record, "term"),
                                    .acknowledged_revision = hzb_json_u64 (flush_record, "clear") };
}
