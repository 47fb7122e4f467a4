/* What the owner has to do with the cloud: types, renting, returning, and the list of what there is. */
#include "controller.h"

#include <math.h>

#define FORGET_SILENT_S 12.0
#define REMEMBER_GONE_S 900.0 /* lists lag by seconds, copies of reports may come minutes late */

struct _HzbProvisioning
{
  HzbController *c;
  gboolean asking_types, listing;
  guint renting, returning; /* calls on their way */
  guint64 rent_number;      /* of request names, in this term */
  char *list_after;
  GHashTable *gone;   /* names given back and when (struct timespec): lists lag */
  GHashTable *listed; /* names in the pages read so far */
  struct timespec list_began, next_list, next_types, next_return, next_plan;
};

static void
on_types (guint status, const char *body, gsize length, gpointer user)
{
  HzbController *c = user;
  HzbProvisioning *r = c->provisioning;
  GPtrArray *types = status == 200 ? hzb_wire_parse_types (body) : NULL;

  r->asking_types = FALSE;
  r->next_types = hzb_time_plus (hzb_clock_now (c->clock), types ? 60 : 1);
  if (!types)
    return;
  hzb_machines_set_types (c->machines, types);
}

typedef struct
{
  HzbEpochCall epoch_call;
  char *request, *type, *zone;
  gboolean spot;
  guint count, tries;
} RentCall;

static void
rent_call_free (RentCall *call)
{
  g_free (call->request);
  g_free (call->type);
  g_free (call->zone);
  g_free (call);
}

static void
on_rented (guint status, const char *body, gsize length, gpointer user)
{
  RentCall *call = user;
  HzbController *c = call->epoch_call.c;
  HzbProvisioning *r = c->provisioning;
  struct timespec now = hzb_clock_now (c->clock);
  g_autoptr (GPtrArray) names = status == 200 ? hzb_wire_parse_names (body) : NULL;
  HzbRental rental = { NULL, call->zone, call->spot, call->count };

  if (call->epoch_call.epoch != c->ownership_epoch)
    {
      rent_call_free (call); /* what it rented shows in the list and by its workers */
      return;
    }
  if (!names && status != 503 && status != 400 && call->tries++ < 4)
    {
      /* The same name again: if it was carried out, the answer is the same and nothing more is rented. */
      hzb_cloud_rent (c->cloud, call->request, call->type, call->zone, call->spot, call->count, on_rented, call);
      return;
    }
  r->renting--;
  rental.type = hzb_machines_type (c->machines, call->type);
  if (rental.type && (!names || names->len < call->count))
    hzb_autoscaler_note_refused (c->autoscaler, &rental, now);
  else if (rental.type)
    hzb_autoscaler_note_granted (c->autoscaler, &rental);
  for (guint i = 0; names && i < names->len; i++)
    {
      HzbMachine *m = hzb_machines_find (c->machines, names->pdata[i]);
      if (!m)
        m = hzb_machines_add (c->machines, names->pdata[i], NULL, call->type, call->zone, call->spot,
                              HZB_MACHINE_BOOTING);
      m->known_to_cloud = TRUE;
    }
  g_message ("asked for %u %s%s in %s: got %u", call->count, call->type, call->spot ? " (spot)" : "", call->zone,
             names ? names->len : 0);
  rent_call_free (call);
}

static void
rent (HzbController *c, struct timespec now)
{
  HzbProvisioning *r = c->provisioning;
  g_autoptr (GArray) provisioning = NULL;

  if (r->renting || !hzb_election_lease_valid (c->election) || !c->machines->types)
    return;
  provisioning = hzb_autoscaler_rentals (c->autoscaler, now);
  for (guint i = 0; i < provisioning->len; i++)
    {
      const HzbRental *rental = &g_array_index (provisioning, HzbRental, i);
      RentCall *call = g_new0 (RentCall, 1);
      call->epoch_call.c = c;
      call->epoch_call.epoch = c->ownership_epoch;
      /* Terms are never used twice, so neither is a name. */
      call->request = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, hzb_election_term (c->election),
                                       ++r->rent_number);
      call->type = g_strdup (rental->type->name);
      call->zone = g_strdup (rental->zone);
      call->spot = rental->spot;
      call->count = rental->count;
      r->renting++;
      hzb_cloud_rent (c->cloud, call->request, call->type, call->zone, call->spot, call->count, on_rented, call);
    }
}

static void
machine_is_gone (HzbController *c, HzbMachine *m)
{
  HzbProvisioning *r = c->provisioning;
  struct timespec *now;
  hzb_records_drop_machine (c->records, m);
  hzb_machine_lose_tasks (c->jobs, m);
  hzb_machine_set_state (c->machines, m, HZB_MACHINE_GONE, "the cloud has confirmed it");
  now = g_new (struct timespec, 1);
  *now = hzb_clock_now (c->clock);
  g_hash_table_replace (r->gone, g_strdup (m->name), now);
  hzb_machines_remove (c->machines, m);
}

static void
on_returned (guint status, const char *body, gsize length, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbController *c = epoch_call->c;
  HzbProvisioning *r = c->provisioning;
  g_autoptr (GPtrArray) names = epoch_call->data;

  if (epoch_call->epoch == c->ownership_epoch)
    {
      r->returning--;
      for (guint i = 0; status == 200 && i < names->len; i++)
        {
          HzbMachine *m = hzb_machines_find (c->machines, names->pdata[i]);
          if (m && m->state == HZB_MACHINE_RETURNING)
            machine_is_gone (c, m);
        }
      if (status != 200)
        r->next_return = hzb_time_plus (hzb_clock_now (c->clock), 1);
    }
  g_free (epoch_call);
}

/* Machines that are to go back: first they take nothing new, then they are emptied, then the cloud is told. */
static void
give_back (HzbController *c, struct timespec now)
{
  HzbProvisioning *r = c->provisioning;
  GPtrArray *names;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      double in_state = hzb_time_between (m->since, now);
      if (m->state == HZB_MACHINE_LEASED)
        continue; /* its lessee is asked for it */
      if (m->state == HZB_MACHINE_UNVERIFIED && in_state > c->settings->lease_s + 2)
        m->to_be_returned = TRUE; /* silence proves nothing: only the cloud can say that it is gone */
      if (m->state == HZB_MACHINE_LEASE_EXPIRED && in_state > FORGET_SILENT_S)
        m->to_be_returned = TRUE;
      /* It is paid for as long as it is there. */
      if (m->state == HZB_MACHINE_DRAINING && !m->tasks->len)
        m->to_be_returned = TRUE;
      /* A short deafness costs no machine; one that stays deaf longer than its lease is of no use. */
      if (m->unreachable && hzb_time_between (m->unreachable_since, now) > c->settings->lease_s + FORGET_SILENT_S)
        m->to_be_returned = TRUE;
      if (!m->to_be_returned || m->state == HZB_MACHINE_RETURNING)
        continue;
      if (hzb_machine_listed (m))
        hzb_machine_empty_lists (c->jobs, m);
      if (m->state == HZB_MACHINE_ACTIVE && m->tasks->len)
        hzb_machine_set_state (c->machines, m, HZB_MACHINE_DRAINING, "to be returned");
      /* What would never end goes elsewhere; its machine tells with its next report that it is to stop. */
      for (guint k = 0; m->service_cpus > 0 && m->state == HZB_MACHINE_DRAINING && k < m->tasks->len; k++)
        {
          HzbTask *task = m->tasks->pdata[k];
          task->stopping = task->stopping || task->job->spec->service;
        }
      if (m->state == HZB_MACHINE_UNVERIFIED ? in_state > c->settings->lease_s + 2
                                             : m->tasks->len == 0 || in_state > 120)
        hzb_machine_set_state (c->machines, m, HZB_MACHINE_RETURNING, "to be returned");
    }
  if (r->returning || hzb_time_before (now, r->next_return))
    return;
  names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < c->machines->all->len && names->len < 100; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (m->state == HZB_MACHINE_RETURNING)
        g_ptr_array_add (names, g_strdup (m->name));
    }
  if (!names->len)
    {
      g_ptr_array_unref (names);
      return;
    }
  r->returning++;
  hzb_cloud_return (c->cloud, names, on_returned, hzb_epoch_call_new (c, names));
}

/* Once listed, a machine stays listed until it is gone, and a list is at most twice the lag old: what has been
 * there for longer than that and is not in a list that was asked for now is gone, with all that was on it. */
static void
drop_unlisted (HzbController *c, struct timespec now)
{
  HzbProvisioning *r = c->provisioning;
  double known = 3 * c->settings->list_lag_s + 5;

  for (guint i = c->machines->all->len; i-- > 0;)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      if (g_hash_table_contains (r->listed, m->name) || m->state == HZB_MACHINE_RETURNING
          || m->state == HZB_MACHINE_LEASED || hzb_time_between (m->rented, r->list_began) < known)
        continue;
      /* One that has just reported is there, whatever the list says. */
      if (hzb_time_is_set (m->last_report) && hzb_time_between (m->last_report, now) < 1.5 * c->settings->report_s + 1)
        continue;
      hzb_machine_set_state (c->machines, m, HZB_MACHINE_RETURNING, "the cloud lists it no more");
      machine_is_gone (c, m);
    }
}

static gboolean
is_long_gone (gpointer name, gpointer since, gpointer now)
{
  return hzb_time_between (*(struct timespec *) since, *(struct timespec *) now) > REMEMBER_GONE_S;
}

static void
on_listed (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbController *c = epoch_call->c;
  HzbProvisioning *r = c->provisioning;
  gboolean more = FALSE;
  g_autoptr (GPtrArray) listed = status == 200 ? hzb_wire_parse_list (body, &more) : NULL;
  struct timespec now = hzb_clock_now (c->clock);

  if (epoch_call->epoch != c->ownership_epoch)
    return;
  r->listing = FALSE;
  if (!r->list_after)
    g_hash_table_remove_all (r->listed);
  g_clear_pointer (&r->list_after, g_free);
  for (guint i = 0; listed && i < listed->len; i++)
    {
      const HzbListed *l = listed->pdata[i];
      HzbMachine *m = hzb_machines_find (c->machines, l->name);
      g_free (r->list_after);
      r->list_after = g_strdup (l->name);
      g_hash_table_add (r->listed, g_strdup (l->name));
      if (g_hash_table_contains (r->gone, l->name) || !l->type || !l->zone)
        continue;
      if (!m)
        {
          m = hzb_machines_add (c->machines, l->name, l->addr, l->type, l->zone, l->spot, HZB_MACHINE_BOOTING);
          m->rented = hzb_time_plus (now, -l->age_s);
        }
      m->known_to_cloud = TRUE;
      if (l->state == HZB_LISTED_FAILED && m->state == HZB_MACHINE_LEASED)
        m->to_be_returned = TRUE;
      else if (l->state == HZB_LISTED_FAILED && m->state != HZB_MACHINE_RETURNING)
        {
          m->to_be_returned = TRUE;
          hzb_machine_set_state (c->machines, m, HZB_MACHINE_RETURNING, "the cloud calls it failed");
        }
    }
  if (!more)
    g_clear_pointer (&r->list_after, g_free);
  if (listed && !more)
    {
      drop_unlisted (c, now);
      g_hash_table_foreach_remove (r->gone, is_long_gone, &now);
    }
  r->next_list = hzb_time_plus (now, more ? 0.3 : MAX (4, c->settings->list_lag_s));
}

void
hzb_provisioning_tick (HzbProvisioning *r, struct timespec now)
{
  HzbController *c = r->c;

  if (!r->asking_types && !hzb_time_before (now, r->next_types)
      && (!c->machines->types || hzb_election_leading (c->election)))
    {
      r->asking_types = TRUE;
      hzb_cloud_types (c->cloud, on_types, c);
    }
  if (c->ownership < HZB_OWNERSHIP_RECOVERING)
    return;
  give_back (c, now);
  if (!hzb_time_before (now, r->next_plan))
    {
      r->next_plan = hzb_time_plus (now, 1);
      if (hzb_election_lease_valid (c->election))
        {
          g_autoptr (GPtrArray) back = hzb_autoscaler_returns (c->autoscaler, now);
          for (guint i = 0; i < back->len; i++)
            ((HzbMachine *) back->pdata[i])->to_be_returned = TRUE;
        }
      rent (c, now);
    }
  if (!hzb_time_before (now, r->next_list) && !r->listing)
    {
      r->listing = TRUE;
      if (!r->list_after)
        r->list_began = now;
      r->next_list = hzb_time_plus (now, 10);
      hzb_cloud_list (c->cloud, r->list_after, on_listed, hzb_epoch_call_new (c, NULL));
    }
}

void
hzb_provisioning_reset (HzbProvisioning *r)
{
  r->rent_number = 0;
  r->renting = r->returning = 0;
  r->listing = FALSE;
  g_clear_pointer (&r->list_after, g_free);
  r->next_list = r->next_return = (struct timespec){ 0 };
}

gboolean
hzb_provisioning_was_returned (HzbProvisioning *r, const char *machine)
{
  return g_hash_table_contains (r->gone, machine);
}

HzbProvisioning *
hzb_provisioning_new (HzbController *c)
{
  HzbProvisioning *r = g_new0 (HzbProvisioning, 1);
  r->c = c;
  r->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void
hzb_provisioning_free (HzbProvisioning *r)
{
  g_hash_table_unref (r->gone);
  g_hash_table_unref (r->listed);
  g_free (r->list_after);
  g_free (r);
}
