/**
 * SECTION: toml-bridge
 * @short_description: makes a TOML parser that is written in C++ available to C
 */
#pragma once
#include <cjson/cJSON.h>
#ifdef __cplusplus
extern "C"
{
#endif
  /**
   * Parses TOML. Dates and times become null.
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
