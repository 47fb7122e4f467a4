/* What several world tests do to a world, and what they expect of it. */
#pragma once
#include "world.h"

extern char last_body[400]; /* of the last answer that keep_status() or ask() got */

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
/* A service spread over zones, on ordinary machines, whose user cancels it from then on. */
WorldJob *add_service (World *w, double at, const char *team, guint n, double cpus, double cancel_at);
/* A user's request to one node; the world runs on for 3 s. retry: its Retry-After, or NULL. */
guint ask (World *w, guint node, const char *method, const char *path, const char *body, guint *retry);
guint submit_service (World *w, guint node, guint uid, const char *team, guint n, double cpus, const char *expect, guint *retry);
/* A service of two replicas with one field changed; value NULL: without the field. */
guint submit_changed (World *w, guint node, guint uid, const char *field, const char *value);
