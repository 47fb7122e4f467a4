#include "peer-messages.h"

#include "json.h"

cJSON *
hzb_peer_envelope_encode (const HzbPeerEnvelope *envelope)
{
  cJSON *message = cJSON_CreateObject ();
  cJSON_AddStringToObject (message, "node", envelope->node);
  cJSON_AddStringToObject (message, "incarnation", envelope->incarnation);
  hzb_json_add_u64 (message, "born", envelope->started_ms);
  hzb_json_add_u64 (message, "number", envelope->number);
  cJSON_AddNumberToObject (message, "format", envelope->schema_version);
  return message;
}

HzbPeerEnvelope
hzb_peer_envelope_decode (const cJSON *message)
{
  double schema_version = hzb_json_number (message, "format", 1);
  return (HzbPeerEnvelope){ .node = hzb_json_text (message, "node"),
                            .incarnation = hzb_json_text (message, "incarnation"),
                            .started_ms = hzb_json_u64 (message, "born"),
                            .number = hzb_json_u64 (message, "number"),
                            .schema_version = schema_version < 1 ? 1 : (guint) schema_version };
}
