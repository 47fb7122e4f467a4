#include "archive.h"

#define MAX_JOBS 4000u
#define MAX_MACHINES 8000u

static const char *const kind_names[HZB_ARCHIVE_N_COMMAND_KINDS] = {
  [HZB_ARCHIVE_STARTS] = "starts",
  [HZB_ARCHIVE_STOPS] = "stops",
  [HZB_ARCHIVE_REAPS] = "reaps",
  [HZB_ARCHIVE_SCALE_OUTS] = "rentals", /* the name in stored archives */
};

const char *
hzb_archive_command_kind_name (HzbArchiveCommandKind kind)
{
  return kind_names[kind];
}

/* ---- lists ---- */

static void
job_clear (gpointer data)
{
  g_free (((HzbArchivedJobVerdict *) data)->entry.uid);
}

static void
machine_clear (gpointer data)
{
  g_free (((HzbArchivedMachine *) data)->name);
  g_free (((HzbArchivedMachine *) data)->fate);
}

static void
task_clear (gpointer data)
{
  HzbArchivedTask *task = data;
  g_free (task->name);
  g_free (task->machine);
  g_free (task->verdict);
  g_free (task->reason);
}

GArray *
hzb_archived_machines_new (void)
{
  GArray *machines = g_array_new (FALSE, TRUE, sizeof (HzbArchivedMachine));
  g_array_set_clear_func (machines, machine_clear);
  return machines;
}

HzbArchive *
hzb_archive_new (void)
{
  HzbArchive *archive = g_new0 (HzbArchive, 1);
  archive->jobs = g_array_new (FALSE, TRUE, sizeof (HzbArchivedJobVerdict));
  g_array_set_clear_func (archive->jobs, job_clear);
  archive->machines = hzb_archived_machines_new ();
  archive->quarantine = g_array_new (FALSE, TRUE, sizeof (HzbArchivedTask));
  g_array_set_clear_func (archive->quarantine, task_clear);
  return archive;
}

void
hzb_archive_free (HzbArchive *archive)
{
  g_array_unref (archive->jobs);
  g_array_unref (archive->machines);
  g_array_unref (archive->quarantine);
  g_free (archive->reason);
  g_free (archive);
}

void
hzb_archive_add_job (HzbArchive *archive, const HzbArchivedJobVerdict *job)
{
  HzbArchivedJobVerdict copy = *job;
  if (archive->jobs->len >= MAX_JOBS)
    {
      archive->omitted_jobs++;
      return;
    }
  copy.entry.uid = g_strdup (job->entry.uid);
  g_array_append_val (archive->jobs, copy);
}

void
hzb_archive_add_machine (HzbArchive *archive, const char *name, const char *fate, double at_s)
{
  HzbArchivedMachine machine = { NULL, NULL, at_s };
  if (archive->machines->len >= MAX_MACHINES)
    {
      archive->omitted_machines++;
      return;
    }
  machine.name = g_strdup (name);
  machine.fate = g_strdup (fate);
  g_array_append_val (archive->machines, machine);
}

void
hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                      const char *reason)
{
  HzbArchivedTask task = { g_strdup (name), g_strdup (machine), g_strdup (verdict), g_strdup (reason) };
  g_array_append_val (archive->quarantine, task);
}
