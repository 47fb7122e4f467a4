/**
 * SECTION: settings-table-codec
 * @short_description: reads the keys of one table of a TOML file; private to src/base
 *
 * A key that is missing or has an invalid value adds a line to the faults, and reading goes on: whoever wrote the file
 * gets all faults at once. What the functions return then is not to be used.
 */
#pragma once
#include "settings.h"

#include <cjson/cJSON.h>

/** HzbSettingsTable: a table that is being read. */
typedef struct
{
  const cJSON *json; /**< its keys (not owned) (nullable) */
  const char *path;  /**< names the table in faults, such as cluster.workers; "": the file itself (not owned) */
  GString *faults;   /**< a line for each fault so far (not owned) */
} HzbSettingsTable;

/**
 * Parses a file.
 * @param text the TOML
 * @param name of the file, for the message
 * @param error (out) (optional) #HZB_SETTINGS_ERROR_SYNTAX
 * @return (transfer full) (nullable): NULL on an error
 */
cJSON *hzb_settings_file_parse (const char *text, const char *name, GError **error);

/**
 * Ends the reading of a file.
 * @param faults the lines that its tables collected
 * @param error (out) (optional) #HZB_SETTINGS_ERROR_INVALID if there are any
 * @return whether there are none
 */
gboolean hzb_settings_file_check (const GString *faults, GError **error);

/**
 * Adds a fault.
 * @param table in which
 * @param key of which
 * @param expected what the key should have been
 */
void hzb_settings_fault (const HzbSettingsTable *table, const char *key, const char *expected);

/**
 * Opens a table that has to be there.
 * @param parent the table around it
 * @param key its key
 * @param path its name in faults
 * @param table (out) the table
 * @return FALSE, with a fault, if it is missing
 */
gboolean
hzb_settings_open_table (const HzbSettingsTable *parent, const char *key, const char *path, HzbSettingsTable *table);

/**
 * Reads a text that has to be there and is not empty.
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): NULL, with a fault, if it is invalid
 */
char *hzb_settings_get_text (const HzbSettingsTable *table, const char *key);

/**
 * Reads a text that may be missing.
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): NULL if it is no text
 */
char *hzb_settings_get_optional_text (const HzbSettingsTable *table, const char *key);

/**
 * Reads an address with a port that has to be there, see hzb_split_addr().
 * @param table the table
 * @param key the key
 * @return (transfer full) (nullable): NULL, with a fault, if it is invalid
 */
char *hzb_settings_get_address (const HzbSettingsTable *table, const char *key);

/**
 * Reads a number.
 * @param table the table
 * @param key the key
 * @param least a lower number is a fault
 * @param fallback what is returned if the key is missing; NAN: the key has to be there
 * @return the number; 0, with a fault, if it is invalid
 */
double hzb_settings_get_number (const HzbSettingsTable *table, const char *key, double least, double fallback);

/**
 * Reads a number from 0 on.
 * @param table the table
 * @param key the key
 * @param most a higher number is a fault
 * @param fallback what is returned if the key is missing
 * @return the number; 0, with a fault, if it is invalid
 */
double hzb_settings_get_bounded (const HzbSettingsTable *table, const char *key, double most, double fallback);

/**
 * Reads a truth value.
 * @param table the table
 * @param key the key
 * @return the value; FALSE if it is missing or, with a fault, if it is invalid
 */
gboolean hzb_settings_get_flag (const HzbSettingsTable *table, const char *key);

/**
 * Adds a fault for each key that is not known.
 * @param table the table
 * @param known the keys that are, ends with NULL
 */
void hzb_settings_refuse_unknown_keys (const HzbSettingsTable *table, const char *const *known);
