/* Parsing of JSON with exact integers.
 *
 * cJSON keeps a number as a double, which holds integers of up to 15 digits exactly. Longer ones are passed through
 * cJSON as marked strings, and become raw items that hold the digits. */
#include "json.h"

#include <string.h>

#define MAX_EXACT_DIGITS 15u
#define MARK '\001'              /* the first character of a marked string */
#define MARKED_START "\"\\u0001" /* the same as JSON text, with the quotation mark before it */
#define NUMBER_CHARACTERS "0123456789+-.eE"

static gsize
count_digits (const char *text, gsize length)
{
  gsize n = 0;
  while (n < length && g_ascii_isdigit (text[n]))
    n++;
  return n;
}

/* Whether there may be an integer that a double cannot hold. A run of more than MAX_EXACT_DIGITS digits covers one of
 * the characters that are looked at. */
static gboolean
may_have_long_integer (const char *text, gsize length)
{
  for (gsize i = MAX_EXACT_DIGITS; i < length; i += MAX_EXACT_DIGITS + 1)
    {
      gsize first = i;
      if (!g_ascii_isdigit (text[i]))
        continue;
      while (first > 0 && g_ascii_isdigit (text[first - 1]))
        first--;
      if (count_digits (text + first, length - first) > MAX_EXACT_DIGITS)
        return TRUE;
    }
  return FALSE;
}

/* Returns: the length of the string that begins at @text with a quotation mark, both marks included */
static gsize
string_length (const char *text, gsize length)
{
  gsize i = 1;
  while (i < length && text[i] != '"')
    i += text[i] == '\\' ? 2 : 1;
  return MIN (i + 1, length);
}

static gsize
number_length (const char *text, gsize length)
{
  gsize n = 0;
  while (n < length && text[n] && strchr (NUMBER_CHARACTERS, text[n]))
    n++;
  return n;
}

/* Returns: (transfer full): the text with each long integer as a marked string */
static GString *
mark_long_integers (const char *text, gsize length)
{
  GString *marked = g_string_sized_new (length + sizeof MARKED_START);

  for (gsize i = 0, n; i < length; i += n)
    {
      gsize left = length - i;
      n = text[i] == '"' ? string_length (text + i, left) : MAX (number_length (text + i, left), 1);
      if (count_digits (text + i, left) == n && n > MAX_EXACT_DIGITS)
        {
          g_string_append (marked, MARKED_START);
          g_string_append_len (marked, text + i, (gssize) n);
          g_string_append_c (marked, '"');
        }
      else
        g_string_append_len (marked, text + i, (gssize) n);
    }
  return marked;
}

/* Turns a marked string into a raw item. */
static void
unmark_item (cJSON *item)
{
  if (!cJSON_IsString (item) || item->valuestring[0] != MARK)
    return;
  memmove (item->valuestring, item->valuestring + 1, strlen (item->valuestring));
  item->type = (item->type & ~cJSON_String) | cJSON_Raw;
}

static void
unmark_long_integers (cJSON *root)
{
  g_autoptr (GPtrArray) left = g_ptr_array_new ();

  g_ptr_array_add (left, root);
  while (left->len)
    {
      cJSON *item = g_ptr_array_steal_index_fast (left, left->len - 1);
      unmark_item (item);
      for (cJSON *child = item->child; child; child = child->next)
        g_ptr_array_add (left, child);
    }
}

cJSON *
hzb_json_parse (const char *text, gsize length)
{
  g_autoptr (GString) marked = NULL;
  cJSON *root;

  if (!may_have_long_integer (text, length))
    return cJSON_ParseWithLength (text, length);
  marked = mark_long_integers (text, length);
  root = cJSON_ParseWithLength (marked->str, marked->len);
  if (root)
    unmark_long_integers (root);
  return root;
}
