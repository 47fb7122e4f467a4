/**
 * SECTION: json
 * @short_description: what the codecs need beyond cJSON
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (cJSON, cJSON_Delete)

/**
 * Reads a count, version, token or attempt.
 * @param object (nullable) the object
 * @param name of the member
 * @return the number, cut to a whole one; 0 if there is none, or if it is negative or not below 2^64
 */
guint64 hzb_json_u64 (const cJSON *object, const char *name);

/**
 * Reads a number.
 * @param object (nullable) the object
 * @param name of the member
 * @param fallback what is returned if there is no such number
 * @return the number
 */
double hzb_json_number (const cJSON *object, const char *name, double fallback);

/**
 * Reads a truth value.
 * @param object (nullable) the object
 * @param name of the member
 * @return TRUE if it is true; FALSE if it is false, something else or absent
 */
gboolean hzb_json_flag (const cJSON *object, const char *name);

/**
 * Reads a string.
 * @param object (nullable) the object, which keeps the string
 * @param name of the member
 * @return (transfer none) (nullable): the string; NULL if there is none
 */
const char *hzb_json_text (const cJSON *object, const char *name);

/**
 * Adds a number of up to 64 bits, in digits only.
 * @param object the object
 * @param name of the new member
 * @param value the number
 */
void hzb_json_add_u64 (cJSON *object, const char *name, guint64 value);

/**
 * Prints a value without white space.
 * @param root (transfer full)
 * @return (transfer full): its text
 */
char *hzb_json_print (cJSON *root);

/**
 * Copies the strings of an array. What is not a string is left out.
 * @param array (nullable) the array
 * @return (transfer full): the strings, ends with NULL
 */
char **hzb_json_string_list (const cJSON *array);

/**
 * Looks up a name, such as that of an enum constant in the enum's table.
 * @param text (nullable) the name
 * @param names the table
 * @param n length of the table
 * @return the index of the name; -1 if it is not in the table
 */
int hzb_json_index_of (const char *text, const char *const *names, guint n);
