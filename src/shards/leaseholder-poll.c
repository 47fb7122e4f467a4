/* Polls the leader. A poll requests or renews the shard lease, and carries the events, free CPUs and task counts of
 * the shard. */
#include "json.h"
#include "leaseholder-private.h"

#define POLL_INTERVAL_S 0.4
/* The interval after hzb_leaseholder_poll_soon(). It is not shorter, because a poll costs both nodes as much as a
 * worker's heartbeat. */
#define POLL_SOON_INTERVAL_S 0.25
#define POLL_TIMEOUT_MS 1500
/* Fraction of the shard's CPUs for which tasks are requested in advance, so that no CPU is idle until the next
 * answer. */
#define PREFETCH_FRACTION 0.12
/* Maximum number of jobs whose counts a poll carries. It limits the size of the poll, which carries events as well: a
 * count takes up to 25 bytes in each of two lists. If there are more jobs, consecutive polls cover them in round-robin
 * order. */
#define MAX_JOB_COUNTS_PER_POLL 350u

void
hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder)
{
  struct timespec soon = hzb_time_plus (leaseholder->last_poll, POLL_SOON_INTERVAL_S);
  if (hzb_time_before (soon, leaseholder->next_poll))
    leaseholder->next_poll = soon;
}

/* ---- content of the poll ---- */

/* Returns: CPUs of the tasks to request: the free CPUs of the shard plus the prefetch, less the CPUs of unstarted
 * tasks; 0 if there are as many unstarted tasks as its machines may list */
static double
cpus_to_request (const HzbLeaseholderDependencies *dependencies)
{
  double free_cpus = 0, total_cpus = 0, queued_cpus = 0, free_places = 0;
  for (guint i = 0; i < dependencies->machines->all->len; i++)
    {
      const HzbMachine *machine = dependencies->machines->all->pdata[i];
      if (!hzb_machine_is_usable (machine))
        continue;
      free_cpus += MAX (0, machine->type->cpus - machine->cpus);
      total_cpus += machine->type->cpus;
      free_places += (double) HZB_MAX_TASKS_PER_MACHINE - machine->tasks->len - machine->listed_others;
    }
  for (guint i = 0; i < dependencies->jobs->active->len; i++)
    {
      const HzbJob *job = dependencies->jobs->active->pdata[i];
      queued_cpus += (job->queued + job->pending) * job->spec->cpus;
      free_places -= job->queued + job->pending;
    }
  if (free_places <= 0)
    return 0;
  return free_cpus + PREFETCH_FRACTION * total_cpus - queued_cpus;
}

/* Returns: (transfer full): HzbJob -> number of its tasks on machines that the leader has recalled */
static GHashTable *
count_tasks_on_recalled_machines (const HzbMachines *machines)
{
  GHashTable *counts = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      for (guint k = 0; machine->recall_requested && k < machine->tasks->len; k++)
        {
          HzbJob *job = ((HzbTask *) machine->tasks->pdata[k])->job;
          guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, job));
          g_hash_table_insert (counts, job, GUINT_TO_POINTER (count + 1));
        }
    }
  return counts;
}

/* Adds the counts of all jobs if they fit into one poll. Otherwise the poll is partial and has the counts of the
 * next jobs in round-robin order; it states zeros as well, since the leader keeps the counts of jobs that a partial
 * poll does not name. */
static void
add_job_counts (HzbLeaseholder *leaseholder, HzbShardPoll *poll)
{
  const GPtrArray *jobs = leaseholder->dependencies.jobs->active;
  g_autoptr (GHashTable) recalled_counts = count_tasks_on_recalled_machines (leaseholder->dependencies.machines);
  gboolean partial = jobs->len > MAX_JOB_COUNTS_PER_POLL;
  guint first = partial ? leaseholder->next_counted_job % jobs->len : 0;

  for (guint i = 0; i < MIN (jobs->len, MAX_JOB_COUNTS_PER_POLL); i++)
    {
      const HzbJob *job = jobs->pdata[(first + i) % jobs->len];
      guint recalled = GPOINTER_TO_UINT (g_hash_table_lookup (recalled_counts, job));
      if (recalled || partial)
        hzb_job_counts_add (poll->recalled_counts, job->uid, recalled);
      if (job->running || partial)
        hzb_job_counts_add (poll->running_counts, job->uid, job->running);
    }
  poll->partial_counts = partial;
  leaseholder->next_counted_job = first + MAX_JOB_COUNTS_PER_POLL;
}

static HzbShardPoll *
build_poll (HzbLeaseholder *leaseholder)
{
  HzbShardPoll *poll = hzb_shard_poll_new ();

  poll->cancellations = hzb_cancellations_next_requests (leaseholder->dependencies.cancellations);
  if (!hzb_ownership_is_leaseholder (leaseholder->dependencies.ownership))
    return poll;
  poll->fencing_token = leaseholder->fencing_token;
  poll->last_batch_applied = leaseholder->last_batch_applied;
  poll->events = hzb_outbox_prepare_send (&leaseholder->events);
  poll->requested_cpus = hzb_leaseholder_lease_valid (leaseholder) ? cpus_to_request (&leaseholder->dependencies) : 0;
  add_job_counts (leaseholder, poll);
  return poll;
}

/* ---- sending the poll ---- */

static void
on_answer (guint status, const char *body, gsize length, gpointer user)
{
  HzbLeaseholder *leaseholder = user;
  cJSON *message = status == 200 ? hzb_json_parse (body, length) : NULL;
  HzbShardAnswer answer;

  leaseholder->poll_in_flight = FALSE;
  if (!message)
    return;
  hzb_shard_answer_decode (message, &answer);
  cJSON_Delete (message);
  hzb_leaseholder_apply_answer (leaseholder, &answer);
  hzb_shard_answer_clear (&answer);
}

/* Returns: (nullable): the leader's address; NULL if no leader is known, or it is not among the peers in the
 * settings */
static const char *
leader_address (const HzbLeaseholder *leaseholder)
{
  const char *leader = hzb_election_leader (leaseholder->dependencies.election);
  const GPtrArray *peers = leaseholder->dependencies.node->settings->peers;

  for (guint i = 0; leader && i < peers->len; i++)
    if (g_str_equal (((const HzbPeer *) peers->pdata[i])->node, leader))
      return ((const HzbPeer *) peers->pdata[i])->address;
  return NULL;
}

static void
send_poll (HzbLeaseholder *leaseholder, const char *address, struct timespec now)
{
  cJSON *message = hzb_peers_new_message (leaseholder->dependencies.peers, HZB_PEER_SHARD_POLL);
  g_autoptr (HzbShardPoll) poll = build_poll (leaseholder);

  leaseholder->poll_in_flight = TRUE;
  leaseholder->last_poll = now;
  hzb_epoch_call_init (&leaseholder->poll_call, leaseholder->dependencies.ownership, leaseholder, NULL);
  hzb_shard_poll_encode (poll, message);
  hzb_transport_send (leaseholder->dependencies.node->transport, "POST", address, "/peer/v1/block",
                      hzb_json_print (message), POLL_TIMEOUT_MS, on_answer, leaseholder);
}

void
hzb_leaseholder_poll_if_due (HzbLeaseholder *leaseholder, struct timespec now)
{
  const char *address;

  if (!hzb_election_leader (leaseholder->dependencies.election) || leaseholder->poll_in_flight
      || hzb_time_before (now, leaseholder->next_poll))
    return;
  leaseholder->next_poll = hzb_time_plus (now, POLL_INTERVAL_S);
  address = leader_address (leaseholder);
  if (address && hzb_kv_replica_state (leaseholder->dependencies.kv_replica) == HZB_KV_REPLICA_FOLLOWING)
    send_poll (leaseholder, address, now);
}
