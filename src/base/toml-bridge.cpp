#include "toml-bridge.h"

#include <cstring>
#include <sstream>
#include <string>
#include <toml++/toml.h>

namespace
{

cJSON *
convert (const toml::node &node)
{
  if (auto table = node.as_table ())
    {
      cJSON *object = cJSON_CreateObject ();
      for (auto &&[key, value] : *table)
        cJSON_AddItemToObject (object, std::string (key.str ()).c_str (), convert (value));
      return object;
    }
  if (auto array = node.as_array ())
    {
      cJSON *list = cJSON_CreateArray ();
      for (auto &&value : *array)
        cJSON_AddItemToArray (list, convert (value));
      return list;
    }
  if (auto text = node.as_string ())
    return cJSON_CreateString (text->get ().c_str ());
  if (auto flag = node.as_boolean ())
    return cJSON_CreateBool (flag->get ());
  if (auto number = node.as_integer ())
    return cJSON_CreateNumber ((double) number->get ());
  if (auto number = node.as_floating_point ())
    return cJSON_CreateNumber (number->get ());
  return cJSON_CreateNull ();
}

} // namespace

extern "C" cJSON *
hzb_toml_parse (const char *text, const char *name, char **message)
{
  try
    {
      return convert (toml::parse (std::string_view (text), std::string_view (name)));
    }
  catch (const toml::parse_error &error)
    {
      std::ostringstream out;
      out << name << ":" << error.source ().begin.line << ": " << error.description ();
      *message = strdup (out.str ().c_str ());
      return nullptr;
    }
}
