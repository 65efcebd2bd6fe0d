#pragma once

#include "config.h"

/**
 * serve() - run a node until its planned stop
 *
 * Return: exit code, 0 or 1.
 */
int serve(const struct config *config);
