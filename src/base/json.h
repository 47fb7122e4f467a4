/**
 * SECTION: json
 * @short_description: helper functions for codecs that use cJSON
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (cJSON, cJSON_Delete)

/**
 * Parses JSON text. Integers of more than 15 digits, which cJSON would round, become raw items: hzb_json_u64() reads them
 * exactly, and they are printed as they were.
 * @param text the text, which need not be terminated
 * @param length its length in bytes
 * @return (transfer full) (nullable): the value; NULL if the text is malformed
 */
cJSON *hzb_json_parse (const char *text, gsize length);

/**
 * Reads an unsigned integer, such as a count, a version, a fencing token or the number of an attempt.
 * @param object (nullable) the object
 * @param name name of the member
 * @return the number, truncated to an integer; 0 if the member is missing, not a number, negative or not below 2^64
 */
guint64 hzb_json_u64 (const cJSON *object, const char *name);

/**
 * Reads a number.
 * @param object (nullable) the object
 * @param name name of the member
 * @param fallback value if the member is missing or not a number
 * @return the number or the fallback
 */
double hzb_json_number (const cJSON *object, const char *name, double fallback);

/**
 * Reads a boolean.
 * @param object (nullable) the object
 * @param name name of the member
 * @return TRUE if the member is true; FALSE if it is false, missing or not a boolean
 */
gboolean hzb_json_flag (const cJSON *object, const char *name);

/**
 * Reads a string.
 * @param object (nullable) the object, which owns the string
 * @param name name of the member
 * @return (transfer none) (nullable): the string; NULL if the member is missing or not a string
 */
const char *hzb_json_text (const cJSON *object, const char *name);

/**
 * Adds an unsigned integer. It is printed with all its digits, without an exponent.
 * @param object the object
 * @param name name of the new member
 * @param value the number
 */
void hzb_json_add_u64 (cJSON *object, const char *name, guint64 value);

/**
 * Prints a value without white space, and frees the value.
 * @param root (transfer full) the value
 * @return (transfer full): the text
 */
char *hzb_json_print (cJSON *root);

/**
 * Copies the strings of an array. Elements that are not strings are left out.
 * @param array (nullable) the array
 * @return (transfer full): the strings, in an array that ends with NULL; no strings if `array` is NULL
 */
char **hzb_json_string_list (const cJSON *array);

/**
 * Finds the index of a name in an array of names. Codecs use it to decode the constants of an enum, whose values are
 * the indices of their names.
 * @param name (nullable) the name
 * @param names the array
 * @param n number of names in the array
 * @return the index of the name; -1 if it is not in the array
 */
int hzb_json_index_of (const char *name, const char *const *names, guint n);
