// The package's header: reading, bounding and holding the endpoint list of service discovery.
#pragma once

#include "endpoints/limits.hpp"
#include "endpoints/list_error.hpp"
#include "endpoints/list_reader.hpp"
#include "endpoints/table.hpp"
#include "endpoints/update.hpp"
