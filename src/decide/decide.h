#pragma once

// Everything a user of the decisions needs; see decider.h for how to use it.

#include "decide/decider.h"
