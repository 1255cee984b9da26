# Passes if the config shown in README.md is valid.
file(READ ${ROOT}/README.md readme)
string(REGEX MATCH "```json\n([^`]*)```" shown "${readme}")
file(WRITE readme_config.json "${CMAKE_MATCH_1}")
execute_process(COMMAND ${WOADTIDE} check-config --config readme_config.json COMMAND_ERROR_IS_FATAL ANY)
