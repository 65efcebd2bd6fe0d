#pragma once

/**
 * DOC: command line
 *
 * Exit codes: 0 success; 1 failure; 2 wrong usage; 3 refused, partial or
 * unknown, with the answer printed.
 */

enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_PARTIAL = 3,
};

/**
 * struct command - a subcommand
 * @run: called with argc and argv starting at the subcommand's name
 */
struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** command_run() - find the subcommand of argv[1] and run it. */
int command_run(int argc, char **argv);
