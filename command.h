#pragma once

/**
 * DOC: commands
 *
 * Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused or partial, with the
 * answer printed.
 */

enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_PARTIAL = 3,
};

/**
 * struct command - a subcommand
 * @run: gets argc and argv from the subcommand's name on
 */
struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** command_run() - find the subcommand of argv[1] and run it. */
int command_run(int argc, char **argv);
