/**
 * SECTION: sim-trace
 * @short_description: a trace of what the simulated cluster exchanges, to compare two revisions of the sources
 *
 * With HZB_SIM_TRACE=DIRECTORY set, every message that crosses the simulated network and every change of the fake key-value store
 * is hashed, and one digest for each test case is written into a file of that directory when the case ends. With
 * HZB_SIM_TRACE_TEXT=1 the messages themselves are written as well. tests/compare-behaviour reads both.
 */
#pragma once
#include <glib.h>

/** SimTraceEvent: one message, or one change of a record. */
typedef struct
{
  double at;                 /* simulated time, in seconds */
  const char *kind;          /* "call", "reply", "request", "response" or "record" */
  guint node;                /* the controller that sends or answers; for a record 0 */
  const char *peer;          /* (nullable): the address called */
  const char *method, *path; /* (nullable) */
  guint status;
  const char *body; /* (nullable) */
} SimTraceEvent;

/** sim_trace: adds an event to the trace of the running test case; does nothing without HZB_SIM_TRACE. */
void sim_trace (const SimTraceEvent *event);
