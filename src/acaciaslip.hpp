#pragma once

/// Everything that a program needs to drive one node's logic: link `acaciaslip_core`.

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/node.hpp"
