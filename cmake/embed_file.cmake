# Writes the bytes of IN as a C++ string_view named SYMBOL, to OUT.
file(READ ${IN} hex HEX)
string(REGEX REPLACE "([0-9a-f][0-9a-f])" "0x\\1," bytes "${hex}")
file(WRITE ${OUT} "#include <string_view>\nextern const std::string_view ${SYMBOL};\nnamespace {\nconst unsigned char kBytes[] = {${bytes}0};\n}\nconst std::string_view ${SYMBOL}(reinterpret_cast<const char*>(kBytes), sizeof kBytes - 1);\n")
