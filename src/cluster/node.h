/**
 * SECTION: node
 * @short_description: this controller process: its settings, its means, and what it says of itself
 *
 * Shared by the modules of a controller; it has no logic of its own.
 */
#pragma once
#include "clock.h"
#include "settings.h"
#include "transport.h"

/**
 * HZB_SCHEMA_VERSION: the version of records and messages that this program reads and writes.
 *
 * 1 is the version before, which states none. With 2, the owner acknowledges cancellations, and services can be accepted. Nothing
 * that a process of version 1 would misread is written while one may run.
 */
#define HZB_SCHEMA_VERSION 2

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  HzbTransport *transport;
  char *incarnation;               /* names this process; another one of the same node has another */
  guint schema_version;            /* that this process says it reads and writes */
  struct timespec redirected_at;   /* when a worker was last redirected to the leader from here; unset: never */
  struct timespec workers_lost_at; /* when this node last stepped down because no worker's heartbeat came */
} HzbNode;
