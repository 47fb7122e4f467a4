/* Large arrays, each within the limit of 100,000 tasks, take more memory than a controller may have. See claim.txt. */
#include "stand-ins-2/lab2.h"

#define RUN_S 112.0
#define BIG_JOBS 10
#define BIG_PIECES 100000 /* PROTOCOL: at most 100,000 */
#define BRIEF_PIECES 472  /* BRIEF: arrays of up to 472 tasks */
#define RESTART_S 8.0     /* BRIEF: back about 8 s after an end */

static double back_at[LAB_NODES], most[LAB_NODES];
static guint kills;

/* What a process holds, in MiB: its anonymous and shared memory, without the pages of its files. */
static double
memory_mb (GPid pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", pid), *text = NULL;
  double kb = 0;
  const char *at;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  if ((at = strstr (text, "RssAnon:")))
    kb += atof (at + strlen ("RssAnon:"));
  if ((at = strstr (text, "RssShmem:")))
    kb += atof (at + strlen ("RssShmem:"));
  return kb / 1024;
}

/* The platform: a process over its memory is killed and started again. */
static gboolean
on_platform (gpointer data)
{
  Lab *lab = data;
  for (int i = 0; i < LAB_NODES; i++)
    {
      double mb;
      if (back_at[i] > 0 && lab_now (lab) > back_at[i])
        {
          back_at[i] = 0;
          lab_start_node (lab, i);
        }
      if (lab->nodes[i].pid <= 0)
        continue;
      mb = memory_mb (lab->nodes[i].pid);
      most[i] = MAX (most[i], mb);
      if (mb <= lab->config.mem_mb)
        continue;
      lab_note (lab, "platform: node %d holds %.1f MB of %g", i, mb, lab->config.mem_mb);
      lab_signal (lab, i, SIGKILL);
      kills++;
      back_at[i] = lab_now (lab) + RESTART_S;
    }
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  LabConfig config = lab_sahla;
  Lab *lab;
  int big = 0, small = 0, small_done = 0;

  config.boot_s = 5;
  lab = lab_new (&config, argv[1]);
  lab->quiet = TRUE;
  lab_start (lab);
  g_timeout_add (250, on_platform, lab);
  for (int i = 0; i < BIG_JOBS; i++)
    lab_add_job (lab, 3 + 0.2 * i, lab_is_trouble () ? BIG_PIECES : BRIEF_PIECES, 2, 6.2, 35, "refill-batch", "normal");
  for (int i = 0; i < 4; i++)
    lab_add_job (lab, 3 + 2 * i, 8, 4, 9.2, 15, "urgent-refill", "urgent");
  lab_run_until (lab, RUN_S);
  for (guint i = 0; i < lab->jobs->len; i++)
    {
      const LabJob *job = lab->jobs->pdata[i];
      if (i < BIG_JOBS)
        big += job->accepted;
      else
        {
          small += job->accepted;
          small_done += job->done;
        }
    }
  lab_note (lab,
            "%d large jobs accepted; of %d small urgent jobs accepted, %d are done; %u ends for memory; most held: "
            "%.1f, %.1f and %.1f MB of %g",
            big, small, small_done, kills, most[0], most[1], most[2], config.mem_mb);
  if (!big || !small)
    {
      lab_finish (lab);
      return 2;
    }
  if (kills)
    lab_violation (lab, "memory",
                   "%u ends for memory (limit %g MB) with %d arrays of %d tasks accepted; %d of %d accepted small "
                   "urgent jobs are done after %.0f s",
                   kills, config.mem_mb, big, BIG_PIECES, small_done, small, RUN_S);
  return lab_finish (lab);
}
