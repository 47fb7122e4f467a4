/* The leaseholder polls the leader: the poll asks for a lease, renews it, and carries what the leader has to know of the shard. */
#include "json.h"
#include "leaseholder-private.h"

#define POLL_INTERVAL_S 0.4
#define POLL_SOON_INTERVAL_S 0.25 /* with news; a poll costs both nodes as much as a worker's heartbeat */
#define POLL_TIMEOUT_MS 1500
/* Of the shard's CPUs: tasks are asked for beyond the free room, so that no CPU is idle until the next answer. */
#define PREFETCH_PART 0.12
/* Jobs whose counts go with a poll, up to 25 bytes each in two lists. If there are more, each poll counts some in turn. */
#define COUNTS_PER_POLL 350u

void
hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder)
{
  struct timespec soon = hzb_time_plus (leaseholder->last_poll, POLL_SOON_INTERVAL_S);
  if (hzb_time_before (soon, leaseholder->next_poll))
    leaseholder->next_poll = soon;
}

/* ---- what the poll says ---- */

/* CPUs' worth of tasks that the shard could start now, and a little beyond. */
static double
room_cpus (const HzbLeaseholderDependencies *modules)
{
  double free = 0, all = 0, queued = 0;
  for (guint i = 0; i < modules->machines->all->len; i++)
    {
      const HzbMachine *machine = modules->machines->all->pdata[i];
      if (!hzb_machine_usable (machine))
        continue;
      free += MAX (0, machine->type->cpus - machine->cpus);
      all += machine->type->cpus;
    }
  for (guint i = 0; i < modules->jobs->active->len; i++)
    {
      const HzbJob *job = modules->jobs->active->pdata[i];
      queued += (job->queued + job->pending) * job->spec->cpus;
    }
  return free + PREFETCH_PART * all - queued;
}

/* How many tasks of each job are on machines that the leader recalled. Returns: (transfer full): HzbJob -> count */
static GHashTable *
count_leaving (const HzbMachines *machines)
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

/* The counts of all jobs, if they fit. Otherwise each poll has those of some jobs in turn, and then zeros are stated too, since the
 * leader keeps the counts of jobs that are not named. */
static void
add_counts (HzbLeaseholder *leaseholder, HzbShardPoll *poll)
{
  const GPtrArray *jobs = leaseholder->modules.jobs->active;
  g_autoptr (GHashTable) leaving_counts = count_leaving (leaseholder->modules.machines);
  gboolean partial = jobs->len > COUNTS_PER_POLL;
  guint first = partial ? leaseholder->next_counted % jobs->len : 0;

  for (guint i = 0; i < MIN (jobs->len, COUNTS_PER_POLL); i++)
    {
      const HzbJob *job = jobs->pdata[(first + i) % jobs->len];
      guint leaving = GPOINTER_TO_UINT (g_hash_table_lookup (leaving_counts, job));
      if (leaving || partial)
        hzb_job_counts_add (poll->leaving, job->uid, leaving);
      if (job->running || partial)
        hzb_job_counts_add (poll->running, job->uid, job->running);
    }
  poll->partial_counts = partial;
  leaseholder->next_counted = first + COUNTS_PER_POLL;
}

static HzbShardPoll *
poll_of_now (HzbLeaseholder *leaseholder)
{
  HzbShardPoll *poll = hzb_shard_poll_new ();

  poll->cancellations = hzb_cancellations_next_requests (leaseholder->modules.cancellations);
  if (!hzb_ownership_is_leaseholder (leaseholder->modules.ownership))
    return poll;
  poll->fencing_token = leaseholder->fencing_token;
  poll->have = leaseholder->batches_taken;
  poll->events = hzb_outbox_send (&leaseholder->events);
  poll->room_cpus = hzb_leaseholder_valid (leaseholder) ? room_cpus (&leaseholder->modules) : 0;
  add_counts (leaseholder, poll);
  return poll;
}

/* ---- sending the poll ---- */

static void
on_answer (guint status, const char *body, gsize length, gpointer user)
{
  HzbLeaseholder *leaseholder = user;
  cJSON *message = status == 200 ? cJSON_ParseWithLength (body, length) : NULL;
  HzbShardAnswer answer;

  leaseholder->polling = FALSE;
  if (!message)
    return;
  hzb_shard_answer_decode (message, &answer);
  cJSON_Delete (message);
  hzb_leaseholder_apply_answer (leaseholder, &answer);
  hzb_shard_answer_clear (&answer);
}

/* Returns: (nullable): NULL if no leader is known, or this node has no address of it */
static const char *
leader_address (const HzbLeaseholder *leaseholder)
{
  const char *leader = hzb_election_leader (leaseholder->modules.election);
  const GPtrArray *peers = leaseholder->modules.node->settings->peers;

  for (guint i = 0; leader && i < peers->len; i++)
    if (g_str_equal (((const HzbPeer *) peers->pdata[i])->node, leader))
      return ((const HzbPeer *) peers->pdata[i])->address;
  return NULL;
}

static void
send_poll (HzbLeaseholder *leaseholder, const char *address, struct timespec now)
{
  cJSON *message = hzb_peers_message (leaseholder->modules.peers, HZB_PEER_SHARD_POLL);
  g_autoptr (HzbShardPoll) poll = poll_of_now (leaseholder);

  leaseholder->polling = TRUE;
  leaseholder->last_poll = now;
  hzb_epoch_call_init (&leaseholder->poll, leaseholder->modules.ownership, leaseholder, NULL);
  hzb_shard_poll_encode (poll, message);
  hzb_send (leaseholder->modules.node->transport, "POST", address, "/peer/v1/block", hzb_json_print (message),
            POLL_TIMEOUT_MS, on_answer, leaseholder);
}

void
hzb_leaseholder_poll_if_due (HzbLeaseholder *leaseholder, struct timespec now)
{
  const char *address;

  if (!hzb_election_leader (leaseholder->modules.election) || leaseholder->polling
      || hzb_time_before (now, leaseholder->next_poll))
    return;
  leaseholder->next_poll = hzb_time_plus (now, POLL_INTERVAL_S);
  address = leader_address (leaseholder);
  if (address && hzb_kv_replica_state (leaseholder->modules.kv_replica) == HZB_KV_REPLICA_FOLLOWING)
    send_poll (leaseholder, address, now);
}
