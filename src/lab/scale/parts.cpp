#include "lab/scale/parts.hpp"

#include <array>
#include <stdexcept>

namespace woadtide::lab::scale {

namespace {

struct Part {
  const char* name;
  Report (*run)(const Settings&);
};
constexpr std::array kParts{Part{"module", run_module_part},
                            Part{"admission", run_admission_part},
                            Part{"list", run_list_part},
                            Part{"crowd", run_crowd_part},
                            Part{"controller", run_controller_part},
                            Part{"supervisor", run_supervisor_part},
                            Part{"store", run_store_part}};

}  // namespace

std::vector<std::string> part_names() {
  std::vector<std::string> names;
  for (const Part& part : kParts) names.emplace_back(part.name);
  return names;
}

Report run_part(const std::string& name, const Settings& settings) {
  for (const Part& part : kParts)
    if (name == part.name) return part.run(settings);
  std::string names;
  for (const Part& part : kParts) names += std::string(names.empty() ? "" : ", ") + part.name;
  throw std::invalid_argument("scale: unknown part '" + name + "'; known parts: " + names);
}

}  // namespace woadtide::lab::scale
