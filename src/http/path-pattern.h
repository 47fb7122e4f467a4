/**
 * @file
 * SECTION: path-pattern
 *
 * Matches the path of a request with the pattern of a route, so that no handler takes paths apart itself.
 */
#pragma once
#include <glib.h>

/** HZB_PATH_PARAMETER: in a pattern, a segment that stands for a parameter of the route. */
#define HZB_PATH_PARAMETER "{}"

/**
 * hzb_path_parse: matches a path with a pattern.
 * `path`: the path of a request, or the part of it that the caller looks at
 * `pattern`: segments between slashes, some of which may be HZB_PATH_PARAMETER, such as "machines/{}/drain"
 *
 * The path must have exactly the segments of the pattern, and no parameter may be empty. Before and after each slash there
 * is a segment, so a path with a slash more does not match.
 *
 * Returns: (transfer full) (nullable): the parameters in their order, NULL-terminated; NULL if the path does not match
 */
GStrv hzb_path_parse (const char *path, const char *pattern);

/** hzb_path_matches: whether the path matches the pattern, see hzb_path_parse(). */
gboolean hzb_path_matches (const char *path, const char *pattern);
