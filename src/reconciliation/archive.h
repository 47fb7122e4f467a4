/**
 * SECTION: archive
 * @short_description: what a reconciliation found and decided, for operators
 *
 * An archive is a header of 8 bytes ("HZBREC" and the format as two decimal digits) and a zstd frame with a checksum, in
 * which is a JSON document; docs/operating-cold-start.md describes it. Nothing that decides reads archives: one that is
 * damaged, or of a later version, is an error for whoever wants to see it, and nothing else.
 */
#pragma once
#include "reconciliation-codec.h"

/** HZB_ARCHIVE_SECONDS: commands are counted by second for so long. */
#define HZB_ARCHIVE_SECONDS 60u

typedef enum
{
  HZB_ARCHIVE_STARTS,
  HZB_ARCHIVE_STOPS,
  HZB_ARCHIVE_REAPS,
  HZB_ARCHIVE_RENTALS, /* machines */
  HZB_ARCHIVE_N_KINDS
} HzbArchiveKind;

const char *hzb_archive_kind_name (HzbArchiveKind kind);

/** HzbArchivedJob: */
typedef struct
{
  HzbVerdictEntry entry;
  guint tasks, released; /* as recorded when it began */
  double at_s;           /* when its verdict was durable, since the beginning */
} HzbArchivedJob;

/** HzbArchivedMachine: one that may have held work. */
typedef struct
{
  char *name, *fate;
  double at_s; /* when it was accounted for; below 0: it was not */
} HzbArchivedMachine;

/** HzbArchivedTask: one that no record named. */
typedef struct
{
  char *name, *machine, *verdict, *reason;
} HzbArchivedTask;

/** HzbArchive: */
typedef struct
{
  guint64 id, term;
  guint starts;
  double began; /* seconds of the time of day */
  char *reason; /* why it was taken for a cold start */
  double complete_s;
  guint omitted_jobs, omitted_machines; /* beyond what an archive holds */
  GArray *jobs;                         /* HzbArchivedJob */
  GArray *machines;                     /* HzbArchivedMachine */
  GArray *quarantine;                   /* HzbArchivedTask */
  guint commands[HZB_ARCHIVE_N_KINDS][HZB_ARCHIVE_SECONDS];
} HzbArchive;

/** hzb_archived_machines_new: Returns: (transfer full) (element-type HzbArchivedMachine): an empty list */
GArray *hzb_archived_machines_new (void);

HzbArchive *hzb_archive_new (void);
void hzb_archive_free (HzbArchive *archive);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbArchive, hzb_archive_free)

/** hzb_archive_add_job: takes a copy, unless the archive is full. */
void hzb_archive_add_job (HzbArchive *archive, const HzbArchivedJob *job);
void hzb_archive_add_machine (HzbArchive *archive, const char *name, const char *fate, double at_s);
void hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                           const char *reason);

/** hzb_archive_pack: Returns: (transfer full): the compressed form */
GBytes *hzb_archive_pack (const HzbArchive *archive);

/** hzb_archive_unpack: Returns: (transfer full) (nullable): NULL, with an error, if it is damaged or of a later version */
HzbArchive *hzb_archive_unpack (GBytes *bytes, GError **error);

/** hzb_archive_read_file: of a packed archive, or of an answer of the administration API that holds one. */
HzbArchive *hzb_archive_read_file (const char *path, GError **error);
