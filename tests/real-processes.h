/* Real controller processes on loopback, with the fakes of the key-value store and the cloud over HTTP. */
#pragma once
#include "sim-internal.h"

/** real_sim_new: creates the fakes of a simulated cluster whose controllers are processes that real_start() starts. The
 * simulated time follows the real time while the main loop runs. Returns: (transfer full) */
Sim *real_sim_new (guint32 seed, const SimConfig *config);

/** real_serve: serves a fake over HTTP on a port of the loopback interface. @is_kv: TRUE: the key-value store of @sim;
 * FALSE: its cloud */
void real_serve (Sim *sim, guint port, gboolean is_kv);

/** real_start: starts a controller process, which the kernel kills when this process ends. @settings: path of the
 * settings file. @features: (nullable): path of the features file. @log: (nullable): file that the log lines are
 * appended to; NULL discards them. Returns: the id of the process */
GPid real_start (const char *program, const char *settings, const char *features, const char *log);

/** real_kill: kills a controller process with SIGKILL, and waits until it has ended. */
void real_kill (GPid pid);

/** real_write_file: writes the text to a new temporary file. Returns: (transfer full): the path of the file */
char *real_write_file (const char *text);

/** real_run_until: runs the main loop until a time of @sim, in seconds since real_sim_new(). */
void real_run_until (Sim *sim, double until_s);

/** real_now_s: Returns: the seconds since real_sim_new(). */
double real_now_s (void);
