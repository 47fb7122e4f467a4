/* Spin model of the reconciliation of one task after a cold start: a leader decides to restart the task, records the
 * verdict, and then commands the start.
 *
 * Initial state: an earlier leader, which has ended, started the task on the first of two workers. Two more leaders
 * follow. Each of them may end at any time, or may consider itself the leader for the whole run. Both workers have
 * already seen the fencing token of the first of these two leaders.
 *
 * Faults: heartbeats and responses are lost, responses are delayed, and transactions are executed late. A delayed
 * heartbeat is not modelled, because a leader refuses a heartbeat with an older sequence number.
 *
 * Assertions: the task never runs on two workers; no start is sent before the verdict is durable; a durable verdict
 * never changes. Each guard can be removed with -DNO_<GUARD> (WAIT, DURABLE, TOKEN, CONDITIONS); an assertion must then
 * fail.
 *
 * Bounds: four heartbeats of the first worker and three of the second, and one change of the first worker's agent epoch.
 * check-model.sh runs the model. */

#define WORKERS 2
#define LEADERS 2
#define AT(leader, worker) ((leader) * WORKERS + (worker))

/* key-value store */
byte term = 2;                /* of the newest leader */
byte verdict = 0;             /* the term whose leader recorded the verdict "restart the task"; 0: no verdict */
byte delayed_transaction = 0; /* the term whose leader sent a transaction that is not yet executed; 0: none */

/* workers */
bool runs[WORKERS];             /* the task runs on the worker */
byte token[WORKERS];            /* the highest fencing token that the worker has seen */
bool response_pending[WORKERS]; /* a response to the last heartbeat is in flight */
byte response_token[WORKERS];   /* fencing token of that response */
bool response_start[WORKERS];   /* whether that response commands the start of the task */

/* leaders */
byte own_term[LEADERS];            /* term of the leader; 0: the process does not consider itself the leader */
byte known_verdict[LEADERS];       /* the verdict as the leader has last read it */
bool decided[LEADERS];             /* the leader has decided to restart the task */
bool verified[LEADERS * WORKERS];  /* a heartbeat with the leader's own token has arrived from the worker */
bool on_worker[LEADERS * WORKERS]; /* the leader assumes that the task runs on the worker */

/* The key-value store executes a transaction of the leader of a term, or refuses it. */
inline execute_transaction (writer)
{
#ifdef NO_CONDITIONS
  assert (verdict == 0 || verdict == writer);
  verdict = writer;
#else
  if
  :: writer == term && verdict == 0 -> verdict = writer;
  :: else -> skip;
  fi
#endif
}

/* A leader receives a heartbeat and responds to it. */
inline receive_heartbeat (leader, worker)
{
  if
  :: token[worker] == own_term[leader] ->
     verified[AT (leader, worker)] = true;
     on_worker[AT (leader, worker)] = runs[worker];
  :: else -> skip; /* the worker may still accept commands of an older leader: conclude nothing */
  fi;
  if
#ifdef NO_WAIT
  :: verified[AT (leader, worker)] && !on_worker[AT (leader, worker)] -> decided[leader] = true;
#else
  :: verified[AT (leader, 0)] && verified[AT (leader, 1)] && !on_worker[AT (leader, 0)] && !on_worker[AT (leader, 1)] ->
     decided[leader] = true;
#endif
  :: else -> skip;
  fi;
  start = decided[leader] && verified[AT (leader, worker)] && !on_worker[AT (leader, 0)] && !on_worker[AT (leader, 1)];
#ifndef NO_DURABLE
  start = start && known_verdict[leader] != 0;
#endif
  on_worker[AT (leader, worker)] = on_worker[AT (leader, worker)] || start; /* until the next heartbeat of the worker */
  assert (!start || verdict != 0);
  if
  :: response_pending[worker] = true;
     response_token[worker] = own_term[leader];
     response_start[worker] = start;
  :: skip; /* the response is lost */
  fi;
  start = false
}

proctype worker (byte self; byte heartbeats)
{
  bool start = false;
end:
  do
  :: atomic {
       heartbeats > 0 ->
       heartbeats--;
       response_pending[self] = false; /* a late response to an earlier heartbeat is dropped */
       if
       :: own_term[0] != 0 -> receive_heartbeat (0, self);
       :: own_term[1] != 0 -> receive_heartbeat (1, self);
       :: skip; /* the heartbeat is lost */
       fi
     }
  :: atomic {
       response_pending[self] ->
       response_pending[self] = false;
       if
#ifdef NO_TOKEN
       :: true ->
#else
       :: response_token[self] >= token[self] ->
#endif
          token[self] = (response_token[self] > token[self] -> response_token[self] : token[self]);
          runs[self] = runs[self] || response_start[self];
          assert (!(runs[0] && runs[1]));
#ifndef NO_TOKEN
       :: else -> skip;
#endif
       fi;
       response_start[self] = false;
       response_token[self] = 0;
     }
  od
}

/* The agent epoch of the first worker ends, and with it the task on that worker. */
proctype agent_epoch_end ()
{
  atomic { runs[0] = false; }
}

proctype leader (byte self)
{
  bool write_sent = false;

  atomic {
    if
    :: self == 0 -> own_term[0] = 2;
    :: else -> term++; own_term[self] = term;
    fi;
    known_verdict[self] = verdict;
  }
end:
  do
  :: atomic {
       decided[self] && known_verdict[self] == 0 && !write_sent ->
       write_sent = true;
       if
       :: execute_transaction (own_term[self]);
       :: delayed_transaction == 0 ->
          delayed_transaction = own_term[self]; /* the transaction is delayed, and its response is lost */
       fi
     }
  :: atomic {
       write_sent && known_verdict[self] == 0 ->
       known_verdict[self] = verdict; /* reads the verdict; if there is none, the next step writes it again */
       write_sent = false;
     }
  :: atomic { own_term[self] = 0; break; } /* the leader ends */
  od
}

/* The key-value store executes a delayed transaction. */
proctype delayed_write ()
{
end:
  do
  :: atomic { delayed_transaction != 0 -> execute_transaction (delayed_transaction); delayed_transaction = 0; }
  od
}

init
{
  atomic {
    runs[0] = true;
    token[0] = 2;
    token[1] = 2;
    run worker (0, 4);
    run worker (1, 3);
    run agent_epoch_end ();
    run leader (0);
    run leader (1);
    run delayed_write ();
  }
}
