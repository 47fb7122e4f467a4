/**
 * SECTION: node
 * @short_description: this controller's process: its settings, its means, and what it says of itself
 *
 * Shared by the modules of a controller; it has no logic of its own.
 */
#pragma once
#include "clock.h"
#include "settings.h"
#include "transport.h"

/** HZB_SCHEMA_VERSION_1: the first version of records and messages. Its processes state no version. */
#define HZB_SCHEMA_VERSION_1 1

/**
 * HZB_SCHEMA_VERSION_2: from this version on the leader acknowledges cancellations, and services can be accepted.
 * Nothing that a process of version 1 would misread is written while one may run.
 */
#define HZB_SCHEMA_VERSION_2 2

/** HZB_SCHEMA_VERSION: the version of records and messages that this program reads and writes. */
#define HZB_SCHEMA_VERSION HZB_SCHEMA_VERSION_2

/** HzbNode: this controller's process. Nothing is owned but `ref` incarnation. */
typedef struct
{
  HzbSettings *settings;   /**< name of the node, its peers, limits */
  HzbClock *clock;         /**< the only source of time */
  HzbTransport *transport; /**< sends HTTP requests */
  char *incarnation;       /**< names this process; each process of a node has another one */
  guint schema_version;    /**< of records and messages, as this process states; HZB_SCHEMA_VERSION but in tests */
  struct timespec redirected_at; /**< when this process last redirected a worker to the leader; unset: never */
  struct timespec
      workers_lost_at; /**< when this process last stepped down because no worker sent it a heartbeat; unset: never */
} HzbNode;
