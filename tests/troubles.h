/* What several world tests do to a world, and what they expect of it. */
#pragma once
#include "world.h"

extern char last_body[400]; /* of the last answer that keep_status() got */

void expect_no_fault (World *w, const char *what, guint32 seed);
void expect_all_over (World *w, const char *what, guint32 seed);
void crash_one (World *w, gpointer data);
void start_all (World *w, gpointer data);
void crash_all (World *w, gpointer data);
void flip_outage (World *w, gpointer data);
void cut_leader (World *w, gpointer data);
void heal (World *w, gpointer data);
void hurt_machine (World *w, gpointer data);
void some_work (World *w, guint jobs);
WorldMachine *run_until (World *w, HzbMachineState state);
WorldMachine *machine_with_tasks (World *w);
void keep_status (HzbExchange *exchange, guint status, const char *body, guint retry);
guint report_again (World *w, WorldMachine *m, guint64 session, guint64 seq, const char *pieces);
