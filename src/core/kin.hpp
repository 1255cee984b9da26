// What two processes of one dispatcher tell each other while both live, as in an upgrade.
#pragma once

#include <string>

namespace woadtide::core {

// Of what two processes say to each other. One step apart they understand each other: a word that one does
// not know is passed over. Version 1 said none.
constexpr int kKinVersion = 2;

struct Word {
  enum class Kind {
    exclude,  // a worker, by an operator
    include,  // the same worker again
    query,    // an id that was taken: it must not run at the other too
    told,     // all that was to tell at the start has been told
    ready,    // takes clients
    unready,  // takes none
    list,  // the workers as this process has them, discovery's form: a drain that it was told holds at both
  };
  Kind kind = Kind::told;
  std::string id = {};
};

class Kin {
 public:
  virtual ~Kin() = default;
  // To all processes that there are besides this one. Must not block.
  virtual void tell(const Word& word) = 0;
  // Nobody would hear it.
  virtual bool alone() const = 0;
};

}  // namespace woadtide::core
