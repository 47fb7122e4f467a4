/* A C face on the TOML parser: a file becomes a cJSON tree. */
#pragma once
#include <cjson/cJSON.h>
#ifdef __cplusplus
extern "C"
{
#endif
  /* NULL on a syntax error; *message is then to be freed with free(). */
  cJSON *hzb_toml_parse (const char *text, const char *name, char **message);
#ifdef __cplusplus
}
#endif
