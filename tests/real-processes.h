/* Real controller processes on loopback, with the fakes of the key-value store and the cloud behind HTTP. */
#pragma once
#include "sim-internal.h"

/** real_sim_new: the fakes of a simulated cluster without its controllers, which are processes here. */
Sim *real_sim_new (guint32 seed, const SimConfig *config);

/** real_serve: answers HTTP at the port as the key-value store of @sim, or as its cloud. */
void real_serve (Sim *sim, guint port, gboolean is_kv);

/** real_start: starts a controller; it ends with this process. @log: (nullable): what it logs is added to this file */
GPid real_start (const char *program, const char *settings, const char *features, const char *log);

/** real_kill: ends a controller at once, and waits for that. */
void real_kill (GPid pid);

/** real_write_file: a temporary file with this text. Returns: (transfer full): its path */
char *real_write_file (const char *text);

/** real_turn_until: runs the main loop until a time of @sim, in seconds since it was made; the fakes' time is the real one. */
void real_turn_until (Sim *sim, double until_s);
double real_now_s (void);
