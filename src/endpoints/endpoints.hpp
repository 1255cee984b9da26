// Public header of this module: reads, limits and holds the endpoint list of service discovery.
#pragma once

#include "endpoints/limits.hpp"
#include "endpoints/list_error.hpp"
#include "endpoints/list_reader.hpp"
#include "endpoints/table.hpp"
#include "endpoints/update.hpp"
