/**
 * SECTION: toml-bridge
 * @short_description: C interface to the TOML parser toml++, which is a C++ library
 */
#pragma once
#include <cjson/cJSON.h>
#ifdef __cplusplus
extern "C"
{
#endif
  /**
   * Parses TOML and converts it to JSON. Integers become JSON numbers, which cJSON stores as doubles. JSON has no dates
   * and times: they become JSON null.
   * @param text the TOML text
   * @param name name of the file, for the error message
   * @param message (out) (transfer full) set only on a syntax error: the error message with the line number, to be
   * freed with free()
   * @return (transfer full) (nullable): a JSON object; NULL on a syntax error
   */
  cJSON *hzb_toml_parse (const char *text, const char *name, char **message);
#ifdef __cplusplus
}
#endif
