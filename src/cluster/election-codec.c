#include "election-codec.h"

#include "json.h"

static const char placeholder_node[] = "(none of version 1)";

cJSON *
hzb_leader_record_encode (const HzbLeaderRecord *record)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", record->node);
  cJSON_AddStringToObject (value, "incarnation", record->incarnation);
  hzb_json_add_u64 (value, "lease", record->lease);
  hzb_json_add_u64 (value, "term", record->term);
  return value;
}

HzbLeaderRecord
hzb_leader_record_decode (const cJSON *value)
{
  return (HzbLeaderRecord){ .node = hzb_json_text (value, "node"),
                            .incarnation = hzb_json_text (value, "incarnation"),
                            .lease = hzb_json_u64 (value, "lease"),
                            .term = hzb_json_u64 (value, "term") };
}

cJSON *
hzb_leader_record_encode_placeholder (guint64 term)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "node", placeholder_node);
  hzb_json_add_u64 (value, "term", term);
  return value;
}

gboolean
hzb_leader_record_is_placeholder (const HzbLeaderRecord *record)
{
  return g_strcmp0 (record->node, placeholder_node) == 0;
}

cJSON *
hzb_term_record_encode (guint64 term, const char *node)
{
  cJSON *value = cJSON_CreateObject ();
  hzb_json_add_u64 (value, "term", term);
  cJSON_AddStringToObject (value, "node", node);
  return value;
}

guint64
hzb_term_record_decode (const cJSON *value)
{
  return hzb_json_u64 (value, "term");
}

cJSON *
hzb_schema_version_record_encode (guint schema_version)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddNumberToObject (value, "format", schema_version);
  return value;
}

guint
hzb_schema_version_record_decode (const cJSON *value)
{
  return (guint) hzb_json_number (value, "format", 1);
}
