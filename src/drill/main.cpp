#include <iostream>

#include "drill/drill.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return tinspan::drill::RunAdapter(std::cin, std::cout, std::cerr);
}
