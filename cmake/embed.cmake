# tinspan_embed(TARGET SYMBOL FILE): compiles FILE into TARGET as `extern const std::string_view SYMBOL`.
function(tinspan_embed target symbol file)
  set(out ${CMAKE_CURRENT_BINARY_DIR}/embedded/${symbol}.cpp)
  add_custom_command(OUTPUT ${out}
    COMMAND ${CMAKE_COMMAND} -E make_directory ${CMAKE_CURRENT_BINARY_DIR}/embedded
    COMMAND ${CMAKE_COMMAND} -DIN=${file} -DOUT=${out} -DSYMBOL=${symbol}
            -P ${CMAKE_CURRENT_FUNCTION_LIST_DIR}/embed_file.cmake
    DEPENDS ${file} ${CMAKE_CURRENT_FUNCTION_LIST_DIR}/embed_file.cmake VERBATIM)
  target_sources(${target} PRIVATE ${out})
endfunction()
