#pragma once

/// Includes everything that a program needs to drive the logic of one node. Link with `acaciaslip_core`.

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/node.hpp"
