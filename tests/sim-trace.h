/**
 * SECTION: sim-trace
 * @short_description: traces of the messages in the simulated cluster, to compare two revisions of the sources
 *
 * With HZB_SIM_TRACE=DIRECTORY in the environment, every message in the simulated network and every change in the fake
 * key-value store is hashed. When a test case ends, its digest and its number of events are written to a file in that
 * directory. With HZB_SIM_TRACE_TEXT=1 the events themselves are written to a second file. tests/compare-behaviour
 * reads both.
 */
#pragma once
#include <glib.h>

/** SimTraceEvent: one message, or one change of a record. */
typedef struct
{
  double at;          /* simulated time, in seconds */
  const char *kind;   /* "call", "reply", "request", "response" or "record" */
  guint node;         /* index of the controller that sends or responds; 0 for a record */
  const char *peer;   /* (nullable): the address that the controller calls */
  const char *method; /* (nullable) */
  const char *path;   /* (nullable): path of the request, key of the record, or uid of the job */
  guint status;       /* HTTP status of a response; 0: none */
  const char *body;   /* (nullable): the body of the message or the value of the record; NULL: a removed record */
} SimTraceEvent;

/** sim_trace: adds an event to the trace of the running test case; does nothing unless HZB_SIM_TRACE is set. */
void sim_trace (const SimTraceEvent *event);
