/* What several world tests do to a world, and what they expect of it. */
#include "troubles.h"

#include <string.h>

void
expect_no_fault (World *w, const char *what, guint32 seed)
{
  for (guint i = 0; i < w->broken->len && i < 5; i++)
    g_test_message ("%s", (char *) w->broken->pdata[i]);
  if (w->broken->len)
    g_error ("%s, seed %u: %s", what, seed, (char *) w->broken->pdata[0]);
}

/* Also that nothing is forgotten and no one starved. */
void
expect_all_over (World *w, const char *what, guint32 seed)
{
  world_check_end (w);
  expect_no_fault (w, what, seed);
  for (guint i = 0; i < w->jobs->len; i++)
    {
      const WorldJob *job = w->jobs->pdata[i];
      if (!job->told_done && !job->told_cancelled && !job->bad)
        g_error ("%s, seed %u: %s is not over", what, seed, job->uid);
    }
}

void
crash_one (World *w, gpointer data)
{
  int leader = world_leader (w);
  guint at = leader >= 0 && g_rand_boolean (w->rand) ? (guint) leader : (guint) g_rand_int_range (w->rand, 0, WORLD_NODES);
  world_crash (w, at);
  if (g_rand_boolean (w->rand))
    world_start (w, at); /* within a fraction of a second */
}

void
start_all (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    if (!w->nodes[i].c)
      world_start (w, i);
}

void
crash_all (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    world_crash (w, i);
  world_at (w, w->now + g_rand_double_range (w->rand, 0.2, 6), start_all, NULL);
}

void
flip_outage (World *w, gpointer data)
{
  w->outage = !w->outage;
}

void
cut_leader (World *w, gpointer data)
{
  int leader = world_leader (w);
  Node *node = &w->nodes[MAX (leader, 0)];
  switch (g_rand_int_range (w->rand, 0, 4))
    {
    case 0:
      node->cut_store = TRUE;
      break;
    case 1:
      node->refused = TRUE;
      break;
    case 2:
      node->cut_workers = TRUE;
      break;
    default:
      node->cut_store = node->cut_peers = TRUE;
      break;
    }
}

void
heal (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    w->nodes[i].cut_store = w->nodes[i].refused = w->nodes[i].cut_workers = w->nodes[i].cut_peers = FALSE;
}

void
hurt_machine (World *w, gpointer data)
{
  WorldMachine *m;
  if (!w->machines->len)
    return;
  m = w->machines->pdata[g_rand_int_range (w->rand, 0, (gint32) w->machines->len)];
  switch (g_rand_int_range (w->rand, 0, 4))
    {
    case 0:
      m->cut = !m->cut;
      break;
    case 1:
      m->hung = !m->hung;
      break;
    case 2:
      m->sick = !m->sick;
      break;
    default:
      m->failed = TRUE; /* stopped with all that was on it */
      g_ptr_array_set_size (m->tasks, 0);
      break;
    }
}

static WorldMachine *
own_machine_with_tasks (World *w, HzbMachineState state)
{
  HzbController *c = w->nodes[MAX (world_leader (w), 0)].c;
  for (guint i = 0; c && i < w->machines->len; i++)
    {
      WorldMachine *m = w->machines->pdata[i];
      const HzbMachine *known = hzb_machines_find (c->machines, m->name);
      if (m->tasks->len && !m->gone && known && known->state == state)
        return m;
    }
  return NULL;
}

void
some_work (World *w, guint jobs)
{
  for (guint i = 0; i < jobs; i++)
    world_add_job (w, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 20)->type = "small";
}

WorldMachine *
run_until (World *w, HzbMachineState state)
{
  WorldMachine *m = NULL;
  while (!m && w->now < 60)
    {
      world_run (w, w->now + 0.5);
      m = own_machine_with_tasks (w, state);
    }
  g_assert_nonnull (m);
  return m;
}

WorldMachine *
machine_with_tasks (World *w)
{
  for (guint i = 0; i < w->machines->len; i++)
    if (((WorldMachine *) w->machines->pdata[i])->tasks->len)
      return w->machines->pdata[i];
  return NULL;
}

char last_body[400];

void
keep_status (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  guint *out = exchange->impl;
  *out = status;
  g_strlcpy (last_body, body ? body : "", sizeof last_body);
}

guint
report_again (World *w, WorldMachine *m, guint64 session, guint64 seq, const char *pieces)
{
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  guint status = 0;
  exchange->method = g_strdup ("POST");
  exchange->path = g_strdup ("/hello");
  exchange->body = g_strdup_printf ("{\"host\":\"%s\",\"addr\":\"10.1.0.1:1\",\"flavor\":\"%s\",\"yard\":\"%s\","
                                    "\"loaners\":false,\"tenure\":%u,\"tick\":%u,\"baton\":%" G_GUINT64_FORMAT ",\"pieces\":[%s]}",
                                    m->name, m->type, m->zone, (guint) session, (guint) seq, m->token, pieces);
  exchange->length = strlen (exchange->body);
  exchange->reply = keep_status;
  exchange->impl = &status;
  hzb_controller_request (exchange, w->nodes[world_leader (w)].c);
  return status;
}

WorldJob *
add_service (World *w, double at, const char *team, guint n, double cpus, double cancel_at)
{
  WorldJob *job = world_add_job (w, at, team, n, cpus, 1e9);
  job->lane = "service";
  job->service = job->spread = job->wants_cancel = TRUE;
  job->spot = FALSE;
  job->cancel_at = cancel_at;
  return job;
}

static void
answered (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  guint *out = exchange->impl;
  out[0] = status;
  out[1] = retry;
  g_strlcpy (last_body, body ? body : "", sizeof last_body);
}

guint
ask (World *w, guint node, const char *method, const char *path, const char *body, guint *retry)
{
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  guint out[2] = { 0 };
  exchange->method = g_strdup (method);
  exchange->path = g_strdup (path);
  exchange->body = g_strdup (body);
  exchange->length = strlen (body);
  exchange->reply = answered;
  exchange->impl = out;
  hzb_controller_request (exchange, w->nodes[node].c);
  world_run (w, w->now + 3);
  if (retry)
    *retry = out[1];
  return out[0];
}

static const char standing[] = "{\"uid\":\"run-%06u\",\"lane\":\"web\",\"owner\":\"%s\",\"shape\":\"standing\",\"urgency\":\"production\",\"pieces\":%u,"
                               "\"cpus\":%g,\"gpus\":0,\"ramGb\":1,\"bundle\":\"img\",\"sizeGb\":0.5,\"samePlace\":false,\"spread\":false,"
                               "\"loaners\":true,\"expectS\":%s,\"snapshotEveryS\":0,\"snapshotS\":0}";

guint
submit_service (World *w, guint node, guint uid, const char *team, guint n, double cpus, const char *expect, guint *retry)
{
  g_autofree char *body = g_strdup_printf (standing, uid, team, n, cpus, expect);
  return ask (w, node, "POST", "/api/jobs", body, retry);
}

guint
submit_changed (World *w, guint node, guint uid, const char *field, const char *value)
{
  g_autofree char *body = g_strdup_printf (standing, uid, "red", 2, 1.0, "0");
  g_autofree char *text = NULL;
  cJSON *root = cJSON_Parse (body);
  cJSON_DeleteItemFromObject (root, field);
  if (value)
    cJSON_AddRawToObject (root, field, value);
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return ask (w, node, "POST", "/api/jobs", text, NULL);
}
