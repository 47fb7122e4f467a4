/* Model of decide, record, command after a cold start, for Spin. One task, started by a leader that has ended, on the first of
 * two workers; two leaders follow, each of which may believe to lead for ever, or end at any time. The workers know the first
 * of the two already. Reports and answers are lost, answers held up, transactions are carried out late. A report that is held
 * up is not modelled: an older one is refused by its number. Checked: the task never runs on two workers, no start is sent
 * before the verdict is durable, a durable verdict never changes. NO_… takes a guard out; then a check has to fail.
 *
 * Bounds: four reports of one worker and three of the other, one end of a session. See check-model.sh. */

#define WORKERS 2
#define LEADERS 2
#define AT(leader, worker) ((leader) * WORKERS + (worker))

byte term = 2;    /* of the newest leader, in the state service */
byte verdict = 0; /* the term that has recorded "start again"; 0: there is none */
byte late = 0;    /* a transaction on its way, by term; 0: there is none */

/* workers */
bool runs[WORKERS];
byte token[WORKERS];    /* the highest that the worker has seen */
bool answered[WORKERS]; /* an answer to its last report is on its way: with */
byte answer_token[WORKERS];
bool answer_start[WORKERS];

/* leaders */
byte own[LEADERS];   /* its term; 0: it does not lead */
byte known[LEADERS]; /* the verdict, as it has read it */
bool decided[LEADERS];
bool verified[LEADERS * WORKERS], on[LEADERS * WORKERS];

/* The state service carries a transaction out, or refuses it. */
inline carry_out (writer)
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

/* A leader takes a report and answers it. */
inline report_to (leader, worker)
{
  if
  :: token[worker] == own[leader] -> verified[AT (leader, worker)] = true; on[AT (leader, worker)] = runs[worker];
  :: else -> skip; /* it may still get orders of an older leader: nothing is concluded */
  fi;
  if
#ifdef NO_WAIT
  :: verified[AT (leader, worker)] && !on[AT (leader, worker)] -> decided[leader] = true;
#else
  :: verified[AT (leader, 0)] && verified[AT (leader, 1)] && !on[AT (leader, 0)] && !on[AT (leader, 1)] ->
     decided[leader] = true;
#endif
  :: else -> skip;
  fi;
  start = decided[leader] && verified[AT (leader, worker)] && !on[AT (leader, 0)] && !on[AT (leader, 1)];
#ifndef NO_DURABLE
  start = start && known[leader] != 0;
#endif
  on[AT (leader, worker)] = on[AT (leader, worker)] || start; /* until its next report */
  assert (!start || verdict != 0);
  if
  :: answered[worker] = true;
     answer_token[worker] = own[leader];
     answer_start[worker] = start;
  :: skip; /* lost */
  fi;
  start = false
}

proctype worker (byte self; byte reports)
{
  bool start = false;
end:
  do
  :: atomic {
       reports > 0 ->
       reports--;
       answered[self] = false; /* an answer to an earlier report is dropped from here on */
       if
       :: own[0] != 0 -> report_to (0, self);
       :: own[1] != 0 -> report_to (1, self);
       :: skip; /* lost */
       fi
     }
  :: atomic {
       answered[self] ->
       answered[self] = false;
       if
#ifdef NO_TOKEN
       :: true ->
#else
       :: answer_token[self] >= token[self] ->
#endif
          token[self] = (answer_token[self] > token[self] -> answer_token[self] : token[self]);
          runs[self] = runs[self] || answer_start[self];
          assert (!(runs[0] && runs[1]));
#ifndef NO_TOKEN
       :: else -> skip;
#endif
       fi;
       answer_start[self] = false;
       answer_token[self] = 0;
     }
  od
}

/* The end of a worker's session ends its task. */
proctype session ()
{
  atomic { runs[0] = false; }
}

proctype leader (byte self)
{
  bool written = false;

  atomic {
    if
    :: self == 0 -> own[0] = 2;
    :: else -> term++; own[self] = term;
    fi;
    known[self] = verdict;
  }
end:
  do
  :: atomic {
       decided[self] && known[self] == 0 && !written ->
       written = true;
       if
       :: carry_out (own[self]);
       :: late == 0 -> late = own[self]; /* no answer */
       fi
     }
  :: atomic { written && known[self] == 0 -> known[self] = verdict; written = false; } /* read it, or write it again */
  :: atomic { own[self] = 0; break; }                                                   /* it ends */
  od
}

proctype late_write ()
{
end:
  do
  :: atomic { late != 0 -> carry_out (late); late = 0; }
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
    run session ();
    run leader (0);
    run leader (1);
    run late_write ();
  }
}
