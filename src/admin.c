/* The operators' side: state to read, under one versioned prefix. */
#include "controller.h"

#include <string.h>

#define PREFIX "/admin/v1/"

static void
reply_json (HzbExchange *exchange, cJSON *root)
{
  char *text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  hzb_exchange_reply (exchange, 200, text, 0);
}

static cJSON *
leadership (HzbController *c)
{
  cJSON *root = cJSON_CreateObject ();
  const char *leader = hzb_election_leader (c->election);
  cJSON_AddStringToObject (root, "node", c->settings->node);
  cJSON_AddBoolToObject (root, "leads", hzb_election_leading (c->election));
  if (leader)
    cJSON_AddStringToObject (root, "leader", leader);
  else
    cJSON_AddNullToObject (root, "leader");
  hzb_json_add_u64 (root, "term", hzb_election_leader_term (c->election));
  return root;
}

static cJSON *
machines (HzbController *c)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "machines");
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", m->name);
      cJSON_AddStringToObject (item, "type", m->type_name);
      cJSON_AddStringToObject (item, "zone", m->zone);
      cJSON_AddBoolToObject (item, "spot", m->spot);
      cJSON_AddStringToObject (item, "state", hzb_machine_state_name (m->state));
      cJSON_AddNumberToObject (item, "tasks", m->tasks->len);
      cJSON_AddNumberToObject (item, "listed", hzb_machine_listed (m));
      cJSON_AddNumberToObject (item, "cpusUsed", m->cpus);
      cJSON_AddItemToArray (list, item);
    }
  return root;
}

static cJSON *
teams (HzbController *c)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "teams");
  for (guint i = 0; i < c->settings->teams->len; i++)
    {
      const HzbTeam *team = c->settings->teams->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", team->name);
      cJSON_AddNumberToObject (item, "cpusGuaranteed", team->cpus);
      cJSON_AddNumberToObject (item, "cpusMax", team->cpus_max);
      if (c->block)
        cJSON_AddNumberToObject (item, "cpusUsed", c->block->cpus[i]);
      cJSON_AddItemToArray (list, item);
    }
  return root;
}

gboolean
hzb_admin_request (HzbController *c, HzbExchange *exchange)
{
  const char *what = exchange->path + strlen (PREFIX);

  if (!g_str_has_prefix (exchange->path, PREFIX))
    return FALSE;
  if (!g_str_equal (exchange->method, "GET"))
    hzb_exchange_reply (exchange, 405, hzb_wire_error ("only GET here"), 0);
  else if (g_str_equal (what, "leadership"))
    reply_json (exchange, leadership (c));
  else if (g_str_equal (what, "machines") || g_str_equal (what, "teams"))
    {
      if (c->hold == HZB_HOLD_NONE)
        hzb_exchange_reply (exchange, 421, hzb_wire_redirect (hzb_election_leader (c->election)), 0);
      else
        reply_json (exchange, *what == 'm' ? machines (c) : teams (c));
    }
  else
    hzb_exchange_reply (exchange, 404, hzb_wire_error ("there are leadership, machines and teams here"), 0);
  return TRUE;
}
