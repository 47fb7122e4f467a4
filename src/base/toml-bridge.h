/**
 * SECTION: toml-bridge
 * @short_description: the TOML parser, which is C++, for C
 */
#pragma once
#include <cjson/cJSON.h>
#ifdef __cplusplus
extern "C"
{
#endif
  /**
   * Parses TOML. Dates and times become null.
   * @param text the TOML
   * @param name of the file, for the message
   * @param message (out) (transfer full) set on a syntax error only: which, and in which line; to be freed with free()
   * @return (transfer full) (nullable): an object; NULL on a syntax error
   */
  cJSON *hzb_toml_parse (const char *text, const char *name, char **message);
#ifdef __cplusplus
}
#endif
