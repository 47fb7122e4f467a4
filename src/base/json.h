/**
 * SECTION: json
 * @short_description: what the codecs need beyond cJSON
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** hzb_json_u64: Returns: the number of that name; 0 if there is none, or if it is not a whole number from 0 on */
guint64 hzb_json_u64 (const cJSON *object, const char *name);

/** hzb_json_number: Returns: the number of that name, or @fallback if there is none */
double hzb_json_number (const cJSON *object, const char *name, double fallback);

/** hzb_json_text: Returns: (transfer none) (nullable): the string of that name */
const char *hzb_json_text (const cJSON *object, const char *name);

/** hzb_json_add_u64: adds a number of up to 64 bits, in digits only. */
void hzb_json_add_u64 (cJSON *object, const char *name, guint64 value);

/** hzb_json_print: Takes @root. Returns: (transfer full): its text, without white space */
char *hzb_json_print (cJSON *root);

/** hzb_json_string_list: Returns: (transfer full): the strings of an array; what is not a string is left out */
char **hzb_json_string_list (const cJSON *array);

/** hzb_json_index_of: Returns: the index of @text (nullable) among @n names; -1 if it is none of them */
int hzb_json_index_of (const char *text, const char *const *names, guint n);
