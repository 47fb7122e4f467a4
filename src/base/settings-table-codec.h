/**
 * SECTION: settings-table-codec
 * @short_description: reads the keys of one table of a TOML file; private to src/base
 *
 * For each missing key and each invalid value, the functions add a line to the list of faults and continue, so that the
 * author of the file sees all faults at once. If there are any faults, the values that were read must not be used.
 */
#pragma once
#include "settings.h"

#include <cjson/cJSON.h>

/** HzbSettingsTable: a table that is being read. */
typedef struct
{
  const cJSON *json;      /**< keys and values of the table (not owned) (nullable) */
  const char *dotted_key; /**< such as cluster.workers, for faults; "": the top-level table (not owned) */
  GString *faults;        /**< the list of faults, one on each line (not owned) */
} HzbSettingsTable;

/**
 * Parses a file.
 * @param text the TOML text
 * @param name name of the file, for the error message
 * @param error (out) (optional) #HZB_SETTINGS_ERROR_SYNTAX if the text is not TOML
 * @return (transfer full) (nullable): the top-level table; NULL on an error
 */
cJSON *hzb_settings_file_parse (const char *text, const char *name, GError **error);

/**
 * Checks that the list of faults is empty, and otherwise makes an error of it. Must be called when all tables of a file
 * have been read.
 * @param faults the list of faults of the file
 * @param error (out) (optional) #HZB_SETTINGS_ERROR_INVALID if the list is not empty; the message is the list
 * @return TRUE if the list is empty
 */
gboolean hzb_settings_check_no_faults (const GString *faults, GError **error);

/**
 * Adds a fault to the list.
 * @param table the table that contains the key
 * @param key the key that is missing, unknown or has an invalid value
 * @param expected the expected value, or "no such key" for an unknown key; the fault is "KEY: expected EXPECTED"
 */
void hzb_settings_add_fault (const HzbSettingsTable *table, const char *key, const char *expected);

/**
 * Opens a required table.
 * @param parent the table that contains it
 * @param key key of the table in its parent
 * @param dotted_key dotted key of the table in the file, such as cluster.workers, for faults (not copied)
 * @param table (out) the table; set only on success
 * @return FALSE, with a fault, if the table is missing or the value is not a table
 */
gboolean hzb_settings_open_table (const HzbSettingsTable *parent, const char *key, const char *dotted_key,
                                  HzbSettingsTable *table);

/**
 * Reads a required string, which must not be empty.
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): the string; NULL, with a fault, if it is missing or invalid
 */
char *hzb_settings_get_text (const HzbSettingsTable *table, const char *key);

/**
 * Reads an optional string.
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): the string; NULL if it is missing or not a string
 */
char *hzb_settings_get_optional_text (const HzbSettingsTable *table, const char *key);

/**
 * Reads a required address with a port, see hzb_address_split().
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): the address; NULL, with a fault, if it is missing or invalid
 */
char *hzb_settings_get_address (const HzbSettingsTable *table, const char *key);

/**
 * Reads a number.
 * @param table the table
 * @param key the key
 * @param min the lowest valid number
 * @param fallback value if the key is missing; NAN: the key is required
 * @return the number; 0, with a fault, if it is invalid, or required and missing
 */
double hzb_settings_get_number (const HzbSettingsTable *table, const char *key, double min, double fallback);

/**
 * Reads an optional number that must be between 0 and an upper bound.
 * @param table the table
 * @param key the key
 * @param max the highest valid number
 * @param fallback value if the key is missing, from 0 to max
 * @return the number; 0, with a fault, if it is invalid
 */
double hzb_settings_get_bounded_number (const HzbSettingsTable *table, const char *key, double max, double fallback);

/**
 * Reads an optional boolean.
 * @param table the table
 * @param key the key
 * @return the value; FALSE if it is missing; FALSE, with a fault, if it is not a boolean
 */
gboolean hzb_settings_get_flag (const HzbSettingsTable *table, const char *key);

/**
 * Adds a fault for each unknown key of a table.
 * @param table the table
 * @param known the known keys, in an array that ends with NULL
 */
void hzb_settings_refuse_unknown_keys (const HzbSettingsTable *table, const char *const *known);
