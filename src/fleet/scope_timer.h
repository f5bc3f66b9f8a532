#pragma once

/**
 * @file
 * Makes scope_timer available to the job service.
 */

#include "fescuestream/base/scope_timer.h"
