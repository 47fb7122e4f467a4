/**
 * @file
 * SECTION: log
 *
 * Whether messages of the level debug are logged.
 *
 * g_debug() formats its message before the log writer drops it. A function that is called for every change of a task
 * asks hzb_log_is_debug_enabled() first.
 */
#pragma once
#include <glib.h>

/** hzb_log_set_debug_enabled: called once, before any other thread begins. Debug messages are enabled at first. */
void hzb_log_set_debug_enabled (gboolean enabled);

/** hzb_log_is_debug_enabled: whether a debug message may be logged. */
gboolean hzb_log_is_debug_enabled (void);
