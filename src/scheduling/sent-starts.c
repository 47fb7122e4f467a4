#include "sent-starts.h"

/* A worker takes a response for 4 s after it sent the heartbeat, by its own clock. The rest is for the drift of clocks
 * and the time between the clock reading and the response. */
#define RESPONSE_LIFETIME_S 4.5

/* A collision of two hashes delays a reap, no more. */
typedef struct
{
  guint uid_hash;
  guint task;
  guint64 attempt;
  guint64 fencing_token;
  struct timespec sent_at; /* when it was last sent */
} SentStart;

struct _HzbSentStarts
{
  GArray *starts; /* (element-type SentStart) */
};

HzbSentStarts *
hzb_sent_starts_new (void)
{
  HzbSentStarts *starts = g_new0 (HzbSentStarts, 1);
  starts->starts = g_array_new (FALSE, FALSE, sizeof (SentStart));
  return starts;
}

void
hzb_sent_starts_free (HzbSentStarts *starts)
{
  g_array_unref (starts->starts);
  g_free (starts);
}

static gboolean
is_alive (const SentStart *start, struct timespec now)
{
  return hzb_time_between (start->sent_at, now) < RESPONSE_LIFETIME_S;
}

static void
forget_expired (HzbSentStarts *starts, struct timespec now)
{
  for (guint i = starts->starts->len; i > 0; i--)
    if (!is_alive (&g_array_index (starts->starts, SentStart, i - 1), now))
      g_array_remove_index_fast (starts->starts, i - 1);
}

void
hzb_sent_starts_note (HzbSentStarts *starts, const char *uid, guint task, guint64 attempt, guint64 fencing_token,
                      struct timespec now)
{
  const SentStart start = { g_str_hash (uid), task, attempt, fencing_token, now };

  forget_expired (starts, now);
  g_array_append_val (starts->starts, start);
}

gboolean
hzb_sent_starts_may_arrive (const HzbSentStarts *starts, const char *uid, guint task, guint64 attempt,
                            guint64 seen_fencing_token, struct timespec now)
{
  guint uid_hash = starts->starts->len ? g_str_hash (uid) : 0;

  for (guint i = 0; i < starts->starts->len; i++)
    {
      const SentStart *start = &g_array_index (starts->starts, SentStart, i);
      if (start->task == task && start->attempt == attempt && start->uid_hash == uid_hash
          && start->fencing_token >= seen_fencing_token && is_alive (start, now))
        return TRUE;
    }
  return FALSE;
}
