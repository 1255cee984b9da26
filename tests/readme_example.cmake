# Passes when README.md shows examples/embedding.cpp as it stands, so that the page's example builds and runs.
file(READ ${ROOT}/README.md readme)
file(READ ${ROOT}/examples/embedding.cpp example)
string(FIND "${readme}" "```cpp\n${example}```\n" place)
if(place EQUAL -1)
  message(FATAL_ERROR "README.md does not show examples/embedding.cpp as it stands")
endif()
