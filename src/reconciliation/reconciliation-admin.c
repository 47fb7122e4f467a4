#include "reconciliation-admin.h"

#include "path-pattern.h"
#include "reconciliation-admin-codec.h"
#include "reconciliation-private.h"
#include "user-protocol.h"

#define PATH_STATE "reconciliation"
#define PATH_QUARANTINE "reconciliation/quarantine/" HZB_PATH_PARAMETER "/" HZB_PATH_PARAMETER
#define PATH_ARCHIVES "reconciliations"
#define PATH_ARCHIVE PATH_ARCHIVES "/" HZB_PATH_PARAMETER

#define RETRY_AFTER_S 1u /* sent with each response 503 */

void
hzb_reconciliation_add_metrics (HzbReconciliation *reconciliation, cJSON *metrics)
{
  if (hzb_reconciliation_enabled (reconciliation))
    hzb_reconciliation_metrics_encode (reconciliation, metrics);
}

/* ---- responses ---- */

static void
respond_error (HzbHttpRequest *http_request, guint status, const char *text)
{
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), status == 503 ? RETRY_AFTER_S : 0);
}

static void
redirect_to_leader (const HzbReconciliation *reconciliation, HzbHttpRequest *http_request)
{
  HzbElection *election = reconciliation->dependencies.election;
  hzb_http_request_respond (http_request, 421, hzb_worker_redirect_encode (hzb_election_leader (election)), 0);
}

/* ---- decisions about quarantined tasks ---- */

static void
on_decided (HzbDecisionResult result, gpointer user)
{
  static const struct
  {
    guint status;
    const char *text;
  } refusals[] = {
    [HZB_DECISION_NOT_FOUND] = { 404, "no such task is in quarantine" },
    [HZB_DECISION_NOT_PROVEN] = { 409, "it is not proven yet that no record names it: ask again in some seconds" },
    [HZB_DECISION_TOO_MANY_KEPT] = { 409, "too many tasks are kept: have others stopped first" },
    [HZB_DECISION_CONFLICT] = { 409, "the decisions were changed meanwhile: look at them again" },
    [HZB_DECISION_UNAVAILABLE] = { 503, "it is not known whether the decision is durable: look at it again" },
    [HZB_DECISION_BUSY] = { 503, "another decision is being recorded" },
  };
  if (result == HZB_DECISION_DONE)
    hzb_http_request_respond (user, 200, hzb_reconciliation_decision_response_encode (), 0);
  else
    respond_error (user, refusals[result].status, refusals[result].text);
}

/* @name: "JOB/NUMBER", as in the path */
static void
apply_decision (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters)
{
  HzbOperatorDecision decision;
  guint64 task = 0;

  if (!hzb_job_uid_is_valid (parameters[0])
      || !g_ascii_string_to_unsigned (parameters[1], 10, 0, HZB_MAX_TASKS, &task, NULL))
    respond_error (http_request, 400, "expected quarantine/JOB/NUMBER");
  else if (!hzb_reconciliation_decision_decode (http_request->body, http_request->length, &decision))
    respond_error (http_request, 400, "expected {\"decision\": \"keep\"} or \"stop\"");
  else
    hzb_quarantine_apply_decision (reconciliation->quarantine, parameters[0], (guint) task, decision, on_decided,
                                   http_request);
}

/* ---- archives ---- */

static void
on_archive_read (guint status, char *body, gpointer user)
{
  hzb_http_request_respond (user, status, body, status == 503 ? RETRY_AFTER_S : 0);
}

static void
read_archive (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters)
{
  guint64 id = 0;

  if (!g_ascii_string_to_unsigned (parameters[0], 10, 1, G_MAXUINT64, &id, NULL))
    respond_error (http_request, 400, "expected the id of an archive");
  else
    hzb_archive_store_read (reconciliation->archive_store, id, on_archive_read, http_request);
}

/* ---- requests ---- */

static gboolean
is_leader (const HzbReconciliation *reconciliation)
{
  return hzb_ownership_is_loaded_leader (reconciliation->dependencies.ownership)
         && hzb_election_is_leader (reconciliation->dependencies.election);
}

static void
respond_state (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters)
{
  if (is_leader (reconciliation))
    hzb_http_request_respond (http_request, 200, hzb_reconciliation_state_encode (reconciliation), 0);
  else
    redirect_to_leader (reconciliation, http_request);
}

static void
list_archives (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters)
{
  hzb_archive_store_list (reconciliation->archive_store, on_archive_read, http_request);
}

static void
handle_post_decision (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters)
{
  if (is_leader (reconciliation))
    apply_decision (reconciliation, http_request, parameters);
  else
    redirect_to_leader (reconciliation, http_request);
}

static const struct
{
  const char *pattern;
  const char *method;
  const char *expected_method; /* text of the response to another method */
  void (*handle) (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, char **parameters);
} routes[] = {
  { PATH_STATE, "GET", "GET here", respond_state },
  { PATH_ARCHIVES, "GET", "GET here", list_archives },
  { PATH_ARCHIVE, "GET", "GET here", read_archive },
  { PATH_QUARANTINE, "POST", "POST here", handle_post_decision },
};

gboolean
hzb_reconciliation_admin_request (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *path)
{
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      g_auto (GStrv) parameters = hzb_path_parse (path, routes[i].pattern);
      if (!parameters)
        continue;
      if (g_str_equal (http_request->method, routes[i].method))
        routes[i].handle (reconciliation, http_request, parameters);
      else
        respond_error (http_request, 405, routes[i].expected_method);
      return TRUE;
    }
  return FALSE;
}
