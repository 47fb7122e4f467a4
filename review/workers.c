/* Stand-in of the workers: one for each machine. A worker reports to one controller at a time, with one report in flight,
 * obeys commands under a token that is not lower than the highest it has seen, and ends its tasks when its lease ends. */
#include "lab.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 50
#define ANSWER_TIMEOUT_S 4.0
#define MIN_REPORT_INTERVAL_S 0.5
#define IMAGE_FETCH_S 0.5

GPtrArray *machines;
gsize longest_answer_line;
guint lines_too_long, reports_too_long, started_twice;

gboolean (*worker_reaches) (const Machine *machine, guint controller);

static GHashTable *jobs;
static GRand *rand_source;
static double report_interval_s, lease_time_s;

/* ---- jobs ---- */

Job *
job_add (const char *uid, guint pieces, double cpus, double memory_gb, double run_s, gboolean gang)
{
  Job *job = g_new0 (Job, 1);
  job->uid = g_strdup (uid);
  job->pieces = pieces;
  job->cpus = cpus;
  job->memory_gb = memory_gb;
  job->run_s = run_s;
  job->gang = gang;
  job->on_machines = g_new0 (guint8, pieces);
  g_hash_table_insert (jobs, job->uid, job);
  return job;
}

Job *
job_find (const char *uid)
{
  return g_hash_table_lookup (jobs, uid);
}

static gboolean
has_ended (const Task *task)
{
  return g_str_equal (task->status, "ended");
}

static gboolean
is_on_machine (const Task *task)
{
  return !has_ended (task) && !g_str_equal (task->status, "fetching");
}

guint
job_count_on_machines (const Job *job)
{
  guint n = 0;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len && !machine->gone; k++)
        {
          const Task *task = machine->tasks->pdata[k];
          n += task->job == job && is_on_machine (task);
        }
    }
  return n;
}

/* ---- machines ---- */

double
machine_free_cpus (const Machine *machine)
{
  double free_cpus = machine->type->cpus;
  for (guint i = 0; i < machine->tasks->len; i++)
    if (!has_ended (machine->tasks->pdata[i]))
      free_cpus -= ((Task *) machine->tasks->pdata[i])->job->cpus;
  return free_cpus;
}

double
machine_free_memory_gb (const Machine *machine)
{
  double free_gb = machine->type->memory_gb;
  for (guint i = 0; i < machine->tasks->len; i++)
    if (!has_ended (machine->tasks->pdata[i]))
      free_gb -= ((Task *) machine->tasks->pdata[i])->job->memory_gb;
  return free_gb;
}

Machine *
machine_add (const MachineType *type, const char *zone, gboolean spot, double boot_s)
{
  Machine *machine = g_new0 (Machine, 1);
  machine->name = g_strdup_printf ("i-%06u", machines->len + 1);
  machine->type = type;
  machine->zone = g_strdup (zone);
  machine->spot = spot;
  machine->hired_at = lab_now_s ();
  machine->up_at = machine->hired_at + boot_s;
  machine->lease_from = machine->next_report_at = machine->up_at;
  machine->tenure = 1;
  machine->node = (guint) g_rand_int_range (rand_source, 0, (gint32) deployment->controllers);
  machine->tasks = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (machines, machine);
  return machine;
}

/* The task is on its machine from now on (on: TRUE), or no longer. */
static void
note_on_machine (const Machine *machine, const Task *task, gboolean on)
{
  guint8 *count = &task->job->on_machines[task->piece];
  if (on && ++*count > 1)
    {
      started_twice++;
      record ("%s: %s/%u starts while it is on another machine", machine->name, task->job->uid, task->piece);
    }
  else if (!on && *count)
    --*count;
}

static void
forget_tasks (Machine *machine, const char *why)
{
  guint n = 0;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      n += !has_ended (machine->tasks->pdata[i]);
      if (is_on_machine (machine->tasks->pdata[i]))
        note_on_machine (machine, machine->tasks->pdata[i], FALSE);
    }
  if (n)
    record ("%s: %u tasks are killed: %s", machine->name, n, why);
  g_ptr_array_set_size (machine->tasks, 0);
}

void
machine_end (Machine *machine, const char *why)
{
  record ("%s: %s", machine->name, why);
  forget_tasks (machine, why);
  machine->gone = TRUE;
  machine->gone_at = lab_now_s ();
}

/* ---- commands ---- */

static Task *
find_task (const Machine *machine, const char *uid, guint piece, guint64 attempt)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      Task *task = machine->tasks->pdata[i];
      if (g_str_equal (task->job->uid, uid) && task->piece == piece && (!attempt || task->attempt == attempt))
        return task;
    }
  return NULL;
}

static void
end_task (const Machine *machine, Task *task, const char *cause)
{
  if (is_on_machine (task))
    note_on_machine (machine, task, FALSE);
  task->status = "ended";
  task->cause = cause;
}

static void
run_task (Machine *machine, const char *uid, guint piece, guint64 attempt)
{
  Job *job = job_find (uid);
  gboolean full, in_use = FALSE;
  Task *task;

  if (!job || piece >= job->pieces || find_task (machine, uid, piece, attempt))
    return;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const Task *other = machine->tasks->pdata[i];
      in_use = in_use || (other->job == job && other->piece == piece && !has_ended (other));
    }
  full = job->cpus > machine_free_cpus (machine) + 1e-6 || job->memory_gb > machine_free_memory_gb (machine) + 1e-6;
  task = g_new0 (Task, 1);
  task->job = job;
  task->piece = piece;
  task->attempt = attempt;
  task->status = "fetching";
  task->ready_at = lab_now_s () + IMAGE_FETCH_S;
  g_ptr_array_add (machine->tasks, task);
  if (in_use || full)
    end_task (machine, task, in_use ? "in_use" : "full");
  else
    job->started++;
}

static void
obey (Machine *machine, const cJSON *orders)
{
  const cJSON *order;
  guint runs = 0, kills = 0, reaps = 0;
  const char *first = NULL;

  cJSON_ArrayForEach (order, orders)
    {
      const char *verb = cJSON_GetStringValue (cJSON_GetObjectItem (order, "verb")),
                 *name = cJSON_GetStringValue (cJSON_GetObjectItem (order, "piece"));
      guint64 attempt = (guint64) cJSON_GetNumberValue (cJSON_GetObjectItem (order, "try"));
      const char *slash = strrchr (name, '/');
      g_autofree char *uid = g_strndup (name, (gsize) (slash - name));
      guint piece = (guint) g_ascii_strtoull (slash + 1, NULL, 10);
      Task *task = find_task (machine, uid, piece, attempt);
      first = first ? first : name;
      if (g_str_equal (verb, "run"))
        {
          run_task (machine, uid, piece, attempt);
          runs++;
        }
      else if (g_str_equal (verb, "kill") && ++kills && task && !has_ended (task))
        end_task (machine, task, "stopped");
      else if (g_str_equal (verb, "reap") && ++reaps && task && has_ended (task))
        g_ptr_array_remove (machine->tasks, task);
    }
  if (first)
    record ("%s: carries out %u run, %u kill, %u reap (the first is for %s)", machine->name, runs, kills, reaps, first);
}

/* ---- reports ---- */

static char *
encode_report (Machine *machine)
{
  cJSON *root = cJSON_CreateObject (), *list;
  char *text;

  cJSON_AddStringToObject (root, "host", machine->name);
  cJSON_AddStringToObject (root, "addr", "127.0.0.1:9");
  cJSON_AddStringToObject (root, "flavor", machine->type->name);
  cJSON_AddStringToObject (root, "yard", machine->zone);
  cJSON_AddBoolToObject (root, "loaners", machine->spot);
  cJSON_AddNumberToObject (root, "tenure", (double) machine->tenure);
  cJSON_AddNumberToObject (root, "tick", (double) ++machine->tick);
  cJSON_AddNumberToObject (root, "baton", (double) machine->baton);
  cJSON_AddNullToObject (root, "reclaimInS");
  list = cJSON_AddArrayToObject (root, "pieces");
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const Task *task = machine->tasks->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      g_autofree char *name = g_strdup_printf ("%s/%u", task->job->uid, task->piece);
      cJSON_AddStringToObject (item, "piece", name);
      cJSON_AddNumberToObject (item, "try", (double) task->attempt);
      cJSON_AddStringToObject (item, "status", task->status);
      if (task->cause)
        cJSON_AddStringToObject (item, "cause", task->cause);
      cJSON_AddItemToArray (list, item);
    }
  text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

typedef struct
{
  Machine *machine;
  guint number;
  guint64 tenure;
} Report;

static gsize
longest_line (const char *body, gsize length)
{
  gsize longest = 0, line = 0;
  for (gsize i = 0; i < length; i++)
    {
      line = body[i] == '\n' ? 0 : line + 1;
      longest = MAX (longest, line);
    }
  return longest;
}

static void
try_next_node (Machine *machine, guint node)
{
  machine->node = node == machine->node ? (machine->node + 1) % deployment->controllers : node;
}

static void
on_answer (guint status, const char *body, gsize length, gpointer data)
{
  g_autofree Report *report = data;
  Machine *machine = report->machine;
  gsize line = longest_line (body, length);
  cJSON *root = cJSON_ParseWithLength (body, length);

  if (machine->gone || report->number != machine->report_number)
    {
      cJSON_Delete (root);
      return;
    }
  machine->awaits_answer = FALSE;
  if (worker_reaches && !worker_reaches (machine, machine->node))
    status = 0; /* the answer is lost */
  longest_answer_line = MAX (longest_answer_line, line);
  if (line > MAX_LINE_BYTES)
    {
      /* The pages allow no such line. The worker can't take it, as if no answer had come. */
      lines_too_long++;
      record ("%s <- %s: %u with a line of %" G_GSIZE_FORMAT " bytes (%d orders): more than 64 KiB, not taken",
              machine->name, controller_names[machine->node], status, line,
              cJSON_GetArraySize (cJSON_GetObjectItem (root, "orders")));
      try_next_node (machine, machine->node);
      machine->next_report_at = lab_now_s () + 1;
    }
  else if (status == 200)
    {
      guint64 baton = (guint64) cJSON_GetNumberValue (cJSON_GetObjectItem (root, "baton"));
      if (baton && baton >= machine->baton && report->tenure == machine->tenure)
        {
          if (baton > machine->baton)
            machine->next_report_at = MIN (machine->next_report_at, lab_now_s () + MIN_REPORT_INTERVAL_S);
          machine->baton = baton;
          machine->lease_from = machine->report_sent_at;
          machine->last_answer_at = lab_now_s ();
          obey (machine, cJSON_GetObjectItem (root, "orders"));
        }
    }
  else
    {
      const char *steward = status == 421 ? cJSON_GetStringValue (cJSON_GetObjectItem (root, "steward")) : NULL;
      guint node = machine->node;
      if (status != 421)
        record ("%s <- %s: %u", machine->name, controller_names[machine->node], status);
      for (guint i = 0; steward && i < deployment->controllers; i++)
        if (g_str_equal (steward, controller_names[i]))
          node = i;
      machine->next_report_at = lab_now_s () + (node != machine->node ? g_rand_double_range (rand_source, 0, 0.5) : 1);
      try_next_node (machine, node);
    }
  cJSON_Delete (root);
}

static gboolean
on_unreachable (gpointer report)
{
  on_answer (0, "", 0, report);
  return G_SOURCE_REMOVE;
}

static void
send_report (Machine *machine)
{
  char *body = encode_report (machine);
  Report *report = g_new0 (Report, 1);
  double now = lab_now_s ();

  if (!machine->reported)
    record ("%s (%s in %s): first report", machine->name, machine->type->name, machine->zone);
  machine->reported = TRUE;
  machine->awaits_answer = TRUE;
  machine->report_sent_at = now;
  machine->next_report_at = now + report_interval_s * g_rand_double_range (rand_source, 0.75, 1.25);
  report->machine = machine;
  report->number = ++machine->report_number;
  report->tenure = machine->tenure;
  if (strlen (body) > MAX_LINE_BYTES)
    {
      /* No request body may be that long, so this report can't be sent. */
      if (!reports_too_long++)
        record ("%s: its report would be %" G_GSIZE_FORMAT " bytes, more than 64 KiB", machine->name, strlen (body));
      machine->awaits_answer = FALSE;
      g_free (report);
    }
  else if (worker_reaches && !worker_reaches (machine, machine->node))
    g_timeout_add ((guint) (ANSWER_TIMEOUT_S * 1000), on_unreachable, report);
  else
    lab_send (api_ports[machine->node], "POST", "/hello", body, ANSWER_TIMEOUT_S, on_answer, report);
  free (body);
}

/* ---- running tasks ---- */

static guint
count_gang (const Job *job, guint64 attempt)
{
  guint n = 0;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len && !machine->gone; k++)
        {
          const Task *task = machine->tasks->pdata[k];
          n += task->job == job && task->attempt == attempt && is_on_machine (task);
        }
    }
  return n;
}

static gboolean
advance_task (const Machine *machine, Task *task, double now)
{
  if (g_str_equal (task->status, "fetching") && now >= task->ready_at)
    {
      task->status = task->job->gang ? "gathering" : "running";
      note_on_machine (machine, task, TRUE);
      task->ends_at = now + task->job->run_s;
      return TRUE;
    }
  if (g_str_equal (task->status, "gathering") && count_gang (task->job, task->attempt) == task->job->pieces)
    {
      task->status = "running";
      task->ends_at = now + task->job->run_s;
      return TRUE;
    }
  if (g_str_equal (task->status, "running") && now >= task->ends_at)
    {
      end_task (machine, task, "done");
      return TRUE;
    }
  return FALSE;
}

static gboolean
on_tick (gpointer data)
{
  double now = lab_now_s ();

  for (guint i = 0; i < machines->len; i++)
    {
      Machine *machine = machines->pdata[i];
      gboolean changed = FALSE;
      if (machine->gone || now < machine->up_at)
        continue;
      if (now - machine->lease_from > lease_time_s)
        {
          forget_tasks (machine, "the worker's lease has ended");
          machine->tenure++;
          machine->lease_from = now;
          changed = TRUE;
        }
      for (guint k = 0; k < machine->tasks->len; k++)
        changed = advance_task (machine, machine->tasks->pdata[k], now) || changed;
      if (changed)
        machine->next_report_at =
            MIN (machine->next_report_at, MAX (now, machine->report_sent_at + MIN_REPORT_INTERVAL_S));
      if (!machine->awaits_answer && now >= machine->next_report_at)
        send_report (machine);
    }
  return G_SOURCE_CONTINUE;
}

void
workers_start (double report_s, double lease_s)
{
  machines = g_ptr_array_new ();
  jobs = g_hash_table_new (g_str_hash, g_str_equal);
  rand_source = g_rand_new_with_seed (44);
  report_interval_s = report_s;
  lease_time_s = lease_s;
  g_timeout_add (TICK_MS, on_tick, NULL);
}
