// For the tests of the network code: the real program as a process, and the test as its clients and servers.
#pragma once

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "checks.hpp"
#include "program.hpp"
#include "tcp.hpp"
