/**
 * SECTION: node
 * @short_description: this controller's process: settings, clock, transport and identity
 *
 * The structure is shared by the modules of a controller and has no logic of its own.
 */
#pragma once
#include "clock.h"
#include "settings.h"
#include "transport.h"

/** HZB_SCHEMA_VERSION_1: the first version of records and messages. Processes of this version state no version. */
#define HZB_SCHEMA_VERSION_1 1

/**
 * HZB_SCHEMA_VERSION_2: from this version on the leader acknowledges cancellations, and jobs that are services are
 * accepted. While a process of version 1 may run, no controller writes a record that such a process would misread.
 */
#define HZB_SCHEMA_VERSION_2 2

/** HZB_SCHEMA_VERSION: the version of records and messages that this program reads and writes. */
#define HZB_SCHEMA_VERSION HZB_SCHEMA_VERSION_2

/** HzbNode: this controller's process. Of the members only `incarnation` is owned. */
typedef struct
{
  HzbSettings *settings;   /**< name of the node, its peers, limits */
  HzbClock *clock;         /**< the only source of time */
  HzbTransport *transport; /**< sends HTTP requests */
  char *incarnation;       /**< identifies this process among all processes of this node */
  guint schema_version;    /**< version that this process states to its peers; HZB_SCHEMA_VERSION except in tests */
  struct timespec redirected_at; /**< last time that this process redirected a worker to the leader; unset: never */
  struct timespec
      workers_lost_at; /**< last time that this process stepped down because no worker sent heartbeats; unset: never */
} HzbNode;
