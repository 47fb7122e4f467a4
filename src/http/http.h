/**
 * SECTION: http
 * @short_description: all of src/http, until each file includes what it needs
 */
#pragma once
#include "http-client.h"
#include "http-server.h"
