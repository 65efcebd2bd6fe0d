#pragma once

#include "config.h"

/** serve() - run a node until its planned stop; returns an exit code. */
int serve(const struct config *config);
