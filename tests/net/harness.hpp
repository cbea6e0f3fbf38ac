// Harness of the process tests: the real program runs as a child process, the test plays its clients and
// servers.
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
