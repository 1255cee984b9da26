# Passes if README.md contains examples/embedding.cpp unchanged, so that the example shown there builds and
# runs.
file(READ ${ROOT}/README.md readme)
file(READ ${ROOT}/examples/embedding.cpp example)
string(FIND "${readme}" "```cpp\n${example}```\n" place)
if(place EQUAL -1)
  message(FATAL_ERROR "README.md does not show examples/embedding.cpp as it stands")
endif()
